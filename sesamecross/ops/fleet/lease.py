"""State machine of the lease that permits an instance to give engines orders.

Two instances that order the same engine undo each other's work and can make the
loaded models differ from the accounted memory, as engines may not check who
sends an order. So one instance at a time gives all orders, and a whole lease
gap lies between the last possible order of one holder and the first of the
next.

The lease is one keyed record in the store, written only if the topic has not
changed since it was read. The holder may order until `LEASE_DURATION_S` after
it *sent* the renewal; an instance that *read* a record counts
`LEASE_DURATION_S` from the read, which is later. All times are from a clock
that keeps running while a machine is suspended, so that a holder that was
suspended finds its lease expired when it resumes.

An instance whose own previous incarnation held the lease takes it at once,
without the gap: that process has ended, so the orders still come from the same
machine. To others a later start on the holder's machine proves the same.
Nothing else does: a port that refuses connections may lie behind a cut, and a
silent holder may be cut off. Then the lease runs out.
"""

import msgspec

# Validity of a renewal. A store outage of some seconds does not change the
# holder; a holder that has gone silent is replaced after this and the gap.
LEASE_DURATION_S = 4.0
RENEW_INTERVAL_S = 1.2
# The holder stops this long before others regard its lease as expired: an order
# takes some time to arrive.
EXPIRY_MARGIN_S = 0.5
# Delay per rank of a candidate, so that not all query the store at once.
RANK_DELAY_S = 0.4
# Time for the previous holder's machine to restart its process after it died.
# It costs nothing, as the gap has to be waited out anyway.
RESTART_TIMEOUT_S = 2.0
# Reads of the record are at least a quarter of this apart. The store is not
# read while other instances hear the holder.
READ_SPACING_S = 1.0


class Record(msgspec.Struct, frozen=True):
    """The lease as stored.

    Attributes:
      holder, incarnation: The instance that wrote it, and its incarnation.
      offset: Offset of the record; a larger one is later.
      fence: Fencing token: the first offset of this holder's unbroken lease.
      is_released: The holder gave it up; the next one waits only for the gap.
      address: The holder's machine; empty in records of older instances.
    """

    holder: str
    incarnation: int
    offset: int
    fence: int
    is_released: bool
    address: str = ""


def proves_exit(record: Record, address: str, start: int) -> bool:
    """Whether a start of the lease's holder proves that it ended before.

    A machine runs one process of an instance at a time.

    Args:
      record: The lease.
      address: Where the holder started.
      start: The incarnation that started.
    """
    return record.address == address != "" and start > record.incarnation


class ReadLease(msgspec.Struct, frozen=True):
    """Read the lease's record now."""


class WriteLease(msgspec.Struct, frozen=True):
    """Write the lease record, only if the topic ends at offset `at`."""

    at: int
    fence: int


class Idle(msgspec.Struct, frozen=True):
    """Nothing to do now."""


Action = ReadLease | WriteLease | Idle


