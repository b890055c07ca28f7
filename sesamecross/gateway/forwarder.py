"""Serves a request: finds its route and upstream, sends it, answers it.

Why: one coroutine for each request follows it from the front door to its
answer, so that its whole life can be read in one place. What is decided on
the way is decided in `sesamecross.ops.fleet`; here are the waits.
"""

import asyncio
from collections.abc import Callable
import math
import random

from sesamecross.core import serving
from sesamecross.gateway import attempt as attempt_lib
from sesamecross.gateway import client_connection
from sesamecross.gateway import event_relay
from sesamecross.gateway import front
from sesamecross.gateway import pacing as pacing_lib
from sesamecross.gateway import pool as pool_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import attempts
from sesamecross.ops.fleet import choosing
from sesamecross.ops.fleet import demand as demand_lib
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import engine_choice
from sesamecross.ops.fleet import engine_state
from sesamecross.ops.fleet import patience
from sesamecross.ops.fleet import stopping
from sesamecross.ops.fleet import target_uses
from sesamecross.ports import dialect as dialect_lib
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib

# Where a caller is told to come back when nothing better is known.
RETRY_AFTER_S = 0.5
# A request that waited longer than this for its model was late by that.
WAITED_S = 0.1
# A request that waits for a model says so again this often.
WANT_AGAIN_S = 0.25


def _nobody(service: str, target: str, upstream: str) -> None:
    """Nobody gives orders yet."""


class Forwarder:
    """Answers requests of callers."""

    __slots__ = (
        "_state",
        "_dialect",
        "_pool",
        "_rng",
        "_metrics",
        "_log",
        "_open",
        "demand",
        "missing",
        "uses",
        "want",
        "pacing",
        "stop",
    )

    def __init__(
        self,
        state: state_lib.State,
        dialect: dialect_lib.Dialect,
        pool: pool_lib.Pool,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ):
        self._state = state
        self._dialect = dialect
        self._pool = pool
        self._rng = rng
        self._metrics = metrics
        self._log = logs.part("request")
        self._open: set[asyncio.Task] = set()
        self.demand = demand_lib.Demand()
        self.missing = patience.Missing()
        self.uses = target_uses.TargetUses()
        # Tells who gives orders that a request waits for a target.
        self.want: Callable[[str, str, str], None] = _nobody
        self.pacing: pacing_lib.Pacing | None = None
        # Set while this instance stops.
        self.stop: stopping.Stop | None = None

    @property
    def limits(self) -> serving.CallerLimits:
        """The limits in force for callers."""
        return self._state.limits

    @property
    def is_closing(self) -> bool:
        """Whether callers are told to use another connection next."""
        return self.stop is not None

    @property
    def open_requests(self) -> int:
        """How many requests are being answered."""
        return len(self._open)

    def read_request(
        self, head: front.Head, body: bytes
    ) -> serving.Request | None:
        """Returns the request that a head and a body make."""
        said = self._dialect.caller_head(head.headers)
        host = next(v for n, v in head.headers if n == b"host")
        return serving.Request(
            head.method,
            head.target,
            host.decode("latin-1"),
            tuple(head.headers),
            body,
            said.request_id,
            said.deadline_s,
            said.last_event_id,
            said.call,
        )

    def rejected(self, status: int, reason: str) -> None:
        """A request was refused for its form."""
        self._log.warning("malformed", status=status, why=reason)

    def handle(
        self, request: serving.Request, exchange: front.Exchange
    ) -> None:
        """Starts to answer a request."""
        one = _Serving(self, request, exchange)
        task = asyncio.create_task(one.run())
        one.task = task
        self._open.add(task)
        task.add_done_callback(self._open.discard)


