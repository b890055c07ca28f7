"""HTTP/1.1 client connection to an upstream or to the store, on asyncio.

A response that is truncated, malformed or meant for another request must
never pass as valid. The connection delivers each response to one receiver,
reports how it ended, and tells whether it can be reused. An upstream that sends
without end is cut off (`sesamecross.ops.fleet.answer_bounds`). `httptools` does
the parsing.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

import httptools

from sesamecross.core import body_buffer
from sesamecross.core import serving
from sesamecross.ops.fleet import answer_bounds
from sesamecross.runtime import event_loop
from sesamecross.transport import keepalive

# The connection is closed after more responses to other requests than this:
# the upstream is not going to respond to the current one.
_MAX_MISMATCHED_RESPONSES = 4
_FIRST_FINAL_STATUS = 200
# A large body is handed to the socket in pieces as the upstream takes them, and
# after so many of them the event loop serves others.
_PIECES_PER_TURN = 4
_TRANSFER_ENCODING = b"transfer-encoding"
_CHUNKED = b"chunked"


class ResponseReceiver(Protocol):
    """Callbacks for one response."""

    def on_head(self, status: int, headers: list[serving.Header]) -> bool:
        """Handles the head; returns False if it is for another request."""

    def on_body(self, data: bytes) -> None:
        """Handles a part of the body."""

    def on_end(self) -> None:
        """Handles the end of a complete response."""

    def on_failure(self, reason: str) -> None:
        """Handles a response that will never be complete."""


def encode_request(
    method: bytes,
    target: bytes,
    headers: list[serving.Header],
    body: bytes | body_buffer.BodyBuffer,
) -> bytes:
    """Encodes a request with a content length; the body is never chunked.

    A body that has a buffer is left out: `ClientConnection.send` takes it.
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines.extend(name + b": " + value for name, value in headers)
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % len(body))
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if isinstance(body, body_buffer.BodyBuffer) else head + body


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Attributes:
      request_count: Number of requests sent on it.
      idle_since_s: Loop time at which the last response ended.
      keep_alive_s: How long the server keeps it open while idle, from its
        keep-alive header; None if not given.
      closed_s: Loop time at which the server closed it; None while it is open.
      relayed_by: The instance that relays it, or empty. Such a connection
        carries one request.
      on_lost: Called when the connection is closed.
    """

    __slots__ = (
        "request_count",
        "idle_since_s",
        "keep_alive_s",
        "closed_s",
        "relayed_by",
        "on_lost",
        "_loop",
        "_transport",
        "_parser",
        "_receiver",
        "_headers",
        "_is_head_request",
        "_is_accepted",
        "_mismatched_responses",
        "_has_framing",
        "_has_head",
        "_is_unusable",
        "_is_complete",
        "_meter",
        "_unsent_body",
        "_sent_bytes",
        "_is_write_paused",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, relayed_by: str = ""):
        self.request_count = 0
        self.relayed_by = relayed_by
        self.idle_since_s = loop.time()
        self.keep_alive_s: float | None = None
        self.closed_s: float | None = None
        self.on_lost: Callable[[ClientConnection], None] | None = None
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._receiver: ResponseReceiver | None = None
        self._headers: list[serving.Header] = []
        self._is_head_request = False
        self._is_accepted = False
        self._mismatched_responses = 0
        self._has_framing = False
        self._has_head = False
        self._is_unusable = False
        self._is_complete = False
        self._meter = answer_bounds.AnswerMeter()
        # A large body of which a part has not been handed to the socket, and
        # how much of it has been.
        self._unsent_body: body_buffer.BodyBuffer | None = None
        self._sent_bytes = 0
        self._is_write_paused = False

    @property
    def is_request_sent(self) -> bool:
        """Whether the whole request was handed to the socket."""
        return self._unsent_body is None

    @property
    def is_available(self) -> bool:
        """Whether a request can be sent now."""
        return (
            self._transport is not None
            and not self._is_unusable
            and self._receiver is None
            and not self._transport.is_closing()
        )

    def send(
        self,
        data: bytes,
        receiver: ResponseReceiver,
        is_head_request: bool = False,
        body: body_buffer.BodyBuffer | None = None,
    ) -> None:
        """Sends a request; its response goes to `receiver`.

        Args:
          data: The head, and the body if that has no buffer.
          receiver: Handles the response.
          is_head_request: Whether the response has no body.
          body: A large body; stays open until the request has ended.
        """
        self._receiver = receiver
        self._is_head_request = is_head_request
        self._mismatched_responses = 0
        self._has_head = False
        self._is_complete = False
        self._meter = answer_bounds.AnswerMeter()
        self.request_count += 1
        self._transport.write(data)
        self._sent_bytes = 0
        self._unsent_body = body
        self._send_pieces()

    def _send_pieces(self) -> None:
        """Sends some of the body that is left, as far as the upstream reads."""
        for _ in range(_PIECES_PER_TURN):
            body = self._unsent_body
            if body is None or self._is_write_paused:
                return
            if self._transport is None or self._transport.is_closing():
                return
            piece = body.read(self._sent_bytes, body_buffer.PIECE_BYTES)
            self._sent_bytes += len(piece)
            if self._sent_bytes >= len(body):
                self._unsent_body = None
            self._transport.write(piece)
        if self._unsent_body is not None:
            self._loop.call_soon(self._send_pieces)

    def pause_writing(self) -> None:
        """Stops sending the body while the upstream reads slowly."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Goes on sending the body."""
        self._is_write_paused = False
        self._send_pieces()

    def pause(self) -> None:
        """Pauses reading while the response's consumer is slow."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resumes reading."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def abort(self) -> None:
        """Closes the connection at once; the receiver is not called again."""
        self._receiver = None
        self._unsent_body = None
        self._is_unusable = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes an idle connection gracefully."""
        self._receiver = None
        self._is_unusable = True
        if self._transport is not None:
            self._transport.close()

    # -- asyncio.Protocol ----------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport and enables keepalive."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            keepalive.enable(sock)

    def data_received(self, data: bytes) -> None:
        """Parses data; unexpected data makes the connection unusable."""
        if self._receiver is None:
            self._abandon()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._on_invalid_data("upstream switched protocols")
        except httptools.HttpParserError as error:
            self._on_invalid_data(f"malformed response: {error}")
        if self._is_complete:
            self._finish_response()
            return
        self._meter.add_received(len(data), self._loop.time())
        if self._meter.excess is not None:
            self._fail(self._meter.excess.value)

    def _on_invalid_data(self, reason: str) -> None:
        # Data after a complete response is not part of it.
        self._is_unusable = True
        if not self._is_complete:
            self._fail(reason)

    def eof_received(self) -> bool:
        """Ends a response without framing; any other one is truncated."""
        self.closed_s = self._loop.time()
        if self._receiver is not None:
            if self._has_head and self._is_accepted and not self._has_framing:
                self._is_unusable = True
                self._is_complete = True
                self._finish_response()
            else:
                self._fail("closed before the whole answer")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Handles a reset or the close of the connection."""
        self._is_unusable = True
        self._fail(f"connection lost: {error or 'closed'}")
        self._transport = None
        if self.on_lost is not None:
            self.on_lost(self)

    # -- httptools -----------------------------------------------------

    def on_message_begin(self) -> None:
        """Starts a message; one after a complete response is unexpected."""
        if self._is_complete:
            self._is_unusable = True
        self._headers = []
        self._has_framing = False
        self._meter.begin_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; its name is lower-cased."""
        if not self._meter.add_field():
            return
        name = name.lower()
        self._headers.append((name, value))
        if name in (b"content-length", _TRANSFER_ENCODING):
            self._has_framing = True
        elif name == b"keep-alive":
            self._read_keep_alive(value)

    def _read_keep_alive(self, value: bytes) -> None:
        for item in value.split(b","):
            name, _, number = item.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.keep_alive_s = float(number)

    def on_headers_complete(self) -> None:
        """Passes the head of an expected response to the receiver."""
        status = self._parser.get_status_code()
        self._is_accepted = False
        if self._is_complete or self._meter.excess is not None:
            return
        if status < _FIRST_FINAL_STATUS:
            self._meter.add_informational_head()
            return
        if not self._parser.should_keep_alive():
            self._is_unusable = True
        if self._receiver is None:
            return
        if self._has_unknown_coding():
            self._fail("response in an unknown transfer coding")
            return
        if self._receiver.on_head(status, self._headers):
            self._has_head = True
            self._meter.add_head()
            if self._is_head_request:
                # The parser can't be told that no body follows.
                self._is_unusable = True
                self._is_complete = True
            else:
                self._is_accepted = True
            return
        self._mismatched_responses += 1
        # A message without framing can't be told from what follows it.
        if (
            self._mismatched_responses > _MAX_MISMATCHED_RESPONSES
            or not self._has_framing
        ):
            self._fail("responses to other requests")

    def _has_unknown_coding(self) -> bool:
        """Whether the body's bytes are not the upstream's own."""
        return any(
            coding.strip().lower() != _CHUNKED
            for name, value in self._headers
            if name == _TRANSFER_ENCODING
            for coding in value.split(b",")
        )

    def on_body(self, data: bytes) -> None:
        """Passes body data to the receiver."""
        if self._is_accepted and self._receiver is not None:
            self._meter.add_body(len(data))
            self._receiver.on_body(data)

    def on_message_complete(self) -> None:
        """Marks the accepted response as complete."""
        if self._is_accepted:
            self._is_complete = True
            self._is_accepted = False

    # -- completion ----------------------------------------------------

    def _finish_response(self) -> None:
        receiver = self._receiver
        if receiver is None:
            return
        self._receiver = None
        # Reading may still be paused for a slow caller; a pooled connection
        # that is not read would never respond to the next request.
        self.resume()
        self.idle_since_s = self._loop.time()
        if self._transport is None:
            self._is_unusable = True
        elif (
            self._unsent_body is not None
            or self._transport.get_write_buffer_size() > 0
        ):
            # The upstream responded before it had read the request; it would
            # take the bytes still to be written for the next request.
            self._is_unusable = True
        self._unsent_body = None
        receiver.on_end()
        if self._is_unusable and self._transport is not None:
            self._transport.close()

    def _fail(self, reason: str) -> None:
        receiver = self._receiver
        self._abandon()
        if receiver is not None:
            receiver.on_failure(reason)

    def _abandon(self) -> None:
        """Aborts the connection: response boundaries on it are unknown."""
        self.abort()


async def connect(address: str, timeout_s: float) -> ClientConnection:
    """Opens a connection to an IP address and port.

    Raises:
      OSError: The connection failed or timed out (`TimeoutError`).
    """
    loop = event_loop.running()
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: ClientConnection(loop), host, int(port)
        )
    return connection
