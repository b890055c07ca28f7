"""Tells of the signals of a process, in a bounded number of lines.

Why: from its lines alone it must be clear what a process was sent and what it
did about it. A tool that signals in a loop must not fill the log: lines to
standard error have no other bound.
"""

from collections.abc import Callable
import enum
import signal
import time
from typing import Any

# For each signal by itself, so that a flood of one hides no other. Planned work
# comes in series, of some dozens of signals at the most; each keeps its line.
BURST_LINES = 40.0
LINES_PER_S = 1.0


class Phase(enum.StrEnum):
    """Where in its life a process is."""

    BEFORE_START = "before the start"
    RUNNING = "running"
    STOPPING = "stopping"
    STOPPED = "stopped"


class _Lines:
    """How many lines about one signal may be written now."""

    __slots__ = ("_at_s", "_tokens")

    def __init__(self, now_s: float):
        self._at_s = now_s
        self._tokens = BURST_LINES

    def take(self, now_s: float) -> bool:
        grown = self._tokens + (now_s - self._at_s) * LINES_PER_S
        self._tokens = min(BURST_LINES, grown)
        self._at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class SignalLog:
    """Writes a line for each signal while there is room, and counts all."""

    __slots__ = ("_log", "_clock", "_lines", "_received")

    def __init__(self, log: Any, clock: Callable[[], float] = time.monotonic):
        self._log = log
        self._clock = clock
        self._lines: dict[str, _Lines] = {}
        self._received: dict[str, int] = {}

    @property
    def received(self) -> dict[str, int]:
        """How often each signal came, with those that have no line."""
        return dict(self._received)

    def tell(
        self,
        event: str,
        number: signal.Signals,
        count: int,
        phase: Phase,
        action: str,
    ) -> None:
        """Tells of a signal that came `count` times since the last look.

        Args:
          event: The line's text.
          action: What is done about it.
        """
        name = number.name
        self._received[name] = self._received.get(name, 0) + count
        now_s = self._clock()
        if not self._lines.setdefault(name, _Lines(now_s)).take(now_s):
            return
        self._log.info(
            event, signal=name, times=count, phase=phase.value, action=action
        )
