"""Tests of upstreams that send without end, until they are cut off."""

import contextlib
import itertools
import random

import pytest

from sesamecross.gateway import client_connection
from sesamecross.gateway import client_connection_test as sample
from sesamecross.gateway import event_relay
from sesamecross.ops.fleet import answer_bounds
from sesamecross.ports import engine_stream
from sesamecross.ports import http_client
from sesamecross.runtime import event_loop

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# What is sent before that which has no end, and that.
ENDLESS = {
    "header fields": (OK, b"a: b\r\n"),
    "one header field": (OK + b"a: ", b"x" * 50),
    "one status line": (b"HTTP/1.1 200 ", b"x" * 50),
    "informational heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "extensions of a chunk": (CHUNKED + b"5;", b"e=1;"),
    "one chunk's size": (CHUNKED, b"0"),
    "trailers": (CHUNKED + b"2\r\nok\r\n0\r\n", b"a: b\r\n"),
    "answers to other requests": (
        b"",
        OK + b"Other: 1\r\nContent-Length: 40\r\n\r\n" + b"x" * 40,
    ),
    "empty chunks of one byte with extensions": (
        CHUNKED,
        b"1;" + b"e" * 400 + b"\r\nx\r\n",
    ),
}


class _Clock:
    """A loop whose time the test sets."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def time(self) -> float:
        return self.now_s


class _Receiver(sample._Receiver):
    """Accepts heads that name no other request."""

    def on_head(self, status, headers) -> bool:
        if (b"other", b"1") in headers:
            return False
        return super().on_head(status, headers)


def _connect() -> tuple[client_connection.ClientConnection, _Clock, _Receiver]:
    clock = _Clock()
    connection = client_connection.ClientConnection(clock)
    connection.connection_made(sample._Transport())
    receiver = _Receiver()
    connection.send(b"GET / HTTP/1.1\r\n\r\n", receiver)
    return connection, clock, receiver


@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("size", [100, 60_000])
def test_an_upstream_that_sends_without_end_is_cut_off(name, size):
    """Guards against an instance that ends of one upstream's bytes."""
    connection, _, receiver = _connect()
    first, endless = ENDLESS[name]
    connection.data_received(first)
    data = endless * (size // len(endless) + 1)
    received = 0
    while receiver.outcome == "open" and received < 4_000_000:
        connection.data_received(data)
        received += len(data)
    assert receiver.outcome == "failed"
    assert received < 1_000_000
    assert not connection.is_available


@pytest.mark.parametrize(
    "name", [name for name in ENDLESS if "empty" not in name]
)
def test_an_upstream_that_trickles_is_cut_off(name):
    """Guards against connections that are held by a byte now and then."""
    connection, clock, receiver = _connect()
    first, endless = ENDLESS[name]
    connection.data_received(first)
    for byte in itertools.islice(itertools.cycle(endless), 200):
        clock.now_s += 0.2
        connection.data_received(bytes([byte]))
        if receiver.outcome != "open":
            break
    assert receiver.outcome == "failed"
    # A head of few bytes may be whole in time, but there are not many of them.
    assert clock.now_s < 3.0 or name == "answers to other requests"


@pytest.mark.parametrize("seed", range(200))
def test_any_bytes_end_in_an_answer_a_failure_or_a_wait(seed):
    """Guards against bytes that the parser neither takes nor rejects."""
    rng = random.Random(seed)
    connection, clock, receiver = _connect()
    pieces = [
        OK,
        CHUNKED,
        b"\r\n",
        b"2\r\nok\r\n",
        b"0\r\n\r\n",
        rng.randbytes(9),
    ]
    pieces += [endless for _, endless in ENDLESS.values()]
    for _ in range(300):
        clock.now_s += rng.choice((0.0, 0.3))
        data = b"".join(rng.choices(pieces, k=rng.randrange(1, 200)))
        connection.data_received(data[: rng.randrange(1, len(data) + 1)])
        if receiver.outcome != "open":
            break
    if receiver.outcome == "open":
        assert len(receiver.body) + len(connection._headers) < 1_000_000
    else:
        assert not connection.is_available or receiver.outcome == "complete"


class _Writer:
    """Takes what is forwarded to a caller."""

    def __init__(self) -> None:
        self.is_started = False

    def begin_chunked(self, status, headers, data) -> None:
        self.is_started = True

    def send_chunk(self, data) -> None:
        """Nothing is kept."""


@pytest.mark.parametrize(
    "data, pause_s",
    [
        (b"data: " + b"x" * 1000, 0.0),
        (b"x", 0.2),
        (b"id: 1\ndata: x\n\n", 0.0),
        (b"\n\n", 0.0),
    ],
    ids=["one event", "one event, slowly", "valid events", "empty events"],
)
def test_a_stream_without_end_is_cut_off(data, pause_s, monkeypatch):
    """Guards against streams longer than the request can have asked for."""
    clock = _Clock()
    monkeypatch.setattr(event_loop, "running", lambda: clock)
    relay = event_relay.EventRelay(_Writer(), output_tokens=300)
    relay.begin_stream(200, [])
    with pytest.raises(event_relay.InvalidEvent):
        for _ in range(2000):
            clock.now_s += pause_s
            relay.feed(data)
    assert clock.now_s < 3.0


def test_a_stream_of_as_many_events_as_asked_for_passes(monkeypatch):
    monkeypatch.setattr(event_loop, "running", _Clock)
    relay = event_relay.EventRelay(_Writer(), output_tokens=300)
    relay.begin_stream(200, [])
    for number in range(300):
        relay.feed(b"id: %d\ndata: x\n\n" % number)
    assert relay.event_count == 300


def test_bounds_leave_room_for_ordinary_answers():
    assert answer_bounds.MAX_EVENT_BYTES > 64 * 1024


class _EndlessSocket:
    """A socket whose peer never stops.

    Attributes:
      received: Bytes read from it.
    """

    def __init__(self, first: bytes, endless: bytes):
        self._first = first
        self._endless = endless * 500
        self.received = 0

    def settimeout(self, _seconds) -> None:
        """Never waits."""

    def sendall(self, _data) -> None:
        """Takes any request."""

    def recv(self, _size) -> bytes:
        data = self._endless if self.received else self._first + self._endless
        self.received += len(data)
        return data

    def close(self) -> None:
        """Holds nothing."""


@pytest.mark.parametrize("name", ENDLESS)
def test_the_own_interfaces_engines_are_cut_off(name):
    """Guards against an entry that ends of one engine's bytes."""
    sock = _EndlessSocket(*ENDLESS[name])
    stream = engine_stream.EngineStream(sock)
    request = engine_stream.CallRequest("http://e", "/", b"", "r", 5, 1.0)
    answer = stream.read_answer(request)
    if answer is not stream:
        assert isinstance(answer, http_client.Failed)
        assert sock.received < 1_000_000
        return
    with contextlib.suppress(engine_stream.StreamBroken):
        while sock.received < 4_000_000 and not stream.ended:
            stream.read(1.0)
    assert sock.received < 1_000_000
