"""Tests of the supervisor: restarts, giving up, reliable stops."""

import asyncio
import itertools

import pytest

from sesamecross.gateway import reloader
from sesamecross.gateway import sweeper
from sesamecross.runtime import supervisor


class FlakyComponent:
    """Fails a number of times, then runs until cancelled."""

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


class IgnoresFirstCancellation(FlakyComponent):
    """Loses its first cancellation, as a race in `asyncio.wait_for` does."""

    async def run(self):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            await asyncio.Event().wait()


def run(component, seconds):
    async def scenario():
        tree = supervisor.Supervisor([component])
        tree.start()
        failed = asyncio.create_task(tree.wait_for_failure())
        await asyncio.wait([failed], timeout=seconds)
        error = failed.exception() if failed.done() else None
        failed.cancel()
        async with asyncio.timeout(10):
            await tree.stop()
        return error

    return asyncio.run(scenario())


def test_a_failed_component_is_restarted():
    component = FlakyComponent(1)
    assert run(component, 0.5) is None
    assert (component.runs, component.stopped) == (2, True)


@pytest.mark.parametrize(("failures", "vital"), [(1, True)])
def test_a_failed_vital_component_ends_the_process(failures, vital):
    # Peers consider a steward that does not listen dead, so it must exit.
    component = FlakyComponent(failures, vital)
    assert isinstance(run(component, 2), supervisor.ComponentFailed)
    assert component.runs == 1


def test_a_lost_cancellation_does_not_hang_the_stop():
    # An entry did not stop: its link to the steward had just got a response
    # when it was cancelled, and kept running.
    assert run(IgnoresFirstCancellation(0), 0.1) is None


class ScriptedComponent:
    """Fails after each of the given run times, then runs until cancelled."""

    name = "played"

    def __init__(self, clock, run_times_s):
        self.clock = clock
        self.run_times_s = iter(run_times_s)
        self.runs = 0

    async def run(self):
        self.runs += 1
        run_times_s = next(self.run_times_s, None)
        if run_times_s is None:
            await asyncio.Event().wait()
        self.clock.now_s += run_times_s
        raise OSError("told to fail")

    async def stop(self):
        pass


class FakeClock:
    """A clock that sleeping advances; records the backoffs."""

    def __init__(self):
        self.now_s = 1000.0
        self.pauses = []

    async def sleep(self, seconds):
        self.pauses.append(seconds)
        self.now_s += seconds
        await asyncio.sleep(0)


def record_backoffs(component_of, max_pauses=40):
    """Returns the backoffs of a failing component, and the final error."""
    clock = FakeClock()
    component = component_of(clock)

    async def scenario():
        tree = supervisor.Supervisor([component], clock)
        tree.start()
        failed = asyncio.create_task(tree.wait_for_failure())
        for _ in range(max_pauses * 4):
            if failed.done() or len(clock.pauses) >= max_pauses:
                break
            await asyncio.sleep(0)
        error = failed.exception() if failed.done() else None
        failed.cancel()
        await tree.stop()
        return error

    return clock.pauses, asyncio.run(scenario())


def test_a_long_run_resets_the_backoff():
    """Guards against a backoff that is never reset.

    After several connection resets in a day, each further one kept a follower
    from reading the store for 5 s. A run as long as the restart window now
    resets the backoff.
    """
    run_times_s = [0.0] * 6 + [supervisor.RESTART_WINDOW_S + 1.0] + [0.0]
    pauses, error = record_backoffs(
        lambda clock: ScriptedComponent(clock, run_times_s)
    )
    assert error is None
    first_s = supervisor.INITIAL_BACKOFF_S
    assert pauses[:6] == [first_s * 2**n for n in range(6)]
    assert pauses[6:8] == [first_s, first_s * 2]


def test_a_component_that_keeps_failing_is_given_up():
    pauses, error = record_backoffs(
        lambda clock: ScriptedComponent(clock, itertools.repeat(0.0))
    )
    assert isinstance(error, supervisor.ComponentFailed)
    assert len(pauses) == supervisor.MAX_RESTARTS


class HelperComponent(ScriptedComponent):
    """A component that callers don't depend on."""

    is_helper = True


def test_a_helper_that_keeps_failing_does_not_end_the_process():
    """Guards against a helper that ends a process which serves its callers.

    The reloader of settings could not read a file, was given up after half a
    minute and ended the process, which cut off all streams of the instance.
    The supervisor treated all components alike.
    """
    pauses, error = record_backoffs(
        lambda clock: HelperComponent(clock, itertools.repeat(0.0))
    )
    assert error is None
    assert len(pauses) == 40
    assert pauses[-1] == supervisor.MAX_BACKOFF_S


@pytest.mark.parametrize("component", [reloader.Reloader, sweeper.Sweeper])
def test_components_that_callers_do_not_need_are_helpers(component):
    assert component.is_helper
    assert not component.is_vital
