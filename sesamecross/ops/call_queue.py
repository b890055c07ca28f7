"""Priority queue of the calls that wait for capacity at an upstream.

When demand exceeds capacity, the order decides which calls meet their latency
targets. Smaller priority numbers go first; waiting raises a call's priority
step by step, so that none starves. At equal priority, calls that can still
meet their target go first, then callers with fewer dispatched calls.
"""

from collections.abc import Iterator

from sesamecross.ops import routing

# This much waiting raises a call by one step of priority.
AGING_STEP_MS = 4000


class CallQueue:
    """The waiting calls of one entry. Deterministic."""

    __slots__ = ("_calls", "_dispatch_counts")

    def __init__(self) -> None:
        self._calls: dict[str, routing.Call] = {}
        # Calls dispatched per caller, halved now and then; the caller with
        # fewer goes first.
        self._dispatch_counts: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: routing.Call) -> None:
        """Queues a call."""
        self._calls[call.call_id] = call

    def remove(self, call_id: str) -> routing.Call | None:
        """Removes and returns a call; None if it is not queued."""
        return self._calls.pop(call_id, None)

    def by_priority(self, now_ms: int) -> list[routing.Call]:
        """Returns the waiting calls in the order of dispatch."""
        return sorted(
            self._calls.values(), key=lambda call: self._key(call, now_ms)
        )

    def _key(self, call: routing.Call, now_ms: int) -> tuple:
        waited_ms = now_ms - call.arrived_ms
        effective_priority = call.priority - waited_ms // AGING_STEP_MS
        is_late = waited_ms > call.promise.first_token_ms
        caller_share = self._dispatch_counts.get(call.caller, 0.0)
        return (
            effective_priority,
            is_late,
            caller_share,
            call.arrived_ms,
            call.call_id,
        )

    def count_ahead_of(self, call: routing.Call, now_ms: int) -> int:
        """Returns how many waiting calls would be dispatched before `call`."""
        key = self._key(call, now_ms)
        return sum(
            1
            for other in self._calls.values()
            if self._key(other, now_ms) < key
        )

    def count_dispatch(self, caller: str) -> None:
        """Counts a dispatched call towards its caller's share."""
        self._dispatch_counts[caller] = (
            self._dispatch_counts.get(caller, 0.0) + 1.0
        )
        if self._dispatch_counts[caller] > 1000:
            self._dispatch_counts = {
                name: count / 2
                for name, count in self._dispatch_counts.items()
                if count > 2
            }

    def expired(self, now_ms: int) -> Iterator[routing.Call]:
        """Yields calls past their class's queueing limit or deadline."""
        for call in list(self._calls.values()):
            waited_ms = now_ms - call.arrived_ms
            if waited_ms >= call.promise.queue_ms or now_ms >= call.deadline_ms:
                yield call
