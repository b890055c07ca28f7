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
import math

from sesamecross.ops.fleet import placement_data as data

# Demand for a model lasts about this long; gains and losses count over it.
HORIZON_S = 8.0
# A load costs about as much as this many requests: the weight store's time,
# and the engine's orders that wait meanwhile.
LOAD_COST = 0.5
# From this load on, an engine's streams pause for the prompts of others and
# its batch is nearly full: what is beyond is late.
FULL_SHARE = 0.7
# This share is late by chance: prompts that are too large to be on time.
LATE_SHARE = 0.15
LATE_LOAD = 0.2
# Models that were loaded stay at least this long: two that take turns in one
# place serve nobody.
STAY_S = 3.0
# A model that is asked for makes way only where this much more is won.
DISPLACE_TIMES = 1.5
# Fairness: a model that is found nowhere counts double after this time.
STARVED_S = 15.0
# A request of a model that makes way goes on about this long.
RUNNING_S = 1.5
# An unload of a model without requests.
UNLOAD_S = 0.1
# A place where requests have to end first is given up for one where a load
# can begin within this. Nothing else changes it: models that alternate
# between places would have room made for them everywhere.
SOON_S = 0.25
# Two models exchange places where one is worth this many times the other.
EXCHANGE_TIMES = 2.0
# A second place for a model of this load is worth a little, in room that is
# free: its engine can fail, and halves are served sooner.
SPARE_LOAD = 0.15
SPARE_SHARE = 0.1
# What it costs that a model moves elsewhere first, in requests a second.
MOVE_LOSS = 0.3
# Room left over counts a little, so that models go where they fit closely.
LEFT_OVER_COST = 0.3
# A model that nobody asks for is worth this much in room that is as good as
# free: one of many models is asked for next, and half of them would be found
# nowhere. It counts over a longer time, as nothing else changes meanwhile.
IDLE_VALUE = 0.02
IDLE_HORIZON_S = 60.0
# What its place is worth with no, one, and more other places. A model that
# was given several is probably a busy one.
IDLE_LOSSES = (IDLE_VALUE, 2 * IDLE_VALUE, 0.0)
MOVES_MOST = 12


class _Draft:
    """The target while it is changed.

    What is asked of it thousands of times for one plan is kept and not worked
    out: free room, load, and the requests under way.
    """

    __slots__ = (
        "inputs",
        "engines",
        "held",
        "places",
        "free",
        "load",
        "_running",
        "_losses",
        "_sizes",
        "_roomy",
    )

    def __init__(self, inputs: data.Inputs, target: data.Target):
        self.inputs = inputs
        self.engines = {
            engine.name: engine
            for engine in inputs.engines
            if not engine.is_leaving
        }
        # What each engine should hold, and where each model should be.
        self.held: dict[str, set[str]] = {name: set() for name in self.engines}
        self.places: dict[str, set[str]] = {
            name: set() for name in inputs.spec.models
        }
        # MB beside what should be held and the adapters, and how busy an
        # engine's models keep it.
        self.free = {
            name: inputs.spec.weights_mb - _adapters_mb(inputs, engine)
            for name, engine in self.engines.items()
        }
        self.load = dict.fromkeys(self.engines, 0.0)
        self._running = running_by_model(inputs)
        self._losses: dict[tuple[str, str], float | None] = {}
        self._sizes = {
            name: model.weights_mb for name, model in inputs.spec.models.items()
        }
        self._roomy: dict[str, list[tuple[float, str]]] = {}
        for instance_id, engine in self.engines.items():
            before = target.get(instance_id)
            if before is None:
                before = engine.ledger.all_models()
            for model in sorted(before):
                if model in self.places and self.fits(instance_id, model):
                    self.add(instance_id, model)

    def fits(self, instance_id: str, name: str) -> bool:
        """Whether there is room for a model beside what should be held."""
        return self.free[instance_id] >= self._sizes[name]

    def elsewhere_s(self, instance_id: str, name: str) -> float | None:
        """Returns how long a load takes at the best other engine with room.

        None where there is no room for it.
        """
        if name not in self._roomy:
            size = self._sizes[name]
            times = [
                (self.inputs.load_time(self.engines[other], name)[0], other)
                for other, free in self.free.items()
                if free >= size
            ]
            # The second one counts where the best is the engine itself.
            self._roomy[name] = sorted(times)[:2]
        for time_s, other in self._roomy[name]:
            if other != instance_id:
                return time_s
        return None

    def add(self, instance_id: str, name: str) -> None:
        """Adds a model to an engine."""
        self._spread(name, -1.0)
        self.held[instance_id].add(name)
        self.places[name].add(instance_id)
        self._spread(name, 1.0)
        self.free[instance_id] -= self.inputs.size(name)

    def remove(self, instance_id: str, name: str) -> None:
        """Takes a model from an engine."""
        self._spread(name, -1.0)
        self.held[instance_id].discard(name)
        self.places[name].discard(instance_id)
        self._spread(name, 1.0)
        self.free[instance_id] += self.inputs.size(name)

    def _spread(self, name: str, sign: float) -> None:
        """Adds a model's load to its engines, or takes it off them."""
        self._losses.clear()
        self._roomy.clear()
        places = self.places[name]
        for instance_id in places:
            share = self.inputs.demand_for(name).load / len(places)
            self.load[instance_id] += sign * share

    def running(self, instance_id: str, name: str) -> int:
        """Returns the requests under way for a model and its adapters."""
        return self._running.get((instance_id, name), 0)

    def loss(self, instance_id: str, name: str) -> float | None:
        """Returns what `_loss` does."""
        key = (instance_id, name)
        if key not in self._losses:
            self._losses[key] = _loss(self, instance_id, name)
        return self._losses[key]


