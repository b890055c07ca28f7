"""Loads the settings at startup, with retries while they can't be read.

The platform writes the settings file at each start and whenever the settings
change, so a process may start while its file is missing or half written.
Exiting then would cost a second start and look like a crash. An error that
persists is reported as usual, only later.
"""

from collections.abc import Callable
import sys
import time
from typing import TypeVar

from returns.result import Result
from returns.result import Success

from sesamecross.runtime import signals

# Three seconds in total. Writing a few kilobytes takes milliseconds, even in
# several steps; the platform replaces a process only after it has exited.
MAX_ATTEMPTS = 30
RETRY_INTERVAL_S = 0.1

_Settings = TypeVar("_Settings")
_Error = TypeVar("_Error")


def load_with_retry(
    load: Callable[[], Result[_Settings, _Error]],
    pending_signals: signals.PendingSignals,
    is_transient: Callable[[_Error], bool] = lambda _: True,
) -> Result[_Settings, _Error]:
    """Returns the settings, or the error of the last attempt.

    Args:
      load: Reads the settings.
      pending_signals: The process's signals; a stop request ends the wait.
      is_transient: Whether an error may disappear without a change by an
        operator.
    """
    loaded = load()
    for attempt in range(1, MAX_ATTEMPTS):
        if isinstance(loaded, Success) or not is_transient(loaded.failure()):
            break
        if pending_signals.is_stop_requested:
            break
        if attempt == 1:
            print(
                f"settings can't be read yet ({loaded.failure()}),"
                " retrying for up to"
                f" {MAX_ATTEMPTS * RETRY_INTERVAL_S:g} s",
                file=sys.stderr,
            )
        time.sleep(RETRY_INTERVAL_S)
        loaded = load()
    return loaded
