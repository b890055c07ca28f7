"""Chooses the engine for a request to a model.

Why: the time to the first event is the wait for the prompts ahead, the own
prompt's reading, and the way there; a full batch makes everybody wait. The
engine with the least expected time is taken. Instances see each other's load
some tenths of a second late, so among those about as good one is drawn.
"""

from collections.abc import Iterable
import dataclasses
import random

from sesamecross.core import serving
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import service_choice

# What a failure costs: see choosing.FAILURE_S; a stream that fails midway
# loses all that it had delivered.
FAILURE_S = 2.0
# To have an adapter loaded: to the holder of the lease, to the engine, some
# milliseconds of loading, and back.
ADAPTER_S = 0.08
# How long a request holds its slot, for the wait in front of a full batch.
HOLD_S = 2.0
# One more request in a full batch makes everybody's events later, and in a
# nearly empty one nobody's; the cost grows with the square of the share that
# is taken. Between regions (45 ms) an engine a third full is as good as an
# empty one.
CROWD_S = 0.4
NEAR_S = 0.01
# A token of an ordinary stream, for how long a request will go on.
TOKEN_INTERVAL_S = 0.009


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes.

    Attributes:
      expected_s: To the first event.
      fresh_tokens: Prompt tokens that the engine will have to read.
      read_s: How long that takes it.
      ahead_tokens: Prompt tokens that it has to read before.
      running: Requests there.
      lacks_adapter: The adapter has to be loaded there first.
    """

    upstream: directory_lib.KnownUpstream
    expected_s: float
    uncached_tokens: int
    read_s: float
    queued_tokens: int
    running: float
    lacks_adapter: bool


def rate(
    call: serving.ModelCall,
    known: directory_lib.KnownUpstream,
    location: service_choice.Location,
    now_s: float,
) -> Choice:
    """Returns what the call would meet at an engine that has its model."""
    engine = known.engine
    kept = engine.cache.cached_tokens(call)
    fresh = max(1, call.prompt_tokens - kept)
    ahead = engine.own_prompt_tokens + engine.others_prompt_tokens
    speed = engine.speed(call.model)
    first_ms = speed.predict(ahead + fresh)
    slots = max(1, known.entry.slots)
    waiting = max(0.0, known.running + 1 - slots)
    lacks = bool(call.adapter) and not engine.holds(
        known.entry, call.target, now_s
    )
    expected_s = (
        location.round_trip_s(known.entry.zone)
        + first_ms / 1000
        + waiting / slots * HOLD_S
        + (known.running / slots) ** 2 * CROWD_S
        + known.failing(now_s) * FAILURE_S
        + (ADAPTER_S if lacks else 0.0)
    )
    read_s = speed.slope * fresh / 1000
    return Choice(known, expected_s, fresh, read_s, ahead, known.running, lacks)


def choose(
    call: serving.ModelCall,
    candidates: Iterable[directory_lib.KnownUpstream],
    location: service_choice.Location,
    now_s: float,
    rng: random.Random,
) -> Choice | None:
    """Returns the best engine among those that have the call's model."""
    rated = [
        rate(call, known, location, now_s)
        for known in candidates
        if known.engine.holds(known.entry, call.model, now_s)
        and not known.seems_down(now_s)
    ]
    if not rated:
        return None
    best_s = min(one.expected_s for one in rated)
    near = [one for one in rated if one.expected_s <= best_s + NEAR_S]
    return rng.choice(near)
