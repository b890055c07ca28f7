"""Learns how fast an upstream is, from the calls that this entry relayed.

Why: declared figures are guesses, engines differ, and reports lag. The time
between tokens grows about linearly with the calls in the batch, and the time
to the first token with the uncached prompt; both slopes are fitted with a
forgetting factor and start from sane values.
"""

import dataclasses
import math

# Each observation's weight falls by this factor with the next one.
FORGET = 0.98
# The fit starts as if it had seen this many calls at the starting values.
PRIOR_WEIGHT = 4.0


class LinearFit:
    """A line y = base + slope * x, fitted by weighted least squares."""

    __slots__ = ("_n", "_x", "_y", "_xx", "_xy", "_base", "_slope")

    def __init__(self, base: float, slope: float, typical_x: float):
        self._base = base
        self._slope = slope
        self._n = self._x = self._y = self._xx = self._xy = 0.0
        # Two points of the starting line make it well determined.
        for x in (0.0, 2 * typical_x):
            self._add(x, base + slope * x, PRIOR_WEIGHT / 2)

    @property
    def slope(self) -> float:
        """By how much y grows with x, never negative."""
        return self._slope

    def _add(self, x: float, y: float, weight: float) -> None:
        self._n += weight
        self._x += weight * x
        self._y += weight * y
        self._xx += weight * x * x
        self._xy += weight * x * y

    def observe(self, x: float, y: float) -> None:
        """Takes in one observation and fits anew."""
        self._n *= FORGET
        self._x *= FORGET
        self._y *= FORGET
        self._xx *= FORGET
        self._xy *= FORGET
        self._add(x, y, 1.0)
        spread = self._n * self._xx - self._x * self._x
        # Calls that all saw the same x say nothing of the slope: then the
        # line is only moved up or down.
        if spread > 1e-3 * self._n * self._n:
            slope = (self._n * self._xy - self._x * self._y) / spread
            self._slope = max(0.0, slope)
        base = (self._y - self._slope * self._x) / self._n
        self._base = max(0.0, base)

    def where(self, y: float) -> float:
        """Returns where the line reaches `y`; 0 if it begins above."""
        if self._slope <= 0:
            return math.inf if self._base <= y else 0.0
        return max(0.0, (y - self._base) / self._slope)

    def predict(self, x: float) -> float:
        """Returns the line's value at `x`."""
        return self._base + self._slope * x


START_BETWEEN_MS = 15.0
START_BETWEEN_PER_CALL_MS = 0.5
START_FIRST_MS = 25.0
START_PREFILL_MS_PER_TOKEN = 0.2
START_CALL_MS = 1500.0
_TYPICAL_CALLS = 8.0
_TYPICAL_PROMPT = 256.0
_CALL_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What one relayed call showed.

    Attributes:
      in_batch: Calls thought to be at the upstream when it was dispatched.
      uncached_tokens: Prompt tokens thought to be uncached then.
      first_ms: From dispatch to the first token; None if none came.
      between_ms: Mean time between later tokens; None for fewer than two.
      whole_ms: From dispatch to the end.
      cached_tokens: Prompt tokens that the engine says it had cached; None
        where it does not say.
    """

    in_batch: float
    uncached_tokens: float
    first_ms: float | None
    between_ms: float | None
    whole_ms: float
    cached_tokens: int | None = None


class UpstreamSpeed:
    """What is learnt of one upstream."""

    __slots__ = ("_between", "_first", "_call_ms")

    def __init__(self) -> None:
        self._between = LinearFit(
            START_BETWEEN_MS, START_BETWEEN_PER_CALL_MS, _TYPICAL_CALLS
        )
        self._first = LinearFit(
            START_FIRST_MS, START_PREFILL_MS_PER_TOKEN, _TYPICAL_PROMPT
        )
        self._call_ms = START_CALL_MS

    @property
    def call_ms(self) -> float:
        """How long a call takes, smoothed."""
        return self._call_ms

    def observe(self, seen: Observation) -> None:
        """Learns from one call."""
        if seen.first_ms is not None:
            self._first.observe(seen.uncached_tokens, seen.first_ms)
        if seen.between_ms is not None:
            self._between.observe(seen.in_batch, seen.between_ms)
        self._call_ms += (seen.whole_ms - self._call_ms) * _CALL_WEIGHT

    def first_ms(self, uncached_tokens: float) -> float:
        """Estimates the time to the first token without waiting."""
        return self._first.predict(uncached_tokens)

    def prompt_ms(self, uncached_tokens: float) -> float:
        """Estimates the work that uncached prompt tokens are."""
        return self._first.slope * uncached_tokens

    def most_calls(self, between_ms: float) -> float:
        """Estimates how many calls keep a time between tokens."""
        return self._between.where(between_ms)

    def between_ms(self, in_batch: float) -> float:
        """Estimates the time between tokens with so many calls."""
        return self._between.predict(in_batch)
