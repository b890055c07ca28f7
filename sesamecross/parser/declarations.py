"""From a merged tree to checked declarations.

Why: the same pure function judges a folder at the operator's desk and a
published change at every instance, so that all reach one verdict. It
collects all errors and never raises.
"""

import dataclasses
from typing import Any

from sesamecross.core import data
from sesamecross.core import errors
from sesamecross.parser import crosschecks
from sesamecross.parser import tables

Tree = dict[str, Any]

# The format of declarations that this program understands, and so the
# newest whose publishing it can judge.
FORMAT_MAX = 1

_NAMED = {
    "regions": data.Region,
    "zones": data.Zone,
    "upstreams": data.Upstream,
    "promises": data.Promise,
    "models": data.Model,
    "adapters": data.Adapter,
    "services": data.Service,
    "callers": data.Caller,
}
_SINGLE = {
    "store": data.WeightStore,
    "weights": data.PlacementWeights,
    "claims": data.ClaimLimits,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ParseResult:
    """Declarations, or the errors that forbid them."""

    declarations: data.Declarations | None
    errors: tuple[tables.KeyProblem, ...]


def parse(tree: Tree) -> ParseResult:
    """Checks a merged tree; the result is the same wherever it runs."""
    found: list[tables.KeyProblem] = []
    values: dict[str, Any] = {}
    for key in tree:
        if key not in _NAMED and key not in _SINGLE:
            found.append(_unknown_table(key))
    for key, cls in _NAMED.items():
        values[key] = _named_tables(cls, tree.get(key, {}), key, found)
    for key, cls in _SINGLE.items():
        values[key] = tables.convert(cls, tree.get(key, {}), (key,), found)
    if found:
        # Cross checks on half-read tables would report a model as missing
        # that is only misspelt inside; names are still checked.
        found.extend(crosschecks.dangling_references(tree))
        return ParseResult(None, tuple(found))
    declarations = data.Declarations(**values)
    found.extend(crosschecks.dangling_references(tree))
    found.extend(crosschecks.consistency_problems(declarations))
    if found:
        return ParseResult(None, tuple(found))
    return ParseResult(declarations, ())


def _unknown_table(key: str) -> tables.KeyProblem:
    known = [*_NAMED, *_SINGLE]
    return tables.KeyProblem(
        (key,),
        "is not a known table",
        tables.suggest(key, known),
        errors.Kind.UNKNOWN_KEY,
    )


def _named_tables(
    cls: type, table: Any, key: str, found: list[tables.KeyProblem]
) -> dict[str, Any]:
    if not isinstance(table, dict):
        found.append(
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
        record = tables.convert(cls, table[name], (key, name), found, name=name)
        if record is not None:
            result[name] = record
    return result
