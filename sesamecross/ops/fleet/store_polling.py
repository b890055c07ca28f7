"""Decides who polls the store's list of upstreams, and who fetches from others.

Each upstream renews its record about every second, so a long poll of the list
returns at once, on every instance. With 73 instances and 66 upstreams that made
about 20 calls per second and instance, and calls are charged for: they cost
more than half of all revenue. Instead the hub of each zone polls for its zone,
at a limited rate; members learn from its datagrams how far it has read, and
fetch the records that they lack.

Delays: a hub has read a record within READ_INTERVAL_S, its members see that
within 0.3 s and have fetched it within another MEMBER_FETCH_DELAY_S: 1.3 s in
total, while a leaving upstream must get no new requests after 2.5 s. A member
whose hub makes no progress polls the store itself: the hub may be frozen or
partitioned, or the store may refuse just that hub.
"""

# Interval between two reads of the list by one instance. At 0.4 s six hubs made
# 900 calls in 60 s, two thirds of all calls of 23 instances.
READ_INTERVAL_S = 0.7
# How long a read waits for a record (long polling). The store charges per call
# and allows up to 30 s. A read that is open while the store is silent may never
# be answered, so a hub ends it before the bounds on its records are at stake. A
# member fetches from its hub what it misses.
READER_POLL_S = 2.0
MEMBER_POLL_S = 25.0
# Upstreams renew their records every 1 to 1.2 s, so the list changes several
# times per second. A hub that has read nothing for this long may be unable to.
STALL_TIMEOUT_S = 1.2
# Maximum backoff between calls that the store does not answer. With that of a
# reader, the bounds on configuration and leaving upstreams, which allow 2.5 s
# and more, still hold once the store is back. Members learn of that from their
# hub. Refused calls are charged for too, and 73 instances that kept calling
# made 3,000 of them in an outage.
READER_MAX_BACKOFF_S = 0.8
MEMBER_MAX_BACKOFF_S = 4.0
# How long a member lacks records that others have before it fetches them, and a
# reader, which gets them from the store unless the store refuses it.
MEMBER_FETCH_DELAY_S = 0.3
READER_FETCH_DELAY_S = 0.9

# How far an instance has read: the version of the configuration, and the offset
# up to which it knows the upstreams.
Progress = tuple[int, int]


class HubProgress:
    """Progress of the zone's hub in reading the list."""

    __slots__ = ("_name", "_end", "_advanced_s")

    def __init__(self) -> None:
        self._name = ""
        self._end = -1
        self._advanced_s: float | None = None

    def record_position(self, name: str, end: int, now_s: float) -> None:
        """Records the offset up to which a hub reports to have read."""
        if name != self._name or end > self._end:
            self._name = name
            self._end = end
            self._advanced_s = now_s

    def is_stalled(self, now_s: float) -> bool:
        """Whether its members have to read the store themselves.

        The first question counts as progress: an instance that has just
        started has listed the upstreams, and hears of its hub soon.
        """
        if self._advanced_s is None:
            self._advanced_s = now_s
        return now_s - self._advanced_s > STALL_TIMEOUT_S


class Lag:
    """Measures how long other instances have known more than this one."""

    __slots__ = ("_missing", "_since_s")

    def __init__(self) -> None:
        self._missing: Progress | None = None
        self._since_s = 0.0

    def caught_up(self) -> None:
        """Notes that no instance knows more than this one."""
        self._missing = None

    def duration_s(
        self, mine: Progress, best: Progress | None, now_s: float
    ) -> float:
        """Returns how long this instance has been behind.

        The upstreams' offset advances all the time, so being behind the latest
        one means nothing: the age of the oldest missing record counts.

        Args:
          mine: How far this instance has read.
          best: How far an instance that knows more has read; None if none does.
          now_s: Monotonic time.
        """
        if best is None:
            self._missing = None
            return 0.0
        missing = self._missing
        if missing is None or (mine[0] >= missing[0] and mine[1] >= missing[1]):
            self._missing = best
            self._since_s = now_s
        return now_s - self._since_s
