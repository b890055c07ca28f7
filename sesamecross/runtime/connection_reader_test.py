"""Tests of reading a connection without waiting, line by line."""

import socket

from cheroot import errors as cheroot_errors
import pytest

from sesamecross.runtime import connection_reader

MAX_LINE_BYTES = 100
HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def pair():
    near, far = socket.socketpair()
    near.settimeout(5.0)
    with near, far:
        yield connection_reader.ConnectionReader(near, MAX_LINE_BYTES), far


@pytest.mark.parametrize("size", [1, 5, 1000])
def test_a_head_is_ready_when_it_is_whole(pair, size):
    """Guards against threads that wait for the rest of a head."""
    reader, far = pair
    for start in range(0, len(HEAD), size):
        assert not reader.is_ready
        far.sendall(HEAD[start : start + size])
        reader.receive()
    assert reader.is_ready
    assert reader.readline() == b"GET / HTTP/1.1\r\n"


@pytest.mark.parametrize("data", [b"x" * 101, b"\r\n\r\n", b"GET /\n\n"])
def test_what_is_no_head_is_ready_to_be_rejected(pair, data):
    """Guards against waiting for the end of what is refused anyway."""
    reader, far = pair
    far.sendall(data)
    reader.receive()
    assert reader.is_ready


def test_the_end_of_a_connection_is_ready(pair):
    """Guards against connections that are watched after their end."""
    reader, far = pair
    far.close()
    reader.receive()
    assert reader.is_ready
    assert not reader.has_data()


def test_a_line_without_end_is_refused(pair):
    """Guards against lines that the library reads without a bound."""
    reader, far = pair
    far.sendall(b"0" * 5000)
    with pytest.raises(cheroot_errors.MaxSizeExceeded):
        reader.readline()


def test_bytes_and_lines_are_read_in_order(pair):
    reader, far = pair
    far.sendall(b"one\r\ntwo\r\n12345rest")
    assert reader.readline(256) == b"one\r\n"
    assert reader.readline(2) == b"tw"
    assert reader.readline() == b"o\r\n"
    assert reader.read(5) == b"12345"
    far.close()
    assert reader.read(100) == b"rest"
    assert reader.readline() == b""
