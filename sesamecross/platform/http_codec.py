"""The platform's HTTP as one object for the gateway."""

from collections.abc import Iterable

from sesamecross.core import serving
from sesamecross.platform import engine_api
from sesamecross.platform import headers as headers_lib
from sesamecross.ports import http_codec


class PlatformHttpCodec:
    """Implements `ports.dialect.Dialect`."""

    __slots__ = ()

    def parse_request_head(
        self, headers: Iterable[serving.Header]
    ) -> http_codec.RequestHead:
        """Reads a caller's headers."""
        return headers_lib.parse_request_head(headers)

    def upstream_request_headers(
        self, request: serving.Request, passing: http_codec.ForwardContext
    ) -> list[serving.Header]:
        """Returns the headers under which a request is passed on."""
        return headers_lib.upstream_request_headers(request, passing)

    def parse_response_head(
        self, status: int, headers: Iterable[serving.Header]
    ) -> http_codec.ResponseHead:
        """Reads the head of an upstream's answer."""
        return headers_lib.parse_response_head(status, headers)

    def caller_response_headers(
        self, headers: Iterable[serving.Header]
    ) -> list[serving.Header]:
        """Returns the headers of an answer that are passed on."""
        return headers_lib.caller_response_headers(headers)

    def refusal(
        self, request_id: str, retry_after_s: float | None
    ) -> list[serving.Header]:
        """Returns the headers of an answer of the system's own."""
        return headers_lib.refusal(request_id, retry_after_s)

    def report_call(self, instance_id: str) -> http_codec.ControlCall:
        """Returns the call that asks an engine for its state."""
        return http_codec.ControlCall(
            b"GET",
            engine_api.REPORT_PATH,
            tuple(headers_lib.expecting(instance_id)),
        )

    def report(self, body: bytes) -> serving.EngineReport | None:
        """Reads an engine's state."""
        return engine_api.report(body)

    def order_call(self, order: serving.EngineOrder) -> http_codec.ControlCall:
        """Returns the call that gives an engine an order."""
        expected = headers_lib.expecting(order.instance_id)
        content_type = (b"content-type", engine_api.JSON_TYPE)
        return http_codec.ControlCall(
            b"POST",
            engine_api.ORDER_PATH,
            (*expected, content_type),
            engine_api.order_body(order),
        )

    def parse_order_answer(self, status: int) -> serving.OrderAnswer:
        """Reads what an engine's status says of an order."""
        return engine_api.parse_order_answer(status)
