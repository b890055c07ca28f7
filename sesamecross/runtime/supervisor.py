"""Supervisor for the components of one process.

A component that fails for a transient reason, such as a connection reset, is
restarted with exponential backoff while the others keep running. One that keeps
failing ends the process, so that the platform replaces it instead of keeping a
half-working process that still answers health checks. Helpers are exempt:
callers are served without them, and ending the process would cut off all
callers.
"""

import asyncio
from typing import Protocol

import msgspec

from sesamecross.runtime import logs

MAX_RESTARTS = 10
RESTART_WINDOW_S = 30.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
CANCEL_RETRY_S = 0.2


class Component(Protocol):
    """A part of a process that runs as its own task.

    A component with a true `is_vital` is not restarted: its failure ends the
    process. One with a true `is_helper` is restarted however often it fails:
    callers are served without it, and a new process would repair nothing that a
    restart of the component doesn't.
    """

    @property
    def name(self) -> str:
        """The prefix of its log lines."""

    async def run(self) -> None:
        """Runs until cancelled. A component that returns is not restarted."""

    async def stop(self) -> None:
        """Finishes open work; called once, before `run` is cancelled."""


class Clock(Protocol):
    """Clock for restart windows and backoff; replaced in tests."""

    @property
    def now_s(self) -> float:
        """Monotonic time."""

    async def sleep(self, seconds: float) -> None:
        """Lets time pass."""


class EventLoopClock:
    """The event loop's clock."""

    __slots__ = ()

    @property
    def now_s(self) -> float:
        """Monotonic time."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Lets time pass."""
        await asyncio.sleep(seconds)


class ComponentFailed(Exception):
    """A component failed and is not restarted."""


class _Child(msgspec.Struct):
    component: Component
    task: asyncio.Task | None = None
    failures: list[float] = msgspec.field(default_factory=list)


class Supervisor:
    """Starts components in order, restarts them, and stops them in reverse."""

    __slots__ = ("_children", "_time", "_log", "_failed")

    def __init__(self, components: list[Component], time: Clock | None = None):
        self._time = time or EventLoopClock()
        self._children = [_Child(component) for component in components]
        self._log = logs.get_logger("supervisor")
        self._failed: asyncio.Future | None = None

    def start(self) -> None:
        """Starts all components."""
        self._failed = asyncio.get_running_loop().create_future()
        for child in self._children:
            child.task = asyncio.create_task(
                self._run_with_restarts(child), name=child.component.name
            )

    async def wait_for_failure(self) -> None:
        """Waits until a component is given up, and raises the cause."""
        await self._failed

    async def stop(self) -> None:
        """Stops all components in reverse startup order."""
        for child in reversed(self._children):
            try:
                await child.component.stop()
            except Exception:
                self._log.exception(
                    "component did not stop cleanly",
                    component=child.component.name,
                )
            if child.task is not None:
                await _cancel_until_done(child.task)

    async def _run_with_restarts(self, child: _Child) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            started_s = self._time.now_s
            try:
                await child.component.run()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                if not self._may_restart(child):
                    self._give_up(child, error)
                    return
                if self._time.now_s - started_s >= RESTART_WINDOW_S:
                    # It ran long enough: resets the backoff.
                    backoff_s = INITIAL_BACKOFF_S
                self._log.exception(
                    "component failed, restarting it",
                    component=child.component.name,
                    pause_s=backoff_s,
                )
            await self._time.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    def _may_restart(self, child: _Child) -> bool:
        if getattr(child.component, "is_vital", False):
            return False
        if getattr(child.component, "is_helper", False):
            return True
        now = self._time.now_s
        child.failures = [
            failed_s
            for failed_s in child.failures
            if now - failed_s < RESTART_WINDOW_S
        ]
        child.failures.append(now)
        return len(child.failures) <= MAX_RESTARTS

    def _give_up(self, child: _Child, error: Exception) -> None:
        self._log.error(
            "component failed, giving up", component=child.component.name
        )
        if not self._failed.done():
            failure = ComponentFailed(child.component.name)
            failure.__cause__ = error
            self._failed.set_exception(failure)


async def _cancel_until_done(task: asyncio.Task) -> None:
    """Cancels a task repeatedly until it has ended.

    Python 3.11 loses a cancellation that arrives at the moment in which
    `asyncio.wait_for` gets its result; the task would then run forever.
    """
    while not task.done():
        task.cancel()
        await asyncio.wait([task], timeout=CANCEL_RETRY_S)
