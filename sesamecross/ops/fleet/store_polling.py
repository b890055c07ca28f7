"""Who reads the store's list of upstreams, and when the others ask for news.

The pattern: each upstream renews its record every second or so, so a read of
the list that waits for news returns at once, on every instance. With 73
instances and 66 upstreams that made about 20 calls a second for each
instance, and calls are paid for: they cost more than half of all that was
earned. The hub of each zone reads for its zone instead, at a pace; members
hear from its datagrams how far it has come and fetch what they lack.

Times: a hub has read a record within READ_EVERY_S, its members see so within
three tenths of a second and have it within MEMBER_PATIENCE_S more: 1.3 s, where
an upstream that leaves must get nothing new after 2.5 s. A member whose hub
makes no progress reads for itself: the hub may be frozen or cut off, or the
store may turn away just that one.
"""

# Between two reads of the list by one instance. At 0.4 s six hubs made 900
# calls in 60 s, two thirds of all that 23 instances made.
READ_INTERVAL_S = 0.7
# Upstreams renew their records every 1 to 1.2 s, so the list moves on several
# times a second. A hub that has read nothing for this long may be unable to.
STALLED_S = 1.2
# The longest pause between calls that the store does not answer. With a
# reader's the bounds on configuration and leaving upstreams still hold when the
# store is back: they allow 2.5 s and more. Members hear of it from their hub;
# calls that are refused are paid for too, and 73 instances that asked on made
# 3,000 of them in an outage.
READER_MAX_BACKOFF_S = 0.8
MEMBER_MAX_BACKOFF_S = 4.0
# How long a member lacks what others have until it asks for it, and a reader,
# who gets it from the store unless that turns it away.
MEMBER_FETCH_DELAY_S = 0.3
READER_FETCH_DELAY_S = 0.9

# How far an instance has come: the version of the configuration, and the
# offset up to which it knows the upstreams.
Progress = tuple[int, int]


class HubProgress:
    """How the hub of this instance's zone gets on with reading."""

    __slots__ = ("_name", "_end", "_moved_s")

    def __init__(self) -> None:
        self._name = ""
        self._end = -1
        self._moved_s: float | None = None

    def record_position(self, name: str, end: int, now_s: float) -> None:
        """Takes in up to where a hub says that it has read."""
        if name != self._name or end > self._end:
            self._name = name
            self._end = end
            self._moved_s = now_s

    def is_stalled(self, now_s: float) -> bool:
        """Whether its members read for themselves."""
        return self._moved_s is None or now_s - self._moved_s > STALLED_S


class Lag:
    """For how long others have known more than this instance."""

    __slots__ = ("_lacks", "_since_s")

    def __init__(self) -> None:
        self._lacks: Progress | None = None
        self._since_s = 0.0

    def duration_s(
        self, mine: Progress, best: Progress | None, now_s: float
    ) -> float:
        """Returns for how long something has been lacking.

        The upstreams' offset moves on all the time, so being behind the
        newest one means nothing: what counts is the age of the oldest news
        that is still missing.

        Args:
          mine: How far this instance has come.
          best: How far the one has come who knows more; None if nobody does.
          now_s: Monotonic time.
        """
        if best is None:
            self._lacks = None
            return 0.0
        lacks = self._lacks
        if lacks is None or (mine[0] >= lacks[0] and mine[1] >= lacks[1]):
            self._lacks = best
            self._since_s = now_s
        return now_s - self._since_s