class LeaseStateMachine:
    """The lease as one instance sees it. Deterministic: times are passed in.

    Attributes:
      gap_s: Minimum time between the orders of two holders.
    """

    __slots__ = (
        "_name",
        "_incarnation",
        "_address",
        "gap_s",
        "_record",
        "_end",
        "_seen_s",
        "_read_sent_s",
        "_must_read",
        "_exited_holder",
        "_exited_s",
        "_sent_s",
        "_unanswered_since_s",
        "_first_order_after_acquire_s",
        "_fence",
        "_valid_until_s",
        "_first_order_s",
        "_is_released",
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        gap_s: float,
        now_s: float,
        address: str = "",
    ):
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self.gap_s = gap_s
        # The latest known record, and when it was first seen.
        self._record: Record | None = None
        self._end = 0
        self._seen_s = 0.0
        self._read_sent_s = now_s - READ_SPACING_S
        self._must_read = False
        # The holder whose process is known to have ended, and since when.
        self._exited_holder: tuple[str, int] | None = None
        self._exited_s = 0.0
        self._sent_s = 0.0
        # When the oldest unanswered write was sent. An own record that is read
        # later may come from that write, so it is valid no longer than that.
        self._unanswered_since_s: float | None = None
        self._first_order_after_acquire_s = 0.0
        self._fence: int | None = None
        self._valid_until_s = 0.0
        self._first_order_s = 0.0
        # Released: this incarnation does not take the lease again. Its process
        # waits for the store's answer and ends; a lease taken meanwhile would
        # leave the others with a holder that no longer exists.
        self._is_released = False

    @property
    def record(self) -> Record | None:
        """The lease as last read or written."""
        return self._record

    @property
    def fence(self) -> int:
        """The fencing token of this instance's orders; -1 if not the holder."""
        return -1 if self._fence is None else self._fence

    def holds(self, now_s: float) -> bool:
        """Whether this instance holds the lease, by its own clock."""
        return self._fence is not None and now_s < self._valid_until_s

    def may_order(self, now_s: float) -> bool:
        """Whether an order may be sent now."""
        return self.holds(now_s) and now_s >= self._first_order_s

    def left_s(self, now_s: float) -> float:
        """Returns how long orders may be sent without another renewal."""
        return max(0.0, self._valid_until_s - now_s)

    # -- next action ---------------------------------------------------

    def next_action(
        self, now_s: float, rank: int, is_holder_live: bool
    ) -> Action:
        """Returns what to do now.

        Args:
          now_s: Time of a clock that includes suspension.
          rank: This instance's position among the candidates, from 0.
          holder_heard: Whether other instances reach the holder, and it reports
            that its lease is valid.
        """
        if self._is_released:
            return Idle()
        if self._fence is not None and now_s >= self._valid_until_s:
            # Not renewed in time: another instance may hold it by now.
            self._fence = None
            self._must_read = True
        if self._must_read:
            return self._read_if_due(now_s)
        if self._fence is not None:
            if now_s - self._sent_s < RENEW_INTERVAL_S:
                return Idle()
            return self._write(now_s)
        if is_holder_live and not self._has_holder_exited():
            return Idle()
        if self._record is None:
            return self._read_if_due(now_s)
        available_s = self._available_s()
        if not self._is_own_machine():
            available_s += rank * RANK_DELAY_S
        if now_s < available_s:
            return Idle()
        if self._read_sent_s < available_s:
            # The record read last may have been renewed since.
            return self._read_if_due(now_s)
        return self._acquire(now_s)

    def _read_if_due(self, now_s: float) -> Action:
        if now_s - self._read_sent_s < READ_SPACING_S / 4:
            return Idle()
        self._read_sent_s = now_s
        return ReadLease()

    def _acquire(self, now_s: float) -> WriteLease:
        self._first_order_after_acquire_s = max(now_s, self._gap_end_s())
        return self._write(now_s)

    def _write(self, now_s: float) -> WriteLease:
        self._sent_s = now_s
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
        fence = self._end if self._fence is None else self._fence
        return WriteLease(self._end, fence)

    def _has_holder_exited(self) -> bool:
        record = self._record
        if record is None or self._exited_holder is None:
            return False
        return self._exited_holder == (record.holder, record.incarnation)

    def _is_own_machine(self) -> bool:
        """Whether the holder was an earlier process of this machine."""
        record = self._record
        return (record.holder, record.address) == (self._name, self._address)

    def _is_free(self) -> bool:
        """Whether no other machine's orders can be in flight."""
        record = self._record
        return record.is_released or not record.holder or self._is_own_machine()

    def _available_s(self) -> float:
        """Returns when this instance may first take the lease."""
        if self._is_free():
            return self._seen_s
        if self._has_holder_exited():
            return self._exited_s + RESTART_TIMEOUT_S
        return self._seen_s + LEASE_DURATION_S

    def _gap_end_s(self) -> float:
        """Returns when the first order may be sent after a change of holder."""
        if not self._record.holder or self._is_own_machine():
            return self._seen_s
        if self._record.is_released:
            return self._seen_s + self.gap_s
        if self._has_holder_exited():
            return self._exited_s + self.gap_s
        return self._seen_s + LEASE_DURATION_S + self.gap_s

    # -- events --------------------------------------------------------

    def read(self, record: Record | None, end: int, now_s: float) -> None:
        """Applies the record read from the store.

        Args:
          record: The record, or None if the lease was never held.
          end: End offset of the topic.
          now_s: When the store's answer arrived, not when the read was sent.
        """
        if self._is_released:
            return
        self._must_read = False
        if record is None:
            record = Record("", 0, -1, -1, True)
        self._end = max(self._end, end)
        known = self._record
        if known is not None and record.offset <= known.offset:
            return
        self._record = record
        self._seen_s = now_s
        is_mine = (record.holder, record.incarnation, record.address) == (
            self._name,
            self._incarnation,
            self._address,
        )
        if not is_mine or record.is_released:
            self._fence = None
        elif self._unanswered_since_s is not None:
            # This instance's own write, whose answer was lost.
            self._apply_write(record, self._unanswered_since_s)
        self._unanswered_since_s = None

    def written(self, offset: int) -> None:
        """Records that the last write succeeded, with the record's offset."""
        if self._is_released:
            return
        fence = offset if self._fence is None else self._fence
        self._end = offset + 1
        record = Record(
            self._name,
            self._incarnation,
            offset,
            fence,
            False,
            self._address,
        )
        self._record = record
        self._unanswered_since_s = None
        self._apply_write(record, self._sent_s)

    def not_written(self) -> None:
        """Records the store's answer that the last write was not done."""
        if self._unanswered_since_s == self._sent_s:
            self._unanswered_since_s = None

    def _apply_write(self, record: Record, sent_s: float) -> None:
        if self._fence != record.fence:
            self._fence = record.fence
            self._first_order_s = self._first_order_after_acquire_s
        self._valid_until_s = sent_s + LEASE_DURATION_S - EXPIRY_MARGIN_S

    def conflict(self) -> None:
        """Records that the write was refused as the topic had changed."""
        self._must_read = True
        self._read_sent_s -= READ_SPACING_S

    def recheck(self) -> None:
        """Reads the lease soon, as the holder has probably ended.

        If it has, the lease runs out that much sooner.
        """
        if self._fence is None:
            self._must_read = True

    def holder_exited(
        self, holder: str, incarnation: int, now_s: float
    ) -> None:
        """Records proof that an incarnation of an instance has ended."""
        if self._exited_holder != (holder, incarnation):
            self._exited_holder = (holder, incarnation)
            self._exited_s = now_s

    def resign(self) -> int:
        """Gives up the lease; this instance may take it again later.

        Returns:
          The known end offset of the topic: the release is written only if the
          topic ends there.
        """
        self._record = Record(
            self._name, self._incarnation, -1, self.fence, True, self._address
        )
        self._fence = None
        self._valid_until_s = 0.0
        # Whether the release was written is unknown, and a renewal without an
        # answer may still be applied; neither may make this the holder again.
        self._must_read = True
        self._unanswered_since_s = None
        return self._end

    def released(self) -> int:
        """Gives up the lease for good; no orders and no other writes follow.

        Returns:
          As `resign`.
        """
        self._is_released = True
        return self.resign()
