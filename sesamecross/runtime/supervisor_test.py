"""Tests of the supervisor: restarts, giving up, stopping for certain."""

import asyncio
import itertools

import pytest

from sesamecross.gateway import reloader
from sesamecross.gateway import sweeper
from sesamecross.runtime import supervisor


class Flaky:
    """Fails a number of times, then works until cancelled."""

    def __init__(self, failures, is_vital=False):
        self.name = "flaky"
        self.is_vital = is_vital
        self.failures = failures
        self.runs = 0
        self.stopped = False

    async def run(self):
        self.runs += 1
        if self.runs <= self.failures:
            raise OSError("told to fail")
        await asyncio.Event().wait()

    async def stop(self):
        self.stopped = True


class Stubborn(Flaky):
    """Loses its first cancellation, as a race in the library does."""

    async def run(self):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            await asyncio.Event().wait()


def run(component, seconds):
    async def story():
        tree = supervisor.Supervisor([component])
        tree.start()
        failed = asyncio.create_task(tree.wait_for_failure())
        await asyncio.wait([failed], timeout=seconds)
        error = failed.exception() if failed.done() else None
        failed.cancel()
        async with asyncio.timeout(10):
            await tree.stop()
        return error

    return asyncio.run(story())


def test_a_component_that_fails_is_started_again():
    component = Flaky(1)
    assert run(component, 0.5) is None
    assert (component.runs, component.stopped) == (2, True)


@pytest.mark.parametrize(("failures", "vital"), [(1, True)])
def test_a_vital_component_takes_the_process_with_it(failures, vital):
    # A steward that does not listen is taken for dead, so it must not go on.
    component = Flaky(failures, vital)
    assert isinstance(run(component, 2), supervisor.ComponentFailed)
    assert component.runs == 1


def test_a_lost_cancellation_does_not_hang_the_stop():
    # An entry was told to stop and did not: its link to the steward had just
    # got an answer when it was cancelled, and went on for ever.
    assert run(Stubborn(0), 0.1) is None


class Played:
    """Works for the given times, one after the other, and fails after each."""

    name = "played"

    def __init__(self, clock, lasts_s):
        self.clock = clock
        self.lasts_s = iter(lasts_s)
        self.runs = 0

    async def run(self):
        self.runs += 1
        lasts_s = next(self.lasts_s, None)
        if lasts_s is None:
            await asyncio.Event().wait()
        self.clock.now_s += lasts_s
        raise OSError("told to fail")

    async def stop(self):
        pass


class Clock:
    """The loop's time, moved by what is slept, and the pauses."""

    def __init__(self):
        self.now_s = 1000.0
        self.pauses = []

    async def sleep(self, seconds):
        self.pauses.append(seconds)
        self.now_s += seconds
        await asyncio.sleep(0)


def play(component_of, most=40):
    """Lets a component fail; returns the pauses, and why it was given up."""
    clock = Clock()
    component = component_of(clock)

    async def story():
        tree = supervisor.Supervisor([component], clock)
        tree.start()
        failed = asyncio.create_task(tree.wait_for_failure())
        for _ in range(most * 4):
            if failed.done() or len(clock.pauses) >= most:
                break
            await asyncio.sleep(0)
        error = failed.exception() if failed.done() else None
        failed.cancel()
        await tree.stop()
        return error

    return clock.pauses, asyncio.run(story())


def test_a_component_that_ran_well_is_started_again_at_once():
    """After some resets in a day the store was not read for 5 s at each one.

    A follower's pauses grow while it fails, and never went back: the failures
    of the morning held up the restart of the evening. A run as long as the
    window in which failures are counted now ends their series.
    """
    lasts_s = [0.0] * 6 + [supervisor.RESTART_WINDOW_S + 1.0] + [0.0]
    pauses, error = play(lambda clock: Played(clock, lasts_s))
    assert error is None
    first_s = supervisor.INITIAL_BACKOFF_S
    assert pauses[:6] == [first_s * 2**n for n in range(6)]
    assert pauses[6:8] == [first_s, first_s * 2]


def test_a_component_that_keeps_failing_is_given_up():
    pauses, error = play(lambda clock: Played(clock, itertools.repeat(0.0)))
    assert isinstance(error, supervisor.ComponentFailed)
    assert len(pauses) == supervisor.MAX_RESTARTS


class Helper(Played):
    """A component without which callers are served."""

    is_helper = True


def test_a_helper_that_keeps_failing_does_not_end_the_process():
    """All streams of an instance were cut because it could not look at a file.

    What looks for changed settings failed at each look, was given up after
    half a minute, and took the process down, which served its callers well.
    All components were alike to the supervisor.
    """
    pauses, error = play(lambda clock: Helper(clock, itertools.repeat(0.0)))
    assert error is None
    assert len(pauses) == 40
    assert pauses[-1] == supervisor.MAX_BACKOFF_S


@pytest.mark.parametrize("component", [reloader.Reloader, sweeper.Sweeper])
def test_what_callers_do_not_need_is_a_helper(component):
    assert component.is_helper
    assert not component.is_vital
