"""Tests of a process's life: signals that stop it, and one that does not."""

import asyncio
import contextlib
import io
import json
import os
import signal
import threading

import pytest
import structlog

from sesamecross.runtime import application
from sesamecross.runtime import logs
from sesamecross.runtime import signals as signals_lib

# How often somebody presses the key before a test gives up.
INTERRUPTS = 100


@pytest.fixture
def log():
    """Returns a function that gives the fields of each line so far."""
    stream = io.StringIO()
    logs.configure("info", "json", stream)
    yield lambda: [json.loads(line) for line in stream.getvalue().splitlines()]
    structlog.reset_defaults()


class _Hooks:
    """A process without components that counts what it is told."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.reloaded = asyncio.Event()

    def components(self) -> list:
        return []

    async def drain(self) -> None:
        self.calls.append("drain")

    def reload(self) -> None:
        self.calls.append("reload")
        self.reloaded.set()


class _NoReload:
    """A process that takes no settings in while it runs."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def components(self) -> list:
        return []

    async def drain(self) -> None:
        self.calls.append("drain")


@contextlib.contextmanager
def _pending_signals():
    """Holds the signals of the test run for as long as a test needs it."""
    former = {
        number: signal.getsignal(number)
        for number in signals_lib.HANDLED_SIGNALS
    }
    try:
        yield signals_lib.PendingSignals.open()
    finally:
        for number, handler in former.items():
            signal.signal(number, handler)


async def _run(hooks, signals) -> int:
    with _pending_signals() as pending_signals:
        return await _play(
            application.Application(hooks, pending_signals), hooks, signals
        )


async def _play(one, hooks, signals) -> int:
    running = asyncio.create_task(one._run())
    for number in signals:
        # Until the signal handlers are in place and the last was handled.
        for _ in range(20):
            await asyncio.sleep(0)
        os.kill(os.getpid(), number)
        if number == signal.SIGHUP and hasattr(hooks, "reloaded"):
            await hooks.reloaded.wait()
            hooks.reloaded.clear()
    return await running


@pytest.mark.parametrize(
    ("make", "expected"),
    [(_Hooks, ["reload", "reload", "drain"]), (_NoReload, ["drain"])],
)
def test_a_process_goes_on_when_its_settings_change(make, expected):
    """Streams of 70 instances were cut off when settings files changed.

    The platform sends SIGHUP then, which ends a process that has no handler
    for it.
    """

    async def play():
        hooks = make()
        code = await _run(hooks, [signal.SIGHUP, signal.SIGHUP, signal.SIGTERM])
        return hooks, code

    hooks, code = asyncio.run(play())
    assert code == application.EXIT_OK
    assert hooks.calls == expected


class _Stopping:
    """A process that gets further signals while it drains."""

    def __init__(self, numbers):
        self.calls: list[str] = []
        self._numbers = numbers

    def components(self) -> list:
        return []

    async def drain(self) -> None:
        for number in self._numbers:
            os.kill(os.getpid(), number)
            for _ in range(20):
                await asyncio.sleep(0)
        self.calls.append("drained")


@pytest.mark.parametrize(
    ("first", "later", "ends"),
    [
        ("SIGTERM", "SIGTERM", []),
        ("SIGTERM", "SIGTERM+SIGTERM", []),
        ("SIGTERM", "SIGINT", []),
        ("SIGTERM", "SIGHUP+SIGINT+SIGTERM", []),
        ("SIGINT", "SIGTERM", []),
        ("SIGINT", "SIGTERM+SIGTERM", []),
        ("SIGINT", "SIGINT", [application.EXIT_FORCED]),
        ("SIGTERM", "SIGINT+SIGINT", [application.EXIT_FORCED]),
    ],
)
def test_only_a_second_interrupt_cuts_a_stop_short(
    first, later, ends, monkeypatch
):
    """A stop that was asked for twice cut off all answers under way.

    The platform and an operator had each asked for the same stop. The process
    counted signals of any kind and took the second for somebody at a terminal
    who wants it gone.
    """
    ended: list[int] = []
    monkeypatch.setattr(os, "_exit", ended.append)
    hooks = _Stopping([getattr(signal, name) for name in later.split("+")])
    code = asyncio.run(_run(hooks, [getattr(signal, first)]))
    assert ended == ends
    assert hooks.calls == ["drained"]
    assert code == application.EXIT_OK


