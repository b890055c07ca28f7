"""Decides whose turn it is to be loaded.

Loads go to what is worth most: a model that always loses to busier ones would
never be loaded. So a share of the engines loads by age instead: among the
models that no engine holds, the one goes first that callers have missed
longest, whatever its value.

As many engines load by age as it takes to load all models in line within the
time that callers wait, but at most a share of them. A model waits for those
that have been missed longer, and for no others, whichever requests arrive.
"""

import math

from sesamecross.ops.fleet import placement_types as data

# The largest share of the engines that load by age; the others load by value.
MAX_TURN_SHARE = 0.5
# A model that has been missed for less than this is loaded by value only: from
# the first report of a request until a load begins, this much time passes.
VALUE_FIRST_S = 1.0


def line(inputs: data.Inputs) -> list[str]:
    """Returns the models that callers miss, the longest missed first.

    These are the models that fit on an engine, that none holds, and that
    requests wait for or are to come back for, or for which a load is under way.
    They get in line once a load by value has had time to begin.
    """
    held: set[str] = set()
    loading: set[str] = set()
    for engine in inputs.engines:
        held |= engine.inventory.models
        loading.update(engine.inventory.loading)
    return sorted(
        (
            name
            for name, demand in inputs.demand.items()
            if name not in held
            and (demand.is_awaited or name in loading)
            and demand.missed_s >= VALUE_FIRST_S
            and inputs.size(name) <= inputs.spec.weights_mb
        ),
        key=lambda name: (-inputs.demand_for(name).missed_s, name),
    )


def first_in_line(inputs: data.Inputs) -> list[str]:
    """Returns the models whose turn it is, the longest missed first."""
    names = line(inputs)
    engines = sum(not engine.is_leaving for engine in inputs.engines)
    most = max(1, int(engines * MAX_TURN_SHARE))
    if inputs.patience_s > 0:
        most = min(most, _engines_needed(inputs, names))
    return names[:most]


def _engines_needed(inputs: data.Inputs, names: list[str]) -> int:
    """Returns how many engines load each model while its callers wait.

    What counts is the time that is left to those who came first: engines that
    would load all models within the callers' patience from now on would be too
    few for callers who have waited already.
    """
    needed = 0
    loads_s = 0.0
    for name in names:
        load_s = _load_s(inputs, name)
        loads_s += load_s
        left_s = inputs.patience_s - inputs.demand_for(name).missed_s
        needed = max(needed, math.ceil(loads_s / max(left_s, load_s, 1e-3)))
    return needed


def _load_s(inputs: data.Inputs, name: str) -> float:
    """Returns the longest time that a load of a model takes."""
    model = inputs.spec.models.get(name)
    return model.store_load_s if model else 0.0
