"""Limits work that is triggered at any rate to a share of an instance's time.

Each request that waits for a model triggers planning, hundreds of times per
second, and the instance that plans also serves callers on half a core. So work
pauses for a multiple of the time that it last took, and a repeated message is
sent only once per interval.
"""

from collections.abc import Hashable


class DutyCycle:
    """Limits one kind of work: each run is followed by a pause.

    Attributes:
      free_s: When the next run may start.
    """

    __slots__ = ("free_s", "_rests", "_least_s")

    def __init__(self, rests: float, least_s: float = 0.0):
        """Sets the limits.

        Args:
          rests: Length of the pause as a multiple of the run before it.
          least_s: Minimum time between the starts of two runs.
        """
        self.free_s = 0.0
        self._rests = rests
        self._least_s = least_s

    def may_begin(self, now_s: float) -> bool:
        """Whether the next run may start now."""
        return now_s >= self.free_s

    def done(self, begun_s: float, ended_s: float) -> None:
        """Records when a run started and ended."""
        rest_s = (ended_s - begun_s) * self._rests
        self.free_s = max(begun_s + self._least_s, ended_s + rest_s)


class Cooldown:
    """Suppresses repetitions of a message for some time, by key."""

    __slots__ = ("_again_s", "_said", "_swept_s")

    def __init__(self, again_s: float):
        self._again_s = again_s
        self._said: dict[Hashable, float] = {}
        self._swept_s = 0.0

    def is_due(self, what: Hashable, now_s: float) -> bool:
        """Whether to send it now; if so, it counts as sent."""
        said_s = self._said.get(what)
        if said_s is not None and now_s - said_s < self._again_s:
            return False
        self._sweep(now_s)
        self._said[what] = now_s
        return True

    def _sweep(self, now_s: float) -> None:
        """Removes expired keys, once per interval."""
        if now_s - self._swept_s < self._again_s:
            return
        self._swept_s = now_s
        self._said = {
            what: said_s
            for what, said_s in self._said.items()
            if now_s - said_s < self._again_s
        }
