"""Tests of the work that a start of a gateway does before it can serve."""

import subprocess
import sys

# Creating a data class generates and compiles code, 1 ms each. `msgspec.Struct`
# does without.
MAX_DATA_CLASSES = 7
MAX_COLLECTABLE_OBJECTS = 5_000

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


_COUNT_COLLECTABLE = """
import gc
import sys
from sesamecross.platform import program
from sesamecross.scripts import gateway
program.run = lambda *_: print(gc.isenabled(), len(gc.get_objects())) or 0
sys.argv[1:] = []
gateway.main()
"""


def test_a_cold_start_collects_no_garbage_among_what_imports_made():
    """Guards against a pause after the imports, and at each full collection."""
    is_enabled, collectable = subprocess.run(
        [sys.executable, "-c", _COUNT_COLLECTABLE],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.split()
    assert is_enabled == "True"
    assert int(collectable) < MAX_COLLECTABLE_OBJECTS
