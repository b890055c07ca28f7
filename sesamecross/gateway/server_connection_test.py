"""Tests of callers' connections: framing, limits, timeouts, closing."""

import asyncio
import contextlib
import re
import socket

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from sesamecross.fakes import caller_connection
from sesamecross.fakes import strict_response
from sesamecross.gateway import listener
from sesamecross.gateway import server_connection
from sesamecross.ops.fleet import connection_shedder

# Ends a test that hangs; no test waits this long.
TEST_TIMEOUT_S = 10.0


class _Timer:
    def cancel(self) -> None:
        """Never fires in these tests."""


class _Loop:
    def time(self) -> float:
        return 0.0

    def call_later(self, after_s, call, *args) -> _Timer:
        return _Timer()


def run_scenario(
    pieces,
) -> tuple[
    caller_connection.AnsweringHandler, caller_connection.RecordingTransport
]:
    handler, transport = (
        caller_connection.AnsweringHandler(),
        caller_connection.RecordingTransport(),
    )
    connection = server_connection.ServerConnection(handler, _Loop(), set())
    connection.connection_made(transport)
    for piece in pieces:
        connection.data_received(piece)
    return handler, transport


def statuses(transport: caller_connection.RecordingTransport) -> list[int]:
    """Returns the statuses of the responses; bodies have no final line end."""
    found = re.findall(rb"HTTP/1\.1 (\d{3}) ", transport.written)
    return [int(status) for status in found]


HOST = b"Host: a.example\r\n"
POST = b"POST /a/b HTTP/1.1\r\n" + HOST
GET = b"GET /a/ HTTP/1.1\r\n" + HOST + b"\r\n"
SMUGGLED = b"GET /hidden/ HTTP/1.1\r\nHost: a.example\r\n\r\n"

VALID = [
    (GET, [(b"GET", b"/a/", b"")]),
    (
        POST + b"Content-Length: 5\r\n\r\nhello",
        [(b"POST", b"/a/b", b"hello")],
    ),
    (
        POST + b"Transfer-Encoding: chunked\r\n\r\n"
        b"3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n",
        [(b"POST", b"/a/b", b"hello")],
    ),
    # Two pipelined requests.
    (
        POST + b"Content-Length: 2\r\n\r\nhi" + GET,
        [(b"POST", b"/a/b", b"hi"), (b"GET", b"/a/", b"")],
    ),
]


@pytest.mark.parametrize(("data", "expected"), VALID)
def test_requests_are_parsed_alike_for_any_segmentation(data, expected):
    for size in (1, 2, 7, len(data)):
        pieces = [data[i : i + size] for i in range(0, len(data), size)]
        handler, transport = run_scenario(pieces)
        assert handler.requests == expected
        assert statuses(transport) == [200] * len(expected)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        # Request smuggling: two parsers could disagree on where the request
        # ends, and the rest would become another caller's request.
        (
            POST
            + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"0\r\n\r\n"
            + SMUGGLED,
            400,
        ),
        (
            POST
            + b"Content-Length: 0\r\nContent-Length: 40\r\n\r\n"
            + SMUGGLED,
            400,
        ),
        (
            POST
            + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"
            + SMUGGLED,
            400,
        ),
        (
            POST
            + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"
            + b"\r\n0\r\n\r\n"
            + SMUGGLED,
            400,
        ),
        (POST + b"Content-Length: -1\r\n\r\n" + SMUGGLED, 400),
        (POST + b"Content-Length: 5, 5\r\n\r\nhello" + SMUGGLED, 400),
        (POST + b"Content-Length : 5\r\n\r\nhello" + SMUGGLED, 400),
        (POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n" + SMUGGLED, 400),
        (b"POST /a HTTP/1.1\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\n" + HOST + HOST + b"\r\n", 400),
        (b"no request at all\r\n\r\n", 400),
        # Limit exceeded: rejected before the data is buffered.
        (POST + b"Content-Length: 101\r\n\r\n", 413),
        (
            POST
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"65\r\n"
            + b"x" * 101
            + b"\r\n0\r\n\r\n",
            413,
        ),
        (POST + b"X-Long: " + b"x" * 400 + b"\r\n\r\n", 431),
    ],
)
def test_ambiguous_framing_and_exceeded_limits_are_rejected(data, status):
    """A request smuggled in another one's body was executed on its own."""
    for size in (1, 16, len(data)):
        pieces = [data[i : i + size] for i in range(0, len(data), size)]
        handler, transport = run_scenario(pieces)
        assert handler.requests == []
        assert statuses(transport) == [status]
        assert transport.is_closed
        assert b"connection: close" in transport.written


