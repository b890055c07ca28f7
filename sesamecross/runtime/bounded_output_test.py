"""Tests of non-blocking log output."""

import json
import os
import threading

import pytest

from sesamecross.runtime import bounded_output

LINE = "x" * 200 + "\n"


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for fd in (reader, writer):
        try:
            os.close(fd)
        except OSError:
            # The test has closed it.
            continue


def lines_of(reader: int, writer: int) -> list[str]:
    os.close(writer)
    read = b""
    while piece := os.read(reader, 65536):
        read += piece
    return read.decode().splitlines()


def flushed_lines(
    reader: int, output: bounded_output.BoundedOutput
) -> list[str]:
    """Reads all lines in the pipe and in the output's buffer."""
    os.set_blocking(reader, False)
    read = b""
    while True:
        try:
            read += os.read(reader, 65536)
        except BlockingIOError:
            return read.decode().splitlines()
        output.flush()


def slow_clock(step_s: float):
    """Returns a clock that advances by a step at each reading."""
    now_s = 0.0

    def read() -> float:
        nonlocal now_s
        now_s += step_s
        return now_s

    return read


@pytest.mark.parametrize(
    ("step_s", "has_notices"), [(0.0, False), (0.001, True), (0.02, False)]
)
@pytest.mark.parametrize("is_shared", [False, True])
def test_a_stalled_reader_does_not_block_writers(
    pipe, is_shared, step_s, has_notices
):
    """Guards against blocking on a stalled reader, at any machine speed."""
    reader, writer = pipe
    was_blocking = os.get_blocking(writer)
    output = bounded_output.BoundedOutput(
        writer, slow_clock(step_s), is_shared=is_shared
    )
    for _ in range(1000):
        output.write(LINE)
    assert output.dropped > 0
    # The mode of a shared terminal is unchanged for other writers.
    assert os.get_blocking(writer) is (is_shared and was_blocking)
    lines = flushed_lines(reader, output)
    notices = [one for one in lines if one.startswith("{")]
    assert bool(notices) is has_notices
    for notice in notices:
        assert json.loads(notice)["event"] == "log: lines left out"
    assert {len(one) for one in lines if one not in notices} == {200}


@pytest.mark.parametrize("is_shared", [False, True])
def test_a_closed_reader_does_not_fail_writers(pipe, is_shared):
    reader, writer = pipe
    output = bounded_output.BoundedOutput(writer, is_shared=is_shared)
    os.close(reader)
    assert output.write(LINE) == len(LINE)
    assert output.write(LINE) == len(LINE)


def test_threads_write_whole_lines(pipe):
    """Guards against interleaved lines: threads share the output."""
    reader, writer = pipe
    output = bounded_output.BoundedOutput(writer, is_shared=True)

    def write(letter: str) -> None:
        for _ in range(20):
            output.write(letter * 100 + "\n")

    threads = [
        threading.Thread(target=write, args=(letter,)) for letter in "abcdefgh"
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    lines = lines_of(reader, writer)
    assert len(lines) == 160
    assert all(line == line[0] * 100 for line in lines)


def test_lines_are_discarded_without_an_output():
    """Guards against a crash of a process started with its output closed.

    A gateway asked for the descriptor of a missing stream and exited. The
    lines must not go to a connection that may have that descriptor now.
    """
    output = bounded_output.BoundedOutput.from_stream(None)
    assert output.write(LINE) == len(LINE)
    assert output.dropped == 0
