"""Reads the resource usage of a process from /proc."""

import dataclasses
import os

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process.

    Attributes:
      cpu_s: User and system time since its start.
      resident_mib: All pages in memory, including shared library text.
      private_mib: Anonymous pages, which are private to the process.
    """

    cpu_s: float
    resident_mib: float
    private_mib: float


def read_usage(pid: int) -> Usage:
    """Returns the usage of a running process."""
    sizes = {}
    with open(f"/proc/{pid}/smaps_rollup", encoding="ascii") as rollup:
        for line in rollup:
            parts = line.split()
            if len(parts) == 3 and parts[2] == "kB":
                sizes[parts[0]] = int(parts[1]) / 1024
    return Usage(read_processor_time_s(pid), sizes["Rss:"], sizes["Anonymous:"])


def read_processor_time_s(pid: int) -> float:
    """Returns the user and system time of a running process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
