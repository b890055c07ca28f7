"""Runs a process from start to exit code: signals, startup and shutdown.

Signal handling, startup and shutdown order and exit codes are the same in
every process. SIGTERM or SIGINT starts a graceful shutdown. Stop requests are
idempotent, since the platform and an operator may both send one for the same
stop. Only a second SIGINT, as sent by somebody at a terminal who wants the
process gone, forces an immediate exit. SIGHUP reloads the settings in
processes that support it. The signals of log rotation tools (SIGUSR1, SIGUSR2)
are logged and ignored.
"""

import asyncio
import os
import signal
from typing import Protocol
from typing import runtime_checkable

from sesamecross.runtime import logs
from sesamecross.runtime import process_memory
from sesamecross.runtime import signal_log
from sesamecross.runtime import signal_wakeup
from sesamecross.runtime import signals
from sesamecross.runtime import supervisor

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_FORCED = 3
# Value of `asked_by` in the last log line if no signal caused the stop.
FAILURE = "a failure"

Phase = signal_log.Phase


def exit_code_without_start(pending_signals: signals.PendingSignals) -> int:
    """Returns the exit code of a process that could not load its settings.

    A stop requested while it waited for them is not a failure.
    """
    return EXIT_OK if pending_signals.is_stop_requested else EXIT_FAILED


class Hooks(Protocol):
    """Process-specific components and drain logic."""

    def components(self) -> list[supervisor.Component]:
        """Returns the components in startup order."""

    async def drain(self) -> None:
        """Finishes open requests before the components are stopped."""


@runtime_checkable
class Reloadable(Protocol):
    """Hooks of a process that can reload its settings while it runs."""

    def reload(self) -> None:
        """Reloads the settings; may be called before startup."""


class Application:
    """Runs one process until a signal or a failure stops it."""

    __slots__ = (
        "_stop_cause",
        "_hooks",
        "_pending_signals",
        "_interrupt_count",
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
        self._interrupt_count = 0
        self._stop_cause = ""
        self._stopping: asyncio.Event | None = None

    def run(self) -> int:
        """Runs until the process has stopped; returns the exit code."""
        process_memory.map_large_blocks()
        return asyncio.run(self._run())

    async def _run(self) -> int:
        self._stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        with signal_wakeup.notify_on_signal(loop, self._handle_signals):
            # Signals that arrived before the loop ran.
            self._handle_signals()
            code = EXIT_OK
            if not self._stopping.is_set():
                code = await self._run_components()
            self._phase = Phase.STOPPED
            # Closing the loop would also wait for the executor's threads, but
            # without a time limit and after signals are no longer handled.
            await loop.shutdown_default_executor()
            self._log_stopped(code)
        return code

    async def _run_components(self) -> int:
        try:
            tree = supervisor.Supervisor(self._hooks.components())
            tree.start()
        except Exception:
            self._log.exception("startup failed")
            self._stop_cause = FAILURE
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
            self._stop_cause = FAILURE
            code = EXIT_FAILED
        # Also after a component failed: the others still serve open requests.
        code = max(code, await self._drain())
        await tree.stop()
        for task in (stopping, failed):
            task.cancel()
        return code

    async def _drain(self) -> int:
        try:
            await self._hooks.drain()
        except Exception:
            # The components must still be stopped in order.
            self._log.exception("drain failed")
            return EXIT_FAILED
        return EXIT_OK

    def _log_stopped(self, code: int) -> None:
        self._log.info(
            "stopped",
            pid=os.getpid(),
            code=code,
            asked_by=self._stop_cause,
            signals=self._signal_log.received,
        )

    def _handle_signals(self) -> None:
        for number, count in self._pending_signals.take().items():
            match number:
                case signal.SIGTERM | signal.SIGINT:
                    self._on_stop(number, count)
                case signal.SIGHUP:
                    self._on_reload(number, count)
                case _:
                    self._log_signal("signal ignored", number, count, "nothing")

    def _log_signal(
        self, event: str, number: signal.Signals, count: int, action: str
    ) -> None:
        self._signal_log.log_signal(event, number, count, self._phase, action)

    def _on_reload(self, number: signal.Signals, count: int) -> None:
        event = "reload requested"
        if not isinstance(self._hooks, Reloadable):
            self._log_signal(
                event, number, count, "nothing, settings can't be reloaded"
            )
            return
        if self._phase is Phase.STOPPED:
            self._log_signal(event, number, count, "nothing, already stopped")
            return
        self._log_signal(event, number, count, "reloads the settings")
        try:
            self._hooks.reload()
        except Exception:
            # The old settings stay in use; the process must not exit.
            self._log.exception("reload failed")

    def _on_stop(self, number: signal.Signals, count: int) -> None:
        is_forced = False
        if number == signal.SIGINT:
            self._interrupt_count += count
            # Before startup there is no shutdown to interrupt.
            has_started = self._phase is not Phase.BEFORE_START
            is_forced = has_started and self._interrupt_count > 1
        action = "already stopping"
        if is_forced:
            action = "exits immediately"
        elif self._phase is Phase.BEFORE_START:
            action = "does not start"
        elif not self._stopping.is_set():
            action = "stops"
        self._stop_cause = self._stop_cause or number.name
        self._stopping.set()
        self._log_signal("stop requested", number, count, action)
        if is_forced:
            # Exits without a drain. Open claims stay open on the log and are
            # reported as unknown; they are never executed again.
            self._log.warning("second interrupt, exiting immediately")
            self._stop_cause = f"second {number.name}"
            self._log_stopped(EXIT_FORCED)
            os._exit(EXIT_FORCED)
