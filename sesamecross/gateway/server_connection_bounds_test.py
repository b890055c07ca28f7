"""Tests of what a caller's connection takes: bytes, time, fields."""

import pytest

from sesamecross.fakes import caller_connection
from sesamecross.gateway import server_connection
from sesamecross.ops.fleet import request_meter

HEAD = b"POST /a/ HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = CHUNKED + b"2\r\nok\r\n0\r\n"
LIMITS = caller_connection.LIMITS
ENDLESS = {
    "method": (b"", b"G", 400),
    "target": (b"GET /", b"t", 431),
    "empty lines": (b"", b"\r\n", 400),
    "line feeds": (b"", b"\n", 400),
    "empty lines behind a request": (HEAD + b"\r\n", b"\r\n", 400),
    "field name": (HEAD, b"n", 431),
    "field value": (HEAD + b"X: ", b"v", 431),
    "spaces": (HEAD + b"X:", b" ", 431),
    "chunk size": (CHUNKED, b"0", 400),
    "chunk extension": (CHUNKED + b"1;", b"e", 400),
    "trailer name": (LAST_CHUNK, b"n", 400),
    "trailer value": (LAST_CHUNK + b"X: ", b"v", 400),
    "trailers": (LAST_CHUNK, b"X: v\r\n", 400),
}


def last_status(transport):
    return int(transport.written.rpartition(b"HTTP/1.1 ")[2][:3])


@pytest.mark.parametrize("size", [1, 100, 65_536])
@pytest.mark.parametrize("name", ENDLESS)
def test_bytes_without_end_are_refused_within_the_limit(name, size):
    """Guards against bytes that the parser keeps or skips unreported."""
    one = caller_connection.TimedConnection()
    beginning, repeated, status = ENDLESS[name]
    one.connection.data_received(beginning)
    if one.handler.response_writers:
        one.respond()
    taken = 0
    piece = (repeated * size)[: max(size, len(repeated))]
    while not one.transport.is_closed:
        one.connection.data_received(piece)
        taken += len(piece)
        assert taken <= (
            LIMITS.max_header_bytes + request_meter.ROOM_BYTES + 100
        ) or taken == len(piece)
    assert last_status(one.transport) == status


WHOLE = {
    "an empty line before it": b"\r\n" + HEAD + b"\r\n",
    "spaces before a value": HEAD + b"X:" + b" " * 200 + b"v\r\n\r\n",
    "a legal extension": CHUNKED + b"2;name=value\r\nok\r\n0\r\n\r\n",
    "zeros before a chunk's size": CHUNKED + b"0002\r\nok\r\n000\r\n\r\n",
    "trailers": LAST_CHUNK + b"X-Sum: 1\r\nX-Other: 2\r\n\r\n",
    "small chunks": CHUNKED + b"1\r\nx\r\n" * 100 + b"0\r\n\r\n",
    "a head of the limit": (
        b"POST /a/ HTTP/1.1\r\nHost: a\r\nX: "
        + b"v" * (LIMITS.max_header_bytes - len(b"/a/Host: a\r\nX: \r\n"))
        + b"\r\n\r\n"
    ),
}


@pytest.mark.parametrize("size", [1, 3, 65_536])
@pytest.mark.parametrize("name", WHOLE)
def test_a_request_within_the_limits_is_served_however_it_is_cut(name, size):
    """Guards against bounds that ordinary requests meet."""
    one = caller_connection.TimedConnection()
    for _ in range(3):
        data = WHOLE[name]
        for start in range(0, len(data), size):
            one.connection.data_received(data[start : start + size])
        one.respond()
        assert last_status(one.transport) == 200
    assert len(one.handler.requests) == 3
    assert not one.transport.is_closed


def test_empty_lines_do_not_put_off_the_head_timeout():
    """Guards against a connection kept open by an empty line now and then."""
    one = caller_connection.TimedConnection()
    for _ in range(4):
        one.connection.data_received(b"\r\n")
        one.loop.advance(LIMITS.header_timeout_s / 3)
    assert one.transport.is_closed


def test_half_a_head_behind_a_request_times_out():
    """Guards against a connection that no timer ends.

    The end of the request before it came with the same bytes.
    """
    one = caller_connection.TimedConnection()
    one.connection.data_received(HEAD + b"\r\n" + HEAD)
    one.respond()
    one.loop.advance(LIMITS.header_timeout_s + 0.1)
    assert last_status(one.transport) == 408
    assert one.transport.is_closed


SMUGGLED = {
    "host": (b"Host: evil\r\n", b"host", b"a"),
    "deadline": (b"Deadline-Ms: 90000\r\n", b"deadline-ms", b"2000"),
    "key": (b"Authorization: Bearer x\r\n", b"authorization", b"Bearer k"),
    "id": (b"Request-Id: other\r\n", b"request-id", b"own"),
    "anything else": (b"X-Smuggled: 1\r\n", b"x-smuggled", None),
}


@pytest.mark.parametrize("name", SMUGGLED)
def test_trailers_do_not_become_headers(name):
    """Guards against trailers that pass by the checks of the head."""
    trailers, field, value = SMUGGLED[name]
    own = b"Deadline-Ms: 2000\r\nAuthorization: Bearer k\r\nRequest-Id: own\r\n"
    one = caller_connection.TimedConnection()
    one.connection.data_received(
        HEAD + own + LAST_CHUNK.removeprefix(HEAD) + trailers + b"\r\n"
    )
    (headers,) = one.handler.headers
    assert [v for n, v in headers if n == field] == [value] * (
        value is not None
    )


def test_a_refusal_behind_a_response_under_way_closes_the_connection():
    """Guards against a connection that stays open and is read by nobody."""
    one = caller_connection.TimedConnection()
    one.connection.data_received(HEAD + b"\r\n" + HEAD)
    response_writer = one.handler.response_writers.pop()
    response_writer.begin_chunked(200, [], b"first")
    one.loop.advance(LIMITS.header_timeout_s + 0.1)
    assert not one.transport.is_closed
    response_writer.end_chunked()
    assert one.transport.is_closed


def test_a_refused_caller_is_read_for_one_request_more():
    """Guards against reading for minutes what nobody wants.

    A caller that sends a body of the largest size still gets the refusal.
    """
    one = caller_connection.TimedConnection()
    one.transport.closes_at_eof = False
    one.connection.data_received(HEAD + b"Content-Length: x\r\n\r\n")
    size = server_connection.LINGER_BYTES
    one.connection.data_received(b"v" * size)
    assert not one.transport.is_paused
    one.connection.data_received(b"v")
    assert one.transport.is_paused
    one.loop.advance(2 * server_connection.LINGER_S)
    assert one.transport.is_closed
