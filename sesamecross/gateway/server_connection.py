"""HTTP/1.1 server connections of callers.

What callers send determines what upstreams see, so request framing is checked
here and only here: a request is read completely, within the configured limits,
and ambiguous framing (request smuggling) is rejected. Callers keep connections
open for many requests; pipelined ones are handled in order.
"""

import asyncio
from collections import deque
import contextlib

import httptools

from sesamecross.core import body_buffer
from sesamecross.core import connection_limiter
from sesamecross.gateway import incoming_body
from sesamecross.gateway import request_handler
from sesamecross.gateway import response_writer as response_writer_lib
from sesamecross.ops.fleet import body_budget
from sesamecross.ops.fleet import connection_shedder
from sesamecross.ops.fleet import request_meter
from sesamecross.ops.fleet import unfinished_requests
from sesamecross.ops.fleet import unread_answers

# Requests that a caller may pipeline on one connection. Beyond them reading
# is paused, as a flood would otherwise be buffered in memory.
_MAX_PIPELINED = 4
# Bytes that are parsed before the requests among them are counted. Those beyond
# the limit stay unparsed, as a request takes many times its bytes.
_PARSED_BYTES = 2 * 1024
# The same within a body. After so many parts, of a body in small chunks, the
# event loop serves others.
_PARSED_BODY_BYTES = 16 * 1024
_PARTS_PER_TURN = 512
# Each field of a head takes memory beside its bytes.
_MAX_HEADER_FIELDS = 256
# High-water mark of a slow caller's write buffer, above which reading from
# the upstream is paused.
WRITE_BUFFER_HIGH_BYTES = unread_answers.UNCOUNTED_BYTES
# Lingering close: how long a closing connection is still read, so that its
# last response arrives. Covers some round trips between regions and a slow
# link; callers that read the response close earlier. Those that go on sending
# may take as long as for a body.
LINGER_S = 2.0
# What is read at least meanwhile, so that a caller whose body is above a low
# limit learns so.
LINGER_BYTES = 6 * 1024 * 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerConnection(asyncio.Protocol):
    """A caller's connection."""

    __slots__ = (
        "_handler",
        "_loop",
        "_connections",
        "_transport",
        "_parser",
        "_head",
        "_body",
        "_body_size",
        "_incoming_body",
        "_limits",
        "_reject_status",
        "_pipelined",
        "_response_writer",
        "_timer",
        "_armed_limit_s",
        "_advertised_idle_s",
        "_is_reading_head",
        "_is_reading",
        "_owes_continue",
        "_is_closing",
        "_shedder",
        "_limiter",
        "_wait_number",
        "_has_discarded",
        "_discarded_bytes",
        "_is_behind",
        "_unparsed",
        "_is_parsing",
        "_parts",
        "_meter",
        "_handled_head",
        "_has_unfinished",
        "_lingers_until_s",
    )

    def __init__(
        self,
        handler: request_handler.RequestHandler,
        loop: asyncio.AbstractEventLoop,
        connections: set["ServerConnection"],
        shedder: connection_shedder.ConnectionShedder | None = None,
        limiter: connection_limiter.ConnectionLimiter | None = None,
    ):
        """Initializes the connection.

        Args:
          handler: Handles its requests.
          loop: The event loop.
          connections: The open connections.
          shedder: Decides whether the connection is read; all are without it.
          limiter: Bounds the connections of the port; nothing does without it.
        """
        self._shedder = shedder
        self._limiter = limiter
        # Its number at the shedder while it is new and unread.
        self._wait_number: int | None = None
        self._handler = handler
        self._loop = loop
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._head = request_handler.RequestHead()
        # The body being read, in one of both places by its size.
        self._body = b""
        self._incoming_body: incoming_body.IncomingBody | None = None
        self._body_size = 0
        # The limits at the start of the request being read.
        self._limits = handler.limits
        # Status with which the request being read is rejected; 0 if it isn't.
        self._reject_status = 0
        self._pipelined: deque[
            tuple[request_handler.RequestHead, bytes | body_buffer.BodyBuffer]
        ] = deque()
        self._response_writer: response_writer_lib.ResponseWriter | None = None
        self._timer: asyncio.TimerHandle | None = None
        # The caller's time limit for which the timer was armed.
        self._armed_limit_s = 0.0
        # The idle timeout announced to the caller last.
        self._advertised_idle_s = 0.0
        self._is_reading_head = False
        self._is_reading = False
        # Whether the caller waits until it is asked for the body.
        self._owes_continue = False
        self._is_closing = False
        # Whether data came lately from a caller that was already answered, and
        # until when it may go on sending.
        self._has_discarded = False
        self._discarded_bytes = 0
        self._lingers_until_s = 0.0
        # Whether the caller has left more unread than a connection may hold.
        self._is_behind = False
        # What has arrived behind too many pipelined requests.
        self._unparsed = b""
        self._is_parsing = False
        # Parts of bodies that were parsed in this turn of the event loop.
        self._parts = 0
        self._meter = request_meter.RequestMeter()
        # That of the request to which the response belongs.
        self._handled_head: request_handler.RequestHead | None = None
        # Whether what is held for requests that are not handled is counted.
        self._has_unfinished = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled."""
        return (
            self._response_writer is None
            and not self._is_reading
            and not self._pipelined
            and not self._unparsed
        )

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or handled, or a response sent.

        The last bytes of a response stay in the write buffer while its caller
        reads slowly, and are lost when the process exits.
        """
        if self._transport is None:
            return False
        if self._response_writer is not None:
            return True
        if self._is_reading and not self._is_closing:
            return True
        return self._transport.get_write_buffer_size() > 0

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after the current response."""
        return self._is_closing or (
            self._handler.is_closing
            and not self._pipelined
            and not self._unparsed
        )

    @property
    def keep_alive_header(self) -> bytes:
        """Header line with the idle timeout for the caller, or empty."""
        idle_timeout_s = int(self._handler.limits.idle_timeout_s)
        self._advertised_idle_s = idle_timeout_s
        return (
            b"keep-alive: timeout=%d\r\n" % idle_timeout_s
            if idle_timeout_s
            else b""
        )

    # -- asyncio.Protocol ----------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport and starts the idle timeout."""
        if not self._admit():
            self._is_closing = True
            self._handler.on_shed()
            transport.abort()
            return
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)
        self._connections.add(self)
        self._arm_read_timeout()

    def _admit(self) -> bool:
        """Returns whether the new connection is read."""
        if self._shedder is not None:
            self._wait_number = self._shedder.admit(self._loop.time())
            if self._wait_number is None:
                return False
        return self._limiter is None or self._limiter.admit(self)

    def _set_use(self, use: connection_limiter.Use) -> None:
        if self._limiter is not None:
            self._limiter.set_use(self, use)

    def data_received(self, data: bytes) -> None:
        """Parses data."""
        self._end_wait()
        if self._is_closing:
            self._discard(len(data))
            return
        self._unparsed += data
        self._parse()

    def _discard(self, size: int) -> None:
        """Drops what comes after the last request, up to a bound.

        Whoever sends more than a whole request has not been sending one, and
        is read no longer.
        """
        self._has_discarded = True
        self._discarded_bytes += size
        if self._has_discarded_enough:
            self._transport.pause_reading()

    @property
    def _has_discarded_enough(self) -> bool:
        limits = self._handler.limits
        return self._discarded_bytes > max(
            LINGER_BYTES, limits.max_header_bytes + limits.max_body_bytes
        )

    def _parse(self) -> None:
        """Parses what has arrived, until too many requests are pipelined."""
        if self._is_parsing:
            return
        data, start = self._unparsed, 0
        self._unparsed, self._is_parsing = b"", True
        self._parts = 0
        while (
            start < len(data)
            and not self._is_closing
            and self._parts <= _PARTS_PER_TURN
            and len(self._pipelined) <= _MAX_PIPELINED
        ):
            size = _PARSED_BODY_BYTES if self._incoming_body else _PARSED_BYTES
            self._feed(data[start : start + size])
            start += size
        self._is_parsing = False
        self._count_unfinished(max(0, len(data) - start))
        if start < len(data) and not self._is_closing:
            self._unparsed = data[start:]
            self._transport.pause_reading()
            if len(self._pipelined) <= _MAX_PIPELINED:
                self._loop.call_soon(self._resume_reading)

    def _feed(self, data: bytes) -> None:
        if not self._is_reading and not self._is_reading_head:
            # Even an empty line before a request starts the head timeout.
            self._begin_head()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "protocol upgrade not supported")
        except httptools.HttpParserError as error:
            self._reject(self._reject_status or 400, str(error))
        if self._is_reading and self._reject_status:
            self._reject(self._reject_status, "limit exceeded or bad framing")
        self._meter.add_piece(len(data))
        if self._exceeds_header_limits(self._meter.limited_bytes):
            self._reject_overhead()
        if self._is_closing:
            self._forget_request()

    def _forget_request(self) -> None:
        """Returns the memory of a request that is not read on.

        The parser holds a part of it, and this connection.
        """
        self._head.release()
        self._head = request_handler.RequestHead()
        self._body = b""
        self._parser = None

    def _drop_requests(self) -> None:
        """Returns the memory of all requests that are not handled yet."""
        self._discard_body()
        self._forget_request()
        self._unparsed = b""
        for head, body in self._pipelined:
            head.release()
            body_buffer.close(body)
        self._pipelined.clear()
        if self._has_unfinished:
            self._has_unfinished = False
            self._handler.on_unfinished(self, 0)

    def _count_unfinished(self, more: int = 0) -> None:
        """Counts what is held of requests that are not handled yet.

        Args:
          more: Bytes that have arrived and are not parsed.
        """
        # What belongs to a body has the room that was reserved for it.
        size = more if self._incoming_body is None else 0
        if self._is_reading and not self._is_closing:
            fields = len(self._head.headers)
            size += self._meter.overhead_bytes + len(self._body)
            size += unfinished_requests.FIELD_BYTES * fields
        for head, body in self._pipelined:
            size += head.memory_bytes
            size += len(body) if isinstance(body, bytes) else 0
        is_much = size > unfinished_requests.UNCOUNTED_BYTES
        if is_much or self._has_unfinished:
            self._has_unfinished = is_much
            self._handler.on_unfinished(self, size if is_much else 0)

    def _begin_head(self) -> None:
        self._is_reading_head = True
        if self._response_writer is None:
            self._set_use(connection_limiter.Use.UNFINISHED)
        self._arm_read_timeout()

    def _exceeds_header_limits(self, size: int) -> bool:
        """Whether a head exceeds the limits of the request's start and of now.

        The current ones are only asked for if it matters.
        """
        return (
            size > self._limits.max_header_bytes
            and size > self._handler.limits.max_header_bytes
        )

    def _reject_overhead(self) -> None:
        """Rejects a request of which too much came beside its body."""
        if self._is_reading and self._is_reading_head:
            self._reject(431, "head too large")
        elif self._is_reading:
            self._reject(400, "too much framing or too many trailers")
        else:
            self._reject(400, "too many bytes before a request")

    def eof_received(self) -> bool:
        """Treats a half-closed connection as closed."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cleans up, whichever side closed the connection."""
        self._end_wait()
        self._disarm()
        self._connections.discard(self)
        if self._limiter is not None:
            self._limiter.remove(self)
        self._transport = None
        self._is_closing = True
        self._forget_unread()
        self._drop_requests()
        self._release_handled_head()
        if self._response_writer is not None:
            response_writer, self._response_writer = self._response_writer, None
            response_writer.notify_caller_gone()

    def _end_wait(self) -> None:
        if self._wait_number is not None:
            self._shedder.end_wait(self._wait_number)
            self._wait_number = None

    def pause_writing(self) -> None:
        """Reports that the caller reads slowly."""
        self._is_behind = True
        self._loop.call_soon(self._count_unread)
        if self._response_writer is not None:
            self._response_writer.notify_caller_slow(True)

    def resume_writing(self) -> None:
        """Reports that the caller has caught up."""
        self._forget_unread()
        if self._response_writer is not None:
            self._response_writer.notify_caller_slow(False)
        elif not self._is_closing:
            self._handle_next()
            self._resume_reading()

    def _count_unread(self) -> None:
        """Counts what is left of a response that has just been written."""
        if self._is_behind and self._transport is not None:
            size = self._transport.get_write_buffer_size()
            self._handler.on_unread(self, size)

    def _forget_unread(self) -> None:
        if self._is_behind:
            self._is_behind = False
            self._handler.on_unread(self, 0)

    # -- httptools -----------------------------------------------------

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._limits = self._handler.limits
        self._body = b""
        self._body_size = 0
        self._reject_status = 0
        self._owes_continue = False
        self._is_reading = True
        if not self._is_reading_head and not self._is_closing:
            # Its first bytes came in one piece with the end of another request.
            self._begin_head()

    def on_url(self, data: bytes) -> None:
        """Appends a part of the request target."""
        self._head.target += data
        self._count_head_bytes(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; its name is lower-cased.

        Trailers are dropped: they come after the framing, the deadline and the
        key were checked (RFC 9110, 6.5.1).
        """
        if not self._is_reading_head:
            return
        # Four bytes for the colon, the space and the line end.
        self._count_head_bytes(len(name) + len(value) + 4)
        if len(self._head.headers) >= _MAX_HEADER_FIELDS:
            self._reject_status = 431
            return
        self._head.headers.append((name.lower(), value))

    def _count_head_bytes(self, size: int) -> None:
        head = self._head
        head.size += size
        if self._exceeds_header_limits(head.size):
            self._reject_status = 431

    def _exceeds_body_limits(self, size: int) -> bool:
        """Whether a body exceeds the limits of the request's start and of now.

        Operators may lower the limit while it is being sent; the caller could
        not know that, and would not retry after a 413.
        """
        return (
            size > self._limits.max_body_bytes
            and size > self._handler.limits.max_body_bytes
        )

    def on_headers_complete(self) -> None:
        """Checks the framing before any of the body is read."""
        if self._is_closing:
            # Nothing is sent after the last response.
            return
        self._is_reading_head = False
        self._meter.restart()
        head = self._head
        head.method = self._parser.get_method()
        head.keep_alive = self._parser.should_keep_alive()
        if self._reject_status:
            return
        lengths = [v for n, v in head.headers if n == b"content-length"]
        codings = [v for n, v in head.headers if n == b"transfer-encoding"]
        hosts = [v for n, v in head.headers if n == b"host"]
        other_codings = [one for one in codings if one.lower() != b"chunked"]
        # Request smuggling: two parsers could disagree on where the request
        # ends, and part of one caller's body would become another request.
        is_ambiguous = len(lengths) + len(codings) > 1 or other_codings
        if is_ambiguous or len(hosts) != 1:
            self._reject_status = 400
        elif lengths and self._exceeds_body_limits(int(lengths[0])):
            self._reject_status = 413
        elif any(n == b"expect" for n, _ in head.headers):
            self._owes_continue = True
        if not self._reject_status:
            # The body has a timeout of its own.
            self._arm_read_timeout()
            self._reserve_head()
        if not self._reject_status and not self._is_closing:
            length = int(lengths[0]) if lengths else 0
            if length > body_budget.UNCOUNTED_BYTES:
                self._begin_body(length)
        if not self._is_closing:
            self._send_owed_continue()

    def _reserve_head(self) -> None:
        try:
            self._head.reserve(self._handler)
        except incoming_body.NoRoomError as error:
            self._refuse_body(error)

    def _release_handled_head(self) -> None:
        head, self._handled_head = self._handled_head, None
        if head is not None:
            head.release()

    def _send_owed_continue(self) -> None:
        """Asks for the body, unless an earlier response is still to be sent.

        The interim response would be read as a part of it.
        """
        if not self._owes_continue:
            return
        if self._response_writer is not None:
            # The caller may wait, without a limit, until it is asked.
            self._disarm()
            return
        self._owes_continue = False
        self._transport.write(CONTINUE)
        self._arm_read_timeout()

    def on_body(self, data: bytes) -> None:
        """Buffers body data within the limits."""
        self._parts += 1
        if self._is_closing:
            return
        self._body_size += len(data)
        self._meter.add_body(len(data))
        if self._exceeds_body_limits(self._body_size):
            self._reject_status = 413
        if self._reject_status:
            return
        if (
            self._incoming_body is None
            and self._body_size > body_budget.UNCOUNTED_BYTES
        ):
            self._begin_body(None)
        if self._incoming_body is None:
            self._body = self._body + data if self._body else data
            return
        try:
            self._incoming_body.append(data)
        except incoming_body.NoRoomError as error:
            self._refuse_body(error)

    def _begin_body(self, length: int | None) -> None:
        """Reserves the memory for a body, or refuses its request.

        Args:
          length: Bytes of the body; None if it comes in chunks.
        """
        # An operator may have lowered the limit since the request began.
        max_bytes = max(
            self._limits.max_body_bytes, self._handler.limits.max_body_bytes
        )
        try:
            self._incoming_body = self._handler.begin_body(
                self._head, length, max_bytes
            )
            if self._body:
                self._incoming_body.append(self._body)
        except incoming_body.NoRoomError as error:
            self._refuse_body(error)
        self._body = b""

    def _discard_body(self) -> None:
        """Returns the memory of the body being read."""
        body, self._incoming_body = self._incoming_body, None
        if body is not None:
            body.discard()

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        if self._reject_status:
            self._reject(self._reject_status, "invalid complete request")
            return
        if self._is_closing:
            return
        self._is_reading = False
        self._owes_continue = False
        self._meter.restart()
        self._disarm()
        body: bytes | body_buffer.BodyBuffer = self._body
        if self._incoming_body is not None:
            body = self._incoming_body.finish()
        self._body, self._incoming_body = b"", None
        self._pipelined.append((self._head, body))
        self._head = request_handler.RequestHead()
        if len(self._pipelined) > _MAX_PIPELINED:
            self._transport.pause_reading()
        self._handle_next()

    # -- responses -----------------------------------------------------

    def write(self, data: bytes) -> None:
        """Sends bytes of the current response."""
        if self._transport is not None:
            self._transport.write(data)

    def abort(self) -> None:
        """Closes the connection without ending the response."""
        self._is_closing = True
        self._drop_requests()
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection if it is still idle after one more read.

        A request may wait in the socket buffer while the loop is busy. Closing
        the socket would then reset the connection, although the caller sent
        the request in time.
        """
        if self.is_idle and not self._is_closing:
            self._disarm()
            self._timer = self._loop.call_later(0, self._close_if_still_idle)

    def _close_if_still_idle(self) -> None:
        self._timer = None
        if self.is_idle:
            self.close()

    def close(self) -> None:
        """Closes the connection after its write buffer is flushed."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.close()

    def _close_lingering(self) -> None:
        """Starts a lingering close, so that the written data still arrives.

        The caller may still be sending, as only this response tells it to
        stop. Closing a socket with unread data resets the connection, and the
        caller loses what it has not received by then. So only the write side
        is closed; received data is discarded until the caller closes, or has
        sent nothing for `LINGER_S`, or has had the time, or sent the bytes, of
        a whole request.
        """
        self._is_closing = True
        self._set_use(connection_limiter.Use.LINGERING)
        self._has_discarded = False
        self._lingers_until_s = (
            self._loop.time() + self._handler.limits.idle_timeout_s
        )
        # The caller's reset may have arrived without being handled yet.
        with contextlib.suppress(OSError):
            self._transport.write_eof()
        if not self._has_discarded_enough:
            self._transport.resume_reading()
        self._arm(LINGER_S)

    def on_response_sent(self, closes: bool, may_follow: bool) -> None:
        """Handles the end of the current response.

        Args:
          closes: The response announced that the connection closes.
          may_follow: The caller may have pipelined further requests.
        """
        self._response_writer = None
        self._release_handled_head()
        if self._transport is None:
            return
        if closes:
            if may_follow:
                self._close_lingering()
            else:
                self.close()
            return
        if self._is_closing and not self._pipelined:
            # The request behind this one was rejected meanwhile.
            self._close_lingering()
            return
        self._handle_next()
        self._resume_reading()
        self._send_owed_continue()
        if self.is_idle:
            self._is_reading_head = False
            self._set_use(connection_limiter.Use.IDLE)
            self._arm_read_timeout()
        elif self._response_writer is None:
            self._set_use(connection_limiter.Use.UNFINISHED)

    def _resume_reading(self) -> None:
        """Goes on with what has arrived, and then with what arrives."""
        if self._unparsed:
            self._parse()
        if (
            not self._unparsed
            and self._transport is not None
            and not self._transport.is_closing()
            and len(self._pipelined) <= _MAX_PIPELINED
        ):
            self._transport.resume_reading()

    def _handle_next(self) -> None:
        if self._response_writer is not None or not self._pipelined:
            return
        if self._is_behind and self._transport.get_write_buffer_size() > 0:
            # Another answer would only be kept for the caller as well.
            return
        head, body = self._pipelined.popleft()
        self._handled_head = head
        self._set_use(connection_limiter.Use.BUSY)
        is_head_request = head.method == b"HEAD"
        self._response_writer = response_writer_lib.ResponseWriter(
            self, head.keep_alive, is_head_request
        )
        request = self._handler.parse_request(head, body)
        if request is None:
            body_buffer.close(body)
            self._handler.on_rejected(400, "invalid headers")
            self._response_writer.send_response(400, [], b"")
            return
        self._handler.handle(request, self._response_writer)

    def _reject(self, status: int, reason: str) -> None:
        """Rejects the request being read and stops reading requests."""
        if self._is_closing or self._transport is None:
            return
        self._handler.on_rejected(status, reason)
        self._end_requests(status, b"")

    def _end_requests(self, status: int, extra_headers: bytes) -> None:
        """Stops reading requests, and rejects the one being read."""
        self._is_closing = True
        self._discard_body()
        if self._response_writer is None and self._transport is not None:
            self._write_rejection(status, extra_headers)
        # A response in progress ends first; then `closes_after_response`
        # closes the connection.

    def _refuse_body(self, error: incoming_body.NoRoomError) -> None:
        """Refuses the request being read, as there is no memory for its body.

        If a response is in progress, its end closes the connection: the caller
        learns from that that the request was not read.
        """
        headers = self._handler.on_no_room(self._head, error)
        self._end_requests(
            413 if error.retry_after_s is None else 503,
            response_writer_lib.encode_headers(headers),
        )

    def reject_partial_request(self) -> None:
        """Rejects a partially read request, as the process is about to exit.

        It has not run, so the caller can send it to another instance at once.
        """
        if (
            self._is_reading
            and not self._is_closing
            and self._response_writer is None
        ):
            self._handler.on_rejected(503, "incomplete at the process's exit")
            self._end_requests(503, b"retry-after: 0\r\n")

    def _write_rejection(self, status: int, extra_headers: bytes) -> None:
        head = response_writer_lib.status_line(status) + extra_headers
        tail = b"content-length: 0\r\nconnection: close\r\n\r\n"
        self._transport.write(head + tail)
        self._close_lingering()

    # -- timeouts ------------------------------------------------------

    @property
    def _current_limit_s(self) -> float:
        """The caller's timeout in its current phase, by the current limits.

        An idle connection stays at least as long as its caller was told,
        whatever operators have changed since.
        """
        limits = self._handler.limits
        if self._is_reading_head:
            return limits.header_timeout_s
        if self._is_reading:
            return limits.idle_timeout_s
        return max(limits.idle_timeout_s, self._advertised_idle_s)

    def _arm_read_timeout(self) -> None:
        self._armed_limit_s = self._current_limit_s
        self._arm(self._armed_limit_s)

    def _arm(self, after_s: float) -> None:
        self._disarm()
        self._timer = self._loop.call_later(after_s, self._on_timeout)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        if self._is_closing:
            # A response in progress closes the connection when it ends.
            if self._response_writer is None:
                self._end_lingering()
            return
        # Operators may have raised the limit since the timer was armed.
        limit_s, armed_s = self._current_limit_s, self._armed_limit_s
        if limit_s > armed_s:
            self._armed_limit_s = limit_s
            self._arm(limit_s - armed_s)
        elif self._is_reading:
            self._reject(408, "request read timed out")
            self._forget_request()
        else:
            self.close_if_idle()

    def _end_lingering(self) -> None:
        is_sending = self._has_discarded
        self._has_discarded = False
        if self._transport.get_write_buffer_size() > 0 or (
            is_sending and self._loop.time() < self._lingers_until_s
        ):
            # A slow caller still reads the response, or sends its request.
            self._arm(LINGER_S)
        else:
            self._transport.close()
