"""Writes the response to one request on a caller's connection.

Request handlers need not know how responses are framed, and a response that
ends early must never look complete. Each response has one writer, which also
reports that the caller disconnected or reads too slowly. Headers that apply to
an upstream's connection are dropped here, whoever passes them on.
"""

from collections.abc import Callable
from collections.abc import Iterable
import http
from typing import Protocol

from sesamecross.core import connection_headers
from sesamecross.core import serving

_BODYLESS_STATUSES = frozenset((204, 304))
# A larger body is written without a copy beside its head.
_JOINED_BODY_BYTES = 64 * 1024


class Connection(Protocol):
    """The part of a caller's connection that a response writer uses."""

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after the current response."""

    @property
    def keep_alive_header(self) -> bytes:
        """Header line with the idle timeout for the caller, or empty."""

    def write(self, data: bytes) -> None:
        """Sends bytes of the current response."""

    def abort(self) -> None:
        """Closes the connection without ending the response."""

    def on_response_sent(self, closes: bool, may_follow: bool) -> None:
        """Handles the end of the current response.

        Args:
          closes: The response announced that the connection closes.
          may_follow: The caller may have pipelined further requests.
        """


def status_line(status: int) -> bytes:
    """Returns the status line of a response."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"HTTP/1.1 {status} {phrase}\r\n".encode()


class ResponseWriter:
    """Writes the response to one request: whole, or chunked.

    Attributes:
      on_caller_gone: Called once if the caller disconnects before the end of
        the response.
      on_caller_slow: Called with True when the caller reads too slowly, and
        with False when it has caught up.
    """

    __slots__ = (
        "on_caller_gone",
        "on_caller_slow",
        "_connection",
        "_keep_alive",
        "_is_head_request",
        "_has_body",
        "_is_started",
        "_is_finished",
        "_closes_after",
    )

    def __init__(
        self, connection: Connection, keep_alive: bool, is_head_request: bool
    ):
        self.on_caller_gone: Callable[[], None] | None = None
        self.on_caller_slow: Callable[[bool], None] | None = None
        self._connection = connection
        self._keep_alive = keep_alive
        self._is_head_request = is_head_request
        self._has_body = False
        self._is_started = False
        self._is_finished = False
        self._closes_after = False

    @property
    def is_started(self) -> bool:
        """Whether the head of the response was sent."""
        return self._is_started

    @property
    def is_finished(self) -> bool:
        """Whether the response ended or the caller disconnected."""
        return self._is_finished

    def send_response(
        self, status: int, headers: Iterable[serving.Header], body: bytes
    ) -> None:
        """Sends a complete response."""
        if self._is_finished:
            return
        self._is_started = True
        out = [status_line(status), encode_headers(headers)]
        self._has_body = self._may_have_body(status)
        # The length of the body that HEAD asked about is known only with it.
        if self._has_body or (body and status not in _BODYLESS_STATUSES):
            out.append(b"content-length: %d\r\n" % len(body))
        out.append(self._connection_header())
        out.append(b"\r\n")
        if self._has_body and len(body) <= _JOINED_BODY_BYTES:
            out.append(body)
        self._connection.write(b"".join(out))
        if self._has_body and len(body) > _JOINED_BODY_BYTES:
            self._connection.write(body)
        self._finish()

    def begin_chunked(
        self, status: int, headers: Iterable[serving.Header], first: bytes
    ) -> None:
        """Sends the head and the first chunk of a chunked response."""
        if self._is_finished:
            return
        self._is_started = True
        out = [status_line(status), encode_headers(headers)]
        self._has_body = self._may_have_body(status)
        if self._has_body:
            out.append(b"transfer-encoding: chunked\r\n")
        out.append(self._connection_header())
        out.append(b"\r\n")
        if self._has_body:
            out.append(_encode_chunk(first))
        self._connection.write(b"".join(out))

    def send_chunk(self, data: bytes) -> None:
        """Sends a further chunk."""
        if not self._is_finished and self._has_body and data:
            self._connection.write(_encode_chunk(data))

    def end_chunked(self) -> None:
        """Ends a chunked response as complete."""
        if not self._is_finished:
            if self._has_body:
                self._connection.write(b"0\r\n\r\n")
            self._finish()

    def abort(self) -> None:
        """Aborts the connection, so that the response looks incomplete."""
        if not self._is_finished:
            self._is_finished = True
            self._connection.abort()

    def notify_caller_gone(self) -> None:
        """Handles the caller's disconnect."""
        if self._is_finished:
            return
        self._is_finished = True
        if self.on_caller_gone is not None:
            self.on_caller_gone()

    def notify_caller_slow(self, is_slow: bool) -> None:
        """Handles a caller that reads slowly, or has caught up."""
        if self.on_caller_slow is not None and not self._is_finished:
            self.on_caller_slow(is_slow)

    def _may_have_body(self, status: int) -> bool:
        return not self._is_head_request and status not in _BODYLESS_STATUSES

    def _connection_header(self) -> bytes:
        self._closes_after = (
            not self._keep_alive or self._connection.closes_after_response
        )
        if self._closes_after:
            return b"connection: close\r\n"
        return self._connection.keep_alive_header

    def _finish(self) -> None:
        self._is_finished = True
        self._connection.on_response_sent(self._closes_after, self._keep_alive)


def encode_headers(headers: Iterable[serving.Header]) -> bytes:
    """Returns the lines of those headers that belong to the message itself."""
    return b"".join(
        name + b": " + value + b"\r\n"
        for name, value in connection_headers.without(headers)
    )


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"
