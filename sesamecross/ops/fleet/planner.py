"""Plans what engines load and unload, by what is asked for now.

Why: there are more models than fit, and which of them are asked for changes
within seconds. A request for a model that is held nowhere waits for a load,
so the plan is made anew several times a second, from demand that counts
waiting and refused requests. First comes the target, which models each engine
should hold; then the orders that lead there, one for each engine at a time.

The target keeps what is asked for where it is, finds a place for each model
that is asked for and held nowhere, and gives busy models further places in
the room that is left. A model that is not asked for stays until its room is
needed. Where large models find no room because small ones lie apart, a small
one moves: it is loaded elsewhere first, and unloaded then.
"""

from collections.abc import Mapping
import dataclasses
import enum

from sesamecross.core import serving
from sesamecross.ops.fleet import engine_ledger

# A model counts as asked for until its long-smoothed rate falls below this,
# or while a request waits for it: one request keeps it for 9 s, a busy model
# that falls silent is kept for 21 s unless others need the room.
ASKED_RATE = 0.03
# Reading prompts takes most of an engine's time; above this share of it the
# wait in front is longer than the reading, and grows quickly.
BUSY_SHARE = 0.55
# Below this rate a second place brings nothing.
SPREAD_RATE = 1.0
# A model that is asked for makes way only for one worth this much more, and
# not sooner than this after it was loaded: two models that take turns in one
# place serve nobody.
DISPLACE_TIMES = 4.0
DISPLACE_AFTER_S = 5.0
# Costs of a place in seconds, beside the time of the load itself: an engine
# at full work; all of its room left over, so that models go where they fit
# closely; requests of a model that has to make way; an unload.
LOAD_S = 3.0
LEFT_OVER_S = 0.5
RUNNING_S = 2.5
UNLOAD_S = 0.1
# A place for which room is being made is kept unless another is this much
# better.
STICK_S = 1.5
# After a model was withdrawn, until no instance sends to it any more.
SETTLE_S = 0.3
# An adapter is there after some milliseconds; a little more for the way.
ADAPTER_S = 0.012


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """What is known of the demand for one model.

    Attributes:
      rate: Requests a second now. usual: the same, smoothed over long.
      work_s: Seconds of an engine's time that its requests take a second.
      waiting: Requests that wait until it answers.
    """

    rate: float
    usual: float
    work_s: float
    waiting: int

    @property
    def is_asked(self) -> bool:
        """Whether it should be held somewhere."""
        return self.waiting > 0 or self.usual >= ASKED_RATE

    @property
    def value(self) -> float:
        """How much is lost a second while it is held nowhere."""
        return max(self.rate, self.usual) + self.waiting


