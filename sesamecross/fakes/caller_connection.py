"""Fakes around one caller's connection: its transport, handler and clock."""

import asyncio

import msgspec

from sesamecross.core import serving
from sesamecross.gateway import response_writer as response_writer_lib
from sesamecross.gateway import server_connection

LIMITS = serving.CallerLimits(
    max_header_bytes=400,
    max_body_bytes=100,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class RecordingTransport(asyncio.Transport):
    """Records the written data until it is closed.

    Attributes:
      closes_at_eof: Whether the caller closes once it has read the response.
    """

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.is_closed = False
        self.is_paused = False
        self.closes_at_eof = True

    def write(self, data) -> None:
        """Records data unless the transport is closed."""
        if not self.is_closed:
            self.written += data

    def close(self) -> None:
        """Closes it."""
        self.is_closed = True

    def write_eof(self) -> None:
        """Records the end of what is written."""
        self.is_closed = self.is_closed or self.closes_at_eof

    def get_write_buffer_size(self) -> int:
        """Returns 0: all data is taken at once."""
        return 0

    def abort(self) -> None:
        """Closes it."""
        self.is_closed = True

    def is_closing(self) -> bool:
        """Whether it is closed."""
        return self.is_closed

    def pause_reading(self) -> None:
        """Records that nothing is read."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Records that data is read."""
        self.is_paused = False

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Nothing is buffered here."""


class AnsweringHandler:
    """Responds to every request at once, and records the requests."""

    def __init__(self) -> None:
        self.limits = LIMITS
        self.is_closing = False
        self.requests: list[tuple[bytes, bytes, bytes]] = []
        self.headers: list[list[serving.Header]] = []
        self.shed = 0

    def parse_request(self, head, body):
        """Records the request."""
        self.requests.append((head.method, head.target, body))
        self.headers.append(head.headers)
        return object()

    def handle(self, request, response_writer) -> None:
        """Responds at once."""
        response_writer.send_response(200, [(b"x-answer", b"yes")], b"ok")

    def on_rejected(self, status, reason) -> None:
        """Tests check the written status instead."""

    def on_unfinished(self, connection, size) -> None:
        """Counts nothing."""

    def reserve_head(self, head):
        """Reserves nothing."""
        return lambda: None

    def on_shed(self) -> None:
        """Counts connections that were closed unread."""
        self.shed += 1


class ManualHandler(AnsweringHandler):
    """Leaves the responses to the test."""

    def __init__(self) -> None:
        super().__init__()
        self.response_writers: list[response_writer_lib.ResponseWriter] = []

    def handle(self, request, response_writer) -> None:
        """Keeps the response for the test."""
        self.response_writers.append(response_writer)


class TimedConnection:
    """A connection whose clock the test advances."""

    def __init__(self) -> None:
        self.handler = ManualHandler()
        self.transport = RecordingTransport()
        self.loop = ClockLoop()
        self.connection = server_connection.ServerConnection(
            self.handler, self.loop, set()
        )
        self.connection.connection_made(self.transport)

    def set_limits(self, **changed) -> None:
        """Changes limits that are in force."""
        self.handler.limits = msgspec.structs.replace(
            self.handler.limits, **changed
        )

    def respond(self) -> None:
        """Responds to the newest request."""
        self.handler.response_writers.pop().send_response(200, [], b"ok")


class _ClockTimer:
    def __init__(self, at_s: float, call):
        self.at_s = at_s
        self.call = call
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class ClockLoop:
    """Event loop with timers on a manual clock."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.timers: list[_ClockTimer] = []

    def time(self) -> float:
        """Returns the clock."""
        return self.now_s

    def call_later(self, after_s, call, *args) -> _ClockTimer:
        """Adds a timer."""
        timer = _ClockTimer(self.now_s + after_s, call)
        self.timers.append(timer)
        return timer

    def advance(self, by_s: float) -> None:
        """Advances the clock, and fires what is due."""
        until_s = self.now_s + by_s
        while due := [
            one
            for one in self.timers
            if not one.is_cancelled and one.at_s <= until_s
        ]:
            first = min(due, key=lambda one: one.at_s)
            self.timers.remove(first)
            self.now_s = max(self.now_s, first.at_s)
            first.call()
        self.now_s = until_s
