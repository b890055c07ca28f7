"""The steward's replica of the shared state, with listeners and waiters.

Leases, claims and configuration changes are decided at replay. Components
that depend on them register a listener; the writer of an intent waits for its
result.
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
    """Returns the key to wait for a record's result, or None if it has none."""
    match record:
        case records.IntentWritten(order=order):
            return order.order_id
    return None


class LocalReplica:
    """Notifies of applied records. Use it on the event loop only."""

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
        """Calls `listener` for each record applied from now on."""
        self._listeners.append(listener)

    def result_future(self, record: Any) -> asyncio.Future:
        """Returns a future of the record's result at replay."""
        future = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(wait_key(record), []).append(future)
        return future

    def cancel_wait(self, record: Any, future: asyncio.Future) -> None:
        """Removes a future that `result_future` returned."""
        waiting = self._waiters.get(wait_key(record), [])
        if future in waiting:
            waiting.remove(future)

    def _on_events(self, events: list[replay.AppliedRecord]) -> None:
        for event in events:
            # Events that this record causes here get later timestamps.
            self._recorder.receive(hlc.Timestamp(*event.stamp))
            for listener in self._listeners:
                listener(event)
            key = wait_key(event.record)
            for future in self._waiters.pop(key, []) if key else []:
                if not future.done():
                    future.set_result(event.result)
