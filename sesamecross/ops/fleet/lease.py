"""Who may give orders to engines: a lease on the store, judged by time.

Why: two instances that order the same engine in turns undo each other's work
and can bring models and memory out of step; engines may not check who orders.
So one instance at a time gives all orders, and between the last possible
order of one holder and the first one of the next lies a whole lease gap.

The lease is one keyed record, written only if the topic has not moved since
it was read. Its holder may order until `LEASE_S` after it *sent* the renewal;
whoever *read* a record counts `LEASE_S` from the reading, which is later. All
times are of the clock that goes on while a machine is suspended, so that a
holder that slept finds its lease over when it wakes.

An instance whose own earlier life held the lease takes it at once, without
the gap: that life is over, and orders of one machine are no change of hands.
"""

import dataclasses

# How long a renewal is good for. The store may be away for some seconds
# without a change of holder; a holder that fell silent is replaced after
# this and the gap.
LEASE_S = 4.0
RENEW_S = 1.2
# The holder stops this much earlier than others count it out: an order takes
# some time to arrive.
SAFETY_S = 0.5
# A candidate waits for its rank, so that not all ask the store at once.
RANK_S = 0.4
# How long the earlier holder's machine may take to come back after its
# process died. Nothing is lost by it: the gap has to be waited out anyway.
RETURN_S = 2.0
# A holder that others hear is not asked after at the store.
LOOK_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The lease as it stands on the store.

    Attributes:
      offset: Where it stands; a larger one is later.
      fence: The first offset of this holder's unbroken lease.
      is_released: Given back; whoever comes next only waits for the gap.
    """

    holder: str
    incarnation: int
    offset: int
    fence: int
    is_released: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease's record now."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the lease, only if the topic ends at `at`."""

    at: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Idle:
    """Nothing to do now."""


Step = ReadLease | WriteLease | Idle


