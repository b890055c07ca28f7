"""Tests of the look-up of the running event loop."""

import asyncio

import pytest

from sesamecross.fakes import virtual_time_loop
from sesamecross.runtime import event_loop


async def find() -> tuple[asyncio.AbstractEventLoop, asyncio.AbstractEventLoop]:
    return event_loop.running(), asyncio.get_running_loop()


def test_it_is_the_loop_that_runs_now():
    """Guards against a loop that ran in this thread before."""
    for _ in range(2):
        found, expected = asyncio.run(find())
        assert found is expected
    with pytest.raises(RuntimeError):
        event_loop.running()


def test_it_is_the_loop_of_this_thread():
    """Guards against a loop that runs in another thread at the same time."""

    async def scenario() -> None:
        mine = event_loop.running()
        theirs, expected = await asyncio.to_thread(asyncio.run, find())
        assert theirs is expected
        assert theirs is not mine
        with pytest.raises(RuntimeError):
            await asyncio.to_thread(event_loop.running)
        assert event_loop.running() is mine

    asyncio.run(scenario())


def test_the_loop_is_asked_for_once(monkeypatch):
    """Guards against a system call at each look at the time."""

    async def scenario() -> int:
        event_loop.now_s()
        calls = 0

        def count():
            nonlocal calls
            calls += 1

        monkeypatch.setattr(asyncio, "get_running_loop", count)
        for _ in range(100):
            event_loop.now_s()
        monkeypatch.undo()
        return calls

    with asyncio.Runner(
        loop_factory=virtual_time_loop.VirtualTimeLoop
    ) as runner:
        assert runner.run(scenario()) == 0
