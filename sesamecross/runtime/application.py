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
from sesamecross.runtime import signal_log
from sesamecross.runtime import signal_wakeup
from sesamecross.runtime import signals
from sesamecross.runtime import supervisor

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_FORCED = 3
# What asked for an end, where it was no signal.
FAILURE = "a failure"

Phase = signal_log.Phase


def exit_code_without_start(pending_signals: signals.PendingSignals) -> int:
    """Returns the exit code of a process that has no settings to start with.

    One that was told to stop meanwhile has not failed.
    """
    return EXIT_OK if pending_signals.is_stop_requested else EXIT_FAILED


class Hooks(Protocol):
    """What a kind of process brings."""

    def components(self) -> list[supervisor.Component]:
        """Returns the components in the order of their start."""

    async def drain(self) -> None:
        """Finishes open work before the components stop."""


@runtime_checkable
class Reloadable(Protocol):
    """Hooks of a process whose settings can change while it runs."""

    def reload(self) -> None:
        """Looks at the settings again; may be called before the start."""


class Application:
    """Runs one process until a signal or a failure."""

    __slots__ = (
        "_asked_by",
        "_hooks",
        "_pending_signals",
        "_interrupts",
        "_log",
        "_phase",
        "_signal_log",
        "_stopping",
    )

    def __init__(self, hooks: Hooks, pending_signals: signals.PendingSignals):
        self._hooks = hooks
        self._pending_signals = pending_signals
        self._log = logs.get_logger("application")
        self._signal_log = signal_log.SignalLog(self._log)
        self._phase = Phase.BEFORE_START
        self._interrupts = 0
        self._asked_by = ""
        self._stopping: asyncio.Event | None = None

    def run(self) -> int:
        """Runs to the end; returns the exit code."""
        return asyncio.run(self._run())

    async def _run(self) -> int:
        self._stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        with signal_wakeup.notify_on_signal(loop, self._take_signals):
            # Those that came before the loop ran.
            self._take_signals()
            code = EXIT_OK
            if not self._stopping.is_set():
                code = await self._live()
            self._phase = Phase.STOPPED
            # The loop's close would wait for jobs in threads too, but when
            # nobody looks at signals any more and for as long as they take.
            await loop.shutdown_default_executor()
            self._tell_end(code)
        return code

    async def _live(self) -> int:
        try:
            tree = supervisor.Supervisor(self._hooks.components())
            tree.start()
        except Exception:
            self._log.exception("not started")
            self._asked_by = FAILURE
            return EXIT_FAILED
        self._phase = Phase.RUNNING
        self._log.info("started", pid=os.getpid())
        stopping = asyncio.create_task(self._stopping.wait())
        failed = asyncio.create_task(tree.wait_for_failure())
        await asyncio.wait(
            [stopping, failed], return_when=asyncio.FIRST_COMPLETED
        )
        self._phase = Phase.STOPPING
        code = EXIT_OK
        if failed.done():
            self._log.error("failed", reason=repr(failed.exception()))
            self._asked_by = FAILURE
            code = EXIT_FAILED
        # Also where a part failed: the others still serve what is open.
        code = max(code, await self._drain())
        await tree.stop()
        for task in (stopping, failed):
            task.cancel()
        return code

    async def _drain(self) -> int:
        try:
            await self._hooks.drain()
        except Exception:
            # The components still have to stop in their order.
            self._log.exception("drain failed")
            return EXIT_FAILED
        return EXIT_OK

    def _tell_end(self, code: int) -> None:
        self._log.info(
            "stopped",
            pid=os.getpid(),
            code=code,
            asked_by=self._asked_by,
            signals=self._signal_log.received,
        )

    def _take_signals(self) -> None:
        for number, count in self._pending_signals.take().items():
            match number:
                case signal.SIGTERM | signal.SIGINT:
                    self._on_stop(number, count)
                case signal.SIGHUP:
                    self._on_reload(number, count)
                case _:
                    self._tell("signal ignored", number, count, "nothing")

    def _tell(
        self, event: str, number: signal.Signals, count: int, action: str
    ) -> None:
        self._signal_log.tell(event, number, count, self._phase, action)

    def _on_reload(self, number: signal.Signals, count: int) -> None:
        event = "reload requested"
        if not isinstance(self._hooks, Reloadable):
            self._tell(event, number, count, "nothing, no settings to take in")
            return
        if self._phase is Phase.STOPPED:
            self._tell(event, number, count, "nothing, has stopped")
            return
        self._tell(event, number, count, "looks at the settings")
        try:
            self._hooks.reload()
        except Exception:
            # The old settings serve on; the process must not end.
            self._log.exception("reload failed")

    def _on_stop(self, number: signal.Signals, count: int) -> None:
        is_cut = False
        if number == signal.SIGINT:
            self._interrupts += count
            # Before the start there is nothing to cut short.
            has_begun = self._phase is not Phase.BEFORE_START
            is_cut = has_begun and self._interrupts > 1
        action = "stops already"
        if is_cut:
            action = "stops at once"
        elif self._phase is Phase.BEFORE_START:
            action = "starts nothing"
        elif not self._stopping.is_set():
            action = "stops"
        self._asked_by = self._asked_by or number.name
        self._stopping.set()
        self._tell("stop requested", number, count, action)
        if is_cut:
            # Somebody wants the process gone now. Claims that are open stay
            # open on the log and are reported as unknown, never run again.
            self._log.warning("second signal, stopping at once")
            self._asked_by = f"second {number.name}"
            self._tell_end(EXIT_FORCED)
            os._exit(EXIT_FORCED)
