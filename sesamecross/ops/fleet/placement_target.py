"""Which models each engine should hold, by what is asked for now.

Why: there are more models than fit, and which of them are asked for changes
within seconds. A request for a model that is held nowhere waits for a load of
0.3 to 4 s; a model with more requests than one engine takes makes all of them
late. The target is kept from plan to plan and changed only by moves that pay
for themselves: what a place is worth in requests a second, less what the
models that make way are worth, over the time for which demand usually lasts,
less what is lost until the model answers.

A model that makes way may find room at another engine; it is loaded there
first. So small models that lie apart can be brought together, and a large one
finds room.
"""

import dataclasses
import itertools

from sesamecross.ops.fleet import placement_draft
from sesamecross.ops.fleet import placement_swaps
from sesamecross.ops.fleet import placement_types as data

# A load costs about as much as this many requests: the weight store's time,
# and the engine's orders that wait meanwhile.
LOAD_COST = 0.5
# This share is late by chance: prompts that are too large to be on time.
LATE_SHARE = 0.15
# Lateness says that a model needs another engine only where its engines are at
# least this busy: one with 12 places got eight engines for the work of four, as
# each further one was late while it was loaded.
LATE_LOAD = 0.5
# A model that is asked for makes way only where this much more is won.
DISPLACE_TIMES = 1.5
# Fairness: a model that is found nowhere counts double after this time.
STARVED_S = 15.0
# A second place for a model of this load is worth a little, in room that is
# free.
SPARE_LOAD = 0.15
# Room left over counts a little, so that models go where they fit closely.
LEFT_OVER_COST = 0.3
# A model that nobody asks for is worth a little in room that is free. It counts
# over a longer time, as nothing else changes meanwhile.
IDLE_HORIZON_S = 60.0
MOVES_MOST = 12


def plan_target(inputs: data.Inputs) -> data.PlacementTarget:
    """Returns what each engine should hold."""
    draft = placement_draft.Draft(inputs, inputs.target)
    placement_swaps.take_sooner(draft)
    placement_swaps.exchange(draft)
    tried: set[str] = set()
    for _ in range(MOVES_MOST):
        name = _most_worth(draft, tried)
        if name is None:
            break
        move = _best_move(draft, name)
        if move is None:
            tried.add(name)
        else:
            _apply(draft, move)
    return {name: frozenset(held) for name, held in draft.held.items()}


