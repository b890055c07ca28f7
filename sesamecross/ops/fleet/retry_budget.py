"""Retry budget that is shared by all instances without communication.

After many upstreams fail, each instance would send everything twice and
overload the remaining ones. Over any window, the number of retries is limited
to a share of the requests and a fixed extra. Each instance uses the share of
its own requests, which adds up to the share of all, and an equal part of the
extra. With many instances these come to less than a whole retry each. So each
instance also has a fixed fraction, spread evenly over instances, by which its
part is rounded: some get a retry, and together they get the whole budget.
"""

from collections import deque

import xxhash

# Assumed number of instances, to divide the extra, if the number is unknown.
ASSUMED_INSTANCES = 100
# Keeps below the bound, as other instances may count the requests in a sliding
# window later, and instances that die leave their part unused.
_SAFETY_FACTOR = 0.7


def rounding_offset(name: str) -> float:
    """Returns an instance's fraction, from 0 to 1, spread evenly over names."""
    return xxhash.xxh32_intdigest(name.encode()) / 2**32


class RetryBudget:
    """One instance's part of the retry budget of one service."""

    __slots__ = (
        "_share",
        "_extra",
        "_window_s",
        "_rounding",
        "_requests",
        "_retries",
    )

    def __init__(
        self, share: float, extra: float, window_s: float, rounding: float
    ):
        self.set_limits(share, extra, window_s)
        self._rounding = rounding
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_limits(self, share: float, extra: float, window_s: float) -> None:
        """Changes the limits; retries already spent stay counted."""
        self._share = share
        self._extra = extra
        self._window_s = window_s

    def request(self, now_s: float) -> None:
        """Counts a caller's request."""
        self._requests.append(now_s)
        self._remove_expired(now_s)

    def spend(self, now_s: float, instances: int | None) -> bool:
        """Takes one retry from the budget; returns whether there was one.

        Args:
          now_s: Monotonic time.
          instances: How many instances share the extra, including this one;
            None if unknown.
        """
        self._remove_expired(now_s)
        divisor = max(1, instances or ASSUMED_INSTANCES)
        allowed = self._share * len(self._requests) + self._extra / divisor
        if len(self._retries) + 1 > allowed * _SAFETY_FACTOR + self._rounding:
            return False
        self._retries.append(now_s)
        return True

    def _remove_expired(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
