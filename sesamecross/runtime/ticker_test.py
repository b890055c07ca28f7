"""Tests of the ticker, on virtual time."""

import asyncio
import itertools
import random

import pytest

from sesamecross.fakes import virtual_time_loop
from sesamecross.runtime import ticker as ticker_lib


def run(work):
    with asyncio.Runner(
        loop_factory=virtual_time_loop.VirtualTimeLoop
    ) as runner:
        return runner.run(work)


@pytest.mark.parametrize("phase_s", [0.0, 0.013, 0.049])
def test_components_that_are_due_together_share_a_wake_up(phase_s):
    """Guards against one wake-up for each component and interval."""

    async def wake_times() -> set[float]:
        ticker = ticker_lib.Ticker(phase_s)
        loop = asyncio.get_running_loop()
        times = set()

        async def repeat(interval_s: float, begins_s: float) -> None:
            await asyncio.sleep(begins_s)
            while True:
                await ticker.wait(interval_s)
                times.add(round(loop.time(), 4))

        rng = random.Random(3)
        tasks = [
            asyncio.create_task(repeat(interval_s, rng.random()))
            for interval_s in (0.1, 0.1, 0.1, 0.1, 0.2, 0.5, 0.5)
        ]
        await asyncio.sleep(3.0)
        for task in tasks:
            task.cancel()
        return times

    times = run(wake_times())
    assert len(times) <= 31


@pytest.mark.parametrize("interval_s", [0.05, 0.1, 0.25, 0.5])
def test_a_wait_is_at_most_its_interval_and_then_regular(interval_s):
    """Guards against components that act later than their interval says."""

    async def moments() -> list[float]:
        ticker = ticker_lib.Ticker(0.021)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.333)
        seen = [loop.time()]
        for _ in range(40):
            await ticker.wait(interval_s)
            seen.append(loop.time())
        return seen

    seen = run(moments())
    pauses = [after - before for before, after in itertools.pairwise(seen)]
    assert 0 < pauses[0] <= interval_s + 1e-6
    assert pauses[1:] == pytest.approx([interval_s] * 39, abs=1e-6)


def test_a_wait_that_is_cancelled_cancels_no_other():
    """Guards against a component's stop that ends the others' timers."""

    async def work() -> bool:
        ticker = ticker_lib.Ticker()
        first = asyncio.create_task(ticker.wait(0.1))
        second = asyncio.create_task(ticker.wait(0.1))
        await asyncio.sleep(0.01)
        first.cancel()
        await asyncio.wait([second], timeout=1.0)
        return second.done() and not second.cancelled()

    assert run(work())


@pytest.mark.parametrize("interval_s", [0.1, 0.25, 0.5])
def test_phases_spread_processes_over_the_whole_interval(interval_s):
    """Guards against instances that all report in the same part of a round."""

    async def first_wake_s(phase_s: float) -> float:
        loop = asyncio.get_running_loop()
        await ticker_lib.Ticker(phase_s).wait(interval_s)
        return loop.time()

    rng = random.Random(5)
    moments = [run(first_wake_s(rng.random())) for _ in range(60)]
    thirds = {int(moment / interval_s * 3) for moment in moments}
    assert thirds >= {0, 1, 2}


def test_a_condition_is_checked_at_each_moment_without_waking_its_task():
    """Guards against tasks that are woken only to find nothing to do."""

    async def scenario() -> tuple[int, int, float]:
        ticker = ticker_lib.Ticker(0.02)
        loop = asyncio.get_running_loop()
        checks = 0
        is_set = False

        def condition() -> bool:
            nonlocal checks
            checks += 1
            return is_set

        async def set_later() -> None:
            nonlocal is_set
            for _ in range(10):
                await ticker.wait(0.1)
            is_set = True

        setting = asyncio.create_task(set_later())
        await asyncio.sleep(0)
        futures = 0
        create_future = loop.create_future

        def counting_create_future():
            nonlocal futures
            futures += 1
            return create_future()

        loop.create_future = counting_create_future
        await ticker.wait_until(condition, 0.1)
        await setting
        # One of the condition; the others are those of `set_later`.
        return checks, futures - 9, loop.time()

    checks, futures, at_s = run(scenario())
    assert checks == 10
    assert futures == 1
    # At the moment at which it was set, not at the next one.
    assert at_s == pytest.approx(0.92, abs=0.01)


def test_a_failing_condition_fails_its_own_task_only():
    """Guards against a task that waits for ever, and others with it."""

    def fail() -> bool:
        raise ValueError

    async def scenario() -> None:
        ticker = ticker_lib.Ticker()
        failing = asyncio.create_task(ticker.wait_until(fail, 0.1))
        cancelled = asyncio.create_task(ticker.wait_until(fail, 0.1))
        await asyncio.sleep(0)
        cancelled.cancel()
        await ticker.wait_until(lambda: failing.done(), 0.1)
        with pytest.raises(ValueError):
            await failing

    run(scenario())
