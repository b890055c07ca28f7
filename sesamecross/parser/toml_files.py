"""Reads a folder of TOML files and merges them in order of their names.

One team can add or override a setting without editing another team's file, so
the merged tree records for each key which file set it and which earlier files
it overrode.
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
    """A value that a file assigns to a key."""

    file: str
    value: Any


@dataclasses.dataclass(slots=True)
class MergedFolder:
    """A folder's merged tree and the origin of each value.

    Attributes:
      origins: For each path of keys, all files that set it; the effective one
        is the last.
    """

    tree: Tree
    origins: dict[tuple[str, ...], list[Setting]]
    problems: list[errors.Problem]

    def file_of(self, path: tuple[str, ...]) -> str:
        """Returns the file that set `path` or its nearest parent."""
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
        # Besides syntax errors: a truncated UTF-8 character, a number of
        # thousands of digits, deeply nested tables.
        return errors.Problem(
            path.name,
            "",
            f"is not TOML ({error})",
            "mend the syntax at the line given",
            errors.Kind.SYNTAX,
        )


def _merge(
    merged: MergedFolder,
    target: Tree,
    tree: Tree,
    file: str,
    prefix: tuple[str, ...],
) -> None:
    for key, value in tree.items():
        path = (*prefix, key)
        if isinstance(value, dict):
            if not isinstance(target.get(key), dict):
                target[key] = {}
            merged.origins.setdefault(path, []).append(Setting(file, {}))
            _merge(merged, target[key], value, file, path)
        else:
            target[key] = value
            merged.origins.setdefault(path, []).append(Setting(file, value))