def fill_free_room(inputs: data.Inputs) -> data.PlacementTarget:
    """Returns what engines hold, and what fits beside it."""
    draft = placement_draft.Draft(inputs, {})
    for name in sorted(inputs.spec.models):
        if not inputs.demand_for(name).waiting or draft.places[name]:
            continue
        free = [one for one in draft.engines if _is_free(draft, one, name)]
        if free:
            draft.add(min(free, key=lambda one: (draft.load[one], one)), name)
    return {name: frozenset(held) for name, held in draft.held.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class _Move:
    """A model gets a place, and others make way for it."""

    score: float
    instance_id: str
    name: str
    victims: tuple[str, ...]


def _apply(draft: placement_draft.Draft, move: _Move) -> None:
    for victim in move.victims:
        draft.remove(move.instance_id, victim)
    draft.add(move.instance_id, move.name)


def _most_worth(draft: placement_draft.Draft, tried: set[str]) -> str | None:
    """Returns the model for which one more place is worth most."""
    best = None
    for name in draft.inputs.spec.models:
        if name in tried:
            continue
        rated = (_gain(draft, name), name)
        if rated[0] > 0 and (best is None or rated > best):
            best = rated
    return best[1] if best else None


def _gain(draft: placement_draft.Draft, name: str) -> float:
    """Returns what one more place of a model is worth, in requests a second.

    The first place is worth all that depends on the model. A further one is
    worth what the places that there are can't take, or a little where the
    room is free.
    """
    demand = draft.inputs.demand_for(name)
    places = draft.places[name]
    if not demand.is_in_demand:
        is_missed = not places and draft.inputs.are_engines_known
        return placement_draft.IDLE_VALUE if is_missed else 0.0
    if not places:
        return demand.value * (1.0 + demand.starved_s / STARVED_S)
    over = _over(draft, name)
    if over > 0:
        return demand.rate * over
    if demand.load < SPARE_LOAD or len(places) > 1:
        return 0.0
    return demand.rate * placement_draft.SPARE_SHARE


def _over(draft: placement_draft.Draft, name: str) -> float:
    """Returns the share of a model's requests that its engines can't take.

    That is the share that is late, beyond what is always late by chance, or
    what exceeds the engines' time and places: lateness shows overload of any
    cause, a second after it began.
    """
    load = min(draft.load[one] for one in draft.places[name])
    excess = 1.0 - placement_draft.FULL_SHARE / load if load > 0 else 0.0
    late = draft.inputs.demand_for(name).late - LATE_SHARE
    if load < LATE_LOAD:
        # A lightly loaded engine is not what makes them late.
        late = 0.0
    return max(0.0, excess, late)


def _best_move(draft: placement_draft.Draft, name: str) -> _Move | None:
    """Returns the best place for a model, or None where none pays."""
    gain = _gain(draft, name)
    places = draft.places[name]
    is_spare = bool(places) and _over(draft, name) <= 0
    best = None
    for instance_id in draft.engines:
        if instance_id in places:
            continue
        found = _cheapest_victims(draft, instance_id, name)
        if found is None:
            continue
        loss, victims = found
        if is_spare and not _is_free(draft, instance_id, name):
            continue
        score = _score(draft, instance_id, name, gain, loss, victims)
        if score > 0 and (best is None or score > best.score):
            best = _Move(score, instance_id, name, victims)
    return best


def _is_free(draft: placement_draft.Draft, instance_id: str, name: str) -> bool:
    """Whether a model fits beside all that an engine holds."""
    inputs = draft.inputs
    used = draft.engines[instance_id].inventory.used_mb(inputs.spec)
    used = max(used, inputs.spec.weights_mb - draft.free[instance_id])
    return used + inputs.size(name) <= inputs.spec.weights_mb


def _score(
    draft: placement_draft.Draft,
    instance_id: str,
    name: str,
    gain: float,
    loss: float,
    victims: tuple[str, ...],
) -> float:
    if loss > 0 and gain < loss * DISPLACE_TIMES:
        return -1.0
    engine = draft.engines[instance_id]
    inputs = draft.inputs
    demand = inputs.demand_for(name)
    busy = draft.load[instance_id]
    busy += demand.load / (len(draft.places[name]) + 1)
    takes = min(1.0, placement_draft.FULL_SHARE / busy) if busy > 0 else 1.0
    cost = 0.0
    delay_s = 0.0
    if not engine.inventory.is_held_or_loading(name):
        delay_s, from_store = inputs.load_time(engine, name)
        cost = LOAD_COST if from_store else LOAD_COST / 4
        delay_s += placement_draft.waits_for(draft, engine, name)
    left_over = draft.free[instance_id] + sum(map(inputs.size, victims))
    left_over -= inputs.size(name)
    cost += LEFT_OVER_COST * left_over / inputs.spec.weights_mb
    horizon_s = (
        placement_draft.HORIZON_S if demand.is_in_demand else IDLE_HORIZON_S
    )
    win = gain * takes * max(0.0, horizon_s - delay_s)
    # An engine's load is everybody's wait there.
    win -= gain * busy
    return win - loss * horizon_s - cost


def _cheapest_victims(
    draft: placement_draft.Draft, instance_id: str, name: str
) -> tuple[float, tuple[str, ...]] | None:
    """Returns what is lost, and which models make way for another.

    An engine holds a handful of models, so all sets of them are looked at.
    """
    size = draft.inputs.size
    missing_mb = size(name) - draft.free[instance_id]
    if missing_mb <= 0:
        return 0.0, ()
    losses = []
    for other in sorted(draft.held[instance_id]):
        loss = draft.loss(instance_id, other)
        if loss is not None:
            losses.append((other, size(other), loss))
    if sum(mb for _, mb, _ in losses) < missing_mb:
        return None
    best = None
    for count in range(1, len(losses) + 1):
        for chosen in itertools.combinations(losses, count):
            if sum(mb for _, mb, _ in chosen) < missing_mb:
                continue
            lost = sum(loss for _, _, loss in chosen)
            if best is None or lost < best[0]:
                best = (lost, tuple(other for other, _, _ in chosen))
    return best
