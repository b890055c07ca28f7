"""The application object: owns a process's life from start to exit code.

Why: signals, start, stop order and the exit code are the same in every
process. The first signal begins a graceful stop; a second one cuts it short.
SIGHUP stops nothing: processes that can take new settings in do so.
"""

import asyncio
import os
import signal
from typing import Protocol
from typing import runtime_checkable

from sesamecross.runtime import logs
from sesamecross.runtime import supervisor

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_CUT_SHORT = 3


class Hooks(Protocol):
    """What a kind of process brings."""

    def components(self) -> list[supervisor.Component]:
        """Returns the components in the order of their start."""

    async def drain(self) -> None:
        """Finishes open work before the components stop."""


@runtime_checkable
class Reloads(Protocol):
    """Hooks of a process whose settings can change while it runs."""

    def reload(self) -> None:
        """Looks at the settings again."""


class Application:
    """Runs one process until a signal or a failure."""

    __slots__ = ("_hooks", "_log", "_signals", "_stopping")

    def __init__(self, hooks: Hooks):
        self._hooks = hooks
        self._log = logs.part("application")
        self._signals = 0
        self._stopping: asyncio.Event | None = None

    def run(self) -> int:
        """Runs to the end; returns the exit code."""
        return asyncio.run(self._run())

    async def _run(self) -> int:
        self._stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        # Without a handler this signal would end the process.
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        tree = supervisor.Supervisor(self._hooks.components())
        tree.start()
        self._log.info("started", pid=os.getpid())
        stopping = asyncio.create_task(self._stopping.wait())
        failed = asyncio.create_task(tree.failed())
        await asyncio.wait(
            [stopping, failed], return_when=asyncio.FIRST_COMPLETED
        )
        code = EXIT_OK
        if failed.done():
            self._log.error("failed", reason=repr(failed.exception()))
            code = EXIT_FAILED
        else:
            await self._hooks.drain()
        await tree.stop()
        for task in (stopping, failed):
            task.cancel()
        self._log.info("stopped", code=code)
        return code

    def _on_reload(self) -> None:
        self._log.info("reload requested")
        if isinstance(self._hooks, Reloads):
            self._hooks.reload()

    def _on_signal(self) -> None:
        self._signals += 1
        if self._signals > 1:
            # Somebody wants the process gone now. Claims that are open stay
            # open on the log and are reported as unknown, never run again.
            self._log.warning("second signal, stopping at once")
            os._exit(EXIT_CUT_SHORT)
        self._log.info("stop requested")
        self._stopping.set()
