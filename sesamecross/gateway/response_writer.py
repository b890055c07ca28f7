"""One request's answer on a caller's connection.

Why: who answers a request must not know how answers are framed, and an answer
that ends early must never look complete. Each answer is sent by one exchange,
which says when its caller went away or reads too slowly.
"""

from collections.abc import Callable
import http
from typing import Protocol

from sesamecross.core import serving

_NO_BODY_STATUS = frozenset((204, 304))


class Connection(Protocol):
    """What an answer needs of its caller's connection."""

    @property
    def is_to_close(self) -> bool:
        """Whether the connection ends behind the answer under way."""

    @property
    def keep_alive_line(self) -> bytes:
        """Tells the caller how long the connection may stay idle."""

    def write(self, data: bytes) -> None:
        """Sends bytes of the answer under way."""

    def abort(self) -> None:
        """Ends the connection without an end of the answer."""

    def answered(self, closes: bool, may_follow: bool) -> None:
        """The answer under way is sent."""


def status_line(status: int) -> bytes:
    """Returns the first line of an answer."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"HTTP/1.1 {status} {phrase}\r\n".encode()


class ResponseWriter:
    """One request's answer. Whoever answers calls its methods in order.

    Attributes:
      on_gone: Called once if the caller goes away before the answer's end.
      on_slow: Called with True when the caller reads too slowly, and with
        False when it has caught up.
    """

    __slots__ = (
        "on_gone",
        "on_slow",
        "_connection",
        "_keeps_open",
        "_is_head",
        "_is_begun",
        "_is_over",
        "_closes_after",
    )

    def __init__(self, connection: Connection, keeps_open: bool, is_head: bool):
        self.on_gone: Callable[[], None] | None = None
        self.on_slow: Callable[[bool], None] | None = None
        self._connection = connection
        self._keeps_open = keeps_open
        self._is_head = is_head
        self._is_begun = False
        self._is_over = False
        self._closes_after = False

    @property
    def is_begun(self) -> bool:
        """Whether the head of an answer was sent."""
        return self._is_begun

    @property
    def is_over(self) -> bool:
        """Whether the answer is sent, or the caller is gone."""
        return self._is_over

    def whole(
        self, status: int, headers: list[serving.Header], body: bytes
    ) -> None:
        """Sends a whole answer."""
        if self._is_over:
            return
        self._is_begun = True
        out = [status_line(status), _lines(headers)]
        if status not in _NO_BODY_STATUS:
            out.append(b"content-length: %d\r\n" % len(body))
        out.append(self._connection_line())
        out.append(b"\r\n")
        if not self._is_head:
            out.append(body)
        self._connection.write(b"".join(out))
        self._end()

    def begin(
        self, status: int, headers: list[serving.Header], first: bytes
    ) -> None:
        """Sends the head of an answer in pieces, and its first piece."""
        if self._is_over:
            return
        self._is_begun = True
        out = [status_line(status), _lines(headers)]
        out.append(b"transfer-encoding: chunked\r\n")
        out.append(self._connection_line())
        out.append(b"\r\n")
        out.append(_chunk(first))
        self._connection.write(b"".join(out))

    def piece(self, data: bytes) -> None:
        """Sends a further piece."""
        if not self._is_over and data:
            self._connection.write(_chunk(data))

    def end(self) -> None:
        """Ends an answer in pieces as complete."""
        if not self._is_over:
            self._connection.write(b"0\r\n\r\n")
            self._end()

    def cut(self) -> None:
        """Ends the connection: what was sent must not look complete."""
        if not self._is_over:
            self._is_over = True
            self._connection.abort()

    def gone(self) -> None:
        """The caller went away."""
        if self._is_over:
            return
        self._is_over = True
        if self.on_gone is not None:
            self.on_gone()

    def slow(self, is_slow: bool) -> None:
        """The caller reads slowly, or has caught up."""
        if self.on_slow is not None and not self._is_over:
            self.on_slow(is_slow)

    def _connection_line(self) -> bytes:
        self._closes_after = (
            not self._keeps_open or self._connection.is_to_close
        )
        if self._closes_after:
            return b"connection: close\r\n"
        return self._connection.keep_alive_line

    def _end(self) -> None:
        self._is_over = True
        self._connection.answered(self._closes_after, self._keeps_open)


def _lines(headers: list[serving.Header]) -> bytes:
    return b"".join(name + b": " + value + b"\r\n" for name, value in headers)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"
