"""Who may write intents for a zone: leases with the offset as fencing number.

Why: a holder can be paused past its lease and wake up mid-send. Time decides
only when somebody may challenge; whether a lease counts is decided by order
on the log, and what an old holder may have sent is known from its intents,
which all lie before the record that ended its lease.
"""

import dataclasses

from sesamecross.core import data
from sesamecross.core import records


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A zone's current lease. `offset` is its fencing number."""

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
    """Gives the lease if the record supersedes the current one.

    Args:
      state: Changed in place.
      fence: The record's place on the log, never 0.
      record: What the challenger wrote.

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
    """Decides when to challenge, from the own monotonic clock only.

    A wrong guess costs a change of holder and never safety. Each candidate
    waits for its rank among the zone's members beside the lapse, so that
    challengers don't all write at once.
    """

    __slots__ = ("_lapse_ms", "_step_ms", "_seen", "_since_ms")

    def __init__(self, lapse_ms: int, step_ms: int):
        self._lapse_ms = lapse_ms
        self._step_ms = step_ms
        self._seen: int | None = None
        self._since_ms = 0

    def reset_timer(self, now_ms: int) -> None:
        """Notes that the holder renewed or changed just now."""
        self._since_ms = now_ms

    def may_challenge(
        self, now_ms: int, current: Lease | None, rank: int
    ) -> bool:
        """Tells whether the lease should be challenged now."""
        fence = current.offset if current else 0
        if fence != self._seen:
            self._seen = fence
            self._since_ms = now_ms
        wait_ms = rank * self._step_ms
        if current is not None:
            wait_ms += self._lapse_ms
        return now_ms - self._since_ms >= wait_ms
