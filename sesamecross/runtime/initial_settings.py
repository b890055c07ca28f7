"""Waits a little for the settings with which a process starts.

Why: the platform writes the settings file at each start and whenever the
settings change, so a process may start while its file is half written or not
there. To end then costs a second start, and looks like an end by itself. A
file that stays wrong is told as before, only later.
"""

from collections.abc import Callable
import sys
import time
from typing import TypeVar

from returns.result import Result
from returns.result import Success

from sesamecross.runtime import signals

# Together three seconds. Writing a few kilobytes takes milliseconds, also
# where it is done in steps; the platform replaces a process only after it has
# ended.
MAX_ATTEMPTS = 30
RETRY_INTERVAL_S = 0.1

_Settings = TypeVar("_Settings")
_Error = TypeVar("_Error")


def load_with_retry(
    load: Callable[[], Result[_Settings, _Error]],
    pending_signals: signals.PendingSignals,
    is_transient: Callable[[_Error], bool] = lambda _: True,
) -> Result[_Settings, _Error]:
    """Returns the settings once they can be read, or their last error.

    Args:
      load: Reads them.
      inbox: Gets the process's signals; who asks for a stop ends the wait.
      may_pass: Whether an error may go by itself.
    """
    loaded = load()
    for look in range(1, MAX_ATTEMPTS):
        if isinstance(loaded, Success) or not is_transient(loaded.failure()):
            break
        if pending_signals.is_stop_requested:
            break
        if look == 1:
            print(
                f"settings can't be read yet ({loaded.failure()}),"
                " looking again for up to"
                f" {MAX_ATTEMPTS * RETRY_INTERVAL_S:g} s",
                file=sys.stderr,
            )
        time.sleep(RETRY_INTERVAL_S)
        loaded = load()
    return loaded
