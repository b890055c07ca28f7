"""A hybrid logical clock (HLC) for ordering events across processes.

Clocks of instances differ by minutes, so a time line sorted by wall clock would
show an answer before its request. A timestamp is a pair of wall-clock
milliseconds and a counter. It never decreases and always exceeds every
timestamp received, so that causes sort before their effects.
"""

import msgspec

from sesamecross.core import clock as clock_lib


class Timestamp(msgspec.Struct, frozen=True, order=True):
    """An HLC timestamp."""

    wall_ms: int
    count: int


# Timestamps further ahead than this are ignored, so that one wrong clock does
# not move the clocks of all processes into the future.
MAX_SKEW_MS = 10 * 60 * 1000


class HybridClock:
    """Issues timestamps and merges received ones. Not thread-safe."""

    __slots__ = ("_clock", "_last")

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._last = Timestamp(0, 0)

    def now(self) -> Timestamp:
        """Returns a timestamp that exceeds all issued or received ones."""
        wall = self._clock.wall_ms()
        if wall > self._last.wall_ms:
            self._last = Timestamp(wall, 0)
        else:
            self._last = Timestamp(self._last.wall_ms, self._last.count + 1)
        return self._last

    def receive(self, timestamp: Timestamp) -> None:
        """Makes later timestamps exceed this one unless it is too far ahead."""
        if timestamp.wall_ms > self._clock.wall_ms() + MAX_SKEW_MS:
            return
        self._last = max(self._last, timestamp)
