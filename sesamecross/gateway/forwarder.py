"""Serves a request: finds its route and upstream, sends it, answers it.

Why: one coroutine for each request follows it from the front door to its
answer, so that its whole life can be read in one place. What is decided on
the way is decided in `sesamecross.ops.fleet`; here are the waits.
"""

import asyncio
import math
import random

from sesamecross.core import serving
from sesamecross.gateway import attempt as attempt_lib
from sesamecross.gateway import client_connection
from sesamecross.gateway import connection_pool as connection_pool_lib
from sesamecross.gateway import engine_search
from sesamecross.gateway import event_relay
from sesamecross.gateway import prefill_tracker as prefill_tracker_lib
from sesamecross.gateway import response_writer as response_writer_lib
from sesamecross.gateway import server_connection
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import engine_state
from sesamecross.ops.fleet import retry_policy
from sesamecross.ops.fleet import service_choice
from sesamecross.ops.fleet import stopping
from sesamecross.ops.fleet import target_uses
from sesamecross.ports import http_codec as http_codec_lib
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib

# Where a caller is told to come back when nothing better is known.
RETRY_AFTER_S = 0.5
# A request that waited longer than this for its model was late by that.
WAITED_S = 0.1


class Forwarder:
    """Answers requests of callers."""

    __slots__ = (
        "_state",
        "_http_codec",
        "_connection_pool",
        "_rng",
        "_metrics",
        "_log",
        "_open",
        "engines",
        "uses",
        "stop",
    )

    def __init__(
        self,
        state: state_lib.State,
        http_codec: http_codec_lib.HttpCodec,
        connection_pool: connection_pool_lib.ConnectionPool,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ):
        self._state = state
        self._http_codec = http_codec
        self._connection_pool = connection_pool
        self._rng = rng
        self._metrics = metrics
        self._log = logs.part("request")
        self._open: set[_Serving] = set()
        self.engines = engine_search.SearchContext(state, rng)
        self.uses = target_uses.TargetUses()
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

    def end(self) -> None:
        """Takes no more, and gives up what is open: the process is to end.

        Whoever asked hears now what became of the request. The end of the
        process would only break it off, or have it fail as by a fault.
        """
        self.stop = self.stop.ended(asyncio.get_running_loop().time())
        for one in list(self._open):
            one.give_up()

    def read_request(
        self, head: server_connection.Head, body: bytes
    ) -> serving.Request | None:
        """Returns the request that a head and a body make."""
        said = self._http_codec.parse_request_head(head.headers)
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
        self,
        request: serving.Request,
        response_writer: response_writer_lib.ResponseWriter,
    ) -> None:
        """Starts to answer a request."""
        one = _Serving(self, request, response_writer)
        task = asyncio.create_task(one.run())
        one.task = task
        self._open.add(one)
        task.add_done_callback(lambda _: self._open.discard(one))


