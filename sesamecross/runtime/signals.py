"""Holds the planned signals of a process, from its first import to its end.

Why: the platform and operators send signals at any age of a process. Where a
signal has no handler its default action ends the process and cuts off all
requests that it serves. So the signals are caught before anything that takes
time is imported, and kept until the application asks for them.

What is left open is the start of the interpreter itself, before the first
line of a program, where nothing of ours can catch a signal. Measured from
outside, by signals that came 1 or 2 ms later from start to start, it lasts
17 to 23 ms for a bare interpreter and 24 to 36 ms in a virtual environment.

This module imports nothing that takes time, and neither do the packages that
it is in.
"""

from collections.abc import Callable
import signal

# What the platform, operators and their tools send as a matter of course.
# SIGQUIT is left out: it stays the way to get rid of a process that hangs.
HANDLED_SIGNALS = (
    signal.SIGTERM,
    signal.SIGINT,
    signal.SIGHUP,
    # Tools that rotate logs send these.
    signal.SIGUSR1,
    signal.SIGUSR2,
)
_STOPS = (signal.SIGTERM, signal.SIGINT)
# What asks a tool at a terminal to stop; the last one as it is closed.
CLI_STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


class PendingSignals:
    """The signals that came and that nobody has taken yet.

    They are counted by Python's own handlers, which run in the main thread.
    A count by signal can't overflow, as a buffer of single signals could when
    a flood of one of them comes before the application runs.
    """

    __slots__ = ("_arrived",)

    def __init__(self) -> None:
        self._arrived = _none_arrived()

    @classmethod
    def open(cls) -> "PendingSignals":
        """Returns an inbox that from now on gets the planned signals."""
        pending_signals = cls()
        for number in HANDLED_SIGNALS:
            signal.signal(number, pending_signals._on_signal)
            # Calls that are under way in libraries go on.
            signal.siginterrupt(number, False)
        # A process inherits what its parent had blocked; blocked signals wait
        # for ever, and a stop would end with the kill.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        return pending_signals

    @property
    def is_stop_requested(self) -> bool:
        """Whether a stop was asked for that nobody has taken yet."""
        return any(self._arrived[number] for number in _STOPS)

    def take(self) -> dict[signal.Signals, int]:
        """Returns how often each signal came since this was last asked."""
        arrived, self._arrived = self._arrived, _none_arrived()
        return {number: count for number, count in arrived.items() if count}

    def close(self) -> None:
        """Has the planned signals ignored until the process is gone.

        The interpreter takes handlers of its own kind away before it ends,
        and the default action would then change the exit code. What is
        ignored stays ignored. The signals leave no trace from here on.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, _frame: object) -> None:
        # No call between reading and writing the count: another signal's
        # handler can't come between them.
        self._arrived[number] += 1


def _none_arrived() -> dict[signal.Signals, int]:
    return dict.fromkeys(HANDLED_SIGNALS, 0)


def run_with_deferred_signals(body: Callable[[PendingSignals], int]) -> int:
    """Runs a program while its signals are held.

    A script calls this first and imports what it runs in `body`: the imports
    take 0.2 to 0.35 s, in which signals have to be held already.

    Returns:
      The exit code that `body` returns.
    """
    pending_signals = PendingSignals.open()
    try:
        return body(pending_signals)
    finally:
        pending_signals.close()


def install_cli_handler(handler: Callable[[int, object], None]) -> None:
    """Has a tool's handler called for what asks it to stop.

    A closed terminal stops no tool that was started to outlive it: who
    started it had the signal ignored then, as `nohup` does, and so it stays.
    """
    for number in CLI_STOP_SIGNALS:
        is_ignored = signal.getsignal(number) is signal.SIG_IGN
        if number != signal.SIGHUP or not is_ignored:
            signal.signal(number, handler)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, CLI_STOP_SIGNALS)