def running_by_model(inputs: data.Inputs) -> dict[tuple[str, str], int]:
    """Returns the requests under way by engine and model."""
    running: dict[tuple[str, str], int] = {}
    for (instance_id, target), count in inputs.in_use.items():
        key = (instance_id, target.partition("/")[0])
        running[key] = running.get(key, 0) + count
    return running


def _adapters_mb(inputs: data.Inputs, engine: data.Engine) -> float:
    total = 0.0
    for target in engine.ledger.all_adapters():
        model = inputs.spec.models.get(target.partition("/")[0])
        total += model.adapter_mb if model else 0.0
    return total


def target(inputs: data.Inputs) -> data.Target:
    """Returns what each engine should hold."""
    draft = _Draft(inputs, inputs.target)
    _take_sooner_places(draft)
    _exchange_places(draft)
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


def fill(inputs: data.Inputs) -> data.Target:
    """Returns what engines hold, and what fits beside it."""
    draft = _Draft(inputs, {})
    for name in sorted(inputs.spec.models):
        if not inputs.demand_for(name).waiting or draft.places[name]:
            continue
        free = [one for one in draft.engines if _is_free(draft, one, name)]
        if free:
            draft.add(min(free, key=lambda one: (draft.load[one], one)), name)
    return {name: frozenset(held) for name, held in draft.held.items()}


def expected(
    inputs: data.Inputs, target: data.Target
) -> dict[str, dict[str, float]]:
    """Returns in how many seconds planned models will answer, by engine.

    Those are the models that an engine should hold and does not load yet.
    """
    draft = _Draft(inputs, target)
    waits: dict[str, dict[str, float]] = {}
    for instance_id, engine in draft.engines.items():
        ready_s = 0.0
        waits[instance_id] = {}
        for name in _not_begun(draft, instance_id):
            ready_s = max(ready_s, _waits_for(draft, engine, name))
            takes_s, _ = inputs.load_time(engine, name)
            ready_s += takes_s
            waits[instance_id][name] = ready_s
    return waits


def _not_begun(draft: _Draft, instance_id: str) -> list[str]:
    """Returns what an engine should hold and does not load, by its worth."""
    ledger = draft.engines[instance_id].ledger
    names = [
        name
        for name in draft.held[instance_id]
        if not ledger.holds_or_will(name)
    ]
    return sorted(
        names, key=lambda name: (-draft.inputs.demand_for(name).value, name)
    )


