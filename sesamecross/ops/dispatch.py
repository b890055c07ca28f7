"""Decides for each model call when and where it is dispatched or refused.

Admission control, routing, limits and retries share one state. Without I/O of
its own, it runs the same under tests, a replay, or a benchmark with its own
clock. Typed inputs and a time go in, typed actions come out.
"""

import dataclasses
import math
import random

import msgspec

from sesamecross.core import data
from sesamecross.core import refusal
from sesamecross.ops import call_queue
from sesamecross.ops import crash_watch
from sesamecross.ops import estimates
from sesamecross.ops import retry
from sesamecross.ops import routing

MAX_ATTEMPTS = 4
# How long an upstream's own word that it is leaving outweighs reports. These
# are refreshed within 5 s, and reach the entry through the log and a view, so
# one that arrives sooner may be older than that word.
LEAVING_TTL_MS = 10_000
MAX_QUEUED_CALLS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The call goes to an upstream, after `backoff_ms` if it is a retry."""

    call_id: str
    upstream: str
    url: str
    attempt: int
    chosen: routing.Estimate
    backoff_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The call gets its final answer now."""

    call_id: str
    refusal: refusal.Refusal


Action = Dispatch | Refuse


class FailureKind:
    """Why an attempt failed; decides what may follow."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun(FailureKind):
    """The upstream said, or the network proved, that nothing was run."""

    leaving: bool = False
    absent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun(FailureKind):
    """The upstream failed after it may have begun.

    Attributes:
      backoff_s: It answered, and wants no calls for so long; None if it does
        not say.
    """

    backoff_s: float | None = None


@dataclasses.dataclass(slots=True)
class _OpenCall:
    """A call that is queued or dispatched.

    Attributes:
      may_have_run: Whether any of its attempts may have begun.
      version: The software version that sent the part of the answer that the
        caller has; None before the first part.
      state: The record that counts the call. A new configuration may give its
        upstream another record, which has never counted it.
    """

    call: routing.Call
    upstream: str = ""
    state: routing.UpstreamState | None = None
    chosen: routing.Estimate | None = None
    attempts: int = 0
    in_prefill: bool = False
    excluded: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    version: str | None = None


class Dispatcher:
    """Dispatches one entry's model calls. Not thread-safe."""

    __slots__ = (
        "upstreams",
        "budget",
        "queue",
        "_location",
        "_policy",
        "_has_admission_control",
        "_rng",
        "_open_calls",
        "_dispatch_count",
        "_entry_count",
        "_crash_watch",
    )

    def __init__(
        self,
        location: routing.EntryLocation,
        policy: routing.Policy,
        rng: random.Random,
    ):
        self.upstreams: dict[str, routing.UpstreamState] = {}
        self.budget = retry.RetryBudget()
        self.queue = call_queue.CallQueue()
        self._location = location
        self._policy = policy
        # The baseline policies of experiments have no limits and no queue.
        self._has_admission_control = isinstance(
            policy, routing.LowestEstimatedCost
        )
        self._rng = rng
        self._open_calls: dict[str, _OpenCall] = {}
        self._dispatch_count = 0
        self._entry_count = 1
        self._crash_watch = crash_watch.CrashWatch()

    @property
    def open_calls(self) -> int:
        """Number of queued and dispatched calls."""
        return len(self._open_calls)

    # -- configuration and reports --------------------------------------

    def configure(self, declarations: data.Declarations, entries: int) -> None:
        """Applies accepted declarations.

        Args:
          declarations: The declarations in force.
          entries: Entry instances believed alive, for a first estimate of
            this entry's share of an upstream.
        """
        self._entry_count = max(1, entries)
        region_ms = {
            r.name: r.one_way_ms for r in declarations.regions.values()
        }
        self._location = dataclasses.replace(
            self._location, region_ms=region_ms
        )
        engines = {e.name: e for e in declarations.engines()}
        for name in list(self.upstreams):
            if name not in engines:
                del self.upstreams[name]
        for name, declared in engines.items():
            region = declarations.zones[declared.zone].region
            known = self.upstreams.get(name)
            if known is None or known.declared.url != declared.url:
                self.upstreams[name] = self._new_state(declared, region)
                continue
            # The same engine under new limits: its report and open calls stay.
            known.declared = declared
            known.region = region
            known.entries = self._entry_count

    def _new_state(
        self, declared: data.Upstream, region: str
    ) -> routing.UpstreamState:
        return routing.UpstreamState(
            declared, region, entries=self._entry_count
        )

    def report(self, report: data.UpstreamReport, now_ms: int) -> None:
        """Applies an upstream's report."""
        state = self.upstreams.get(report.upstream)
        if state is None:
            return
        self._crash_watch.record_report(report)
        earlier = state.report
        if earlier is not None and earlier.epoch != report.epoch:
            # Restarted: its cache is empty and earlier refusals are void.
            state.prefix_cache.clear()
            state.said_leaving_ms = None
            state.backoff_until_ms = 0
        self._apply_leaving(state, report, now_ms)
        if earlier is not None and earlier == report:
            return
        state.report = report
        state.reported_ms = now_ms
        state.own_calls_at_report = state.own_calls
        state.absent.clear()

    def _apply_leaving(
        self,
        state: routing.UpstreamState,
        report: data.UpstreamReport,
        now_ms: int,
    ) -> None:
        if report.leaving:
            state.said_leaving_ms = now_ms
        elif (
            state.said_leaving_ms is not None
            and now_ms - state.said_leaving_ms >= LEAVING_TTL_MS
        ):
            state.said_leaving_ms = None

    def set_draining(self, upstream: str, draining: bool) -> None:
        """Applies an operator's drain mark."""
        state = self.upstreams.get(upstream)
        if state is not None:
            state.is_draining = draining

    # -- calls ---------------------------------------------------------

    def submit(self, call: routing.Call, now_ms: int) -> list[Action]:
        """Accepts a new call; its action may follow later."""
        open_call = _OpenCall(call)
        self._open_calls[call.call_id] = open_call
        left_s = self._crash_watch.left_s(call, now_ms)
        if left_s is not None:
            return [self._withhold(open_call, left_s)]
        return self._dispatch_or_queue(open_call, now_ms)

    def _withhold(self, open_call: _OpenCall, left_s: float) -> Refuse:
        executed = refusal.Executed.NO
        if open_call.may_have_run:
            executed = refusal.Executed.UNKNOWN
        answer = refusal.withheld(max(1, math.ceil(left_s)), executed)
        return self._refuse(open_call, answer)

    def _dispatch_or_queue(
        self, open_call: _OpenCall, now_ms: int
    ) -> list[Action]:
        call = open_call.call
        eligible = self._eligible_upstreams(open_call, now_ms)
        if not eligible:
            answer = self._no_upstream_refusal(open_call, now_ms)
            return [self._refuse(open_call, answer)]
        # A new call never overtakes one that waits for the same upstreams.
        if not self._has_admission_control:
            return [self._dispatch(open_call, eligible, now_ms)]
        with_capacity = _upstreams_with_capacity(
            open_call.call, eligible, self._location, now_ms
        )
        if with_capacity and not self.queue.count_ahead_of(call, now_ms):
            return [self._dispatch(open_call, with_capacity, now_ms)]
        wait_ms = self._estimated_wait_ms(call, eligible, now_ms)
        if (
            wait_ms > call.promise.queue_ms
            or len(self.queue) >= MAX_QUEUED_CALLS
        ):
            retry_after_s = max(1, math.ceil(wait_ms / 1000))
            return [self._refuse(open_call, refusal.overloaded(retry_after_s))]
        self.queue.add(call)
        return self._dispatch_queued(now_ms)

    def _eligible_upstreams(
        self, open_call: _OpenCall, now_ms: int
    ) -> list[routing.UpstreamState]:
        target = open_call.call.target
        found = [
            u
            for u in self.upstreams.values()
            if u.declared.name not in open_call.excluded
            and u.may_serve(target, now_ms)
            # What two versions write does not fit together.
            and open_call.version in (None, u.version)
        ]
        return sorted(found, key=lambda u: u.declared.name)

    def _holders(self, target: str) -> list[routing.UpstreamState]:
        """Returns all upstreams that report `target`, available or not.

        The home of a prefix must not move when one of them is busy.
        """
        return [
            u
            for u in self.upstreams.values()
            if u.report is not None and target in u.report.resident
        ]

    def _no_upstream_refusal(
        self, open_call: _OpenCall, now_ms: int
    ) -> refusal.Refusal:
        if open_call.may_have_run:
            return refusal.upstream_failed(
                refusal.Executed.UNKNOWN,
                "Send the call again; model calls may be repeated",
            )
        target = open_call.call.target
        backoffs_ms = [
            one.backoff_until_ms - now_ms
            for one in self._holders(target)
            if one.backoff_until_ms > now_ms
        ]
        if backoffs_ms:
            retry_after_s = math.ceil(min(backoffs_ms) / 1000)
            return refusal.no_upstream(target, retry_after_s)
        return refusal.no_upstream(target)

    def _estimated_wait_ms(
        self,
        call: routing.Call,
        eligible: list[routing.UpstreamState],
        now_ms: int,
    ) -> float:
        ahead = self.queue.count_ahead_of(call, now_ms) + 1
        rate = sum(
            u.max_calls(call.promise)
            / self._entry_count
            / u.latency_model.call_ms
            for u in eligible
        )
        return ahead / max(rate, 1e-6)

    def _dispatch(
        self,
        open_call: _OpenCall,
        candidates: list[routing.UpstreamState],
        now_ms: int,
    ) -> Dispatch:
        self._dispatch_count += 1
        chosen = routing.choose(
            self._policy,
            open_call.call,
            candidates,
            self._location,
            now_ms,
            self._dispatch_count,
            self._rng,
            routing.prefix_home(
                open_call.call, self._holders(open_call.call.target)
            ),
        )
        state = self.upstreams[chosen.upstream]
        open_call.state = state
        state.own_calls += 1
        state.prefill_tokens += chosen.uncached_tokens
        open_call.in_prefill = True
        state.prefix_cache.record_prompt(open_call.call.blocks)
        open_call.upstream = chosen.upstream
        open_call.chosen = chosen
        open_call.attempts += 1
        self.queue.count_dispatch(open_call.call.caller)
        return Dispatch(
            open_call.call.call_id,
            chosen.upstream,
            state.declared.url,
            open_call.attempts,
            chosen,
        )

    def _refuse(self, open_call: _OpenCall, answer: refusal.Refusal) -> Refuse:
        self._open_calls.pop(open_call.call.call_id, None)
        return Refuse(open_call.call.call_id, answer)

    def finished(
        self,
        call_id: str,
        observation: estimates.Observation,
        complete: bool,
        now_ms: int,
    ) -> list[Action]:
        """Handles the end of a call and dispatches queued ones.

        Args:
          call_id: The call.
          observation: What was measured; the estimates at dispatch are filled
            in here.
          complete: False if the caller disconnected before the end.
          now_ms: Monotonic time.
        """
        open_call = self._open_calls.pop(call_id, None)
        if open_call is None or open_call.state is None:
            return []
        self._end_prefill(open_call)
        self._learn(open_call.state, open_call, observation, complete)
        open_call.state.own_calls -= 1
        if complete:
            self.budget.succeeded()
            self._crash_watch.record_answer(open_call.call, now_ms)
        return self._dispatch_queued(now_ms)

    def _learn(
        self,
        state: routing.UpstreamState,
        open_call: _OpenCall,
        observation: estimates.Observation,
        complete: bool,
    ) -> None:
        state.breaker.succeeded()
        if not complete:
            return
        if observation.cached_tokens is not None and open_call.attempts == 1:
            state.prefix_cache.adjust_limit(
                open_call.chosen.known_cached_tokens, observation.cached_tokens
            )
        observation = msgspec.structs.replace(
            observation,
            batch_size=open_call.chosen.batch_size + 1,
            uncached_tokens=_prefilled_tokens(open_call, observation),
        )
        state.latency_model.observe(observation)

    def first_token(self, call_id: str, version: str = "") -> None:
        """Handles a call's first token: its prompt is processed.

        Args:
          call_id: The call.
          version: The software version by the answer. If that states none, it
            is that of the engine's report.
        """
        open_call = self._open_calls.get(call_id)
        if open_call is None:
            return
        self._end_prefill(open_call)
        if open_call.version is None and open_call.state is not None:
            open_call.version = version or open_call.state.version

    def _end_prefill(self, open_call: _OpenCall) -> None:
        state = open_call.state
        if not open_call.in_prefill or state is None:
            return
        open_call.in_prefill = False
        remaining_tokens = (
            state.prefill_tokens - open_call.chosen.uncached_tokens
        )
        state.prefill_tokens = max(0.0, remaining_tokens)

    def failed(
        self, call_id: str, failure: FailureKind, now_ms: int
    ) -> list[Action]:
        """Handles a failed attempt with a retry or a refusal."""
        open_call = self._open_calls.get(call_id)
        if open_call is None:
            return []
        if open_call.state is not None and failure == MayHaveRun():
            self._crash_watch.record_loss(
                open_call.call,
                open_call.state.report,
                open_call.in_prefill,
                now_ms,
            )
        self._record_failure(open_call, failure, now_ms)
        open_call.excluded.add(open_call.upstream)
        open_call.may_have_run |= isinstance(failure, MayHaveRun)
        open_call.upstream = ""
        open_call.state = None
        actions = [self._retry(open_call, failure, now_ms)]
        return actions + self._dispatch_queued(now_ms)

    def _record_failure(
        self, open_call: _OpenCall, failure: FailureKind, now_ms: int
    ) -> None:
        state = open_call.state
        if state is None:
            return
        self._end_prefill(open_call)
        state.own_calls -= 1
        match failure:
            case NotRun(leaving=True):
                # The upstream's own answer counts at once; the platform's list
                # lags.
                state.said_leaving_ms = now_ms
            case NotRun(absent=True):
                state.absent[open_call.call.target] = now_ms
            case MayHaveRun(backoff_s=float(backoff_s)):
                state.record_backoff(backoff_s, now_ms)
            case _:
                state.breaker.failed(now_ms)

    def _retry(
        self, open_call: _OpenCall, failure: FailureKind, now_ms: int
    ) -> Action:
        call = open_call.call
        if now_ms >= call.deadline_ms:
            executed = refusal.Executed.UNKNOWN
            return self._refuse(open_call, refusal.deadline_passed(executed))
        left_s = self._crash_watch.left_s(call, now_ms)
        if left_s is not None:
            return self._withhold(open_call, left_s)
        eligible = self._eligible_upstreams(open_call, now_ms)
        if not eligible:
            # Every upstream failed this call once; a passing fault may be over.
            open_call.excluded.clear()
            eligible = self._eligible_upstreams(open_call, now_ms)
        # A retry of what was proved not to have run is free; only work that may
        # be done twice spends the retry budget.
        is_free = (
            isinstance(failure, NotRun) and open_call.attempts < MAX_ATTEMPTS
        )
        allowed = is_free or (
            open_call.attempts < MAX_ATTEMPTS
            and self._crash_watch.may_send_again(call)
            and self.budget.spend()
        )
        if not eligible or not allowed:
            return self._refuse(
                open_call, self._no_upstream_refusal(open_call, now_ms)
            )
        with_capacity = _upstreams_with_capacity(
            open_call.call, eligible, self._location, now_ms
        )
        # A call that was admitted once does not queue again.
        action = self._dispatch(open_call, with_capacity or eligible, now_ms)
        if is_free:
            return action
        backoff_ms = retry.backoff_ms(open_call.attempts, self._rng)
        return dataclasses.replace(action, backoff_ms=backoff_ms)

    def abandoned(self, call_id: str, now_ms: int) -> list[Action]:
        """Handles that the caller of an open call disconnected."""
        self.queue.remove(call_id)
        open_call = self._open_calls.pop(call_id, None)
        if open_call is not None and open_call.state is not None:
            self._end_prefill(open_call)
            open_call.state.own_calls -= 1
        return self._dispatch_queued(now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Refuses calls that waited too long; dispatches what has capacity."""
        actions: list[Action] = []
        for call in self.queue.expired(now_ms):
            self.queue.remove(call.call_id)
            open_call = self._open_calls[call.call_id]
            if now_ms >= call.deadline_ms:
                answer = refusal.deadline_passed(refusal.Executed.NO)
            else:
                answer = refusal.overloaded(2)
            actions.append(self._refuse(open_call, answer))
        return actions + self._dispatch_queued(now_ms)

    def _dispatch_queued(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        if not len(self.queue):
            return actions
        for call in self.queue.by_priority(now_ms):
            open_call = self._open_calls[call.call_id]
            left_s = self._crash_watch.left_s(call, now_ms)
            if left_s is not None:
                self.queue.remove(call.call_id)
                actions.append(self._withhold(open_call, left_s))
                continue
            eligible = self._eligible_upstreams(open_call, now_ms)
            with_capacity = _upstreams_with_capacity(
                call, eligible, self._location, now_ms
            )
            if with_capacity:
                self.queue.remove(call.call_id)
                actions.append(self._dispatch(open_call, with_capacity, now_ms))
        return actions


def _prefilled_tokens(
    open_call: _OpenCall, observation: estimates.Observation
) -> float:
    """Returns the prompt tokens that were processed until the first token.

    The engine's own count of cached tokens takes precedence over the estimate
    at dispatch: fitted to wrong estimates, the slope comes out too flat, and
    cached prefixes would no longer influence routing.
    """
    chosen = open_call.chosen
    if observation.cached_tokens is None:
        return chosen.prefill_tokens
    ahead = chosen.prefill_tokens - chosen.uncached_tokens
    return (
        max(0.0, open_call.call.prompt_tokens - observation.cached_tokens)
        + ahead
    )


def _upstreams_with_capacity(
    call: routing.Call,
    eligible: list[routing.UpstreamState],
    location: routing.EntryLocation,
    now_ms: int,
) -> list[routing.UpstreamState]:
    """Returns the upstreams to which a call may go now.

    Beyond saturation each call admitted late makes others late too, until no
    call meets its latency target. So a call goes only where it meets its
    target by estimate, or where there is spare capacity.
    """
    home = routing.prefix_home(call, eligible)
    return [
        upstream
        for upstream in eligible
        if upstream.has_capacity(call.promise, now_ms)
        and (
            upstream.has_spare_capacity(call.promise, now_ms)
            or routing.estimate(
                call,
                upstream,
                location,
                now_ms,
                upstream.declared.name == home,
            ).keeps_promise
        )
    ]
