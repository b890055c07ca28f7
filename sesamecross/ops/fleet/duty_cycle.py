"""Keeps work that others ask for at any rate to a part of an instance's time.

Why: each request that waits for a model asks for a plan, by the hundred a
second, and the one who plans has callers of its own and half a core. What is
asked again and again is said once in a while, and work that was just done
rests for a multiple of the time that it took.
"""

from collections.abc import Hashable


class DutyCycle:
    """One kind of work. It rests after each piece.

    Attributes:
      free_s: From when on the next piece may be done.
    """

    __slots__ = ("free_s", "_rests", "_least_s")

    def __init__(self, rests: float, least_s: float = 0.0):
        """Sets the pace.

        Args:
          rests: How many times as long as it took the work rests.
          least_s: The least time between the begin of two pieces.
        """
        self.free_s = 0.0
        self._rests = rests
        self._least_s = least_s

    def may_begin(self, now_s: float) -> bool:
        """Whether the next piece may be done now."""
        return now_s >= self.free_s

    def done(self, begun_s: float, ended_s: float) -> None:
        """Takes in when a piece was begun and how long it took."""
        rest_s = (ended_s - begun_s) * self._rests
        self.free_s = max(begun_s + self._least_s, ended_s + rest_s)


class Cooldown:
    """What was said, and not said again for a while."""

    __slots__ = ("_again_s", "_said", "_swept_s")

    def __init__(self, again_s: float):
        self._again_s = again_s
        self._said: dict[Hashable, float] = {}
        self._swept_s = 0.0

    def is_due(self, what: Hashable, now_s: float) -> bool:
        """Whether to say it now; it counts as said if so."""
        said_s = self._said.get(what)
        if said_s is not None and now_s - said_s < self._again_s:
            return False
        self._sweep(now_s)
        self._said[what] = now_s
        return True

    def _sweep(self, now_s: float) -> None:
        """Forgets what may be said again, now and then."""
        if now_s - self._swept_s < self._again_s:
            return
        self._swept_s = now_s
        self._said = {
            what: said_s
            for what, said_s in self._said.items()
            if now_s - said_s < self._again_s
        }
