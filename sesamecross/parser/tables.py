"""Checks plain tables against record classes and reports every error.

Why: a library call that stops at the first error makes an operator publish
ten times to find ten mistakes. Each key is converted by itself with
`msgspec`, so that all keys of all tables are judged in one pass.
"""

import dataclasses
import difflib
import functools
import typing
from typing import Any

import msgspec

from sesamecross.core import errors

Path = tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyProblem:
    """An error at a path of keys, before the file is looked up."""

    path: Path
    reason: str
    remedy: str
    kind: errors.Kind


@functools.cache
def _hints(cls: type) -> dict[str, Any]:
    return typing.get_type_hints(cls, include_extras=True)


def _required(cls: type) -> list[str]:
    return [
        field.name
        for field in dataclasses.fields(cls)
        if field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    ]


def convert(
    cls: type,
    table: Any,
    path: Path,
    found: list[KeyProblem],
    **given: Any,
) -> Any | None:
    """Returns `table` as a `cls`, or None after adding errors to `found`.

    Args:
      cls: A dataclass whose annotations carry the constraints.
      table: What the file holds.
      path: Where the table stands, for errors.
      found: Collects an error for each key at fault.
      **given: Fields that don't come from the table, such as its name.
    """
    if not isinstance(table, dict):
        found.append(
            KeyProblem(
                path,
                f"is {_type_name(table)} and not a table",
                f"write it as [{'.'.join(path)}] with keys below",
                errors.Kind.BAD_VALUE,
            )
        )
        return None
    before = len(found)
    values = dict(given)
    for key, value in table.items():
        _convert_key(cls, key, value, (*path, key), found, values, given)
    for name in _required(cls):
        if name not in values and name not in table:
            found.append(
                KeyProblem(
                    (*path, name),
                    "is missing",
                    f"add {name} = {_example(_hints(cls)[name])}",
                    errors.Kind.MISSING_KEY,
                )
            )
    if len(found) > before:
        return None
    return cls(**values)


def _convert_key(
    cls: type,
    key: str,
    value: Any,
    path: Path,
    found: list[KeyProblem],
    values: dict[str, Any],
    given: dict[str, Any],
) -> None:
    hints = _hints(cls)
    if key not in hints or key in given:
        known = [name for name in hints if name not in given]
        found.append(
            KeyProblem(
                path,
                "is not a known key",
                suggest(key, known),
                errors.Kind.UNKNOWN_KEY,
            )
        )
        return
    try:
        values[key] = msgspec.convert(value, hints[key])
    except msgspec.ValidationError as error:
        found.append(
            KeyProblem(
                path,
                f"has a wrong value ({error})",
                f"write {_example(hints[key])}{_unit_of(key)}",
                errors.Kind.BAD_VALUE,
            )
        )


_UNITS = {
    "_mib": "a number of MiB (2**20 bytes)",
    "_ms": "a number of milliseconds",
    "_s": "a number of seconds",
    "_bytes": "a number of bytes",
    "_per_second": "a number for each second",
}


def _unit_of(key: str) -> str:
    for suffix, unit in _UNITS.items():
        if key.endswith(suffix):
            return f", {unit} without a unit behind it"
    return ""


def suggest(key: str, known: list[str]) -> str:
    """Returns a remedy for a key that is not among those known."""
    # A key written without its unit is close to the one with it.
    with_unit = [name for name in known if name.startswith(key + "_")]
    near = with_unit or difflib.get_close_matches(key, known, n=1)
    if near:
        return f"did you mean {near[0]}?"
    return "remove it, or use one of: " + ", ".join(known)


def _example(hint: Any) -> str:
    if typing.get_origin(hint) is typing.Annotated:
        hint = typing.get_args(hint)[0]
    if hint in _EXAMPLES:
        return _EXAMPLES[hint]
    if typing.get_origin(hint) is tuple:
        return 'a list such as ["name"]'
    if isinstance(hint, type) and hasattr(hint, "__members__"):
        return " or ".join(f'"{member.value}"' for member in hint)
    return "a table"


_EXAMPLES = {
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    str: "a text in quotes",
}


def _type_name(value: Any) -> str:
    return _EXAMPLES.get(type(value), "a list")
