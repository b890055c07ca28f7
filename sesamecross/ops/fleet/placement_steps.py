"""Reconciles engines with the placement target, one order at a time.

An engine executes one order at a time and refuses requests that the order
affects; an unload waits until the model's requests have ended, and blocks all
other orders there. So a model is first withdrawn (instances send no new
requests for it), and unloaded once it is unused. It stays withdrawn only while
each plan repeats that: plans change, and a loaded model must not refuse its
callers for room that is no longer needed. A model in demand that moves is
loaded at its new engine first.
"""

from collections.abc import Iterable

from sesamecross.ops.fleet import adapter_slots
from sesamecross.ops.fleet import load_turns
from sesamecross.ops.fleet import placement_draft
from sesamecross.ops.fleet import placement_types as data

# Time until all instances have stopped sending to a withdrawn model: messages
# between instances arrive within this.
WITHDRAW_SETTLE_S = 0.3
# An adapter loads in some milliseconds; the rest is for the round trip.
ADAPTER_LOAD_S = 0.012
# Loads from the store that are reserved for models in demand.
RESERVED_LOADS = 1
# Below this smoothed rate, the last patient request for a model came seconds
# ago: it is unloaded without a withdrawal, as the next one is not imminent.
MIN_PATIENT_RATE = 0.1


def steps(inputs: data.Inputs, target: data.PlacementTarget) -> list[data.Step]:
    """Returns the steps to take now to bring engines to the target."""
    builder = _StepBuilder(inputs, target)
    _order_adapters(builder)
    _order_models(builder)
    return builder.steps


def withdrawals_to_end(
    withdrawn: Iterable[tuple[str, str]], planned: Iterable[data.Step]
) -> list[tuple[str, str]]:
    """Returns withdrawn targets, by engine and target, that no step needs."""
    wanted = {
        (step.instance_id, step.target)
        for step in planned
        if step.kind is not data.StepKind.LOAD
    }
    return [key for key in withdrawn if key not in wanted]


class _StepBuilder:
    """Collects steps, with at most one order per engine."""

    __slots__ = (
        "inputs",
        "target",
        "engines",
        "steps",
        "ordered_engines",
        "reserved",
        "store_loads",
        "running",
    )

    def __init__(self, inputs: data.Inputs, target: data.PlacementTarget):
        self.inputs = inputs
        self.engines = {
            engine.name: engine
            for engine in inputs.engines
            if not engine.is_leaving
        }
        # The target is updated less often than steps are planned: an engine in
        # it may have left since, and gets no further steps.
        self.target = {
            name: models
            for name, models in target.items()
            if name in self.engines
        }
        self.steps: list[data.Step] = []
        self.ordered_engines: set[str] = set()
        # Engines at which a model waits for room that has a higher value than
        # the models considered later.
        self.reserved: set[str] = set()
        self.store_loads = inputs.store_loads
        self.running = placement_draft.running_by_model(inputs)

    def order(self, step: data.Step) -> None:
        """Adds an order."""
        self.steps.append(step)
        self.ordered_engines.add(step.instance_id)
        self.store_loads -= 1 if step.from_store else 0

    def reserve(self, engine: data.Engine, replica_value: float) -> None:
        """Reserves an engine's next order for a model that waits for room."""
        if replica_value > placement_draft.MOVE_LOSS:
            self.reserved.add(engine.name)

    def would_delay_reserved(self, engine: data.Engine, takes_s: float) -> bool:
        """Whether a load would delay one of a higher value.

        Short loads end before the requests of the evicted model have ended.
        """
        is_long = takes_s > placement_draft.RUNNING_REQUEST_S
        return is_long and engine.name in self.reserved

    def may_order(self, engine: data.Engine) -> bool:
        """Whether an engine may get an order of this plan."""
        return engine.can_take_order and engine.name not in self.ordered_engines


# -- models ---------------------------------------------------------------


def _order_models(builder: _StepBuilder) -> None:
    wanted = []
    for instance_id, models in builder.target.items():
        inventory = builder.engines[instance_id].inventory
        for name in models:
            if not inventory.is_held_or_loading(name):
                replica_value, reason = _replica_value(
                    builder, name, instance_id
                )
                wanted.append((replica_value, name, instance_id, reason))
    turns = load_turns.first_in_line(builder.inputs)
    wanted.sort(key=lambda entry: (entry[1] in turns, entry), reverse=True)
    for replica_value, name, instance_id, reason in wanted:
        _add_step_towards(
            builder, builder.engines[instance_id], name, replica_value, reason
        )


def _replica_value(
    builder: _StepBuilder, name: str, instance_id: str
) -> tuple[float, str]:
    """Returns the value of one more replica of a model, and the reason.

    The value is in requests per second: all that depend on the model, or those
    that its engines have no capacity for.
    """
    demand = builder.inputs.demand_for(name)
    holders = [
        engine.name
        for engine in builder.engines.values()
        if engine.inventory.is_held_or_loading(name)
    ]
    if holders and builder.inputs.is_needed(name, instance_id, holders):
        return (
            data.VERSION_NEED_VALUE,
            "is waited for by streams of that version",
        )
    replicas = len(holders)
    if not replicas:
        replica_value = placement_draft.IDLE_VALUE
        if demand.is_in_demand:
            replica_value = max(replica_value, demand.value)
        if demand.patient_waiting or demand.returning:
            replica_value = max(replica_value, demand.group_value)
            return replica_value, "is waited for by patient requests"
        return replica_value, "is held nowhere"
    load = demand.load / replicas
    excess = 0.0
    if load > placement_draft.FULL_LOAD:
        excess = 1.0 - placement_draft.FULL_LOAD / load
    replica_value = demand.rate * max(excess, placement_draft.SPARE_SHARE)
    return replica_value, "gets a further place"


