"""Tests of the relay's thread: one transfer's failure is that transfer's."""

from collections.abc import Callable
import contextlib
import socket
import threading
import types

import pytest

from sesamecross.entry import sinks
from sesamecross.entry import stream_relay

# Ends a test whose relay hangs; no test waits this long.
TEST_TIMEOUT_S = 10.0
FAR_S = 1e12


class _Stream:
    """An engine's stream: fails as the test says, or says nothing."""

    ended = False

    def __init__(self, fail: Callable[[], None] | None = None):
        self._socket, self._other = socket.socketpair()
        self._fail = fail

    def fileno(self) -> int:
        return self._socket.fileno()

    def read(self, _size) -> list:
        if self._fail is not None:
            self._fail()
        return []

    def close(self) -> None:
        self._socket.close()
        self._other.close()


def _fail() -> None:
    raise ZeroDivisionError("unforeseen")


class _FailingSink(sinks.DocumentSink):
    """Fails when the relay looks whether it is full."""

    @property
    def is_full(self) -> bool:
        raise ZeroDivisionError("unforeseen")


class _FailingTransfer(stream_relay.Transfer):
    """Fails when its time limits are checked."""

    __slots__ = ()

    def check_timeouts(self, now_s: float) -> None:
        _fail()


def transfer(stream, sink=None, is_done: bool = True):
    validator = types.SimpleNamespace(
        done=is_done, tokens=0, process_event=None
    )
    return stream_relay.Transfer(
        stream, validator, sink or sinks.DocumentSink(), FAR_S, FAR_S, FAR_S
    )


def run_transfer(relay, one) -> stream_relay.TransferResult | None:
    """Returns the result; None if the relay does not end the transfer."""
    results = []
    thread = threading.Thread(
        target=lambda: results.append(relay.run_transfer(one)), daemon=True
    )
    thread.start()
    thread.join(TEST_TIMEOUT_S)
    return results[0] if results else None


@pytest.mark.parametrize(
    "broken",
    [
        lambda stream: transfer(stream(_fail)),
        lambda stream: transfer(stream(), _FailingSink(), is_done=False),
    ],
    ids=["read", "registration"],
)
def test_an_unforeseen_error_in_a_new_transfer_ends_that_transfer_only(broken):
    """Guards against a relay thread that ends, and calls that wait for ever."""
    relay = stream_relay.StreamRelay()
    relay.start()
    with contextlib.ExitStack() as streams:

        def stream(fail=None) -> _Stream:
            return streams.enter_context(contextlib.closing(_Stream(fail)))

        result = run_transfer(relay, broken(stream))
        assert result == stream_relay.Interrupted(
            "ZeroDivisionError('unforeseen')"
        )
        again = run_transfer(relay, transfer(stream()))
        assert again == stream_relay.Completed()


def test_an_unforeseen_error_in_a_sweep_ends_that_transfer_only():
    """Guards against a relay thread that ends, and calls that wait for ever."""
    relay = stream_relay.StreamRelay()
    with contextlib.ExitStack() as streams:
        broken, sound = (
            transfer(streams.enter_context(contextlib.closing(_Stream())))
            for _ in range(2)
        )
        broken.__class__ = _FailingTransfer
        sound.deadline_s = 0.0
        relay._active_transfers.update((broken, sound))
        relay._check_all_timeouts(1.0)
    assert broken.done.is_set()
    assert sound.result == stream_relay.Interrupted("the deadline passed")


def test_a_caller_that_does_not_read_is_not_reported_as_a_silent_engine():
    """Guards against a resumed call, at another engine, for a gone caller."""
    with contextlib.closing(_Stream()) as stream:
        one = transfer(stream, types.SimpleNamespace(), is_done=False)
        one.sink = types.SimpleNamespace(has_pending_bytes=True, is_full=False)
        one.caller_idle_timeout_s = one.engine_idle_timeout_s = 1.0
        one.caller_idle_since_s = one.engine_idle_since_s = 0.0
        one.check_timeouts(5.0)
    assert one.result == stream_relay.CallerDisconnected("does not read")
