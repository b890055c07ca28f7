"""The steward's replica, those who listen to it and those who wait on it.

Why: leases, claims and published changes are decided at replay, so whoever
depends on them listens here; who wrote an intent waits for its verdict.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from sesamecross.core import hlc
from sesamecross.core import records
from sesamecross.ops import catchup
from sesamecross.ops import replay
from sesamecross.ops import timeline

Listener = Callable[[replay.AppliedRecord], None]


def wait_key(record: Any) -> str | None:
    """Returns the name under which somebody may wait for a record."""
    match record:
        case records.IntentWritten(order=order):
            return order.order_id
    return None


class LocalReplica:
    """Holds the replica; runs on the event loop only."""

    __slots__ = ("log_replica", "_listeners", "_waiters", "_recorder")

    def __init__(self, recorder: timeline.Recorder) -> None:
        self._recorder = recorder
        self.log_replica = catchup.Replica(self._on_events)
        self._listeners: list[Listener] = []
        self._waiters: dict[str, list[asyncio.Future]] = {}

    @property
    def state(self) -> replay.SharedState:
        """The replayed state."""
        return self.log_replica.state

    def add_listener(self, listener: Listener) -> None:
        """Calls `listener` with each event from now on."""
        self._listeners.append(listener)

    def result_future(self, record: Any) -> asyncio.Future:
        """Returns a future of the record's result at replay."""
        future = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(wait_key(record), []).append(future)
        return future

    def cancel_wait(self, record: Any, future: asyncio.Future) -> None:
        """Stops waiting."""
        waiting = self._waiters.get(wait_key(record), [])
        if future in waiting:
            waiting.remove(future)

    def _on_events(self, events: list[replay.AppliedRecord]) -> None:
        for event in events:
            # What this record causes here sorts behind its writing.
            self._recorder.receive(hlc.Timestamp(*event.stamp))
            for listener in self._listeners:
                listener(event)
            key = wait_key(event.record)
            for future in self._waiters.pop(key, []) if key else []:
                if not future.done():
                    future.set_result(event.result)
