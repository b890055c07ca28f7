"""The application object: owns a process's life from start to exit code.

Why: signals, start, stop order and the exit code are the same in every
process. SIGTERM or SIGINT begins a graceful stop. Asking for a stop is
idempotent: the platform and operators may each ask for the same one. Only a
second SIGINT, of somebody at a terminal who wants the process gone, cuts it
short. SIGHUP stops nothing: processes that can take new settings in do so. The
signals of tools that rotate logs are told and ignored.
"""

import asyncio
import os
import signal
from typing import Protocol
from typing import runtime_checkable

from sesamecross.runtime import logs
from sesamecross.runtime import signal_watch
from sesamecross.runtime import signals
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
        """Looks at the settings again; may be called before the start."""


class Application:
    """Runs one process until a signal or a failure."""

    __slots__ = ("_hooks", "_inbox", "_log", "_interrupts", "_stopping")

    def __init__(self, hooks: Hooks, inbox: signals.Inbox):
        self._hooks = hooks
        self._inbox = inbox
        self._log = logs.part("application")
        self._interrupts = 0
        self._stopping: asyncio.Event | None = None

    def run(self) -> int:
        """Runs to the end; returns the exit code."""
        return asyncio.run(self._run())

    async def _run(self) -> int:
        self._stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        with signal_watch.watching(loop, self._take_signals):
            # Those that came before the loop ran.
            self._take_signals()
            code = EXIT_OK
            if not self._stopping.is_set():
                code = await self._live()
            # The loop's close would wait for jobs in threads too, but when
            # nobody looks at signals any more and for as long as they take.
            await loop.shutdown_default_executor()
            self._log.info("stopped", code=code)
        return code

    async def _live(self) -> int:
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
        return code

    def _take_signals(self) -> None:
        for number, count in self._inbox.take().items():
            match number:
                case signal.SIGTERM | signal.SIGINT:
                    self._on_stop(number, count)
                case signal.SIGHUP:
                    self._on_reload()
                case _:
                    self._log.info("signal ignored", signal=number.name)

    def _on_reload(self) -> None:
        self._log.info("reload requested")
        if isinstance(self._hooks, Reloads):
            try:
                self._hooks.reload()
            except Exception:
                # The old settings serve on; the process must not end.
                self._log.exception("reload failed")

    def _on_stop(self, number: signal.Signals, count: int) -> None:
        if number == signal.SIGINT:
            self._interrupts += count
        if self._interrupts > 1:
            # Somebody wants the process gone now. Claims that are open stay
            # open on the log and are reported as unknown, never run again.
            self._log.warning("second signal, stopping at once")
            os._exit(EXIT_CUT_SHORT)
        self._log.info("stop requested")
        self._stopping.set()
