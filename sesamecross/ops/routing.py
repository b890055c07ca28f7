"""Chooses the upstream for a call by estimated cost.

A call goes where it can still meet its latency target: few calls ahead of it,
its prompt's prefix cached, its adapter resident, nearby, and without paid
traffic. Many entries with the same stale view must not all choose the same
upstream, so the choice is spread over those of about equal cost.
"""

from collections.abc import Iterable
import dataclasses
import random

from sesamecross.core import data
from sesamecross.core import retry_after
from sesamecross.ops import estimates
from sesamecross.ops import prefixes
from sesamecross.ops import retry
from sesamecross.utils import rendezvous

# The weight of other entries' calls in a report halves in this time.
REPORT_HALF_LIFE_MS = 2000
# Added to the cost for traffic that is billed by volume.
PAID_TRAFFIC_MS = 150.0
ZONE_DISTANCE_MS = 1.0
# Candidates within this factor of the lowest cost share the calls.
SPREAD_FACTOR = 1.15
SPREAD_MS = 5.0
# Share of a prompt's blocks assumed cached at its home upstream before this
# entry itself has sent it there.
HOME_CACHED_SHARE = 0.9
MIN_CALLS = 2.0
# Up to this share of its capacity an upstream also takes late calls.
SPARE_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobin:
    """Baseline: resident upstreams in turn."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """Baseline: the fewest open calls of this entry."""


@dataclasses.dataclass(frozen=True, slots=True)
class LowestEstimatedCost:
    """The production policy: estimated cost and latency target."""


Policy = RoundRobin | LeastOutstanding | LowestEstimatedCost

_POLICIES: dict[str, Policy] = {
    "estimated": LowestEstimatedCost(),
    "least-outstanding": LeastOutstanding(),
    "round-robin": RoundRobin(),
}


def policy_of(name: str) -> Policy:
    """Returns the policy with a name from the settings."""
    return _POLICIES[name]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call to a model, as routing sees it.

    Attributes:
      target: The model or adapter that the caller named.
      prompt_tokens: Estimated from the prompt's length.
      blocks: Hashes of the prompt's leading blocks.
      fingerprint: The same for all calls of a caller for the same work; empty
        if that is unknown.
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
    fingerprint: bytes = b""


@dataclasses.dataclass(slots=True)
class UpstreamState:
    """What this entry knows of one engine.

    Attributes:
      own_calls: This entry's open calls there.
      entries: Entries that share the upstream.
      prefill_tokens: Uncached prompt tokens of this entry's calls there that
        have no first token yet.
      breaker: Blocks calls after consecutive failures.
      said_leaving_ms: Monotonic ms at which it last said that it is leaving, in
        an answer to a call or in a report; None if it has not, has restarted,
        or later reports say otherwise.
      backoff_until_ms: Monotonic ms until which it wants no calls from this
        entry.
      is_draining: An operator's drain mark.
      absent: Targets that the upstream said it does not hold, by monotonic ms
        of its answer; a later report clears them.
    """

    declared: data.Upstream
    region: str
    report: data.UpstreamReport | None = None
    reported_ms: int = 0
    own_calls_at_report: int = 0
    own_calls: int = 0
    entries: int = 1
    prefill_tokens: float = 0.0
    breaker: retry.CircuitBreaker = dataclasses.field(
        default_factory=retry.CircuitBreaker
    )
    latency_model: estimates.UpstreamLatencyModel = dataclasses.field(
        default_factory=estimates.UpstreamLatencyModel
    )
    prefix_cache: prefixes.PrefixCacheEstimate = dataclasses.field(
        default_factory=prefixes.PrefixCacheEstimate
    )
    said_leaving_ms: int | None = None
    backoff_until_ms: int = 0
    is_draining: bool = False
    absent: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def version(self) -> str:
        """The version of its software by its report; empty if unknown."""
        return self.report.version if self.report is not None else ""

    def batch_size(self, now_ms: int) -> float:
        """Estimates the calls at the upstream, of this and other entries."""
        if self.report is None:
            return float(self.own_calls)
        total = self.report.running + self.report.waiting
        others = max(0, total - self.own_calls_at_report)
        age_ms = max(0, now_ms - self.reported_ms)
        return self.own_calls + others * 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)

    def may_serve(self, target: str, now_ms: int) -> bool:
        """Tells whether new calls for `target` may go there."""
        report = self.report
        if report is None or not report.reachable:
            return False
        if self.said_leaving_ms is not None or self.is_draining:
            return False
        if now_ms < self.backoff_until_ms:
            return False
        if not self.breaker.allows(now_ms) or target in self.absent:
            return False
        return target in report.resident

    def record_backoff(self, backoff_s: float, now_ms: int) -> None:
        """Records that the upstream wants no calls for some seconds.

        An earlier wish that lasts longer holds on.
        """
        until_ms = now_ms + int(1000 * min(retry_after.MAX_S, backoff_s))
        self.backoff_until_ms = max(self.backoff_until_ms, until_ms)

    def max_calls(self, promise: data.Promise) -> float:
        """Estimates how many concurrent calls still meet a latency target."""
        max_calls = self.latency_model.max_calls_for(promise.between_tokens_ms)
        return min(max(max_calls, MIN_CALLS), self.declared.concurrency)

    def has_capacity(self, promise: data.Promise, now_ms: int) -> bool:
        """Tells whether one more call of this entry may be open there.

        Reports lag, so an entry may always use its even share.
        """
        max_calls = self.max_calls(promise)
        share = max(MIN_CALLS, max_calls / self.entries)
        return (
            self.own_calls + 1 <= share
            or self.batch_size(now_ms) + 1 <= max_calls
        )

    def has_spare_capacity(self, promise: data.Promise, now_ms: int) -> bool:
        """Tells whether a call that will be late delays no others there."""
        spare_calls = self.max_calls(promise) * SPARE_SHARE
        return self.batch_size(now_ms) + 1 <= max(MIN_CALLS, spare_calls)


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """The cost of a call at one upstream, times in milliseconds.

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
    batch_size: float
    uncached_tokens: float
    known_cached_tokens: float
    prefill_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLocation:
    """The entry's location, and one-way ms to other regions."""

    zone: str
    region: str
    region_ms: dict[str, int]


