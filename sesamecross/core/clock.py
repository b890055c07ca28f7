"""Clocks that are passed in as arguments.

Code that reads the system clock directly can't be replayed or tested
deterministically. Processes create a `SystemClock`, tests a `ManualClock`.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time in milliseconds."""

    def monotonic_ms(self) -> int:
        """Returns non-decreasing milliseconds from an arbitrary origin."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch; may be off by minutes."""


class SystemClock:
    """The clocks of the operating system."""

    __slots__ = ()

    def monotonic_ms(self) -> int:
        """Returns the system's monotonic time in milliseconds.

        This clock keeps running while the system is suspended, so the
        suspension counts as elapsed time.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Returns the system's wall-clock time in milliseconds."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that advances only when `advance` is called."""

    __slots__ = ("_now_ms", "skew_ms")

    def __init__(self, now_ms: int = 0, skew_ms: int = 0):
        self._now_ms = now_ms
        self.skew_ms = skew_ms

    def advance(self, ms: int) -> None:
        """Advances both clocks by `ms` milliseconds."""
        self._now_ms += ms

    def monotonic_ms(self) -> int:
        """Returns the time set by the test, in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns the time set by the test plus `skew_ms`, in milliseconds."""
        return self._now_ms + self.skew_ms
