"""A supervisor for the components of one process.

Why: a component that fails on something passing, such as a reset, is started
again with growing pauses while the others go on; one that keeps failing
takes the process down, so that the platform replaces it instead of leaving
half a process that answers health checks. Not so a helper, without which
callers are served: the end of the process would cut off all of them.
"""

import asyncio
import dataclasses
from typing import Protocol

from sesamecross.runtime import logs

MAX_RESTARTS = 10
RESTART_WINDOW_S = 30.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
CANCEL_RETRY_S = 0.2


class Component(Protocol):
    """A part of a process with a life of its own.

    One with a true `is_vital` is not started again: its failure ends the
    process. One with a true `is_helper` is started again however often it
    fails: callers are served without it, and a new process would mend nothing
    that a new start of the component doesn't.
    """

    @property
    def name(self) -> str:
        """The prefix of its logs."""

    async def run(self) -> None:
        """Works until cancelled. Returning early counts as done."""

    async def stop(self) -> None:
        """Finishes what was begun; called once before `run` is cancelled."""


class Clock(Protocol):
    """The time by which restarts are counted, and how it passes."""

    @property
    def now_s(self) -> float:
        """Monotonic time."""

    async def sleep(self, seconds: float) -> None:
        """Lets time pass."""


class EventLoopClock:
    """The event loop's time."""

    __slots__ = ()

    @property
    def now_s(self) -> float:
        """Monotonic time."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Lets time pass."""
        await asyncio.sleep(seconds)


class ComponentFailed(Exception):
    """A component failed more often than a restart can help."""


@dataclasses.dataclass(slots=True)
class _Child:
    component: Component
    task: asyncio.Task | None = None
    failures: list[float] = dataclasses.field(default_factory=list)


class Supervisor:
    """Starts components in order, restarts them, stops them in reverse."""

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
                self._keep_running(child), name=child.component.name
            )

    async def wait_for_failure(self) -> None:
        """Waits until a component is given up, and raises why."""
        await self._failed

    async def stop(self) -> None:
        """Stops all components, the last one started first."""
        for child in reversed(self._children):
            try:
                await child.component.stop()
            except Exception:
                self._log.exception(
                    "component did not stop cleanly",
                    component=child.component.name,
                )
            if child.task is not None:
                await _cancelled(child.task)

    async def _keep_running(self, child: _Child) -> None:
        pause = INITIAL_BACKOFF_S
        while True:
            begun_s = self._time.now_s
            try:
                await child.component.run()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                if not self._may_restart(child):
                    self._give_up(child, error)
                    return
                if self._time.now_s - begun_s >= RESTART_WINDOW_S:
                    # It ran well: what failed before is over.
                    pause = INITIAL_BACKOFF_S
                self._log.exception(
                    "component failed and is started again",
                    component=child.component.name,
                    pause_s=pause,
                )
            await self._time.sleep(pause)
            pause = min(pause * 2, MAX_BACKOFF_S)

    def _may_restart(self, child: _Child) -> bool:
        if getattr(child.component, "is_vital", False):
            return False
        if getattr(child.component, "is_helper", False):
            return True
        now = self._time.now_s
        child.failures = [
            at for at in child.failures if now - at < RESTART_WINDOW_S
        ]
        child.failures.append(now)
        return len(child.failures) <= MAX_RESTARTS

    def _give_up(self, child: _Child, error: Exception) -> None:
        self._log.error("component is given up", component=child.component.name)
        if not self._failed.done():
            failure = ComponentFailed(child.component.name)
            failure.__cause__ = error
            self._failed.set_exception(failure)


async def _cancelled(task: asyncio.Task) -> None:
    """Cancels a task until it has ended.

    A cancellation that comes at the moment in which `asyncio.wait_for` gets
    its result is lost in Python 3.11, and the task would go on for ever.
    """
    while not task.done():
        task.cancel()
        await asyncio.wait([task], timeout=CANCEL_RETRY_S)
