"""The platform's HTTP as one object for the gateway."""

from collections.abc import Iterable

from sesamecross.core import serving
from sesamecross.platform import engine_api
from sesamecross.platform import headers as headers_lib
from sesamecross.ports import dialect


class PlatformDialect:
    """Implements `ports.dialect.Dialect`."""

    __slots__ = ()

    def caller_head(
        self, headers: Iterable[serving.Header]
    ) -> dialect.CallerHead:
        """Reads a caller's headers."""
        return headers_lib.caller_head(headers)

    def to_upstream(
        self, request: serving.Request, passing: dialect.Passing
    ) -> list[serving.Header]:
        """Returns the headers under which a request is passed on."""
        return headers_lib.to_upstream(request, passing)

    def answer_head(
        self, status: int, headers: Iterable[serving.Header]
    ) -> dialect.AnswerHead:
        """Reads the head of an upstream's answer."""
        return headers_lib.answer_head(status, headers)

    def to_caller(
        self, headers: Iterable[serving.Header]
    ) -> list[serving.Header]:
        """Returns the headers of an answer that are passed on."""
        return headers_lib.to_caller(headers)

    def refusal(
        self, request_id: str, retry_after_s: float | None
    ) -> list[serving.Header]:
        """Returns the headers of an answer of the system's own."""
        return headers_lib.refusal(request_id, retry_after_s)

    def report_call(self, instance_id: str) -> dialect.ControlCall:
        """Returns the call that asks an engine for its state."""
        return dialect.ControlCall(
            b"GET",
            engine_api.REPORT_PATH,
            tuple(headers_lib.expecting(instance_id)),
        )

    def report(self, body: bytes) -> serving.EngineReport | None:
        """Reads an engine's state."""
        return engine_api.report(body)

    def order_call(self, order: serving.EngineOrder) -> dialect.ControlCall:
        """Returns the call that gives an engine an order."""
        expected = headers_lib.expecting(order.instance_id)
        content_type = (b"content-type", engine_api.JSON_TYPE)
        return dialect.ControlCall(
            b"POST",
            engine_api.ORDER_PATH,
            (*expected, content_type),
            engine_api.order_body(order),
        )

    def order_answer(self, status: int) -> serving.OrderAnswer:
        """Reads what an engine's status says of an order."""
        return engine_api.order_answer(status)
