"""Converts a merged tree into validated declarations.

The same pure function validates a folder on the operator's machine and a
published change on every instance, so that all reach the same verdict. It
collects all errors and never raises.
"""

import dataclasses
from typing import Any

from sesamecross.core import data
from sesamecross.core import errors
from sesamecross.parser import crosschecks
from sesamecross.parser import tables

Tree = dict[str, Any]

# The newest format of declarations that this version can parse and validate.
FORMAT_MAX = 1

_NAMED_TABLES = {
    "regions": data.Region,
    "zones": data.Zone,
    "upstreams": data.Upstream,
    "promises": data.Promise,
    "models": data.Model,
    "adapters": data.Adapter,
    "services": data.Service,
    "callers": data.Caller,
}
_SINGLE_TABLES = {
    "store": data.WeightStore,
    "weights": data.PlacementWeights,
    "claims": data.ClaimLimits,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ParseResult:
    """Declarations, or the errors in them."""

    declarations: data.Declarations | None
    errors: tuple[tables.KeyProblem, ...]


def parse(tree: Tree) -> ParseResult:
    """Validates a merged tree; the result is the same on every instance."""
    problems: list[tables.KeyProblem] = []
    values: dict[str, Any] = {}
    for key in tree:
        if key not in _NAMED_TABLES and key not in _SINGLE_TABLES:
            problems.append(_unknown_table(key))
    for key, cls in _NAMED_TABLES.items():
        values[key] = _named_tables(cls, tree.get(key, {}), key, problems)
    for key, cls in _SINGLE_TABLES.items():
        values[key] = tables.convert(cls, tree.get(key, {}), (key,), problems)
    if problems:
        # On partly converted tables, consistency checks would report a model
        # with an invalid key as missing. References can still be checked.
        problems.extend(crosschecks.dangling_references(tree))
        return ParseResult(None, tuple(problems))
    declarations = data.Declarations(**values)
    problems.extend(crosschecks.dangling_references(tree))
    problems.extend(crosschecks.consistency_problems(declarations))
    if problems:
        return ParseResult(None, tuple(problems))
    return ParseResult(declarations, ())


def _unknown_table(key: str) -> tables.KeyProblem:
    known = [*_NAMED_TABLES, *_SINGLE_TABLES]
    return tables.KeyProblem(
        (key,),
        "is not a known table",
        tables.suggest(key, known),
        errors.Kind.UNKNOWN_KEY,
    )


def _named_tables(
    cls: type, table: Any, key: str, problems: list[tables.KeyProblem]
) -> dict[str, Any]:
    if not isinstance(table, dict):
        problems.append(
            tables.KeyProblem(
                (key,),
                "is not a table of tables",
                f"write [{key}.NAME] with keys below",
                errors.Kind.BAD_VALUE,
            )
        )
        return {}
    result = {}
    for name in sorted(table):
        record = tables.convert(
            cls, table[name], (key, name), problems, name=name
        )
        if record is not None:
            result[name] = record
    return result
