"""Calls to engines' own interfaces: reports and orders."""

from sesamecross.core import serving
from sesamecross.gateway import control_client
from sesamecross.ports import http_codec as http_codec_lib
from sesamecross.runtime import metrics as metrics_lib

# An engine answers within the round trip between regions, or twice that on a
# new connection. One that does not answer an order may carry it out much
# later, so waiting longer is no use; the order is sent again.
CALL_TIMEOUT_S = 0.3


class EngineClient:
    """Calls engines over kept connections."""

    __slots__ = ("_http_codec", "_metrics", "_callers")

    def __init__(
        self, http_codec: http_codec_lib.HttpCodec, metrics: metrics_lib.Metrics
    ):
        self._http_codec = http_codec
        self._metrics = metrics
        self._callers: dict[str, control_client.ControlClient] = {}

    async def report(
        self, upstream: serving.Upstream
    ) -> serving.EngineReport | None:
        """Asks an engine for its state; None where it gave no answer."""
        call = self._http_codec.report_call(upstream.instance_id)
        outcome = await self._call(upstream.address, call)
        self._count("report", outcome)
        if (
            not isinstance(outcome, control_client.Answer)
            or outcome.status != 200
        ):
            return None
        return self._http_codec.report(outcome.body)

    async def order(self, order: serving.EngineOrder) -> serving.OrderAnswer:
        """Gives an engine an order."""
        call = self._http_codec.order_call(order)
        outcome = await self._call(order.address, call)
        self._count("order", outcome)
        match outcome:
            case control_client.Answer(status):
                return self._http_codec.parse_order_answer(status)
            case control_client.NotSent():
                return serving.OrderAnswer.REFUSED
        return serving.OrderAnswer.UNKNOWN

    async def _call(
        self, address: str, call: http_codec_lib.ControlCall
    ) -> control_client.Outcome:
        caller = self._callers.get(address)
        if caller is None:
            caller = control_client.ControlClient(address)
            self._callers[address] = caller
        return await caller.call(
            call.method,
            call.target,
            list(call.headers),
            call.body,
            CALL_TIMEOUT_S,
        )

    def _count(self, what: str, outcome: control_client.Outcome) -> None:
        status = type(outcome).__name__
        if isinstance(outcome, control_client.Answer):
            status = str(outcome.status)
        self._metrics.count(
            "sesamecross_engine_calls_total",
            "Reports asked of engines and orders given, by outcome.",
            {"call": what, "outcome": status},
        )

    def close_connections(self, address: str) -> None:
        """Drops the connections to an engine that is gone."""
        caller = self._callers.pop(address, None)
        if caller is not None:
            caller.close_connections()
