"""Forwards requests: finds the route and upstream, sends, and responds.

One coroutine per request covers its whole life, from the caller's connection
to the response. The decisions are made in `sesamecross.ops.fleet`; this module
does the waiting.
"""

import asyncio
import functools
import math
import random

import msgspec

from sesamecross.core import serving
from sesamecross.gateway import attempt as attempt_lib
from sesamecross.gateway import client_connection
from sesamecross.gateway import connection_pool as connection_pool_lib
from sesamecross.gateway import engine_search
from sesamecross.gateway import event_relay
from sesamecross.gateway import origin_registry
from sesamecross.gateway import prefill_tracker as prefill_tracker_lib
from sesamecross.gateway import request_guard as request_guard_lib
from sesamecross.gateway import response_writer as response_writer_lib
from sesamecross.gateway import server_connection
from sesamecross.gateway import service_search
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import upstream_connector
from sesamecross.gateway import upstream_words
from sesamecross.ops.fleet import answer_bounds
from sesamecross.ops.fleet import caller_keys
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import engine_state
from sesamecross.ops.fleet import request_ledger
from sesamecross.ops.fleet import retry_policy
from sesamecross.ops.fleet import send_gate
from sesamecross.ops.fleet import stopping
from sesamecross.ops.fleet import stream_origins
from sesamecross.ops.fleet import target_uses
from sesamecross.ports import http_codec as http_codec_lib
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib

# Retry-after of a refusal when no better estimate is known.
DEFAULT_RETRY_AFTER_S = 0.5
# An instance that has just started knows more by then.
EARLY_RETRY_AFTER_S = 0.25
# How long requests wait for the first configuration and list of upstreams. Both
# take a tenth of a second from a store that answers.
START_WAIT_S = 0.5
# How long a request waits for word of its key: whether a newer configuration
# has it, or that there is none newer.
KEY_WAIT_S = 0.4
KEY_CHECK_INTERVAL_S = 0.05
# Longest id of a caller that is logged.
_MAX_LOGGED_ID = 64
# Most parts of a prompt that are logged.
_MAX_LOGGED_PARTS = 16
_EXCESSES = frozenset(excess.value for excess in answer_bounds.Excess)
# A request that waited longer than this for its model is late for that reason
# and says nothing about whether the model's engines keep up.
LATENESS_MAX_MODEL_WAIT_S = 0.1


