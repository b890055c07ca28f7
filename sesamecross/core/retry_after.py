"""Parses Retry-After: for how long an upstream wants no requests."""

import math

# An upstream that wants no requests for longer is asked again after this time.
MAX_S = 60.0


def parse_s(value: str | bytes | None) -> float | None:
    """Returns the seconds; None for no wish, or one that can't be read.

    Fractions are allowed. A date is not: the clocks of two machines differ.
    """
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    if math.isnan(seconds) or seconds <= 0:
        return None
    return seconds
