"""Accounts for an engine's batch slots and memory, from permit to stream end.

Reports of the other instances are 0.3 to 0.8 s old. In a small batch that is
long enough for several streams to begin and end, so the pacer of an engine
counts the requests that it permits itself: each holds a lease on a slot and on
memory for its prompt and answer. Its sender confirms the lease while the stream
lasts. A lease that is not confirmed expires, as its sender is gone.

Requests that the pacer did not permit are in the reports only.
"""

from collections import deque
import enum
import math

import msgspec

Key = tuple[str, int]

# Batches of fewer slots are accounted for by leases: there, one request too
# many delays all others at once, and reports are too old to count slots.
SMALL_BATCH_SLOTS = 20
# How long an unconfirmed lease is kept, and how often it is confirmed: two
# confirmations in a row may be lost.
LEASE_S = 3.0
RENEWAL_S = 1.0
# Age of the oldest report that still counts.
REPORT_AGE_S = 0.8
# A pacer that has heard of no lease for this long may have missed some: others
# have taken its place, or it was frozen.
SILENCE_S = 1.5 * RENEWAL_S
# How long a pacer is new: until the holders of leases have noticed the change,
# and have confirmed theirs.
NEW_S = LEASE_S
# Weight of the newest request in the mean duration of leases and their memory.
MEAN_WEIGHT = 0.05
# Mean duration of a lease before the first one has ended.
FIRST_HOLD_S = 2.0


class Stage(enum.IntEnum):
    """How far the request of a lease has got; names are those on the wire.

    Attributes:
      ENDED: The stream has ended, or the request will not be sent.
      READ: The engine has read the prompt; the stream goes on.
      SENT: The engine has yet to read the prompt.
    """

    ENDED = 0
    READ = 1
    SENT = 2


class _Lease(msgspec.Struct):
    memory_tokens: int
    since_s: float
    confirmed_s: float
    was_adopted: bool


