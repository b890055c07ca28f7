"""Plans the loads of models whose turn has come.

Whose turn it is is decided by `load_turns`; this module finds the engine where
the load costs all callers least.
"""

from collections.abc import Callable

import msgspec

from sesamecross.ops.fleet import placement_draft
from sesamecross.ops.fleet import placement_places


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
    for name in draft.turns:
        if draft.replicas.get(name) != set():
            continue
        place = _best_place(draft, name)
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


def _best_place(
    draft: placement_draft.Draft, name: str
) -> placement_places.Place | None:
    """Returns the place for a model that costs all callers least."""
    value = draft.inputs.demand_for(name).load_value
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
