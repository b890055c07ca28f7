"""Sends a request to an upstream, once per attempt."""

import asyncio
import functools

from sesamecross.core import body_buffer
from sesamecross.core import serving
from sesamecross.gateway import attempt as attempt_lib
from sesamecross.gateway import client_connection
from sesamecross.gateway import outcome_recorder
from sesamecross.gateway import prefill_tracker as prefill_tracker_lib
from sesamecross.gateway import request_admission
from sesamecross.gateway import request_context
from sesamecross.gateway import request_log
from sesamecross.gateway import request_progress
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import retry_policy
from sesamecross.ops.fleet import send_gate
from sesamecross.ports import http_codec as http_codec_lib
from sesamecross.runtime import event_loop


class RequestSender:
    """The sends of one request."""

    __slots__ = (
        "_context",
        "_progress",
        "_admission",
        "_recorder",
        "_sent_addresses",
    )

    def __init__(
        self,
        context: request_context.RequestContext,
        progress: request_progress.RequestProgress,
        admission: request_admission.RequestAdmission,
        recorder: outcome_recorder.OutcomeRecorder,
    ):
        self._context = context
        self._progress = progress
        self._admission = admission
        self._recorder = recorder
        # Where the request was sent to. An upstream that restarts may keep its
        # address under another id.
        self._sent_addresses: set[str] = set()

    def judge(self) -> send_gate.Verdict:
        """Decides whether any upstream may be sent the request now."""
        guard = self._context.request_guard
        if guard is None or guard.is_idle:
            return send_gate.SEND
        return guard.judge(self._progress.fingerprint, self._progress.arrived_s)

    def repeat_route(self) -> serving.Route:
        """Returns the route that says whether the request may be repeated.

        That of its arrival, unless operators have declared since that requests
        on its path may not be.
        """
        progress = self._progress
        if progress.route_version != self._context.state.version:
            in_force = self._context.state.routes.find(
                progress.request.host, progress.request.path.decode("latin-1")
            )
            if in_force is not None and not in_force.is_retry_safe:
                return in_force
        return progress.route

    async def attempt(
        self, upstream: directory.KnownUpstream
    ) -> attempt_lib.Outcome | None:
        """Sends the request once; returns None when its deadline passed."""
        loop = event_loop.running()
        left_s = self._progress.deadline_s - loop.time()
        if left_s <= 0:
            return None
        self._progress.upstream = upstream
        self._progress.history.tries += 1
        slots = self._progress.service_search
        if slots is not None and not (await slots.acquire_slot(upstream)):
            self._progress.retry_after_s = slots.retry_after_s
            return retry_policy.NotSent("no slot")
        left_s = self._progress.deadline_s - loop.time()
        upstream.own_running += 1
        started_s = loop.time()
        prefill_tracker = self._begin_prefill(upstream)
        try:
            try:
                connection = await self._context.connector.connect(
                    upstream,
                    left_s,
                    self._requires_new_connection(upstream),
                    self._progress.route.is_retry_safe,
                )
            except OSError as error:
                if not self._recorder.is_path_suspect(upstream):
                    upstream.health.record_failure(loop.time())
                return retry_policy.NotSent(str(error) or type(error).__name__)
            reason = self._reason_not_to_send(upstream)
            if reason:
                self._context.connection_pool.release(
                    upstream.entry.address, connection
                )
                return retry_policy.NotSent(reason)
            self._progress.relayed_by = connection.relayed_by
            if self._progress.relayed_by and prefill_tracker is not None:
                prefill_tracker.is_relayed = True
                if self._progress.relay is not None:
                    self._progress.relay.upstream = None
            outcome = await self._send(upstream, connection)
        finally:
            upstream.own_running -= 1
            if slots is not None:
                slots.release_slot()
            if prefill_tracker is not None:
                prefill_tracker.end()
        self._recorder.record_outcome(
            upstream, outcome, loop.time() - started_s
        )
        return outcome

    def _reason_not_to_send(self, upstream: directory.KnownUpstream) -> str:
        """Returns what has become known since the choice; empty if nothing."""
        now_s = event_loop.running().time()
        if (
            self._progress.search is not None
            and self._progress.search.is_withheld()
        ):
            return "withheld"
        if self.judge() != send_gate.SEND:
            return "request withheld"
        if not self._context.state.directory.may_receive(upstream, now_s):
            return "upstream leaves, or wants no requests"
        return ""

    def _requires_new_connection(
        self, upstream: directory.KnownUpstream
    ) -> bool:
        """Whether an earlier response could pass for that to this attempt."""
        return (
            not self._progress.request.request_id
            or upstream.entry.address in self._sent_addresses
        )

    def _record_response_head(
        self,
        upstream: directory.KnownUpstream,
        head: http_codec_lib.ResponseHead,
    ) -> None:
        if self._context.words is not None:
            self._context.words.record(
                upstream, head, self._progress.relayed_by
            )

    def _begin_prefill(
        self, upstream: directory.KnownUpstream
    ) -> prefill_tracker_lib.PrefillTracker | None:
        if (
            self._progress.search is None
            or self._progress.search.choice is None
        ):
            return None
        prefill_tracker = prefill_tracker_lib.PrefillTracker(
            self._progress.search.choice,
            self._progress.request.call,
            self._context.uses,
            self._progress.search.release_permit,
            self._progress.search.begin_permit,
        )
        if self._progress.relay is not None:
            self._progress.relay.upstream = upstream
            self._progress.relay.on_first_event = prefill_tracker.on_first_event
        return prefill_tracker

    def _new_attempt(
        self,
        upstream: directory.KnownUpstream,
        connection: client_connection.ClientConnection,
    ) -> attempt_lib.Attempt:
        """Returns the receiver of a send's answer."""
        attempt = attempt_lib.Attempt(
            event_loop.running(),
            self._progress.request.request_id,
            upstream.entry.instance_id,
            self._progress.relay,
            self._context.http_codec,
            is_connection_used=connection.request_count > 0,
            memory=self._context.answer_memory,
        )
        attempt.on_response_head = functools.partial(
            self._record_response_head, upstream
        )
        return attempt

    def _encode(
        self, upstream: directory.KnownUpstream, left_s: float
    ) -> bytes:
        """Returns the request's bytes for an upstream, but for a large body."""
        progress = self._progress
        request = progress.request
        headers = self._context.http_codec.upstream_request_headers(
            request,
            http_codec_lib.ForwardContext(
                upstream.entry.instance_id,
                left_s,
                progress.urgency if progress.route.is_model_call else None,
                progress.relay.last_event_id if progress.relay else "",
                self._context.state.keys is not None,
            ),
        )
        return client_connection.encode_request(
            request.method, request.path, headers, request.body
        )

    async def _send(
        self,
        upstream: directory.KnownUpstream,
        connection: client_connection.ClientConnection,
    ) -> attempt_lib.Outcome | None:
        loop = event_loop.running()
        entry = upstream.entry
        request = self._progress.request
        history = self._progress.history
        left_s = self._progress.deadline_s - loop.time()
        if left_s <= 0:
            self._context.connection_pool.release(entry.address, connection)
            return None
        if not retry_policy.may_send(self.repeat_route(), history):
            self._context.connection_pool.release(entry.address, connection)
            request_log.log_prevented_send(self._context, self._progress)
            return retry_policy.NotSent("it may have run")
        attempt = self._new_attempt(upstream, connection)
        data = self._encode(upstream, left_s)
        if self._progress.relay is not None:
            self._progress.relay.upstream_version = upstream.version
        self._progress.connection = connection
        send_number = history.begin_send(entry.instance_id)
        self._admission.charge_repeat()
        self._sent_addresses.add(entry.address)
        connection.send(
            data,
            attempt,
            is_head_request=request.method == b"HEAD",
            body=body_buffer.buffer_of(request.body),
        )
        try:
            await asyncio.wait([attempt.outcome_future], timeout=left_s)
        finally:
            attempt.release()
        outcome = None
        if attempt.outcome_future.done():
            outcome = attempt.outcome_future.result()
        else:
            connection.abort()
        self._progress.connection = None
        history.end_send(send_number, outcome)
        request_log.log_failed_send(
            self._context, self._progress, connection, attempt, outcome
        )
        if outcome is None:
            return None
        if (
            self._progress.relay is not None
            and self._progress.relay.event_count
        ):
            history.has_output = True
        if isinstance(outcome, retry_policy.Lost):
            connection.abort()
        elif not attempt.is_connection_reusable:
            connection.close()
        else:
            self._context.connection_pool.release(entry.address, connection)
        return outcome
