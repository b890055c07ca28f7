"""Tests of pending signals and of the event loop's wakeup."""

import asyncio
import signal
import threading

import pytest

from sesamecross.runtime import signal_wakeup
from sesamecross.runtime import signals

# Without a wakeup the loop would sleep forever.
HANG_TIMEOUT_S = 30.0


@pytest.fixture
def pending_signals():
    """Returns pending signals, with the handlers installed for one test."""
    previous_handlers = {
        number: signal.getsignal(number) for number in signals.HANDLED_SIGNALS
    }
    yield signals.PendingSignals.install()
    for number, handler in previous_handlers.items():
        signal.signal(number, handler)


def test_a_flood_before_the_start_does_not_hide_a_stop(pending_signals):
    """Guards against a stop request lost in a flood of other signals.

    Signals were buffered one by one in a socket until the application ran. It
    was full after some hundreds, and later signals were dropped.
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
    """Guards against a loop that sleeps on after a signal.

    The system may deliver a signal to any thread. The main thread, in which
    handlers run, kept waiting for its sockets until another event arrived.
    """
    is_loop_waiting = threading.Event()

    def send_to_this_thread() -> None:
        is_loop_waiting.wait()
        signal.pthread_kill(threading.get_ident(), signal.SIGHUP)

    async def scenario() -> dict:
        loop = asyncio.get_running_loop()
        taken = loop.create_future()

        def take() -> None:
            # One signal may cause two wakeups; the second finds no signal.
            if arrived := pending_signals.take():
                taken.set_result(arrived)

        with signal_wakeup.notify_on_signal(loop, take):
            loop.call_soon(is_loop_waiting.set)
            return await asyncio.wait_for(taken, HANG_TIMEOUT_S)

    thread = threading.Thread(target=send_to_this_thread)
    thread.start()
    assert asyncio.run(scenario()) == {signal.SIGHUP: 1}
    thread.join()
