"""Wakes all periodic components of a process at the same moments.

Each wake-up of a process costs system calls and a turn of its event loop, even
if a component only finds that nothing is due. Components with timers of their
own wake an idle process at moments of their own. A ticker puts their intervals
on one grid instead, so that those that are due together share a turn.

Each process has a phase of its own: components of all instances that acted at
the same moments would send their messages at the same moments.
"""

import asyncio
import math

# Intervals are multiples of this, in seconds.
GRID_S = 0.05


class Ticker:
    """The grid of one process; used within one event loop."""

    __slots__ = ("_phase_s", "_waiting")

    def __init__(self, phase_s: float = 0.0):
        """Initializes the ticker.

        Args:
          phase_s: Shifts the grid, in seconds. Less than the longest interval
            spreads processes over a part of it only.
        """
        self._phase_s = phase_s
        # What waits for each moment of the grid.
        self._waiting: dict[int, list[asyncio.Future[None]]] = {}

    async def wait(self, interval_s: float) -> None:
        """Waits for the next moment of the grid that is due.

        Args:
          interval_s: A multiple of `GRID_S`. The wait is at most this long, and
            exactly this long if the last one ended just now.
        """
        loop = asyncio.get_running_loop()
        steps = max(1, round(interval_s / GRID_S))
        now = (loop.time() - self._phase_s) / GRID_S
        # The loop may wake slightly early.
        due = (math.floor((now + 0.001) / steps) + 1) * steps
        waiting = self._waiting.get(due)
        if waiting is None:
            waiting = self._waiting[due] = []
            loop.call_at(self._phase_s + due * GRID_S, self._wake, due)
        future: asyncio.Future[None] = loop.create_future()
        waiting.append(future)
        await future

    def _wake(self, due: int) -> None:
        for future in self._waiting.pop(due):
            if not future.done():
                future.set_result(None)
