"""Tests of the operators' command when it is interrupted by a signal."""

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
TIMEOUT_S = 30
NOTHING_CHANGED = "nothing was changed"
RETRY_HINT = "--change-id"


class BlockingLog(log_lib.LogServer):
    """A log that blocks requests at one stage of a command."""

    def __init__(self, stage):
        super().__init__("log", "127.0.0.1:0", 1000)
        self.stage = stage
        self.reached = threading.Event()
        self.release = threading.Event()

    def _hold(self, stage):
        if self.stage == stage:
            self.reached.set()
            assert self.release.wait(TIMEOUT_S)

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
    log_server = BlockingLog("")
    log_server.server.start()
    yield log_server
    log_server.release.set()
    log_server.server.shut_down()


def environment(log):
    return {
        "SESAMECROSS_LOG": f"http://{log.server.address}",
        "SESAMECROSS_SHARED_KEY": "0123456789abcdef",
    }


def reset_sighup():
    """Resets SIGHUP, which the test run may have inherited as ignored."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def start(log, arguments, before=reset_sighup):
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
        (PUBLISH, "read", "INT", 1, NOTHING_CHANGED),
        (PUBLISH, "read", "TERM", 1, NOTHING_CHANGED),
        (PUBLISH, "append", "INT", 4, RETRY_HINT),
        (PUBLISH, "append", "TERM", 4, RETRY_HINT),
        (PUBLISH, "append", "HUP", 4, RETRY_HINT),
        (PUBLISH, "verdict", "INT", 4, RETRY_HINT),
        (("rollback", "1"), "append", "HUP", 4, RETRY_HINT),
        (DRAIN, "read", "HUP", 1, NOTHING_CHANGED),
        (DRAIN, "append", "INT", 4, "may have been taken in"),
        (DRAIN, "append", "HUP", 4, "may have been taken in"),
    ],
)
def test_an_interrupted_change_reports_what_is_known_of_it(
    log, arguments, stage, name, code, text
):
    """Guards against a wrong exit code of an interrupted change.

    An interrupt ended `publish` with code 0, whatever became of the change;
    a closed terminal ended it without output. Scripts treated unpublished
    changes as published, and the reverse. Only the command knows whether the
    record was sent to the log; it now prints what is known at that stage.
    """
    here = command_line.CommandLine(
        environment(log), io.StringIO(), io.StringIO(), io.StringIO()
    )
    assert here.run(PUBLISH) == 0
    log.stage = stage
    command = start(log, arguments)
    assert log.reached.wait(TIMEOUT_S)
    command.send_signal(signal.Signals[f"SIG{name}"])
    output_text, _ = command.communicate(timeout=TIMEOUT_S)
    assert "Traceback" not in output_text
    assert (command.returncode, text in output_text) == (code, True)


@pytest.mark.parametrize("name", ["INT", "TERM", "HUP"])
def test_an_interrupted_wait_says_that_the_change_is_accepted(log, name):
    """Guards against an accepted change that is reported as lost.

    An operator interrupted the wait until the change was in force everywhere,
    and a script treated it as failed. A signal during a query is deferred until
    the query ends.
    """
    with socket.create_server(("127.0.0.1", 0)) as silent:
        port = silent.getsockname()[1]
        steward = ("--wait", "--steward", f"127.0.0.1:{port}")
        command = start(log, (*PUBLISH, *steward))
        output_text = ""
        while "accepted as version 1" not in output_text:
            line = command.stdout.readline()
            assert line, output_text
            output_text += line
        command.send_signal(signal.Signals[f"SIG{name}"])
        rest, _ = command.communicate(timeout=TIMEOUT_S)
    assert "Traceback" not in rest
    assert (command.returncode, "version 1" in rest) == (6, True)


def test_an_interruption_with_a_closed_output_keeps_its_exit_code(log):
    """Guards against an exit code that a failed write changes.

    A closed terminal also closes the command's output; a script then has only
    the exit code.
    """
    log.stage = "append"
    command = start(log, PUBLISH)
    assert log.reached.wait(TIMEOUT_S)
    command.stdout.close()
    command.send_signal(signal.SIGHUP)
    assert command.wait(TIMEOUT_S) == 4


def ignore_sighup():
    """Ignores SIGHUP, as `nohup` does."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def test_a_command_under_nohup_outlives_its_terminal(log):
    """Guards against an interruption of a command started with `nohup`.

    The command replaced the ignored SIGHUP with its own handler, and exited
    with an unknown verdict when its terminal was closed.
    """
    log.stage = "append"
    command = start(log, PUBLISH, ignore_sighup)
    assert log.reached.wait(TIMEOUT_S)
    command.send_signal(signal.SIGHUP)
    log.release.set()
    output_text, _ = command.communicate(timeout=TIMEOUT_S)
    assert (command.returncode, "accepted" in output_text) == (0, True), (
        output_text
    )


def records(log):
    """Returns the number of records on the log."""
    return sum(len(kept) for kept in log._records.values())


class InterruptAtLine:
    """Trace function that interrupts a command at its n-th distinct line."""

    FOLDER = str(pathlib.Path(command_line.__file__).parent)

    def __init__(self, interrupt, nth_line):
        self.interrupt = interrupt
        self.nth_line = nth_line
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
            if len(self.reached) == self.nth_line:
                self.interrupt(signal.SIGTERM, None)


@pytest.mark.parametrize(
    ("arguments", "done"),
    [
        ((*PUBLISH, "--wait"), "version"),
        (("rollback", "1"), "version"),
        (DRAIN, "drains"),
    ],
)
def test_an_interruption_at_any_line_reports_a_correct_outcome(
    log, arguments, done
):
    """Guards against an accepted change that is reported as not made."""

    def run(words, nth_line=0):
        output = io.StringIO()
        command = command_line.CommandLine(
            environment(log), io.StringIO(), output, output
        )
        tracer = InterruptAtLine(command.interrupt, nth_line)
        sys.settrace(tracer if nth_line else None)
        try:
            code = command.run(words)
        finally:
            sys.settrace(None)
        return code, output.getvalue(), tracer

    assert run(PUBLISH)[0] == 0
    nth_line = 0
    codes = set()
    while True:
        nth_line += 1
        before = records(log)
        code, output_text, tracer = run(arguments, nth_line)
        codes.add(code)
        if records(log) > before:
            assert code != 1, (nth_line, output_text)
        if code in (0, 6):
            assert done in output_text
        else:
            assert code in (1, 4)
            assert (NOTHING_CHANGED in output_text) == (code == 1)
        if len(tracer.reached) < nth_line:
            break
    assert codes >= {0, 1, 4}
