"""Tests of log lines that never wait for their reader."""

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
    """Reads what the pipe holds and what waits for room in it."""
    os.set_blocking(reader, False)
    read = b""
    while True:
        try:
            read += os.read(reader, 65536)
        except BlockingIOError:
            return read.decode().splitlines()
        output.flush()


def slow_clock(step_s: float):
    """Returns a clock that is later by a step at each reading."""
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
def test_a_reader_that_stands_still_holds_nobody_up(
    pipe, is_shared, step_s, has_notices
):
    """Guards against waiting for a log's reader, however slow the machine."""
    reader, writer = pipe
    was_blocking = os.get_blocking(writer)
    output = bounded_output.BoundedOutput(
        writer, slow_clock(step_s), is_shared=is_shared
    )
    for _ in range(1000):
        output.write(LINE)
    assert output.dropped > 0
    # Others that write to the same terminal find it as it was.
    assert os.get_blocking(writer) is (is_shared and was_blocking)
    lines = flushed_lines(reader, output)
    notices = [one for one in lines if one.startswith("{")]
    assert bool(notices) is has_notices
    for notice in notices:
        assert json.loads(notice)["event"] == "log: lines left out"
    assert {len(one) for one in lines if one not in notices} == {200}


@pytest.mark.parametrize("is_shared", [False, True])
def test_a_reader_that_is_gone_fails_nobody(pipe, is_shared):
    reader, writer = pipe
    output = bounded_output.BoundedOutput(writer, is_shared=is_shared)
    os.close(reader)
    assert output.write(LINE) == len(LINE)
    assert output.write(LINE) == len(LINE)


def test_threads_write_whole_lines(pipe):
    """Lines of an entry ran into each other: its threads share the output."""
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


def test_a_process_without_an_output_writes_nowhere():
    """A gateway that was started with its output closed ended at once.

    It asked for the number of an output that was not there. Its lines must
    not get into a connection either, which may have that number now.
    """
    output = bounded_output.BoundedOutput.of_stream(None)
    assert output.write(LINE) == len(LINE)
    assert output.dropped == 0
