"""Catches signals from the first import of a process until it exits.

The platform and operators may send a signal at any time. A signal without a
handler ends the process by its default action, which aborts all requests that
it serves. The handlers are therefore installed before any slow import, and the
signals are kept as pending until the application handles them.

The startup of the interpreter itself, before the first line of a program, is
not covered: no handler can be installed then. It lasts 17 to 23 ms for a bare
interpreter and 24 to 36 ms in a virtual environment, measured from outside by
signals sent 1 or 2 ms later at each start.

Neither this module nor the packages that contain it import anything slow.
"""

from collections.abc import Callable
import signal

# Signals that the platform, operators and their tools send in normal operation.
# SIGQUIT is not among them, so that it still ends a process that hangs.
HANDLED_SIGNALS = (
    signal.SIGTERM,
    signal.SIGINT,
    signal.SIGHUP,
    # Sent by log rotation tools.
    signal.SIGUSR1,
    signal.SIGUSR2,
)
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Signals that stop a command-line tool. SIGHUP means that its terminal closed.
CLI_STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


class PendingSignals:
    """Counts the signals that arrived and have not been handled yet.

    Python's signal handlers, which run in the main thread, do the counting. A
    counter for each signal can't overflow, unlike a buffer of single signals
    when a flood of one of them arrives before the application runs.
    """

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts = _zero_counts()

    @classmethod
    def install(cls) -> "PendingSignals":
        """Installs the handlers; returns the object that counts signals."""
        pending_signals = cls()
        for number in HANDLED_SIGNALS:
            signal.signal(number, pending_signals._on_signal)
            # System calls of libraries are restarted, not interrupted.
            signal.siginterrupt(number, False)
        # A process inherits its parent's signal mask. A blocked signal is never
        # delivered, and a stop request would end in SIGKILL.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        return pending_signals

    @property
    def is_stop_requested(self) -> bool:
        """Whether a stop request is pending."""
        return any(self._counts[number] for number in _STOP_SIGNALS)

    def take(self) -> dict[signal.Signals, int]:
        """Returns the number of arrivals by signal, and resets the counts."""
        counts, self._counts = self._counts, _zero_counts()
        return {number: count for number, count in counts.items() if count}

    def ignore_all(self) -> None:
        """Ignores the handled signals until the process has exited.

        The interpreter removes Python handlers before it exits, and the default
        action of a signal would then change the exit code. An ignored signal
        stays ignored. Signals are no longer counted from here on.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, _frame: object) -> None:
        # There is no call between reading and writing the count, so no other
        # signal's handler can run in between.
        self._counts[number] += 1


def _zero_counts() -> dict[signal.Signals, int]:
    return dict.fromkeys(HANDLED_SIGNALS, 0)


def run_with_deferred_signals(program: Callable[[PendingSignals], int]) -> int:
    """Runs a program with its signals kept pending until it handles them.

    A script calls this first and does its imports in `program`: they take 0.2
    to 0.35 s, during which signals must already be caught.

    Returns:
      The exit code that `program` returns.
    """
    pending_signals = PendingSignals.install()
    try:
        return program(pending_signals)
    finally:
        pending_signals.ignore_all()


def install_cli_handler(handler: Callable[[int, object], None]) -> None:
    """Installs a command-line tool's handler for the signals that stop it.

    SIGHUP stays ignored if it was ignored at startup, as by `nohup`, so that
    the tool outlives its terminal.
    """
    for number in CLI_STOP_SIGNALS:
        is_ignored = signal.getsignal(number) is signal.SIG_IGN
        if number != signal.SIGHUP or not is_ignored:
            signal.signal(number, handler)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, CLI_STOP_SIGNALS)
