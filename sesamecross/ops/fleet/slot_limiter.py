"""Admits requests to one upstream, no more at a time than it has slots.

Some upstreams fail if they have to reject too many requests in a second. Each
instance sees the load of the others some tenths of a second late, so instances
that only look before they send still send too much together. One instance
admits all requests to such an upstream, and counts each from its admission to
its end.
"""

import msgspec

from sesamecross.ops.fleet import pacer

# A request whose end is not reported by then no longer counts: its instance is
# gone, or the report was lost. Longer than requests to plain services last.
ADMISSION_TIMEOUT_S = 10.0
CHECK_INTERVAL_S = 0.03


class _WaitingRequest(msgspec.Struct, frozen=True):
    key: pacer.Key
    due_s: float
    until_s: float


class SlotLimiter:
    """Requests that wait for and hold slots of one upstream. Deterministic."""

    __slots__ = ("_admitted", "_waiting")

    def __init__(self) -> None:
        # When each request that holds a slot was admitted.
        self._admitted: dict[pacer.Key, float] = {}
        self._waiting: dict[pacer.Key, _WaitingRequest] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no requests wait or hold slots."""
        return not self._waiting and not self._admitted

    def request(
        self,
        key: pacer.Key,
        tokens: int,
        due_s: float,
        until_s: float,
        batch: pacer.Batch,
        now_s: float,
    ) -> pacer.Decisions:
        """Queues a request; arguments as those of `pacer.Pacer.request`.

        A request that was admitted before is admitted again, as the answer was
        lost.
        """
        if key in self._admitted:
            return pacer.Decisions((key,), ())
        self._waiting.setdefault(key, _WaitingRequest(key, due_s, until_s))
        return self.grant(batch, now_s)

    def release(self, key: pacer.Key) -> None:
        """Records that a request has ended, or will not be sent."""
        self._waiting.pop(key, None)
        self._admitted.pop(key, None)

    def waiting(self, now_s: float) -> tuple[pacer.Key, ...]:
        """Returns the waiting requests in the order of their turns."""
        turns = pacer.in_turn(self._waiting.values(), now_s)
        return tuple(request.key for request in turns)

    def grant(self, batch: pacer.Batch, now_s: float) -> pacer.Decisions:
        """Returns the requests that may be sent now, and those refused."""
        for key, at_s in list(self._admitted.items()):
            if now_s - at_s > ADMISSION_TIMEOUT_S:
                del self._admitted[key]
        # Requests that were sent without an admission are in the reports only.
        used = max(len(self._admitted), int(batch.running))
        granted = []
        refused = []
        for request in pacer.in_turn(self._waiting.values(), now_s):
            if now_s >= request.until_s:
                refused.append(request.key)
            elif used + len(granted) < max(1, batch.slots):
                granted.append(request.key)
                self._admitted[request.key] = now_s
        for key in (*granted, *refused):
            del self._waiting[key]
        return pacer.Decisions(tuple(granted), tuple(refused))

    def next_check_s(self, now_s: float) -> float | None:
        """Returns when to check again, or None if no requests wait."""
        return now_s + CHECK_INTERVAL_S if self._waiting else None
