"""Decides for each call when and where it goes, or that it is refused.

Why: admission, routing, limits, retries and refusals share one state; apart
from I/O they run the same under tests, a replay, or a bench with its own
clock. Typed inputs and a time go in, typed actions come out.
"""

import dataclasses
import math
import random

from sesamecross.core import data
from sesamecross.core import refusal
from sesamecross.ops import call_queue
from sesamecross.ops import estimates
from sesamecross.ops import retry
from sesamecross.ops import routing

MAX_ATTEMPTS = 4
QUEUE_MOST = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The call goes to an upstream now, or after a pause before a retry."""

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
    """The upstream said, or the network proved, that nothing ran."""

    leaving: bool = False
    absent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun(FailureKind):
    """The upstream failed after it may have begun."""


@dataclasses.dataclass(slots=True)
class _Open:
    """A call that is waiting or dispatched.

    Attributes:
      may_have_run: Whether any of its attempts may have begun.
      state: Where the call is counted. A configuration may give its upstream
        another record meanwhile, which has never counted it.
    """

    call: routing.Call
    upstream: str = ""
    state: routing.UpstreamState | None = None
    chosen: routing.Estimate | None = None
    attempts: int = 0
    in_prefill: bool = False
    excluded: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False


class Dispatcher:
    """One entry's calls to models. Not safe for threads."""

    __slots__ = (
        "upstreams",
        "budget",
        "queue",
        "_place",
        "_policy",
        "_is_limited",
        "_rng",
        "_open",
        "_turn",
        "_entries",
    )

    def __init__(
        self,
        place: routing.EntryLocation,
        policy: routing.Policy,
        rng: random.Random,
    ):
        self.upstreams: dict[str, routing.UpstreamState] = {}
        self.budget = retry.RetryBudget()
        self.queue = call_queue.CallQueue()
        self._place = place
        self._policy = policy
        # The baselines of experiments know no limits and no queue.
        self._is_limited = isinstance(policy, routing.LowestEstimatedCost)
        self._rng = rng
        self._open: dict[str, _Open] = {}
        self._turn = 0
        self._entries = 1

    @property
    def open_calls(self) -> int:
        """Calls that are waiting or dispatched."""
        return len(self._open)

    # -- views ---------------------------------------------------------

    def configure(self, declarations: data.Declarations, entries: int) -> None:
        """Takes in accepted declarations.

        Args:
          declarations: What is declared now.
          entries: Entry instances believed alive, for a first guess of
            this entry's share of an upstream.
        """
        self._entries = max(1, entries)
        region_ms = {
            r.name: r.one_way_ms for r in declarations.regions.values()
        }
        self._place = dataclasses.replace(self._place, region_ms=region_ms)
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
            # The same engine under other limits: what it reported and the
            # calls that are open there stay known.
            known.declared = declared
            known.region = region

    def _new_state(
        self, declared: data.Upstream, region: str
    ) -> routing.UpstreamState:
        return routing.UpstreamState(declared, region, entries=self._entries)

    def report(self, report: data.UpstreamReport, now_ms: int) -> None:
        """Takes in what an upstream said of itself."""
        state = self.upstreams.get(report.upstream)
        if state is None:
            return
        earlier = state.report
        if earlier is not None and earlier.epoch != report.epoch:
            # Restarted: its cache is empty and earlier refusals are void.
            state.history.clear()
            state.leaving_seen = False
        if earlier is not None and earlier == report:
            return
        state.report = report
        state.reported_ms = now_ms
        state.own_at_report = state.own
        state.absent.clear()

    def set_draining(self, upstream: str, draining: bool) -> None:
        """Takes in an operator's drain mark."""
        state = self.upstreams.get(upstream)
        if state is not None:
            state.leaving_seen = draining

    # -- calls ---------------------------------------------------------

    def submit(self, call: routing.Call, now_ms: int) -> list[Action]:
        """Takes a new call; the action may follow later."""
        open_call = _Open(call)
        self._open[call.call_id] = open_call
        return self._place_or_queue(open_call, now_ms)

    def _place_or_queue(self, one: _Open, now_ms: int) -> list[Action]:
        call = one.call
        servers = self._servers(one, now_ms)
        if not servers:
            return [self._refuse(one, self._no_server(one))]
        # Nobody overtakes a call that waits for the same upstreams.
        if not self._is_limited:
            return [self._dispatch(one, servers, now_ms)]
        with_room = _with_room(one.call, servers, self._place, now_ms)
        if with_room and not self.queue.ahead_of(call, now_ms):
            return [self._dispatch(one, with_room, now_ms)]
        wait_ms = self._wait_ms(call, servers, now_ms)
        if wait_ms > call.promise.queue_ms or len(self.queue) >= QUEUE_MOST:
            retry_after_s = max(1, math.ceil(wait_ms / 1000))
            return [self._refuse(one, refusal.overloaded(retry_after_s))]
        self.queue.add(call)
        return self._drain_queue(now_ms)

    def _servers(self, one: _Open, now_ms: int) -> list[routing.UpstreamState]:
        target = one.call.target
        found = [
            u
            for u in self.upstreams.values()
            if u.declared.name not in one.excluded
            and u.may_serve(target, now_ms)
        ]
        return sorted(found, key=lambda u: u.declared.name)

    def _holders(self, target: str) -> list[routing.UpstreamState]:
        """Returns all that report `target`, whether they may serve or not.

        The home of a prefix must not move when one of them is busy.
        """
        return [
            u
            for u in self.upstreams.values()
            if u.report is not None and target in u.report.resident
        ]

    def _no_server(self, one: _Open) -> refusal.Refusal:
        if one.may_have_run:
            return refusal.upstream_failed(
                refusal.Executed.UNKNOWN,
                "Send the call again; model calls may be repeated",
            )
        return refusal.no_upstream(one.call.target)

    def _wait_ms(
        self,
        call: routing.Call,
        servers: list[routing.UpstreamState],
        now_ms: int,
    ) -> float:
        ahead = self.queue.ahead_of(call, now_ms) + 1
        rate = sum(
            u.most(call.promise) / self._entries / u.speed.call_ms
            for u in servers
        )
        return ahead / max(rate, 1e-6)

    def _dispatch(
        self,
        one: _Open,
        candidates: list[routing.UpstreamState],
        now_ms: int,
    ) -> Dispatch:
        self._turn += 1
        chosen = routing.choose(
            self._policy,
            one.call,
            candidates,
            self._place,
            now_ms,
            self._turn,
            self._rng,
            routing.home_of(one.call, self._holders(one.call.target)),
        )
        state = self.upstreams[chosen.upstream]
        one.state = state
        state.own += 1
        state.prefill_tokens += chosen.uncached_tokens
        one.in_prefill = True
        state.history.routed(one.call.blocks)
        one.upstream = chosen.upstream
        one.chosen = chosen
        one.attempts += 1
        self.queue.dispatched(one.call.caller)
        return Dispatch(
            one.call.call_id,
            chosen.upstream,
            state.declared.url,
            one.attempts,
            chosen,
        )

    def _refuse(self, one: _Open, answer: refusal.Refusal) -> Refuse:
        self._open.pop(one.call.call_id, None)
        return Refuse(one.call.call_id, answer)

    def finished(
        self,
        call_id: str,
        seen: estimates.Observation,
        complete: bool,
        now_ms: int,
    ) -> list[Action]:
        """Learns from a call that ended and gives its room away.

        Args:
          call_id: The call.
          seen: What it showed; the estimates at dispatch are filled in.
          complete: False where the caller went away before the end.
          now_ms: Monotonic time.
        """
        one = self._open.pop(call_id, None)
        if one is None or one.state is None:
            return []
        self._leave_prefill(one)
        self._learn(one.state, one, seen, complete)
        one.state.own -= 1
        if complete:
            self.budget.succeeded()
        return self._drain_queue(now_ms)

    def _learn(
        self,
        state: routing.UpstreamState,
        one: _Open,
        seen: estimates.Observation,
        complete: bool,
    ) -> None:
        state.breaker.succeeded()
        if not complete:
            return
        if seen.cached_tokens is not None and one.attempts == 1:
            state.history.observed(
                one.chosen.known_cached_tokens, seen.cached_tokens
            )
        seen = dataclasses.replace(
            seen,
            in_batch=one.chosen.in_batch + 1,
            uncached_tokens=_worked_off(one, seen),
        )
        state.speed.observe(seen)

    def first_token(self, call_id: str) -> None:
        """A call has its first token: its prompt is worked off."""
        one = self._open.get(call_id)
        if one is not None:
            self._leave_prefill(one)

    def _leave_prefill(self, one: _Open) -> None:
        state = one.state
        if not one.in_prefill or state is None:
            return
        one.in_prefill = False
        left = state.prefill_tokens - one.chosen.uncached_tokens
        state.prefill_tokens = max(0.0, left)

    def failed(
        self, call_id: str, failure: FailureKind, now_ms: int
    ) -> list[Action]:
        """Decides what follows a failed attempt: another one or a refusal."""
        one = self._open.get(call_id)
        if one is None:
            return []
        self._note_failure(one, failure, now_ms)
        one.excluded.add(one.upstream)
        one.may_have_run |= isinstance(failure, MayHaveRun)
        one.upstream = ""
        one.state = None
        actions = [self._retry(one, failure, now_ms)]
        return actions + self._drain_queue(now_ms)

    def _note_failure(
        self, one: _Open, failure: FailureKind, now_ms: int
    ) -> None:
        state = one.state
        if state is None:
            return
        self._leave_prefill(one)
        state.own -= 1
        match failure:
            case NotRun(leaving=True):
                # The upstream's own word counts at once; the platform's
                # list would say so only after its lag.
                state.leaving_seen = True
            case NotRun(absent=True):
                state.absent[one.call.target] = now_ms
            case _:
                state.breaker.failed(now_ms)

    def _retry(self, one: _Open, failure: FailureKind, now_ms: int) -> Action:
        call = one.call
        if now_ms >= call.deadline_ms:
            executed = refusal.Executed.UNKNOWN
            return self._refuse(one, refusal.deadline_passed(executed))
        servers = self._servers(one, now_ms)
        if not servers:
            # Every upstream failed it once; what was passing may be over.
            one.excluded.clear()
            servers = self._servers(one, now_ms)
        # What was proved not to have run costs the upstreams nothing; only
        # work done twice is paid from the budget.
        free = isinstance(failure, NotRun) and one.attempts < MAX_ATTEMPTS
        allowed = free or (one.attempts < MAX_ATTEMPTS and self.budget.spend())
        if not servers or not allowed:
            return self._refuse(one, self._no_server(one))
        with_room = _with_room(one.call, servers, self._place, now_ms)
        # A call that was admitted once does not queue again.
        action = self._dispatch(one, with_room or servers, now_ms)
        if free:
            return action
        backoff_ms = retry.backoff_ms(one.attempts, self._rng)
        return dataclasses.replace(action, backoff_ms=backoff_ms)

    def abandoned(self, call_id: str, now_ms: int) -> list[Action]:
        """The caller went away while its call waited."""
        self.queue.remove(call_id)
        one = self._open.pop(call_id, None)
        if one is not None and one.state is not None:
            self._leave_prefill(one)
            one.state.own -= 1
        return self._drain_queue(now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Refuses what waited too long and dispatches what found room."""
        actions: list[Action] = []
        for call in self.queue.expired(now_ms):
            self.queue.remove(call.call_id)
            one = self._open[call.call_id]
            if now_ms >= call.deadline_ms:
                answer = refusal.deadline_passed(refusal.Executed.NO)
            else:
                answer = refusal.overloaded(2)
            actions.append(self._refuse(one, answer))
        return actions + self._drain_queue(now_ms)

    def _drain_queue(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        if not len(self.queue):
            return actions
        for call in self.queue.in_order(now_ms):
            one = self._open[call.call_id]
            servers = self._servers(one, now_ms)
            with_room = _with_room(call, servers, self._place, now_ms)
            if with_room:
                self.queue.remove(call.call_id)
                actions.append(self._dispatch(one, with_room, now_ms))
        return actions


def _worked_off(one: _Open, seen: estimates.Observation) -> float:
    """Returns the prompt tokens that were worked off for a call.

    Where the engine says what it had cached, that counts and not the guess
    at dispatch: a slope fitted to wrong guesses comes out too flat, and then
    prefixes would no longer decide anything.
    """
    chosen = one.chosen
    if seen.cached_tokens is None:
        return chosen.prefill_tokens
    ahead = chosen.prefill_tokens - chosen.uncached_tokens
    return max(0.0, one.call.prompt_tokens - seen.cached_tokens) + ahead


def _with_room(
    call: routing.Call,
    servers: list[routing.UpstreamState],
    place: routing.EntryLocation,
    now_ms: int,
) -> list[routing.UpstreamState]:
    """Returns where a call may go now.

    Past saturation each call that is let in late pushes others past their
    promise too, and soon nobody's is kept. So a call goes where it keeps its
    promise by estimate, or where there is spare room.
    """
    home = routing.home_of(call, servers)
    return [
        upstream
        for upstream in servers
        if upstream.has_room(call.promise, now_ms)
        and (
            upstream.has_spare_room(call.promise, now_ms)
            or routing.estimate(
                call,
                upstream,
                place,
                now_ms,
                upstream.declared.name == home,
            ).keeps_promise
        )
    ]
