"""Tests of the buffer of a large body."""

import pytest

from sesamecross.core import body_buffer
from sesamecross.runtime import process_memory

MB = 1_000_000


def test_it_returns_what_was_appended():
    buffer = body_buffer.BodyBuffer(300_000)
    data = bytes(range(256)) * 1000
    for start in range(0, len(data), 70_000):
        buffer.append(data[start : start + 70_000])
    assert len(buffer) == len(data)
    assert b"".join(body_buffer.pieces(buffer)) == data
    assert buffer.read(len(data) - 3, 100) == data[-3:]
    with pytest.raises(ValueError, match="exceeds"):
        buffer.append(b"x" * 100_000)


def test_memory_follows_what_has_arrived_and_is_returned_at_once():
    """Guards against freed bodies that stay in the process's memory."""
    rest = process_memory.resident_bytes()
    buffers = [body_buffer.BodyBuffer(4 * MB) for _ in range(20)]
    assert process_memory.resident_bytes() - rest < 4 * MB
    for one in buffers:
        for _ in range(40):
            one.append(b"x" * 100_000)
    assert 70 * MB < process_memory.resident_bytes() - rest < 90 * MB
    for one in buffers:
        one.close()
    assert process_memory.resident_bytes() - rest < 4 * MB


def test_closing_calls_back_once():
    calls = []
    buffer = body_buffer.BodyBuffer(10)
    buffer.on_closed = lambda: calls.append(1)
    body_buffer.close(buffer)
    body_buffer.close(buffer)
    body_buffer.close(b"no buffer")
    assert calls == [1]
