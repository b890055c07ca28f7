"""One streamed call to an engine, on a dedicated connection.

An answer must never reach another caller, so each connection carries one call
and is closed after it; a late answer can't be delivered. `httptools` parses the
body incrementally, so that one thread can relay the tokens of all calls without
blocking on any (measurements are in docs/design/0004-relay.md).
"""

import dataclasses
import socket
import time
import urllib.parse

import httptools
from urllib3.util import connection

from sesamecross.core import retry_after
from sesamecross.ops.fleet import answer_bounds
from sesamecross.ports import http_client
from sesamecross.ports import sse

_READ_BYTES = 65_536
_CONNECT_TIMEOUT_S = 0.5
MAX_ERROR_BYTES = 1024 * 1024
_FIRST_FINAL_STATUS = 200
_FRAMING_HEADERS = ("content-length", "transfer-encoding")


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """One call to dispatch to an engine.

    Attributes:
      head_timeout_s: Timeout for the response head, in seconds.
      resume_after: Number of tokens that the caller already has; the engine
        continues after them.
    """

    url: str
    path: str
    body: bytes
    request_id: str
    priority: int
    head_timeout_s: float
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
    """The engine answered with an error.

    Attributes:
      not_run: Why the engine did not start the call: "leaving" or
        "not-resident"; empty if it does not say.
      backoff_s: For how long it wants no calls, in seconds; None if it does
        not say.
    """

    status: int
    content_type: str
    body: bytes
    not_run: str = ""
    backoff_s: float | None = None


class StreamBroken(Exception):
    """The connection failed or received invalid data."""


class _ResponseHandler:
    """Callbacks of the HTTP parser, which collect the final response.

    Attributes:
      meter: Counts what arrives.
    """

    __slots__ = (
        "meter",
        "headers",
        "parser",
        "status",
        "is_head_complete",
        "is_complete",
        "chunks",
    )

    def __init__(self) -> None:
        self.meter = answer_bounds.AnswerMeter()
        self.headers: dict[str, str] = {}
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.is_head_complete = False
        self.is_complete = False
        self.chunks: list[bytes] = []

    @property
    def is_framed(self) -> bool:
        """Whether the end of the connection doesn't end the body."""
        return not self.headers.keys().isdisjoint(_FRAMING_HEADERS)

    def on_message_begin(self) -> None:
        self.meter.begin_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        # What follows the head are trailers, or another response.
        if self.meter.add_field() and not self.is_head_complete:
            key = name.decode("latin-1").lower()
            self.headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if self.is_head_complete:
            return
        if status < _FIRST_FINAL_STATUS:
            self.headers.clear()
            self.meter.add_informational_head()
            return
        self.meter.add_head()
        self.status = status
        self.is_head_complete = True

    def on_body(self, body: bytes) -> None:
        if not self.is_complete:
            self.meter.add_body(len(body))
            self.chunks.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = self.is_head_complete


class EngineStream:
    """An engine's streamed response. The owner must close it."""

    __slots__ = ("_socket", "_response", "_event_parser", "_ended")

    def __init__(self, sock: socket.socket):
        self._socket = sock
        self._response = _ResponseHandler()
        self._event_parser = sse.EventParser()
        self._ended = False

    @classmethod
    def open(
        cls, request: CallRequest
    ) -> "EngineStream | Rejected | http_client.NotSent | http_client.Failed":
        """Dispatches a call and waits for the response head."""
        parts = urllib.parse.urlsplit(request.url)
        try:
            sock = connection.create_connection(
                (parts.hostname, parts.port),
                timeout=_CONNECT_TIMEOUT_S,
                socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)],
            )
        except OSError as error:
            return http_client.NotSent(type(error).__name__)
        return cls(sock).read_answer(request)

    def read_answer(
        self, request: CallRequest
    ) -> "EngineStream | Rejected | http_client.Failed":
        """Sends a call on the stream's connection and reads the head."""
        try:
            return self._send_and_read_head(request)
        except (OSError, StreamBroken) as error:
            self.close()
            return http_client.Failed(type(error).__name__)

    def _send_and_read_head(self, request: CallRequest):
        self._socket.settimeout(request.head_timeout_s)
        self._socket.sendall(request.wire())
        while not self._response.is_head_complete:
            self._feed(self._socket.recv(_READ_BYTES))
        answered = self._response.headers.get(
            "x-request-id", request.request_id
        )
        if answered != request.request_id:
            # This is the answer to another call, so nothing on this connection
            # can be trusted.
            raise StreamBroken("answer of another call")
        if self._response.status == 200:
            return self
        return self._read_rejection()

    def _read_rejection(self) -> Rejected:
        while not self._ended:
            if sum(map(len, self._response.chunks)) > MAX_ERROR_BYTES:
                raise StreamBroken("rejection too large")
            self._feed(self._socket.recv(_READ_BYTES))
        if not self._response.is_framed or not self._response.is_complete:
            raise StreamBroken("closed before the end")
        headers = self._response.headers
        rejected = Rejected(
            self._response.status,
            headers.get("content-type", ""),
            b"".join(self._response.chunks),
            # One that names no call may have been sent before this one came.
            headers.get("x-not-run", "") if "x-request-id" in headers else "",
            retry_after.parse_s(headers.get("retry-after")),
        )
        self.close()
        return rejected

    def _feed(self, data: bytes) -> None:
        if not data:
            if not self._response.is_head_complete:
                raise StreamBroken("closed before the head")
            self._ended = True
            return
        try:
            self._response.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._response.is_complete:
                raise StreamBroken(f"not HTTP ({error})") from error
        self._ended = self._ended or self._response.is_complete
        meter = self._response.meter
        meter.add_received(len(data), time.monotonic())
        if meter.excess is not None and not self._ended:
            raise StreamBroken(meter.excess.value)

    def fileno(self) -> int:
        """Returns the file descriptor to wait on."""
        return self._socket.fileno()

    @property
    def version(self) -> str:
        """The version of the engine's software; empty if it states none."""
        return self._response.headers.get("x-version", "")

    @property
    def ended(self) -> bool:
        """Whether the body is complete or the engine closed the connection."""
        return self._ended

    def read(self, wait_s: float | None) -> list[sse.Event]:
        """Returns the next events.

        Args:
          wait_s: How long to wait for data, in seconds; None does not wait.

        Raises:
          StreamBroken: The connection failed, stalled, or received invalid
            data.
        """
        events = self._take_events()
        if events or self._ended:
            return events
        try:
            # A timeout of 0 makes the socket non-blocking.
            self._socket.settimeout(wait_s or 0.0)
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return []
        except OSError as error:
            raise StreamBroken(type(error).__name__) from error
        self._feed(data)
        return self._take_events()

    def _take_events(self) -> list[sse.Event]:
        chunks = self._response.chunks
        if not chunks:
            return []
        self._response.chunks = []
        try:
            return self._event_parser.feed(b"".join(chunks))
        except sse.EventTooLargeError as error:
            raise StreamBroken(str(error)) from error

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()
