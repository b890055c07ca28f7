"""Retry budget, backoff and circuit breaker.

After an outage every caller's call fails once, and retrying each of them
doubles the load on the remaining upstreams. The budget grows by a fraction
with each success and each retry spends one, so retries stay a bounded share of
the load.
"""

import random

TOKENS_PER_SUCCESS = 0.1
MAX_TOKENS = 20.0
INITIAL_TOKENS = 5.0
BACKOFF_BASE_MS = 10
BACKOFF_CAP_MS = 500


class RetryBudget:
    """One entry's retry budget, a token bucket filled by successes."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS

    @property
    def tokens(self) -> float:
        """Number of retries available now."""
        return self._tokens

    def succeeded(self) -> None:
        """Adds a fraction of a retry."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_SUCCESS)

    def spend(self) -> bool:
        """Takes one retry if available; tells whether it was."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_ms(attempt: int, rng: random.Random) -> int:
    """Returns the backoff before retry `attempt` (from 1), with full jitter."""
    cap_ms = min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2 ** (attempt - 1))
    return int(rng.uniform(0, cap_ms))


class CircuitBreaker:
    """Blocks an upstream after consecutive failures, each time for longer."""

    __slots__ = ("_consecutive_failures", "_open_until_ms")

    FAILURE_THRESHOLD = 3
    FIRST_OPEN_MS = 500
    MAX_OPEN_MS = 15_000

    def __init__(self) -> None:
        self._consecutive_failures = 0
        self._open_until_ms = 0

    def allows(self, now_ms: int) -> bool:
        """Tells whether calls may go to the upstream."""
        return now_ms >= self._open_until_ms

    def succeeded(self) -> None:
        """Resets the failure count."""
        self._consecutive_failures = 0
        self._open_until_ms = 0

    def failed(self, now_ms: int) -> None:
        """Counts a failure; `FAILURE_THRESHOLD` in a row block the upstream."""
        self._consecutive_failures += 1
        excess_failures = self._consecutive_failures - self.FAILURE_THRESHOLD
        if excess_failures >= 0:
            open_ms = min(
                self.MAX_OPEN_MS, self.FIRST_OPEN_MS * 2**excess_failures
            )
            self._open_until_ms = now_ms + open_ms
