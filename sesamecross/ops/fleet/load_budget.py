"""Limits the rate of loads from the weight store over a sliding window.

All engines share the store. Loads beyond its rate slow each other down, and
their number is bounded over any window. Loads from copies in an engine's own
memory or on its disk do not use the store.
"""

from collections import deque

# An order without an answer may start its load up to this much later.
UNANSWERED_TTL_S = 12.0
# Loads that may start at once beyond the rate. The bound allows three, and the
# next lease holder, which does not know of this one's last loads, needs as many
# again.
BURST_LOADS = 3.0
# Limit on the loads assumed for the previous holder. No store starts as many in
# a window; a rate that implies it is a mistake in the configuration and must
# not take memory for each load.
MAX_PRIOR_LOADS = 10_000


class LoadBudget:
    """The loads started by one lease holder."""

    __slots__ = ("_window_s", "_max_loads", "_started", "_reserved")

    def __init__(
        self, rate: float, window_s: float, overage: float, now_s: float
    ):
        self.set_limits(rate, window_s, overage)
        # The previous holder may have started as many loads as the rate allows
        # in a window, of which the lease gap has passed.
        prior = int(max(0.0, min(rate * window_s / 2, MAX_PRIOR_LOADS)))
        self._started: deque[float] = deque([now_s] * prior)
        self._reserved: deque[float] = deque()

    def set_limits(self, rate: float, window_s: float, overage: float) -> None:
        """Changes the limits; loads that have started stay counted."""
        self._window_s = window_s
        self._max_loads = rate * window_s * overage + BURST_LOADS - 1.0

    def allows(self, now_s: float) -> bool:
        """Whether one more load may start now."""
        while self._started and now_s - self._started[0] >= self._window_s:
            self._started.popleft()
        while self._reserved and now_s - self._reserved[0] >= UNANSWERED_TTL_S:
            self._reserved.popleft()
        return len(self._started) + len(self._reserved) + 1 <= self._max_loads

    def load_started(self, now_s: float) -> None:
        """Counts a load."""
        self._started.append(now_s)

    def load_unanswered(self, now_s: float) -> None:
        """Counts a load that may start at any time from now on."""
        self._reserved.append(now_s)
