"""Tests of the process lifecycle: stop signals, reloads and failures."""

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

# Interrupts that a test sends before it gives up.
MAX_INTERRUPTS = 100


@pytest.fixture
def log():
    """Returns a function that returns the fields of all log lines so far."""
    stream = io.StringIO()
    logs.configure("info", "json", stream)
    yield lambda: [json.loads(line) for line in stream.getvalue().splitlines()]
    structlog.reset_defaults()


class _ReloadableHooks:
    """A process without components that records calls of its hooks."""

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


class _HooksWithoutReload:
    """A process that can't reload its settings."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def components(self) -> list:
        return []

    async def drain(self) -> None:
        self.calls.append("drain")


@contextlib.contextmanager
def _pending_signals():
    """Installs the signal handlers for the duration of a test."""
    previous_handlers = {
        number: signal.getsignal(number)
        for number in signals_lib.HANDLED_SIGNALS
    }
    try:
        yield signals_lib.PendingSignals.install()
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)


async def _run(hooks, signals) -> int:
    with _pending_signals() as pending_signals:
        return await _send_signals(
            application.Application(hooks, pending_signals), hooks, signals
        )


async def _send_signals(app, hooks, signals) -> int:
    running = asyncio.create_task(app._run())
    for number in signals:
        # Waits for the handlers, and until the last signal was handled.
        for _ in range(20):
            await asyncio.sleep(0)
        os.kill(os.getpid(), number)
        if number == signal.SIGHUP and hasattr(hooks, "reloaded"):
            await hooks.reloaded.wait()
            hooks.reloaded.clear()
    return await running


@pytest.mark.parametrize(
    ("make_hooks", "expected"),
    [
        (_ReloadableHooks, ["reload", "reload", "drain"]),
        (_HooksWithoutReload, ["drain"]),
    ],
)
def test_sighup_does_not_end_a_process(make_hooks, expected):
    """Guards against SIGHUP ending a process.

    The platform sends it when settings files change. Without a handler it
    ended the processes and cut off the streams of 70 instances.
    """

    async def scenario():
        hooks = make_hooks()
        code = await _run(hooks, [signal.SIGHUP, signal.SIGHUP, signal.SIGTERM])
        return hooks, code

    hooks, code = asyncio.run(scenario())
    assert code == application.EXIT_OK
    assert hooks.calls == expected


class _HooksSignalledInDrain:
    """A process that gets more signals while it drains."""

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
def test_only_a_second_interrupt_forces_an_exit(
    first, later, ends, monkeypatch
):
    """Guards against a repeated stop request aborting open requests.

    The platform and an operator each requested the same stop. The process
    counted signals of any kind and treated the second as a forced exit by
    somebody at a terminal.
    """
    ended: list[int] = []
    monkeypatch.setattr(os, "_exit", ended.append)
    hooks = _HooksSignalledInDrain(
        [getattr(signal, name) for name in later.split("+")]
    )
    code = asyncio.run(_run(hooks, [getattr(signal, first)]))
    assert ended == ends
    assert hooks.calls == ["drained"]
    assert code == application.EXIT_OK


class _FailingReload(_ReloadableHooks):
    """A process whose reload hook fails."""

    def reload(self) -> None:
        super().reload()
        raise ValueError("half a file")


def test_a_failing_reload_is_logged_and_ends_nothing(log):
    """Guards against a reload error that is missing from the log.

    The event loop printed the error as plain text on standard error, which is
    not read as log lines. The process must keep running.
    """

    async def scenario():
        hooks = _FailingReload()
        code = await _run(hooks, [signal.SIGHUP, signal.SIGHUP, signal.SIGTERM])
        return hooks, code

    hooks, code = asyncio.run(scenario())
    failed = [
        line for line in log() if line["event"] == "application: reload failed"
    ]
    assert [line["level"] for line in failed] == ["error", "error"]
    assert "half a file" in failed[0]["exception"]
    assert hooks.calls == ["reload", "reload", "drain"]
    assert code == application.EXIT_OK


class _HangingThreadHooks(_HooksWithoutReload):
    """A process with an executor thread that outlasts its loop."""

    def __init__(self) -> None:
        super().__init__()
        self.is_interrupted = threading.Event()
        self._is_closing = threading.Event()

    def components(self) -> list:
        loop = asyncio.get_running_loop()
        loop.call_soon(os.kill, os.getpid(), signal.SIGTERM)
        loop.run_in_executor(None, self._interrupt_until_forced)
        wait_for_threads = loop.shutdown_default_executor

        async def close() -> None:
            self._is_closing.set()
            await wait_for_threads()

        loop.shutdown_default_executor = close
        return []

    def _interrupt_until_forced(self) -> None:
        self._is_closing.wait()
        for _ in range(MAX_INTERRUPTS):
            os.kill(os.getpid(), signal.SIGINT)
            if self.is_interrupted.wait(0.05):
                return


def test_a_process_that_hangs_on_exit_can_be_interrupted(monkeypatch):
    """Guards against a process that ignores interrupts while it exits.

    It had finished its work and waited without limit for executor threads.
    Interrupts were kept as pending but no longer handled.
    """
    hooks = _HangingThreadHooks()
    ends: list[int] = []

    def end(code: int) -> None:
        ends.append(code)
        hooks.is_interrupted.set()

    monkeypatch.setattr(os, "_exit", end)
    with _pending_signals() as pending_signals:
        application.Application(hooks, pending_signals).run()
    assert ends[:1] == [application.EXIT_FORCED]


def _lines_of(lines: list[dict], event: str) -> list[dict]:
    return [line for line in lines if line["event"] == f"application: {event}"]


@pytest.mark.parametrize(
    ("first", "later", "received"),
    [
        ("SIGTERM", "SIGTERM", {"SIGTERM": 2}),
        ("SIGINT", "SIGTERM+SIGHUP", {"SIGINT": 1, "SIGTERM": 1, "SIGHUP": 1}),
    ],
)
def test_the_log_shows_which_signal_stopped_a_process(
    first, later, received, log, monkeypatch
):
    """Guards against a log that doesn't show why a process stopped.

    A stop by the platform, by somebody at a terminal and after a failure
    looked the same, and signals without an effect were not logged.
    """
    # A forced exit would end the test run as well.
    monkeypatch.setattr(os, "_exit", lambda code: None)
    hooks = _HooksSignalledInDrain(
        [getattr(signal, name) for name in later.split("+")]
    )
    asyncio.run(_run(hooks, [getattr(signal, first)]))
    lines = log()
    logged = [
        (line["signal"], line["phase"]) for line in lines if "signal" in line
    ]
    again = [(name, "stopping") for name in later.split("+")]
    assert logged == [(first, "running"), *again]
    (stopped,) = _lines_of(lines, "stopped")
    assert stopped["pid"] == os.getpid()
    assert stopped["code"] == application.EXIT_OK
    assert stopped["asked_by"] == first
    assert stopped["signals"] == received


class _OwnFailingComponent(_HooksWithoutReload):
    """A process whose only component, itself, fails permanently."""

    is_vital = True
    name = "failing"

    def components(self) -> list:
        return [self]

    async def run(self) -> None:
        raise ValueError("broken")

    async def stop(self) -> None:
        """Nothing to finish."""


def test_the_log_shows_that_a_failure_ended_a_process(log):
    """Guards against a failure that looks like a requested stop in the log.

    The last line held the exit code only; the cause had to be guessed from
    the lines before it.
    """
    assert (
        asyncio.run(_run(_OwnFailingComponent(), [])) == application.EXIT_FAILED
    )
    (stopped,) = _lines_of(log(), "stopped")
    assert stopped["code"] == application.EXIT_FAILED
    assert stopped["asked_by"] == "a failure"


class _FailingStart(_HooksWithoutReload):
    """A process whose components can't be created."""

    def components(self) -> list:
        raise OSError("address in use")


