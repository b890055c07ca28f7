"""Runs a tool and stops the processes that it started when it ends.

The processes of a deployment have their own sessions, so that an interrupt at
the terminal reaches the tool alone, which stops them in order. A tool that a
signal terminates before that leaves all of them running: SIGHUP from a closed
terminal, a signal while processes are still being started, or a second signal
during the stop. So the first signal raises an exception, deferred while a
process is being started or stopped, and later signals are ignored.

SIGKILL can't be handled: the processes then have to be killed by their ids.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import signal

from sesamecross.devtools import deployment as deployment_lib
from sesamecross.runtime import signals

# A shell reports a process that signal n ended as 128 + n.
SIGNAL_EXIT_BASE = 128


class StopRequested(BaseException):
    """A signal requests a stop. `except Exception` does not catch it."""

    def __init__(self, number: int):
        super().__init__(signal.Signals(number).name)
        self.number = number


class Runner:
    """Handles the signals of a tool and owns its deployments."""

    __slots__ = ("_requested_signal", "_defer_depth", "_deployments")

    def __init__(self) -> None:
        self._requested_signal: int | None = None
        self._defer_depth = 0
        self._deployments: list[deployment_lib.Deployment] = []

    def run(self, tool: Callable[["Runner"], int]) -> int:
        """Runs a tool to its end; returns its exit code.

        A signal raises `StopRequested` in the tool, which may catch it to
        report what it stopped. Otherwise the exit code is 128 plus the number
        of the signal.
        """
        signals.install_cli_handler(self._on_signal)
        try:
            try:
                return tool(self)
            finally:
                self._stop_all()
        except StopRequested as request:
            # The signal may have interrupted the stop above before signals were
            # deferred. No second exception follows, so this stop completes.
            self._stop_all()
            return SIGNAL_EXIT_BASE + request.number

    def deployment(
        self, spec: deployment_lib.DeploymentSpec, work_dir: pathlib.Path
    ) -> deployment_lib.Deployment:
        """Creates a deployment, which is stopped when the tool ends."""
        deployment = deployment_lib.Deployment(
            spec, work_dir, self._defer_signals
        )
        self._deployments.append(deployment)
        return deployment

    def _stop_all(self) -> None:
        for deployment in self._deployments:
            deployment.stop()

    def _on_signal(self, number: int, _frame: object) -> None:
        if self._requested_signal is not None:
            # The tool is already stopping.
            return
        self._requested_signal = number
        if not self._defer_depth:
            raise StopRequested(number)

    @contextlib.contextmanager
    def _defer_signals(self) -> Iterator[None]:
        """Defers a signal until the block has ended."""
        was_requested = self._requested_signal is not None
        self._defer_depth += 1
        try:
            yield
        finally:
            self._defer_depth -= 1
        if (
            self._requested_signal is not None
            and not was_requested
            and not self._defer_depth
        ):
            raise StopRequested(self._requested_signal)
