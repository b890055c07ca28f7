"""Typed kinds of errors whose messages name the remedy.

Why: an operator who reads an error at night needs the place, the reason and
what to do next, and code needs a kind to decide by. Functions return these
inside `returns.result.Failure` or in a list beside their result; only I/O
shells raise.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """What went wrong, for code to decide by."""

    UNREADABLE = "unreadable"
    SYNTAX = "syntax"
    UNKNOWN_KEY = "unknown-key"
    BAD_VALUE = "bad-value"
    MISSING_KEY = "missing-key"
    DANGLING_NAME = "dangling-name"
    OVERCOMMITTED = "overcommitted"
    SUPERSEDED = "superseded"
    NOT_KNOWN_YET = "not-known-yet"
    UNREACHABLE = "unreachable"
    EXPIRED = "expired"
    PROTOCOL = "protocol"
    REFUSED = "refused"
    FORMAT = "format"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Problem:
    """One error.

    Attributes:
      file: The file at fault, or the address of the system at fault.
      key: The dotted key inside the file, or empty.
      reason: What is wrong, as a clause.
      remedy: What the reader can do, as a clause.
    """

    file: str
    key: str
    reason: str
    remedy: str
    kind: Kind = dataclasses.field(compare=False, default=Kind.BAD_VALUE)

    def __str__(self) -> str:
        place = f"{self.file}: {self.key}" if self.key else self.file
        return f"{place}: {self.reason}; {self.remedy}"


class ProblemError(Exception):
    """Carries a `Problem` through code that has to raise."""

    def __init__(self, problem: Problem):
        super().__init__(str(problem))
        self.problem = problem
