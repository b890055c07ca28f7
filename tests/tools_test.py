"""Tests that stopped tools leave no processes of their deployments."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
MIN_STARTED = 3
TIMEOUT_S = 60.0


def processes_in(folder):
    """Returns the ids of the processes whose working directory is `folder`."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*"):
        try:
            if os.readlink(path / "cwd") == str(folder):
                found.append(int(path.name))
        except OSError:
            # The process has ended, or belongs to another user.
            continue
    return found


def wait_until(condition):
    """Waits for a condition; the timeout only keeps the test from hanging."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


@pytest.mark.parametrize(
    ("tool", "signal_names"),
    [
        ("demo up", "HUP"),
        ("demo up", "TERM TERM"),
        ("demo demo", "HUP"),
        ("demo demo", "TERM"),
        ("demo demo", "INT INT"),
        ("experiment burst", "TERM"),
        ("relay_bench", "HUP TERM"),
    ],
)
def test_a_tool_that_is_stopped_leaves_no_process(tmp_path, tool, signal_names):
    """Closing the terminal left 24 processes of `make up` running.

    The processes have their own sessions, so only the tool can stop them. A
    signal that the tool did not handle ended it before that, and so did a
    second one during the stop. `devtools/runner.py` turns the first signal into
    an exception, deferred while a process is started or stopped.
    """
    work = tmp_path.resolve()
    (work / "examples").symlink_to(EXAMPLES)
    script, *arguments = tool.split()
    runner = subprocess.Popen(
        [sys.executable, "-m", f"sesamecross.scripts.{script}", *arguments],
        cwd=work,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        start_new_session=True,
        # If the test run ignores SIGHUP, the tool would inherit that.
        preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
    )
    try:
        wait_until(lambda: len(processes_in(work)) > MIN_STARTED)
        for name in signal_names.split():
            runner.send_signal(signal.Signals[f"SIG{name}"])
            time.sleep(0.05)
        runner.wait(TIMEOUT_S)
        assert processes_in(work) == []
    finally:
        for pid in processes_in(work):
            os.kill(pid, signal.SIGKILL)
        runner.wait(TIMEOUT_S)
