"""A placement target under construction, and the cost of changing it.

The planner evaluates many small moves. This module caches what they query
thousands of times per plan: free room, load, the loss when a model is evicted,
and how long an engine needs until a load can start.
"""

import math

from sesamecross.ops.fleet import load_turns
from sesamecross.ops.fleet import placement_types as data

# Above this load, an engine's streams are interrupted by the prefill of others
# and its batch is nearly full, so requests beyond it are late.
FULL_LOAD = 0.7
# Value of a redundant replica, as a share of the model's requests: an engine
# can fail, and requests split over two engines are served sooner.
SPARE_SHARE = 0.1
# Minimum time that a loaded model stays: two models that alternate on an engine
# serve no requests.
MIN_STAY_S = 3.0
# Typical duration of demand for a model, over which gains and losses count.
HORIZON_S = 8.0
# Cost of loading a model elsewhere first, in requests per second.
MOVE_LOSS = 0.3
# Typical remaining time of a request to a model that is being evicted.
RUNNING_REQUEST_S = 1.5
# Duration of the unload of a model without requests.
UNLOAD_S = 0.1
# Value of a model without demand in room that is otherwise unused, in requests
# per second: any of the many models may be requested next, and without this
# half of them would be held nowhere.
IDLE_VALUE = 0.02
# Value of such a model's replica if it has no, one, or more others. A model
# that was given several replicas is probably a busy one.
IDLE_LOSSES = (IDLE_VALUE, 2 * IDLE_VALUE, 0.0)
# The same for a model that only patient requests ask for: it makes way before a
# model without demand, as its group is served and the next one can wait.
PATIENT_VALUE = 1.25 * IDLE_VALUE
# The same if it has requests in flight: the incoming model waits until they
# have ended.
USED_VALUE = 0.05
# Patient requests at a higher rate than this, per second, are no groups: a
# model that makes way for one would be loaded again at once.
MAX_GROUP_RATE = 1.0


class Draft:
    """A placement target that is being changed.

    Caches what is queried thousands of times per plan: free room, load, and the
    requests in flight.

    Attributes:
      turns: The models whose turn it is to be loaded, the longest missed first.
    """

    __slots__ = (
        "inputs",
        "turns",
        "engines",
        "held",
        "replicas",
        "free_mb",
        "load",
        "_running",
        "_losses",
        "_sizes",
        "_fastest_with_room",
    )

    def __init__(self, inputs: data.Inputs, target: data.PlacementTarget):
        self.inputs = inputs
        self.turns = load_turns.first_in_line(inputs)
        self.engines = {
            engine.name: engine
            for engine in inputs.engines
            if not engine.is_leaving
        }
        # Target models by engine, and target engines by model.
        self.held: dict[str, set[str]] = {name: set() for name in self.engines}
        self.replicas: dict[str, set[str]] = {
            name: set() for name in inputs.spec.models
        }
        # MB left beside target models and adapters, and the load from the
        # target models, by engine.
        self.free_mb = {
            name: inputs.spec.weights_mb - _adapters_mb(inputs, engine)
            for name, engine in self.engines.items()
        }
        self.load = dict.fromkeys(self.engines, 0.0)
        self._running = running_by_model(inputs)
        self._losses: dict[tuple[str, str], float | None] = {}
        self._sizes = {
            name: model.weights_mb for name, model in inputs.spec.models.items()
        }
        self._fastest_with_room: dict[str, list[tuple[float, str]]] = {}
        for instance_id, engine in self.engines.items():
            initial = target.get(instance_id)
            if initial is None:
                initial = engine.inventory.all_models()
            for model in sorted(initial):
                if model in self.replicas and self.fits(instance_id, model):
                    self.add(instance_id, model)

    def fits(self, instance_id: str, name: str) -> bool:
        """Whether there is room for a model beside the target models."""
        return self.free_mb[instance_id] >= self._sizes[name]

    def load_elsewhere_s(self, instance_id: str, name: str) -> float | None:
        """Returns the load time at the fastest other engine with room, or None.

        None means that no other engine has room.
        """
        if name not in self._fastest_with_room:
            size = self._sizes[name]
            times = [
                (self.inputs.load_time(self.engines[other], name)[0], other)
                for other, free_mb in self.free_mb.items()
                if free_mb >= size
            ]
            # The second one is used if the fastest is the engine itself.
            self._fastest_with_room[name] = sorted(times)[:2]
        for time_s, other in self._fastest_with_room[name]:
            if other != instance_id:
                return time_s
        return None

    def add(self, instance_id: str, name: str) -> None:
        """Adds a model to an engine."""
        self._apply_load(name, -1.0)
        self.held[instance_id].add(name)
        self.replicas[name].add(instance_id)
        self._apply_load(name, 1.0)
        self.free_mb[instance_id] -= self.inputs.size(name)

    def remove(self, instance_id: str, name: str) -> None:
        """Removes a model from an engine."""
        self._apply_load(name, -1.0)
        self.held[instance_id].discard(name)
        self.replicas[name].discard(instance_id)
        self._apply_load(name, 1.0)
        self.free_mb[instance_id] += self.inputs.size(name)

    def _apply_load(self, name: str, sign: float) -> None:
        """Adds a model's load to its engines, or subtracts it."""
        self._losses.clear()
        self._fastest_with_room.clear()
        replicas = self.replicas[name]
        for instance_id in replicas:
            share = self.inputs.demand_for(name).load / len(replicas)
            self.load[instance_id] += sign * share

    def engines_holding(self, name: str) -> list[str]:
        """Returns the engines that hold a model now."""
        return [
            engine.name
            for engine in self.engines.values()
            if name in engine.inventory.models
        ]

    def move_first_s(
        self, instance_id: str, name: str, room_value: float
    ) -> float:
        """Returns how long a model to be evicted has to load elsewhere first.

        Args:
          instance_id: The engine that evicts it.
          name: The model to evict.
          room_value: Requests per second that depend on its room.
        """
        planned = self.replicas[name]
        is_held_elsewhere = any(
            other_id in planned for other_id in self.engines_holding(name)
        )
        if not planned or not self.inputs.must_move_first(
            name, is_held_elsewhere, room_value
        ):
            return 0.0
        return min(
            self.inputs.load_time(self.engines[other_id], name)[0]
            for other_id in planned
        )

    def planned(self, instance_id: str) -> list[str]:
        """Returns the models that an engine is to load and has not begun."""
        inventory = self.engines[instance_id].inventory
        return [
            name
            for name in sorted(self.held[instance_id])
            if not inventory.is_held_or_loading(name)
        ]

    def is_on_its_way(self, name: str) -> bool:
        """Whether a planned replica of a model is not loaded yet."""
        return any(
            name not in self.engines[instance_id].inventory.models
            for instance_id in self.replicas[name]
        )

    def is_needed(self, instance_id: str, name: str) -> bool:
        """Whether streams wait for just this replica of a model."""
        return self.inputs.is_needed(name, instance_id, self.replicas[name])

    def running(self, instance_id: str, name: str) -> int:
        """Returns the requests in flight for a model and its adapters."""
        return self._running.get((instance_id, name), 0)

    def loss(self, instance_id: str, name: str) -> float | None:
        """Returns the cached result of `_loss`."""
        if self.is_needed(instance_id, name):
            return None
        key = (instance_id, name)
        if key not in self._losses:
            self._losses[key] = _loss(self, instance_id, name)
        return self._losses[key]


