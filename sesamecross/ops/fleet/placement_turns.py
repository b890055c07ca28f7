"""Plans the loads of models whose turn has come, and foretells later turns.

Whose turn it is is decided by `load_turns`; this module finds the engine where
the load costs all callers least. Callers of a model that is further back in the
line are told when it is expected, so that they need not wait in vain.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import heapq

import msgspec

from sesamecross.ops.fleet import load_turns
from sesamecross.ops.fleet import placement_draft
from sesamecross.ops.fleet import placement_places
from sesamecross.ops.fleet import placement_swaps
from sesamecross.ops.fleet import placement_types as data


class Turn(msgspec.Struct, frozen=True):
    """A load that is planned because its model's turn has come.

    Attributes:
      missed_s: For how long callers have asked for the model in vain.
      waiting: Requests that wait for it, urgent and patient ones.
      takes_s: Expected time until it is loaded.
    """

    model: str
    instance_id: str
    missed_s: float
    waiting: int
    takes_s: float


OnTurn = Callable[[Turn], None]


def take_turns(draft: placement_draft.Draft, on_turn: OnTurn) -> None:
    """Gives places to the models whose turn it is.

    Args:
      draft: The target to change, before any load is planned by value.
      on_turn: Called with each load that is planned.
    """
    behind_value = _value_behind(draft)
    for name in draft.turns:
        if draft.replicas.get(name) != set():
            continue
        place = _best_place(draft, name, behind_value)
        if place is None:
            continue
        placement_places.apply(draft, place, name)
        demand = draft.inputs.demand_for(name)
        on_turn(
            Turn(
                name,
                place.instance_id,
                demand.missed_s,
                demand.waiting + demand.patient_waiting,
                place.takes_s,
            )
        )


def ready_times_s(
    inputs: data.Inputs, target: data.PlacementTarget
) -> dict[str, dict[str, float]]:
    """Returns the seconds until models are loaded, by engine and model.

    These are the models that an engine should hold and has not begun to load,
    and the models in line, each at the engine that is free for it first.
    """
    times = placement_swaps.ready_times_s(inputs, target)
    engines = {
        engine.name: engine
        for engine in inputs.engines
        if not engine.is_leaving
    }
    expected = {name for planned in times.values() for name in planned}
    for engine in engines.values():
        expected.update(engine.inventory.loading)
    free = _ends_of_turns_s(inputs, engines.values(), times)
    heapq.heapify(free)
    for name in load_turns.line(inputs):
        if not free:
            break
        if name in expected:
            continue
        free_s, instance_id = free[0]
        takes_s, _ = inputs.load_time(engines[instance_id], name)
        ready_s = free_s + placement_draft.UNLOAD_S + takes_s
        times[instance_id][name] = ready_s
        heapq.heapreplace(free, (ready_s, instance_id))
    return times


def _ends_of_turns_s(
    inputs: data.Inputs,
    engines: Iterable[data.Engine],
    planned: Mapping[str, Mapping[str, float]],
) -> list[tuple[float, str]]:
    """Returns when engines will have loaded the models whose turn it is.

    Args:
      inputs: What is known.
      engines: The engines to consider.
      planned: Seconds until planned models are loaded, by engine and model.

    Returns:
      Seconds from now and the engine, for those that load by age.
    """
    turns = set(load_turns.first_in_line(inputs))
    ends = []
    for engine in engines:
        loading_s = {
            name: max(0.0, at_s - inputs.now_s)
            for name, at_s in engine.inventory.loading.items()
        }
        own_s = [
            ready_s
            for name, ready_s in (loading_s | planned[engine.name]).items()
            if name in turns
        ]
        if own_s:
            ends.append((max(own_s), engine.name))
    return ends


def _value_behind(draft: placement_draft.Draft) -> float:
    """Returns the value of the models in line that wait for one of the turns.

    In requests per second: a second more for one turn is a second more for all
    models that are loaded after it at the same engine.
    """
    behind = set(load_turns.line(draft.inputs)).difference(draft.turns)
    total = sum(draft.inputs.demand_for(name).load_value for name in behind)
    return total / max(1, len(draft.turns))


def _best_place(
    draft: placement_draft.Draft, name: str, behind_value: float
) -> placement_places.Place | None:
    """Returns the place for a model that costs all callers least."""
    value = draft.inputs.demand_for(name).load_value + behind_value
    return placement_places.best(
        draft,
        name,
        draft.engines,
        lambda place: (
            place.cost
            + value * (place.takes_s + _first_loads_s(draft, place.instance_id))
        ),
    )


def _first_loads_s(draft: placement_draft.Draft, instance_id: str) -> float:
    """Returns how long an engine loads others whose turn came before."""
    engine = draft.engines[instance_id]
    return sum(
        draft.inputs.load_time(engine, name)[0]
        for name in draft.planned(instance_id)
        if name in draft.turns
    )