class _BadReload(_Hooks):
    """A process whose hook for new settings fails."""

    def reload(self) -> None:
        super().reload()
        raise ValueError("half a file")


def test_a_hook_that_fails_on_new_settings_ends_nothing(log):
    """An error in a hook left no line among the process's own.

    It came out as the loop's own text on standard error, which nobody reads
    as lines of the log. The process went on, and must.
    """

    async def play():
        hooks = _BadReload()
        code = await _run(hooks, [signal.SIGHUP, signal.SIGHUP, signal.SIGTERM])
        return hooks, code

    hooks, code = asyncio.run(play())
    failed = [
        line for line in log() if line["event"] == "application: reload failed"
    ]
    assert [line["level"] for line in failed] == ["error", "error"]
    assert "half a file" in failed[0]["exception"]
    assert hooks.calls == ["reload", "reload", "drain"]
    assert code == application.EXIT_OK


class _HangsAtItsEnd(_NoReload):
    """A process with a job in a thread that outlasts its loop."""

    def __init__(self) -> None:
        super().__init__()
        self.is_cut = threading.Event()
        self._closes = threading.Event()

    def components(self) -> list:
        loop = asyncio.get_running_loop()
        loop.call_soon(os.kill, os.getpid(), signal.SIGTERM)
        loop.run_in_executor(None, self._hang)
        wait_for_threads = loop.shutdown_default_executor

        async def close() -> None:
            self._closes.set()
            await wait_for_threads()

        loop.shutdown_default_executor = close
        return []

    def _hang(self) -> None:
        self._closes.wait()
        for _ in range(INTERRUPTS):
            os.kill(os.getpid(), signal.SIGINT)
            if self.is_cut.wait(0.05):
                return


def test_a_process_that_hangs_at_its_end_can_be_interrupted(monkeypatch):
    """Nobody at a terminal could end a process that waited for a thread.

    It had done its work and waited for jobs in threads, for as long as they
    took. Interrupts were held, but nobody asked for them any more.
    """
    hooks = _HangsAtItsEnd()
    ends: list[int] = []

    def end(code: int) -> None:
        ends.append(code)
        hooks.is_cut.set()

    monkeypatch.setattr(os, "_exit", end)
    with _pending_signals() as pending_signals:
        application.Application(hooks, pending_signals).run()
    assert ends[:1] == [application.EXIT_FORCED]


def _of(lines: list[dict], event: str) -> list[dict]:
    return [line for line in lines if line["event"] == f"application: {event}"]


@pytest.mark.parametrize(
    ("first", "later", "received"),
    [
        ("SIGTERM", "SIGTERM", {"SIGTERM": 2}),
        ("SIGINT", "SIGTERM+SIGHUP", {"SIGINT": 1, "SIGTERM": 1, "SIGHUP": 1}),
    ],
)
def test_a_log_tells_what_asked_for_an_end(
    first, later, received, log, monkeypatch
):
    """Nobody could tell from its lines why a process had ended.

    A stop by the platform, by somebody at a terminal and after a failure
    looked the same, and signals that changed nothing left no line.
    """
    # An end in mid-play would end the test run as well.
    monkeypatch.setattr(os, "_exit", lambda code: None)
    hooks = _Stopping([getattr(signal, name) for name in later.split("+")])
    asyncio.run(_run(hooks, [getattr(signal, first)]))
    lines = log()
    told = [
        (line["signal"], line["phase"]) for line in lines if "signal" in line
    ]
    again = [(name, "stopping") for name in later.split("+")]
    assert told == [(first, "running"), *again]
    (stopped,) = _of(lines, "stopped")
    assert stopped["pid"] == os.getpid()
    assert stopped["code"] == application.EXIT_OK
    assert stopped["asked_by"] == first
    assert stopped["signals"] == received


