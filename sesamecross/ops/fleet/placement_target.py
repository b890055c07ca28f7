"""Plans which models each engine should hold, from the current demand.

There are more models than fit, and demand moves between them within seconds. A
request for a model that no engine holds waits for a load of 0.3 to 4 s; a model
with more requests than one engine can serve makes all of them late. The target
is kept from plan to plan and changed only by moves with a positive net gain:
the value of the replica in requests per second, less that of the evicted
models, over the typical duration of demand, less what is lost until the model
is loaded.

An evicted model may find room at another engine, and is then loaded there
first. So small models on different engines can be moved together to make room
for a large one.
"""

import itertools

import msgspec

from sesamecross.ops.fleet import placement_draft
from sesamecross.ops.fleet import placement_groups
from sesamecross.ops.fleet import placement_swaps
from sesamecross.ops.fleet import placement_turns
from sesamecross.ops.fleet import placement_types as data

# Cost of a load in requests: the weight store's time, and the engine's orders
# that wait meanwhile.
LOAD_COST = 0.5
# Share of requests that is always late: prompts too large to be on time.
BASE_LATE_SHARE = 0.15
# Late requests indicate that a model needs another engine only if its engines
# have at least this load: a model on engines with 12 slots got eight engines
# for the work of four, as requests were late during the load of each further
# one.
MIN_LATE_LOAD = 0.5
# A model is evicted only if the gain is this many times the loss.
EVICTION_GAIN_RATIO = 1.5
# Fairness: the value of a model that is held nowhere doubles in this time.
STARVATION_S = 15.0
# From this load on, a second replica of a model has some value in free room.
MIN_SPARE_LOAD = 0.15
# Cost of leftover room, in requests, so that models go where they fit closely.
LEFT_OVER_COST = 0.3
# A model without demand has some value in free room, counted over a longer
# time, as nothing else changes meanwhile.
IDLE_HORIZON_S = 60.0
MAX_MOVES = 12


def _ignore(decision: object) -> None:
    """Default for callers that don't log decisions."""


def plan_target(
    inputs: data.Inputs,
    on_group_load: placement_groups.OnLoad = _ignore,
    on_turn: placement_turns.OnTurn = _ignore,
) -> data.PlacementTarget:
    """Returns the models that each engine should hold.

    Args:
      inputs: What is known.
      on_group_load: Called for each load planned for patient requests.
      on_turn: Called for each load planned because a model's turn has come.
    """
    draft = placement_draft.Draft(inputs, inputs.target)
    placement_swaps.move_to_sooner(draft)
    placement_swaps.swap(draft)
    _meet_version_needs(draft)
    placement_turns.take_turns(draft, on_turn)
    if placement_groups.has_groups(inputs):
        # Groups come after models in demand. Models without demand get no room:
        # their loads take the engines' time and the place of the next group.
        _make_moves(
            draft,
            {
                name
                for name in inputs.spec.models
                if not inputs.demand_for(name).is_in_demand
            },
        )
        placement_groups.place_groups(draft, on_group_load)
    else:
        _make_moves(draft, set())
    return {name: frozenset(held) for name, held in draft.held.items()}


def _make_moves(draft: placement_draft.Draft, tried: set[str]) -> None:
    """Adds replicas as long as one has a net gain.

    Args:
      draft: The target to change.
      tried: Models that are left out.
    """
    for _ in range(MAX_MOVES):
        name = _most_valuable(draft, tried)
        if name is None:
            break
        move = _best_move(draft, name)
        if move is None:
            tried.add(name)
        else:
            _apply(draft, move)


def fill_free_room(inputs: data.Inputs) -> data.PlacementTarget:
    """Returns the held models, with waited-for ones added where they fit.

    Used until the demand at all instances is known: evicts nothing.
    """
    draft = placement_draft.Draft(inputs, {})
    for name in sorted(inputs.spec.models):
        demand = inputs.demand_for(name)
        if not demand.has_waiting or draft.replicas[name]:
            continue
        free = [
            engine_id
            for engine_id in draft.engines
            if _is_free(draft, engine_id, name)
        ]
        if free:
            draft.add(
                min(
                    free,
                    key=lambda engine_id: (draft.load[engine_id], engine_id),
                ),
                name,
            )
    _meet_version_needs(draft, only_free=True)
    return {name: frozenset(held) for name, held in draft.held.items()}


def _meet_version_needs(
    draft: placement_draft.Draft, only_free: bool = False
) -> None:
    """Adds the replicas that streams wait for at engines of their version.

    Args:
      draft: The target to change.
      only_free: Whether nothing may be evicted.
    """
    for need in draft.inputs.version_needs:
        name = need.model
        if name not in draft.replicas or need.engines & draft.replicas[name]:
            continue
        moves = []
        for instance_id in sorted(need.engines & draft.engines.keys()):
            found = _cheapest_victims(draft, instance_id, name)
            if found is None or (only_free and found[1]):
                continue
            loss, victims = found
            if loss > data.VERSION_NEED_VALUE:
                continue
            engine = draft.engines[instance_id]
            delay_s, _ = draft.inputs.load_time(engine, name)
            delay_s += placement_draft.load_delay_s(draft, engine, name)
            cost = loss * placement_draft.HORIZON_S
            cost += delay_s * data.VERSION_NEED_VALUE
            moves.append(_Move(-cost, instance_id, name, victims))
        if moves:
            _apply(draft, max(moves, key=lambda move: move.score))