class EngineBudget:
    """Leases on one engine's slots and memory. Deterministic."""

    __slots__ = (
        "_leases",
        "_ended",
        "_memory_tokens",
        "_new_until_s",
        "_heard_s",
        "_earlier_counts",
        "_next_expiry_s",
        "_mean_hold_s",
        "_hold_count",
        "_mean_tokens",
    )

    def __init__(self, now_s: float) -> None:
        self._leases: dict[Key, _Lease] = {}
        # When leases ended, so that a confirmation that arrives late does not
        # begin them again.
        self._ended: dict[Key, float] = {}
        self._memory_tokens = 0
        self._new_until_s = now_s + NEW_S
        self._heard_s = now_s
        # Numbers of leases that were held until some time, in descending order:
        # the first one is the highest within the age of reports.
        self._earlier_counts: deque[tuple[float, int]] = deque()
        # No lease expires before.
        self._next_expiry_s = math.inf
        self._mean_hold_s = FIRST_HOLD_S
        self._hold_count = 0
        self._mean_tokens = 0.0

    def __contains__(self, key: Key) -> bool:
        return key in self._leases

    def __len__(self) -> int:
        return len(self._leases)

    def keys(self) -> tuple[Key, ...]:
        """Returns the requests that hold leases."""
        return tuple(self._leases)

    def has_ended(self, key: Key) -> bool:
        """Whether a lease ended within the last lease time."""
        return key in self._ended

    @property
    def has_hold(self) -> bool:
        """Whether the duration of leases was measured."""
        return self._hold_count > 0

    @property
    def mean_hold_s(self) -> float:
        """Smoothed duration of leases."""
        return self._mean_hold_s

    @property
    def memory_tokens(self) -> int:
        """Memory that is held by leases."""
        return self._memory_tokens

    def confirmed_age_s(self, now_s: float) -> float:
        """Returns the time since the least recently confirmed lease was."""
        oldest_s = now_s
        for lease in self._leases.values():
            if lease.confirmed_s < oldest_s:
                oldest_s = lease.confirmed_s
        return now_s - oldest_s

    def grant(self, key: Key, memory_tokens: int, now_s: float) -> None:
        """Begins the lease of a request that may be sent now."""
        self._hear(now_s)
        self._begin(key, memory_tokens, now_s, was_adopted=False)
        if not self._mean_tokens:
            self._mean_tokens = float(memory_tokens)
        self._mean_tokens += (memory_tokens - self._mean_tokens) * MEAN_WEIGHT

    def confirm(self, key: Key, memory_tokens: int, now_s: float) -> None:
        """Keeps a lease, or adopts one that another pacer has granted."""
        self._hear(now_s)
        lease = self._leases.get(key)
        if lease is not None:
            lease.confirmed_s = now_s
        elif key not in self._ended:
            self._begin(key, memory_tokens, now_s, was_adopted=True)

    def end(self, key: Key, now_s: float) -> bool:
        """Ends a lease; returns whether it was held."""
        self._hear(now_s)
        self._ended[key] = now_s
        self._next_expiry_s = min(self._next_expiry_s, now_s + LEASE_S)
        lease = self._leases.get(key)
        if lease is None:
            return False
        if not lease.was_adopted:
            self._hold_count += 1
            weight = max(MEAN_WEIGHT, 1.0 / self._hold_count)
            held_s = now_s - lease.since_s
            self._mean_hold_s += (held_s - self._mean_hold_s) * weight
        self._remove(key, now_s)
        return True

    def expire(self, now_s: float) -> list[Key]:
        """Ends the leases that were not confirmed; returns their keys."""
        if now_s < self._next_expiry_s:
            return []
        expired = [
            key
            for key, lease in self._leases.items()
            if now_s - lease.confirmed_s > LEASE_S
        ]
        for key in expired:
            self._remove(key, now_s)
        # In the order in which they ended.
        while self._ended:
            key, ended_s = next(iter(self._ended.items()))
            if now_s - ended_s <= LEASE_S:
                break
            del self._ended[key]
        times_s = [lease.confirmed_s for lease in self._leases.values()]
        times_s += list(self._ended.values())[:1]
        self._next_expiry_s = min(times_s, default=math.inf) + LEASE_S
        return expired

    def unleased(self, running: float, now_s: float) -> int:
        """Returns how many reported requests hold no lease.

        Reports are as old as `REPORT_AGE_S`. They may contain each lease held
        since then, so that only what exceeds the highest number of leases since
        then is foreign. While a pacer is new, holders of leases are yet to
        confirm theirs to it. Then only leases that are older than the reports
        are certain to be in them, and the rest counts as foreign.

        Args:
          running: Requests at the engine, by the reports.
          now_s: Monotonic time.
        """
        oldest_s = now_s - REPORT_AGE_S
        if now_s < self._new_until_s:
            reported = sum(
                1
                for lease in self._leases.values()
                if lease.was_adopted or lease.since_s <= oldest_s
            )
        else:
            counts = self._earlier_counts
            while counts and counts[0][0] < oldest_s:
                counts.popleft()
            earlier = counts[0][1] if counts else 0
            reported = max(len(self._leases), earlier)
        return max(0, int(running) - reported)

    def free_slots(self, slots: int, unleased: int) -> int:
        """Returns how many more requests a batch may take now.

        Args:
          slots: The batch's slots.
          unleased: Requests there without a lease.
        """
        return max(0, slots - len(self._leases) - unleased)

    def has_memory(
        self, capacity: int | None, memory_tokens: int, unleased: int
    ) -> bool:
        """Whether a request fits into the memory that is not leased.

        Reports state no memory: a request without a lease counts as the mean of
        those with one.

        Args:
          capacity: The engine's memory; None if unknown, so that only slots
            are accounted for.
          memory_tokens: Memory that the request takes.
          unleased: Requests there without a lease.
        """
        if capacity is None:
            return True
        used = self._memory_tokens + unleased * self._mean_tokens
        return used + memory_tokens <= capacity

    def _hear(self, now_s: float) -> None:
        """Notes that the pacer hears of leases."""
        if now_s - self._heard_s > SILENCE_S:
            self._new_until_s = now_s + NEW_S
        self._heard_s = now_s

    def _begin(
        self, key: Key, memory_tokens: int, now_s: float, was_adopted: bool
    ) -> None:
        self._record_count(now_s)
        self._leases[key] = _Lease(memory_tokens, now_s, now_s, was_adopted)
        self._memory_tokens += memory_tokens
        self._next_expiry_s = min(self._next_expiry_s, now_s + LEASE_S)

    def _remove(self, key: Key, now_s: float) -> None:
        self._record_count(now_s)
        self._memory_tokens -= self._leases.pop(key).memory_tokens

    def _record_count(self, now_s: float) -> None:
        """Notes the number of leases that were held until now."""
        count = len(self._leases)
        counts = self._earlier_counts
        while counts and counts[-1][1] <= count:
            counts.pop()
        counts.append((now_s, count))
        while counts[0][0] < now_s - REPORT_AGE_S:
            counts.popleft()
