"""Plans loads for groups of patient requests.

Groups take free places and the places of models that no urgent request asks
for. When and for which reason is decided by `patient_demand`; this module finds
the engine where a group's load costs least and is in time.
"""

from collections.abc import Callable
import math

import msgspec

from sesamecross.ops.fleet import patient_demand
from sesamecross.ops.fleet import placement_draft
from sesamecross.ops.fleet import placement_types as data

# Cost of a load for a group, in requests: the weight store's time, and the
# engine's orders that wait meanwhile.
STORE_LOAD_COST = 0.5
COPY_LOAD_COST = 0.125
# Cost of a second of delay, in requests: of two loads in time, the sooner one
# is preferred.
DELAY_COST_PER_S = 0.05
# Share of the engines that load a model for a group at the same time. An engine
# executes one order at a time; the others stay free for urgent models.
MAX_LOADING_SHARE = 0.5
# The same while a group will be late: a load from the store takes an engine's
# time for seconds, and a late answer is worth less.
MAX_LATE_LOADING_SHARE = 0.25
MAX_GROUPS_PER_PLAN = 12

OnLoad = Callable[[patient_demand.LoadDecision], None]


class _Candidate(msgspec.Struct, frozen=True):
    """A place for a group's model at an engine."""

    instance_id: str
    victims: tuple[str, ...]
    load: patient_demand.Load


def has_groups(inputs: data.Inputs) -> bool:
    """Whether any patient request waits for a load."""
    return any(demand.patient_waiting for demand in inputs.demand.values())


def place_groups(draft: placement_draft.Draft, on_load: OnLoad) -> None:
    """Adds the models of groups that are worth a load now.

    Args:
      draft: The target to change, with all moves for urgent models made.
      on_load: Called with each decision.
    """
    _drop_served(draft)
    groups = [
        patient_demand.Group(
            name, demand.patient_waiting, demand.patient_left_s
        )
        for name, demand in draft.inputs.demand.items()
        if demand.patient_waiting and draft.replicas.get(name) == set()
    ]
    loading = _loading_engines(draft)
    planned = 0
    for group in patient_demand.by_urgency(groups):
        if planned >= MAX_GROUPS_PER_PLAN:
            return
        if loading + planned >= _most_loads(draft, MAX_LOADING_SHARE):
            return
        best = _best_candidate(draft, group)
        if best is None:
            continue
        is_late = not patient_demand.is_in_time(group, best.load.takes_s)
        if is_late and loading + planned >= _most_loads(
            draft, MAX_LATE_LOADING_SHARE
        ):
            continue
        reason = patient_demand.decide(group, best.load)
        if reason is None:
            continue
        for victim in best.victims:
            draft.remove(best.instance_id, victim)
        draft.add(best.instance_id, group.model)
        planned += 1
        on_load(
            patient_demand.LoadDecision(
                group,
                best.instance_id,
                reason,
                best.load.takes_s,
                best.load.cost,
            )
        )


def _drop_served(draft: placement_draft.Draft) -> None:
    """Removes planned models whose patient callers have gone meanwhile."""
    for instance_id in draft.engines:
        for name in _planned(draft, instance_id):
            demand = draft.inputs.demand_for(name)
            if demand.patient_rate > 0 and not demand.has_callers:
                draft.remove(instance_id, name)


def _planned(draft: placement_draft.Draft, instance_id: str) -> list[str]:
    """Returns the models that an engine is to load and does not load yet."""
    inventory = draft.engines[instance_id].inventory
    return [
        name
        for name in sorted(draft.held[instance_id])
        if not inventory.is_held_or_loading(name)
    ]


def _most_loads(draft: placement_draft.Draft, share: float) -> int:
    """Returns how many engines may load a model for a group at a time."""
    return max(1, int(len(draft.engines) * share))


def _loading_engines(draft: placement_draft.Draft) -> int:
    """Returns how many engines load a model for a group, or are to do so."""
    under_way = 0
    for instance_id, engine in draft.engines.items():
        loading = {one for one in engine.inventory.loading if "/" not in one}
        names = loading.union(_planned(draft, instance_id))
        under_way += any(
            draft.inputs.demand_for(name).patient_waiting
            and not draft.inputs.demand_for(name).is_in_demand
            for name in names
        )
    return under_way


def _best_candidate(
    draft: placement_draft.Draft, group: patient_demand.Group
) -> _Candidate | None:
    """Returns the place where a group's load is in time and costs least."""
    best = None
    for instance_id in draft.engines:
        if _planned(draft, instance_id):
            # Another model is loaded there first.
            continue
        candidate = _candidate(draft, instance_id, group.model)
        if candidate is None:
            continue
        load = candidate.load
        key = (
            not patient_demand.may_evict(group, load.demand_lost),
            group.left_s >= 0
            and not patient_demand.is_in_time(group, load.takes_s),
            load.cost + load.takes_s * DELAY_COST_PER_S,
            instance_id,
        )
        if best is None or key < best[0]:
            best = (key, candidate)
    return best[1] if best else None


def _candidate(
    draft: placement_draft.Draft, instance_id: str, name: str
) -> _Candidate | None:
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
    return _Candidate(
        instance_id,
        tuple(victims),
        patient_demand.Load(takes_s, cost, not victims, demand_lost),
    )


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