class _FailingDrain(_HooksWithoutReload):
    """A process whose drain fails, with a component that must be stopped."""

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
    ("make_hooks", "sent", "event", "calls", "asked_by"),
    [
        (_FailingStart, [], "startup failed", [], "a failure"),
        (_FailingDrain, [signal.SIGTERM], "drain failed", ["stop"], "SIGTERM"),
    ],
)
def test_an_error_in_a_hook_is_logged_and_the_shutdown_completes(
    make_hooks, sent, event, calls, asked_by, log
):
    """Guards against a hook's error that skips the rest of the shutdown.

    The error was printed outside of the log and the last log line was missing.
    After an error in the drain the components were not stopped.
    """
    hooks = make_hooks()
    assert asyncio.run(_run(hooks, sent)) == application.EXIT_FAILED
    lines = log()
    (logged,) = _lines_of(lines, event)
    assert "exception" in logged
    (stopped,) = _lines_of(lines, "stopped")
    assert stopped["code"] == application.EXIT_FAILED
    assert stopped["asked_by"] == asked_by
    assert hooks.calls == calls


def test_a_flood_of_signals_does_not_flood_the_log(log):
    """Guards against signals sent in a loop that fill the log.

    Programs that write to standard error have no other limit. Each signal
    still takes effect, and the last line counts all of them.
    """
    flood = 1000

    async def scenario():
        hooks = _ReloadableHooks()
        signals = [signal.SIGHUP] * flood + [signal.SIGTERM]
        await _run(hooks, signals)
        return hooks

    hooks = asyncio.run(scenario())
    assert hooks.calls.count("reload") == flood
    lines = log()
    assert len(_lines_of(lines, "reload requested")) < flood / 10
    (stopped,) = _lines_of(lines, "stopped")
    assert stopped["signals"] == {"SIGHUP": flood, "SIGTERM": 1}


class _VitalFailingComponent:
    """A component that is not restarted after a failure."""

    is_vital = True
    name = "vital"

    def __init__(self, calls: list[str]):
        self._calls = calls

    async def run(self) -> None:
        raise OSError("told to fail")

    async def stop(self) -> None:
        self._calls.append("stop")


class _Failing(_HooksWithoutReload):
    """A process with a component that fails."""

    def components(self) -> list:
        return [_VitalFailingComponent(self.calls)]


def test_a_failed_component_does_not_cut_off_requests():
    """Guards against a failed component that cuts off open requests.

    A component that keeps failing ends its process, so that the platform
    replaces it, while its callers are still served. Only a signal led to the
    drain, so the components were stopped without waiting for open requests.
    """

    async def scenario():
        hooks = _Failing()
        return hooks, await _run(hooks, [])

    hooks, code = asyncio.run(scenario())
    assert code == application.EXIT_FAILED
    assert hooks.calls == ["drain", "stop"]
