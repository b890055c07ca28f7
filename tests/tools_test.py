"""Tests of the tools that start deployments: nothing is left behind."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
STARTED = 3
GUARD_S = 60.0


def below(folder):
    """Returns the ids of the processes that work in a folder."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*"):
        try:
            if os.readlink(path / "cwd") == str(folder):
                found.append(int(path.name))
        except OSError:
            # It ended meanwhile, or is another user's.
            continue
    return found


def wait_until(holds):
    """Waits for what must come; the guard only keeps a test from hanging."""
    until = time.monotonic() + GUARD_S
    while not holds():
        assert time.monotonic() < until
        time.sleep(0.01)


@pytest.mark.parametrize(
    ("tool", "names"),
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
def test_a_tool_that_is_stopped_leaves_no_process(tmp_path, tool, names):
    """A closed terminal left 24 processes of `make up` running for ever.

    The tools' children are sessions of their own, so only the tool can stop
    them. A signal that the tool did not handle ended it before that, and so
    did a second one in the middle of the stop. `devtools/runner.py` makes one
    exception of them, held back while a process is started or stopped.
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
        # Where the test run itself ignores it, the tool would do so as well.
        preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
    )
    try:
        wait_until(lambda: len(below(work)) > STARTED)
        for name in names.split():
            runner.send_signal(signal.Signals[f"SIG{name}"])
            time.sleep(0.05)
        runner.wait(GUARD_S)
        assert below(work) == []
    finally:
        for pid in below(work):
            os.kill(pid, signal.SIGKILL)
        runner.wait(GUARD_S)
