"""Tests of the supervisor: restarts, giving up, stopping for certain."""

import asyncio

import pytest

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
        failed = asyncio.create_task(tree.failed())
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
