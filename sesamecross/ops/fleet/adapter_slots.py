"""Shares an engine's few adapter places among all adapters in demand.

With more adapters in steady use than places, an adapter that is only unloaded
when idle is never unloaded, and whichever came first keeps its place for good.
So a place is taken away from an adapter in use if another one is waited for:
instances send it no new requests, and it is unloaded once its requests have
ended. Adapters that wait get places in the order in which they began to wait.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math

import msgspec

from sesamecross.ops.fleet import placement_types as data

# Time until the start or end of an adapter's use is reported through the hubs.
IDLE_S = 0.8
# An adapter keeps its place at least this long: its callers were refused and
# come back, and each change of a place leaves it unused for some time.
MIN_STAY_S = 3.0
# Time until all instances have stopped sending to a withdrawn adapter.
WITHDRAW_SETTLE_S = 0.3
# From a request's end until the place can serve the next adapter: the report
# through the hubs, two orders and their plans.
CHANGE_S = 1.5
# Expected time until the requests of a withdrawn adapter have ended.
DRAIN_S = 2.0
# Two orders and their plans.
LOAD_S = 0.2
# An adapter is waited for until nobody has asked for it for this long. Refused
# callers come back within this.
WAIT_TTL_S = 4.0


def changing_places(places: int) -> int:
    """Returns how many places of an engine may be taken away at a time.

    The other half goes on serving the busiest adapters.
    """
    return max(1, places // 2)


def longest_wait_s(adapters: int, places: int, request_s: float) -> float:
    """Returns a bound on the wait for a place, with steady callers of all.

    Args:
      adapters: Adapters in use or waited for at an engine.
      places: The engine's places.
      request_s: The longest request for an adapter.
    """
    rounds = math.ceil(max(0, adapters - places) / changing_places(places))
    return rounds * (MIN_STAY_S + WITHDRAW_SETTLE_S + request_s + CHANGE_S)


class _Wait(msgspec.Struct):
    """Since when an adapter is waited for, and when it was asked for last."""

    since_s: float
    asked_s: float


class AdapterWaits:
    """The adapters that requests wait for, by service, target and engine.

    A wait is remembered while its callers are refused and come back, so that an
    adapter keeps its turn.
    """

    __slots__ = ("_waits",)

    def __init__(self) -> None:
        self._waits: dict[tuple[str, str, str], _Wait] = {}

    def add(self, service: str, target: str, engine: str, now_s: float) -> None:
        """Records that a request waits for an adapter at an engine."""
        wait = self._waits.setdefault(
            (service, target, engine), _Wait(now_s, now_s)
        )
        wait.asked_s = max(wait.asked_s, now_s)

    def clear(self) -> None:
        """Forgets all waits."""
        self._waits.clear()

    def update(
        self,
        service: str,
        engines: Iterable[data.Engine],
        withdrawn: Mapping[tuple[str, str], float],
        now_s: float,
    ) -> tuple[data.AdapterRequest, ...]:
        """Ends waits that are over; returns the others, the longest first.

        Args:
          service: The service of the engines.
          engines: All its engines.
          withdrawn: By engine and target, since when it gets no new requests.
          now_s: Monotonic time.
        """
        serving = {
            (engine.name, target)
            for engine in engines
            for target in engine.inventory.adapters
            if (engine.name, target) not in withdrawn
        }
        for key, wait in list(self._waits.items()):
            of_service, target, engine = key
            is_over = now_s - wait.asked_s >= WAIT_TTL_S
            if is_over or (
                of_service == service and (engine, target) in serving
            ):
                del self._waits[key]
        return tuple(
            data.AdapterRequest(engine, target)
            for since_s, engine, target in sorted(
                (wait.since_s, engine, target)
                for (of_service, target, engine), wait in self._waits.items()
                if of_service == service
            )
        )


class SlotPlan(msgspec.Struct, frozen=True):
    """What to do at one engine for the adapters that wait there.

    Attributes:
      load: The adapter to load now, if a place is free.
      unload: The adapter to unload now, if a place is needed.
      withdraw: Adapters that get no new requests, so that they can be unloaded.
    """

    load: str | None = None
    unload: str | None = None
    withdraw: tuple[str, ...] = ()


NOTHING = SlotPlan()


def plan(
    inputs: data.Inputs, engine: data.Engine, wanted: Sequence[str]
) -> SlotPlan:
    """Plans the places of one engine.

    Args:
      inputs: The inputs of the plan.
      engine: The engine.
      wanted: Adapters that requests wait for there, the longest wait first.
    """
    waiting = _waiting(inputs, engine, wanted)
    if not waiting:
        return NOTHING
    inventory = engine.inventory
    # An adapter being unloaded has to be gone before it can be loaded again.
    loadable = [one for one in waiting if one not in inventory.unloading]
    free = _free_places(inputs, engine, (loadable or waiting)[0])
    load = loadable[0] if loadable and free > 0 else None
    unloading = len(inventory.unloading_adapters())
    missing = len(waiting) - max(0, free) - unloading
    if missing <= 0:
        return SlotPlan(load)
    idle, withdrawn, in_use = _victims(inputs, engine, set(waiting))
    unload = idle[0] if idle and load is None else None
    missing -= len(idle)
    changing = changing_places(inputs.spec.adapter_slots) - unloading
    withdraw = (withdrawn + in_use)[: max(0, min(missing, changing))]
    # A withdrawn adapter that is unloaded later in this change stays withdrawn.
    kept = [one for one in idle if (engine.name, one) in inputs.withdrawn]
    return SlotPlan(load, unload, tuple(kept + withdraw))


def ready_times_s(
    inputs: data.Inputs, engine: data.Engine, wanted: Sequence[str]
) -> dict[str, float]:
    """Returns the seconds until waiting adapters are expected at an engine.

    A leaving engine gets no orders.

    Args:
      inputs: The inputs of the plan.
      engine: The engine.
      wanted: Adapters that requests wait for there, the longest wait first.
    """
    inventory = engine.inventory
    withdrawn = [
        target
        for target in wanted
        if target in inventory.adapters
        and (engine.name, target) in inputs.withdrawn
    ]
    waiting = _waiting(inputs, engine, wanted) + withdrawn
    if not waiting or engine.is_leaving:
        return {}
    free = max(0, _free_places(inputs, engine, waiting[0]))
    times_s = [0.0] * free
    times_s += [DRAIN_S] * len(inventory.unloading_adapters())
    times_s += sorted(
        _place_in_s(inputs, engine, target) for target in inventory.adapters
    )
    soon = sum(at_s <= 0.0 for at_s in times_s)
    usable = soon + changing_places(inputs.spec.adapter_slots)
    times_s = sorted(times_s)[:usable] or [DRAIN_S]
    round_s = MIN_STAY_S + WITHDRAW_SETTLE_S + DRAIN_S
    busy_s = _busy_s(inputs, engine)
    return {
        target: LOAD_S
        + max(busy_s, times_s[turn % len(times_s)])
        + turn // len(times_s) * round_s
        for turn, target in enumerate(waiting)
    }


def _busy_s(inputs: data.Inputs, engine: data.Engine) -> float:
    """Returns for how long an engine takes no orders, as it loads a model."""
    return max(
        (
            at_s - inputs.now_s
            for target, at_s in engine.inventory.loading.items()
            if "/" not in target
        ),
        default=0.0,
    )


def _waiting(
    inputs: data.Inputs, engine: data.Engine, wanted: Sequence[str]
) -> list[str]:
    """Returns the wanted adapters that can be loaded once there is a place."""
    inventory = engine.inventory
    return [
        target
        for target in wanted
        if not inventory.is_held_or_loading(target)
        and _model_of(target) in inventory.models
        and _is_declared(inputs, target)
        and (engine.name, _model_of(target)) not in inputs.withdrawn
    ]


def _is_declared(inputs: data.Inputs, target: str) -> bool:
    """Whether the adapter can be loaded at all: callers may name any."""
    name, _, adapter = target.partition("/")
    model = inputs.spec.models.get(name)
    return model is not None and model.has_adapter(adapter)


def _model_of(target: str) -> str:
    return target.partition("/")[0]


def _free_places(inputs: data.Inputs, engine: data.Engine, target: str) -> int:
    """Returns the places for adapters like the target; its memory counts."""
    spec = inputs.spec
    inventory = engine.inventory
    free = spec.adapter_slots - len(inventory.all_adapters())
    adapter_mb = spec.models[_model_of(target)].adapter_mb
    if adapter_mb > 0:
        free_mb = spec.weights_mb - inventory.used_mb(spec)
        free = min(free, math.floor(free_mb / adapter_mb))
    return free


def _victims(
    inputs: data.Inputs, engine: data.Engine, wanted: set[str]
) -> tuple[list[str], list[str], list[str]]:
    """Returns the adapters that may give way: idle, withdrawn and in use.

    Idle ones come in the order of their last use; those in use by their
    requests, and among equals the one loaded first.
    """
    idle, withdrawn, in_use = [], [], []
    for target in engine.inventory.adapters - wanted:
        key = (engine.name, target)
        loaded_s = engine.inventory.loaded_s.get(target, -math.inf)
        if _is_idle(inputs, engine, target):
            last_s = max(loaded_s, inputs.used_s.get(key, -math.inf))
            idle.append((key not in inputs.withdrawn, last_s, target))
        elif key in inputs.withdrawn:
            withdrawn.append((inputs.withdrawn[key], target))
        elif inputs.now_s - loaded_s >= MIN_STAY_S:
            in_use.append((inputs.in_use.get(key, 0), loaded_s, target))
    return (
        [target for *_, target in sorted(idle)],
        [target for *_, target in sorted(withdrawn)],
        [target for *_, target in sorted(in_use)],
    )


def _is_idle(inputs: data.Inputs, engine: data.Engine, target: str) -> bool:
    """Whether an adapter can be unloaded at once.

    Its use is reported some tenths of a second late, and one that was just
    loaded has callers that come back for it.
    """
    key = (engine.name, target)
    if inputs.in_use.get(key):
        return False
    since_s = inputs.withdrawn.get(key)
    if since_s is not None and inputs.now_s - since_s >= WITHDRAW_SETTLE_S:
        return True
    used_s = inputs.used_s.get(key, -math.inf)
    loaded_s = engine.inventory.loaded_s.get(target, -math.inf)
    if used_s <= loaded_s:
        return inputs.now_s - loaded_s >= MIN_STAY_S
    return inputs.now_s - used_s >= IDLE_S


def _place_in_s(inputs: data.Inputs, engine: data.Engine, target: str) -> float:
    """Returns the seconds until the place of a held adapter can be free."""
    if _is_idle(inputs, engine, target):
        return 0.0
    key = (engine.name, target)
    drain_s = DRAIN_S if inputs.in_use.get(key) else 0.0
    since_s = inputs.withdrawn.get(key)
    if since_s is not None:
        settled_s = since_s + WITHDRAW_SETTLE_S - inputs.now_s
        return max(settled_s, settled_s + drain_s, CHANGE_S)
    loaded_s = engine.inventory.loaded_s.get(target, -math.inf)
    stay_s = max(0.0, MIN_STAY_S - (inputs.now_s - loaded_s))
    withdrawn_s = stay_s + WITHDRAW_SETTLE_S + drain_s
    if drain_s:
        return withdrawn_s
    # Without further requests it is idle soon.
    used_s = inputs.used_s.get(key, -math.inf)
    if used_s <= loaded_s:
        return stay_s
    return min(withdrawn_s, IDLE_S - (inputs.now_s - used_s))
