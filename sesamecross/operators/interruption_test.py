"""Tests of the operators' command when a signal interrupts it."""

import io
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading

import pytest

from sesamecross.fakes import log as log_lib
from sesamecross.operators import command_line

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "namib"
GUARD_S = 30
NOTHING = "nothing was changed"
AGAIN = "--change-id"


class Log(log_lib.LogServer):
    """A log that holds requests back at one stage of a command."""

    def __init__(self, stage):
        super().__init__("log", "127.0.0.1:0", 1000)
        self.stage = stage
        self.reached = threading.Event()
        self.release = threading.Event()

    def _hold(self, stage):
        if self.stage == stage:
            self.reached.set()
            assert self.release.wait(GUARD_S)

    def _append(self, request):
        self._hold("append")
        response = super()._append(request)
        if self.stage == "verdict":
            self.stage = "read"
        return response

    def _read(self, request):
        self._hold("read")
        return super()._read(request)


@pytest.fixture
def log():
    one = Log("")
    one.server.start()
    yield one
    one.release.set()
    one.server.shut_down()


def environment(log):
    return {
        "SESAMECROSS_LOG": f"http://{log.server.address}",
        "SESAMECROSS_SHARED_KEY": "0123456789abcdef",
    }


def heed_hang_ups():
    """Undoes what the test run itself may have inherited."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def start(log, arguments, before=heed_hang_ups):
    command = [sys.executable, "-m", "sesamecross.scripts.operator_cli"]
    return subprocess.Popen(
        [*command, *arguments],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env=os.environ | environment(log),
        preexec_fn=before,
    )


PUBLISH = ("publish", str(EXAMPLE))
DRAIN = ("drain", "advice-model-1")


@pytest.mark.parametrize(
    ("arguments", "stage", "name", "code", "text"),
    [
        (PUBLISH, "read", "INT", 1, NOTHING),
        (PUBLISH, "read", "TERM", 1, NOTHING),
        (PUBLISH, "append", "INT", 4, AGAIN),
        (PUBLISH, "append", "TERM", 4, AGAIN),
        (PUBLISH, "append", "HUP", 4, AGAIN),
        (PUBLISH, "verdict", "INT", 4, AGAIN),
        (("rollback", "1"), "append", "HUP", 4, AGAIN),
        (DRAIN, "read", "HUP", 1, NOTHING),
        (DRAIN, "append", "INT", 4, "may have been taken in"),
        (DRAIN, "append", "HUP", 4, "may have been taken in"),
    ],
)
def test_an_interrupted_change_says_what_is_known_of_it(
    log, arguments, stage, name, code, text
):
    """A script took a change for published that was not, and one for failed.

    An operator's interrupt ended `publish` with code 0, whatever had become
    of the change; a closed terminal ended it without a word. Whether the
    record had gone to the log was known to the command alone. Each signal is
    an interruption now, and what is known at that stage is the answer.
    """
    here = command_line.CommandLine(
        environment(log), io.StringIO(), io.StringIO(), io.StringIO()
    )
    assert here.run(PUBLISH) == 0
    log.stage = stage
    command = start(log, arguments)
    assert log.reached.wait(GUARD_S)
    command.send_signal(signal.Signals[f"SIG{name}"])
    said, _ = command.communicate(timeout=GUARD_S)
    assert "Traceback" not in said
    assert (command.returncode, text in said) == (code, True)


@pytest.mark.parametrize("name", ["INT", "TERM", "HUP"])
def test_an_interrupted_wait_says_that_the_change_is_accepted(log, name):
    """An operator stopped waiting, and a script took the change for lost.

    The change was accepted; only whether it was in force everywhere was not
    known yet. A signal in the middle of the asking waits for its end.
    """
    with socket.create_server(("127.0.0.1", 0)) as silent:
        port = silent.getsockname()[1]
        steward = ("--wait", "--steward", f"127.0.0.1:{port}")
        command = start(log, (*PUBLISH, *steward))
        said = ""
        while "accepted as version 1" not in said:
            line = command.stdout.readline()
            assert line, said
            said += line
        command.send_signal(signal.Signals[f"SIG{name}"])
        rest, _ = command.communicate(timeout=GUARD_S)
    assert "Traceback" not in rest
    assert (command.returncode, "version 1" in rest) == (6, True)


def test_an_interruption_whose_reader_is_gone_keeps_its_code(log):
    """A closed terminal takes the command's output with it.

    The exit code is all that a script has then; a write that failed changed
    it.
    """
    log.stage = "append"
    command = start(log, PUBLISH)
    assert log.reached.wait(GUARD_S)
    command.stdout.close()
    command.send_signal(signal.SIGHUP)
    assert command.wait(GUARD_S) == 4


def ignore_hang_ups():
    """Does what `nohup` does."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def test_a_command_under_nohup_outlives_its_terminal(log):
    """A publish that was to go on without its terminal was interrupted.

    An operator started it with `nohup` and closed the terminal. The command
    took the signal back that `nohup` had set to be ignored, and ended with
    the verdict unknown.
    """
    log.stage = "append"
    command = start(log, PUBLISH, ignore_hang_ups)
    assert log.reached.wait(GUARD_S)
    command.send_signal(signal.SIGHUP)
    log.release.set()
    said, _ = command.communicate(timeout=GUARD_S)
    assert (command.returncode, "accepted" in said) == (0, True), said


def records(log):
    """Returns how many records the log has taken in."""
    return sum(len(kept) for kept in log._records.values())


class Ages:
    """Interrupts a command at its n-th line that was not reached before."""

    FOLDER = str(pathlib.Path(command_line.__file__).parent)

    def __init__(self, interrupt, age):
        self.interrupt = interrupt
        self.age = age
        self.reached = set()

    def __call__(self, frame, event, _argument):
        if not frame.f_code.co_filename.startswith(self.FOLDER):
            return None
        if event == "line":
            self._note((frame.f_code.co_filename, frame.f_lineno))
        return self

    def _note(self, line):
        if line not in self.reached:
            self.reached.add(line)
            if len(self.reached) == self.age:
                self.interrupt(signal.SIGTERM, None)


@pytest.mark.parametrize(
    ("arguments", "done"),
    [
        ((*PUBLISH, "--wait"), "version"),
        (("rollback", "1"), "version"),
        (DRAIN, "drains"),
    ],
)
def test_an_interruption_at_any_line_gets_a_true_answer(log, arguments, done):
    """Guards against a change that was taken in and is reported as not made."""

    def run(words, age=0):
        output = io.StringIO()
        command = command_line.CommandLine(
            environment(log), io.StringIO(), output, output
        )
        ages = Ages(command.interrupt, age)
        sys.settrace(ages if age else None)
        try:
            code = command.run(words)
        finally:
            sys.settrace(None)
        return code, output.getvalue(), ages

    assert run(PUBLISH)[0] == 0
    age = 0
    codes = set()
    while True:
        age += 1
        before = records(log)
        code, said, ages = run(arguments, age)
        codes.add(code)
        if records(log) > before:
            assert code != 1, (age, said)
        if code in (0, 6):
            assert done in said
        else:
            assert code in (1, 4)
            assert (NOTHING in said) == (code == 1)
        if len(ages.reached) < age:
            break
    assert codes >= {0, 1, 4}