def _add_step_towards(
    builder: _StepBuilder,
    engine: data.Engine,
    name: str,
    replica_value: float,
    reason: str,
) -> None:
    """Adds the next step towards loading a model at an engine."""
    inputs = builder.inputs
    free_mb = inputs.spec.weights_mb - engine.inventory.used_mb(inputs.spec)
    if free_mb < inputs.size(name):
        _make_room(builder, engine, name, reason, replica_value)
        builder.reserve(engine, replica_value)
        return
    takes_s, from_store = inputs.load_time(engine, name)
    if not builder.may_order(engine) or builder.would_delay_reserved(
        engine, takes_s
    ):
        return
    # Models without demand leave store loads for models requested next.
    reserved_loads = (
        0 if inputs.demand_for(name).has_callers else RESERVED_LOADS
    )
    if from_store and builder.store_loads <= reserved_loads:
        return
    builder.order(
        data.Step(
            data.StepKind.LOAD, engine.name, name, reason, from_store, takes_s
        )
    )


def _make_room(
    builder: _StepBuilder,
    engine: data.Engine,
    name: str,
    reason: str,
    replica_value: float,
) -> None:
    """Withdraws or unloads a model that is not in the engine's target."""
    inputs = builder.inputs
    victims = [
        model
        for model in sorted(engine.inventory.models)
        if model not in builder.target[engine.name]
        and _may_evict(builder, engine.name, model, replica_value)
    ]
    if not victims:
        return
    victim = min(
        victims,
        key=lambda model: (
            (engine.name, model) not in inputs.withdrawn,
            builder.running.get((engine.name, model), 0) > 0,
            inputs.demand_for(model).value,
            model,
        ),
    )
    why = f"makes room for {name}, which {reason}"
    is_idle = _is_idle(builder, engine.name, victim)
    if is_idle and builder.may_order(engine):
        builder.order(data.Step(data.StepKind.UNLOAD, engine.name, victim, why))
    elif not is_idle or (engine.name, victim) in inputs.withdrawn:
        builder.steps.append(
            data.Step(data.StepKind.WITHDRAW, engine.name, victim, why)
        )


def _may_evict(
    builder: _StepBuilder, instance_id: str, name: str, replica_value: float
) -> bool:
    """Whether a model may be evicted now for one of the given value."""
    replicas = [
        engine_id for engine_id, held in builder.target.items() if name in held
    ]
    if not replicas:
        return True
    is_held_elsewhere = any(
        name in builder.engines[engine_id].inventory.models
        for engine_id in replicas
        if engine_id != instance_id
    )
    return not builder.inputs.must_move_first(
        name, is_held_elsewhere, replica_value
    )


def _is_idle(builder: _StepBuilder, instance_id: str, name: str) -> bool:
    """Whether a model has no requests in flight and gets no new ones."""
    inputs = builder.inputs
    if builder.running.get((instance_id, name), 0) > 0:
        return False
    since_s = inputs.withdrawn.get((instance_id, name))
    if since_s is not None:
        return inputs.now_s - since_s >= WITHDRAW_SETTLE_S
    demand = inputs.demand_for(name)
    return (
        demand.rate < data.MIN_DEMAND_RATE
        and demand.patient_rate < MIN_PATIENT_RATE
    )


# -- adapters -------------------------------------------------------------


def _order_adapters(builder: _StepBuilder) -> None:
    by_engine: dict[str, list[str]] = {}
    for request in builder.inputs.adapter_requests:
        by_engine.setdefault(request.instance_id, []).append(request.target)
    for instance_id, wanted in by_engine.items():
        engine = builder.engines.get(instance_id)
        if engine is not None:
            plan = adapter_slots.plan(builder.inputs, engine, wanted)
            _add_adapter_steps(builder, engine, plan, wanted[0])


def _add_adapter_steps(
    builder: _StepBuilder,
    engine: data.Engine,
    plan: adapter_slots.SlotPlan,
    first_wanted: str,
) -> None:
    """Adds the steps of a plan; withdrawals are repeated by each one."""
    why = f"makes room for {first_wanted}"
    for target in plan.withdraw:
        builder.steps.append(
            data.Step(data.StepKind.WITHDRAW, engine.name, target, why)
        )
    if not builder.may_order(engine):
        return
    if plan.load is not None:
        builder.order(
            data.Step(
                data.StepKind.LOAD,
                engine.name,
                plan.load,
                "a request waits for it",
                False,
                ADAPTER_LOAD_S,
            )
        )
    elif plan.unload is not None:
        builder.order(
            data.Step(data.StepKind.UNLOAD, engine.name, plan.unload, why)
        )
