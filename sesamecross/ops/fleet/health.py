"""How well requests go at an upstream, by what became of them.

Why: an upstream can fail a part of its requests while it calls itself
healthy. A share of recent failures is kept, which fades, so that the upstream
is tried again: there is no hard exclusion, because all upstreams of a service
can fail at once and then the least bad one has to serve.
"""

# A failure counts half after this time: an upstream that recovered is back
# within seconds, one that goes on failing is asked every few seconds.
HALF_LIFE_S = 4.0
# Weight of one outcome. Three failures in a row weigh about as much as can
# be: from then on only others are chosen, where there are any.
STEP = 0.3


class Health:
    """The fading share of failures, between 0 (none) and 1."""

    __slots__ = ("_failing", "_at_s")

    def __init__(self) -> None:
        self._failing = 0.0
        self._at_s = 0.0

    def failing(self, now_s: float) -> float:
        """Returns the share now."""
        if not self._failing:
            return 0.0
        age_s = max(0.0, now_s - self._at_s)
        return self._failing * 0.5 ** (age_s / HALF_LIFE_S)

    def failed(self, now_s: float, weight: float = 1.0) -> None:
        """Counts a failure; `weight` 1 is a plain one."""
        now = self.failing(now_s)
        self._failing = now + (1.0 - now) * min(1.0, STEP * weight)
        self._at_s = now_s

    def worked(self, now_s: float) -> None:
        """Counts a success."""
        self._failing = self.failing(now_s) * (1.0 - STEP)
        self._at_s = now_s
