"""Tests of the bound on what callers send beside bodies."""

import pytest

from sesamecross.ops.fleet import request_meter

LIMIT = 400


def pieces_until_exceeded(meter, size, body=0):
    """Returns how many bytes of pieces are taken before the bound."""
    taken = 0
    while not meter.exceeds(LIMIT):
        meter.add_body(body)
        meter.add_piece(size)
        taken += size
        assert taken < 1_000_000
    return taken


@pytest.mark.parametrize("size", [1, 7, 2048, 16_384])
def test_a_head_without_end_is_bounded(size):
    """Guards against bytes that no callback of a parser reports."""
    taken = pieces_until_exceeded(request_meter.RequestMeter(), size)
    assert taken <= LIMIT + request_meter.ROOM_BYTES + size


@pytest.mark.parametrize("size", [1, 7, 2048])
def test_what_surrounds_a_body_is_bounded_anew(size):
    """Guards against endless chunk lines and trailers."""
    meter = request_meter.RequestMeter()
    meter.add_piece(LIMIT)
    meter.restart()
    meter.add_piece(100)
    assert meter.overhead_bytes == 0
    taken = pieces_until_exceeded(meter, size)
    assert taken <= LIMIT + request_meter.ROOM_BYTES + size


def test_a_body_in_chunks_of_one_byte_is_within_the_bound():
    """Guards against refusing small chunks."""
    meter = request_meter.RequestMeter()
    meter.restart()
    for _ in range(100_000):
        meter.add_body(1)
        meter.add_piece(len(b"1\r\nx\r\n"))
        assert not meter.exceeds(LIMIT)


def test_extensions_of_small_chunks_are_bounded():
    """Guards against a byte of body that buys kilobytes of framing."""
    meter = request_meter.RequestMeter()
    meter.restart()
    taken = pieces_until_exceeded(meter, 2000, body=1)
    assert taken <= LIMIT + request_meter.ROOM_BYTES + 4000


def test_the_bytes_of_a_body_are_not_counted():
    """Guards against refusing large bodies."""
    meter = request_meter.RequestMeter()
    meter.restart()
    for _ in range(1000):
        meter.add_body(16_384)
        meter.add_piece(16_384)
    assert meter.overhead_bytes == 0
