"""Runs a tool so that nothing it started outlives it.

Why: the processes of a deployment are sessions of their own, so that an
interrupt at the terminal reaches the tool alone, which stops them in order.
A tool that a signal ends before that leaves all of them running for ever:
a closed terminal (SIGHUP), a signal while processes are still being started,
or a second one in the middle of the stop. Here each of these signals becomes
one exception, once, never while a process is being started or stopped.

SIGKILL can't be handled: what was started goes on then, and has to be ended
by its ids.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import signal

from sesamecross.devtools import deployment as deployment_lib
from sesamecross.runtime import signals

# A shell's code for "ended by signal n".
SIGNAL_EXIT_BASE = 128


class StopRequested(BaseException):
    """A signal asks the tool to stop. No `except Exception` takes it."""

    def __init__(self, number: int):
        super().__init__(signal.Signals(number).name)
        self.number = number


class Runner:
    """Owns a tool's signals and the deployments that it starts."""

    __slots__ = ("_asked", "_holds", "_deployments")

    def __init__(self) -> None:
        self._asked: int | None = None
        self._holds = 0
        self._deployments: list[deployment_lib.Deployment] = []

    def run(self, tool: Callable[["Runner"], int]) -> int:
        """Runs a tool to its end; returns its exit code.

        A signal raises `StopAsked` in the tool, which may take it to report
        what it stopped; otherwise the code is 128 and the signal's number.
        """
        signals.install_cli_handler(self._on_signal)
        try:
            try:
                return tool(self)
            finally:
                self._stop_all()
        except StopRequested as asked:
            # It may have come in the stop above, before anything held it.
            # There is no second one, so this stop goes to its end.
            self._stop_all()
            return SIGNAL_EXIT_BASE + asked.number

    def deployment(
        self, spec: deployment_lib.DeploymentSpec, work_dir: pathlib.Path
    ) -> deployment_lib.Deployment:
        """Returns a deployment that is stopped with the tool at the latest."""
        one = deployment_lib.Deployment(spec, work_dir, self._defer_signals)
        self._deployments.append(one)
        return one

    def _stop_all(self) -> None:
        for one in self._deployments:
            one.stop()

    def _on_signal(self, number: int, _frame: object) -> None:
        if self._asked is not None:
            # The tool is on its way out already.
            return
        self._asked = number
        if not self._holds:
            raise StopRequested(number)

    @contextlib.contextmanager
    def _defer_signals(self) -> Iterator[None]:
        """Keeps a signal back until what is inside is whole."""
        was_asked = self._asked is not None
        self._holds += 1
        try:
            yield
        finally:
            self._holds -= 1
        if self._asked is not None and not was_asked and not self._holds:
            raise StopRequested(self._asked)