def _exchange_places(draft: _Draft) -> None:
    """Gives the places that are free soonest to the models worth most.

    The pattern: an engine with a busy model dies. Places are planned one
    after the other, so the idle room may be promised to a model that is asked
    for now and then, while the busy one waits 3 to 5 s until the requests of
    some other model have ended. As long as no load has begun, two models
    exchange their places at no cost.
    """
    planned = [
        (draft.inputs.demand_for(name).value, name, instance_id)
        for instance_id in draft.engines
        for name in _not_begun(draft, instance_id)
        if draft.inputs.demand_for(name).is_asked
    ]
    planned.sort(key=lambda one: (-one[0], one[1:]))
    moved: set[tuple[str, str]] = set()
    for value, name, instance_id in planned:
        if (name, instance_id) in moved:
            continue
        wait_s = _waits_for(draft, draft.engines[instance_id], name)
        best = None
        for lesser, other, other_id in planned:
            if lesser * EXCHANGE_TIMES > value or (other, other_id) in moved:
                continue
            if not _may_exchange(draft, name, instance_id, other, other_id):
                continue
            other_s = _waits_for(draft, draft.engines[other_id], other)
            gain_s = wait_s - other_s
            if gain_s > SOON_S and (best is None or gain_s > best[0]):
                best = (gain_s, other, other_id)
        if best is not None:
            _, other, other_id = best
            draft.remove(instance_id, name)
            draft.remove(other_id, other)
            draft.add(other_id, name)
            draft.add(instance_id, other)
            moved |= {(other, other_id), (name, instance_id)}


def _may_exchange(
    draft: _Draft, name: str, instance_id: str, other: str, other_id: str
) -> bool:
    if instance_id == other_id:
        return False
    if other_id in draft.places[name] or instance_id in draft.places[other]:
        return False
    size = draft.inputs.size
    return draft.free[other_id] + size(other) >= size(name) and draft.free[
        instance_id
    ] + size(name) >= size(other)


def _take_sooner_places(draft: _Draft) -> None:
    """Moves what waits for requests to end to where a load can begin now."""
    for instance_id, engine in draft.engines.items():
        for name in sorted(draft.held[instance_id]):
            if engine.ledger.holds_or_will(name):
                continue
            if not draft.inputs.demand_for(name).is_asked:
                continue
            if _waits_for(draft, engine, name) <= SOON_S:
                continue
            draft.remove(instance_id, name)
            to = _soonest_place(draft, name)
            draft.add(to or instance_id, name)


def _soonest_place(draft: _Draft, name: str) -> str | None:
    """Returns an engine where a load can begin now and nothing is lost."""
    rated = []
    for instance_id, engine in draft.engines.items():
        if instance_id in draft.places[name]:
            continue
        if not draft.fits(instance_id, name):
            continue
        if _waits_for(draft, engine, name) <= SOON_S:
            takes_s, _ = draft.inputs.load_time(engine, name)
            rated.append((draft.load[instance_id] + takes_s, instance_id))
    return min(rated)[1] if rated else None


@dataclasses.dataclass(frozen=True, slots=True)
class _Move:
    """A model gets a place, and others make way for it."""

    score: float
    instance_id: str
    name: str
    victims: tuple[str, ...]


def _apply(draft: _Draft, move: _Move) -> None:
    for victim in move.victims:
        draft.remove(move.instance_id, victim)
    draft.add(move.instance_id, move.name)


def _most_worth(draft: _Draft, tried: set[str]) -> str | None:
    """Returns the model for which one more place is worth most."""
    best = None
    for name in draft.inputs.spec.models:
        if name in tried:
            continue
        rated = (_gain(draft, name), name)
        if rated[0] > 0 and (best is None or rated > best):
            best = rated
    return best[1] if best else None


def _gain(draft: _Draft, name: str) -> float:
    """Returns what one more place of a model is worth, in requests a second.

    The first place is worth all that depends on the model. A further one is
    worth what the places that there are can't take, or a little where the
    room is free.
    """
    demand = draft.inputs.demand_for(name)
    places = draft.places[name]
    if not demand.is_asked:
        is_missed = not places and draft.inputs.knows_engines
        return IDLE_VALUE if is_missed else 0.0
    if not places:
        return demand.value * (1.0 + demand.starved_s / STARVED_S)
    over = _over(draft, name)
    if over > 0:
        return demand.rate * over
    if demand.load < SPARE_LOAD or len(places) > 1:
        return 0.0
    return demand.rate * SPARE_SHARE


