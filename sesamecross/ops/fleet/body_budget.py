"""Bounds what the bodies of callers' requests hold in memory, over all.

Operators limit one body, but callers choose how many come at once, and an
instance that exceeds its memory is killed with the requests of all its callers.
So a body has its room reserved before it is read, and keeps it until its
request ends: none waits for room that another one holds. A request whose body
has no room is refused at once, unread, with the time at which there will
probably be some.

Small bodies have a pool of their own, so that large ones never keep them out.
Where callers bear keys, a workspace may hold at most a multiple of what is
free: the dynamic thresholds of Choudhury and Hahne (1998) for shared buffers.
"""

from collections import deque
from collections.abc import Callable

# Bodies up to this size need no reservation: descriptors bound their number.
UNCOUNTED_BYTES = 4 * 1024
# Up to this size a body is in the pool of small ones.
SMALL_BODY_BYTES = 64 * 1024
# Shares of the process's memory. The rest is for the process itself, for
# answers, and for what the kernel has received and nobody has read yet.
LARGE_POOL_SHARE = 0.5
SMALL_POOL_SHARE = 0.1
# An instance whose resident memory would exceed this share takes no large body.
RESIDENT_SHARE = 0.85
# What one workspace may hold, as a multiple of the pool's free memory.
OWNER_SHARE_OF_FREE = 2.0
# For how long a body is taken to hold its room before any has given it back.
INITIAL_HOLD_S = 1.0
# Some bodies stay longer than the mean.
HOLD_MARGIN = 1.05
_HOLD_SMOOTHING = 0.2


class Reservation:
    """Room for one body.

    Attributes:
      size: Bytes.
      owner: Workspace that sent it; empty if callers bear no keys.
      reserved_s: When the room was reserved.
      received: Bytes of the body that have arrived.
      pool: The pool that it is counted in; None once it is released.
    """

    __slots__ = ("size", "owner", "reserved_s", "received", "pool")

    def __init__(self, size: int, owner: str, now_s: float):
        self.size = size
        self.owner = owner
        self.reserved_s = now_s
        self.received = 0
        self.pool: _Pool | None = None


class _Pool:
    """Reservations that share a limit."""

    __slots__ = (
        "limit",
        "used",
        "received",
        "_open",
        "_by_owner",
        "_hold_s",
        "_promised",
        "_promises",
    )

    def __init__(self) -> None:
        self.limit = 0
        self.used = 0
        # Of the used bytes, those that have arrived.
        self.received = 0
        # In the order of their reservation.
        self._open: dict[Reservation, None] = {}
        self._by_owner: dict[str, int] = {}
        self._hold_s = INITIAL_HOLD_S
        # Bytes of refused bodies whose time to return has not come.
        self._promised = 0
        self._promises: deque[tuple[float, int]] = deque()

    def has_room(self, size: int, owner: str) -> bool:
        free = self.limit - self.used
        if size > free:
            return False
        held = self._by_owner.get(owner, 0)
        return not owner or held + size <= OWNER_SHARE_OF_FREE * (free - size)

    def add(self, one: Reservation) -> None:
        one.pool = self
        self._open[one] = None
        self.used += one.size
        self.received += one.received
        self._by_owner[one.owner] = self._by_owner.get(one.owner, 0) + one.size

    def remove(self, one: Reservation) -> None:
        one.pool = None
        del self._open[one]
        self.used -= one.size
        self.received -= one.received
        self._by_owner[one.owner] -= one.size
        if not self._by_owner[one.owner]:
            del self._by_owner[one.owner]

    def resize(self, one: Reservation, size: int) -> None:
        self.used += size - one.size
        self._by_owner[one.owner] += size - one.size
        one.size = size

    def record_hold(self, duration_s: float) -> None:
        self._hold_s += _HOLD_SMOOTHING * (duration_s - self._hold_s)

    def promise(self, size: int, now_s: float) -> float:
        """Returns after which time there will probably be room.

        Bodies leave in the order in which they came, and those that were
        refused before return before this one.
        """
        while self._promises and self._promises[0][0] <= now_s:
            self._promised -= self._promises.popleft()[1]
        hold_s, first_end_s = self._hold_s * HOLD_MARGIN, now_s
        oldest = next(iter(self._open), None)
        if oldest is not None:
            hold_s = max(hold_s, now_s - oldest.reserved_s)
            first_end_s = oldest.reserved_s + hold_s
        # Without what is too small a rest for a body of this size.
        usable = max(size, self.limit - self.limit % size)
        at_s = first_end_s + hold_s * (self._promised + size) / usable
        if self._promises:
            at_s = max(at_s, self._promises[-1][0])
        self._promises.append((at_s, size))
        self._promised += size
        return at_s - now_s


