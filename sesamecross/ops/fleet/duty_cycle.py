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
      next_start_s: When the next run may start.
    """

    __slots__ = ("next_start_s", "_pause_factor", "_min_interval_s")

    def __init__(self, pause_factor: float, min_interval_s: float = 0.0):
        """Sets the limits.

        Args:
          pause_factor: Length of the pause as a multiple of the run before it.
          min_interval_s: Minimum time between the starts of two runs.
        """
        self.next_start_s = 0.0
        self._pause_factor = pause_factor
        self._min_interval_s = min_interval_s

    def may_begin(self, now_s: float) -> bool:
        """Whether the next run may start now."""
        return now_s >= self.next_start_s

    def done(self, begun_s: float, ended_s: float) -> None:
        """Records when a run started and ended."""
        pause_s = (ended_s - begun_s) * self._pause_factor
        self.next_start_s = max(
            begun_s + self._min_interval_s, ended_s + pause_s
        )


class Cooldown:
    """Suppresses repetitions of a message for some time, by key."""

    __slots__ = ("_interval_s", "_sent_s", "_cleaned_s")

    def __init__(self, interval_s: float):
        self._interval_s = interval_s
        self._sent_s: dict[Hashable, float] = {}
        self._cleaned_s = 0.0

    def is_due(self, key: Hashable, now_s: float) -> bool:
        """Whether to send it now; if so, it counts as sent."""
        sent_s = self._sent_s.get(key)
        if sent_s is not None and now_s - sent_s < self._interval_s:
            return False
        self._remove_expired(now_s)
        self._sent_s[key] = now_s
        return True

    def _remove_expired(self, now_s: float) -> None:
        """Removes expired keys, once per interval."""
        if now_s - self._cleaned_s < self._interval_s:
            return
        self._cleaned_s = now_s
        self._sent_s = {
            key: sent_s
            for key, sent_s in self._sent_s.items()
            if now_s - sent_s < self._interval_s
        }