class _Serving:
    """One request on its way."""

    __slots__ = (
        "task",
        "_owner",
        "_request",
        "_response_writer",
        "_route",
        "_arrived_s",
        "_ends_s",
        "_progress",
        "_relay",
        "_connection",
        "_upstream",
        "_search",
        "_tried",
        "_back_s",
        "_note",
        "_is_begun",
        "_is_given_up",
    )

    def __init__(
        self,
        owner: Forwarder,
        request: serving.Request,
        response_writer: response_writer_lib.ResponseWriter,
    ):
        self.task: asyncio.Task | None = None
        self._owner = owner
        self._request = request
        self._response_writer = response_writer
        self._route: serving.Route | None = None
        self._arrived_s = asyncio.get_running_loop().time()
        self._ends_s = 0.0
        self._progress = retry_policy.AttemptHistory()
        self._relay: event_relay.EventRelay | None = None
        self._connection: client_connection.ClientConnection | None = None
        self._upstream: directory.KnownUpstream | None = None
        # Set where the request is for a model.
        self._search: engine_search.EngineSearch | None = None
        self._tried: set[str] = set()
        self._back_s = RETRY_AFTER_S
        self._note = ""
        self._is_begun = False
        self._is_given_up = False

    async def run(self) -> None:
        """Answers the request, or gives up when the caller is gone."""
        self._is_begun = True
        self._response_writer.on_gone = self._on_gone
        self._response_writer.on_slow = self._on_slow
        outcome = "failed"
        try:
            outcome = await self._run()
        except asyncio.CancelledError:
            outcome = "caller gone"
            if self._is_given_up:
                outcome = self._stopped()
        except Exception:
            self._owner._log.exception("error", id=self._request.request_id)
        finally:
            if self._connection is not None:
                self._connection.abort()
            if self._search is not None:
                self._search.release()
            if not self._response_writer.is_over:
                # An error of ours: nothing may be promised.
                self._fail(500)
            self._report(outcome)

    def give_up(self) -> None:
        """Ends the request with what is true of it: the process is to end."""
        self._is_given_up = True
        # A task that is cancelled before its first step never takes one, and
        # nobody would answer.
        if self._is_begun:
            self.task.cancel()

    def _stopped(self) -> str:
        if self._response_writer.is_over:
            return "caller gone"
        self._note = f"{self._note} the stop's time is over".strip()
        if self._response_writer.is_begun or self._progress.possibly_ran_at:
            return self._fail(502)
        self._back_s = 0.0
        return self._refuse(0.0)

    def _on_gone(self) -> None:
        # A request that must not run twice is left to its end: it may be
        # half done, and nobody else will do the other half.
        is_once = (
            self._route is not None
            and self._route.kind is serving.RouteKind.AT_MOST_ONCE
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
        headers = self._owner._http_codec.refusal(
            self._request.request_id, retry_after_s
        )
        self._response_writer.whole(503, headers, b"")
        return "refused"

    def _fail(self, status: int) -> str:
        if self._response_writer.is_begun:
            self._response_writer.cut()
            return "cut"
        headers = self._owner._http_codec.refusal(
            self._request.request_id, None
        )
        self._response_writer.whole(status, headers, b"")
        return f"status {status}"

    # -- the request's way ---------------------------------------------

    async def _run(self) -> str:
        if self._is_given_up:
            return self._stopped()
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
        if not self._route.targets:
            # Operators declared no service, or weights of nothing: it has run
            # nowhere, and may once they declare one.
            self._note = "route without targets"
            return self._refuse(self._back_s)
        waits_s = self._route.timeout_s
        if request.deadline_s is not None:
            waits_s = min(waits_s, request.deadline_s)
        self._ends_s = self._arrived_s + waits_s
        if request.call is not None and self._route.is_model_call:
            self._search = engine_search.EngineSearch(
                self._owner.engines,
                self._route,
                request.call,
                self._arrived_s,
                self._ends_s,
            )
            self._owner.engines.demand.record_request(
                self._search.key,
                self._arrived_s,
                engine_state.estimate_prefill_s(request.call),
            )
        if self._route.kind is serving.RouteKind.STREAM:
            self._relay = event_relay.EventRelay(self._response_writer)
        return await self._until_answered()

    async def _until_answered(self) -> str:
        loop = asyncio.get_running_loop()
        state = self._owner._state
        window = state.retry_budget(self._route)
        window.request(loop.time())
        while True:
            upstream = await self._choose()
            if upstream is None:
                return self._give_up("no upstream")
            if self._is_too_late():
                self._note = f"{self._note} waited into the stop".strip()
                self._back_s = 0.0
                return self._refuse(0.0)
            failure = await self._attempt(upstream)
            match failure:
                case attempt_lib.CompleteResponse() as whole:
                    is_last = not self._may_replace(whole)
                    if is_last:
                        return self._deliver(whole)
                    failure = retry_policy.FailedThere(whole.status)
                case attempt_lib.StreamCompleted():
                    self._relay.finish()
                    self._note_place()
                    return "streamed"
                case None:
                    return self._out_of_time()
            self._note = f"{self._note} {failure}".strip()
            self._tried.add(upstream.entry.instance_id)
            may_spend = self._progress.sends == 0 or window.spend(
                loop.time(), state.instance_count
            )
            match retry_policy.decide_after_failure(
                self._route, failure, self._progress, may_spend
            ):
                case retry_policy.NextAction.DELIVER:
                    return self._deliver(whole)
                case retry_policy.NextAction.REFUSE:
                    return self._give_up("refused everywhere")
                case retry_policy.NextAction.FAIL:
                    return self._fail(502)

    def _is_too_late(self) -> bool:
        """Whether a request that waited here would be cut by the stop's end.

        Only requests to models wait, for seconds; the others were judged a
        moment ago, as they arrived. What has run anywhere goes on.
        """
        stop = self._owner.stop
        if (
            stop is None
            or self._search is None
            or self._progress.possibly_ran_at
        ):
            return False
        now_s = asyncio.get_running_loop().time()
        return not stop.has_time_for(self._route, self._request.call, now_s)

    async def _choose(self) -> directory.KnownUpstream | None:
        if self._search is not None:
            found = await self._search.find(frozenset(self._tried))
            if found is None:
                self._back_s = self._search.back_s
            return found
        state = self._owner._state
        now_s = asyncio.get_running_loop().time()
        usable = []
        for target in self._route.targets:
            usable.extend(state.directory.usable(target.service, now_s))
        fresh = [
            one for one in usable if one.entry.instance_id not in self._tried
        ]
        return service_choice.choose(
            fresh or usable, state.location, now_s, self._owner._rng
        )

    def _may_replace(self, whole: attempt_lib.CompleteResponse) -> bool:
        """Whether another upstream may be asked instead of this answer."""
        return (
            whole.status >= 500
            and self._route.is_retry_safe
            and not self._progress.has_output
        )

    def _deliver(self, whole: attempt_lib.CompleteResponse) -> str:
        if self._response_writer.is_begun:
            return self._fail(502)
        headers = self._owner._http_codec.caller_response_headers(whole.headers)
        self._response_writer.whole(whole.status, headers, whole.body)
        return f"status {whole.status}"

    def _give_up(self, why: str) -> str:
        self._note = f"{self._note} {why}".strip()
        if self._progress.possibly_ran_at:
            return self._fail(502)
        return self._refuse(self._back_s)

    def _out_of_time(self) -> str:
        if self._response_writer.is_begun:
            self._response_writer.cut()
            return "cut at its time"
        if self._progress.possibly_ran_at:
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
        prefill_tracker = self._begin_prompt(upstream)
        try:
            try:
                connection = await self._owner._connection_pool.take(
                    address, begun_s, left_s
                )
            except OSError as error:
                upstream.health.record_failure(loop.time())
                if isinstance(error, ConnectionRefusedError):
                    upstream.reachability.record_refusal(loop.time())
                else:
                    upstream.reachability.record_timeout(loop.time())
                self._owner._connection_pool.drop(address)
                return retry_policy.NotSent(str(error) or type(error).__name__)
            outcome = await self._send(upstream, connection)
        finally:
            upstream.own_running -= 1
            if prefill_tracker is not None:
                prefill_tracker.end()
        self._learn(upstream, outcome, loop.time() - begun_s)
        return outcome

    def _begin_prompt(
        self, upstream: directory.KnownUpstream
    ) -> prefill_tracker_lib.PrefillTracker | None:
        if self._search is None or self._search.choice is None:
            return None
        prefill_tracker = prefill_tracker_lib.PrefillTracker(
            self._search.choice,
            self._request.call,
            self._owner.uses,
            self._search.release,
        )
        if self._relay is not None:
            self._relay.upstream = upstream
            self._relay.on_first = prefill_tracker.first_event
        return prefill_tracker

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
            self._owner._connection_pool.give(entry.address, connection)
            return None
        one = attempt_lib.Attempt(
            loop,
            request.request_id,
            entry.instance_id,
            self._relay,
            self._owner._http_codec,
        )
        passing = http_codec_lib.ForwardContext(
            entry.instance_id,
            left_s,
            self._route.urgency if self._route.is_model_call else None,
            self._relay.last_id if self._relay else "",
        )
        headers = self._owner._http_codec.upstream_request_headers(
            request, passing
        )
        self._connection = connection
        self._progress.sends += 1
        self._progress.possibly_ran_at.add(entry.instance_id)
        connection.send(
            client_connection.encode_request(
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
        if isinstance(outcome, retry_policy.NotRun):
            self._progress.possibly_ran_at.discard(entry.instance_id)
        if self._relay is not None and self._relay.events:
            self._progress.has_output = True
        if isinstance(outcome, retry_policy.Lost):
            connection.abort()
        else:
            self._owner._connection_pool.give(entry.address, connection)
        return outcome

    def _learn(
        self,
        upstream: directory.KnownUpstream,
        outcome: attempt_lib.Outcome | None,
        took_s: float,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if not isinstance(
            outcome, (retry_policy.Lost, retry_policy.NotSent, type(None))
        ):
            upstream.reachability.record_contact(now_s)
        match outcome:
            case attempt_lib.CompleteResponse(status):
                if status >= 500:
                    upstream.health.record_failure(now_s)
                else:
                    upstream.health.record_success(now_s)
                    upstream.record_duration(took_s)
            case attempt_lib.StreamCompleted():
                upstream.health.record_success(now_s)
            case retry_policy.NotRun(is_absent=True):
                call = self._request.call
                if call is not None:
                    upstream.engine.absent[call.target] = now_s
            case retry_policy.NotRun(is_other=True):
                self._owner._state.directory.replaced(
                    upstream.entry.instance_id
                )
            case retry_policy.NotRun() | retry_policy.Lost():
                upstream.health.record_failure(now_s)

    def _note_place(self) -> None:
        """Tells how long the request took a place in an engine's batch."""
        search = self._search
        if search is None:
            return
        took_s = asyncio.get_running_loop().time() - self._arrived_s
        self._owner.engines.demand.record_service_time(
            search.key, max(0.0, took_s - search.held_s)
        )

    def _note_lateness(self) -> None:
        """Tells whether the engines of a model keep up with its requests.

        A request that waited until its model was loaded says nothing of that.
        """
        search = self._search
        relay = self._relay
        if search is None or relay is None or search.choice is None:
            return
        if search.waited_s > WAITED_S:
            return
        first_s = math.inf
        if relay.first_s is not None:
            first_s = relay.first_s - self._arrived_s
        was_late = (
            first_s > self._route.objective_s or relay.gap_s > self._route.gap_s
        )
        self._owner.engines.demand.record_outcome(search.key, was_late)

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
        if self._search is not None:
            fields |= self._search.refusal_fields()
        return fields

    def _engine_fields(self) -> dict[str, object]:
        """What decided where a model's request went, and what came of it."""
        if self._search is None:
            return {}
        fields = self._search.fields()
        if self._relay is not None and self._relay.first_s is not None:
            first_s = self._relay.first_s - self._arrived_s
            fields["first_ms"] = round(first_s * 1000)
            fields["events"] = self._relay.events
            fields["gap_ms"] = round(self._relay.gap_s * 1000)
            gap_at_s = self._relay.gap_at_s - self._arrived_s
            fields["gap_at_ms"] = round(gap_at_s * 1000)
        return fields
