"""Counts the outcomes of requests at an upstream (passive health checks).

An upstream can fail some of its requests while it reports itself healthy, or
fail all of them before its entry lapses. Recent outcomes are counted and decay,
so that the upstream is tried again. Counts are added up over instances: an
instance that is cut off from an upstream must not make the others avoid it.
"""

import msgspec

from sesamecross.ops.fleet import upstream_speed

# Half-life of an outcome: an upstream that has recovered is used again within
# seconds, and one that keeps failing is tried every few seconds.
HALF_LIFE_S = 4.0
# Added to the total as successes, so that a single failure has little weight.
PRIOR_SUCCESSES = 0.5


class Outcomes(msgspec.Struct, frozen=True):
    """Decayed counts of failures and of all outcomes, and recent speeds."""

    failed: float = 0.0
    total: float = 0.0
    speed: upstream_speed.SpeedTally = upstream_speed.SpeedTally()

    def plus(self, other: "Outcomes") -> "Outcomes":
        """Returns the sums."""
        return Outcomes(
            self.failed + other.failed,
            self.total + other.total,
            self.speed.plus(other.speed),
        )

    @property
    def share(self) -> float:
        """The share of failures, from 0 to 1."""
        return self.failed / (self.total + PRIOR_SUCCESSES)


class Health:
    """Outcomes of one instance's requests at one upstream."""

    __slots__ = ("_counts", "_at_s")

    def __init__(self) -> None:
        self._counts = Outcomes()
        self._at_s = 0.0

    def outcomes(self, now_s: float) -> Outcomes:
        """Returns the counts, decayed to now."""
        counts = self._counts
        if not counts.total:
            return counts
        age_s = max(0.0, now_s - self._at_s)
        decay = 0.5 ** (age_s / HALF_LIFE_S)
        return Outcomes(counts.failed * decay, counts.total * decay)

    def record_failure(self, now_s: float, weight: float = 1.0) -> None:
        """Counts a failure; an ordinary one has `weight` 1."""
        self._counts = self.outcomes(now_s).plus(Outcomes(weight, weight))
        self._at_s = now_s

    def record_success(self, now_s: float) -> None:
        """Counts a success."""
        self._counts = self.outcomes(now_s).plus(Outcomes(0.0, 1.0))
        self._at_s = now_s
