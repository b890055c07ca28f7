"""Reads what a process has used, from the kernel's own accounting."""

import dataclasses
import os

_TICKS = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used so far.

    Attributes:
      cpu_s: User and system seconds.
      resident_mib: All pages in memory, shared library text included.
      private_mib: Anonymous pages, which are the process's own.
    """

    cpu_s: float
    resident_mib: float
    private_mib: float


def read_usage(pid: int) -> Usage:
    """Returns the usage of a running process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS
    sizes = {}
    with open(f"/proc/{pid}/smaps_rollup", encoding="ascii") as rollup:
        for line in rollup:
            parts = line.split()
            if len(parts) == 3 and parts[2] == "kB":
                sizes[parts[0]] = int(parts[1]) / 1024
    return Usage(cpu_s, sizes["Rss:"], sizes["Anonymous:"])