class _Failing(_NoReload):
    """A process whose only component fails for good."""

    is_vital = True
    name = "failing"

    def components(self) -> list:
        return [self]

    async def run(self) -> None:
        raise ValueError("broken")

    async def stop(self) -> None:
        """Nothing to finish."""


def test_a_log_tells_that_a_failure_ended_a_process(log):
    """A process that had failed and one that was stopped ended alike.

    The last line bore the exit code, and what asked for the end had to be
    guessed from the lines before it.
    """
    assert asyncio.run(_run(_Failing(), [])) == application.EXIT_FAILED
    (stopped,) = _of(log(), "stopped")
    assert stopped["code"] == application.EXIT_FAILED
    assert stopped["asked_by"] == "a failure"


class _BadStart(_NoReload):
    """A process whose parts can't be made."""

    def components(self) -> list:
        raise OSError("address in use")


class _BadDrain(_NoReload):
    """A process whose drain fails, with a component that has to stop."""

    name = "stops"

    def components(self) -> list:
        return [self]

    async def run(self) -> None:
        await asyncio.Event().wait()

    async def drain(self) -> None:
        raise ValueError("broken")

    async def stop(self) -> None:
        self.calls.append("stop")


@pytest.mark.parametrize(
    ("make", "sent", "event", "calls", "asked_by"),
    [
        (_BadStart, [], "not started", [], "a failure"),
        (_BadDrain, [signal.SIGTERM], "drain failed", ["stop"], "SIGTERM"),
    ],
)
def test_an_error_in_a_hook_is_told_and_ends_in_order(
    make, sent, event, calls, asked_by, log
):
    """A process whose hook failed ended without its last line.

    The error went past the log as text, and where it came in the drain the
    components were not stopped.
    """
    hooks = make()
    assert asyncio.run(_run(hooks, sent)) == application.EXIT_FAILED
    lines = log()
    (told,) = _of(lines, event)
    assert "exception" in told
    (stopped,) = _of(lines, "stopped")
    assert stopped["code"] == application.EXIT_FAILED
    assert stopped["asked_by"] == asked_by
    assert hooks.calls == calls


def test_a_flood_of_signals_does_not_flood_the_log(log):
    """A tool that signals in a loop filled the log with a line for each.

    Programs that write to standard error have no bound of their own. Each
    signal still does its work, and the last line tells how many came.
    """
    flood = 1000

    async def play():
        hooks = _Hooks()
        signals = [signal.SIGHUP] * flood + [signal.SIGTERM]
        await _run(hooks, signals)
        return hooks

    hooks = asyncio.run(play())
    assert hooks.calls.count("reload") == flood
    lines = log()
    assert len(_of(lines, "reload requested")) < flood / 10
    (stopped,) = _of(lines, "stopped")
    assert stopped["signals"] == {"SIGHUP": flood, "SIGTERM": 1}


class _Fails:
    """A component that is given up at its first failure."""

    is_vital = True
    name = "vital"

    def __init__(self, calls: list[str]):
        self._calls = calls

    async def run(self) -> None:
        raise OSError("told to fail")

    async def stop(self) -> None:
        self._calls.append("stop")


class _Failing(_NoReload):
    """A process with a component that fails."""

    def components(self) -> list:
        return [_Fails(self.calls)]


def test_a_failed_component_cuts_no_requests_off():
    """All streams of an instance were cut because one of its parts had failed.

    A part that keeps failing takes its process down, so that the platform
    replaces it; but its callers were served well meanwhile. The parts stopped
    without waiting for open requests, as only a signal led to the drain.
    """

    async def play():
        hooks = _Failing()
        return hooks, await _run(hooks, [])

    hooks, code = asyncio.run(play())
    assert code == application.EXIT_FAILED
    assert hooks.calls == ["drain", "stop"]
