"""Logs the signals of a process at a limited rate.

The log alone must show which signals a process got and how it reacted. A tool
that sends signals in a loop must not fill the log: lines written to standard
error have no other limit.
"""

from collections.abc import Callable
import enum
import signal
import time
from typing import Any

# Burst and rate of a signal's token bucket. Each signal has its own, so that a
# flood of one hides no other. Planned maintenance sends a few dozen signals in
# a row at most; each of them is logged.
BURST_LINES = 40.0
LINES_PER_S = 1.0


class Phase(enum.StrEnum):
    """Lifecycle phase of a process."""

    BEFORE_START = "before the start"
    RUNNING = "running"
    STOPPING = "stopping"
    STOPPED = "stopped"


class _TokenBucket:
    """Rate limiter for the lines about one signal."""

    __slots__ = ("_refilled_s", "_tokens")

    def __init__(self, now_s: float):
        self._refilled_s = now_s
        self._tokens = BURST_LINES

    def take(self, now_s: float) -> bool:
        refilled = self._tokens + (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(BURST_LINES, refilled)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class SignalLog:
    """Logs each signal within the rate limit, and counts all of them."""

    __slots__ = ("_log", "_clock", "_buckets", "_received")

    def __init__(self, log: Any, clock: Callable[[], float] = time.monotonic):
        self._log = log
        self._clock = clock
        self._buckets: dict[str, _TokenBucket] = {}
        self._received: dict[str, int] = {}

    @property
    def received(self) -> dict[str, int]:
        """Number of times each signal arrived, whether logged or not."""
        return dict(self._received)

    def log_signal(
        self,
        event: str,
        number: signal.Signals,
        count: int,
        phase: Phase,
        action: str,
    ) -> None:
        """Logs a signal that arrived `count` times since it was last handled.

        Args:
          event: The text of the log line.
          number: The signal.
          count: Number of arrivals.
          phase: The process's phase.
          action: How the process reacts.
        """
        name = number.name
        self._received[name] = self._received.get(name, 0) + count
        now_s = self._clock()
        if not self._buckets.setdefault(name, _TokenBucket(now_s)).take(now_s):
            return
        self._log.info(
            event, signal=name, times=count, phase=phase.value, action=action
        )