class Forwarder:
    """Request handler for callers.

    Attributes:
      search_context: State shared by the searches for an engine.
      uses: Requests in progress by engine and target.
      connector: Opens connections to upstreams; set when the application is
        assembled.
      origins: Knows where streams began; set when the application is
        assembled.
      words: Records what upstreams say in their answers; set when the
        application is assembled.
      request_guard: Withholds requests that end upstreams; set when the
        application is assembled.
      stop: Set while this instance stops.
    """

    __slots__ = (
        "_state",
        "_http_codec",
        "_connection_pool",
        "_rng",
        "_metrics",
        "_log",
        "_open_tasks",
        "_ready_by_s",
        "_answer_memory",
        "search_context",
        "uses",
        "connector",
        "origins",
        "request_guard",
        "words",
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
        self._log = logs.get_logger("request")
        self._open_tasks: set[_RequestTask] = set()
        self.search_context = engine_search.SearchContext(state, rng)
        self.uses = target_uses.TargetUses()
        self.connector: upstream_connector.UpstreamConnector | None = None
        self.origins: origin_registry.OriginRegistry | None = None
        self.request_guard: request_guard_lib.RequestGuard | None = None
        self.words: upstream_words.UpstreamWords | None = None
        self.stop: stopping.Stop | None = None
        # Until when requests wait for the first configuration; None before the
        # first of them.
        self._ready_by_s: float | None = None
        self._answer_memory = answer_bounds.AnswerMemory()

    @property
    def limits(self) -> serving.CallerLimits:
        """The current limits for callers."""
        return self._state.limits

    @property
    def is_closing(self) -> bool:
        """Whether callers are told to use another connection next."""
        return self.stop is not None

    @property
    def open_requests(self) -> int:
        """Number of requests in progress."""
        return len(self._open_tasks)

    def shut_down(self) -> None:
        """Ends all requests in progress and accepts no more, before the exit.

        Each caller now gets a response that says what is known of its request.
        The exit would otherwise cut the request off, or make it look like an
        internal error.
        """
        self.stop = self.stop.ended(asyncio.get_running_loop().time())
        for request_task in list(self._open_tasks):
            request_task.shut_down()

    async def wait_until_ready(self) -> bool:
        """Waits at the start for the configuration and the upstreams.

        Callers reach an instance as soon as its port is open, and both arrive
        some tenths of a second later, unless the store does not answer. Once
        requests have waited for that long in vain, all others are refused at
        once.

        Returns:
          Whether requests can be served.
        """
        loop = asyncio.get_running_loop()
        if self._ready_by_s is None:
            self._ready_by_s = loop.time() + START_WAIT_S
        while not self._state.is_ready and self.stop is None:
            left_s = self._ready_by_s - loop.time()
            if left_s <= 0:
                break
            await self._state.wait_for_change(left_s)
        return self._state.is_ready

    def parse_request(
        self, head: server_connection.RequestHead, body: bytes
    ) -> serving.Request | None:
        """Builds the request from its head and body."""
        caller_info = self._http_codec.parse_request_head(head.headers)
        host = next(v for n, v in head.headers if n == b"host")
        return serving.Request(
            head.method,
            head.target,
            host.decode("latin-1"),
            tuple(head.headers),
            body,
            caller_info.request_id,
            caller_info.deadline_s,
            caller_info.last_event_id,
            caller_info.call,
            caller_info.first_attempt_id,
            caller_info.key_digest,
            caller_info.tokens,
        )

    def on_rejected(self, status: int, reason: str) -> None:
        """Logs a request that was rejected before it could be parsed."""
        self._log.warning("malformed", status=status, why=reason)

    def on_shed(self) -> None:
        """Counts a new connection that was closed unread."""
        self._metrics.count(
            "sesamecross_connections_shed_total",
            "New connections closed unread, as the processor is busy.",
            {},
        )

    def handle(
        self,
        request: serving.Request,
        response_writer: response_writer_lib.ResponseWriter,
    ) -> None:
        """Starts a task that forwards the request and responds."""
        request_task = _RequestTask(self, request, response_writer)
        task = asyncio.create_task(request_task.run())
        request_task.task = task
        self._open_tasks.add(request_task)
        task.add_done_callback(lambda _: self._open_tasks.discard(request_task))


class _RequestTask:
    """Serves one request, from its arrival to the end of its response."""

    __slots__ = (
        "task",
        "_forwarder",
        "_request",
        "_response_writer",
        "_route",
        "_arrived_s",
        "_deadline_s",
        "_history",
        "_relay",
        "_relayed_by",
        "_connection",
        "_upstream",
        "_search",
        "_service_search",
        "_origin",
        "_lookup",
        "_fingerprint",
        "_tried_ids",
        "_sent_ids",
        "_retry_after_s",
        "_note",
        "_admitted_s",
        "_is_started",
        "_is_shut_down",
    )

    def __init__(
        self,
        forwarder: Forwarder,
        request: serving.Request,
        response_writer: response_writer_lib.ResponseWriter,
    ):
        self.task: asyncio.Task | None = None
        self._forwarder = forwarder
        self._request = request
        self._response_writer = response_writer
        self._route: serving.Route | None = None
        self._arrived_s = asyncio.get_running_loop().time()
        self._deadline_s = 0.0
        self._history = retry_policy.AttemptHistory()
        self._relay: event_relay.EventRelay | None = None
        # The peer that relays the current attempt's connection, or empty.
        self._relayed_by = ""
        self._connection: client_connection.ClientConnection | None = None
        self._upstream: directory.KnownUpstream | None = None
        # Set if the request is for a model.
        self._search: engine_search.EngineSearch | None = None
        # Set if it is not.
        self._service_search: service_search.ServiceSearch | None = None
        # Where the stream began, once that is known.
        self._origin: stream_origins.StreamOrigin | None = None
        # Set if the caller resumes a stream.
        self._lookup: origin_registry.Lookup | None = None
        # What its attempts have in common, once somebody has asked.
        self._fingerprint = b""
        self._tried_ids: set[str] = set()
        self._sent_ids: set[str] = set()
        self._retry_after_s = DEFAULT_RETRY_AFTER_S
        self._note = ""
        # When its quota admitted it; None if that was not asked.
        self._admitted_s: float | None = None
        self._is_started = False
        self._is_shut_down = False

    async def run(self) -> None:
        """Forwards the request and responds, unless the caller disconnects."""
        self._is_started = True
        self._response_writer.on_caller_gone = self._on_caller_gone
        self._response_writer.on_caller_slow = self._on_caller_slow
        outcome = "failed"
        try:
            outcome = await self._run()
        except asyncio.CancelledError:
            outcome = "caller gone"
            if self._is_shut_down:
                outcome = self._respond_to_shutdown()
        except Exception:
            self._forwarder._log.exception("error", id=self._request.request_id)
        finally:
            if self._connection is not None:
                self._connection.abort()
            if self._search is not None:
                self._search.release_permit()
            self._settle_quota()
            if not self._response_writer.is_finished:
                # An internal error; whether the request ran is unknown.
                self._fail(500)
            self._log_outcome(outcome)

    def shut_down(self) -> None:
        """Ends the request with a truthful response before the exit."""
        self._is_shut_down = True
        # A task that is cancelled before its first step never runs, so the
        # caller would get no response.
        if self._is_started:
            self.task.cancel()

    def _respond_to_shutdown(self) -> str:
        if self._response_writer.is_finished:
            return "caller gone"
        self._note = f"{self._note} the stop's time is over".strip()
        if self._response_writer.is_started or self._history.possibly_ran_at:
            return self._fail(502)
        self._retry_after_s = 0.0
        return self._refuse(0.0)

    def _on_caller_gone(self) -> None:
        # A request that must not run twice is not cancelled: it may be half
        # executed, and can't be repeated elsewhere.
        is_once = (
            self._route is not None
            and self._route.kind is serving.RouteKind.AT_MOST_ONCE
            and self._connection is not None
        )
        if not is_once and self.task is not None:
            self.task.cancel()

    def _on_caller_slow(self, is_slow: bool) -> None:
        if self._connection is None:
            return
        if is_slow:
            self._connection.pause()
        else:
            self._connection.resume()

    # -- responses of the gateway itself -------------------------------

    def _refuse(self, retry_after_s: float, status: int = 503) -> str:
        headers = self._forwarder._http_codec.refusal(
            self._request.request_id, retry_after_s
        )
        self._response_writer.send_response(status, headers, b"")
        return "refused"

    def _fail(self, status: int) -> str:
        if self._response_writer.is_started:
            self._response_writer.abort()
            return "cut"
        headers = self._forwarder._http_codec.refusal(
            self._request.request_id, None
        )
        self._response_writer.send_response(status, headers, b"")
        return f"status {status}"

    # -- forwarding ----------------------------------------------------

    async def _run(self) -> str:
        if self._is_shut_down:
            return self._respond_to_shutdown()
        state = self._forwarder._state
        if not state.is_ready and not await self._forwarder.wait_until_ready():
            self._note = "no configuration yet"
            return self._refuse(1.0)
        request = self._request
        path = request.path.decode("latin-1")
        self._route = state.routes.find(request.host, path)
        if self._route is None:
            self._note = "no route"
            return self._fail(404)
        stop = self._forwarder.stop
        if stop is not None and not stop.has_time_for(
            self._route, request.call, self._arrived_s
        ):
            self._note = "stopping"
            self._retry_after_s = 0.0
            return self._refuse(0.0)
        refused = await self._check_key() or self._check_quota()
        if refused is not None:
            return refused
        request = self._request
        if not self._route.targets:
            # Operators declared no service, or weights of zero. The request
            # has not run, and can succeed once they declare one.
            self._note = "route without targets"
            return self._refuse(self._retry_after_s)
        max_wait_s = self._route.timeout_s
        if request.deadline_s is not None:
            max_wait_s = min(max_wait_s, request.deadline_s)
        self._deadline_s = self._arrived_s + max_wait_s
        if not await self._wait_until_allowed():
            return self._refuse_or_fail("request withheld")
        if request.call is not None and self._route.is_model_call:
            self._search = engine_search.EngineSearch(
                self._forwarder.search_context,
                self._route,
                request.call,
                self._arrived_s,
                self._deadline_s,
            )
            if self._search.is_withheld():
                # It asks for nothing that could be loaded for it.
                self._retry_after_s = self._search.retry_after_s
                return self._refuse_or_fail("withheld")
            self._forwarder.search_context.demand.record_request(
                self._search.demand_key,
                self._arrived_s,
                engine_state.estimate_prefill_s(request.call),
            )
        else:
            self._service_search = service_search.ServiceSearch(
                self._forwarder.search_context,
                self._route,
                self._arrived_s,
                self._deadline_s,
            )
        if self._route.kind is serving.RouteKind.STREAM:
            call = request.call
            self._relay = event_relay.EventRelay(
                self._response_writer, call.output_tokens if call else 0
            )
            self._relay.on_stream_begun = self._on_stream_begun
            self._relay.on_under_way = self._record_model_answer
            if self._is_resumed and not await self._find_origin():
                self._note = "nobody knows where the stream began"
                if self._lookup.is_early:
                    self._note = "just started: not known where it began"
                    self._retry_after_s = EARLY_RETRY_AFTER_S
                return self._refuse(self._retry_after_s)
        return await self._run_attempts()

    async def _check_key(self) -> str | None:
        """Finds the workspace by the request's key.

        Returns:
          The outcome if the request was answered, or None.
        """
        state = self._forwarder._state
        loop = asyncio.get_running_loop()
        arrived_s = state.freshness.now_s()
        ends_s = loop.time() + KEY_WAIT_S
        while True:
            verdict = caller_keys.judge(
                state.keys,
                self._route,
                self._request.key_digest,
                state.is_fresh,
            )
            match verdict:
                case caller_keys.Admitted(workspace=workspace):
                    if workspace is not None:
                        self._request = msgspec.structs.replace(
                            self._request, workspace=workspace
                        )
                    return None
                case caller_keys.UnknownKey() if (
                    state.freshness.as_of_s >= arrived_s
                ):
                    # No version that was in force on arrival has it.
                    self._note = "unknown key"
                    return self._fail(401)
            left_s = ends_s - loop.time()
            if left_s <= 0 or self._forwarder.stop is not None:
                break
            await state.wait_for_change(min(left_s, KEY_CHECK_INTERVAL_S))
        if (
            isinstance(verdict, caller_keys.UnknownKey)
            and state.freshness.age_s() < state.bounds.config_apply_s
        ):
            self._note = "unknown key"
            return self._fail(401)
        self._note = "configuration may be old"
        self._retry_after_s = DEFAULT_RETRY_AFTER_S
        return self._refuse(self._retry_after_s)

    @property
    def _quota_cost(self) -> float:
        """What the request counts of its workspace's quota."""
        request = self._request
        return request.workspace.quota.cost(request.tokens)

    def _check_quota(self) -> str | None:
        """Takes what the request counts from its workspace's quota.

        Returns:
          The outcome if the request was refused, or None.
        """
        workspace = self._request.workspace
        if workspace is None or workspace.quota is None:
            return None
        now_s = asyncio.get_running_loop().time()
        refusal = self._forwarder._state.quotas.admit(
            workspace, self._quota_cost, now_s
        )
        if refusal is None:
            self._admitted_s = now_s
            return None
        self._note = "over the workspace's quota"
        self._retry_after_s = refusal.after_s
        return self._refuse(refusal.after_s, 429)

    def _settle_quota(self) -> None:
        """Gives back what a request counts that no upstream has run."""
        if self._admitted_s is None or self._history.possibly_ran_at:
            return
        self._forwarder._state.quotas.give_back(
            self._request.workspace,
            self._quota_cost,
            self._admitted_s,
            asyncio.get_running_loop().time(),
        )

    def _charge_repeat(self) -> None:
        """Counts a further send, which may run like the first."""
        if self._admitted_s is None or self._history.sends <= 1:
            return
        self._forwarder._state.quotas.charge(
            self._request.workspace,
            self._quota_cost,
            asyncio.get_running_loop().time(),
        )

    @property
    def _is_resumed(self) -> bool:
        """Whether the caller has received a part of the stream before."""
        request = self._request
        return bool(request.last_event_id or request.first_attempt_id)

    @property
    def _urgency(self) -> int:
        """The priority, in which a workspace's goes before the route's."""
        workspace = self._request.workspace
        if workspace is not None and workspace.urgency is not None:
            return workspace.urgency
        return self._route.urgency

    @property
    def _stream_life_s(self) -> float:
        """For how long a caller may resume the stream."""
        return stream_origins.life_s(self._route)

    async def _find_origin(self) -> bool:
        """Finds where the resumed stream began; returns whether it did."""
        self._lookup = await self._forwarder.origins.find(
            self._request,
            tuple(target.service for target in self._route.targets),
            self._stream_life_s,
        )
        self._forwarder._metrics.count(
            "sesamecross_streams_resumed_total",
            "Streams that callers resumed, by whether their origin was found.",
            {"found": str(self._lookup.origin is not None).lower()},
        )
        if self._lookup.origin is None:
            return False
        self._set_origin(self._lookup.origin)
        return True

    def _set_origin(self, origin: stream_origins.StreamOrigin) -> None:
        self._origin = origin
        (self._search or self._service_search).origin = origin

    def _on_stream_begun(self) -> None:
        """Records where the stream began, before its first event leaves."""
        request = self._request
        if self._origin is None:
            self._set_origin(
                stream_origins.StreamOrigin(
                    self._upstream.entry.service, self._relay.upstream_version
                )
            )
        attempt_id = request.first_attempt_id
        if not self._is_resumed:
            attempt_id = request.request_id
        if self._route.is_resumable:
            self._forwarder.origins.record(
                request.host, attempt_id, self._origin, self._stream_life_s
            )

    async def _run_attempts(self) -> str:
        loop = asyncio.get_running_loop()
        state = self._forwarder._state
        retry_budget = state.retry_budget(self._route)
        retry_budget.request(loop.time())
        while True:
            if not await self._wait_until_allowed():
                return self._refuse_or_fail("request withheld")
            upstream = await self._choose_upstream()
            if upstream is None:
                return self._refuse_or_fail("no upstream")
            if self._is_too_late():
                self._note = f"{self._note} waited into the stop".strip()
                self._retry_after_s = 0.0
                return self._refuse(0.0)
            failure = await self._attempt(upstream)
            match failure:
                case attempt_lib.CompleteResponse() as response:
                    is_final = not self._may_retry(response)
                    if is_final:
                        return self._deliver(response)
                    failure = retry_policy.FailedThere(response.status)
                case attempt_lib.StreamCompleted():
                    self._relay.finish()
                    self._record_slot_time()
                    return "streamed"
                case None:
                    return self._time_out()
            self._note = f"{self._note} {failure}".strip()
            self._tried_ids.add(upstream.entry.instance_id)
            may_spend = self._history.sends == 0 or (
                self._may_send_again(failure)
                and retry_budget.spend(loop.time(), state.instance_count)
            )
            match retry_policy.decide_after_failure(
                self._route, failure, self._history, may_spend
            ):
                case retry_policy.NextAction.DELIVER:
                    return self._deliver(response)
                case retry_policy.NextAction.REFUSE:
                    return self._refuse_or_fail("refused everywhere")
                case retry_policy.NextAction.FAIL:
                    return self._fail(502)

    def _judge(self) -> send_gate.Verdict:
        """Decides whether any upstream may be sent the request now."""
        guard = self._forwarder.request_guard
        if guard is None or guard.is_idle:
            return send_gate.SEND
        return guard.judge(self._request_fingerprint(), self._arrived_s)

    def _request_fingerprint(self) -> bytes:
        if not self._fingerprint:
            self._fingerprint = request_ledger.fingerprint(self._request)
        return self._fingerprint

    async def _wait_until_allowed(self) -> bool:
        """Waits while it is found out what became of the upstreams before.

        Returns:
          Whether the request may be sent.
        """
        loop = asyncio.get_running_loop()
        while True:
            match self._judge():
                case send_gate.Send():
                    return True
                case send_gate.Refuse(after_s=after_s):
                    self._retry_after_s = after_s
                    return False
                case send_gate.WaitUntil(at_s=at_s):
                    now_s = loop.time()
                    if now_s >= self._deadline_s:
                        return False
                    await self._forwarder._state.wait_for_change(
                        min(at_s, self._deadline_s) - now_s
                    )

    def _may_send_again(self, failure: retry_policy.Failure) -> bool:
        """Whether another engine would not crash, as far as is known."""
        guard = self._forwarder.search_context.crash_guard
        is_lost = isinstance(failure, retry_policy.Lost)
        if not is_lost or self._search is None or guard is None:
            return True
        return guard.may_send_again(self._request.call)

    def _is_too_late(self) -> bool:
        """Whether a request that waited would be cut off by the stop's end.

        Only requests to models wait, for seconds; the others were checked on
        arrival, a moment ago. A request that may have run anywhere continues.
        """
        stop = self._forwarder.stop
        if (
            stop is None
            or self._search is None
            or self._history.possibly_ran_at
        ):
            return False
        now_s = asyncio.get_running_loop().time()
        return not stop.has_time_for(self._route, self._request.call, now_s)

    async def _choose_upstream(self) -> directory.KnownUpstream | None:
        search = self._search or self._service_search
        found = await search.find(frozenset(self._tried_ids))
        if found is None and search.retry_after_s is not None:
            self._retry_after_s = search.retry_after_s
        if self._service_search is not None:
            self._note = f"{self._note} {self._service_search.note}".strip()
        return found

    def _may_retry(self, response: attempt_lib.CompleteResponse) -> bool:
        """Whether to retry at another upstream instead of responding."""
        return (
            response.status >= 500
            and self._route.is_retry_safe
            and not self._history.has_output
        )

    def _deliver(self, response: attempt_lib.CompleteResponse) -> str:
        if self._response_writer.is_started:
            return self._fail(502)
        self._response_writer.send_response(
            response.status, response.headers, response.body
        )
        return f"status {response.status}"

    def _refuse_or_fail(self, why: str) -> str:
        self._note = f"{self._note} {why}".strip()
        if self._history.possibly_ran_at:
            return self._fail(502)
        return self._refuse(self._retry_after_s)

    def _time_out(self) -> str:
        if self._response_writer.is_started:
            self._response_writer.abort()
            return "cut at its time"
        if self._history.possibly_ran_at:
            return self._fail(504)
        return self._refuse(DEFAULT_RETRY_AFTER_S)

    async def _attempt(
        self, upstream: directory.KnownUpstream
    ) -> attempt_lib.Outcome | None:
        """Sends the request once; returns None when its deadline passed."""
        loop = asyncio.get_running_loop()
        left_s = self._deadline_s - loop.time()
        if left_s <= 0:
            return None
        self._upstream = upstream
        self._history.tries += 1
        slots = self._service_search
        if slots is not None and not (await slots.acquire_slot(upstream)):
            self._retry_after_s = slots.retry_after_s
            return retry_policy.NotSent("no slot")
        left_s = self._deadline_s - loop.time()
        upstream.own_running += 1
        started_s = loop.time()
        prefill_tracker = self._begin_prefill(upstream)
        try:
            try:
                connection = await self._forwarder.connector.connect(
                    upstream, left_s, self._requires_new_connection(upstream)
                )
            except OSError as error:
                if not self._is_path_suspect(upstream):
                    upstream.health.record_failure(loop.time())
                return retry_policy.NotSent(str(error) or type(error).__name__)
            reason = self._reason_not_to_send(upstream)
            if reason:
                self._forwarder._connection_pool.release(
                    upstream.entry.address, connection
                )
                return retry_policy.NotSent(reason)
            self._relayed_by = connection.relayed_by
            if self._relayed_by and prefill_tracker is not None:
                prefill_tracker.is_relayed = True
                if self._relay is not None:
                    self._relay.upstream = None
            outcome = await self._send(upstream, connection)
        finally:
            upstream.own_running -= 1
            if slots is not None:
                slots.release_slot()
            if prefill_tracker is not None:
                prefill_tracker.end()
        self._record_outcome(upstream, outcome, loop.time() - started_s)
        return outcome

    def _reason_not_to_send(self, upstream: directory.KnownUpstream) -> str:
        """Returns what has become known since the choice; empty if nothing."""
        now_s = asyncio.get_running_loop().time()
        if self._search is not None and self._search.is_withheld():
            return "withheld"
        if self._judge() != send_gate.SEND:
            return "request withheld"
        if not self._forwarder._state.directory.may_receive(upstream, now_s):
            return "upstream leaves, or wants no requests"
        return ""

    def _requires_new_connection(
        self, upstream: directory.KnownUpstream
    ) -> bool:
        """Whether an earlier response could pass for that to this attempt."""
        return (
            not self._request.request_id
            or upstream.entry.instance_id in self._sent_ids
        )

    def _record_response_head(
        self,
        upstream: directory.KnownUpstream,
        head: http_codec_lib.ResponseHead,
    ) -> None:
        if self._forwarder.words is not None:
            self._forwarder.words.record(upstream, head, self._relayed_by)

    def _begin_prefill(
        self, upstream: directory.KnownUpstream
    ) -> prefill_tracker_lib.PrefillTracker | None:
        if self._search is None or self._search.choice is None:
            return None
        prefill_tracker = prefill_tracker_lib.PrefillTracker(
            self._search.choice,
            self._request.call,
            self._forwarder.uses,
            self._search.release_permit,
        )
        if self._relay is not None:
            self._relay.upstream = upstream
            self._relay.on_first_event = prefill_tracker.on_first_event
        return prefill_tracker

    async def _send(
        self,
        upstream: directory.KnownUpstream,
        connection: client_connection.ClientConnection,
    ) -> attempt_lib.Outcome | None:
        loop = asyncio.get_running_loop()
        entry = upstream.entry
        request = self._request
        left_s = self._deadline_s - loop.time()
        if left_s <= 0:
            self._forwarder._connection_pool.release(entry.address, connection)
            return None
        attempt = attempt_lib.Attempt(
            loop,
            request.request_id,
            entry.instance_id,
            self._relay,
            self._forwarder._http_codec,
            is_connection_used=connection.request_count > 0,
            memory=self._forwarder._answer_memory,
        )
        attempt.on_response_head = functools.partial(
            self._record_response_head, upstream
        )
        forward_context = http_codec_lib.ForwardContext(
            entry.instance_id,
            left_s,
            self._urgency if self._route.is_model_call else None,
            self._relay.last_event_id if self._relay else "",
            self._forwarder._state.keys is not None,
        )
        headers = self._forwarder._http_codec.upstream_request_headers(
            request, forward_context
        )
        if self._relay is not None:
            self._relay.upstream_version = upstream.version
        self._connection = connection
        self._history.sends += 1
        self._charge_repeat()
        self._sent_ids.add(entry.instance_id)
        self._history.possibly_ran_at.add(entry.instance_id)
        connection.send(
            client_connection.encode_request(
                request.method, request.path, headers, request.body
            ),
            attempt,
            is_head_request=request.method == b"HEAD",
        )
        try:
            await asyncio.wait([attempt.outcome_future], timeout=left_s)
        finally:
            attempt.release()
        if not attempt.outcome_future.done():
            connection.abort()
            self._connection = None
            return None
        self._connection = None
        outcome = attempt.outcome_future.result()
        if isinstance(outcome, retry_policy.NotRun):
            self._history.possibly_ran_at.discard(entry.instance_id)
        if self._relay is not None and self._relay.event_count:
            self._history.has_output = True
        if isinstance(outcome, retry_policy.Lost):
            connection.abort()
        elif not attempt.is_connection_reusable:
            connection.close()
        else:
            self._forwarder._connection_pool.release(entry.address, connection)
        return outcome

    def _record_outcome(
        self,
        upstream: directory.KnownUpstream,
        outcome: attempt_lib.Outcome | None,
        took_s: float,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if not self._relayed_by and not isinstance(
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
                if status < 300:
                    self._record_model_answer(now_s - took_s)
                self._record_whole_answer(now_s - took_s)
            case attempt_lib.StreamCompleted():
                upstream.health.record_success(now_s)
                self._record_whole_answer(now_s - took_s)
                first_event_s = self._relay.attempt_first_event_s
                if first_event_s is not None:
                    self._record_model_answer(first_event_s)
            case retry_policy.NotRun(is_absent=True):
                call = self._request.call
                if call is not None:
                    upstream.engine.absent[call.target] = now_s
            case retry_policy.NotRun(is_other=True):
                self._forwarder._state.directory.replaced(
                    upstream.entry.instance_id
                )
            case retry_policy.Lost(reason=reason):
                self._record_loss(upstream, reason)
                if not self._relayed_by:
                    upstream.reachability.record_loss(now_s)
                if not self._is_path_suspect(upstream):
                    upstream.health.record_failure(now_s)
            case retry_policy.NotRun() if not upstream.wants_backoff(now_s):
                upstream.health.record_failure(now_s)

    def _record_model_answer(self, began_s: float) -> None:
        guard = self._forwarder.search_context.crash_guard
        if self._search is not None and guard is not None:
            guard.record_answer(self._request.call, began_s)

    def _record_whole_answer(self, sent_s: float) -> None:
        guard = self._forwarder.request_guard
        if guard is not None and not guard.is_idle:
            guard.record_answer(self._request_fingerprint(), sent_s)

    def _record_loss(
        self, upstream: directory.KnownUpstream, reason: str
    ) -> None:
        """Records a lost request, and what its prompt shares with others."""
        if reason in _EXCESSES:
            self._forwarder._metrics.count(
                "sesamecross_answers_cut_total",
                "Answers of upstreams that were cut off, by the bound passed.",
                {"why": reason},
            )
        guard = self._forwarder.request_guard
        if guard is not None:
            guard.record_loss(self._request_fingerprint(), upstream)
        call = self._request.call if self._search is not None else None
        crash_guard = self._forwarder.search_context.crash_guard
        if call is not None and crash_guard is not None:
            relay = self._relay
            first_event_s = relay.attempt_first_event_s if relay else None
            crash_guard.record_loss(call, upstream, first_event_s)
        self._forwarder._log.info(
            "lost",
            id=self._request.request_id,
            work=self._request_fingerprint().hex(),
            upstream=upstream.entry.instance_id,
            why=reason,
            events=self._relay.event_count if self._relay else 0,
            parts=[
                part.part_id[:_MAX_LOGGED_ID]
                for part in (call.parts if call else ())[:_MAX_LOGGED_PARTS]
            ],
        )

    def _is_path_suspect(self, upstream: directory.KnownUpstream) -> bool:
        """Whether a failure is probably due to this instance's own links.

        Health adds up the failures of all instances, so one that is cut off
        would make the others avoid sound upstreams.
        """
        now_s = asyncio.get_running_loop().time()
        if not upstream.reachability.is_path_failing(now_s):
            return False
        return (
            upstream.others_reachability.hears > 0
            or self._forwarder._state.directory.is_isolated(now_s)
        )

    def _record_slot_time(self) -> None:
        """Records how long the request occupied a slot of an engine's batch."""
        search = self._search
        if search is None:
            return
        took_s = asyncio.get_running_loop().time() - self._arrived_s
        self._forwarder.search_context.demand.record_service_time(
            search.demand_key, max(0.0, took_s - search.total_wait_s)
        )

    def _record_lateness(self) -> None:
        """Records whether a model's engines keep up with its requests.

        A request that waited for its model to be loaded doesn't count.
        """
        search = self._search
        relay = self._relay
        if search is None or relay is None or search.choice is None:
            return
        if search.model_wait_s > LATENESS_MAX_MODEL_WAIT_S:
            return
        time_to_first_event_s = math.inf
        if relay.first_event_s is not None:
            time_to_first_event_s = relay.first_event_s - self._arrived_s
        was_late = (
            time_to_first_event_s > self._route.objective_s
            or relay.max_gap_s > self._route.gap_s
        )
        self._forwarder.search_context.demand.record_outcome(
            search.demand_key, was_late
        )

    def _log_outcome(self, outcome: str) -> None:
        took_s = asyncio.get_running_loop().time() - self._arrived_s
        self._record_lateness()
        route = self._route.name if self._route else ""
        self._forwarder._metrics.count(
            "sesamecross_requests_total",
            "Requests of callers, by outcome.",
            {"outcome": outcome},
        )
        self._forwarder._metrics.observe(
            "sesamecross_request_seconds",
            "From a request's arrival to the end of its answer.",
            {},
            took_s,
        )
        upstream = self._upstream
        self._forwarder._log.info(
            outcome,
            id=self._request.request_id,
            route=route,
            upstream=upstream.entry.instance_id if upstream else "",
            sends=self._history.sends,
            ms=round(took_s * 1000),
            note=self._note,
            via=self._relayed_by,
            config=self._forwarder._state.version,
            workspace=self._workspace_name,
            **self._refusal_fields(outcome),
            **self._stream_fields(),
            **self._engine_fields(),
        )

    @property
    def _workspace_name(self) -> str:
        workspace = self._request.workspace
        return workspace.name if workspace is not None else ""

    def _refusal_fields(self, outcome: str) -> dict[str, object]:
        """Returns a refusal's retry delay and its grounds."""
        if outcome != "refused":
            return {}
        fields: dict[str, object] = {"back_s": round(self._retry_after_s, 2)}
        if self._search is not None:
            fields |= self._search.refusal_fields()
        return fields

    def _stream_fields(self) -> dict[str, object]:
        """Returns which software versions sent events, and what is resumed."""
        if self._relay is None:
            return {}
        fields: dict[str, object] = {"versions": self._relay.versions}
        if self._is_resumed:
            fields["resumes"] = self._request.first_attempt_id[:_MAX_LOGGED_ID]
            fields["after"] = self._request.last_event_id[:_MAX_LOGGED_ID]
        if self._lookup is not None:
            fields["known_from"] = self._lookup.source
            fields["known_ms"] = round(self._lookup.age_s * 1000)
        if self._origin is not None:
            fields["began_at"] = self._origin.version
        return fields

    def _engine_fields(self) -> dict[str, object]:
        """Returns the engine selection and event timing of a model request."""
        if self._search is None:
            return {}
        fields = self._search.log_fields()
        if self._relay is not None and self._relay.first_event_s is not None:
            time_to_first_event_s = self._relay.first_event_s - self._arrived_s
            fields["first_ms"] = round(time_to_first_event_s * 1000)
            fields["events"] = self._relay.event_count
            fields["gap_ms"] = round(self._relay.max_gap_s * 1000)
            max_gap_offset_s = self._relay.max_gap_at_s - self._arrived_s
            fields["gap_at_ms"] = round(max_gap_offset_s * 1000)
        return fields
