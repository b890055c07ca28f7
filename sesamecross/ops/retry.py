"""How much may be retried: a budget that is a share of what succeeds.

Why: after an outage every caller's call fails once, and retrying each of them
doubles the load on what is left. The budget grows by a fraction with each
success and is spent by one with each retry, so retries stay a bounded share
of the load whatever happens.
"""

import random

SHARE = 0.1
MOST = 20.0
START = 5.0
FIRST_PAUSE_MS = 10
LONGEST_PAUSE_MS = 500


class RetryBudget:
    """One entry's budget. Deterministic."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = START

    @property
    def tokens(self) -> float:
        """Retries that could be made now."""
        return self._tokens

    def succeeded(self) -> None:
        """Earns a share of a retry."""
        self._tokens = min(MOST, self._tokens + SHARE)

    def spend(self) -> bool:
        """Takes one retry if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_ms(attempt: int, rng: random.Random) -> int:
    """Returns the pause before retry number `attempt`, from 1, jittered."""
    longest = min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (attempt - 1))
    return int(rng.uniform(0, longest))


class Breaker:
    """Bans an upstream for growing times after failures in a row."""

    __slots__ = ("_failures", "_until_ms")

    THRESHOLD = 3
    FIRST_BAN_MS = 500
    LONGEST_BAN_MS = 15_000

    def __init__(self) -> None:
        self._failures = 0
        self._until_ms = 0

    def allows(self, now_ms: int) -> bool:
        """Tells whether calls may go to the upstream."""
        return now_ms >= self._until_ms

    def succeeded(self) -> None:
        """Forgets failures."""
        self._failures = 0
        self._until_ms = 0

    def failed(self, now_ms: int) -> None:
        """Counts a failure; bans after `THRESHOLD` in a row."""
        self._failures += 1
        over = self._failures - self.THRESHOLD
        if over >= 0:
            ban_ms = min(self.LONGEST_BAN_MS, self.FIRST_BAN_MS * 2**over)
            self._until_ms = now_ms + ban_ms