def running_by_model(inputs: data.Inputs) -> dict[tuple[str, str], int]:
    """Returns the requests in flight by engine and model."""
    running: dict[tuple[str, str], int] = {}
    for (instance_id, target), count in inputs.in_use.items():
        key = (instance_id, target.partition("/")[0])
        running[key] = running.get(key, 0) + count
    return running


def _adapters_mb(inputs: data.Inputs, engine: data.Engine) -> float:
    total = 0.0
    for target in engine.inventory.all_adapters():
        model = inputs.spec.models.get(target.partition("/")[0])
        total += model.adapter_mb if model else 0.0
    return total


def load_delay_s(draft: Draft, engine: data.Engine, name: str) -> float:
    """Returns how long an engine needs until a load can start."""
    inputs = draft.inputs
    inventory = engine.inventory
    missing_mb = inventory.used_mb(inputs.spec) + inputs.size(name)
    missing_mb -= inputs.spec.weights_mb
    wait_s = 0.0
    if any("/" not in target for target in inventory.loading):
        wait_s += 1.0
    if missing_mb <= 0:
        return wait_s
    room_value = 0.0
    if not draft.engines_holding(name):
        room_value = inputs.demand_for(name).load_value
    evicted = [
        (draft.move_first_s(engine.name, victim, room_value), requests, victim)
        for requests, victim in (
            (draft.running(engine.name, victim), victim)
            for victim in inventory.models
            if victim not in draft.held[engine.name]
        )
    ]
    for move_first_s, requests, victim in sorted(evicted):
        if missing_mb <= 0:
            break
        missing_mb -= inputs.size(victim)
        wait_s += UNLOAD_S + move_first_s
        if requests:
            # The time until the last of them ends.
            wait_s += RUNNING_REQUEST_S * (1.0 + math.log(requests))
    return wait_s


def _loss(draft: Draft, instance_id: str, name: str) -> float | None:
    """Returns the loss in requests per second if a model is evicted.

    None means that it must stay: it is loading or was loaded recently, its turn
    has come, or requests wait for it and it has no other replica.
    """
    inputs = draft.inputs
    inventory = draft.engines[instance_id].inventory
    loaded_s = inventory.loaded_s.get(name, -MIN_STAY_S)
    if name in inventory.loading or inputs.now_s - loaded_s < MIN_STAY_S:
        return None
    demand = inputs.demand_for(name)
    others = [
        other_id for other_id in draft.replicas[name] if other_id != instance_id
    ]
    if name in draft.turns and not others:
        return None
    if not demand.is_in_demand and demand.is_awaited and not others:
        return max(PATIENT_VALUE, demand.group_value)
    if not demand.is_in_demand and demand.patient_rate >= data.MIN_DEMAND_RATE:
        is_used = draft.running(instance_id, name) > 0
        return _patient_loss(demand, len(others), is_used)
    if not demand.is_in_demand:
        return IDLE_LOSSES[min(len(others), len(IDLE_LOSSES) - 1)]
    if others:
        share = demand.load / len(others)
        busy = min(draft.load[other_id] for other_id in others) + share
        return demand.rate * max(0.0, 1.0 - FULL_LOAD / max(busy, 1e-9))
    if demand.waiting:
        return None
    load_elsewhere_s = draft.load_elsewhere_s(instance_id, name)
    if load_elsewhere_s is not None:
        # It is loaded there first, and the incoming model waits for that load.
        return MOVE_LOSS + demand.value * load_elsewhere_s / HORIZON_S
    return demand.value


def _patient_loss(
    demand: data.ModelDemand, others: int, is_used: bool
) -> float:
    """Returns the loss if a model that only patient requests ask for goes."""
    if others and demand.load / others <= FULL_LOAD:
        return 0.0
    beyond_groups = max(0.0, demand.patient_rate - MAX_GROUP_RATE)
    rare = min(demand.patient_rate, MAX_GROUP_RATE) / MAX_GROUP_RATE
    loss = PATIENT_VALUE + 0.1 * rare + beyond_groups
    return loss + USED_VALUE if is_used else loss
