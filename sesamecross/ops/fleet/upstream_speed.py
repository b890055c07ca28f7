"""Measures how slow upstreams are, from the answers of all instances.

With many instances each sees few answers of an upstream, so the sums of what
all have seen are exchanged. Answers are compared with a fixed reference, and an
upstream with the others of its service: only the ratio between upstreams
counts. What was seen decays within seconds, so that an upstream that is slow
gets few requests but some, and one that has recovered is found out.
"""

import msgspec

# Half-life of what counts as an upstream's current speed: it recovers within
# 5 s of its last slow answer.
HALF_LIFE_S = 1.0
# The same for what is usual in a service.
USUAL_HALF_LIFE_S = 20.0
# Answers of usual speed that are assumed for each upstream. Two slow answers
# outweigh them, and a single one does if it is far slower.
PRIOR_ANSWERS = 2.0
# More answers don't count for more, or they would be remembered for longer.
MAX_ANSWERS = 4.0
# Answers this many times slower than usual are within what load explains.
USUAL_SPREAD = 2.0
# Limits the weight of one answer.
MAX_RATIO = 100.0
MAX_SLOWNESS = 3.0
# Tallies decay in steps of this: each choice asks for them.
UPDATE_INTERVAL_S = 0.05
# From this slowness on, an upstream's speed is reported to other instances.
MIN_REPORTED_SLOWNESS = 1.05


class SpeedTally(msgspec.Struct, frozen=True):
    """Answers, and the sum of their times over the reference's.

    Attributes:
      ratios: The sum.
      count: The number of answers, decayed.
    """

    ratios: float = 0.0
    count: float = 0.0

    def plus(self, other: "SpeedTally") -> "SpeedTally":
        """Returns the sums."""
        return SpeedTally(self.ratios + other.ratios, self.count + other.count)

    def minus(self, other: "SpeedTally") -> "SpeedTally":
        """Returns what is left of the sums without a part of them."""
        count = max(0.0, self.count - other.count)
        if not count:
            return SpeedTally()
        return SpeedTally(max(0.0, self.ratios - other.ratios), count)

    def times(self, factor: float) -> "SpeedTally":
        """Returns the tally with another weight."""
        return SpeedTally(self.ratios * factor, self.count * factor)

    def limited(self) -> "SpeedTally":
        """Returns the tally with the weight of `MAX_ANSWERS` at most."""
        if self.count <= MAX_ANSWERS:
            return self
        return self.times(MAX_ANSWERS / self.count)

    def slowness(self, usual_ratio: float) -> float:
        """Returns how many times slower than usual the answers are, from 1."""
        if self.count <= 0 or usual_ratio <= 0:
            return 1.0
        tally = self.limited()
        ratio = (tally.ratios / usual_ratio + PRIOR_ANSWERS) / (
            tally.count + PRIOR_ANSWERS
        )
        return min(MAX_SLOWNESS, max(1.0, ratio / USUAL_SPREAD))


class SpeedRecord:
    """What one instance has seen of one upstream."""

    __slots__ = ("_new", "_recent", "_usual", "_at_s")

    def __init__(self) -> None:
        # Recorded without a time; it counts from the next look.
        self._new = SpeedTally()
        self._recent = SpeedTally()
        self._usual = SpeedTally()
        self._at_s = 0.0

    def record(self, ratio: float) -> None:
        """Records an answer by its time over the reference's."""
        if not 0 <= ratio < float("inf"):
            return
        self._new = self._new.plus(SpeedTally(min(MAX_RATIO, ratio), 1.0))

    def recent(self, now_s: float) -> SpeedTally:
        """Returns the tally of recent answers."""
        self._update(now_s)
        return self._recent

    def usual_ratio(self, now_s: float) -> float:
        """Returns the mean ratio over a longer time; 0 if it is unknown."""
        self._update(now_s)
        if self._usual.count <= 0:
            return 0.0
        return self._usual.ratios / self._usual.count

    def _update(self, now_s: float) -> None:
        age_s = max(0.0, now_s - self._at_s)
        if age_s < UPDATE_INTERVAL_S and not self._new.count:
            return
        self._at_s = now_s
        self._recent = self._recent.times(0.5 ** (age_s / HALF_LIFE_S))
        self._usual = self._usual.times(0.5 ** (age_s / USUAL_HALF_LIFE_S))
        if self._new.count:
            self._recent = self._recent.plus(self._new).limited()
            self._usual = self._usual.plus(self._new)
            self._new = SpeedTally()
