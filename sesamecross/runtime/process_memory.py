"""Reads how much memory this process uses, and returns what it has freed."""

import ctypes
import os

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Parameters of glibc's `mallopt`.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# Above what a socket is read at a time, which is allocated too often for a
# mapping of its own.
_LARGE_BLOCK_BYTES = 1024 * 1024


def map_large_blocks() -> bool:
    """Makes large blocks mappings of their own, whose memory ends with them.

    The C library raises its limit with each large block that is freed, up to
    32 MB. Later ones then come from the heap, where a small block behind them
    keeps their memory.

    Returns:
      False if the C library has no such limit.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    is_mapping = mallopt(_M_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)
    # Set with it, as by the library, so that the heap's end is not returned
    # after each read.
    is_trimming = mallopt(_M_TRIM_THRESHOLD, 2 * _LARGE_BLOCK_BYTES)
    return bool(is_mapping and is_trimming)


def resident_bytes() -> int:
    """Returns the resident memory; 0 if the system does not tell."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * _PAGE_BYTES
    except (OSError, IndexError, ValueError):
        # The bound on reserved memory holds without it.
        return 0
