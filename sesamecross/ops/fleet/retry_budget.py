"""How often requests may be sent again, over all instances together.

Why: after a failure of many upstreams each instance would send everything
twice, and what is left would break down under it. Over any window the sends
beyond the first of each request may be a share of the requests, and a fixed
extra. Each instance takes the share of its own requests, which adds up to
the share of all, and an equal part of the extra. Where instances are many,
these come to less than a whole retry for each; so each also has a fraction of
its own, spread evenly, by which its part is rounded: some get one, and all
together get what there is.
"""

from collections import deque

import xxhash

# An instance that does not know how many others there are takes a part of
# the extra as if there were this many.
INSTANCES_UNKNOWN = 100
# Requests that arrive while a window slides are counted later elsewhere, and
# instances that die leave their part unused: stay below the bound.
_MARGIN = 0.7


def rounding_offset(name: str) -> float:
    """Returns an instance's fraction, between 0 and 1, spread over names."""
    return xxhash.xxh32_intdigest(name.encode()) / 2**32


class RetryBudget:
    """One instance's part of the budget of one service."""

    __slots__ = (
        "_share",
        "_extra",
        "_window_s",
        "_part",
        "_requests",
        "_repeats",
    )

    def __init__(
        self, share: float, extra: float, window_s: float, part: float
    ):
        self.set_limits(share, extra, window_s)
        self._part = part
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def set_limits(self, share: float, extra: float, window_s: float) -> None:
        """Goes by these figures from now on; what was spent stays spent."""
        self._share = share
        self._extra = extra
        self._window_s = window_s

    def request(self, now_s: float) -> None:
        """Counts a request of a caller."""
        self._requests.append(now_s)
        self._forget(now_s)

    def spend(self, now_s: float, instances: int | None) -> bool:
        """Takes one repeat if there is one.

        Args:
          now_s: Monotonic time.
          instances: How many instances share the extra, this one included;
            None where it isn't known.
        """
        self._forget(now_s)
        parts = max(1, instances or INSTANCES_UNKNOWN)
        allowed = self._share * len(self._requests) + self._extra / parts
        if len(self._repeats) + 1 > allowed * _MARGIN + self._part:
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_s:
                times.popleft()
