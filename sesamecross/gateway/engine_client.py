"""Client for the engines' control interfaces: reports and orders."""

from collections.abc import Callable

from sesamecross.core import serving
from sesamecross.gateway import control_client
from sesamecross.ports import http_codec as http_codec_lib
from sesamecross.runtime import metrics as metrics_lib

# An engine responds within one round trip between regions, two on a new
# connection. One that doesn't respond may execute the order much later, so a
# longer wait is of no use; the order is sent again.
CALL_TIMEOUT_S = 0.3
# A report names an engine's models and adapters.
MAX_ANSWER_BYTES = 512 * 1024


class EngineClient:
    """Calls engines over keep-alive connections.

    Attributes:
      on_head: Called with an engine's instance id and the head of its answer.
    """

    __slots__ = ("on_head", "_http_codec", "_metrics", "_clients")

    def __init__(
        self, http_codec: http_codec_lib.HttpCodec, metrics: metrics_lib.Metrics
    ):
        self.on_head: (
            Callable[[str, http_codec_lib.ResponseHead], None] | None
        ) = None
        self._http_codec = http_codec
        self._metrics = metrics
        self._clients: dict[str, control_client.ControlClient] = {}

    async def report(
        self, upstream: serving.Upstream
    ) -> serving.EngineReport | None:
        """Fetches an engine's state; None without a 200 response."""
        call = self._http_codec.report_call(upstream.instance_id)
        outcome = await self._call(upstream.address, call)
        self._notify(upstream.instance_id, outcome)
        self._count("report", outcome)
        if (
            not isinstance(outcome, control_client.Answer)
            or outcome.status != 200
        ):
            return None
        return self._http_codec.report(outcome.body)

    async def order(
        self, order: serving.EngineOrder, may_send: Callable[[], bool]
    ) -> serving.OrderAnswer:
        """Sends an order to an engine.

        Args:
          order: The order.
          may_send: Whether it may still be given, asked just before it is sent:
            the process may be suspended while the connection is opened.
        """
        call = self._http_codec.order_call(order)
        outcome = await self._call(order.address, call, may_send)
        self._notify(order.instance_id, outcome)
        self._count("order", outcome)
        match outcome:
            case control_client.Answer(status):
                return self._http_codec.parse_order_answer(status)
            case control_client.NotSent():
                return serving.OrderAnswer.REFUSED
        return serving.OrderAnswer.UNKNOWN

    async def _call(
        self,
        address: str,
        call: http_codec_lib.ControlCall,
        may_send: Callable[[], bool] = lambda: True,
    ) -> control_client.Outcome:
        client = self._clients.get(address)
        if client is None:
            client = control_client.ControlClient(
                address, max_bytes=MAX_ANSWER_BYTES
            )
            self._clients[address] = client
        return await client.call(
            call.method,
            call.target,
            list(call.headers),
            call.body,
            CALL_TIMEOUT_S,
            may_send,
        )

    def _notify(
        self, instance_id: str, outcome: control_client.Outcome
    ) -> None:
        match outcome:
            case control_client.Answer(status, headers) if self.on_head:
                head = self._http_codec.parse_response_head(status, headers)
                if not head.is_misdirected:
                    self.on_head(instance_id, head)

    def _count(self, call_kind: str, outcome: control_client.Outcome) -> None:
        status = type(outcome).__name__
        if isinstance(outcome, control_client.Answer):
            status = str(outcome.status)
        self._metrics.count(
            "sesamecross_engine_calls_total",
            "Reports asked of engines and orders given, by outcome.",
            {"call": call_kind, "outcome": status},
        )

    def close_connections(self, address: str) -> None:
        """Closes the connections to an engine that was removed."""
        client = self._clients.pop(address, None)
        if client is not None:
            client.close_connections()
