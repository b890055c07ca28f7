"""Finds the place at an engine where one more model costs others least."""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Any

import msgspec

from sesamecross.ops.fleet import placement_draft

# Cost of a load that is ordered for waiting requests, in requests: the weight
# store's time, and the engine's orders that wait meanwhile.
STORE_LOAD_COST = 0.5
COPY_LOAD_COST = 0.125


class Place(msgspec.Struct, frozen=True):
    """A place for a model at an engine.

    Attributes:
      victims: The models that make way.
      takes_s: Time until the model can serve.
      cost: Requests lost by it: those of models that make way, and the load.
      demand_lost: Value, in requests per second, of the models that make way
        and that urgent requests ask for.
    """

    instance_id: str
    victims: tuple[str, ...]
    takes_s: float
    cost: float
    demand_lost: float


def apply(draft: placement_draft.Draft, place: Place, name: str) -> None:
    """Gives a model its place; its victims make way."""
    for victim in place.victims:
        draft.remove(place.instance_id, victim)
    draft.add(place.instance_id, name)


def best(
    draft: placement_draft.Draft,
    name: str,
    instance_ids: Iterable[str],
    rank: Callable[[Place], Any],
) -> Place | None:
    """Returns the place for a model that ranks lowest at the given engines.

    Args:
      draft: The target under construction.
      name: The model.
      instance_ids: The engines to choose from.
      rank: Returns what places are compared by; of equals, the one at the
        engine with the lowest id is taken.
    """
    places = (cheapest_at(draft, one, name) for one in instance_ids)
    return min(
        (place for place in places if place is not None),
        key=lambda place: (rank(place), place.instance_id),
        default=None,
    )


def cheapest_at(
    draft: placement_draft.Draft, instance_id: str, name: str
) -> Place | None:
    """Returns the cheapest place for a model at an engine, or None."""
    inputs = draft.inputs
    engine = draft.engines[instance_id]
    takes_s, from_store = inputs.load_time(engine, name)
    cost = STORE_LOAD_COST if from_store else COPY_LOAD_COST
    for target, ready_s in engine.inventory.loading.items():
        if "/" not in target:
            takes_s += max(0.0, ready_s - inputs.now_s)
    missing_mb = inputs.size(name) - draft.free_mb[instance_id]
    victims: list[str] = []
    demand_lost = 0.0
    if missing_mb > 0:
        rated = []
        for other in sorted(draft.held[instance_id]):
            lost = _lost_requests(draft, instance_id, other)
            if lost is not None:
                rated.append((lost, other))
        for lost, other in sorted(rated):
            if missing_mb <= 0:
                break
            missing_mb -= inputs.size(other)
            victims.append(other)
            cost += lost
            takes_s += _eviction_s(draft, instance_id, other)
            if inputs.demand_for(other).is_in_demand:
                demand_lost += draft.loss(instance_id, other)
        if missing_mb > 0:
            return None
    return Place(instance_id, tuple(victims), takes_s, cost, demand_lost)


def _lost_requests(
    draft: placement_draft.Draft, instance_id: str, name: str
) -> float | None:
    """Returns the requests lost if a model makes way; None if it must stay.

    The next patient request for it needs a load again.
    """
    loss = draft.loss(instance_id, name)
    if loss is None:
        return None
    lost = loss * placement_draft.HORIZON_S
    demand = draft.inputs.demand_for(name)
    if len(draft.replicas[name]) == 1:
        expected = demand.patient_rate * placement_draft.HORIZON_S
        lost += STORE_LOAD_COST * (1.0 - math.exp(-expected))
    return lost


def _eviction_s(
    draft: placement_draft.Draft, instance_id: str, name: str
) -> float:
    """Returns how long it takes until a model has made way."""
    running = draft.running(instance_id, name)
    wait_s = placement_draft.UNLOAD_S
    if running:
        wait_s += placement_draft.RUNNING_REQUEST_S * (1.0 + math.log(running))
    return wait_s