class LeaseStateMachine:
    """One instance's part. Deterministic: times are handed in.

    Attributes:
      gap_s: The least time between the orders of two holders.
    """

    __slots__ = (
        "_name",
        "_incarnation",
        "gap_s",
        "_record",
        "_end",
        "_seen_s",
        "_looked_s",
        "_must_look",
        "_gone",
        "_gone_s",
        "_sent_s",
        "_unanswered_s",
        "_take_first_s",
        "_fence",
        "_valid_s",
        "_first_order_s",
        "_is_over",
    )

    def __init__(self, name: str, incarnation: int, gap_s: float, now_s: float):
        self._name = name
        self._incarnation = incarnation
        self.gap_s = gap_s
        # The newest record known, and when it was first seen.
        self._record: Record | None = None
        self._end = 0
        self._seen_s = 0.0
        self._looked_s = now_s - LOOK_S
        self._must_look = False
        # The holder whose process is proved to be over, and since when.
        self._gone: tuple[str, int] | None = None
        self._gone_s = 0.0
        self._sent_s = 0.0
        # When the oldest write without an answer was sent. A record of ours
        # that is found later may be that one's, so it is good no longer than
        # that one is.
        self._unanswered_s: float | None = None
        self._take_first_s = 0.0
        self._fence: int | None = None
        self._valid_s = 0.0
        self._first_order_s = 0.0
        # Given back: this life of the instance takes the lease no more. Its
        # process waits for the store's answer and ends; a lease that it took
        # meanwhile would bind the others to a holder that is gone.
        self._is_over = False

    @property
    def record(self) -> Record | None:
        """The lease as last read or written."""
        return self._record

    @property
    def fence(self) -> int:
        """The fencing token of the own orders; -1 while not the holder."""
        return -1 if self._fence is None else self._fence

    def holds(self, now_s: float) -> bool:
        """Whether this instance is the holder, by its own clock."""
        return self._fence is not None and now_s < self._valid_s

    def may_order(self, now_s: float) -> bool:
        """Whether an order may leave now."""
        return self.holds(now_s) and now_s >= self._first_order_s

    def left_s(self, now_s: float) -> float:
        """How long orders may leave without a further renewal."""
        return max(0.0, self._valid_s - now_s)

    # -- what to do next -----------------------------------------------

    def next_action(self, now_s: float, rank: int, holder_heard: bool) -> Step:
        """Returns what to do now.

        Args:
          now_s: Time of the clock that counts suspension.
          rank: This instance's place among the candidates, from 0.
          holder_heard: Whether the others hear the holder, and it says that
            its lease is good.
        """
        if self._is_over:
            return Idle()
        if self._fence is not None and now_s >= self._valid_s:
            # Not renewed in time: somebody else may hold it by now.
            self._fence = None
            self._must_look = True
        if self._must_look:
            return self._look(now_s)
        if self._fence is not None:
            if now_s - self._sent_s < RENEW_S:
                return Idle()
            return self._write(now_s)
        if holder_heard and not self._holder_is_gone():
            return Idle()
        if self._record is None:
            return self._look(now_s)
        free_s = self._free_s()
        if self._record.holder != self._name:
            free_s += rank * RANK_S
        if now_s < free_s:
            return Idle()
        if self._looked_s < free_s:
            # What was read may be outdated by renewals since.
            return self._look(now_s)
        return self._take(now_s)

    def _look(self, now_s: float) -> Step:
        if now_s - self._looked_s < LOOK_S / 4:
            return Idle()
        self._looked_s = now_s
        return ReadLease()

    def _take(self, now_s: float) -> WriteLease:
        self._take_first_s = max(now_s, self._gap_end_s())
        return self._write(now_s)

    def _write(self, now_s: float) -> WriteLease:
        self._sent_s = now_s
        if self._unanswered_s is None:
            self._unanswered_s = now_s
        fence = self._end if self._fence is None else self._fence
        return WriteLease(self._end, fence)

    def _holder_is_gone(self) -> bool:
        record = self._record
        if record is None or self._gone is None:
            return False
        return self._gone == (record.holder, record.incarnation)

    def _is_free(self) -> bool:
        """Whether no other machine's orders can be under way."""
        record = self._record
        return record.is_released or record.holder in ("", self._name)

    def _free_s(self) -> float:
        """From when on this instance may take the lease."""
        if self._is_free():
            return self._seen_s
        if self._holder_is_gone():
            return self._gone_s + RETURN_S
        return self._seen_s + LEASE_S

    def _gap_end_s(self) -> float:
        """When the first order may leave after a change of hands."""
        if self._record.holder in ("", self._name):
            return self._seen_s
        if self._record.is_released:
            return self._seen_s + self.gap_s
        if self._holder_is_gone():
            return self._gone_s + self.gap_s
        return self._seen_s + LEASE_S + self.gap_s

    # -- what happened -------------------------------------------------

    def read(self, record: Record | None, end: int, now_s: float) -> None:
        """Takes in the record that the store holds.

        Args:
          record: None where nobody ever held the lease.
          end: Where the topic ends.
          now_s: When the answer came, not when it was asked for.
        """
        if self._is_over:
            return
        self._must_look = False
        if record is None:
            record = Record("", 0, -1, -1, True)
        self._end = max(self._end, end)
        known = self._record
        if known is not None and record.offset <= known.offset:
            return
        self._record = record
        self._seen_s = now_s
        is_mine = (record.holder, record.incarnation) == (
            self._name,
            self._incarnation,
        )
        if not is_mine or record.is_released:
            self._fence = None
        elif self._unanswered_s is not None:
            # An own write whose answer was lost.
            self._wrote(record, self._unanswered_s)
        self._unanswered_s = None

    def written(self, offset: int) -> None:
        """The last write succeeded; `offset` is where the record stands."""
        if self._is_over:
            return
        fence = offset if self._fence is None else self._fence
        self._end = offset + 1
        record = Record(self._name, self._incarnation, offset, fence, False)
        self._record = record
        self._unanswered_s = None
        self._wrote(record, self._sent_s)

    def not_written(self) -> None:
        """The store's word that the last write was not carried out."""
        if self._unanswered_s == self._sent_s:
            self._unanswered_s = None

    def _wrote(self, record: Record, sent_s: float) -> None:
        if self._fence != record.fence:
            self._fence = record.fence
            self._first_order_s = self._take_first_s
        self._valid_s = sent_s + LEASE_S - SAFETY_S

    def conflict(self) -> None:
        """The write was refused: the topic has moved."""
        self._must_look = True
        self._looked_s -= LOOK_S

    def holder_exited(
        self, holder: str, incarnation: int, now_s: float
    ) -> None:
        """One life of an instance is proved to be over."""
        if self._gone != (holder, incarnation):
            self._gone = (holder, incarnation)
            self._gone_s = now_s

    def released(self, offset: int) -> int:
        """The lease is given back; no order and no other write follows.

        Returns:
          Where the topic ends, as far as is known: the release is written
          only if it ends there.
        """
        self._is_over = True
        self._record = Record(
            self._name, self._incarnation, offset, self.fence, True
        )
        self._fence = None
        self._valid_s = 0.0
        return self._end
