"""The front door: callers' connections, their requests and answers.

Why: what callers send decides what upstreams see, so framing is judged here
and nowhere else: a request is read whole, within the operators' limits, and
anything that two readers could take differently is refused. Callers keep
connections open for many requests; each is answered in its turn.
"""

import asyncio
from collections import deque
import contextlib
from typing import Protocol

import httptools

from sesamecross.core import serving
from sesamecross.gateway import response_writer as response_writer_lib

# Requests that a caller may send ahead on one connection. Ahead of them the
# connection is not read: a flood would be held in memory otherwise.
_AHEAD_MOST = 4
# What may wait for a slow caller before the upstream is read no further.
WRITE_HIGH_BYTES = 64 * 1024
# How long a connection that ends goes on being read, so that its last answer
# arrives: some round trips between regions, and some of a slow link. Callers
# that read the answer close before.
LINGER_S = 2.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Handler(Protocol):
    """Who answers requests."""

    @property
    def limits(self) -> serving.CallerLimits:
        """The limits in force."""

    @property
    def is_closing(self) -> bool:
        """Whether callers are told to use another connection next."""

    def read_request(self, head: "Head", body: bytes) -> serving.Request | None:
        """Returns the request; None where its headers make no sense."""

    def handle(
        self,
        request: serving.Request,
        response_writer: response_writer_lib.ResponseWriter,
    ) -> None:
        """Answers a whole request through `exchange`, now or later."""

    def rejected(self, status: int, reason: str) -> None:
        """A request was refused before anybody looked at its meaning."""


class Head:
    """A request's head while it is read."""

    __slots__ = ("method", "target", "headers", "size", "keeps_open")

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.headers: list[serving.Header] = []
        self.size = 0
        self.keeps_open = True


