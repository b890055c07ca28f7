"""Validates a folder of declarations and reports all errors at once."""

import dataclasses
import pathlib

from sesamecross.core import data
from sesamecross.core import errors
from sesamecross.parser import declarations
from sesamecross.parser import tables
from sesamecross.parser import toml_files


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedFolder:
    """A folder's merged tree, its declarations and all problems.

    `declarations` is None if and only if there are problems.
    """

    merged: toml_files.MergedFolder
    declarations: data.Declarations | None
    problems: tuple[errors.Problem, ...]


def check(path: pathlib.Path) -> CheckedFolder:
    """Reads, merges and validates the folder at `path`."""
    merged = toml_files.read_folder(path)
    parsed = declarations.parse(merged.tree)
    problems = list(merged.problems)
    # References to names declared in an unreadable file are dangling too;
    # reporting them would only hide the cause.
    if not merged.problems:
        problems.extend(as_problem(merged, e) for e in parsed.errors)
    problems.sort()
    if problems:
        return CheckedFolder(merged, None, tuple(problems))
    return CheckedFolder(merged, parsed.declarations, ())


def as_problem(
    merged: toml_files.MergedFolder, error: tables.KeyProblem
) -> errors.Problem:
    """Returns a key's problem together with the file that set the key."""
    return errors.Problem(
        merged.file_of(error.path),
        ".".join(error.path),
        error.reason,
        error.remedy,
        error.kind,
    )