def estimate(
    call: Call,
    upstream: UpstreamState,
    location: EntryLocation,
    now_ms: int,
    is_home: bool = False,
) -> Estimate:
    """Returns the cost of `call` at `upstream` now.

    Args:
      call: The call.
      upstream: The candidate.
      location: This entry's location.
      now_ms: Monotonic time.
      is_home: Whether the upstream is the home of the prompt's prefix.
    """
    batch_size = upstream.batch_size(now_ms)
    known = upstream.prefix_cache.cached_tokens(call.blocks)
    cached = max(known, _tokens_cached_at_home(call)) if is_home else known
    uncached = max(0.0, call.prompt_tokens - cached)
    prefill = uncached + upstream.prefill_tokens
    latency_model = upstream.latency_model
    calls_waiting = max(0.0, batch_size + 1 - upstream.declared.concurrency)
    queue_ms = (
        calls_waiting * latency_model.call_ms / upstream.declared.concurrency
    )
    distance_ms = _distance_ms(upstream, location)
    between_ms = latency_model.between_ms(batch_size + 1)
    first_ms = 2 * distance_ms + queue_ms + latency_model.first_ms(prefill)
    first_ms += between_ms
    waited_ms = now_ms - call.arrived_ms
    meets_promise = (
        waited_ms + first_ms <= call.promise.first_token_ms
        and between_ms <= call.promise.between_tokens_ms
    )
    # Prefill delays all other calls at the upstream as much as this one.
    cost_ms = first_ms + 4 * between_ms + latency_model.prefill_ms(uncached)
    if upstream.region != location.region:
        cost_ms += PAID_TRAFFIC_MS
    return Estimate(
        upstream.declared.name,
        first_ms,
        between_ms,
        cost_ms,
        meets_promise,
        batch_size,
        uncached,
        known,
        prefill,
    )


def _tokens_cached_at_home(call: Call) -> float:
    """Returns the tokens that are probably cached at the prefix's home."""
    return HOME_CACHED_SHARE * len(call.blocks) * prefixes.BLOCK_TOKENS


def prefix_home(call: Call, upstreams: Iterable[UpstreamState]) -> str:
    """Returns the home upstream of the prompt's prefix, or "".

    All entries choose alike, so that a shared prefix is cached at one upstream
    and not at as many as there are entries.
    """
    if not call.blocks:
        return ""
    names = (upstream.declared.name for upstream in upstreams)
    return rendezvous.top(f"prefix/{call.blocks[0]}", names, 1)[0]


def _distance_ms(upstream: UpstreamState, location: EntryLocation) -> float:
    if upstream.region != location.region:
        return float(location.region_ms.get(upstream.region, 30))
    if upstream.declared.zone != location.zone:
        return ZONE_DISTANCE_MS
    return 0.0


def choose(
    policy: Policy,
    call: Call,
    candidates: Iterable[UpstreamState],
    location: EntryLocation,
    now_ms: int,
    dispatch_count: int,
    rng: random.Random,
    home: str = "",
) -> Estimate | None:
    """Returns the chosen candidate's estimate, or None without candidates.

    Args:
      policy: The routing policy.
      call: The call.
      candidates: Upstreams that may serve it and have capacity.
      location: This entry's location.
      now_ms: Monotonic time.
      dispatch_count: Number of this entry's dispatches, for round robin.
      rng: Spreads the choice over candidates of about equal cost.
      home: The home of the prompt's prefix, "" if unknown.
    """
    ranked = sorted(
        (
            estimate(
                call, upstream, location, now_ms, upstream.declared.name == home
            )
            for upstream in candidates
        ),
        key=lambda candidate: (candidate.cost_ms, candidate.upstream),
    )
    if not ranked:
        return None
    match policy:
        case RoundRobin():
            ranked.sort(key=lambda candidate: candidate.upstream)
            return ranked[dispatch_count % len(ranked)]
        case LeastOutstanding():
            own_calls = {u.declared.name: u.own_calls for u in candidates}
            return min(
                ranked,
                key=lambda candidate: (
                    own_calls[candidate.upstream],
                    candidate.upstream,
                ),
            )
        case LowestEstimatedCost():
            meeting_target = [
                candidate for candidate in ranked if candidate.keeps_promise
            ] or ranked
            cost_limit_ms = (
                meeting_target[0].cost_ms * SPREAD_FACTOR + SPREAD_MS
            )
            near_best = [
                candidate
                for candidate in meeting_target
                if candidate.cost_ms <= cost_limit_ms
            ]
            return rng.choice(near_best)
    return None
