"""Exit codes and outcomes of the operators' commands.

Scripts depend on the exit codes, so each has one meaning, documented in
docs/OPERATING.md.
"""

import dataclasses
import enum
from typing import Any

from sesamecross.core import errors


class ExitCode(enum.IntEnum):
    """Exit codes. 2 is the one that argparse uses for wrong usage."""

    OK = 0
    PROBLEMS = 1
    USAGE = 2
    SUPERSEDED = 3
    NOT_KNOWN_YET = 4
    UNREACHABLE = 5
    PARTIAL = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a command.

    Attributes:
      code: The exit code.
      document: The whole result as plain data, for `--json`.
      lines: The same result as text.
      problems: The errors, each with its remedy.
    """

    code: ExitCode
    document: dict[str, Any]
    lines: tuple[str, ...]
    problems: tuple[errors.Problem, ...] = ()


class InterruptOutcome:
    """The outcome that a command prints if it is interrupted now.

    Each step sets it before it begins, so that an interruption at any moment
    prints a correct outcome.
    """

    __slots__ = ("outcome",)

    def __init__(self, outcome: Outcome):
        self.outcome = outcome


def failed(code: ExitCode, problems: list[errors.Problem]) -> Outcome:
    """Returns an outcome with problems only."""
    return Outcome(code, {}, (), tuple(problems))


def problem_document(problem: errors.Problem) -> dict[str, str]:
    """Returns a problem as plain data."""
    return {
        "kind": problem.kind.value,
        "file": problem.file,
        "key": problem.key,
        "reason": problem.reason,
        "remedy": problem.remedy,
    }
