"""Client of plain services over HTTP, for any method and body.

Some calls are not idempotent, so each failure tells whether the call may have
been executed.
"""

import contextlib
import dataclasses
import socket

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


# Larger responses are not relayed; services return small documents.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


def _take_socket(
    connection: urllib3.connection.HTTPConnection | None,
) -> socket.socket | None:
    """Takes the socket from a connection, whose next call opens another one.

    Before the body is read: that returns the connection to the pool, where
    another thread may take it. The response keeps the socket open.
    """
    if connection is None:
        return None
    sock, connection.sock = connection.sock, None
    return sock


class HttpService:
    """Client of all plain services; each call contains its URL."""

    __slots__ = ("_pool",)

    def __init__(self, connections: int = 64):
        self._pool = http_client.pool(connections, 0.5, 10.0)

    def call(
        self, call: ServiceCall, idempotent: bool
    ) -> data.Answer | http_client.NotSent | http_client.Failed:
        """Dispatches the call once.

        A call that is not idempotent gets its own connection. On a keep-alive
        connection that the service is just closing, the call's outcome would be
        unknown although the service never received it.
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
        answered = response.headers.get("X-Request-Id")
        if answered not in (None, call.request_id):
            # Before the body is read, which returns the connection to the pool.
            response.close()
            return http_client.Failed("answer of another call")
        # After an answer without an id, a second one would not be told from
        # that to the next call.
        sock = _take_socket(response.connection) if answered is None else None
        with contextlib.closing(sock) if sock else contextlib.nullcontext():
            body = response.read(MAX_ANSWER_BYTES + 1)
        if len(body) > MAX_ANSWER_BYTES:
            response.close()
            return http_client.Failed("answer too large")
        response.release_conn()
        content_type = response.headers.get(
            "Content-Type", "application/octet-stream"
        )
        return data.Answer(response.status, content_type, body)