class _Move(msgspec.Struct, frozen=True):
    """A new replica of a model at an engine, which evicts others for it."""

    score: float
    instance_id: str
    name: str
    victims: tuple[str, ...]


def _apply(draft: placement_draft.Draft, move: _Move) -> None:
    for victim in move.victims:
        draft.remove(move.instance_id, victim)
    draft.add(move.instance_id, move.name)


def _most_valuable(draft: placement_draft.Draft, tried: set[str]) -> str | None:
    """Returns the model that gains most from one more replica, or None."""
    best = None
    for name in draft.inputs.spec.models:
        if name in tried:
            continue
        rated = (_gain(draft, name), name)
        if rated[0] > 0 and (best is None or rated > best):
            best = rated
    return best[1] if best else None


def _gain(draft: placement_draft.Draft, name: str) -> float:
    """Returns the value of one more replica, in requests per second.

    The first replica has the value of all requests that depend on the model. A
    further one has that of the requests that exceed the capacity of the
    existing replicas, or a small value in free room.
    """
    demand = draft.inputs.demand_for(name)
    replicas = draft.replicas[name]
    if not demand.is_in_demand and replicas and demand.patient_rate > 0:
        return demand.patient_rate * _excess_share(draft, name)
    if not demand.is_in_demand:
        is_missed = not replicas and draft.inputs.are_engines_known
        return placement_draft.IDLE_VALUE if is_missed else 0.0
    if not replicas:
        return demand.value * (1.0 + demand.missed_s / STARVATION_S)
    excess_share = _excess_share(draft, name)
    if excess_share > 0:
        return demand.rate * excess_share
    if demand.load < MIN_SPARE_LOAD or len(replicas) > 1:
        return 0.0
    return demand.rate * placement_draft.SPARE_SHARE


def _excess_share(draft: placement_draft.Draft, name: str) -> float:
    """Returns the share of a model's requests that its engines can't serve.

    This is the share that is late beyond those that always are, or the share
    that exceeds the engines' time and slots. Lateness shows overload of any
    cause, but a second after it starts.
    """
    load = min(draft.load[engine_id] for engine_id in draft.replicas[name])
    excess = 1.0 - placement_draft.FULL_LOAD / load if load > 0 else 0.0
    late = draft.inputs.demand_for(name).late - BASE_LATE_SHARE
    if load < MIN_LATE_LOAD or draft.is_on_its_way(name):
        # A lightly loaded engine is not the cause of late requests; and a
        # replica on its way ends their cause only once it is loaded.
        late = 0.0
    return max(0.0, excess, late)


def _best_move(draft: placement_draft.Draft, name: str) -> _Move | None:
    """Returns the best engine for a model, or None if none has a net gain."""
    gain = _gain(draft, name)
    replicas = draft.replicas[name]
    is_spare = bool(replicas) and _excess_share(draft, name) <= 0
    best = None
    for instance_id in draft.engines:
        if instance_id in replicas:
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
    """Whether a model fits beside everything that an engine holds."""
    inputs = draft.inputs
    used = draft.engines[instance_id].inventory.used_mb(inputs.spec)
    used = max(used, inputs.spec.weights_mb - draft.free_mb[instance_id])
    return used + inputs.size(name) <= inputs.spec.weights_mb


def _score(
    draft: placement_draft.Draft,
    instance_id: str,
    name: str,
    gain: float,
    loss: float,
    victims: tuple[str, ...],
) -> float:
    if loss > 0 and gain < loss * EVICTION_GAIN_RATIO:
        return -1.0
    engine = draft.engines[instance_id]
    inputs = draft.inputs
    demand = inputs.demand_for(name)
    busy = draft.load[instance_id]
    busy += demand.load / (len(draft.replicas[name]) + 1)
    served_share = (
        min(1.0, placement_draft.FULL_LOAD / busy) if busy > 0 else 1.0
    )
    cost = 0.0
    delay_s = 0.0
    if not engine.inventory.is_held_or_loading(name):
        delay_s, from_store = inputs.load_time(engine, name)
        cost = LOAD_COST if from_store else LOAD_COST / 4
        delay_s += placement_draft.load_delay_s(draft, engine, name)
    left_over = draft.free_mb[instance_id] + sum(map(inputs.size, victims))
    left_over -= inputs.size(name)
    cost += LEFT_OVER_COST * left_over / inputs.spec.weights_mb
    horizon_s = (
        placement_draft.HORIZON_S if demand.is_in_demand else IDLE_HORIZON_S
    )
    net_gain = gain * served_share * max(0.0, horizon_s - delay_s)
    # The engine's load delays all requests there.
    net_gain -= gain * busy
    return net_gain - loss * horizon_s - cost


def _cheapest_victims(
    draft: placement_draft.Draft, instance_id: str, name: str
) -> tuple[float, tuple[str, ...]] | None:
    """Returns the smallest loss, and the models to evict for another.

    None means that there is no such set. An engine holds few models, so all
    sets are tried.
    """
    size = draft.inputs.size
    missing_mb = size(name) - draft.free_mb[instance_id]
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