NO_DEMAND = ModelDemand(0.0, 0.0, 0.0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine that may get orders.

    Attributes:
      free_for_order: Whether no order is under way there, and all that it
        holds is known.
      is_leaving: It still serves, but what it holds has to be elsewhere.
    """

    ledger: engine_ledger.EngineLedger
    free_for_order: bool
    is_leaving: bool

    @property
    def name(self) -> str:
        """Its instance id."""
        return self.ledger.instance_id


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterWant:
    """Requests wait for an adapter at an engine."""

    instance_id: str
    target: str


class StepKind(enum.Enum):
    """What is done.

    Attributes:
      LOAD, UNLOAD: An order to the engine.
      WITHDRAW: No order yet: instances send no new requests for the model,
        so that it can be unloaded without holding up the engine's orders.
    """

    LOAD = "load"
    UNLOAD = "unload"
    WITHDRAW = "withdraw"


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Something that should be done now, and why."""

    kind: StepKind
    instance_id: str
    target: str
    reason: str
    from_store: bool = False
    takes_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Inputs:
    """All that a plan is made from.

    Attributes:
      demand: By model.
      in_use: Requests under way by engine and target.
      withdrawn: Models that get no new requests at an engine, since when.
      places: Where the last plan wanted models that were held nowhere.
      wants: Adapters that requests wait for.
      store_loads: How many loads from the store may begin now.
    """

    spec: serving.EngineSpec
    engines: tuple[Engine, ...]
    demand: Mapping[str, ModelDemand]
    in_use: Mapping[tuple[str, str], int]
    withdrawn: Mapping[tuple[str, str], float]
    places: Mapping[str, str]
    wants: tuple[AdapterWant, ...]
    store_loads: int
    now_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to do now, and where models are wanted that are held nowhere."""

    steps: tuple[Step, ...]
    places: Mapping[str, str]


class _Draft:
    """The plan while it is made."""

    __slots__ = (
        "inputs",
        "spec",
        "engines",
        "target",
        "free",
        "primary",
        "places",
        "running",
        "steps",
        "taken",
        "store_loads",
    )

    def __init__(self, inputs: Inputs):
        self.inputs = inputs
        self.spec = inputs.spec
        self.engines = {
            engine.name: engine
            for engine in inputs.engines
            if not engine.is_leaving
        }
        # Models that each engine should hold, and the room beside them.
        self.target: dict[str, set[str]] = {
            name: set() for name in self.engines
        }
        self.free = {
            name: inputs.spec.weights_mb - self._adapters_mb(engine)
            for name, engine in self.engines.items()
        }
        # The engine that each model that is asked for should not miss.
        self.primary: dict[str, str] = {}
        self.places: dict[str, str] = {}
        self.running: dict[tuple[str, str], int] = {}
        for (instance_id, target), running in inputs.in_use.items():
            key = (instance_id, target.partition("/")[0])
            self.running[key] = self.running.get(key, 0) + running
        self.steps: list[Step] = []
        self.taken: set[str] = set()
        self.store_loads = inputs.store_loads

    def _adapters_mb(self, engine: Engine) -> float:
        total = 0.0
        for target in engine.ledger.all_adapters():
            model = self.spec.models.get(target.partition("/")[0])
            total += model.adapter_mb if model else 0.0
        return total

    def size(self, name: str) -> float:
        """Returns a model's size in MB."""
        model = self.spec.models.get(name)
        return model.weights_mb if model else 0.0

    def demand(self, name: str) -> ModelDemand:
        """Returns the demand for a model."""
        return self.inputs.demand.get(name, NO_DEMAND)

    def holders(self, name: str) -> list[str]:
        """Returns engines that hold a model or load it."""
        return [
            engine.name
            for engine in self.engines.values()
            if engine.ledger.holds_or_will(name)
        ]

    def want(self, instance_id: str, name: str) -> None:
        """Adds a model to an engine's target."""
        self.target[instance_id].add(name)
        self.free[instance_id] -= self.size(name)

    def unwant(self, instance_id: str, name: str) -> None:
        """Takes a model out of an engine's target."""
        self.target[instance_id].discard(name)
        self.free[instance_id] += self.size(name)

    def load_of(self, instance_id: str) -> float:
        """Returns the share of an engine's time that its target takes."""
        load = 0.0
        for name in self.target[instance_id]:
            places = sum(1 for held in self.target.values() if name in held)
            load += self.demand(name).work_s / places
        return load

    def load_time(self, instance_id: str, name: str) -> tuple[float, bool]:
        """Returns how long a load takes, and whether the store is asked."""
        model = self.spec.models[name]
        copies = self.engines[instance_id].ledger.copies
        if name in copies.in_memory:
            return model.memory_load_s, False
        if name in copies.on_disk:
            return model.disk_load_s, False
        return model.store_load_s, True


def plan(inputs: Inputs) -> Plan:
    """Returns what to do now."""
    draft = _Draft(inputs)
    _keep(draft)
    missing = _place_missing(draft)
    _keep_further(draft)
    if not missing:
        _add_further(draft)
    _order_adapters(draft)
    _order_models(draft)
    return Plan(tuple(draft.steps), draft.places)


# -- the target -----------------------------------------------------------


def _keep(draft: _Draft) -> None:
    """Keeps one place of each model that is asked for."""
    asked = [n for n in draft.spec.models if draft.demand(n).is_asked]
    for name in sorted(asked, key=lambda n: (-draft.size(n), n)):
        holders = [one for one in draft.holders(name) if draft.free[one] >= 0]
        if not holders:
            continue
        best = min(holders, key=lambda one: _keep_cost(draft, one, name))
        draft.primary[name] = best
        draft.want(best, name)


def _keep_cost(draft: _Draft, instance_id: str, name: str) -> tuple:
    ledger = draft.engines[instance_id].ledger
    is_withdrawn = (instance_id, name) in draft.inputs.withdrawn
    return (
        is_withdrawn,
        name not in ledger.models,
        draft.load_of(instance_id),
        instance_id,
    )


def _place_missing(draft: _Draft) -> bool:
    """Finds places for models that are held nowhere.

    Returns:
      Whether any such model had to be looked after.
    """
    missing = [
        name
        for name in draft.spec.models
        if draft.demand(name).is_asked and name not in draft.primary
    ]
    missing.sort(key=lambda n: (-draft.size(n), -draft.demand(n).value, n))
    for name in missing:
        best = _best_place(draft, name)
        if best is None:
            best = _relocate(draft, name)
        if best is None:
            best = _displace(draft, name)
        if best is not None:
            draft.primary[name] = best
            draft.places[name] = best
            draft.want(best, name)
    return bool(missing)


def _best_place(draft: _Draft, name: str) -> str | None:
    """Returns the cheapest engine with room beside its target."""
    size = draft.size(name)
    rated = [
        (_place_cost(draft, one, name), one)
        for one in draft.engines
        if draft.free[one] >= size
    ]
    return min(rated)[1] if rated else None


def _place_cost(draft: _Draft, instance_id: str, name: str) -> float:
    ledger = draft.engines[instance_id].ledger
    takes_s, _ = draft.load_time(instance_id, name)
    room = draft.spec.weights_mb
    left_over = (draft.free[instance_id] - draft.size(name)) / room
    cost = takes_s + draft.load_of(instance_id) * LOAD_S
    cost += left_over * LEFT_OVER_S
    missing_mb = ledger.used_mb(draft.spec) + draft.size(name) - room
    if missing_mb > 0:
        cost += UNLOAD_S
        victims = [
            one for one in ledger.models if _may_go(draft, instance_id, one)
        ]
        if any(draft.running.get((instance_id, one)) for one in victims):
            cost += RUNNING_S
    if draft.inputs.places.get(name) == instance_id:
        cost -= STICK_S
    return cost


def _may_go(draft: _Draft, instance_id: str, name: str) -> bool:
    return name not in draft.target[instance_id]


def _relocate(draft: _Draft, name: str) -> str | None:
    """Moves a smaller model elsewhere, so that a large one finds room."""
    best: tuple[float, str, str, str] | None = None
    for instance_id in draft.engines:
        missing_mb = draft.size(name) - draft.free[instance_id]
        for other in draft.target[instance_id]:
            if not missing_mb <= draft.size(other) < draft.size(name):
                continue
            for to in draft.engines:
                if to == instance_id or draft.free[to] < draft.size(other):
                    continue
                takes_s, _ = draft.load_time(to, other)
                cost = takes_s + draft.load_of(instance_id) * LOAD_S
                if draft.inputs.places.get(name) == instance_id:
                    cost -= STICK_S
                if best is None or (cost, instance_id, other, to) < best:
                    best = (cost, instance_id, other, to)
    if best is None:
        return None
    _, instance_id, other, to = best
    draft.unwant(instance_id, other)
    draft.want(to, other)
    draft.primary[other] = to
    return instance_id


def _displace(draft: _Draft, name: str) -> str | None:
    """Gives a model the place of others that are worth far less."""
    value = draft.demand(name).value
    best: tuple[float, str, list[str]] | None = None
    for instance_id in draft.engines:
        found = _displaceable(draft, instance_id, name, value)
        if found is None:
            continue
        lost = sum(draft.demand(one).value for one in found)
        if lost * DISPLACE_TIMES < value and (best is None or lost < best[0]):
            best = (lost, instance_id, found)
    if best is None:
        return None
    _, instance_id, victims = best
    for one in victims:
        draft.unwant(instance_id, one)
        draft.primary.pop(one, None)
    return instance_id


def _displaceable(
    draft: _Draft, instance_id: str, name: str, value: float
) -> list[str] | None:
    """Returns the models of least value that would have to go."""
    ledger = draft.engines[instance_id].ledger
    missing_mb = draft.size(name) - draft.free[instance_id]
    chosen: list[str] = []
    for other in sorted(
        draft.target[instance_id], key=lambda n: (draft.demand(n).value, n)
    ):
        if missing_mb <= 0:
            break
        loaded_s = ledger.loaded_s.get(other, -DISPLACE_AFTER_S)
        if draft.inputs.now_s - loaded_s < DISPLACE_AFTER_S:
            continue
        if other in ledger.arriving or draft.demand(other).value >= value:
            continue
        chosen.append(other)
        missing_mb -= draft.size(other)
    return chosen if missing_mb <= 0 else None


def _keep_further(draft: _Draft) -> None:
    """Keeps further places of busy models, as far as there is room."""
    by_load = sorted(draft.primary, key=lambda n: (-draft.demand(n).work_s, n))
    for name in by_load:
        if draft.demand(name).rate < SPREAD_RATE:
            continue
        for instance_id in sorted(draft.holders(name)):
            if name in draft.target[instance_id]:
                continue
            if draft.free[instance_id] >= draft.size(name):
                draft.want(instance_id, name)


def _add_further(draft: _Draft) -> None:
    """Gives models a further place where their engines are busy."""
    by_load = []
    for name in draft.primary:
        demand = draft.demand(name)
        places = [one for one, held in draft.target.items() if name in held]
        if demand.rate < SPREAD_RATE or not places:
            continue
        least = min(draft.load_of(one) for one in places)
        if least >= BUSY_SHARE or len(places) == 1:
            by_load.append((least, demand.work_s, name))
    for least, _, name in sorted(by_load, reverse=True):
        rated = [
            (_place_cost(draft, one, name), one)
            for one in draft.engines
            if draft.free[one] >= draft.size(name)
            and name not in draft.target[one]
            and (least < BUSY_SHARE or draft.load_of(one) < least)
        ]
        if rated:
            draft.want(min(rated)[1], name)


# -- the orders -----------------------------------------------------------


def _order_models(draft: _Draft) -> None:
    wanted = []
    for instance_id, models in draft.target.items():
        ledger = draft.engines[instance_id].ledger
        for name in models:
            if not ledger.holds_or_will(name):
                is_first = draft.primary.get(name) == instance_id
                value = draft.demand(name).value
                wanted.append((is_first, value, name, instance_id))
    for is_first, _, name, instance_id in sorted(wanted, reverse=True):
        _lead_to(draft, instance_id, name, is_first)


def _lead_to(
    draft: _Draft, instance_id: str, name: str, is_first: bool
) -> None:
    """Adds the next step towards a model at an engine."""
    engine = draft.engines[instance_id]
    if instance_id in draft.taken:
        return
    reason = "is asked for" if is_first else "its engines are busy"
    free_mb = draft.spec.weights_mb - engine.ledger.used_mb(draft.spec)
    if free_mb < draft.size(name):
        _make_room(draft, engine, name, reason)
        return
    takes_s, from_store = draft.load_time(instance_id, name)
    if not engine.free_for_order or (from_store and draft.store_loads <= 0):
        return
    draft.taken.add(instance_id)
    draft.store_loads -= 1 if from_store else 0
    draft.steps.append(
        Step(StepKind.LOAD, instance_id, name, reason, from_store, takes_s)
    )


def _make_room(draft: _Draft, engine: Engine, name: str, reason: str) -> None:
    instance_id = engine.name
    victims = [
        one
        for one in engine.ledger.models
        if one not in draft.target[instance_id]
        and _is_elsewhere(draft, instance_id, one)
    ]
    if not victims:
        return
    victim = min(
        victims,
        key=lambda n: (
            (instance_id, n) not in draft.inputs.withdrawn,
            draft.running.get((instance_id, n), 0) > 0,
            draft.demand(n).value,
            n,
        ),
    )
    why = f"makes room for {name}, which {reason}"
    if not _is_idle(draft, instance_id, victim):
        if (instance_id, victim) not in draft.inputs.withdrawn:
            draft.steps.append(
                Step(StepKind.WITHDRAW, instance_id, victim, why)
            )
        return
    if engine.free_for_order:
        draft.taken.add(instance_id)
        draft.steps.append(Step(StepKind.UNLOAD, instance_id, victim, why))


def _is_elsewhere(draft: _Draft, instance_id: str, name: str) -> bool:
    """Whether a model that is asked for answers where it should be."""
    primary = draft.primary.get(name)
    if primary is None:
        return True
    return primary != instance_id and (
        name in draft.engines[primary].ledger.models
    )


def _is_idle(draft: _Draft, instance_id: str, name: str) -> bool:
    """Whether a model has no requests and gets none."""
    if draft.running.get((instance_id, name), 0) > 0:
        return False
    since_s = draft.inputs.withdrawn.get((instance_id, name))
    if since_s is not None:
        return draft.inputs.now_s - since_s >= SETTLE_S
    return draft.demand(name).rate < ASKED_RATE


# -- adapters -------------------------------------------------------------


def _order_adapters(draft: _Draft) -> None:
    for want in draft.inputs.wants:
        engine = draft.engines.get(want.instance_id)
        if engine is None or not engine.free_for_order:
            continue
        if engine.name not in draft.taken:
            _order_adapter(draft, engine, want.target)


def _order_adapter(draft: _Draft, engine: Engine, target: str) -> None:
    ledger = engine.ledger
    spec = draft.spec
    model = spec.models.get(target.partition("/")[0])
    if model is None or model.name not in ledger.models:
        return
    if ledger.holds_or_will(target):
        return
    adapters = ledger.all_adapters()
    free_mb = spec.weights_mb - ledger.used_mb(spec)
    if len(adapters) >= spec.adapter_slots or free_mb < model.adapter_mb:
        victim = _idle_adapter(draft, engine)
        if victim is not None:
            draft.taken.add(engine.name)
            why = f"makes room for {target}"
            draft.steps.append(Step(StepKind.UNLOAD, engine.name, victim, why))
        return
    draft.taken.add(engine.name)
    why = "a request waits for it"
    draft.steps.append(
        Step(StepKind.LOAD, engine.name, target, why, False, ADAPTER_S)
    )


def _idle_adapter(draft: _Draft, engine: Engine) -> str | None:
    """Returns the adapter that no request uses, the oldest one first."""
    ledger = engine.ledger
    wanted = {
        want.target
        for want in draft.inputs.wants
        if want.instance_id == engine.name
    }
    idle = [
        (ledger.loaded_s.get(target, 0.0), target)
        for target in ledger.adapters
        if target not in wanted
        and not draft.inputs.in_use.get((engine.name, target))
    ]
    return min(idle)[1] if idle else None
