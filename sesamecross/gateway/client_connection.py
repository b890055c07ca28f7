"""One HTTP/1.1 connection to an upstream or to the store, on asyncio.

Why: an answer that is cut short, has a strange byte, or belongs to another
request must never look like a good one. The connection gives each answer to
one receiver, tells exactly how it ended, and says whether another request
may follow on it. Parsing is `httptools`'.
"""

import asyncio
from collections.abc import Callable
import socket
from typing import Protocol

import httptools

from sesamecross.core import serving

# After this many answers that belong to other requests, the connection is
# given up: an upstream that goes on like this is not answering ours.
_STRANGE_ANSWERS_MOST = 4
_STATUS_CONTINUE_END = 200
# Probes on a connection where nothing moves: a peer that lost power or was
# cut off shows after about 3 s, and not at the end of a long wait.
_PROBE_IDLE_S = 1
_PROBE_EVERY_S = 1
_PROBES = 2
_USER_TIMEOUT_MS = 3000


class ResponseReceiver(Protocol):
    """Who gets an answer, piece by piece."""

    def on_head(self, status: int, headers: list[serving.Header]) -> bool:
        """Takes the head; returns False if the answer isn't its own."""

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""

    def on_end(self) -> None:
        """The answer is complete."""

    def on_broken(self, reason: str) -> None:
        """The answer will never be complete."""


def encode_request(
    method: bytes,
    target: bytes,
    headers: list[serving.Header],
    body: bytes,
) -> bytes:
    """Returns a request with a length, whatever framing it came in."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines.extend(name + b": " + value for name, value in headers)
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def enable_keepalive(sock: socket.socket) -> None:
    """Makes the kernel find out when the other end is silently gone.

    A connection can go silent without a reset when the other machine loses
    power or a partition drops its state; only probes show it.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _PROBE_EVERY_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Attributes:
      requests: How many requests were sent on it.
      idle_since_s: Loop time of the end of the last answer.
      keep_s: How long the other side keeps it open while idle, by its word.
    """

    __slots__ = (
        "requests",
        "idle_since_s",
        "keep_s",
        "on_lost",
        "_loop",
        "_transport",
        "_parser",
        "_receiver",
        "_headers",
        "_is_ours",
        "_strange",
        "_is_framed",
        "_has_head",
        "_is_spoilt",
        "_is_complete",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.requests = 0
        self.idle_since_s = loop.time()
        self.keep_s: float | None = None
        self.on_lost: Callable[[ClientConnection], None] | None = None
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._receiver: ResponseReceiver | None = None
        self._headers: list[serving.Header] = []
        self._is_ours = False
        self._strange = 0
        self._is_framed = False
        self._has_head = False
        self._is_spoilt = False
        self._is_complete = False

    @property
    def is_open(self) -> bool:
        """Whether a request may be sent now."""
        return (
            self._transport is not None
            and not self._is_spoilt
            and self._receiver is None
            and not self._transport.is_closing()
        )

    def send(self, data: bytes, receiver: ResponseReceiver) -> None:
        """Sends a request; its answer goes to `receiver`."""
        self._receiver = receiver
        self._strange = 0
        self._has_head = False
        self._is_complete = False
        self.requests += 1
        self._transport.write(data)

    def pause(self) -> None:
        """Stops reading: the answer's reader is slow."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Reads on."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def abort(self) -> None:
        """Ends the connection at once; the receiver hears no more."""
        self._receiver = None
        self._is_spoilt = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Ends an idle connection in order."""
        self._receiver = None
        self._is_spoilt = True
        if self._transport is not None:
            self._transport.close()

    # -- asyncio.Protocol ----------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the transport."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            enable_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Parses what came; bytes that nobody waits for spoil it."""
        if self._receiver is None:
            self._spoil()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the upstream switched the protocol")
        except httptools.HttpParserError as error:
            if self._is_complete:
                # Strange bytes behind a whole answer belong to nobody.
                self._spoil()
            else:
                self._fail(f"bytes that are no answer: {error}")
        if self._is_complete:
            self._finish()

    def eof_received(self) -> bool:
        """An answer without a length ends here, any other one is cut."""
        if self._receiver is not None:
            if self._has_head and self._is_ours and not self._is_framed:
                self._is_spoilt = True
                self._is_complete = True
                self._finish()
            else:
                self._fail("closed before the whole answer")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """A reset, or the end of a connection."""
        self._is_spoilt = True
        self._fail(f"connection lost: {error or 'closed'}")
        self._transport = None
        if self.on_lost is not None:
            self.on_lost(self)

    # -- httptools -----------------------------------------------------

    def on_message_begin(self) -> None:
        """A message begins; behind a whole answer it is not ours."""
        if self._is_complete:
            self._is_spoilt = True
        self._headers = []
        self._is_framed = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header, its name in lower case."""
        name = name.lower()
        self._headers.append((name, value))
        if name in (b"content-length", b"transfer-encoding"):
            self._is_framed = True
        elif name == b"keep-alive":
            self._note_keep_alive(value)

    def _note_keep_alive(self, value: bytes) -> None:
        for item in value.split(b","):
            name, _, number = item.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.keep_s = float(number)

    def on_headers_complete(self) -> None:
        """Hands the head over, unless the message is not ours."""
        status = self._parser.get_status_code()
        self._is_ours = False
        if self._is_complete or status < _STATUS_CONTINUE_END:
            return
        if not self._parser.should_keep_alive():
            self._is_spoilt = True
        if self._receiver is None:
            return
        if self._receiver.on_head(status, self._headers):
            self._is_ours = True
            self._has_head = True
            return
        self._strange += 1
        # What has no length can't be told from what follows it.
        if self._strange > _STRANGE_ANSWERS_MOST or not self._is_framed:
            self._fail("answers to other requests")

    def on_body(self, data: bytes) -> None:
        """Hands a piece of the body over."""
        if self._is_ours and self._receiver is not None:
            self._receiver.on_body(data)

    def on_message_complete(self) -> None:
        """Notes that the whole answer is there."""
        if self._is_ours:
            self._is_complete = True
            self._is_ours = False

    # -- ends ----------------------------------------------------------

    def _finish(self) -> None:
        receiver = self._receiver
        if receiver is None:
            return
        self._receiver = None
        # Its caller may have been slow up to the end. Unread, a kept
        # connection would give the next request no answer.
        self.resume()
        self.idle_since_s = self._loop.time()
        if self._transport is None:
            self._is_spoilt = True
        elif self._transport.get_write_buffer_size() > 0:
            # The upstream answered before it had read the request: what is
            # still to be written would be taken for the next one.
            self._is_spoilt = True
        receiver.on_end()
        if self._is_spoilt and self._transport is not None:
            self._transport.close()

    def _fail(self, reason: str) -> None:
        receiver = self._receiver
        self._spoil()
        if receiver is not None:
            receiver.on_broken(reason)

    def _spoil(self) -> None:
        """No request may follow: nobody knows where an answer begins."""
        self._receiver = None
        self._is_spoilt = True
        if self._transport is not None:
            self._transport.abort()


async def connect(address: str, timeout_s: float) -> ClientConnection:
    """Opens a connection to an IP number and port.

    Raises:
      OSError: Nobody accepts it, or not in time (`TimeoutError`).
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: ClientConnection(loop), host, int(port)
        )
    return connection
