"""Tests of the memory that a process returns."""

import subprocess
import sys

_SCRIPT = """
from sesamecross.runtime import process_memory

assert process_memory.map_large_blocks()
blocks, small = [bytearray(6_000_000)], []
# Would raise the C library's own limit.
blocks.clear()
before = process_memory.resident_bytes()
for _ in range(10):
    blocks.append(bytearray(6_000_000))
    small.append(bytes(2_000))
blocks.clear()
print(process_memory.resident_bytes() - before)
"""


def test_freed_answers_leave_no_memory_behind():
    """Guards against small blocks that keep the memory of large ones."""
    output = subprocess.check_output([sys.executable, "-c", _SCRIPT], text=True)
    assert int(output) < 12_000_000
