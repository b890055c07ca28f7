"""Chooses the engine for a request to a model.

The time to the first event consists of the round trip, the prefill of the
prompts queued ahead and that of the request's own prompt; a full batch delays
all requests in it. The engine with the least expected time is chosen. Instances
see each other's load some tenths of a second late, so one of the engines close
to the best is picked at random.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import enum
import random

import msgspec

from sesamecross.core import serving
from sesamecross.ops.fleet import connection_subset
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import service_choice
from sesamecross.ops.fleet import wait_policy

# Cost of a failure, as service_choice.FAILURE_PENALTY_S. It is higher here: a
# stream that fails midway loses everything it has delivered.
FAILURE_PENALTY_S = 2.0
# Time to have an adapter loaded: to the lease holder, to the engine, some
# milliseconds of loading, and back.
ADAPTER_LOAD_S = 0.08
# Time until an adapter without a place has one, while no time is known: another
# adapter has to give way first. Longer than the usual known times, so that
# requests gather where a place is expected instead of asking for one at each
# engine.
ADAPTER_PLACE_S = 5.0
# How long a request holds its slot; gives the wait for a slot in a full batch.
SLOT_HOLD_S = 2.0
# Cost of a full batch. One more request delays the events of all others in a
# full batch and of none in a nearly empty one, so the cost grows with the
# square of the share of slots in use. An engine a third full costs as much as
# an empty one in another region (45 ms).
FULL_BATCH_PENALTY_S = 0.4
TIE_TOLERANCE_S = 0.01


class AdapterPlace(enum.Enum):
    """What a request for an adapter finds at an engine.

    Attributes:
      HELD: The adapter is loaded, or none is asked for.
      FREE: A place for it.
      BUSY: The engine loads a model, and takes no other order meanwhile.
      TAKEN: All places are taken.
    """

    HELD = "held"
    FREE = "free"
    BUSY = "busy"
    TAKEN = "taken"


class Choice(msgspec.Struct, frozen=True):
    """An engine for a request, and what the request would meet there.

    Attributes:
      upstream: The engine.
      expected_s: Expected time to the first event, with the cost of failures.
      uncached_tokens: Prompt tokens that the engine has to prefill.
      read_s: Prefill time of those.
      queued_tokens: Prompt tokens that it has to prefill before.
      running: Requests in flight there.
      adapter_place: Whether the adapter is loaded there, or has a place.
      adapter_ready_s: When the adapter is expected there, if that is known and
        it is not loaded.
    """

    upstream: directory_lib.KnownUpstream
    expected_s: float
    uncached_tokens: int
    read_s: float
    queued_tokens: int
    running: float
    adapter_place: AdapterPlace
    adapter_ready_s: float | None

    @property
    def must_load_adapter(self) -> bool:
        """Whether the adapter has to be loaded there first."""
        return self.adapter_place is not AdapterPlace.HELD


def estimate(
    call: serving.ModelCall,
    known: directory_lib.KnownUpstream,
    location: service_choice.Location,
    now_s: float,
    adapter_slots: int | None = None,
) -> Choice:
    """Estimates what the call would meet at an engine that holds its model.

    Args:
      call: The call.
      known: The engine.
      location: Where this instance is.
      now_s: Monotonic time.
      adapter_slots: The engine's places for adapters, or None if unknown.
    """
    engine = known.engine
    cached = engine.cache.cached_tokens(call)
    uncached = max(1, call.prompt_tokens - cached)
    queued = engine.own_prompt_tokens + engine.others_prompt_tokens
    speed = engine.speed(call.model)
    first_ms = speed.predict(queued + uncached)
    slots = max(1, known.entry.slots)
    overflow = max(0.0, known.running + 1 - slots)
    place = _adapter_place(call, known, adapter_slots, now_s)
    adapter_ready_s = _adapter_ready_s(call, known, place, now_s)
    expected_s = (
        location.round_trip_s(known.entry.zone)
        + first_ms / 1000 * known.slowness(now_s)
        + overflow / slots * SLOT_HOLD_S
        + (known.running / slots) ** 2 * FULL_BATCH_PENALTY_S
        + known.failure_share(now_s) * FAILURE_PENALTY_S
        + _adapter_delay_s(place, adapter_ready_s, now_s)
        + service_choice.relay_cost_s(known, now_s)
    )
    read_s = speed.slope * uncached / 1000
    return Choice(
        known,
        expected_s,
        uncached,
        read_s,
        queued,
        known.running,
        place,
        adapter_ready_s,
    )


def _adapter_place(
    call: serving.ModelCall,
    known: directory_lib.KnownUpstream,
    adapter_slots: int | None,
    now_s: float,
) -> AdapterPlace:
    engine = known.engine
    if not call.adapter or engine.holds(known.entry, call.target, now_s):
        return AdapterPlace.HELD
    taken = engine.adapters(known.entry, now_s) - {call.target}
    if adapter_slots is not None and len(taken) >= adapter_slots:
        return AdapterPlace.TAKEN
    if engine.busy_until_s(known.entry, now_s) is not None:
        return AdapterPlace.BUSY
    return AdapterPlace.FREE


def _adapter_ready_s(
    call: serving.ModelCall,
    known: directory_lib.KnownUpstream,
    place: AdapterPlace,
    now_s: float,
) -> float | None:
    """Returns when the adapter can serve there, if a time is known."""
    engine = known.engine
    match place:
        case AdapterPlace.HELD | AdapterPlace.FREE:
            return None
        case AdapterPlace.BUSY:
            busy_until_s = engine.busy_until_s(known.entry, now_s)
            return (
                None if busy_until_s is None else busy_until_s + ADAPTER_LOAD_S
            )
        case AdapterPlace.TAKEN:
            return engine.ready_at_s(call.target)


def _adapter_delay_s(
    place: AdapterPlace, ready_s: float | None, now_s: float
) -> float:
    """Returns the expected time until the adapter can serve there."""
    match place:
        case AdapterPlace.HELD:
            return 0.0
        case AdapterPlace.FREE:
            return ADAPTER_LOAD_S
    if ready_s is None or ready_s < now_s - wait_policy.OVERDUE_S:
        return ADAPTER_PLACE_S
    return max(ADAPTER_LOAD_S, ready_s - now_s)


def choose(
    call: serving.ModelCall,
    candidates: Iterable[directory_lib.KnownUpstream],
    location: service_choice.Location,
    now_s: float,
    rng: random.Random,
    adapter_slots: Mapping[str, int] | None = None,
) -> Choice | None:
    """Returns the best engine among those that hold the call's model.

    Args:
      call: The call.
      candidates: The engines.
      location: Where this instance is.
      now_s: Monotonic time.
      rng: Picks one of the engines close to the best.
      adapter_slots: By service, its engines' places for adapters.
    """
    slots = adapter_slots or {}
    rated = [
        estimate(call, known, location, now_s, slots.get(known.entry.service))
        for known in candidates
        if known.engine.holds(known.entry, call.model, now_s)
    ]
    if not rated:
        return None
    best_s = min(choice.expected_s for choice in rated)
    close = {
        choice.upstream.entry.instance_id: choice
        for choice in rated
        if choice.expected_s <= best_s + TIE_TOLERANCE_S
    }
    upstreams = [choice.upstream for choice in close.values()]
    chosen = connection_subset.choose(upstreams, rng)
    return close[chosen.entry.instance_id]
