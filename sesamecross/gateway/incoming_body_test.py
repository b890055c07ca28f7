"""Tests of bodies that need room, on a caller's connection."""

import asyncio
import functools

import msgspec
import pytest

from sesamecross.core import body_buffer
from sesamecross.core import serving
from sesamecross.gateway import incoming_body
from sesamecross.gateway import server_connection
from sesamecross.ops.fleet import body_budget

MEMORY = 10_000_000
LIMITS = serving.CallerLimits(
    max_header_bytes=400,
    max_body_bytes=2_000_000,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
HEAD = b"POST /a HTTP/1.1\r\nHost: a.example\r\n"


class _Loop:
    """A clock and timers that the test moves."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.timers: list[tuple[float, object]] = []
        self.soon: list = []

    def call_soon(self, call) -> None:
        self.soon.append(call)

    def time(self) -> float:
        return self.now_s

    def call_later(self, after_s, call):
        timer = (self.now_s + after_s, call)
        self.timers.append(timer)
        return _Timer(self.timers, timer)

    def advance(self, by_s: float) -> None:
        until_s = self.now_s + by_s
        while due := [one for one in self.timers if one[0] <= until_s]:
            first = min(due, key=lambda one: one[0])
            self.timers.remove(first)
            self.now_s = first[0]
            first[1]()
        self.now_s = until_s


class _Timer:
    def __init__(self, timers, timer) -> None:
        self._timers, self._timer = timers, timer

    def cancel(self) -> None:
        if self._timer in self._timers:
            self._timers.remove(self._timer)


class _Transport(asyncio.Transport):
    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.is_closed = False
        self.unsent = 0

    def write(self, data) -> None:
        self.written += data

    def close(self) -> None:
        self.is_closed = True

    abort = close

    def is_closing(self) -> bool:
        return self.is_closed

    def write_eof(self) -> None:
        """The caller may go on sending."""

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def pause_reading(self) -> None:
        """Nothing is read from here."""

    def resume_reading(self) -> None:
        """Nothing is read from here."""

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Nothing is buffered here."""


class _Caller:
    """A connection, and the handler of its requests."""

    is_closing = False
    limits = LIMITS

    def __init__(self) -> None:
        self.loop = _Loop()
        self.transport = _Transport()
        self.budget = body_budget.BodyBudget(MEMORY, self.loop.time, lambda: 0)
        self.bodies: list = []
        self.writers: list = []
        self.connection = server_connection.ServerConnection(
            self, self.loop, set()
        )
        self.connection.connection_made(self.transport)

    def begin_body(self, head, length, max_bytes):
        return incoming_body.IncomingBody(self.budget, "", length, max_bytes)

    def on_no_room(self, head, error):
        if error.retry_after_s is None:
            return []
        return [(b"retry-after", b"%.2f" % error.retry_after_s)]

    def on_unfinished(self, connection, size) -> None:
        """Counts nothing."""

    def reserve_head(self, head):
        reservation = incoming_body.reserve(self.budget, "", head.memory_bytes)
        return functools.partial(self.budget.release, reservation)

    def on_unread(self, connection, size) -> None:
        """Not bounded here."""

    def on_rejected(self, status, reason) -> None:
        """The status is written."""

    def parse_request(self, head, body):
        self.bodies.append(body)
        return None if head.target == b"/invalid" else object()

    def handle(self, request, response_writer) -> None:
        self.writers.append(response_writer)

    def respond(self) -> None:
        self.writers.pop(0).send_response(200, [], b"")
        body_buffer.close(self.bodies.pop(0))

    def fill(self) -> None:
        while self.budget.reserve(1_000_000, ""):
            pass

    def receive(self, data: bytes) -> None:
        self.connection.data_received(data)

    @property
    def status(self) -> int:
        return int(self.transport.written[9:12] or b"0")


def with_length(size: int, sent: int | None = None) -> bytes:
    body = b"x" * (size if sent is None else sent)
    return HEAD + b"Content-Length: %d\r\n\r\n" % size + body


def in_chunks(size: int, chunk: int, is_whole: bool = True) -> bytes:
    one = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    end = b"0\r\n\r\n" if is_whole else b""
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + one * (size // chunk) + end


def leave(caller: _Caller) -> None:
    caller.connection.connection_lost(None)


ENDINGS = {
    "answered": (with_length(1_000_000), _Caller.respond, 200),
    "answered, in chunks": (in_chunks(1_000_000, 1000), _Caller.respond, 200),
    "answered, small": (with_length(20_000), _Caller.respond, 200),
    "left midway": (with_length(1_000_000, 500_000), leave, 0),
    "left midway, in chunks": (in_chunks(500_000, 1000, False), leave, 0),
    "too slow": (
        with_length(1_000_000, 500_000),
        lambda caller: caller.loop.advance(20.0),
        408,
    ),
    "cut by the stop": (
        with_length(1_000_000, 500_000),
        lambda caller: caller.connection.reject_partial_request(),
        503,
    ),
    "aborted": (
        with_length(1_000_000, 500_000),
        lambda caller: caller.connection.abort(),
        0,
    ),
    "too large": (in_chunks(2_000_100, 100_000 + 5), lambda _: None, 413),
    "bad framing": (
        in_chunks(500_000, 1000, False) + b"?\r\n",
        lambda _: None,
        400,
    ),
    "invalid": (
        with_length(1_000_000).replace(b"/a ", b"/invalid ", 1),
        lambda _: None,
        400,
    ),
}


@pytest.mark.parametrize("name", ENDINGS)
def test_a_body_gives_its_room_back_however_its_request_ends(name):
    """Guards against room that is never free again."""
    data, end, status = ENDINGS[name]
    caller = _Caller()
    for start in range(0, len(data), 60_000):
        caller.receive(data[start : start + 60_000])
        while caller.loop.soon:
            caller.loop.soon.pop()()
    end(caller)
    assert caller.status == status
    assert caller.budget.reserved_bytes == caller.budget.received_bytes == 0


def test_pipelined_bodies_give_their_room_back_when_the_caller_leaves():
    """Guards against room that is never free again."""
    caller = _Caller()
    caller.receive(with_length(20_000) * 3)
    assert caller.budget.reserved_bytes == 60_000
    leave(caller)
    # That of the first is the handler's.
    assert caller.budget.reserved_bytes == 20_000


@pytest.mark.parametrize(
    "data",
    [
        with_length(1_000_000, 0),
        with_length(1_000_000, 30_000),
        in_chunks(100_000, 1000, False),
        HEAD + b"Expect: 100-continue\r\nContent-Length: 1000000\r\n\r\n",
    ],
)
def test_a_body_without_room_is_refused_unread(data):
    """Guards against a request that waits for room until its time is over."""
    caller = _Caller()
    caller.fill()
    before = caller.budget.reserved_bytes
    caller.receive(data)
    assert caller.status == 503
    assert b"retry-after: " in caller.transport.written
    assert b"100 Continue" not in caller.transport.written
    assert caller.budget.reserved_bytes == before
    assert not caller.bodies


@pytest.mark.parametrize(
    "data", [with_length(1_000_000, 0), in_chunks(800_000, 1000)]
)
def test_a_body_that_never_has_room_is_rejected_for_good(data):
    """Guards against callers that return with what can't be served."""
    caller = _Caller()
    caller.budget.set_memory(1_200_000)
    caller.receive(data)
    while caller.loop.soon:
        caller.loop.soon.pop()()
    assert caller.status == 413
    assert b"retry-after" not in caller.transport.written
    assert caller.budget.reserved_bytes == 0


def test_small_bodies_are_read_beside_large_ones():
    """Guards against small requests that are refused beside large ones."""
    caller = _Caller()
    caller.fill()
    caller.receive(with_length(30_000))
    caller.receive(with_length(600))
    assert [len(body) for body in caller.bodies] == [30_000]
    caller.respond()
    assert [len(body) for body in caller.bodies] == [600]


def test_a_body_in_chunks_keeps_only_what_it_needs():
    caller = _Caller()
    caller.receive(in_chunks(100_000, 1000))
    assert caller.budget.reserved_bytes == 100_000


def test_a_refused_caller_may_finish_sending():
    """Guards against a refusal that is lost as its connection is reset."""
    caller = _Caller()
    caller.fill()
    caller.receive(with_length(1_000_000, 1000))
    for _ in range(8):
        caller.loop.advance(1.0)
        caller.receive(b"x" * 100_000)
    assert not caller.transport.is_closed
    caller.loop.advance(2 * server_connection.LINGER_S)
    assert caller.transport.is_closed


def test_a_refused_caller_may_not_send_for_ever():
    """Guards against connections that a caller keeps for nothing."""
    caller = _Caller()
    caller.fill()
    caller.receive(with_length(1_000_000, 1000))
    for _ in range(20):
        caller.loop.advance(1.0)
        caller.receive(b"x")
    assert caller.transport.is_closed


def test_a_body_in_tiny_chunks_lets_others_be_served():
    """Guards against a caller whose chunks keep the event loop busy."""
    caller = _Caller()
    caller.receive(in_chunks(40_000, 1))
    turns = 0
    while caller.loop.soon:
        turns += 1
        caller.loop.soon.pop()()
    assert [len(body) for body in caller.bodies] == [40_000]
    # 16 KB hold 2,730 chunks.
    assert turns >= 40_000 // 2_800


def test_a_caller_that_leaves_amid_tiny_chunks_is_forgotten():
    caller = _Caller()
    caller.receive(in_chunks(40_000, 1))
    leave(caller)
    for call in caller.loop.soon:
        call()
    assert caller.budget.reserved_bytes == 0
    assert not caller.bodies


def test_the_next_answer_waits_until_the_caller_has_read():
    """Guards against pipelined requests whose answers nobody reads."""
    caller = _Caller()
    caller.receive(with_length(5) * 3)
    caller.transport.unsent = 100_000
    caller.connection.pause_writing()
    caller.respond()
    assert not caller.writers
    assert not caller.connection.is_idle
    caller.transport.unsent = 0
    caller.connection.resume_writing()
    for _ in range(2):
        caller.respond()
    assert caller.transport.written.count(b"HTTP/1.1 200") == 3
    assert caller.connection.is_idle


def test_a_caller_that_is_behind_is_not_read_for_ever():
    """Guards against requests that pile up behind an unread answer."""
    caller = _Caller()
    caller.receive(with_length(5))
    caller.transport.unsent = 100_000
    caller.connection.pause_writing()
    caller.respond()
    caller.receive(with_length(5) * 2000)
    assert not caller.writers
    assert len(caller.connection._pipelined) < 100
    caller.transport.unsent = 0
    caller.connection.resume_writing()
    for _ in range(2000):
        caller.respond()
    assert caller.transport.written.count(b"HTTP/1.1 200") == 2001


LARGE_FIELDS = b"".join(b"X-%d: %s\r\n" % (n, b"v" * 60) for n in range(40))
LARGE_HEAD = HEAD + LARGE_FIELDS + b"\r\n"
LARGE_LIMITS = msgspec.structs.replace(LIMITS, max_header_bytes=16_384)
HEAD_ENDINGS = {
    "answered": (LARGE_HEAD, _Caller.respond),
    "left": (LARGE_HEAD, leave),
    "left behind another": (HEAD + b"\r\n" + LARGE_HEAD, leave),
    "refused": (
        LARGE_HEAD[:-2] + b"Content-Length: 900000\r\n\r\nx",
        lambda caller: caller.loop.advance(60.0),
    ),
}


@pytest.mark.parametrize("name", HEAD_ENDINGS)
def test_a_large_head_gives_its_memory_back(name):
    """Guards against heads that take the room of others for ever."""
    data, end = HEAD_ENDINGS[name]
    caller = _Caller()
    caller.limits = LARGE_LIMITS
    caller.receive(data)
    assert caller.budget.reserved_bytes > len(LARGE_FIELDS)
    end(caller)
    assert caller.budget.reserved_bytes == 0


def test_a_large_head_without_room_is_refused():
    """Guards against heads that are bounded each, but not in sum."""
    caller = _Caller()
    caller.limits = LARGE_LIMITS
    while caller.budget.reserve(10_000, ""):
        pass
    caller.receive(LARGE_HEAD)
    assert caller.status == 503
    assert b"retry-after: " in caller.transport.written
    assert not caller.bodies
