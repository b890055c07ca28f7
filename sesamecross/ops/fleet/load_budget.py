"""How many loads from the weight store may begin.

Why: the store feeds all engines together. Loads beyond its rate make each
other slower, and over any window their number is bounded. Copies in an
engine's own memory or on its disk cost the store nothing.
"""

from collections import deque

# Orders without an answer may begin a load this much later.
LATE_S = 12.0
# Loads that may begin at once beyond the rate. The bound allows three, and
# the next holder of the lease, who does not know of this one's last loads,
# needs as much again.
BURST = 3.0
# No store begins as many loads within a window; a rate that says so is a slip
# and must not cost an entry in memory for each of them.
BEFORE_MOST = 10_000


class LoadBudget:
    """Loads begun by one holder of the lease."""

    __slots__ = ("_window_s", "_most", "_begun", "_reserved")

    def __init__(
        self, rate: float, window_s: float, overage: float, now_s: float
    ):
        self.set_limits(rate, window_s, overage)
        # The holder before may have begun as many as the rate allows within
        # the window, of which the lease's gap has passed.
        before = int(max(0.0, min(rate * window_s / 2, BEFORE_MOST)))
        self._begun: deque[float] = deque([now_s] * before)
        self._reserved: deque[float] = deque()

    def set_limits(self, rate: float, window_s: float, overage: float) -> None:
        """Goes by these figures from now on; what has begun stays counted."""
        self._window_s = window_s
        self._most = rate * window_s * overage + BURST - 1.0

    def allows(self, now_s: float) -> bool:
        """Whether one more load may begin now."""
        while self._begun and now_s - self._begun[0] >= self._window_s:
            self._begun.popleft()
        while self._reserved and now_s - self._reserved[0] >= LATE_S:
            self._reserved.popleft()
        return len(self._begun) + len(self._reserved) + 1 <= self._most

    def load_started(self, now_s: float) -> None:
        """Counts a load."""
        self._begun.append(now_s)

    def load_unanswered(self, now_s: float) -> None:
        """Counts a load that may begin at any time from now on."""
        self._reserved.append(now_s)
