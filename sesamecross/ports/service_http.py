"""A plain service over HTTP: any method, any body.

Why: some of its calls may not be repeated, so every failure says whether
the call may have been acted on.
"""

import dataclasses

import urllib3

from sesamecross.core import data
from sesamecross.ports import http_client


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service."""

    url: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    read_s: float
    request_id: str


# An answer larger than this is not relayed; services answer small documents.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class HttpService:
    """All plain services; each call names the one it goes to."""

    __slots__ = ("_pool",)

    def __init__(self, connections: int = 64):
        self._pool = http_client.pool(connections, 0.5, 10.0)

    def call(
        self, call: ServiceCall, idempotent: bool
    ) -> data.Answer | http_client.NotSent | http_client.Failed:
        """Dispatches the call once.

        A call that may not be repeated goes over a connection of its own.
        On a kept-alive connection that the service is just closing, the
        call would end in doubt though the service never saw it.
        """
        headers = dict(call.headers)
        headers["X-Request-Id"] = call.request_id
        if not idempotent:
            headers["Connection"] = "close"
        pool = self._pool
        if not idempotent:
            pool = http_client.pool(1, 0.5, call.read_s)
        try:
            response = pool.request(
                call.method,
                call.url + call.path,
                body=call.body or None,
                headers=headers,
                preload_content=False,
                timeout=urllib3.Timeout(connect=0.5, read=call.read_s),
            )
            return self._read(call, response)
        except urllib3.exceptions.HTTPError as error:
            return http_client.classify(error)

    def _read(
        self, call: ServiceCall, response: urllib3.BaseHTTPResponse
    ) -> data.Answer | http_client.Failed:
        body = response.read(MAX_ANSWER_BYTES + 1)
        if len(body) > MAX_ANSWER_BYTES:
            response.close()
            return http_client.Failed("answer too large")
        answered = response.headers.get("X-Request-Id", call.request_id)
        if answered != call.request_id:
            response.close()
            return http_client.Failed("answer of another call")
        response.release_conn()
        content_type = response.headers.get(
            "Content-Type", "application/octet-stream"
        )
        return data.Answer(response.status, content_type, body)
