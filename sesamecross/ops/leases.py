"""Zone leases with the log offset as fencing token.

A holder may write intents for its zone. It can be paused past its lease and
resume in the middle of a send. Time decides only when another steward may
challenge; whether a lease is valid is decided by order on the log. What an old
holder may have sent is known from its intents, which all precede the record
that ended its lease.
"""

import dataclasses

from sesamecross.core import data
from sesamecross.core import records


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A zone's current lease. `offset` is its fencing token."""

    zone: str
    holder: data.Incarnation
    offset: int


@dataclasses.dataclass(slots=True)
class LeaseState:
    """Current leases by zone."""

    leases: dict[str, Lease] = dataclasses.field(default_factory=dict)


def take(
    state: LeaseState, fence: int, record: records.LeaseTaken
) -> Lease | None:
    """Grants the lease if the record supersedes the current one.

    Args:
      state: Changed in place.
      fence: The record's position on the log, never 0.
      record: The challenger's record.

    Returns:
      The new lease, or None if another challenger was first.
    """
    current = state.leases.get(record.zone)
    if (current.offset if current else 0) != record.supersedes:
        return None
    lease = Lease(record.zone, record.holder, fence)
    state.leases[record.zone] = lease
    return lease


def release(state: LeaseState, record: records.LeaseReleased) -> bool:
    """Ends the lease if it is still the current one."""
    current = state.leases.get(record.zone)
    if current is None or current.offset != record.lease:
        return False
    del state.leases[record.zone]
    return True


def is_current(state: LeaseState, zone: str, fence: int) -> bool:
    """Tells whether `fence` numbers the zone's current lease."""
    current = state.leases.get(zone)
    return current is not None and current.offset == fence


class LeaseExpiryDetector:
    """Decides by the local monotonic clock when to challenge.

    A premature challenge costs a change of holder and never safety. Beyond the
    expiry time each candidate waits by its rank among the zone's members, so
    that challengers don't all write at once.
    """

    __slots__ = (
        "_lapse_ms",
        "_delay_per_rank_ms",
        "_observed_fence",
        "_timer_started_ms",
    )

    def __init__(self, lapse_ms: int, delay_per_rank_ms: int):
        self._lapse_ms = lapse_ms
        self._delay_per_rank_ms = delay_per_rank_ms
        self._observed_fence: int | None = None
        self._timer_started_ms = 0

    def reset_timer(self, now_ms: int) -> None:
        """Restarts the timer: the holder renewed the lease or changed."""
        self._timer_started_ms = now_ms

    def may_challenge(
        self, now_ms: int, current: Lease | None, rank: int
    ) -> bool:
        """Tells whether the lease should be challenged now."""
        fence = current.offset if current else 0
        if fence != self._observed_fence:
            self._observed_fence = fence
            self._timer_started_ms = now_ms
        wait_ms = rank * self._delay_per_rank_ms
        if current is not None:
            wait_ms += self._lapse_ms
        return now_ms - self._timer_started_ms >= wait_ms
