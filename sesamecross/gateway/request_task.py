"""Serves one request, from its arrival to the end of its response.

The decisions are made in `sesamecross.ops.fleet`; this module does the waiting.
"""

import asyncio

from sesamecross.core import body_buffer
from sesamecross.core import serving
from sesamecross.gateway import attempt as attempt_lib
from sesamecross.gateway import engine_search
from sesamecross.gateway import event_relay
from sesamecross.gateway import outcome_recorder
from sesamecross.gateway import request_admission
from sesamecross.gateway import request_context
from sesamecross.gateway import request_log
from sesamecross.gateway import request_progress
from sesamecross.gateway import request_sender
from sesamecross.gateway import response_writer as response_writer_lib
from sesamecross.gateway import service_search
from sesamecross.ops.fleet import admission_order
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import engine_state
from sesamecross.ops.fleet import retry_policy
from sesamecross.ops.fleet import send_gate
from sesamecross.ops.fleet import stream_origins
from sesamecross.runtime import event_loop

# An instance that has just started knows more by then.
EARLY_RETRY_AFTER_S = 0.25


class RequestTask:
    """Serves one request, from its arrival to the end of its response."""

    __slots__ = (
        "task",
        "_context",
        "_progress",
        "_response_writer",
        "_admission",
        "_recorder",
        "_sender",
        "_tried_ids",
        "_is_started",
        "_is_shut_down",
    )

    def __init__(
        self,
        context: request_context.RequestContext,
        request: serving.Request,
        response_writer: response_writer_lib.ResponseWriter,
    ):
        self.task: asyncio.Task | None = None
        self._context = context
        self._response_writer = response_writer
        progress = request_progress.RequestProgress(
            request, event_loop.running().time()
        )
        self._progress = progress
        self._admission = request_admission.RequestAdmission(context, progress)
        self._recorder = outcome_recorder.OutcomeRecorder(context, progress)
        self._sender = request_sender.RequestSender(
            context, progress, self._admission, self._recorder
        )
        self._tried_ids: set[str] = set()
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
            self._context.log.exception(
                "error", id=self._progress.request.request_id
            )
        finally:
            if self._progress.connection is not None:
                self._progress.connection.abort()
            if self._progress.search is not None:
                self._progress.search.release_permit()
            self._admission.settle()
            if not self._response_writer.is_finished:
                # An internal error; whether the request ran is unknown.
                self._fail(500)
            self._recorder.record_lateness()
            request_log.log_outcome(self._context, self._progress, outcome)

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
        self._progress.add_note("the stop's time is over")
        if (
            self._response_writer.is_started
            or self._progress.history.may_have_run
        ):
            return self._fail(502)
        self._progress.retry_after_s = 0.0
        return self._refuse(0.0)

    def release_body(self) -> None:
        """Returns the memory of the request's body."""
        body_buffer.close(self._progress.request.body)

    def _on_caller_gone(self) -> None:
        # A request that must not run twice is not cancelled: it may be half
        # executed, and can't be repeated elsewhere.
        is_once = (
            self._progress.route is not None
            and self._progress.route.kind is serving.RouteKind.AT_MOST_ONCE
            and self._progress.connection is not None
        )
        if not is_once and self.task is not None:
            self.task.cancel()

    def _on_caller_slow(self, is_slow: bool) -> None:
        if self._progress.connection is None:
            return
        if is_slow:
            self._progress.connection.pause()
        else:
            self._progress.connection.resume()

    # -- responses of the gateway itself -------------------------------

    def _refuse(self, retry_after_s: float, status: int = 503) -> str:
        headers = self._context.http_codec.refusal(
            self._progress.request.request_id, retry_after_s
        )
        self._response_writer.send_response(status, headers, b"")
        return "refused"

    def _fail(self, status: int) -> str:
        if self._response_writer.is_started:
            self._response_writer.abort()
            return "cut"
        headers = self._context.http_codec.refusal(
            self._progress.request.request_id, None
        )
        self._response_writer.send_response(status, headers, b"")
        return f"status {status}"

    # -- forwarding ----------------------------------------------------

    async def _run(self) -> str:
        if self._is_shut_down:
            return self._respond_to_shutdown()
        context = self._context
        if not context.state.is_ready and not await context.wait_until_ready():
            self._progress.note = "no configuration yet"
            return self._refuse(1.0)
        answered = self._find_route()
        if answered is not None:
            return answered
        rejected = await self._admission.admit()
        if rejected is not None:
            return self._reject(rejected)
        progress = self._progress
        if not progress.route.targets:
            # Operators declared no service, or weights of zero. The request
            # has not run, and can succeed once they declare one.
            progress.note = "route without targets"
            return self._refuse(progress.retry_after_s)
        self._set_deadline()
        if not await self._wait_until_allowed():
            return self._refuse_or_fail("request withheld")
        self._begin_search()
        if progress.search is not None:
            if progress.search.is_withheld():
                # It asks for nothing that could be loaded for it.
                progress.retry_after_s = progress.search.retry_after_s
                return self._refuse_or_fail("withheld")
            progress.search.record_demand(
                engine_state.estimate_prefill_s(progress.request.call)
            )
        if progress.route.kind is serving.RouteKind.STREAM:
            self._begin_stream()
            if progress.is_resumed and not await self._find_origin():
                return self._refuse_without_origin()
        return await self._run_attempts()

    def _find_route(self) -> str | None:
        """Finds the route; returns the outcome if there is none to use."""
        progress = self._progress
        request = progress.request
        progress.route_version = self._context.state.version
        progress.route = self._context.state.routes.find(
            request.host, request.path.decode("latin-1")
        )
        if progress.route is None:
            progress.note = "no route"
            return self._fail(404)
        stop = self._context.stop
        if stop is not None and not stop.has_time_for(
            progress.route, request.call, progress.arrived_s
        ):
            progress.note = "stopping"
            progress.retry_after_s = 0.0
            return self._refuse(0.0)
        return None

    def _reject(self, rejected: request_admission.Rejected) -> str:
        if rejected.retry_after_s is None:
            return self._fail(rejected.status)
        return self._refuse(rejected.retry_after_s, rejected.status)

    def _set_deadline(self) -> None:
        progress = self._progress
        max_wait_s = progress.route.timeout_s
        if progress.request.deadline_s is not None:
            max_wait_s = min(max_wait_s, progress.request.deadline_s)
        progress.deadline_s = progress.arrived_s + max_wait_s

    def _begin_search(self) -> None:
        progress = self._progress
        call = progress.request.call
        if call is not None and progress.route.is_model_call:
            progress.search = engine_search.EngineSearch(
                self._context.search_context,
                progress.route,
                call,
                progress.arrived_s,
                progress.deadline_s,
                admission_order.Owner.from_workspace(
                    progress.request.workspace
                ),
            )
        else:
            progress.service_search = service_search.ServiceSearch(
                self._context.search_context,
                progress.route,
                progress.arrived_s,
                progress.deadline_s,
            )

    def _begin_stream(self) -> None:
        progress = self._progress
        call = progress.request.call
        progress.relay = event_relay.EventRelay(
            self._response_writer, call.output_tokens if call else 0
        )
        progress.relay.on_stream_begun = self._on_stream_begun
        progress.relay.on_under_way = self._recorder.record_model_answer

    def _refuse_without_origin(self) -> str:
        progress = self._progress
        progress.note = "nobody knows where the stream began"
        if progress.lookup.is_early:
            progress.note = "just started: not known where it began"
            progress.retry_after_s = EARLY_RETRY_AFTER_S
        return self._refuse(progress.retry_after_s)

    async def _find_origin(self) -> bool:
        """Finds where the resumed stream began; returns whether it did."""
        self._progress.lookup = await self._context.origins.find(
            self._progress.request,
            tuple(target.service for target in self._progress.route.targets),
            self._progress.stream_life_s,
        )
        self._context.metrics.count(
            "sesamecross_streams_resumed_total",
            "Streams that callers resumed, by whether their origin was found.",
            {"found": str(self._progress.lookup.origin is not None).lower()},
        )
        if self._progress.lookup.origin is None:
            return False
        self._set_origin(self._progress.lookup.origin)
        return True

    def _set_origin(self, origin: stream_origins.StreamOrigin) -> None:
        self._progress.origin = origin
        (self._progress.search or self._progress.service_search).origin = origin

    def _on_stream_begun(self) -> None:
        """Records where the stream began, before its first event leaves."""
        request = self._progress.request
        if self._progress.origin is None:
            self._set_origin(
                stream_origins.StreamOrigin(
                    self._progress.upstream.entry.service,
                    self._progress.relay.upstream_version,
                )
            )
        attempt_id = request.first_attempt_id
        if not self._progress.is_resumed:
            attempt_id = request.request_id
        if self._progress.route.is_resumable:
            self._context.origins.record(
                request.host,
                attempt_id,
                self._progress.origin,
                self._progress.stream_life_s,
            )
        elif self._progress.connection.is_request_sent:
            # It can't be sent to another upstream any more.
            self._progress.keep_fingerprint()
            self.release_body()

    async def _run_attempts(self) -> str:
        loop = event_loop.running()
        state = self._context.state
        retry_budget = state.retry_budget(self._progress.route)
        retry_budget.request(loop.time())
        while True:
            if not await self._wait_until_allowed():
                return self._refuse_or_fail("request withheld")
            upstream = await self._choose_upstream()
            if upstream is None:
                return self._refuse_or_fail("no upstream")
            if self._is_too_late():
                self._progress.add_note("waited into the stop")
                self._progress.retry_after_s = 0.0
                return self._refuse(0.0)
            failure = await self._sender.attempt(upstream)
            match failure:
                case attempt_lib.CompleteResponse() as response:
                    is_final = not self._may_retry(response)
                    if is_final:
                        return self._deliver(response)
                    failure = retry_policy.FailedThere(response.status)
                case attempt_lib.StreamCompleted():
                    self._progress.relay.finish()
                    self._recorder.record_slot_time()
                    return "streamed"
                case None:
                    return self._time_out()
            self._progress.add_note(str(failure))
            self._tried_ids.add(upstream.entry.instance_id)
            may_spend = self._progress.history.sends == 0 or (
                self._may_send_again(failure)
                and retry_budget.spend(loop.time(), state.instance_count)
            )
            match retry_policy.decide_after_failure(
                self._sender.repeat_route(),
                failure,
                self._progress.history,
                may_spend,
            ):
                case retry_policy.NextAction.DELIVER:
                    return self._deliver(response)
                case retry_policy.NextAction.REFUSE:
                    return self._refuse_or_fail("refused everywhere")
                case retry_policy.NextAction.FAIL:
                    return self._fail(502)

    async def _wait_until_allowed(self) -> bool:
        """Waits while it is found out what became of the upstreams before.

        Returns:
          Whether the request may be sent.
        """
        loop = event_loop.running()
        while True:
            match self._sender.judge():
                case send_gate.Send():
                    return True
                case send_gate.Refuse(after_s=after_s):
                    self._progress.retry_after_s = after_s
                    return False
                case send_gate.WaitUntil(at_s=at_s):
                    now_s = loop.time()
                    if now_s >= self._progress.deadline_s:
                        return False
                    await self._context.state.wait_for_change(
                        min(at_s, self._progress.deadline_s) - now_s
                    )

    def _may_send_again(self, failure: retry_policy.Failure) -> bool:
        """Whether another engine would not crash, as far as is known."""
        guard = self._context.search_context.crash_guard
        is_lost = isinstance(failure, retry_policy.Lost)
        if not is_lost or self._progress.search is None or guard is None:
            return True
        return guard.may_send_again(self._progress.request.call)

    def _is_too_late(self) -> bool:
        """Whether a request that waited would be cut off by the stop's end.

        Only requests to models wait, for seconds; the others were checked on
        arrival, a moment ago. A request that may have run anywhere continues.
        """
        stop = self._context.stop
        if (
            stop is None
            or self._progress.search is None
            or self._progress.history.may_have_run
        ):
            return False
        now_s = event_loop.running().time()
        return not stop.has_time_for(
            self._progress.route, self._progress.request.call, now_s
        )

    async def _choose_upstream(self) -> directory.KnownUpstream | None:
        search = self._progress.search or self._progress.service_search
        found = await search.find(frozenset(self._tried_ids))
        if found is None and search.retry_after_s is not None:
            self._progress.retry_after_s = search.retry_after_s
        if self._progress.service_search is not None:
            self._progress.add_note(self._progress.service_search.note)
        return found

    def _may_retry(self, response: attempt_lib.CompleteResponse) -> bool:
        """Whether to retry at another upstream instead of responding."""
        return (
            response.status >= 500
            and self._sender.repeat_route().is_retry_safe
            and not self._progress.history.has_output
        )

    def _deliver(self, response: attempt_lib.CompleteResponse) -> str:
        if self._response_writer.is_started:
            return self._fail(502)
        self._response_writer.send_response(
            response.status, response.headers, response.body
        )
        return f"status {response.status}"

    def _refuse_or_fail(self, why: str) -> str:
        self._progress.add_note(why)
        if self._progress.history.may_have_run:
            return self._fail(502)
        return self._refuse(self._progress.retry_after_s)

    def _time_out(self) -> str:
        if self._response_writer.is_started:
            self._response_writer.abort()
            return "cut at its time"
        if self._progress.history.may_have_run:
            return self._fail(504)
        return self._refuse(request_progress.DEFAULT_RETRY_AFTER_S)