BYTES = st.one_of(
    st.binary(max_size=60),
    st.sampled_from(
        [
            GET,
            POST,
            HOST,
            SMUGGLED,
            b"Content-Length: 5\r\n",
            b"Content-Length: 0\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"\r\n",
            b"5\r\nhello\r\n",
            b"0\r\n\r\n",
            b"hello",
            b"HTTP/1.1 200 OK\r\n\r\n",
        ]
    ),
)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(pieces=st.lists(BYTES, max_size=12), cut=st.integers(1, 9))
def test_arbitrary_bytes_are_parsed_alike_for_any_segmentation(pieces, cut):
    """The parsed requests depend on the bytes, not on the segmentation."""
    data = b"".join(pieces)
    whole, first = run_scenario([data] if data else [])
    parts, second = run_scenario(
        [data[i : i + cut] for i in range(0, len(data), cut)]
    )
    assert parts.requests == whole.requests
    assert statuses(second) == statuses(first)
    # Nothing is read after a rejected request.
    refused = [one for one in statuses(first) if one >= 400]
    assert len(refused) <= 1


class _ClosingHandler(caller_connection.AnsweringHandler):
    """Closes connections after each response; responses are large."""

    def __init__(self) -> None:
        super().__init__()
        self.is_closing = True
        self.caller: socket.socket | None = None

    def handle(self, request, response_writer) -> None:
        # The caller's next request is in flight when the response is sent.
        self.caller.send(GET)
        response_writer.send_response(200, [], b"x" * 400_000)


def test_bytes_after_the_last_request_do_not_lose_its_response():
    """A caller's last response was cut off in a drain.

    The response announced that the connection closes, but the caller pipelines
    and had already sent its next request. Closing a socket with unread data
    resets the connection, and the kernel discards unsent data.
    """

    async def run_scenario() -> bytes:
        loop = asyncio.get_running_loop()
        handler = _ClosingHandler()
        front_listener = listener.Listener("front", "127.0.0.1:0", handler)
        task = asyncio.create_task(front_listener.run())
        while not front_listener.address:
            await asyncio.sleep(0)
        caller = socket.socket()
        # As on a real network, only a part of the response arrives at once.
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.setblocking(False)
        host, _, port = front_listener.address.rpartition(":")
        await loop.sock_connect(caller, (host, int(port)))
        handler.caller = caller
        await loop.sock_sendall(caller, GET)
        while not handler.requests:
            await asyncio.sleep(0)
        # Enough loop iterations for a close that does not wait.
        for _ in range(20):
            await asyncio.sleep(0)
        received = b""
        with contextlib.suppress(OSError):
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while piece := await loop.sock_recv(caller, 65536):
                    received += piece
        caller.close()
        await front_listener.stop()
        task.cancel()
        return received

    head, _, body = asyncio.run(run_scenario()).partition(b"\r\n\r\n")
    assert b"connection: close" in head
    assert len(body) == 400_000


def test_a_caller_still_sending_receives_the_413():
    """A caller saw a reset instead of its 413, and sent the body again.

    It was still sending when it was rejected. The connection was closed at
    once with unread data, which resets it.
    """

    async def run_scenario() -> tuple[bytes, bool]:
        front_listener = listener.Listener(
            "front", "127.0.0.1:0", caller_connection.AnsweringHandler()
        )
        task = asyncio.create_task(front_listener.run())
        while not front_listener.address:
            await asyncio.sleep(0)
        reader, writer = await asyncio.open_connection(
            *front_listener.address.rsplit(":", 1)
        )
        writer.write(POST + b"Content-Length: 5000000\r\n\r\n")
        received = b""
        was_reset = False
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                for _ in range(50):
                    writer.write(b"x" * 100_000)
                    await writer.drain()
                received = await reader.read()
        except OSError:
            was_reset = True
        writer.close()
        await front_listener.stop()
        task.cancel()
        return received, was_reset

    received, was_reset = asyncio.run(run_scenario())
    assert not was_reset
    assert received.startswith(b"HTTP/1.1 413 ")


