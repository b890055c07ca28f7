"""Chooses the upstream for a call by what it will cost.

Why: a call goes where it can still make its promise: few calls ahead of it,
its prompt's prefix cached, its adapter resident, near, and without paid
traffic. Many entries with one stale view must not all pick the same upstream,
so the choice is spread over those that are about as good.
"""

from collections.abc import Iterable
import dataclasses
import random

from sesamecross.core import data
from sesamecross.ops import estimates
from sesamecross.ops import limits
from sesamecross.ops import prefixes
from sesamecross.ops import retry

# What a report says of others' calls loses half its weight in this time.
REPORT_HALF_LIFE_MS = 2000
# Added to the estimate for traffic that is paid by volume.
PAID_TRAFFIC_MS = 150.0
ZONE_DISTANCE_MS = 1.0
# Candidates within this factor of the best share the calls.
SPREAD = 1.15
SPREAD_MS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobin:
    """The naive baseline: resident upstreams in turn."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """A baseline: the fewest of this entry's own calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class Estimated:
    """The product's policy: by estimated time and promise."""


Policy = RoundRobin | LeastOutstanding | Estimated


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call to a model, as routing sees it.

    Attributes:
      target: What the caller named, a model or an adapter.
      prompt_tokens: Estimated from the prompt's length.
      blocks: Names of the prompt's leading blocks.
    """

    call_id: str
    caller: str
    target: str
    promise: data.Promise
    prompt_tokens: int
    blocks: tuple[int, ...]
    arrived_ms: int
    deadline_ms: int
    priority: int


@dataclasses.dataclass(slots=True)
class UpstreamState:
    """What this entry knows of one engine.

    Attributes:
      own: Calls of this entry that are open there.
      limit: How many of them there may be, learnt from latency.
      breaker: Keeps calls away after failures in a row.
      leaving_seen: The upstream itself said so, ahead of any report.
      absent: Targets that the upstream said it does not hold, by when it
        said so; a later report overrules it.
    """

    declared: data.Upstream
    region: str
    report: data.UpstreamReport | None = None
    reported_ms: int = 0
    own_at_report: int = 0
    own: int = 0
    limit: limits.AdaptiveLimit = dataclasses.field(
        default_factory=lambda: limits.AdaptiveLimit(8.0, 64.0)
    )
    breaker: retry.Breaker = dataclasses.field(default_factory=retry.Breaker)
    speed: estimates.UpstreamSpeed = dataclasses.field(
        default_factory=estimates.UpstreamSpeed
    )
    history: prefixes.PrefixHistory = dataclasses.field(
        default_factory=prefixes.PrefixHistory
    )
    leaving_seen: bool = False
    absent: dict[str, int] = dataclasses.field(default_factory=dict)

    def in_batch(self, now_ms: int) -> float:
        """Estimates the calls at the upstream, this entry's and others'."""
        if self.report is None:
            return float(self.own)
        total = self.report.running + self.report.waiting
        others = max(0, total - self.own_at_report)
        age_ms = max(0, now_ms - self.reported_ms)
        return self.own + others * 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)

    def may_serve(self, target: str, now_ms: int) -> bool:
        """Tells whether new work for `target` may go there."""
        report = self.report
        if report is None or not report.reachable:
            return False
        if report.leaving or self.leaving_seen:
            return False
        if not self.breaker.allows(now_ms) or target in self.absent:
            return False
        return target in report.resident

    def has_room(self) -> bool:
        """Tells whether one more call of this entry may be open there."""
        return self.own + 1 <= self.limit.value


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What a call would cost at one upstream, in milliseconds."""

    upstream: str
    first_ms: float
    between_ms: float
    cost_ms: float
    keeps_promise: bool
    in_batch: float
    uncached_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where the entry stands."""

    zone: str
    region: str
    region_ms: dict[str, int]


def estimate(
    call: Call, upstream: UpstreamState, place: Place, now_ms: int
) -> Estimate:
    """Returns what `call` would cost at `upstream` now."""
    in_batch = upstream.in_batch(now_ms)
    cached = upstream.history.cached_tokens(call.blocks)
    uncached = max(0, call.prompt_tokens - cached)
    speed = upstream.speed
    waits = max(0.0, in_batch + 1 - upstream.declared.concurrency)
    queue_ms = waits * speed.call_ms / upstream.declared.concurrency
    distance_ms = _distance_ms(upstream, place)
    between_ms = speed.between_ms(in_batch + 1)
    first_ms = 2 * distance_ms + queue_ms + speed.first_ms(uncached)
    first_ms += between_ms
    waited_ms = now_ms - call.arrived_ms
    keeps = (
        waited_ms + first_ms <= call.promise.first_token_ms
        and between_ms <= call.promise.between_tokens_ms
    )
    cost_ms = first_ms + 4 * between_ms
    if upstream.region != place.region:
        cost_ms += PAID_TRAFFIC_MS
    return Estimate(
        upstream.declared.name,
        first_ms,
        between_ms,
        cost_ms,
        keeps,
        in_batch,
        uncached,
    )


def _distance_ms(upstream: UpstreamState, place: Place) -> float:
    if upstream.region != place.region:
        return float(place.region_ms.get(upstream.region, 30))
    if upstream.declared.zone != place.zone:
        return ZONE_DISTANCE_MS
    return 0.0


def choose(
    policy: Policy,
    call: Call,
    candidates: Iterable[UpstreamState],
    place: Place,
    now_ms: int,
    turn: int,
    rng: random.Random,
) -> Estimate | None:
    """Returns the choice among candidates with room, or None without any.

    Args:
      policy: Which rule to follow.
      call: The call.
      candidates: Upstreams that may serve it and have room.
      place: Where this entry stands.
      now_ms: Monotonic time.
      turn: Counts the calls of this entry, for taking turns.
      rng: Spreads the choice over about equal candidates.
    """
    found = sorted(
        (estimate(call, upstream, place, now_ms) for upstream in candidates),
        key=lambda one: (one.cost_ms, one.upstream),
    )
    if not found:
        return None
    match policy:
        case RoundRobin():
            found.sort(key=lambda one: one.upstream)
            return found[turn % len(found)]
        case LeastOutstanding():
            own = {u.declared.name: u.own for u in candidates}
            return min(found, key=lambda one: (own[one.upstream], one.upstream))
        case Estimated():
            keeping = [one for one in found if one.keeps_promise] or found
            bound = keeping[0].cost_ms * SPREAD + SPREAD_MS
            near = [one for one in keeping if one.cost_ms <= bound]
            return rng.choice(near)
    return None
