"""Shares of a workspace's quota, held so that no window exceeds its bound.

A bound is divided into `PARTS`. Each part is held by one instance at a time and
spent at most once in a window, so all that is spent in any window stays below
the bound, whatever becomes of messages, instances and links.

A granter hands out parts as leases. Holders spend them, or lend them to
instances that ask for a single request. What the granter may have handed out is
capped by a record in the store, which is written before the cap is exceeded: a
successor that knows nothing else grants at once what lies above the cap, and
the rest when all that may be live has expired.

Time is monotonic, passed in, and never compared between instances. All modules
here are deterministic.
"""

import heapq
import math

import msgspec

# Units of a bound. Whole numbers add up without rounding.
PARTS = 1_000_000
# How long a lease of parts lasts at its holder, from the sending of the request
# that it answers. Longer than a usual cut between zones (8 s).
LEASE_S = 9.0
# How long after the sending of its request a loan may be spent: several round
# trips between regions (40 ms).
LOAN_S = 0.25
# How long a granter may grant after the sending of its last confirmed write or
# read of its record.
AUTHORITY_S = 1.0


def parts_of(cost: float, bound: float) -> int:
    """Returns the parts of a bound that a cost uses up, rounded up."""
    if cost <= 0:
        return 0
    if bound <= 0 or not math.isfinite(cost):
        return PARTS + 1
    return min(PARTS + 1, math.ceil(cost * PARTS / bound))


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The stored state of a workspace's shares, replaced conditionally.

    Attributes:
      term: The granter's fencing token; increases with each granter.
      cap: Parts that granters up to this one may have handed out.
    """

    term: int
    cap: int


class ShareRequest(msgspec.Struct, frozen=True, array_like=True):
    """A holder's request for parts, and its statement of those that it holds.

    Attributes:
      holder: Name and incarnation.
      number: Increases with each request of the holder.
      term: The highest term that the holder has heard of. It obeys no lower.
      held: What the holder may have spent in a window or may still spend.
      wanted: What it would like to hold.
    """

    holder: tuple[str, int]
    number: int
    term: int
    held: int
    wanted: int


class ShareGrant(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a request.

    Attributes:
      number: That of the request.
      term: The granter's.
      parts: What the holder holds from now on; None if the request stated an
        older term, and is to be sent again with this one.
    """

    number: int
    term: int
    parts: int | None


class Holder:
    """The parts of a workspace's bound that one instance holds."""

    __slots__ = (
        "_id",
        "_window_s",
        "_term",
        "_parts",
        "_until_s",
        "_number",
        "_sent_s",
        "_used",
        "_queue",
        "_used_sum",
        "_next_key",
    )

    def __init__(self, name: str, incarnation: int, window_s: float):
        self._id = (name, incarnation)
        self._window_s = window_s
        self._term = 0
        self._parts = 0
        self._until_s = -math.inf
        self._number = 0
        self._sent_s = -math.inf
        # By key: when the parts can be spent again, and how many.
        self._used: dict[int, tuple[float, int]] = {}
        # By when they can be; entries of what was settled since are outdated.
        self._queue: list[tuple[float, int]] = []
        self._used_sum = 0
        self._next_key = 0

    @property
    def term(self) -> int:
        """The highest term heard of."""
        return self._term

    def _advance(self, now_s: float) -> None:
        while self._queue and self._queue[0][0] <= now_s:
            ready_s, key = heapq.heappop(self._queue)
            used = self._used.get(key)
            if used is not None and used[0] <= ready_s:
                del self._used[key]
                self._used_sum -= used[1]

    def held(self, now_s: float) -> int:
        """Returns what is or may be in use, or may still be spent."""
        self._advance(now_s)
        if now_s < self._until_s:
            return self._parts
        return self._used_sum

    def used(self, now_s: float) -> int:
        """Returns what was spent or lent in the last window."""
        self._advance(now_s)
        return self._used_sum

    def free(self, now_s: float) -> int:
        """Returns what may be spent or lent."""
        if now_s >= self._until_s:
            return 0
        self._advance(now_s)
        return max(0, self._parts - self._used_sum)

    def next_free_s(self, parts: int, now_s: float) -> float:
        """Returns in how many seconds so many parts are free, if held."""
        missing = parts - self.free(now_s)
        if missing <= 0:
            return 0.0
        for ready_s, released in sorted(self._used.values()):
            missing -= released
            if missing <= 0:
                return ready_s - now_s
        return self._window_s

    def spend(self, parts: int, now_s: float) -> int | None:
        """Spends parts now; returns a key, or None if they aren't free."""
        return self._take(parts, now_s, 0.0)

    def lend(self, parts: int, now_s: float) -> int | None:
        """Lends parts for one request; returns a key, or None.

        The borrower spends them within `LOAN_S` of its request, or never.
        """
        return self._take(parts, now_s, LOAN_S)

    def _take(self, parts: int, now_s: float, after_s: float) -> int | None:
        if parts < 0 or parts > self.free(now_s):
            return None
        self._next_key += 1
        ready_s = now_s + after_s + self._window_s
        self._used[self._next_key] = (ready_s, parts)
        heapq.heappush(self._queue, (ready_s, self._next_key))
        self._used_sum += parts
        return self._next_key

    def settle(self, key: int, spent: int, now_s: float) -> None:
        """Notes what of a loan was spent before now; no more of it will be."""
        if key not in self._used:
            return
        ready_s, parts = self._used[key]
        left = min(parts, max(0, spent))
        self._used_sum -= parts - left
        ready_s = min(ready_s, now_s + self._window_s)
        if not left:
            del self._used[key]
            return
        self._used[key] = (ready_s, left)
        heapq.heappush(self._queue, (ready_s, key))

    def give_back(self, key: int) -> None:
        """Takes back parts that were not spent and never will be."""
        _, parts = self._used.pop(key, (0.0, 0))
        self._used_sum -= parts

    def request(self, wanted: int, now_s: float) -> ShareRequest:
        """Returns a request to the granter; gives up idle parts beyond it.

        A reply to an earlier request is ignored from now on, so what this one
        states to be held is all that is held until it is answered.
        """
        self._number += 1
        self._sent_s = now_s
        if now_s < self._until_s:
            self._parts = min(self._parts, max(wanted, self.used(now_s)))
        return ShareRequest(
            self._id, self._number, self._term, self.held(now_s), wanted
        )

    def on_grant(self, grant: ShareGrant, now_s: float) -> bool:
        """Takes a reply; returns whether the request is to be repeated."""
        if grant.term < self._term or grant.number != self._number:
            return False
        if grant.parts is None:
            if grant.term == self._term:
                return False
            self._term = grant.term
            return True
        if grant.term != self._term:
            return False
        self._parts = grant.parts
        self._until_s = self._sent_s + LEASE_S
        return False


