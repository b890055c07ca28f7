"""What the placement of models is planned from, and what a plan is.

Why: the target (which models each engine should hold) and the steps that lead
there are worked out apart, from the same records.
"""

from collections.abc import Mapping
import dataclasses
import enum

from sesamecross.core import serving
from sesamecross.ops.fleet import engine_inventory

# A model counts as asked for until its long-smoothed rate falls below this,
# or while a request waits for it: one request keeps it for 9 s, a busy model
# that falls silent is kept for 21 s unless others need the room.
ASKED_RATE = 0.03
# What a model is worth at least while a request waits for it.
WAITING_VALUE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """What is known of the demand for one model.

    Attributes:
      rate: Requests a second now. usual: the same, smoothed over long.
      load: How many engines its requests keep busy: by the time that their
        prompts take to read, or by their places in the batch.
      waiting: Requests that wait until it answers.
      late: Of the requests that found it, the share that missed an objective.
      starved_s: For how long requests have found it nowhere.
    """

    rate: float
    usual: float
    load: float
    waiting: int
    late: float = 0.0
    starved_s: float = 0.0

    @property
    def is_in_demand(self) -> bool:
        """Whether it should be held somewhere."""
        return self.waiting > 0 or self.usual >= ASKED_RATE

    @property
    def value(self) -> float:
        """Requests a second that depend on it."""
        least = WAITING_VALUE if self.waiting else 0.0
        return max(self.rate, self.usual, least)


NO_DEMAND = ModelDemand(0.0, 0.0, 0.0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine that may get orders.

    Attributes:
      free_for_order: Whether no order is under way there, and all that it
        holds is known.
      is_leaving: It still serves, but what it holds has to be elsewhere.
    """

    inventory: engine_inventory.EngineInventory
    can_take_order: bool
    is_leaving: bool

    @property
    def name(self) -> str:
        """Its instance id."""
        return self.inventory.instance_id


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterWant:
    """Requests wait for an adapter at an engine."""

    instance_id: str
    target: str


PlacementTarget = Mapping[str, frozenset[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Inputs:
    """All that a plan is made from.

    Attributes:
      demand: By model.
      in_use: Requests under way by engine and target.
      withdrawn: Models that get no new requests at an engine, since when.
      target: What the last plan wanted each engine to hold.
      wants: Adapters that requests wait for.
      used_s: When targets were last in use, by engine and target.
      store_loads: How many loads from the store may begin now.
      knows_demand: Whether all instances have told what they are asked for.
      knows_engines: Whether no engine came lately: while they come, each may
        hold what seems to be held nowhere.
    """

    spec: serving.EngineSpec
    engines: tuple[Engine, ...]
    demand: Mapping[str, ModelDemand]
    in_use: Mapping[tuple[str, str], int]
    withdrawn: Mapping[tuple[str, str], float]
    target: PlacementTarget
    wants: tuple[AdapterWant, ...]
    store_loads: int
    is_demand_known: bool
    are_engines_known: bool
    now_s: float
    used_s: Mapping[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )

    def demand_for(self, name: str) -> ModelDemand:
        """Returns the demand for a model."""
        return self.demand.get(name, NO_DEMAND)

    def must_move_first(
        self, name: str, answers_elsewhere: bool, worth: float
    ) -> bool:
        """Whether a model that makes way has to answer elsewhere before.

        Who comes waits for that as long as a load takes, and so do its
        callers. Where these are more than the callers of the one that makes
        way, it is better that the latter wait.

        Args:
          name: The model that makes way and has another place planned.
          answers_elsewhere: Whether it answers at another place already.
          worth: Requests a second that depend on the room.
        """
        return not answers_elsewhere and self.demand_for(name).value >= worth

    def size(self, name: str) -> float:
        """Returns a model's size in MB."""
        model = self.spec.models.get(name)
        return model.weights_mb if model else 0.0

    def load_time(self, engine: Engine, name: str) -> tuple[float, bool]:
        """Returns how long a load takes, and whether the store is asked."""
        model = self.spec.models[name]
        copies = engine.inventory.copies
        if name in copies.in_memory:
            return model.memory_load_s, False
        if name in copies.on_disk:
            return model.disk_load_s, False
        return model.store_load_s, True


class StepKind(enum.Enum):
    """What is done.

    Attributes:
      LOAD, UNLOAD: An order to the engine.
      WITHDRAW: No order yet: instances send no new requests for the model,
        so that it can be unloaded without holding up the engine's orders.
        It holds until a plan no longer says so.
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