def _over(draft: _Draft, name: str) -> float:
    """Returns the share of a model's requests that its engines can't take.

    That is the share that is late, beyond what is always late by chance, or
    what exceeds the engines' time and places: lateness shows overload of any
    cause, a second after it began.
    """
    load = min(draft.load[one] for one in draft.places[name])
    excess = 1.0 - FULL_SHARE / load if load > 0 else 0.0
    late = draft.inputs.demand_for(name).late - LATE_SHARE
    if load < LATE_LOAD:
        # A lightly loaded engine is not what makes them late.
        late = 0.0
    return max(0.0, excess, late)


def _best_move(draft: _Draft, name: str) -> _Move | None:
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


def _is_free(draft: _Draft, instance_id: str, name: str) -> bool:
    """Whether a model fits beside all that an engine holds."""
    inputs = draft.inputs
    used = draft.engines[instance_id].ledger.used_mb(inputs.spec)
    used = max(used, inputs.spec.weights_mb - draft.free[instance_id])
    return used + inputs.size(name) <= inputs.spec.weights_mb


def _score(
    draft: _Draft,
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
    takes = min(1.0, FULL_SHARE / busy) if busy > 0 else 1.0
    cost = 0.0
    delay_s = 0.0
    if not engine.ledger.holds_or_will(name):
        delay_s, from_store = inputs.load_time(engine, name)
        cost = LOAD_COST if from_store else LOAD_COST / 4
        delay_s += _waits_for(draft, engine, name)
    left_over = draft.free[instance_id] + sum(map(inputs.size, victims))
    left_over -= inputs.size(name)
    cost += LEFT_OVER_COST * left_over / inputs.spec.weights_mb
    horizon_s = HORIZON_S if demand.is_asked else IDLE_HORIZON_S
    win = gain * takes * max(0.0, horizon_s - delay_s)
    # An engine's load is everybody's wait there.
    win -= gain * busy
    return win - loss * horizon_s - cost


def _waits_for(draft: _Draft, engine: data.Engine, name: str) -> float:
    """Returns how long an engine needs until a load can begin."""
    inputs = draft.inputs
    ledger = engine.ledger
    missing_mb = ledger.used_mb(inputs.spec) + inputs.size(name)
    missing_mb -= inputs.spec.weights_mb
    wait_s = 0.0
    if any("/" not in target for target in ledger.arriving):
        wait_s += 1.0
    if missing_mb <= 0:
        return wait_s
    leaving = [
        (draft.running(engine.name, one), one)
        for one in ledger.models
        if one not in draft.held[engine.name]
    ]
    for requests, one in sorted(leaving):
        if missing_mb <= 0:
            break
        missing_mb -= inputs.size(one)
        wait_s += UNLOAD_S
        if requests:
            # The last of them to end counts.
            wait_s += RUNNING_S * (1.0 + math.log(requests))
    return wait_s


def _cheapest_victims(
    draft: _Draft, instance_id: str, name: str
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


def _loss(draft: _Draft, instance_id: str, name: str) -> float | None:
    """Returns what is lost, in requests a second, when a model makes way.

    None where it must stay: it was loaded only now.
    """
    inputs = draft.inputs
    ledger = draft.engines[instance_id].ledger
    loaded_s = ledger.loaded_s.get(name, -STAY_S)
    if name in ledger.arriving or inputs.now_s - loaded_s < STAY_S:
        return None
    demand = inputs.demand_for(name)
    others = [one for one in draft.places[name] if one != instance_id]
    if not demand.is_asked:
        return IDLE_LOSSES[min(len(others), len(IDLE_LOSSES) - 1)]
    if others:
        share = demand.load / len(others)
        busy = min(draft.load[one] for one in others) + share
        return demand.rate * max(0.0, 1.0 - FULL_SHARE / max(busy, 1e-9))
    if demand.waiting:
        return None
    elsewhere_s = draft.elsewhere_s(instance_id, name)
    if elsewhere_s is not None:
        # It is loaded there first: what waits is the model that comes, for
        # the length of the load.
        return MOVE_LOSS + demand.value * elsewhere_s / HORIZON_S
    return demand.value
