"""The one client of the platform's store.

Why: every wait for the store needs a time-out under the bound that it
serves, a fresh connection after silence, and a clear word on whether a call
without an answer may still take effect. Calls are paid for, so this client
also counts them.
"""

from sesamecross.gateway import control_client
from sesamecross.ports import store
from sesamecross.runtime import metrics as metrics_lib

# A call that waits for nothing is answered in some milliseconds, in 50 times
# that where the store is slow. Silence beyond this is taken for a dead
# connection, early enough for a second try within the drain bound.
CALL_TIMEOUT_S = 1.0
# What a waiting read may take beyond its wait.
WAIT_MARGIN_S = 1.0


class StoreClient:
    """Calls of one instance to the store.

    Reads that wait have connections of their own, so that none of them holds
    up another call.
    """

    __slots__ = ("_address", "_codec", "_caller", "_waiting", "_metrics")

    def __init__(
        self,
        address: str,
        codec: store.StoreCodec,
        metrics: metrics_lib.Metrics,
    ):
        self._address = address
        self._codec = codec
        self._caller = control_client.ControlClient(address)
        self._waiting: dict[str, control_client.ControlClient] = {}
        self._metrics = metrics

    async def newest(self, topic: str, after: str) -> store.NewestOutcome:
        """Lists the newest record of each key, one page."""
        answer = await self._send(
            "newest",
            self._caller,
            self._codec.newest(topic, after),
            CALL_TIMEOUT_S,
        )
        if isinstance(answer, control_client.Answer):
            return self._codec.newest_answer(answer.status, answer.body)
        return answer

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> store.ReadOutcome:
        """Reads on from an offset, waiting for a record to come."""
        caller = self._waiting.get(topic)
        if caller is None:
            caller = control_client.ControlClient(self._address, wait_s + 5.0)
            self._waiting[topic] = caller
        answer = await self._send(
            "read",
            caller,
            self._codec.read(topic, offset, wait_s),
            wait_s + WAIT_MARGIN_S,
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
            self._caller,
            self._codec.append(topic, key, value, at),
            CALL_TIMEOUT_S,
        )
        if isinstance(answer, control_client.Answer):
            return self._codec.append_answer(answer.status, answer.body)
        return answer

    async def _send(
        self,
        what: str,
        caller: control_client.ControlClient,
        call: store.StoreCall,
        timeout_s: float,
    ) -> control_client.Answer | store.NotDone | store.Unknown:
        headers = []
        if call.body:
            headers.append((b"content-type", call.content_type))
        outcome = await caller.call(
            call.method, call.target, headers, call.body, timeout_s
        )
        self._metrics.count(
            "sesamecross_store_calls_total",
            "Calls to the platform's store, by kind and outcome.",
            {"call": what, "outcome": _name(outcome)},
        )
        match outcome:
            case control_client.NotSent(reason):
                return store.NotDone(reason)
            case control_client.NoAnswer(reason):
                return store.Unknown(reason)
        return outcome


def _name(outcome: control_client.Outcome) -> str:
    match outcome:
        case control_client.Answer(status):
            return str(status)
        case control_client.NotSent():
            return "not-sent"
    return "no-answer"