class BodyBudget:
    """The memory for the bodies of one instance's callers."""

    __slots__ = (
        "_memory_bytes",
        "_now_s",
        "_resident_bytes",
        "_large",
        "_small",
    )

    def __init__(
        self,
        memory_bytes: int,
        now_s: Callable[[], float],
        resident_bytes: Callable[[], int],
    ):
        """Initializes the budget.

        Args:
          memory_bytes: What the process may use.
          now_s: Returns monotonic time.
          resident_bytes: Returns the process's resident memory.
        """
        self._now_s = now_s
        self._resident_bytes = resident_bytes
        self._large, self._small = _Pool(), _Pool()
        self.set_memory(memory_bytes)

    def set_memory(self, memory_bytes: int) -> None:
        """Sets what the process may use; what is reserved stays reserved."""
        self._memory_bytes = memory_bytes
        self._large.limit = max(1, int(memory_bytes * LARGE_POOL_SHARE))
        self._small.limit = max(1, int(memory_bytes * SMALL_POOL_SHARE))

    @property
    def largest_body_bytes(self) -> int:
        """The largest body that there can ever be room for."""
        return max(self._large.limit, SMALL_BODY_BYTES)

    @property
    def reserved_bytes(self) -> int:
        """What is reserved, for small and large bodies."""
        return self._small.used + self._large.used

    @property
    def received_bytes(self) -> int:
        """What has arrived of the bodies that have room."""
        return self._small.received + self._large.received

    def reserve(self, size: int, owner: str) -> Reservation | None:
        """Reserves room for a body; returns None if there is none.

        Args:
          size: Bytes.
          owner: The caller's workspace; empty if callers bear no keys.
        """
        pool = self._pool_for(size)
        if not pool.has_room(size, owner) or not self._fits_resident(size):
            return None
        one = Reservation(size, owner, self._now_s())
        pool.add(one)
        return one

    def resize(self, one: Reservation, size: int) -> bool:
        """Changes the size of a body's room.

        Args:
          one: The room that it has so far.
          size: Bytes, those that it has included.

        Returns:
          False, and nothing has changed, if there is no room for more.
        """
        pool = self._pool_for(size)
        if one.pool is pool:
            more = size - one.size
            if more > 0 and not pool.has_room(more, one.owner):
                return False
            pool.resize(one, size)
            return True
        if not pool.has_room(size, one.owner) or not self._fits_resident(size):
            return False
        one.pool.remove(one)
        one.size = size
        pool.add(one)
        return True

    def release(self, one: Reservation) -> None:
        """Gives room back; does nothing the second time."""
        if one.pool is not None:
            one.pool.record_hold(self._now_s() - one.reserved_s)
            one.pool.remove(one)

    def record_received(self, one: Reservation, size: int) -> None:
        """Records that `size` bytes more of a body have arrived."""
        if one.pool is not None:
            one.received += size
            one.pool.received += size

    def retry_after_s(self, size: int) -> float:
        """Returns when a caller whose body has no room should return."""
        return self._pool_for(size).promise(size, self._now_s())

    def _pool_for(self, size: int) -> _Pool:
        return self._small if size <= SMALL_BODY_BYTES else self._large

    def _fits_resident(self, size: int) -> bool:
        if size <= SMALL_BODY_BYTES:
            return True
        awaited = self._large.used - self._large.received
        return (
            self._resident_bytes() + awaited + size
            <= RESIDENT_SHARE * self._memory_bytes
        )
