"""Decides which requests are patient and when a group of them is worth a load.

Where more models are declared than engines hold at once, requests that may wait
for seconds would evict the models of those that may not. A patient request
waits at the instance that accepted it. The lease holder groups such requests by
model over all instances, and loads a model for its group when that costs others
little or when the group has to be served to be on time.
"""

from collections.abc import Iterable
import enum
import math

import msgspec

from sesamecross.core import serving
from sesamecross.ops.fleet import placement_types
from sesamecross.ops.fleet import wait_policy

# A patient request's objective is at least this many times the time to load its
# model from an engine's disk: a wait for a place, the load, and the prefill.
PATIENT_LOADS = 3.0
# It is also at least this many times the shortest time for which callers wait
# for an event: a caller that gives up sooner can't be held for a group.
PATIENT_FIRST_EVENT_TIMEOUTS = 2.0
# Time from a decision to the first request sent: reports are up to 0.8 s old,
# and the plan, the order and the published placement take the rest.
DECISION_LAG_S = 1.5
# Reported counts above this are a mistake; they must not outweigh all else.
MAX_GROUP = 10_000


class LoadReason(enum.Enum):
    """Why a group's model is loaded; the values are logged.

    Attributes:
      FREE: Nothing makes way for it.
      DUE: Its oldest request would be late after a later load.
      OVERDUE: Its requests are late already, and their callers still wait.
      VALUE: It is worth more than what makes way for it.
    """

    FREE = "a place is free"
    DUE = "the oldest request must go to be on time"
    OVERDUE = "the callers of late requests still wait"
    VALUE = "it is worth more than what makes way"


class Group(msgspec.Struct, frozen=True):
    """The patient requests that wait for one model, over all instances.

    Attributes:
      size: Number of requests.
      left_s: How long the most urgent one that is not late can still wait;
        negative if all are late.
    """

    model: str
    size: int
    left_s: float


class Load(msgspec.Struct, frozen=True):
    """A load that would serve a group.

    Attributes:
      takes_s: Time until the model can serve.
      cost: Requests lost by it: those of models that make way, and the load.
      is_free: Whether no model has to make way.
      demand_lost: Value, in requests per second, of the models that make way
        and that other requests ask for.
    """

    takes_s: float
    cost: float
    is_free: bool
    demand_lost: float


class LoadDecision(msgspec.Struct, frozen=True):
    """A group for which a load was planned, with the inputs of that decision.

    Attributes:
      cost: Requests lost by the load, as in `Load`.
    """

    group: Group
    instance_id: str
    reason: LoadReason
    takes_s: float
    cost: float


# A group is loaded before it is due if it has this many times the requests that
# are lost by the load. Below that, more requests join it until it is due.
VALUE_RATIO = 4.0
# A due group evicts models only if its value is this many times theirs, as for
# any other model (`placement_target`).
EVICTION_GAIN_RATIO = 1.5


def places(spec: serving.EngineSpec, engines: int) -> int:
    """Returns how many models of the mean size fit on engines of one kind."""
    if not spec.models or spec.weights_mb <= 0:
        return 0
    sizes_mb = [model.weights_mb for model in spec.models.values()]
    mean_mb = sum(sizes_mb) / len(sizes_mb)
    if mean_mb <= 0:
        return engines * len(sizes_mb)
    return engines * int(spec.weights_mb / mean_mb)


def is_in_effect(spec: serving.EngineSpec, engines: int) -> bool:
    """Whether more models are declared than the known engines hold at once.

    Without a known engine nothing can be said, and nothing changes.
    """
    return engines > 0 and places(spec, engines) < len(spec.models)


def is_patient(
    route: serving.Route, spec: serving.EngineSpec, model: str
) -> bool:
    """Whether a route's requests can wait for a load and still be on time."""
    known = spec.models.get(model)
    if known is None or known.weights_mb > spec.weights_mb:
        return False
    least_s = max(
        PATIENT_LOADS * known.disk_load_s,
        PATIENT_FIRST_EVENT_TIMEOUTS * wait_policy.MIN_FIRST_EVENT_TIMEOUT_S,
    )
    return route.objective_s >= least_s


def due_to_send_s(route: serving.Route, arrived_s: float) -> float:
    """Returns when a patient request must be sent to meet its objective."""
    return arrived_s + route.objective_s - wait_policy.SEND_MARGIN_S


def fastest_load_s(
    model: serving.ModelSpec, copies: Iterable[serving.WeightCopies]
) -> float:
    """Returns the shortest time in which one of the engines loads a model."""
    fastest_s = model.store_load_s
    for one in copies:
        if model.name in one.in_memory:
            return min(fastest_s, model.memory_load_s)
        if model.name in one.on_disk:
            fastest_s = min(fastest_s, model.disk_load_s)
    return fastest_s


def least_left_s(left_s: Iterable[float]) -> float:
    """Returns how long the most urgent request that is not late can wait.

    If all are late, returns the time of the one that is late for the shortest
    time, which is negative; 0 if there is none.
    """
    least_s = math.inf
    latest_s = -math.inf
    for one_s in left_s:
        if one_s >= 0:
            least_s = min(least_s, one_s)
        else:
            latest_s = max(latest_s, one_s)
    if least_s < math.inf:
        return least_s
    return latest_s if latest_s > -math.inf else 0.0


def by_urgency(groups: Iterable[Group]) -> list[Group]:
    """Returns groups in the order in which they are given places.

    Those that can still be on time go first, the least time first: a late
    answer is worth less, and a late group can't be made on time. Late groups
    follow, the longest lateness first, so that none is left out.
    """
    return sorted(
        groups,
        key=lambda group: (group.left_s < 0, group.left_s, group.model),
    )


def is_in_time(group: Group, takes_s: float) -> bool:
    """Whether a load that begins now serves a group in time."""
    return group.left_s >= takes_s


def may_evict(group: Group, demand_lost: float) -> bool:
    """Whether a due group may evict models that other requests ask for."""
    value = group.size / placement_types.GROUP_HORIZON_S
    return value >= demand_lost * EVICTION_GAIN_RATIO


def decide(group: Group, load: Load) -> LoadReason | None:
    """Returns why a group is worth a load now, or None if it waits.

    A due group evicts no model for which other requests ask more.
    """
    if load.is_free:
        return LoadReason.FREE
    if group.size > load.cost * VALUE_RATIO:
        return LoadReason.VALUE
    if not may_evict(group, load.demand_lost):
        return None
    if group.left_s < 0:
        return LoadReason.OVERDUE
    if group.left_s <= load.takes_s + DECISION_LAG_S:
        return LoadReason.DUE
    return None