def test_an_idle_connection_stays_open_by_the_current_limit():
    """Callers met closed connections after operators raised the idle limit.

    Callers reuse a connection for four fifths of the limit in the newest
    configuration, but each connection kept the limit that was current when it
    became idle.
    """
    timed = caller_connection.TimedConnection()
    timed.connection.data_received(GET)
    timed.respond()
    timed.loop.advance(5.0)
    timed.set_limits(idle_timeout_s=60.0)
    timed.loop.advance(43.0)
    assert not timed.transport.is_closed
    timed.loop.advance(12.0)
    assert timed.transport.is_closed


def test_an_idle_connection_stays_open_as_long_as_announced():
    """The idle limit was lowered while a caller's stream was in progress.

    The response head had announced 15 s, but the connection was closed 5 s
    after the end, on the caller's next request.
    """
    timed = caller_connection.TimedConnection()
    timed.connection.data_received(GET)
    response_writer = timed.handler.response_writers.pop()
    response_writer.begin_chunked(200, [], b"first")
    assert b"keep-alive: timeout=15\r\n" in timed.transport.written
    timed.set_limits(idle_timeout_s=5.0)
    response_writer.end_chunked()
    timed.loop.advance(14.0)
    assert not timed.transport.is_closed
    timed.loop.advance(2.0)
    assert timed.transport.is_closed


@pytest.mark.parametrize(
    ("partial_request", "raised"),
    [
        pytest.param(b"POST /a HTTP/1.1\r\n", "header_timeout_s", id="head"),
        pytest.param(
            POST + b"Content-Length: 2\r\n\r\nh", "idle_timeout_s", id="body"
        ),
    ],
)
def test_a_request_may_take_as_long_as_the_current_limit(
    partial_request, raised
):
    """A slow caller got a 408 after operators had raised the time limit."""
    timed = caller_connection.TimedConnection()
    timed.connection.data_received(partial_request)
    timed.set_limits(**{raised: 60.0})
    timed.loop.advance(50.0)
    assert timed.transport.written == b""
    timed.loop.advance(11.0)
    assert statuses(timed.transport) == [408]


@pytest.mark.parametrize(
    ("pieces", "lowered"),
    [
        pytest.param(
            [
                POST + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                b"6\r\n world\r\n0\r\n\r\n",
            ],
            {"max_body_bytes": 8},
            id="chunked body",
        ),
        pytest.param(
            [POST + b"Content-Le", b"ngth: 11\r\n\r\nhello world"],
            {"max_body_bytes": 8},
            id="body with a length",
        ),
        pytest.param(
            [POST, b"X-Long: " + b"x" * 200 + b"\r\n\r\n"],
            {"max_header_bytes": 100},
            id="head",
        ),
    ],
)
def test_a_request_is_read_under_the_limits_at_its_start(pieces, lowered):
    """A request was rejected with 413 although it was within the limits.

    Operators lowered the body limit while the body was being sent, and the
    rest was checked against the new limit.
    """
    timed = caller_connection.TimedConnection()
    timed.connection.data_received(pieces[0])
    timed.set_limits(**lowered)
    timed.connection.data_received(pieces[1])
    assert len(timed.handler.requests) == 1
    timed.respond()
    assert statuses(timed.transport) == [200]
    # The next request is read under the new limits.
    timed.connection.data_received(b"".join(pieces))
    assert len(timed.handler.requests) == 1
    assert timed.transport.is_closed


def test_malformed_bytes_do_not_time_out_the_response_in_progress():
    """Malformed data after a request must not affect its response."""
    timed = caller_connection.TimedConnection()
    timed.connection.data_received(GET)
    timed.connection.data_received(b"no request at all\r\n\r\n")
    timed.loop.advance(100.0)
    assert not timed.transport.is_closed
    timed.respond()
    assert statuses(timed.transport) == [200]
    assert timed.transport.is_closed


