"""Tests of the work that a start of a gateway does before it can serve."""

import subprocess
import sys

# Creating a data class generates and compiles code, 1 ms each. `msgspec.Struct`
# does without.
MAX_DATA_CLASSES = 7

_COUNT = """
import sys
import sesamecross.platform.program
for name, module in list(sys.modules.items()):
    if name.startswith("sesamecross."):
        for one in vars(module).values():
            if isinstance(one, type) and one.__module__ == name:
                if "__dataclass_fields__" in vars(one):
                    print(name, one.__name__)
"""


def test_a_cold_start_generates_no_code_for_records():
    """Guards against outages as long as it takes all instances to start.

    When all are killed at one moment and share few cores, each millisecond of a
    start is one for each instance.
    """
    found = subprocess.run(
        [sys.executable, "-c", _COUNT],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.splitlines()
    assert len(found) <= MAX_DATA_CLASSES, found
