"""Estimates an upstream's latency from the calls that this entry relayed.

Declared values are guesses, engines differ, and reports lag. The time between
tokens grows about linearly with the calls in the batch, and the time to the
first token with the uncached prompt tokens. Both lines are fitted by least
squares with a forgetting factor, starting from plausible values.
"""

import math

import msgspec

# Each new observation multiplies the weight of the earlier ones by this.
FORGETTING_FACTOR = 0.98
# The initial line weighs as much as this many observations.
PRIOR_WEIGHT = 4.0


class LinearFit:
    """A line y = base + slope * x, fitted by weighted least squares."""

    __slots__ = (
        "_sum_weight",
        "_sum_x",
        "_sum_y",
        "_sum_xx",
        "_sum_xy",
        "_base",
        "_slope",
    )

    def __init__(self, base: float, slope: float, typical_x: float):
        self._base = base
        self._slope = slope
        self._sum_weight = self._sum_x = self._sum_y = self._sum_xx = (
            self._sum_xy
        ) = 0.0
        # Two points on the initial line make the fit well determined.
        for x in (0.0, 2 * typical_x):
            self._add(x, base + slope * x, PRIOR_WEIGHT / 2)

    @property
    def slope(self) -> float:
        """Increase of y per unit of x, never negative."""
        return self._slope

    def _add(self, x: float, y: float, weight: float) -> None:
        self._sum_weight += weight
        self._sum_x += weight * x
        self._sum_y += weight * y
        self._sum_xx += weight * x * x
        self._sum_xy += weight * x * y

    def observe(self, x: float, y: float) -> None:
        """Adds an observation and refits the line."""
        self._sum_weight *= FORGETTING_FACTOR
        self._sum_x *= FORGETTING_FACTOR
        self._sum_y *= FORGETTING_FACTOR
        self._sum_xx *= FORGETTING_FACTOR
        self._sum_xy *= FORGETTING_FACTOR
        self._add(x, y, 1.0)
        determinant = (
            self._sum_weight * self._sum_xx - self._sum_x * self._sum_x
        )
        # Observations at a single x don't determine the slope; then only the
        # base is adjusted.
        if determinant > 1e-3 * self._sum_weight * self._sum_weight:
            slope = (
                self._sum_weight * self._sum_xy - self._sum_x * self._sum_y
            ) / determinant
            self._slope = max(0.0, slope)
        base = (self._sum_y - self._slope * self._sum_x) / self._sum_weight
        self._base = max(0.0, base)

    def solve_for(self, y: float) -> float:
        """Returns the x at which the line reaches `y`; 0 if it starts above."""
        if self._slope <= 0:
            return math.inf if self._base <= y else 0.0
        return max(0.0, (y - self._base) / self._slope)

    def predict(self, x: float) -> float:
        """Returns the line's value at `x`."""
        return self._base + self._slope * x


INITIAL_BETWEEN_MS = 15.0
INITIAL_BETWEEN_PER_CALL_MS = 0.5
INITIAL_FIRST_MS = 25.0
INITIAL_PREFILL_MS_PER_TOKEN = 0.2
INITIAL_CALL_MS = 1500.0
_TYPICAL_CALLS = 8.0
_TYPICAL_PROMPT = 256.0
_CALL_MS_SMOOTHING = 0.05


class Observation(msgspec.Struct, frozen=True):
    """Measurements of one relayed call.

    Attributes:
      batch_size: Estimated calls at the upstream when it was dispatched.
      uncached_tokens: Estimated uncached prompt tokens at that time.
      first_ms: From dispatch to the first token; None if there was none.
      between_ms: Mean time between later tokens; None for fewer than two.
      duration_ms: From dispatch to the end.
      cached_tokens: Cached prompt tokens as the engine reports them; None if
        it does not.
    """

    batch_size: float
    uncached_tokens: float
    first_ms: float | None
    between_ms: float | None
    duration_ms: float
    cached_tokens: int | None = None


class UpstreamLatencyModel:
    """Fitted latencies of one upstream."""

    __slots__ = ("_between", "_first", "_call_ms")

    def __init__(self) -> None:
        self._between = LinearFit(
            INITIAL_BETWEEN_MS, INITIAL_BETWEEN_PER_CALL_MS, _TYPICAL_CALLS
        )
        self._first = LinearFit(
            INITIAL_FIRST_MS, INITIAL_PREFILL_MS_PER_TOKEN, _TYPICAL_PROMPT
        )
        self._call_ms = INITIAL_CALL_MS

    @property
    def call_ms(self) -> float:
        """Duration of a call, exponentially smoothed."""
        return self._call_ms

    def observe(self, observation: Observation) -> None:
        """Updates the model with one call."""
        if observation.first_ms is not None:
            self._first.observe(
                observation.uncached_tokens, observation.first_ms
            )
        if observation.between_ms is not None:
            self._between.observe(
                observation.batch_size, observation.between_ms
            )
        self._call_ms += (
            observation.duration_ms - self._call_ms
        ) * _CALL_MS_SMOOTHING

    def first_ms(self, uncached_tokens: float) -> float:
        """Estimates the time to the first token without queueing."""
        return self._first.predict(uncached_tokens)

    def prefill_ms(self, uncached_tokens: float) -> float:
        """Estimates the processing time of uncached prompt tokens."""
        return self._first.slope * uncached_tokens

    def max_calls_for(self, between_ms: float) -> float:
        """Estimates how many concurrent calls keep within `between_ms`."""
        return self._between.solve_for(between_ms)

    def between_ms(self, batch_size: float) -> float:
        """Estimates the time between tokens with `batch_size` calls."""
        return self._between.predict(batch_size)