def test_a_request_to_continue_waits_for_the_response_in_progress():
    """Guards against an interim answer inside the body of another answer."""
    timed = caller_connection.TimedConnection()
    timed.connection.data_received(GET)
    response_writer = timed.handler.response_writers.pop()
    response_writer.begin_chunked(200, [], b"first")
    timed.connection.data_received(
        POST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
    )
    response_writer.send_chunk(b"last")
    response_writer.end_chunked()
    answer, interim, rest = timed.transport.written.partition(
        server_connection.CONTINUE
    )
    assert strict_response.parse(answer).body == b"firstlast"
    assert interim
    assert rest == b""
    timed.connection.data_received(b"hi")
    timed.respond()
    answered = timed.transport.written.removeprefix(answer)
    assert strict_response.parse(answered).body == b"ok"


def test_a_request_that_came_whole_is_not_told_to_continue_late():
    """Guards against an interim answer after the request's own."""
    timed = caller_connection.TimedConnection()
    timed.connection.data_received(GET)
    timed.connection.data_received(
        POST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\nhi" + GET
    )
    answers = []
    for _ in range(3):
        before = len(timed.transport.written)
        timed.respond()
        answers.append(timed.transport.written[before:])
    assert [strict_response.parse(one).body for one in answers] == [b"ok"] * 3


def test_a_new_connection_beyond_the_limit_is_closed_unread():
    """Guards against requests that wait until their callers have left."""
    shedder = connection_shedder.ConnectionShedder()

    def connect() -> tuple[
        server_connection.ServerConnection, caller_connection.RecordingTransport
    ]:
        transport = caller_connection.RecordingTransport()
        connection = server_connection.ServerConnection(
            handler, _Loop(), connections, shedder
        )
        connection.connection_made(transport)
        return connection, transport

    handler, connections = caller_connection.AnsweringHandler(), set()
    waiting = [connect()[0] for _ in range(connection_shedder.MAX_UNREAD)]
    shed, transport = connect()
    shed.data_received(GET)
    assert (transport.is_closed, transport.written) == (True, b"")
    assert (handler.shed, handler.requests) == (1, [])
    # Once one of them is read or gone, the next one is admitted.
    waiting[0].data_received(GET)
    waiting[1].connection_lost(None)
    for _ in range(2):
        admitted, transport = connect()
        admitted.data_received(GET)
        assert statuses(transport) == [200]
    assert len(connections) == connection_shedder.MAX_UNREAD + 1


def test_pipelined_requests_are_not_all_parsed_at_once():
    """Guards against floods of requests that take many times their bytes."""
    count = 4000
    one = caller_connection.TimedConnection()
    one.connection.data_received(
        b"".join(GET.replace(b"/a/", b"/%d/" % n) for n in range(count))
    )
    assert len(one.connection._pipelined) < 100
    for _ in range(count):
        one.respond()
        assert len(one.connection._pipelined) < 100
    targets = [target for _, target, _ in one.handler.requests]
    assert targets == [b"/%d/" % n for n in range(count)]
    assert statuses(one.transport) == [200] * count
    assert one.connection.is_idle


def test_a_caller_that_leaves_behind_a_flood_is_forgotten():
    one = caller_connection.TimedConnection()
    one.connection.data_received(GET * 4000)
    one.connection.connection_lost(None)
    assert not one.connection._pipelined
    one.respond()
    assert len(one.handler.requests) == 1


def test_a_head_of_many_fields_is_rejected():
    """Guards against short fields that each take many times their bytes."""
    handler = caller_connection.AnsweringHandler()
    handler.limits = msgspec.structs.replace(
        caller_connection.LIMITS, max_header_bytes=16_384
    )
    transport = caller_connection.RecordingTransport()
    connection = server_connection.ServerConnection(handler, _Loop(), set())
    connection.connection_made(transport)
    connection.data_received(GET[:-2] + b"a:\r\n" * 200 + b"\r\n")
    assert statuses(transport) == [200]
    connection.data_received(GET[:-2] + b"a:\r\n" * 300 + b"\r\n")
    assert statuses(transport) == [200, 431]
