"""Wakes all periodic components of a process at the same moments.

Each wake-up of a process costs system calls and a turn of its event loop, even
if a component only finds that nothing is due. Components with timers of their
own wake an idle process at moments of their own. A ticker puts their intervals
on one grid instead, so that those that are due together share a turn.

Each process has a phase of its own: components of all instances that acted at
the same moments would send their messages at the same moments.
"""

import asyncio
from collections.abc import Callable
import math

import msgspec

from sesamecross.runtime import event_loop

# Intervals are multiples of this, in seconds.
GRID_S = 0.05


class _Check(msgspec.Struct):
    """A task that waits for a condition, which is checked every `steps`."""

    condition: Callable[[], bool]
    steps: int
    future: asyncio.Future[None]


class Ticker:
    """The grid of one process; used within one event loop."""

    __slots__ = ("_phase_s", "_waiting", "_checks")

    def __init__(self, phase_s: float = 0.0):
        """Initializes the ticker.

        Args:
          phase_s: Shifts the grid, in seconds. Less than the longest interval
            spreads processes over a part of it only.
        """
        self._phase_s = phase_s
        # What waits for each moment of the grid.
        self._waiting: dict[int, list[asyncio.Future[None]]] = {}
        # What is checked at each moment.
        self._checks: dict[int, list[_Check]] = {}

    async def wait(self, interval_s: float) -> None:
        """Waits for the next moment of the grid that is due.

        Args:
          interval_s: A multiple of `GRID_S`. The wait is at most this long, and
            exactly this long if the last one ended just now.
        """
        loop = event_loop.running()
        due = self._next(loop, max(1, round(interval_s / GRID_S)))
        future: asyncio.Future[None] = loop.create_future()
        self._waiting[due].append(future)
        await future

    async def wait_until(
        self, condition: Callable[[], bool], interval_s: float
    ) -> None:
        """Waits for the first moment of the grid at which a condition holds.

        The same as a loop around `wait`, but the waiting task is not woken for
        a check: that costs several times what most conditions do.

        Args:
          condition: Checked after the tasks that wait for the same moment have
            taken their steps. What it raises is raised here.
          interval_s: A multiple of `GRID_S`, between two checks.
        """
        loop = event_loop.running()
        steps = max(1, round(interval_s / GRID_S))
        check = _Check(condition, steps, loop.create_future())
        self._checks[self._next(loop, steps)].append(check)
        await check.future

    def _next(self, loop: asyncio.AbstractEventLoop, steps: int) -> int:
        """Returns the next multiple of `steps`; sets its timer if it has none.

        The loop may wake slightly early.
        """
        now = (loop.time() - self._phase_s) / GRID_S
        due = (math.floor((now + 0.001) / steps) + 1) * steps
        if due not in self._waiting:
            self._waiting[due] = []
            self._checks[due] = []
            loop.call_at(self._phase_s + due * GRID_S, self._wake, due)
        return due

    def _wake(self, due: int) -> None:
        for future in self._waiting.pop(due):
            if not future.done():
                future.set_result(None)
        checks = self._checks.pop(due)
        if checks:
            # After the steps of the tasks that were just woken.
            event_loop.running().call_soon(self._check, checks)

    def _check(self, checks: list[_Check]) -> None:
        loop = event_loop.running()
        for check in checks:
            if check.future.done():
                continue
            try:
                is_due = check.condition()
            except Exception as error:
                check.future.set_exception(error)
                continue
            if is_due:
                check.future.set_result(None)
            else:
                self._checks[self._next(loop, check.steps)].append(check)