class _Lease(msgspec.Struct):
    """What one holder may hold or have in use, until when."""

    parts: int
    until_s: float
    number: int


class Granter:
    """Hands out the parts of one workspace's bound during one term.

    It must be made from a record that this granter has read and then replaced
    by one of its own term and the same cap, conditionally.
    """

    __slots__ = (
        "term",
        "_cap",
        "_pending_cap",
        "_unknown",
        "_unknown_until_s",
        "_authority_until_s",
        "_tail_s",
        "_leases",
    )

    def __init__(
        self, record: Record, window_s: float, sent_s: float, now_s: float
    ):
        """Begins a term.

        Args:
          record: This term's, as confirmed by the store.
          window_s: Of the bound.
          sent_s: When the write of the record was sent.
          now_s: When it was confirmed.
        """
        self.term = record.term
        self._cap = record.cap
        self._pending_cap: int | None = None
        self._unknown = record.cap
        # A holder's parts stay counted for so long after its lease: what it
        # spent or lent last, and until an overtaken granter has noticed.
        self._tail_s = window_s + LOAN_S + AUTHORITY_S
        self._unknown_until_s = now_s + LEASE_S + self._tail_s
        self._authority_until_s = sent_s + AUTHORITY_S
        self._leases: dict[tuple[str, int], _Lease] = {}

    def _advance(self, now_s: float) -> None:
        if now_s >= self._unknown_until_s:
            self._unknown = 0
        # None ends before the unknown does, so no holder is adopted twice.
        for holder, lease in list(self._leases.items()):
            if now_s >= lease.until_s:
                del self._leases[holder]

    def outstanding(self, now_s: float) -> int:
        """Returns what may be held by anyone."""
        self._advance(now_s)
        return self._unknown + sum(one.parts for one in self._leases.values())

    @property
    def cap(self) -> int:
        """What may be handed out, whichever write has reached the store."""
        if self._pending_cap is None:
            return self._cap
        return min(self._cap, self._pending_cap)

    def begin_write(self, cap: int, now_s: float) -> Record:
        """Returns the record to be written conditionally on this term's.

        Only one write is in flight. A write whose outcome is unknown is
        repeated until it is known.
        """
        if self._pending_cap is None:
            lowest = self.outstanding(now_s)
            self._pending_cap = min(PARTS, max(cap, lowest))
        return Record(self.term, self._pending_cap)

    def end_write(self, sent_s: float) -> None:
        """Notes that the store has confirmed a write that was sent then."""
        if self._pending_cap is not None:
            self._cap, self._pending_cap = self._pending_cap, None
        self.confirm(sent_s)

    def confirm(self, sent_s: float) -> None:
        """Notes that the store, asked then, still had this term's record."""
        until_s = sent_s + AUTHORITY_S
        self._authority_until_s = max(self._authority_until_s, until_s)

    def on_request(
        self, request: ShareRequest, now_s: float
    ) -> ShareGrant | None:
        """Returns the reply to a request; None if it is outdated."""
        if now_s >= self._authority_until_s or request.term > self.term:
            return None
        if min(request.held, request.wanted) < 0:
            return None
        self._advance(now_s)
        if request.term < self.term:
            return ShareGrant(request.number, self.term, None)
        lease = self._leases.get(request.holder)
        if lease is None:
            lease = self._adopt(request, now_s)
        elif request.number <= lease.number or request.held > lease.parts:
            return None
        lease.number = request.number
        lease.parts = min(lease.parts, request.held)
        lease.until_s = now_s + LEASE_S + self._tail_s
        room = max(0, self.cap - self.outstanding(now_s))
        more = max(0, min(request.wanted, PARTS) - lease.parts)
        lease.parts += min(room, more)
        return ShareGrant(request.number, self.term, lease.parts)

    def _adopt(self, request: ShareRequest, now_s: float) -> _Lease:
        """Takes over what a holder has from earlier terms.

        Nothing of it is left once the unknown has expired.
        """
        adopted = min(request.held, self._unknown)
        self._unknown -= adopted
        lease = _Lease(adopted, math.inf, 0)
        self._leases[request.holder] = lease
        return lease


def is_in_time(asked_s: float, now_s: float) -> bool:
    """Returns whether a borrower may still spend a loan that it asked for."""
    return now_s - asked_s < LOAN_S
