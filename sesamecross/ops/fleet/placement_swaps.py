"""Swaps the engines of planned replicas whose loads have not started.

A planned replica may have to wait 3 to 5 s until the requests of the evicted
model have ended. Until its load starts, the plan can still give the engines
where a load can start soonest to the models with the highest value.
"""

from sesamecross.ops.fleet import placement_draft
from sesamecross.ops.fleet import placement_types as data

# A planned replica that waits for requests to end is moved to an engine where a
# load can start within this. No smaller gain moves a model: if models
# alternated between engines, room would be made for them everywhere.
SOON_DELAY_S = 0.25
# Two models swap engines only if one has this many times the other's value.
SWAP_VALUE_RATIO = 2.0


def ready_times_s(
    inputs: data.Inputs, target: data.PlacementTarget
) -> dict[str, dict[str, float]]:
    """Returns the seconds until planned models are loaded, by engine.

    Planned models are those that an engine should hold but has not started to
    load.
    """
    draft = placement_draft.Draft(inputs, target)
    ready_times: dict[str, dict[str, float]] = {}
    for instance_id, engine in draft.engines.items():
        ready_s = 0.0
        ready_times[instance_id] = {}
        for name in _planned_models(draft, instance_id):
            ready_s = max(
                ready_s, placement_draft.load_delay_s(draft, engine, name)
            )
            takes_s, _ = inputs.load_time(engine, name)
            ready_s += takes_s
            ready_times[instance_id][name] = ready_s
    return ready_times


def _planned_models(
    draft: placement_draft.Draft, instance_id: str
) -> list[str]:
    """Returns the planned models of an engine in the order of their loads."""
    return sorted(
        draft.planned(instance_id),
        key=lambda name: (
            name not in draft.turns,
            -draft.inputs.demand_for(name).load_value,
            name,
        ),
    )


def swap(draft: placement_draft.Draft) -> None:
    """Gives the engines that are free soonest to the models of highest value.

    Example: an engine with a busy model dies. Replicas are planned one by one,
    so the idle room may be given to a model with few requests, while the busy
    one waits 3 to 5 s until the requests of another model have ended. Until a
    load starts, two models can swap their engines at no cost.
    """
    planned = [
        (draft.inputs.demand_for(name).value, name, instance_id)
        for instance_id in draft.engines
        for name in _planned_models(draft, instance_id)
        if draft.inputs.demand_for(name).is_in_demand
    ]
    planned.sort(key=lambda entry: (-entry[0], entry[1:]))
    moved: set[tuple[str, str]] = set()
    for value, name, instance_id in planned:
        if (name, instance_id) in moved:
            continue
        wait_s = placement_draft.load_delay_s(
            draft, draft.engines[instance_id], name
        )
        best = None
        for other_value, other, other_id in planned:
            if (
                other_value * SWAP_VALUE_RATIO > value
                or (other, other_id) in moved
            ):
                continue
            if not _may_swap(draft, name, instance_id, other, other_id):
                continue
            other_s = placement_draft.load_delay_s(
                draft, draft.engines[other_id], other
            )
            gain_s = wait_s - other_s
            if gain_s > SOON_DELAY_S and (best is None or gain_s > best[0]):
                best = (gain_s, other, other_id)
        if best is not None:
            _, other, other_id = best
            draft.remove(instance_id, name)
            draft.remove(other_id, other)
            draft.add(other_id, name)
            draft.add(instance_id, other)
            moved |= {(other, other_id), (name, instance_id)}


def _may_swap(
    draft: placement_draft.Draft,
    name: str,
    instance_id: str,
    other: str,
    other_id: str,
) -> bool:
    if instance_id == other_id:
        return False
    if draft.is_needed(instance_id, name) or draft.is_needed(other_id, other):
        return False
    if other in draft.turns:
        return False
    if other_id in draft.replicas[name] or instance_id in draft.replicas[other]:
        return False
    size = draft.inputs.size
    return draft.free_mb[other_id] + size(other) >= size(
        name
    ) and draft.free_mb[instance_id] + size(name) >= size(other)


def move_to_sooner(draft: placement_draft.Draft) -> None:
    """Moves models that wait for requests to end to where they can load now."""
    for instance_id, engine in draft.engines.items():
        for name in sorted(draft.held[instance_id]):
            if engine.inventory.is_held_or_loading(name):
                continue
            if not draft.inputs.demand_for(name).has_callers:
                continue
            if draft.is_needed(instance_id, name):
                continue
            if (
                placement_draft.load_delay_s(draft, engine, name)
                <= SOON_DELAY_S
            ):
                continue
            draft.remove(instance_id, name)
            to = _soonest_engine(draft, name)
            draft.add(to or instance_id, name)


def _soonest_engine(draft: placement_draft.Draft, name: str) -> str | None:
    """Returns an engine with free room where a load can start now, or None."""
    rated = []
    for instance_id, engine in draft.engines.items():
        if instance_id in draft.replicas[name]:
            continue
        if not draft.fits(instance_id, name):
            continue
        if placement_draft.load_delay_s(draft, engine, name) <= SOON_DELAY_S:
            takes_s, _ = draft.inputs.load_time(engine, name)
            rated.append((draft.load[instance_id] + takes_s, instance_id))
    return min(rated)[1] if rated else None
