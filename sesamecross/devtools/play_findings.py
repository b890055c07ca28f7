"""Lists what recorded plays missed: broken rules, faults and their gate.

A play's worth can be good although its gate fails: a few models that are served
to nobody hardly show in it. Hunts that did not finish are listed too, as they
say nothing of the days that were left out.
"""

import argparse
from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
import sys

import msgspec


class Play(msgspec.Struct, frozen=True):
    """One day as it was played.

    Attributes:
      rules: Broken rules, with what broke them.
      short: Why the day fails its gate, other than by rules.
      fault: Why the day counts nothing, or None.
    """

    name: str
    seed: int | None = None
    rules: dict[str, object] = {}
    short: list[str] = []
    fault: str | None = None


class Entry(msgspec.Struct, frozen=True):
    """A recorded run.

    Attributes:
      at: When it began and ended.
      cmd: What was run: a score, a hunt, one day.
      why: What it was run for.
      head: The commit.
      error: Why it did not finish, or None.
    """

    id: str
    at: tuple[str, str]
    cmd: str
    why: str | None = None
    head: str | None = None
    error: str | None = None
    days: list[Play] = []


def findings(entry: Entry) -> Iterator[str]:
    """Yields a line for everything that a run missed."""
    if entry.error:
        yield entry.error
    for play in entry.days:
        found = [f"rule {name} broken" for name in sorted(play.rules)]
        found += [f"short of the gate: {reason}" for reason in play.short]
        if play.fault:
            found.append(f"fault: {play.fault}")
        seed = "" if play.seed is None else f" (seed {play.seed})"
        for finding in found:
            yield f"{play.name}{seed}: {finding}"


def report(entries: Iterable[Entry]) -> list[str]:
    """Returns the lines of all runs that missed something, in their order."""
    lines = []
    for entry in sorted(entries, key=lambda one: one.at):
        found = list(findings(entry))
        if found:
            head = (entry.head or "unknown")[:7]
            title = f"{entry.at[0]} {entry.id} {entry.cmd} on {head}"
            lines.append(f"{title}: {entry.why or ''}")
            lines += [f"  {line}" for line in found]
    return lines


def main(argv: list[str] | None = None) -> int:
    """Prints the findings; returns 1 if there are any."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("entries", nargs="+", type=pathlib.Path)
    parser.add_argument(
        "--since", default="", help="first time, as 2026-12-06T07:00:00Z"
    )
    arguments = parser.parse_args(argv)
    read = [
        msgspec.json.decode(path.read_bytes(), type=Entry)
        for path in arguments.entries
    ]
    lines = report(one for one in read if one.at[0] >= arguments.since)
    print("\n".join(lines) or "nothing was missed")
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
