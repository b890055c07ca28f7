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
from sesamecross.ops import prefixes
from sesamecross.ops import retry
from sesamecross.utils import rendezvous

# What a report says of others' calls loses half its weight in this time.
REPORT_HALF_LIFE_MS = 2000
# Added to the estimate for traffic that is paid by volume.
PAID_TRAFFIC_MS = 150.0
ZONE_DISTANCE_MS = 1.0
# Candidates within this factor of the best share the calls.
SPREAD = 1.15
SPREAD_MS = 5.0
# Part of a prompt's blocks thought to be cached at its home upstream before
# this entry has sent it there itself.
HOME_TRUST = 0.9
LEAST_CALLS = 2.0
# Up to this part of its room an upstream also takes calls that will be late.
SPARE_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobin:
    """The naive baseline: resident upstreams in turn."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """A baseline: the fewest of this entry's own calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class LowestEstimatedCost:
    """The product's policy: by estimated time and promise."""


Policy = RoundRobin | LeastOutstanding | LowestEstimatedCost

_POLICIES: dict[str, Policy] = {
    "estimated": LowestEstimatedCost(),
    "least-outstanding": LeastOutstanding(),
    "round-robin": RoundRobin(),
}


def policy_of(name: str) -> Policy:
    """Returns the policy that settings name."""
    return _POLICIES[name]


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
      entries: Entries that share the upstream.
      prefill_tokens: Uncached prompt tokens of this entry's calls there that
        have no first token yet.
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
    entries: int = 1
    prefill_tokens: float = 0.0
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

    def most(self, promise: data.Promise) -> float:
        """Estimates how many calls may be there for a promise to hold."""
        most = self.speed.most_calls(promise.between_tokens_ms)
        return min(max(most, LEAST_CALLS), self.declared.concurrency)

    def has_room(self, promise: data.Promise, now_ms: int) -> bool:
        """Tells whether one more call of this entry may be open there.

        Reports lag, so an entry may always use its even share.
        """
        most = self.most(promise)
        share = max(LEAST_CALLS, most / self.entries)
        return self.own + 1 <= share or self.in_batch(now_ms) + 1 <= most

    def has_spare_room(self, promise: data.Promise, now_ms: int) -> bool:
        """Tells whether a call that will be late harms nobody there."""
        spare = self.most(promise) * SPARE_SHARE
        return self.in_batch(now_ms) + 1 <= max(LEAST_CALLS, spare)


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What a call would cost at one upstream, in milliseconds.

    Attributes:
      uncached_tokens: Of the call's prompt.
      known_cached_tokens: By this entry's own history alone.
      prefill_tokens: Uncached tokens of the call and of those ahead of it.
    """

    upstream: str
    first_ms: float
    between_ms: float
    cost_ms: float
    keeps_promise: bool
    in_batch: float
    uncached_tokens: float
    known_cached_tokens: float
    prefill_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLocation:
    """Where the entry stands."""

    zone: str
    region: str
    region_ms: dict[str, int]


def estimate(
    call: Call,
    upstream: UpstreamState,
    place: EntryLocation,
    now_ms: int,
    is_home: bool = False,
) -> Estimate:
    """Returns what `call` would cost at `upstream` now.

    Args:
      call: The call.
      upstream: Where it would go.
      place: Where this entry stands.
      now_ms: Monotonic time.
      is_home: Whether calls with this prompt's beginning go there.
    """
    in_batch = upstream.in_batch(now_ms)
    known = upstream.history.cached_tokens(call.blocks)
    cached = max(known, _home_tokens(call)) if is_home else known
    uncached = max(0.0, call.prompt_tokens - cached)
    prefill = uncached + upstream.prefill_tokens
    speed = upstream.speed
    waits = max(0.0, in_batch + 1 - upstream.declared.concurrency)
    queue_ms = waits * speed.call_ms / upstream.declared.concurrency
    distance_ms = _distance_ms(upstream, place)
    between_ms = speed.between_ms(in_batch + 1)
    first_ms = 2 * distance_ms + queue_ms + speed.first_ms(prefill)
    first_ms += between_ms
    waited_ms = now_ms - call.arrived_ms
    keeps = (
        waited_ms + first_ms <= call.promise.first_token_ms
        and between_ms <= call.promise.between_tokens_ms
    )
    # Prompt work delays all others at the upstream as much as the call.
    cost_ms = first_ms + 4 * between_ms + speed.prompt_ms(uncached)
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
        known,
        prefill,
    )


def _home_tokens(call: Call) -> float:
    """Returns the tokens that a prompt's home upstream may have cached."""
    return HOME_TRUST * len(call.blocks) * prefixes.BLOCK_TOKENS


def home_of(call: Call, upstreams: Iterable[UpstreamState]) -> str:
    """Returns where calls with this prompt's beginning should go.

    All entries pick alike, so that a shared prefix is cached at one upstream
    and not at as many as there are entries.
    """
    if not call.blocks:
        return ""
    names = (upstream.declared.name for upstream in upstreams)
    return rendezvous.top(f"prefix/{call.blocks[0]}", names, 1)[0]


def _distance_ms(upstream: UpstreamState, place: EntryLocation) -> float:
    if upstream.region != place.region:
        return float(place.region_ms.get(upstream.region, 30))
    if upstream.declared.zone != place.zone:
        return ZONE_DISTANCE_MS
    return 0.0


def choose(
    policy: Policy,
    call: Call,
    candidates: Iterable[UpstreamState],
    place: EntryLocation,
    now_ms: int,
    turn: int,
    rng: random.Random,
    home: str = "",
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
      home: Where calls with this prompt's beginning go, if that is known.
    """
    found = sorted(
        (
            estimate(
                call, upstream, place, now_ms, upstream.declared.name == home
            )
            for upstream in candidates
        ),
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
        case LowestEstimatedCost():
            keeping = [one for one in found if one.keeps_promise] or found
            bound = keeping[0].cost_ms * SPREAD + SPREAD_MS
            near = [one for one in keeping if one.cost_ms <= bound]
            return rng.choice(near)
    return None