class _Prompt:
    """A prompt that an engine has to read: counted until its first event."""

    __slots__ = (
        "call",
        "uses",
        "on_read",
        "instance_id",
        "_upstream",
        "_engine",
        "_tokens",
        "_begun_s",
        "_ahead",
        "_is_read",
    )

    def __init__(
        self,
        upstream: directory.KnownUpstream,
        engine: engine_state.EngineState | None,
        tokens: int,
        begun_s: float,
        ahead: int,
    ):
        self.call: serving.ModelCall | None = None
        self.uses: target_uses.TargetUses | None = None
        self.on_read: Callable[[], None] | None = None
        self.instance_id = ""
        self._upstream = upstream
        self._engine = engine
        self._tokens = tokens
        self._begun_s = begun_s
        self._ahead = ahead
        self._is_read = False

    def first_event(self) -> None:
        """The prompt is read; learns how long that took."""
        if self._is_read or self._engine is None:
            return
        self._upstream.reach.streaming += 1
        self._read()
        took_ms = (asyncio.get_running_loop().time() - self._begun_s) * 1000
        line = self._engine.speed(self.call.model)
        line.observe(self._ahead + self._tokens, took_ms)

    def _read(self) -> None:
        self._is_read = True
        if self.on_read is not None:
            self.on_read()
        self._engine.own_prompt_tokens -= self._tokens

    def end(self) -> None:
        """The attempt is over, whether the prompt was read or not."""
        if self._engine is None:
            return
        if self._is_read:
            self._upstream.reach.streaming -= 1
        else:
            self._read()
        self.uses.end(self.instance_id, self.call)


