"""Where models belong by declaration alone.

Why: each zone's lease holder plans by itself, and at a cold start each hears
of engines in another order. If a model that is resident nowhere went to
whichever engine looks roomiest, two holders would load it twice or neither
would. A pure function of the declarations comes out alike for all.
"""

import functools

from sesamecross.core import data
from sesamecross.utils import rendezvous

Homes = dict[str, tuple[str, ...]]


def homes(declarations: data.Declarations) -> Homes:
    """Returns the engines on which each model's replicas belong.

    The largest model goes first, to the engine with the most room left; all
    first replicas of models that must stay go before any further replica.
    """
    engines = tuple(
        (engine.name, engine.memory_mib) for engine in declarations.engines()
    )
    models = tuple(
        (model.name, model.memory_mib, model.must_stay, model.replicas)
        for model in declarations.models.values()
    )
    return _homes(engines, models)


@functools.lru_cache(maxsize=4)
def _homes(
    engines: tuple[tuple[str, int], ...],
    models: tuple[tuple[str, int, bool, int], ...],
) -> Homes:
    free = dict(engines)
    placed: dict[str, list[str]] = {name: [] for name, _, _, _ in models}
    by_size = sorted(models, key=lambda model: (-model[1], model[0]))
    most = max((model[3] for model in models), default=0)
    for number in range(1, most + 1):
        for name, size, must_stay, replicas in by_size:
            if number > replicas or (number > 1 and not placed[name]):
                continue
            if number == 1 and not must_stay:
                continue
            engine = _roomiest(free, size, placed[name], name)
            if engine is not None:
                free[engine] -= size
                placed[name].append(engine)
    return {name: tuple(where) for name, where in placed.items()}


def _roomiest(
    free: dict[str, int], size: int, taken: list[str], name: str
) -> str | None:
    fitting = [
        engine
        for engine, room in free.items()
        if room >= size and engine not in taken
    ]
    if not fitting:
        return None
    return max(
        fitting,
        key=lambda engine: (free[engine], rendezvous.weight(name, engine)),
    )
