"""Tests of what holds signals until an application asks for them."""

import asyncio
import signal
import threading

import pytest

from sesamecross.runtime import signal_wakeup
from sesamecross.runtime import signals

# Without a wake the loop would sleep for ever.
HUNG_S = 30.0


@pytest.fixture
def pending_signals():
    """Returns an inbox that holds the test run's own signals meanwhile."""
    former = {
        number: signal.getsignal(number) for number in signals.HANDLED_SIGNALS
    }
    yield signals.PendingSignals.open()
    for number, handler in former.items():
        signal.signal(number, handler)


def test_a_flood_before_the_start_hides_no_stop(pending_signals):
    """A stop was lost behind a flood of other signals.

    Single signals, kept in a socket until the application ran, filled it
    after some hundreds; what came then was dropped.
    """
    flood = 100_000
    for _ in range(flood):
        signal.raise_signal(signal.SIGHUP)
    assert not pending_signals.is_stop_requested
    signal.raise_signal(signal.SIGTERM)
    assert pending_signals.is_stop_requested
    assert pending_signals.take() == {signal.SIGHUP: flood, signal.SIGTERM: 1}
    assert not pending_signals.is_stop_requested
    assert pending_signals.take() == {}


def test_a_signal_that_another_thread_gets_wakes_the_loop(pending_signals):
    """A process that waited for its sockets did not notice its signal.

    The system may give a signal to any thread. The main thread, in which
    handlers run, slept on and went on only when something else came.
    """
    asked = threading.Event()

    def get_signal() -> None:
        asked.wait()
        signal.pthread_kill(threading.get_ident(), signal.SIGHUP)

    async def play() -> dict:
        loop = asyncio.get_running_loop()
        taken = loop.create_future()

        def take() -> None:
            # A signal may come in two wakes; the second finds none.
            if arrived := pending_signals.take():
                taken.set_result(arrived)

        with signal_wakeup.notify_on_signal(loop, take):
            loop.call_soon(asked.set)
            return await asyncio.wait_for(taken, HUNG_S)

    thread = threading.Thread(target=get_signal)
    thread.start()
    assert asyncio.run(play()) == {signal.SIGHUP: 1}
    thread.join()
