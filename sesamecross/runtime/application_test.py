"""Tests of a process's life: signals that stop it, and one that does not."""

import asyncio
import io
import json
import os
import signal

import pytest
import structlog

from sesamecross.runtime import application
from sesamecross.runtime import logs


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


async def _run(hooks, signals) -> int:
    running = asyncio.create_task(application.Application(hooks)._run())
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
        ("SIGINT", "SIGINT", [application.EXIT_CUT_SHORT]),
        ("SIGTERM", "SIGINT+SIGINT", [application.EXIT_CUT_SHORT]),
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
