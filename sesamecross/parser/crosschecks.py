"""Checks across tables: references between them and memory totals.

Without them, a model whose promise is not declared, or must-stay models that
no set of engines can hold, would only show up as failing calls in production.
"""

from collections.abc import Iterator
from typing import Any

from sesamecross.core import data
from sesamecross.core import errors
from sesamecross.parser import tables

Tree = dict[str, Any]

# (table, key, table that the value refers to, whether "*" is allowed)
_REFERENCES = (
    ("zones", "region", "regions", False),
    ("upstreams", "zone", "zones", False),
    ("models", "promise", "promises", False),
    ("adapters", "model", "models", False),
    ("services", "upstreams", "upstreams", False),
    ("callers", "home_zone", "zones", False),
    ("callers", "models", "models", True),
    ("callers", "services", "services", True),
)


def dangling_references(tree: Tree) -> Iterator[tables.KeyProblem]:
    """Yields a problem for each reference to an undeclared name."""
    for table, key, target, is_wildcard_allowed in _REFERENCES:
        entries = tree.get(table)
        if not isinstance(entries, dict):
            continue
        for name in sorted(entries):
            entry = entries[name]
            value = entry.get(key) if isinstance(entry, dict) else None
            yield from _dangling_in_value(
                tree, (table, name, key), value, target, is_wildcard_allowed
            )


def _dangling_in_value(
    tree: Tree,
    path: tables.Path,
    value: Any,
    target: str,
    is_wildcard_allowed: bool,
) -> Iterator[tables.KeyProblem]:
    names = value if isinstance(value, list) else [value]
    declared = tree.get(target)
    declared = declared if isinstance(declared, dict) else {}
    for name in names:
        if not isinstance(name, str) or name in declared:
            continue
        if is_wildcard_allowed and name == data.WILDCARD:
            continue
        if _is_declared_adapter(tree, path, name):
            continue
        yield tables.KeyProblem(
            path,
            f'names "{name}", which no [{target}.{name}] declares',
            f"declare [{target}.{name}] or correct the name",
            errors.Kind.DANGLING_NAME,
        )


def _is_declared_adapter(tree: Tree, path: tables.Path, name: str) -> bool:
    adapters = tree.get("adapters")
    is_models = path[0] == "callers" and path[2] == "models"
    return is_models and isinstance(adapters, dict) and name in adapters


def consistency_problems(
    declarations: data.Declarations,
) -> Iterator[tables.KeyProblem]:
    """Yields a problem for each inconsistency between valid tables.

    Checked are the memory of models against that of engines, unique names and
    caller keys, and keys that depend on an upstream's kind.
    """
    engines = declarations.engines()
    capacity = sum(engine.memory_mib for engine in engines)
    largest = max((engine.memory_mib for engine in engines), default=0)
    needed = 0
    for model in declarations.models.values():
        path = ("models", model.name, "memory_mib")
        if model.memory_mib > largest:
            yield tables.KeyProblem(
                path,
                f"needs {model.memory_mib} MiB and the largest engine has"
                f" {largest} MiB",
                "declare a larger engine or a smaller model",
                errors.Kind.OVERCOMMITTED,
            )
        if model.must_stay:
            needed += model.memory_mib
    if needed > capacity:
        yield tables.KeyProblem(
            ("models",),
            f"models that must stay need {needed} MiB and all engines"
            f" together have {capacity} MiB",
            "set must_stay = false on some models or declare more engines",
            errors.Kind.OVERCOMMITTED,
        )
    yield from _name_clashes(declarations)
    yield from _kind_errors(declarations)


def _name_clashes(
    declarations: data.Declarations,
) -> Iterator[tables.KeyProblem]:
    for name in sorted(declarations.models.keys() & declarations.adapters):
        yield tables.KeyProblem(
            ("adapters", name),
            "has the name of a model, and callers could not tell which",
            "give the adapter another name",
            errors.Kind.BAD_VALUE,
        )
    first_caller: dict[str, str] = {}
    for caller in declarations.callers.values():
        other = first_caller.setdefault(caller.key_digest, caller.name)
        if other != caller.name:
            yield tables.KeyProblem(
                ("callers", caller.name, "key_digest"),
                f'is the key of caller "{other}" too',
                "give each caller a key of its own",
                errors.Kind.BAD_VALUE,
            )


def _kind_errors(
    declarations: data.Declarations,
) -> Iterator[tables.KeyProblem]:
    for upstream in declarations.upstreams.values():
        is_engine = upstream.kind is data.UpstreamKind.ENGINE
        if is_engine and not upstream.memory_mib:
            yield tables.KeyProblem(
                ("upstreams", upstream.name, "memory_mib"),
                "is missing for an engine",
                "add memory_mib = the accelerators' memory in MiB",
                errors.Kind.MISSING_KEY,
            )
    for service in declarations.services.values():
        for name in service.upstreams:
            # `dangling_references` reports an undeclared one.
            upstream = declarations.upstreams.get(name)
            if upstream and upstream.kind is data.UpstreamKind.ENGINE:
                yield tables.KeyProblem(
                    ("services", service.name, "upstreams"),
                    f'names "{name}", which is an engine',
                    'name upstreams of kind = "service"',
                    errors.Kind.BAD_VALUE,
                )
