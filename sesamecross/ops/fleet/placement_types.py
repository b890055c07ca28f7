"""Inputs and results of planning the placement of models.

The target (which models each engine should hold) and the steps that lead there
are computed separately, from the same inputs.
"""

from collections.abc import Collection
from collections.abc import Mapping
import enum

import msgspec

from sesamecross.core import serving
from sesamecross.ops.fleet import engine_inventory

# A model is in demand while a request waits for it, or until its long-term rate
# falls below this, in requests per second: one request keeps it for 9 s, and a
# busy model without further requests is kept for 21 s unless others need the
# room.
MIN_DEMAND_RATE = 0.03
# Value of a replica that streams wait for at an engine of their version, in
# requests per second. They have a part of their answer already.
VERSION_NEED_VALUE = 2.0
# Minimum value of a model while a request waits for it, in requests per second.
WAITING_VALUE = 0.3
# The requests of a group are served once, and count over this time like the
# rates of other models.
GROUP_HORIZON_S = 8.0


class ModelDemand(msgspec.Struct, frozen=True):
    """The demand for one model.

    Attributes:
      rate: Current requests per second.
      long_term_rate: Requests per second, smoothed over a longer time.
      load: How many engines its requests keep busy, by the prefill time of
        their prompts or by their slots in the batch.
      waiting: Requests that wait until it is loaded.
      late: Share of the served requests that missed their latency objective.
      missed_s: For how long callers have asked for it while no engine held it.
      patient_rate: Patient requests per second, smoothed; not in the rates
        above.
      patient_waiting: Patient requests that wait until it is loaded; not in
        `waiting`.
      patient_left_s: How long the most urgent of them that is not late can
        still wait; negative if all are late.
      returning: Refused callers that are to come back for it.
    """

    rate: float
    long_term_rate: float
    load: float
    waiting: int
    late: float = 0.0
    missed_s: float = 0.0
    patient_rate: float = 0.0
    patient_waiting: int = 0
    patient_left_s: float = 0.0
    returning: int = 0

    @property
    def is_in_demand(self) -> bool:
        """Whether at least one engine should hold it."""
        return self.waiting > 0 or self.long_term_rate >= MIN_DEMAND_RATE

    @property
    def value(self) -> float:
        """Requests per second that depend on it."""
        minimum = WAITING_VALUE if self.waiting else 0.0
        return max(self.rate, self.long_term_rate, minimum)

    @property
    def has_callers(self) -> bool:
        """Whether it is in demand, or requests wait or are to return for it."""
        return self.is_in_demand or self.is_awaited

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits until it is loaded."""
        return self.waiting > 0 or self.patient_waiting > 0

    @property
    def is_awaited(self) -> bool:
        """Whether any request waits until it is loaded, or is to come back."""
        return self.has_waiting or self.returning > 0

    @property
    def group_value(self) -> float:
        """Value of its patient requests that wait or are to return.

        In requests per second.
        """
        return (self.patient_waiting + self.returning) / GROUP_HORIZON_S

    @property
    def load_value(self) -> float:
        """Value of a planned load, for urgent and patient requests."""
        return max(self.value, self.group_value)


NO_DEMAND = ModelDemand(0.0, 0.0, 0.0, 0)


class Engine(msgspec.Struct, frozen=True):
    """An engine that may get orders.

    Attributes:
      inventory: What it holds.
      can_take_order: Whether no order is in progress there, and everything
        that it holds is known.
      is_leaving: It still serves, but its models have to be held elsewhere.
    """

    inventory: engine_inventory.EngineInventory
    can_take_order: bool
    is_leaving: bool

    @property
    def name(self) -> str:
        """Its instance id."""
        return self.inventory.instance_id


class AdapterRequest(msgspec.Struct, frozen=True):
    """An adapter that requests wait for at an engine, or come back for."""

    instance_id: str
    target: str


class VersionNeed(msgspec.Struct, frozen=True):
    """A model that streams wait for at engines of their software version.

    Attributes:
      engines: The engines of that version.
    """

    model: str
    engines: frozenset[str]


PlacementTarget = Mapping[str, frozenset[str]]


class Inputs(msgspec.Struct, frozen=True):
    """All inputs of a plan.

    Attributes:
      spec: What the engines can hold.
      engines: The engines.
      demand: By model.
      in_use: Requests in flight by engine and target.
      withdrawn: By engine and target, since when it gets no new requests there.
      target: The models that each engine should hold by the last plan.
      adapter_requests: Adapters that requests wait for, the longest wait first.
      store_loads: How many loads from the weight store may start now.
      is_demand_known: Whether all instances have reported their demand.
      are_engines_known: Whether no engine has appeared recently. A new one may
        hold models that seem to be held nowhere.
      now_s: Monotonic time.
      used_s: When targets were last in use, by engine and target.
      version_needs: Models that streams wait for at some engines only.
      patience_s: How long the most patient callers wait for a load; 0 if that
        is not known.
    """

    spec: serving.EngineSpec
    engines: tuple[Engine, ...]
    demand: Mapping[str, ModelDemand]
    in_use: Mapping[tuple[str, str], int]
    withdrawn: Mapping[tuple[str, str], float]
    target: PlacementTarget
    adapter_requests: tuple[AdapterRequest, ...]
    store_loads: int
    is_demand_known: bool
    are_engines_known: bool
    now_s: float
    used_s: Mapping[tuple[str, str], float] = msgspec.field(
        default_factory=dict
    )

    version_needs: tuple[VersionNeed, ...] = ()
    patience_s: float = 0.0

    def is_needed(
        self, name: str, instance_id: str, replicas: Collection[str]
    ) -> bool:
        """Whether streams wait for just this replica of a model.

        Args:
          name: The model.
          instance_id: The engine.
          replicas: All engines that are to hold the model.
        """
        return any(
            need.model == name
            and instance_id in need.engines
            and not any(
                other in need.engines
                for other in replicas
                if other != instance_id
            )
            for need in self.version_needs
        )

    def demand_for(self, name: str) -> ModelDemand:
        """Returns the demand for a model."""
        return self.demand.get(name, NO_DEMAND)

    def must_move_first(
        self, name: str, is_held_elsewhere: bool, room_value: float
    ) -> bool:
        """Whether a model must be loaded elsewhere before it is evicted.

        The incoming model and its callers wait for that load. If it has more
        callers than the evicted model, it is better if the latter's wait.

        Args:
          name: The model to evict, which has another engine planned.
          is_held_elsewhere: Whether another engine holds it already.
          room_value: Requests per second that depend on the room.
        """
        return (
            not is_held_elsewhere and self.demand_for(name).value >= room_value
        )

    def size(self, name: str) -> float:
        """Returns a model's size in MB."""
        model = self.spec.models.get(name)
        return model.weights_mb if model else 0.0

    def load_time(self, engine: Engine, name: str) -> tuple[float, bool]:
        """Returns how long a load takes, and whether it uses the store."""
        model = self.spec.models[name]
        copies = engine.inventory.copies
        if name in copies.in_memory:
            return model.memory_load_s, False
        if name in copies.on_disk:
            return model.disk_load_s, False
        return model.store_load_s, True


class StepKind(enum.Enum):
    """Kind of a step.

    Attributes:
      LOAD, UNLOAD: An order to the engine.
      WITHDRAW: No order yet: instances send no new requests for the model, so
        that it can be unloaded without blocking the engine's other orders. It
        applies as long as each plan repeats it.
    """

    LOAD = "load"
    UNLOAD = "unload"
    WITHDRAW = "withdraw"


class Step(msgspec.Struct, frozen=True):
    """A step to take now, with its reason.

    Attributes:
      from_store: Whether it is a load from the weight store.
      takes_s: Expected duration of a load.
    """

    kind: StepKind
    instance_id: str
    target: str
    reason: str
    from_store: bool = False
    takes_s: float = 0.0
