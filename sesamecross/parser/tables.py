"""Converts plain tables to dataclasses and reports every error.

A converter that stops at the first error makes an operator publish ten times
to find ten mistakes. Each key is therefore converted separately with
`msgspec`, so that one pass reports the errors of all keys of all tables.
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
    """An error at a path of keys, not yet attributed to a file."""

    path: Path
    reason: str
    remedy: str
    kind: errors.Kind


@functools.cache
def _type_hints(cls: type) -> dict[str, Any]:
    return typing.get_type_hints(cls, include_extras=True)


def _required_fields(cls: type) -> list[str]:
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
    problems: list[KeyProblem],
    **preset: Any,
) -> Any | None:
    """Returns `table` as a `cls`, or None after adding errors to `problems`.

    Args:
      cls: A dataclass whose annotations carry the constraints.
      table: The parsed value from the file.
      path: The table's path of keys, for errors.
      problems: Collects an error for each invalid key.
      **preset: Fields that are not keys of the table, such as its name.
    """
    if not isinstance(table, dict):
        problems.append(
            KeyProblem(
                path,
                f"is {_type_name(table)} and not a table",
                f"write it as [{'.'.join(path)}] with keys below",
                errors.Kind.BAD_VALUE,
            )
        )
        return None
    before = len(problems)
    values = dict(preset)
    for key, value in table.items():
        _convert_key(cls, key, value, (*path, key), problems, values, preset)
    for name in _required_fields(cls):
        if name not in values and name not in table:
            problems.append(
                KeyProblem(
                    (*path, name),
                    "is missing",
                    f"add {name} = {_example(_type_hints(cls)[name])}",
                    errors.Kind.MISSING_KEY,
                )
            )
    if len(problems) > before:
        return None
    return cls(**values)


def _convert_key(
    cls: type,
    key: str,
    value: Any,
    path: Path,
    problems: list[KeyProblem],
    values: dict[str, Any],
    preset: dict[str, Any],
) -> None:
    type_hints = _type_hints(cls)
    if key not in type_hints or key in preset:
        known = [name for name in type_hints if name not in preset]
        problems.append(
            KeyProblem(
                path,
                "is not a known key",
                suggest(key, known),
                errors.Kind.UNKNOWN_KEY,
            )
        )
        return
    try:
        values[key] = msgspec.convert(value, type_hints[key])
    except msgspec.ValidationError as error:
        problems.append(
            KeyProblem(
                path,
                f"has a wrong value ({error})",
                f"write {_example(type_hints[key])}{_unit_of(key)}",
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
    """Returns a remedy for an unknown key."""
    # Prefers a key that only lacks its unit suffix.
    with_unit = [name for name in known if name.startswith(key + "_")]
    similar = with_unit or difflib.get_close_matches(key, known, n=1)
    if similar:
        return f"did you mean {similar[0]}?"
    return "remove it, or use one of: " + ", ".join(known)


def _example(type_hint: Any) -> str:
    if typing.get_origin(type_hint) is typing.Annotated:
        type_hint = typing.get_args(type_hint)[0]
    if type_hint in _EXAMPLES:
        return _EXAMPLES[type_hint]
    if typing.get_origin(type_hint) is tuple:
        return 'a list such as ["name"]'
    if isinstance(type_hint, type) and hasattr(type_hint, "__members__"):
        return " or ".join(f'"{member.value}"' for member in type_hint)
    return "a table"


_EXAMPLES = {
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    str: "a text in quotes",
}


def _type_name(value: Any) -> str:
    return _EXAMPLES.get(type(value), "a list")
