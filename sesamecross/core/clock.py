"""Clocks as arguments, so that decisions never read the machine's.

Why: a decision that reads a clock by itself can't be replayed or tested the
same way twice. Shells own a `SystemClock`; tests own a `ManualClock`.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """Gives monotonic and wall-clock milliseconds."""

    def monotonic_ms(self) -> int:
        """Returns milliseconds that never go back; the origin is arbitrary."""

    def wall_ms(self) -> int:
        """Returns milliseconds since 1970, perhaps wrong by minutes."""


class SystemClock:
    """The machine's clocks."""

    __slots__ = ()

    def monotonic_ms(self) -> int:
        """Returns the machine's monotonic milliseconds.

        This clock goes on while the machine is suspended, so that a sleep
        shows as time that passed.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Returns the machine's wall-clock milliseconds."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that moves only when told to."""

    __slots__ = ("_now_ms", "skew_ms")

    def __init__(self, now_ms: int = 0, skew_ms: int = 0):
        self._now_ms = now_ms
        self.skew_ms = skew_ms

    def advance(self, ms: int) -> None:
        """Moves both readings forward by `ms` milliseconds."""
        self._now_ms += ms

    def monotonic_ms(self) -> int:
        """Returns the milliseconds set by the test."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns the milliseconds set by the test, with skew."""
        return self._now_ms + self.skew_ms
