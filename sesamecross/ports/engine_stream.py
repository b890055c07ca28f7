"""One streamed call to an engine, on a connection of its own.

Why: an answer must never reach another caller, so a connection carries one
call and is closed behind it; a late answer has nowhere to go. The body is
parsed by `httptools` from whatever bytes there are, so that one thread can
serve the tokens of all calls without waiting on any (see
docs/design/0004-relay.md for what was measured).
"""

import dataclasses
import socket
import urllib.parse

import httptools
from urllib3.util import connection

from sesamecross.ports import http_client
from sesamecross.ports import sse

_READ_BYTES = 65_536
_CONNECT_S = 0.5
MAX_ERROR_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """One call to dispatch to an engine.

    Attributes:
      head_s: How long the head of the answer may take, in seconds.
      resume_after: Tokens that the caller has already; the engine goes on
        behind them.
    """

    url: str
    path: str
    body: bytes
    request_id: str
    priority: int
    head_s: float
    resume_after: int = 0

    def wire(self) -> bytes:
        """Returns the request as bytes."""
        host = urllib.parse.urlsplit(self.url).netloc
        lines = [
            f"POST {self.path} HTTP/1.1",
            f"Host: {host}",
            "Content-Type: application/json",
            f"Content-Length: {len(self.body)}",
            f"X-Request-Id: {self.request_id}",
            f"X-Priority: {self.priority}",
            "Connection: close",
        ]
        if self.resume_after:
            lines.append(f"Last-Event-ID: {self.resume_after}")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The engine answered with an error of its own.

    Attributes:
      not_run: The engine's word that it did not begin: "leaving",
        "not-resident", or empty where it says nothing.
    """

    status: int
    content_type: str
    body: bytes
    not_run: str = ""


class StreamBroken(Exception):
    """The connection failed or carried something invalid."""


class _Body:
    """Callbacks of the HTTP parser."""

    __slots__ = ("headers", "head_done", "complete", "pieces")

    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.head_done = False
        self.complete = False
        self.pieces: list[bytes] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.head_done = True

    def on_body(self, body: bytes) -> None:
        self.pieces.append(body)

    def on_message_complete(self) -> None:
        self.complete = True


class EngineStream:
    """An engine's streamed answer. Must be closed by its owner."""

    __slots__ = ("_socket", "_parser", "_body", "_splitter", "_ended")

    def __init__(self, sock: socket.socket):
        self._socket = sock
        self._body = _Body()
        self._parser = httptools.HttpResponseParser(self._body)
        self._splitter = sse.Splitter()
        self._ended = False

    @classmethod
    def open(
        cls, request: CallRequest
    ) -> "EngineStream | Rejected | http_client.NotSent | http_client.Failed":
        """Dispatches a call and returns when the answer's head is there."""
        parts = urllib.parse.urlsplit(request.url)
        try:
            sock = connection.create_connection(
                (parts.hostname, parts.port),
                timeout=_CONNECT_S,
                socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)],
            )
        except OSError as error:
            return http_client.NotSent(type(error).__name__)
        stream = cls(sock)
        try:
            return stream._begin(request)
        except (OSError, StreamBroken) as error:
            stream.close()
            return http_client.Failed(type(error).__name__)

    def _begin(self, request: CallRequest):
        self._socket.settimeout(request.head_s)
        self._socket.sendall(request.wire())
        while not self._body.head_done:
            self._feed(self._socket.recv(_READ_BYTES))
        answered = self._body.headers.get("x-request-id", request.request_id)
        if answered != request.request_id:
            # An answer to some other call: nothing on this connection can
            # be trusted.
            raise StreamBroken("answer of another call")
        if self._parser.get_status_code() == 200:
            return self
        return self._rejected()

    def _rejected(self) -> Rejected:
        size = 0
        while not self._ended and size < MAX_ERROR_BYTES:
            self._feed(self._socket.recv(_READ_BYTES))
            size = sum(len(piece) for piece in self._body.pieces)
        headers = self._body.headers
        rejected = Rejected(
            self._parser.get_status_code(),
            headers.get("content-type", ""),
            b"".join(self._body.pieces),
            headers.get("x-not-run", ""),
        )
        self.close()
        return rejected

    def _feed(self, data: bytes) -> None:
        if not data:
            if not self._body.head_done:
                raise StreamBroken("closed before the head")
            self._ended = True
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise StreamBroken(f"not HTTP ({error})") from error
        self._ended = self._ended or self._body.complete

    def fileno(self) -> int:
        """Returns the descriptor to wait on."""
        return self._socket.fileno()

    @property
    def ended(self) -> bool:
        """Whether the answer's body has ended or the engine hung up."""
        return self._ended

    def read(self, wait_s: float | None) -> list[sse.Event]:
        """Returns the next events.

        Args:
          wait_s: How long to wait for bytes; None for what is there now.

        Raises:
          StreamBroken: The connection failed, stalled, or carried something
            invalid.
        """
        events = self._take()
        if events or self._ended:
            return events
        try:
            # A timeout of 0 is the library's word for not waiting at all.
            self._socket.settimeout(wait_s or 0.0)
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return []
        except OSError as error:
            raise StreamBroken(type(error).__name__) from error
        self._feed(data)
        return self._take()

    def _take(self) -> list[sse.Event]:
        pieces = self._body.pieces
        if not pieces:
            return []
        self._body.pieces = []
        try:
            return self._splitter.feed(b"".join(pieces))
        except sse.EventTooLarge as error:
            raise StreamBroken(str(error)) from error

    def close(self) -> None:
        """Ends the connection."""
        self._socket.close()