class FrontConnection(asyncio.Protocol):
    """A caller's connection."""

    __slots__ = (
        "_handler",
        "_loop",
        "_registry",
        "_transport",
        "_parser",
        "_head",
        "_body",
        "_body_size",
        "_limits",
        "_rejection",
        "_waiting",
        "_response_writer",
        "_timer",
        "_given_s",
        "_promised_s",
        "_is_in_head",
        "_is_reading",
        "_is_closing",
    )

    def __init__(
        self,
        handler: Handler,
        loop: asyncio.AbstractEventLoop,
        registry: set["FrontConnection"],
    ):
        self._handler = handler
        self._loop = loop
        self._registry = registry
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._head = Head()
        self._body: list[bytes] = []
        self._body_size = 0
        # Those in force as the request began that is being read.
        self._limits = handler.limits
        # Status with which the request being read is refused.
        self._rejection = 0
        self._waiting: deque[tuple[Head, bytes]] = deque()
        self._response_writer: response_writer_lib.ResponseWriter | None = None
        self._timer: asyncio.TimerHandle | None = None
        # What the timer was armed with, of the caller's time.
        self._given_s = 0.0
        # How long the caller was last told that it may stay idle.
        self._promised_s = 0.0
        self._is_in_head = False
        self._is_reading = False
        self._is_closing = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._response_writer is None and not self._is_reading

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered, or an answer leaves.

        An answer's last bytes are in the process for as long as its caller
        reads slowly, and are lost with the process.
        """
        if self._transport is None:
            return False
        if self._response_writer is not None:
            return True
        if self._is_reading and not self._is_closing:
            return True
        return self._transport.get_write_buffer_size() > 0

    @property
    def is_to_close(self) -> bool:
        """Whether the connection ends behind the answer under way."""
        return self._is_closing or (
            self._handler.is_closing and not self._waiting
        )

    @property
    def keep_alive_line(self) -> bytes:
        """Tells the caller how long the connection may stay idle."""
        idle_s = int(self._handler.limits.idle_s)
        self._promised_s = idle_s
        return b"keep-alive: timeout=%d\r\n" % idle_s if idle_s else b""

    # -- asyncio.Protocol ----------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the transport; the first head is due within its time."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._registry.add(self)
        self._arm_limit()

    def data_received(self, data: bytes) -> None:
        """Parses what came."""
        if self._is_closing:
            return
        if not self._is_reading:
            # Even an empty line before a request starts its time.
            self._is_in_head = True
            self._arm_limit()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject_now(400, "an upgrade of the protocol")
        except httptools.HttpParserError as error:
            self._reject_now(self._rejection or 400, str(error))
        if self._is_reading and self._rejection:
            self._reject_now(self._rejection, "over its limits")

    def eof_received(self) -> bool:
        """A caller that closes its side has gone away."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The caller is gone, whoever closed the connection."""
        self._disarm()
        self._registry.discard(self)
        self._transport = None
        self._is_closing = True
        self._waiting.clear()
        if self._response_writer is not None:
            response_writer, self._response_writer = self._response_writer, None
            response_writer.gone()

    def pause_writing(self) -> None:
        """The caller reads slowly."""
        if self._response_writer is not None:
            self._response_writer.slow(True)

    def resume_writing(self) -> None:
        """The caller has caught up."""
        if self._response_writer is not None:
            self._response_writer.slow(False)

    # -- httptools -----------------------------------------------------

    def on_message_begin(self) -> None:
        """A request begins."""
        self._head = Head()
        self._limits = self._handler.limits
        self._body = []
        self._body_size = 0
        self._rejection = 0
        self._is_reading = True

    def on_url(self, data: bytes) -> None:
        """A piece of the target."""
        self._head.target += data
        self._grow_head(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header; names are kept in lower case."""
        # Two line ends and the colon count as well.
        self._grow_head(len(name) + len(value) + 4)
        self._head.headers.append((name.lower(), value))

    def _grow_head(self, size: int) -> None:
        head = self._head
        head.size += size
        if (
            head.size > self._limits.head_bytes
            and head.size > self._handler.limits.head_bytes
        ):
            self._rejection = 431

    def _is_body_over(self, size: int) -> bool:
        """Whether a body is too large by all limits that it is held to.

        Operators may lower them while it is being sent; its caller could not
        know, and would not ask again after a 413.
        """
        return (
            size > self._limits.body_bytes
            and size > self._handler.limits.body_bytes
        )

    def on_headers_complete(self) -> None:
        """Judges the framing before any of the body is read."""
        if self._is_closing:
            # Behind a last answer nothing more is said.
            return
        self._is_in_head = False
        head = self._head
        head.method = self._parser.get_method()
        head.keeps_open = self._parser.should_keep_alive()
        if self._rejection:
            return
        lengths = [v for n, v in head.headers if n == b"content-length"]
        codings = [v for n, v in head.headers if n == b"transfer-encoding"]
        hosts = [v for n, v in head.headers if n == b"host"]
        other_codings = [one for one in codings if one.lower() != b"chunked"]
        # Two readers could see the request's end at two places, and one
        # caller's bytes would become another one's request.
        is_ambiguous = len(lengths) + len(codings) > 1 or other_codings
        if is_ambiguous or len(hosts) != 1:
            self._rejection = 400
        elif lengths and self._is_body_over(int(lengths[0])):
            self._rejection = 413
        elif any(n == b"expect" for n, _ in head.headers):
            self._transport.write(_CONTINUE)
        if not self._rejection:
            # The body has a time of its own.
            self._arm_limit()

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""
        self._body_size += len(data)
        if self._is_body_over(self._body_size):
            self._rejection = 413
        elif not self._rejection:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """The request is whole: it is answered in its turn."""
        if self._rejection:
            self._reject_now(self._rejection, "is refused")
            return
        if self._is_closing:
            return
        self._is_reading = False
        self._disarm()
        self._waiting.append((self._head, b"".join(self._body)))
        if len(self._waiting) > _AHEAD_MOST:
            self._transport.pause_reading()
        self._next()

    # -- answers -------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Sends bytes of the answer under way."""
        if self._transport is not None:
            self._transport.write(data)

    def abort(self) -> None:
        """Ends the connection without an end of the answer."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Ends the connection if nothing is asked on it, also not by now.

        A request may wait in the socket while the loop is busy elsewhere.
        Closing on it resets the connection, though the caller did all in
        time; so the loop reads once more before.
        """
        if self.is_idle and not self._is_closing:
            self._disarm()
            self._timer = self._loop.call_later(0, self._close_if_still_idle)

    def _close_if_still_idle(self) -> None:
        self._timer = None
        if self.is_idle:
            self.close()

    def close(self) -> None:
        """Ends the connection behind what was written."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.close()

    def _finish(self) -> None:
        """Ends the connection so that what was written still arrives.

        The caller may be sending still, for it learns only from this answer
        that nobody reads on. A close on bytes that were not read resets the
        connection, and what the caller has not received by then is lost. So
        only the own direction ends; what comes is read and thrown away until
        the caller closes, for a while.
        """
        self._is_closing = True
        # The caller may be gone already; its reset is on the way to us.
        with contextlib.suppress(OSError):
            self._transport.write_eof()
        self._transport.resume_reading()
        self._arm(LINGER_S)

    def answered(self, closes: bool, may_follow: bool) -> None:
        """The answer under way is sent.

        Args:
          closes: It told the caller that the connection ends.
          may_follow: The caller may have sent more behind its request.
        """
        self._response_writer = None
        if self._transport is None:
            return
        if closes:
            if may_follow:
                self._finish()
            else:
                self.close()
            return
        if len(self._waiting) <= _AHEAD_MOST:
            self._transport.resume_reading()
        self._next()
        if self.is_idle:
            self._is_in_head = False
            self._arm_limit()

    def _next(self) -> None:
        if self._response_writer is not None or not self._waiting:
            return
        head, body = self._waiting.popleft()
        is_head = head.method == b"HEAD"
        self._response_writer = response_writer_lib.ResponseWriter(
            self, head.keeps_open, is_head
        )
        request = self._handler.read_request(head, body)
        if request is None:
            self._handler.rejected(400, "headers make no sense")
            self._response_writer.whole(400, [], b"")
            return
        self._handler.handle(request, self._response_writer)

    def _reject_now(self, status: int, reason: str) -> None:
        """Refuses what is being read, and what would follow it."""
        if self._is_closing or self._transport is None:
            return
        self._is_closing = True
        self._handler.rejected(status, reason)
        if self._response_writer is None:
            self._write_empty(status, b"")
        # An answer under way ends first; `is_to_close` closes behind it.

    def refuse_half(self) -> None:
        """Refuses a request that is only half there: the process is to end.

        Nothing of it was used, so it was not run, and its caller may send it
        elsewhere at once.
        """
        if (
            self._is_reading
            and not self._is_closing
            and self._response_writer is None
        ):
            self._is_closing = True
            self._handler.rejected(503, "half there as the process ends")
            self._write_empty(503, b"retry-after: 0\r\n")

    def _write_empty(self, status: int, lines: bytes) -> None:
        head = response_writer_lib.status_line(status) + lines
        tail = b"content-length: 0\r\nconnection: close\r\n\r\n"
        self._transport.write(head + tail)
        self._finish()

    # -- time ----------------------------------------------------------

    @property
    def _allowed_s(self) -> float:
        """How long the caller may take for what it is at.

        By the limits in force; but nobody stays idle for less than it was
        told, whatever operators changed since.
        """
        limits = self._handler.limits
        if self._is_in_head:
            return limits.head_s
        if self._is_reading:
            return limits.idle_s
        return max(limits.idle_s, self._promised_s)

    def _arm_limit(self) -> None:
        self._given_s = self._allowed_s
        self._arm(self._given_s)

    def _arm(self, after_s: float) -> None:
        self._disarm()
        self._timer = self._loop.call_later(after_s, self._on_time)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_time(self) -> None:
        self._timer = None
        if self._is_closing:
            # An answer under way ends the connection by itself.
            if self._response_writer is None:
                self._end_linger()
            return
        # Operators may have given callers more time since it was armed.
        allowed_s, given_s = self._allowed_s, self._given_s
        if allowed_s > given_s:
            self._given_s = allowed_s
            self._arm(allowed_s - given_s)
        elif self._is_reading:
            self._reject_now(408, "the request came too slowly")
        else:
            self.close_if_idle()

    def _end_linger(self) -> None:
        if self._transport.get_write_buffer_size() > 0:
            # A slow caller is still at the answer.
            self._arm(LINGER_S)
        else:
            self._transport.close()
