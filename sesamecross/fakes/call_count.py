"""Counts calls, for tests of what work costs that measure no time."""

from collections.abc import Callable
import sys


def calls_of(function: Callable[[], object]) -> int:
    """Returns how many Python functions are called to run `function`."""
    calls = 0

    def count(_frame, event, _argument):
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls
