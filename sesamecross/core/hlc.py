"""A hybrid logical clock, to order events over processes.

Why: clocks of instances differ by minutes, and a time line sorted by wall
clock would show an answer before its question. A stamp is a pair of wall
milliseconds and a counter that never goes back and always exceeds each stamp
received, so that cause sorts before effect.
"""

import dataclasses

from sesamecross.core import clock as clock_lib


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Timestamp:
    """A point in the order of events."""

    wall_ms: int
    count: int


# A stamp further ahead than this is not believed: one broken clock must not
# drag the order of every process into the future.
MAX_AHEAD_MS = 10 * 60 * 1000


class HybridClock:
    """Hands out stamps and merges those received. Not safe for threads."""

    __slots__ = ("_clock", "_last")

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._last = Timestamp(0, 0)

    def now(self) -> Timestamp:
        """Returns a stamp that exceeds all handed out or received."""
        wall = self._clock.wall_ms()
        if wall > self._last.wall_ms:
            self._last = Timestamp(wall, 0)
        else:
            self._last = Timestamp(self._last.wall_ms, self._last.count + 1)
        return self._last

    def receive(self, stamp: Timestamp) -> None:
        """Makes all later stamps exceed `stamp`, unless it is absurd."""
        if stamp.wall_ms > self._clock.wall_ms() + MAX_AHEAD_MS:
            return
        self._last = max(self._last, stamp)
