"""The platform's HTTP codec, as one object for the gateway."""

from collections.abc import Iterable

from sesamecross.core import serving
from sesamecross.platform import engine_api
from sesamecross.platform import headers as headers_lib
from sesamecross.ports import http_codec


class PlatformHttpCodec:
    """Implements `ports.http_codec.HttpCodec`."""

    __slots__ = ()

    def parse_request_head(
        self, headers: Iterable[serving.Header]
    ) -> http_codec.RequestHead:
        """Parses a caller's request headers."""
        return headers_lib.parse_request_head(headers)

    def upstream_request_headers(
        self, request: serving.Request, context: http_codec.ForwardContext
    ) -> list[serving.Header]:
        """Returns the headers for forwarding a request to an upstream."""
        return headers_lib.upstream_request_headers(request, context)

    def parse_response_head(
        self, status: int, headers: Iterable[serving.Header]
    ) -> http_codec.ResponseHead:
        """Parses the head of an upstream's response."""
        return headers_lib.parse_response_head(status, headers)

    def refusal(
        self, request_id: str, retry_after_s: float | None
    ) -> list[serving.Header]:
        """Returns the headers of a response that the gateway itself creates."""
        return headers_lib.refusal(request_id, retry_after_s)

    def report_call(self, instance_id: str) -> http_codec.ControlCall:
        """Returns the call that requests an engine's report."""
        return http_codec.ControlCall(
            b"GET",
            engine_api.REPORT_PATH,
            tuple(headers_lib.expected_instance_header(instance_id)),
        )

    def report(self, body: bytes) -> serving.EngineReport | None:
        """Decodes an engine's report."""
        return engine_api.report(body)

    def order_call(self, order: serving.EngineOrder) -> http_codec.ControlCall:
        """Returns the call that sends an order to an engine."""
        expected = headers_lib.expected_instance_header(order.instance_id)
        content_type = (b"content-type", engine_api.JSON_CONTENT_TYPE)
        return http_codec.ControlCall(
            b"POST",
            engine_api.ORDER_PATH,
            (*expected, content_type),
            engine_api.encode_order(order),
        )

    def parse_order_answer(self, status: int) -> serving.OrderAnswer:
        """Maps the status of an engine's response to an order answer."""
        return engine_api.parse_order_answer(status)
