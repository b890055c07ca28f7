"""The client for the platform's store.

Every call to the store needs a timeout below the bound that it serves, a fresh
connection after silence, and a result that says whether a call without an
answer may still take effect. Calls are charged for, so this client also counts
them.
"""

from sesamecross.gateway import control_client
from sesamecross.ports import store
from sesamecross.runtime import metrics as metrics_lib

# A call that does not wait is answered within milliseconds, or 50 times that
# when the store is slow. Longer silence is treated as a dead connection, early
# enough for a second attempt within the drain bound.
CALL_TIMEOUT_S = 1.0
# How much longer a waiting read may take than its wait.
LONG_POLL_MARGIN_S = 1.0


class StoreClient:
    """Calls of one instance to the store.

    Reads that wait use separate connections, so that they do not block other
    calls.
    """

    __slots__ = (
        "_address",
        "_codec",
        "_http_client",
        "_long_poll_clients",
        "_metrics",
    )

    def __init__(
        self,
        address: str,
        codec: store.StoreCodec,
        metrics: metrics_lib.Metrics,
    ):
        self._address = address
        self._codec = codec
        self._http_client = control_client.ControlClient(address)
        self._long_poll_clients: dict[str, control_client.ControlClient] = {}
        self._metrics = metrics

    async def newest(self, topic: str, after: str) -> store.NewestOutcome:
        """Lists the newest record of each key, one page."""
        answer = await self._send(
            "newest",
            self._http_client,
            self._codec.newest(topic, after),
            CALL_TIMEOUT_S,
        )
        if isinstance(answer, control_client.Answer):
            return self._codec.newest_answer(answer.status, answer.body)
        return answer

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> store.ReadOutcome:
        """Reads records from an offset on, waiting for one if there is none."""
        http_client = self._long_poll_clients.get(topic)
        if http_client is None:
            http_client = control_client.ControlClient(
                self._address, wait_s + 5.0
            )
            self._long_poll_clients[topic] = http_client
        answer = await self._send(
            "read",
            http_client,
            self._codec.read(topic, offset, wait_s),
            wait_s + LONG_POLL_MARGIN_S,
        )
        if isinstance(answer, control_client.Answer):
            return self._codec.read_answer(answer.status, answer.body, offset)
        return answer

    async def append(
        self, topic: str, key: str, value: bytes | None, at: int | None
    ) -> store.AppendOutcome:
        """Appends one keyed record; see `store.StoreCodec.append`."""
        answer = await self._send(
            "append",
            self._http_client,
            self._codec.append(topic, key, value, at),
            CALL_TIMEOUT_S,
        )
        if isinstance(answer, control_client.Answer):
            return self._codec.append_answer(answer.status, answer.body)
        return answer

    async def _send(
        self,
        kind: str,
        http_client: control_client.ControlClient,
        call: store.StoreCall,
        timeout_s: float,
    ) -> control_client.Answer | store.NotDone | store.Unknown:
        headers = []
        if call.body:
            headers.append((b"content-type", call.content_type))
        outcome = await http_client.call(
            call.method, call.target, headers, call.body, timeout_s
        )
        self._metrics.count(
            "sesamecross_store_calls_total",
            "Calls to the platform's store, by kind and outcome.",
            {"call": kind, "outcome": _outcome_label(outcome)},
        )
        match outcome:
            case control_client.NotSent(reason):
                return store.NotDone(reason)
            case control_client.NoAnswer(reason):
                return store.Unknown(reason)
        return outcome


def _outcome_label(outcome: control_client.Outcome) -> str:
    match outcome:
        case control_client.Answer(status):
            return str(status)
        case control_client.NotSent():
            return "not-sent"
    return "no-answer"
