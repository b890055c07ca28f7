"""When this process began, as far as its own code can tell.

The time of a start is counted from here, so a program imports this before
anything slow. The interpreter's own start, some 20 ms, comes before.
"""

import time

_BEGAN_S = time.monotonic()


def elapsed_s() -> float:
    """Returns the seconds since this module was imported."""
    return time.monotonic() - _BEGAN_S
