"""Assigns model replicas to engines from the declarations alone.

Each zone's lease holder plans on its own and, after a cold start, hears of
engines in another order. If models went to the engine with the most free
memory at that moment, two holders could load one twice, or neither would. A
pure function of the declarations gives all holders the same assignment.
"""

import functools

from sesamecross.core import data
from sesamecross.utils import rendezvous

Assignment = dict[str, tuple[str, ...]]


def assigned_engines(declarations: data.Declarations) -> Assignment:
    """Returns the engines assigned to each model's replicas.

    The largest model goes first, to the engine with the most unassigned memory;
    the first replicas of models that must stay precede all further replicas.
    """
    engines = tuple(
        (engine.name, engine.memory_mib) for engine in declarations.engines()
    )
    models = tuple(
        (model.name, model.memory_mib, model.must_stay, model.replicas)
        for model in declarations.models.values()
    )
    return _assign(engines, models)


@functools.lru_cache(maxsize=4)
def _assign(
    engines: tuple[tuple[str, int], ...],
    models: tuple[tuple[str, int, bool, int], ...],
) -> Assignment:
    free_by_engine = dict(engines)
    placed: dict[str, list[str]] = {name: [] for name, _, _, _ in models}
    by_size = sorted(models, key=lambda model: (-model[1], model[0]))
    max_replicas = max((model[3] for model in models), default=0)
    for replica_number in range(1, max_replicas + 1):
        for name, size_mib, must_stay, replicas in by_size:
            if replica_number > replicas or (
                replica_number > 1 and not placed[name]
            ):
                continue
            if replica_number == 1 and not must_stay:
                continue
            engine = _engine_with_most_room(
                free_by_engine, size_mib, placed[name], name
            )
            if engine is not None:
                free_by_engine[engine] -= size_mib
                placed[name].append(engine)
    return {name: tuple(engine_names) for name, engine_names in placed.items()}


def _engine_with_most_room(
    free_by_engine: dict[str, int],
    size_mib: int,
    excluded: list[str],
    name: str,
) -> str | None:
    engines_with_room = [
        engine
        for engine, free_mib in free_by_engine.items()
        if free_mib >= size_mib and engine not in excluded
    ]
    if not engines_with_room:
        return None
    return max(
        engines_with_room,
        key=lambda engine: (
            free_by_engine[engine],
            rendezvous.weight(name, engine),
        ),
    )