class _Serving:
    """One request on its way."""

    __slots__ = (
        "task",
        "_owner",
        "_request",
        "_exchange",
        "_route",
        "_arrived_s",
        "_ends_s",
        "_progress",
        "_relay",
        "_connection",
        "_upstream",
        "_choice",
        "_tried",
        "_full",
        "_back_s",
        "_expected_s",
        "_waited_s",
        "_permit",
        "_paced_s",
        "_note",
    )

    def __init__(
        self,
        owner: Forwarder,
        request: serving.Request,
        exchange: front.Exchange,
    ):
        self.task: asyncio.Task | None = None
        self._owner = owner
        self._request = request
        self._exchange = exchange
        self._route: serving.Route | None = None
        self._arrived_s = asyncio.get_running_loop().time()
        self._ends_s = 0.0
        self._progress = attempts.Progress()
        self._relay: event_relay.EventRelay | None = None
        self._connection: client_connection.ClientConnection | None = None
        self._upstream: directory.KnownUpstream | None = None
        self._choice: engine_choice.Choice | None = None
        self._tried: set[str] = set()
        # Engines whose pacer refused the request.
        self._full: set[str] = set()
        self._back_s = RETRY_AFTER_S
        # When the model was expected, by the last plan that was looked at.
        self._expected_s: float | None = None
        self._waited_s = 0.0
        self._permit: pacing_lib.Permit | None = None
        self._paced_s = 0.0
        self._note = ""

    async def run(self) -> None:
        """Answers the request, or gives up when the caller is gone."""
        self._exchange.on_gone = self._on_gone
        self._exchange.on_slow = self._on_slow
        outcome = "failed"
        try:
            outcome = await self._run()
        except asyncio.CancelledError:
            outcome = "caller gone"
        except Exception:
            self._owner._log.exception("error", id=self._request.request_id)
        finally:
            if self._connection is not None:
                self._connection.abort()
            self._release()
            if not self._exchange.is_over:
                # An error of ours: nothing may be promised.
                self._fail(500)
            self._report(outcome)

    def _on_gone(self) -> None:
        # A request that must not run twice is left to its end: it may be
        # half done, and nobody else will do the other half.
        is_once = (
            self._route is not None
            and self._route.kind is serving.RouteKind.ONCE
            and self._connection is not None
        )
        if not is_once and self.task is not None:
            self.task.cancel()

    def _on_slow(self, is_slow: bool) -> None:
        if self._connection is None:
            return
        if is_slow:
            self._connection.pause()
        else:
            self._connection.resume()

    # -- answers of our own --------------------------------------------

    def _refuse(self, retry_after_s: float) -> str:
        headers = self._owner._dialect.refusal(
            self._request.request_id, retry_after_s
        )
        self._exchange.whole(503, headers, b"")
        return "refused"

    def _fail(self, status: int) -> str:
        if self._exchange.is_begun:
            self._exchange.cut()
            return "cut"
        headers = self._owner._dialect.refusal(self._request.request_id, None)
        self._exchange.whole(status, headers, b"")
        return f"status {status}"

    # -- the request's way ---------------------------------------------

    async def _run(self) -> str:
        state = self._owner._state
        if not state.is_ready:
            self._note = "no configuration yet"
            return self._refuse(1.0)
        request = self._request
        path = request.path.decode("latin-1")
        self._route = state.routes.find(request.host, path)
        if self._route is None:
            self._note = "no route"
            return self._fail(404)
        stop = self._owner.stop
        if stop is not None and not stop.has_time_for(
            self._route, request.call, self._arrived_s
        ):
            self._note = "stopping"
            self._back_s = 0.0
            return self._refuse(0.0)
        waits_s = self._route.timeout_s
        if request.deadline_s is not None:
            waits_s = min(waits_s, request.deadline_s)
        self._ends_s = self._arrived_s + waits_s
        call = request.call
        if call is not None and self._route.targets:
            key = (self._route.targets[0].service, call.target)
            self._owner.demand.asked(key, self._arrived_s)
        if self._route.kind is serving.RouteKind.STREAM:
            self._relay = event_relay.EventRelay(self._exchange)
        return await self._until_answered()

    async def _until_answered(self) -> str:
        loop = asyncio.get_running_loop()
        state = self._owner._state
        window = state.retry_window(self._route)
        window.request(loop.time())
        while True:
            upstream = await self._choose()
            if upstream is None:
                return self._give_up("no upstream")
            failure = await self._attempt(upstream)
            match failure:
                case attempt_lib.Whole() as whole:
                    is_last = not self._may_replace(whole)
                    if is_last:
                        return self._deliver(whole)
                    failure = attempts.FailedThere(whole.status)
                case attempt_lib.Streamed():
                    self._relay.finish()
                    return "streamed"
                case None:
                    return self._out_of_time()
            self._note = f"{self._note} {failure}".strip()
            self._tried.add(upstream.entry.instance_id)
            may_spend = self._progress.sends == 0 or window.spend(
                loop.time(), state.instances
            )
            match attempts.after_failure(
                self._route, failure, self._progress, may_spend
            ):
                case attempts.Next.DELIVER:
                    return self._deliver(whole)
                case attempts.Next.REFUSE:
                    return self._give_up("refused everywhere")
                case attempts.Next.FAIL:
                    return self._fail(502)

    async def _choose(self) -> directory.KnownUpstream | None:
        if self._request.call is not None and self._route.is_model_call:
            return await self._choose_engine(self._request.call)
        usable = self._untried(self._usable())
        now_s = asyncio.get_running_loop().time()
        state = self._owner._state
        return choosing.choose(usable, state.place, now_s, self._owner._rng)

    def _usable(self) -> list[directory.KnownUpstream]:
        state = self._owner._state
        now_s = asyncio.get_running_loop().time()
        usable = []
        for target in self._route.targets:
            usable.extend(state.directory.usable(target.service, now_s))
        return usable

    def _untried(
        self, usable: list[directory.KnownUpstream]
    ) -> list[directory.KnownUpstream]:
        fresh = [
            one for one in usable if one.entry.instance_id not in self._tried
        ]
        return fresh or usable

    async def _choose_engine(
        self, call: serving.ModelCall
    ) -> directory.KnownUpstream | None:
        """Chooses an engine, and waits where the model is not loaded yet."""
        loop = asyncio.get_running_loop()
        owner = self._owner
        service = self._route.targets[0].service
        key = (service, call.target)
        waits = False
        begun_s = loop.time()
        try:
            while True:
                now_s = loop.time()
                choice = self._rate_engines(call, now_s)
                if choice is not None and not choice.lacks_adapter:
                    if not await self._pace(choice):
                        if self._another_engine(call, choice):
                            continue
                        return None
                    if self._is_still_good(choice.upstream, call):
                        self._choice = choice
                        return choice.upstream
                    self._release()
                    continue
                at = choice.upstream.entry.instance_id if choice else ""
                owner.want(service, call.target if at else call.model, at)
                decision = self._decide_wait(call, choice, now_s)
                if isinstance(decision, patience.ComeBack):
                    self._back_s = decision.after_s
                    return None
                if not waits:
                    waits = True
                    owner.demand.waits(key, 1)
                await owner._state.changed(
                    min(WANT_AGAIN_S, decision.until_s - now_s)
                )
        finally:
            if waits:
                owner.demand.waits(key, -1)
                self._waited_s += loop.time() - begun_s

    def _decide_wait(
        self,
        call: serving.ModelCall,
        choice: engine_choice.Choice | None,
        now_s: float,
    ) -> patience.Wait | patience.ComeBack:
        """Decides whether to wait for a model, or an adapter it lacks."""
        window = patience.Window(
            self._arrived_s,
            patience.leaves_s(self._route, self._arrived_s, self._ends_s),
            self._ends_s,
        )
        if choice is not None:
            return patience.decide_adapter(window, now_s)
        missed_s = self._owner.missing.since(call.model, now_s)
        self._expected_s = self._arrives_s(call)
        return patience.decide_model(window, self._expected_s, missed_s, now_s)

    def _rate_engines(
        self, call: serving.ModelCall, now_s: float
    ) -> engine_choice.Choice | None:
        """Returns the best engine, one that leaves only as the last choice."""
        state = self._owner._state
        rng = self._owner._rng
        candidates = [
            known
            for known in self._untried(self._usable())
            if known.entry.instance_id not in self._full
        ]
        choice = engine_choice.choose(call, candidates, state.place, now_s, rng)
        if choice is not None:
            return choice
        lasts_s = call.output_tokens * engine_choice.TOKEN_S
        leaving = []
        for target in self._route.targets:
            leaving.extend(
                state.directory.leaving(target.service, lasts_s, now_s)
            )
        return engine_choice.choose(call, leaving, state.place, now_s, rng)

    def _is_still_good(
        self, known: directory.KnownUpstream, call: serving.ModelCall
    ) -> bool:
        """Whether an engine may get the request now that its turn has come.

        The wait for a turn lasts up to 1.7 s. An engine that began to leave
        meanwhile must get nothing new, and one may have dropped the model.
        """
        now_s = asyncio.get_running_loop().time()
        lasts_s = call.output_tokens * engine_choice.TOKEN_S
        return self._owner._state.directory.takes(
            known, lasts_s, now_s
        ) and known.engine.holds(known.entry, call.target, now_s)

    async def _pace(self, choice: engine_choice.Choice) -> bool:
        """Waits until the engine may get one more prompt to read."""
        route = self._route
        leaves_s = patience.leaves_s(route, self._arrived_s, self._ends_s)
        read_s = choice.expected_s
        begun_s = asyncio.get_running_loop().time()
        answer = await self._owner.pacing.ask(
            choice.upstream,
            choice.fresh_tokens,
            self._arrived_s + route.objective_s - read_s,
            leaves_s,
        )
        now_s = asyncio.get_running_loop().time()
        self._paced_s += now_s - begun_s
        match answer:
            case pacing_lib.Refused(after_s=after_s):
                self._back_s = patience.back_s(after_s, self._ends_s, now_s)
                return False
        self._permit = answer
        return True

    def _another_engine(
        self, call: serving.ModelCall, full: engine_choice.Choice
    ) -> bool:
        """Leaves out a full engine; returns whether another one will do."""
        self._full.add(full.upstream.entry.instance_id)
        now_s = asyncio.get_running_loop().time()
        return any(
            known.engine.holds(known.entry, call.target, now_s)
            and not known.seems_down(now_s)
            for known in self._usable()
            if known.entry.instance_id not in self._full
        )

    def _release(self) -> None:
        """The prompt was read, or is not sent."""
        if self._permit is not None:
            self._owner.pacing.read(self._permit)
            self._permit = None

    def _arrives_s(self, call: serving.ModelCall) -> float | None:
        """Returns when the call's model is expected, where it is loaded."""
        times = []
        for known in self._usable():
            at_s = known.engine.arrives_s(call.model)
            if at_s is not None:
                times.append(at_s)
        return min(times, default=None)

    def _may_replace(self, whole: attempt_lib.Whole) -> bool:
        """Whether another upstream may be asked instead of this answer."""
        return (
            whole.status >= 500
            and self._route.may_repeat
            and not self._progress.has_output
        )

    def _deliver(self, whole: attempt_lib.Whole) -> str:
        if self._exchange.is_begun:
            return self._fail(502)
        headers = self._owner._dialect.to_caller(whole.headers)
        self._exchange.whole(whole.status, headers, whole.body)
        return f"status {whole.status}"

    def _give_up(self, why: str) -> str:
        self._note = f"{self._note} {why}".strip()
        if self._progress.ran_at:
            return self._fail(502)
        return self._refuse(self._back_s)

    def _out_of_time(self) -> str:
        if self._exchange.is_begun:
            self._exchange.cut()
            return "cut at its time"
        if self._progress.ran_at:
            return self._fail(504)
        return self._refuse(RETRY_AFTER_S)

    async def _attempt(
        self, upstream: directory.KnownUpstream
    ) -> attempt_lib.Outcome | None:
        """Sends the request once; None when its time is over."""
        loop = asyncio.get_running_loop()
        left_s = self._ends_s - loop.time()
        if left_s <= 0:
            return None
        address = upstream.entry.address
        self._upstream = upstream
        self._progress.tries += 1
        upstream.own_running += 1
        begun_s = loop.time()
        prompt = self._begin_prompt(upstream)
        try:
            try:
                connection = await self._owner._pool.take(
                    address, begun_s, left_s
                )
            except OSError as error:
                upstream.health.failed(loop.time())
                if isinstance(error, ConnectionRefusedError):
                    upstream.reach.refused(loop.time())
                else:
                    upstream.reach.silent(loop.time())
                self._owner._pool.drop(address)
                return attempts.NotSent(str(error) or type(error).__name__)
            outcome = await self._send(upstream, connection)
        finally:
            upstream.own_running -= 1
            prompt.end()
        self._learn(upstream, outcome, loop.time() - begun_s)
        return outcome

    def _begin_prompt(self, upstream: directory.KnownUpstream) -> "_Prompt":
        call = self._request.call
        choice = self._choice
        if call is None or choice is None or choice.upstream is not upstream:
            return _Prompt(upstream, None, 0, 0.0, 0)
        now_s = asyncio.get_running_loop().time()
        engine = upstream.engine
        ahead = engine.own_prompt_tokens + engine.others_prompt_tokens
        engine.own_prompt_tokens += choice.fresh_tokens
        engine.cache.sent(call)
        self._owner.uses.begin(upstream.entry.instance_id, call)
        prompt = _Prompt(upstream, engine, choice.fresh_tokens, now_s, ahead)
        prompt.call = call
        prompt.uses = self._owner.uses
        prompt.instance_id = upstream.entry.instance_id
        if self._relay is not None:
            self._relay.upstream = upstream
            self._relay.on_first = prompt.first_event
            prompt.on_read = self._release
        return prompt

    async def _send(
        self,
        upstream: directory.KnownUpstream,
        connection: client_connection.ClientConnection,
    ) -> attempt_lib.Outcome | None:
        loop = asyncio.get_running_loop()
        entry = upstream.entry
        request = self._request
        left_s = self._ends_s - loop.time()
        if left_s <= 0:
            self._owner._pool.give(entry.address, connection)
            return None
        one = attempt_lib.Attempt(
            loop,
            request.request_id,
            entry.instance_id,
            self._relay,
            self._owner._dialect,
        )
        passing = dialect_lib.Passing(
            entry.instance_id,
            left_s,
            self._route.urgency if self._route.is_model_call else None,
            self._relay.last_id if self._relay else "",
        )
        headers = self._owner._dialect.to_upstream(request, passing)
        self._connection = connection
        self._progress.sends += 1
        self._progress.ran_at.add(entry.instance_id)
        connection.send(
            client_connection.request_bytes(
                request.method, request.path, headers, request.body
            ),
            one,
        )
        await asyncio.wait([one.ended], timeout=left_s)
        if not one.ended.done():
            connection.abort()
            self._connection = None
            return None
        self._connection = None
        outcome = one.ended.result()
        if isinstance(outcome, attempts.NotRun):
            self._progress.ran_at.discard(entry.instance_id)
        if self._relay is not None and self._relay.events:
            self._progress.has_output = True
        if isinstance(outcome, attempts.Lost):
            connection.abort()
        else:
            self._owner._pool.give(entry.address, connection)
        return outcome

    def _learn(
        self,
        upstream: directory.KnownUpstream,
        outcome: attempt_lib.Outcome | None,
        took_s: float,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if not isinstance(
            outcome, (attempts.Lost, attempts.NotSent, type(None))
        ):
            upstream.reach.heard(now_s)
        match outcome:
            case attempt_lib.Whole(status):
                if status >= 500:
                    upstream.health.failed(now_s)
                else:
                    upstream.health.worked(now_s)
                    upstream.learn_work(took_s)
            case attempt_lib.Streamed():
                upstream.health.worked(now_s)
            case attempts.NotRun(is_absent=True):
                call = self._request.call
                if call is not None:
                    upstream.engine.absent[call.target] = now_s
            case attempts.NotRun(is_other=True):
                self._owner._state.directory.replaced(
                    upstream.entry.instance_id
                )
            case attempts.NotRun() | attempts.Lost():
                upstream.health.failed(now_s)

    def _note_lateness(self) -> None:
        """Tells whether the engines of a model keep up with its requests.

        A request that waited until its model was loaded says nothing of that.
        """
        call = self._request.call
        relay = self._relay
        if call is None or relay is None or self._waited_s > WAITED_S:
            return
        if self._choice is None:
            return
        first_s = math.inf
        if relay.first_s is not None:
            first_s = relay.first_s - self._arrived_s
        was_late = (
            first_s > self._route.objective_s or relay.gap_s > self._route.gap_s
        )
        key = (self._route.targets[0].service, call.target)
        self._owner.demand.ended(key, was_late)

    def _report(self, outcome: str) -> None:
        took_s = asyncio.get_running_loop().time() - self._arrived_s
        self._note_lateness()
        route = self._route.name if self._route else ""
        self._owner._metrics.count(
            "sesamecross_requests_total",
            "Requests of callers, by outcome.",
            {"outcome": outcome},
        )
        self._owner._metrics.observe(
            "sesamecross_request_seconds",
            "From a request's arrival to the end of its answer.",
            {},
            took_s,
        )
        upstream = self._upstream
        self._owner._log.info(
            outcome,
            id=self._request.request_id,
            route=route,
            upstream=upstream.entry.instance_id if upstream else "",
            sends=self._progress.sends,
            ms=round(took_s * 1000),
            note=self._note,
            config=self._owner._state.version,
            **self._refusal_fields(outcome),
            **self._engine_fields(),
        )

    def _refusal_fields(self, outcome: str) -> dict[str, object]:
        """When a refused caller comes back, and what that rests on."""
        if outcome != "refused":
            return {}
        fields: dict[str, object] = {"back_s": round(self._back_s, 2)}
        call = self._request.call
        if call is None or self._route is None:
            return fields
        now_s = asyncio.get_running_loop().time()
        if self._expected_s is not None:
            fields["expected_in_s"] = round(self._expected_s - now_s, 2)
        told_s = [known.engine.place_s for known in self._usable()]
        if told_s:
            fields["plan_age_ms"] = round((now_s - max(told_s)) * 1000)
        if self._full:
            fields["full"] = sorted(self._full)
        return fields

    def _engine_fields(self) -> dict[str, object]:
        """What decided where a model's request went, and what came of it."""
        if self._request.call is None:
            return {}
        fields: dict[str, object] = {
            "target": self._request.call.target,
            "waited_ms": round(self._waited_s * 1000),
            "paced_ms": round(self._paced_s * 1000),
        }
        if self._relay is not None and self._relay.first_s is not None:
            first_s = self._relay.first_s - self._arrived_s
            fields["first_ms"] = round(first_s * 1000)
            fields["events"] = self._relay.events
            fields["gap_ms"] = round(self._relay.gap_s * 1000)
            gap_at_s = self._relay.gap_at_s - self._arrived_s
            fields["gap_at_ms"] = round(gap_at_s * 1000)
        if self._choice is not None:
            fields["expected_ms"] = round(self._choice.expected_s * 1000)
            fields["prompt"] = self._choice.fresh_tokens
            fields["ahead"] = self._choice.ahead_tokens
            fields["running"] = round(self._choice.running)
        return fields
