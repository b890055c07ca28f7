"""Plans loads for groups of patient requests.

Groups take free places and the places of models that no urgent request asks
for. When and for which reason is decided by `patient_demand`; this module finds
the engine where a group's load costs least and is in time.
"""

from collections.abc import Callable

from sesamecross.ops.fleet import patient_demand
from sesamecross.ops.fleet import placement_draft
from sesamecross.ops.fleet import placement_places
from sesamecross.ops.fleet import placement_types as data

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
        place = _best_place(draft, group)
        if place is None:
            continue
        is_late = not patient_demand.is_in_time(group, place.takes_s)
        if is_late and loading + planned >= _most_loads(
            draft, MAX_LATE_LOADING_SHARE
        ):
            continue
        reason = patient_demand.decide(group, _load(place))
        if reason is None:
            continue
        placement_places.apply(draft, place, group.model)
        planned += 1
        on_load(
            patient_demand.LoadDecision(
                group,
                place.instance_id,
                reason,
                place.takes_s,
                place.cost,
            )
        )


def _drop_served(draft: placement_draft.Draft) -> None:
    """Removes planned models whose patient callers have gone meanwhile."""
    for instance_id in draft.engines:
        for name in draft.planned(instance_id):
            demand = draft.inputs.demand_for(name)
            if demand.patient_rate > 0 and not demand.has_callers:
                draft.remove(instance_id, name)


def _most_loads(draft: placement_draft.Draft, share: float) -> int:
    """Returns how many engines may load a model for a group at a time."""
    return max(1, int(len(draft.engines) * share))


def _loading_engines(draft: placement_draft.Draft) -> int:
    """Returns how many engines load a model for a group, or are to do so."""
    under_way = 0
    for instance_id, engine in draft.engines.items():
        loading = {one for one in engine.inventory.loading if "/" not in one}
        names = loading.union(draft.planned(instance_id))
        under_way += any(
            draft.inputs.demand_for(name).patient_waiting
            and not draft.inputs.demand_for(name).is_in_demand
            for name in names
        )
    return under_way


def _best_place(
    draft: placement_draft.Draft, group: patient_demand.Group
) -> placement_places.Place | None:
    """Returns the place where a group's load is in time and costs least."""
    return placement_places.best(
        draft,
        group.model,
        # Elsewhere another model is loaded first.
        [one for one in draft.engines if not draft.planned(one)],
        lambda place: (
            not patient_demand.may_evict(group, place.demand_lost),
            group.left_s >= 0
            and not patient_demand.is_in_time(group, place.takes_s),
            place.cost + place.takes_s * DELAY_COST_PER_S,
        ),
    )


def _load(place: placement_places.Place) -> patient_demand.Load:
    """Returns the load at a place, as the decision about a group needs it."""
    return patient_demand.Load(
        place.takes_s, place.cost, not place.victims, place.demand_lost
    )
