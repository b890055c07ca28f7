"""Chooses the engine for a request to a model.

The time to the first event consists of the round trip, the prefill of the
prompts queued ahead and that of the request's own prompt; a full batch delays
all requests in it. The engine with the least expected time is chosen. Instances
see each other's load some tenths of a second late, so one of the engines close
to the best is picked at random.
"""

from collections.abc import Iterable
import random

import msgspec

from sesamecross.core import serving
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import service_choice

# Cost of a failure, as service_choice.FAILURE_PENALTY_S. It is higher here: a
# stream that fails midway loses everything it has delivered.
FAILURE_PENALTY_S = 2.0
# Time to have an adapter loaded: to the lease holder, to the engine, some
# milliseconds of loading, and back.
ADAPTER_LOAD_S = 0.08
# How long a request holds its slot; gives the wait for a slot in a full batch.
SLOT_HOLD_S = 2.0
# Cost of a full batch. One more request delays the events of all others in a
# full batch and of none in a nearly empty one, so the cost grows with the
# square of the share of slots in use. An engine a third full costs as much as
# an empty one in another region (45 ms).
FULL_BATCH_PENALTY_S = 0.4
TIE_TOLERANCE_S = 0.01


class Choice(msgspec.Struct, frozen=True):
    """An engine for a request, and what the request would meet there.

    Attributes:
      upstream: The engine.
      expected_s: Expected time to the first event, with the cost of failures.
      uncached_tokens: Prompt tokens that the engine has to prefill.
      read_s: Prefill time of those.
      queued_tokens: Prompt tokens that it has to prefill before.
      running: Requests in flight there.
      must_load_adapter: The adapter has to be loaded there first.
    """

    upstream: directory_lib.KnownUpstream
    expected_s: float
    uncached_tokens: int
    read_s: float
    queued_tokens: int
    running: float
    must_load_adapter: bool


def estimate(
    call: serving.ModelCall,
    known: directory_lib.KnownUpstream,
    location: service_choice.Location,
    now_s: float,
) -> Choice:
    """Estimates what the call would meet at an engine that holds its model."""
    engine = known.engine
    cached = engine.cache.cached_tokens(call)
    uncached = max(1, call.prompt_tokens - cached)
    queued = engine.own_prompt_tokens + engine.others_prompt_tokens
    speed = engine.speed(call.model)
    first_ms = speed.predict(queued + uncached)
    slots = max(1, known.entry.slots)
    overflow = max(0.0, known.running + 1 - slots)
    must_load_adapter = bool(call.adapter) and not engine.holds(
        known.entry, call.target, now_s
    )
    expected_s = (
        location.round_trip_s(known.entry.zone)
        + first_ms / 1000
        + overflow / slots * SLOT_HOLD_S
        + (known.running / slots) ** 2 * FULL_BATCH_PENALTY_S
        + known.failure_share(now_s) * FAILURE_PENALTY_S
        + (ADAPTER_LOAD_S if must_load_adapter else 0.0)
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
        must_load_adapter,
    )


def choose(
    call: serving.ModelCall,
    candidates: Iterable[directory_lib.KnownUpstream],
    location: service_choice.Location,
    now_s: float,
    rng: random.Random,
) -> Choice | None:
    """Returns the best engine among those that hold the call's model."""
    rated = [
        estimate(call, known, location, now_s)
        for known in candidates
        if known.engine.holds(known.entry, call.model, now_s)
    ]
    if not rated:
        return None
    best_s = min(choice.expected_s for choice in rated)
    close = [
        choice
        for choice in rated
        if choice.expected_s <= best_s + TIE_TOLERANCE_S
    ]
    return rng.choice(close)
