"""Orders calls that wait for room at an upstream.

Why: when demand exceeds room, who waits decides what is attained. Smaller
priority numbers go first; waiting improves a call's priority step by step, so
summaries are late but never starved. Among equals a call that can still make
its promise goes before one that can't, and callers take turns.
"""

from collections.abc import Iterator

from sesamecross.ops import routing

# Waiting this long is worth one step of priority.
AGING_MS = 4000


class CallQueue:
    """The waiting calls of one entry. Deterministic."""

    __slots__ = ("_calls", "_served")

    def __init__(self) -> None:
        self._calls: dict[str, routing.Call] = {}
        # Calls dispatched for each caller, halved now and then; the caller
        # that got fewer goes first.
        self._served: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: routing.Call) -> None:
        """Queues a call."""
        self._calls[call.call_id] = call

    def remove(self, call_id: str) -> routing.Call | None:
        """Takes a call out, if it is still there."""
        return self._calls.pop(call_id, None)

    def in_order(self, now_ms: int) -> list[routing.Call]:
        """Returns the waiting calls, the one to go first first."""
        return sorted(
            self._calls.values(), key=lambda call: self._key(call, now_ms)
        )

    def _key(self, call: routing.Call, now_ms: int) -> tuple:
        waited_ms = now_ms - call.arrived_ms
        level = call.priority - waited_ms // AGING_MS
        late = waited_ms > call.promise.first_token_ms
        share = self._served.get(call.caller, 0.0)
        return (level, late, share, call.arrived_ms, call.call_id)

    def ahead_of(self, call: routing.Call, now_ms: int) -> int:
        """Returns how many waiting calls would go before `call`."""
        key = self._key(call, now_ms)
        return sum(
            1 for one in self._calls.values() if self._key(one, now_ms) < key
        )

    def dispatched(self, caller: str) -> None:
        """Counts a call towards its caller's share."""
        self._served[caller] = self._served.get(caller, 0.0) + 1.0
        if self._served[caller] > 1000:
            self._served = {
                name: count / 2
                for name, count in self._served.items()
                if count > 2
            }

    def expired(self, now_ms: int) -> Iterator[routing.Call]:
        """Yields calls that waited longer than their class allows."""
        for call in list(self._calls.values()):
            waited_ms = now_ms - call.arrived_ms
            if waited_ms >= call.promise.queue_ms or now_ms >= call.deadline_ms:
                yield call
