"""Reads a folder of TOML files and merges them in the order of names.

Why: one team adds or overrides a setting without touching another team's
file, so the merged tree must remember, for each key, which file set it and
which earlier files it overrode.
"""

import dataclasses
import pathlib
import tomllib
from typing import Any

from sesamecross.core import errors

Tree = dict[str, Any]
MAX_FILE_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """One value that a file gives to a key."""

    file: str
    value: Any


@dataclasses.dataclass(slots=True)
class MergedFolder:
    """A folder's merged tree and where each value came from.

    Attributes:
      origins: For each path of keys, all files that set it, the one in
        force last.
    """

    tree: Tree
    origins: dict[tuple[str, ...], list[Setting]]
    problems: list[errors.Problem]

    def file_of(self, path: tuple[str, ...]) -> str:
        """Returns the file that set `path`, or the nearest parent's."""
        while path and path not in self.origins:
            path = path[:-1]
        if not path:
            return "(merged)"
        return self.origins[path][-1].file


def read_folder(folder: pathlib.Path) -> MergedFolder:
    """Reads and merges all `*.toml` files of `folder`, sorted by name."""
    merged = MergedFolder({}, {}, [])
    if not folder.is_dir():
        merged.problems.append(
            errors.Problem(
                str(folder),
                "",
                "is not a folder",
                "name the folder that holds the *.toml files",
                errors.Kind.UNREADABLE,
            )
        )
        return merged
    paths = sorted(folder.glob("*.toml"), key=lambda path: path.name)
    if not paths:
        merged.problems.append(
            errors.Problem(
                str(folder),
                "",
                "holds no *.toml file",
                "add at least one file of declarations",
                errors.Kind.UNREADABLE,
            )
        )
    for path in paths:
        _merge_file(merged, path)
    return merged


def _merge_file(merged: MergedFolder, path: pathlib.Path) -> None:
    tree = read_file(path)
    if isinstance(tree, errors.Problem):
        merged.problems.append(tree)
        return
    _merge(merged, merged.tree, tree, path.name, ())


def read_file(path: pathlib.Path) -> Tree | errors.Problem:
    """Returns the tree of one TOML file, or why it can't be read."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return errors.Problem(
            path.name,
            "",
            f"can't be read ({error.strerror})",
            "check the path and its permissions",
            errors.Kind.UNREADABLE,
        )
    if len(data) > MAX_FILE_BYTES:
        return errors.Problem(
            path.name,
            "",
            f"is larger than {MAX_FILE_BYTES} bytes",
            "split the file; all files of the folder are merged",
            errors.Kind.UNREADABLE,
        )
    try:
        return tomllib.loads(data.decode("utf-8"))
    except (ValueError, RecursionError) as error:
        # Beside errors of the syntax: half of a character, a number of
        # thousands of digits, tables nested deeply.
        return errors.Problem(
            path.name,
            "",
            f"is not TOML ({error})",
            "mend the syntax at the line given",
            errors.Kind.SYNTAX,
        )


def _merge(
    merged: MergedFolder,
    into: Tree,
    tree: Tree,
    file: str,
    prefix: tuple[str, ...],
) -> None:
    for key, value in tree.items():
        path = (*prefix, key)
        if isinstance(value, dict):
            if not isinstance(into.get(key), dict):
                into[key] = {}
            merged.origins.setdefault(path, []).append(Setting(file, {}))
            _merge(merged, into[key], value, file, path)
        else:
            into[key] = value
            merged.origins.setdefault(path, []).append(Setting(file, value))
