"""Typed errors whose messages name a remedy.

Each error tells an operator the location, the reason and what to do next, and
has a kind that code can branch on. Functions return errors inside
`returns.result.Failure` or in a list beside their result; only I/O code
raises.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """Category of an error, for code to branch on."""

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
      file: The file or the address of the system that caused the error.
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
        location = f"{self.file}: {self.key}" if self.key else self.file
        return f"{location}: {self.reason}; {self.remedy}"


class ProblemError(Exception):
    """Exception that carries a `Problem`, for code that has to raise."""

    def __init__(self, problem: Problem):
        super().__init__(str(problem))
        self.problem = problem
