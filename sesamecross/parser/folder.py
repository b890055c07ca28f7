"""Checks a folder as a whole: files, tables and names, all errors at once."""

import dataclasses
import pathlib

from sesamecross.core import data
from sesamecross.core import errors
from sesamecross.parser import declarations
from sesamecross.parser import tables
from sesamecross.parser import toml_files


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedFolder:
    """A folder's merged tree, its declarations and every problem.

    `declarations` is None exactly where `problems` is not empty.
    """

    merged: toml_files.MergedFolder
    declarations: data.Declarations | None
    problems: tuple[errors.Problem, ...]


def check(path: pathlib.Path) -> CheckedFolder:
    """Reads, merges and checks the folder at `path`."""
    merged = toml_files.read_folder(path)
    parsed = declarations.parse(merged.tree)
    problems = list(merged.problems)
    # With an unreadable file, names that it would have declared dangle;
    # the syntax error is the cause and the others would only hide it.
    if not merged.problems:
        problems.extend(as_problem(merged, e) for e in parsed.errors)
    problems.sort()
    if problems:
        return CheckedFolder(merged, None, tuple(problems))
    return CheckedFolder(merged, parsed.declarations, ())


def as_problem(
    merged: toml_files.MergedFolder, error: tables.KeyProblem
) -> errors.Problem:
    """Returns a key's problem with the file that set the key."""
    return errors.Problem(
        merged.file_of(error.path),
        ".".join(error.path),
        error.reason,
        error.remedy,
        error.kind,
    )
