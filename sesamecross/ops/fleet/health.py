"""How well requests go at an upstream, by what became of them.

Why: an upstream can fail a part of its requests while it calls itself
healthy, or fail all of them before its entry lapses. Recent outcomes are
counted and fade, so that the upstream is tried again. Counts add up over
instances: one instance that is cut off from an upstream must not make the
others leave it.
"""

import dataclasses

# Outcomes count half after this time: an upstream that recovered is back
# within seconds, one that goes on failing is asked every few seconds.
HALF_LIFE_S = 4.0
# Counted as so many good outcomes, so that one failure alone proves little.
PRIOR = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Outcomes:
    """Faded counts of failures and of all outcomes."""

    failed: float = 0.0
    total: float = 0.0

    def plus(self, other: "Outcomes") -> "Outcomes":
        """Returns the sums."""
        return Outcomes(self.failed + other.failed, self.total + other.total)

    @property
    def share(self) -> float:
        """The share of failures, between 0 and 1."""
        return self.failed / (self.total + PRIOR)


class Health:
    """Outcomes that one instance has seen at one upstream."""

    __slots__ = ("_counts", "_at_s")

    def __init__(self) -> None:
        self._counts = Outcomes()
        self._at_s = 0.0

    def outcomes(self, now_s: float) -> Outcomes:
        """Returns the counts, faded to now."""
        counts = self._counts
        if not counts.total:
            return counts
        age_s = max(0.0, now_s - self._at_s)
        faded = 0.5 ** (age_s / HALF_LIFE_S)
        return Outcomes(counts.failed * faded, counts.total * faded)

    def record_failure(self, now_s: float, weight: float = 1.0) -> None:
        """Counts a failure; `weight` 1 is a plain one."""
        self._counts = self.outcomes(now_s).plus(Outcomes(weight, weight))
        self._at_s = now_s

    def record_success(self, now_s: float) -> None:
        """Counts a success."""
        self._counts = self.outcomes(now_s).plus(Outcomes(0.0, 1.0))
        self._at_s = now_s
