"""Knows as of which moment the configuration is the newest: a lease on it.

A key that was revoked must not be served for longer than a bound, whether or
not this instance has heard of it. So an instance serves keys only while it
knows that its configuration was the newest a short time ago, and "nothing is
newer" has to travel too, at a cost that does not grow with the instances.

A moment is always one of this instance's own clock, which counts suspension
too: that of sending a read that the store answered, or of sending a message
that a peer had received when it said how old its own knowledge was. A message
that is late, or read after a freeze, only makes the knowledge older.
"""

from collections.abc import Callable
import math
import time

# Between reading the clock and acting on it, and for rounding.
MARGIN_S = 0.1
# Readers of the store ask so often, as a share of the bound. With this and the
# way through two peers, a store that is silent for half the bound refuses
# nobody.
READ_SHARE = 0.14
# From this share of the bound on, an instance asks the store itself, one after
# the other by rank.
ASK_SHARE = 0.45
ASK_STEP_S = 0.08
MAX_ASK_RANK = 20
# Own messages whose time of sending is kept.
MAX_SENT = 128


def boot_time_s() -> float:
    """Returns monotonic seconds that count the time of a suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """What one instance knows of its configuration's age."""

    __slots__ = ("_clock", "_as_of_s", "_sent_s")

    def __init__(self, clock: Callable[[], float] = boot_time_s):
        self._clock = clock
        self._as_of_s = -math.inf
        # When this instance's messages were sent, by number.
        self._sent_s: dict[int, float] = {}

    def now_s(self) -> float:
        """Returns the time of the clock that counts suspension."""
        return self._clock()

    @property
    def as_of_s(self) -> float:
        """The moment as of which the configuration is the newest."""
        return self._as_of_s

    def age_s(self) -> float:
        """Returns how long ago the configuration was known to be the newest."""
        return self._clock() - self._as_of_s

    def learn(self, as_of_s: float) -> None:
        """Notes that the configuration was the newest at that moment."""
        self._as_of_s = max(self._as_of_s, as_of_s)

    def is_within(self, bound_s: float) -> bool:
        """Whether a key that is served now was not revoked before the bound."""
        return self.age_s() < bound_s - MARGIN_S

    # -- exchange with peers -------------------------------------------

    def record_sent(self, number: int) -> None:
        """Notes that the message of that number is sent now."""
        self._sent_s[number] = self._clock()
        while len(self._sent_s) > MAX_SENT:
            del self._sent_s[next(iter(self._sent_s))]

    def told_age_s(self) -> float | None:
        """Returns the age to tell peers, rounded up; None if unknown."""
        age_s = self.age_s()
        return math.ceil(age_s * 1000) / 1000 if math.isfinite(age_s) else None

    def learn_from_peer(self, number: int, age_s: float | None) -> None:
        """Learns from a peer whose configuration this instance has.

        Args:
          number: The last of this instance's messages that the peer had when
            it answered.
          age_s: How old its own knowledge was then; None if unknown.
        """
        sent_s = self._sent_s.get(number)
        if sent_s is not None and age_s is not None:
            self.learn(sent_s - max(0.0, age_s))


def ask_after_s(bound_s: float, rank: int) -> float:
    """Returns the age at which an instance asks the store itself.

    Args:
      bound_s: The bound on revoked keys.
      rank: Its place among the instances that would ask.
    """
    return ASK_SHARE * bound_s + ASK_STEP_S * min(rank, MAX_ASK_RANK)
