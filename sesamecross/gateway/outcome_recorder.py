"""Records what a request's attempts show of upstreams, models and prompts."""

import math

from sesamecross.gateway import attempt as attempt_lib
from sesamecross.gateway import request_context
from sesamecross.gateway import request_log
from sesamecross.gateway import request_progress
from sesamecross.ops.fleet import answer_bounds
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import retry_policy
from sesamecross.runtime import event_loop

_EXCESSES = frozenset(excess.value for excess in answer_bounds.Excess)
# A request that waited longer than this for its model is late for that reason
# and says nothing about whether the model's engines keep up.
LATENESS_MAX_MODEL_WAIT_S = 0.1


class OutcomeRecorder:
    """Records the outcomes of one request's attempts."""

    __slots__ = ("_context", "_progress")

    def __init__(
        self,
        context: request_context.RequestContext,
        progress: request_progress.RequestProgress,
    ):
        self._context = context
        self._progress = progress

    def record_outcome(
        self,
        upstream: directory.KnownUpstream,
        outcome: attempt_lib.Outcome | None,
        took_s: float,
    ) -> None:
        """Records an attempt.

        Args:
          upstream: Where the request was sent.
          outcome: What came of it; None if its deadline passed.
          took_s: How long it took.
        """
        now_s = event_loop.running().time()
        if not self._progress.relayed_by and not isinstance(
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
                    self.record_model_answer(now_s - took_s)
                self._record_whole_answer(now_s - took_s)
            case attempt_lib.StreamCompleted():
                upstream.health.record_success(now_s)
                self._record_whole_answer(now_s - took_s)
                first_event_s = self._progress.relay.attempt_first_event_s
                if first_event_s is not None:
                    self.record_model_answer(first_event_s)
            case retry_policy.NotRun(is_absent=True):
                call = self._progress.request.call
                if call is not None:
                    upstream.engine.absent[call.target] = now_s
            case retry_policy.NotRun(is_other=True):
                self._context.state.directory.replaced(
                    upstream.entry.instance_id
                )
            case retry_policy.Lost(reason=reason):
                self._record_loss(upstream, reason)
                if not self._progress.relayed_by:
                    upstream.reachability.record_loss(now_s)
                if not self.is_path_suspect(upstream):
                    upstream.health.record_failure(now_s)
            case retry_policy.NotRun() if not upstream.wants_backoff(now_s):
                upstream.health.record_failure(now_s)

    def record_model_answer(self, began_s: float) -> None:
        """Records that an engine answers, which clears the prompt's parts."""
        guard = self._context.search_context.crash_guard
        if self._progress.search is not None and guard is not None:
            guard.record_answer(self._progress.request.call, began_s)

    def _record_whole_answer(self, sent_s: float) -> None:
        guard = self._context.request_guard
        if guard is not None and not guard.is_idle:
            guard.record_answer(self._progress.fingerprint, sent_s)

    def _record_loss(
        self, upstream: directory.KnownUpstream, reason: str
    ) -> None:
        """Records a lost request, and what its prompt shares with others."""
        if reason in _EXCESSES:
            self._context.metrics.count(
                "sesamecross_answers_cut_total",
                "Answers of upstreams that were cut off, by the bound passed.",
                {"why": reason},
            )
        guard = self._context.request_guard
        if guard is not None:
            guard.record_loss(self._progress.fingerprint, upstream)
        call = (
            self._progress.request.call
            if self._progress.search is not None
            else None
        )
        crash_guard = self._context.search_context.crash_guard
        if call is not None and crash_guard is not None:
            relay = self._progress.relay
            first_event_s = relay.attempt_first_event_s if relay else None
            crash_guard.record_loss(call, upstream, first_event_s)
        self._context.log.info(
            "lost",
            id=self._progress.request.request_id,
            work=self._progress.fingerprint.hex(),
            upstream=upstream.entry.instance_id,
            why=reason,
            events=self._progress.relay.event_count
            if self._progress.relay
            else 0,
            parts=[
                part.part_id[: request_log.MAX_ID]
                for part in (call.parts if call else ())[
                    : request_log.MAX_PARTS
                ]
            ],
        )

    def is_path_suspect(self, upstream: directory.KnownUpstream) -> bool:
        """Whether a failure is probably due to this instance's own links.

        Health adds up the failures of all instances, so one that is cut off
        would make the others avoid sound upstreams.
        """
        now_s = event_loop.running().time()
        if not upstream.reachability.is_path_failing(now_s):
            return False
        return (
            upstream.others_reachability.hears > 0
            or self._context.state.directory.is_isolated(now_s)
        )

    def record_slot_time(self) -> None:
        """Records how long the request occupied a slot of an engine's batch."""
        search = self._progress.search
        if search is None:
            return
        took_s = event_loop.running().time() - self._progress.arrived_s
        self._context.search_context.demand.record_service_time(
            search.demand_key, max(0.0, took_s - search.total_wait_s)
        )

    def record_lateness(self) -> None:
        """Records whether a model's engines keep up with its requests.

        A request that waited for its model to be loaded doesn't count.
        """
        search = self._progress.search
        relay = self._progress.relay
        if search is None or relay is None or search.choice is None:
            return
        if search.model_wait_s > LATENESS_MAX_MODEL_WAIT_S:
            return
        time_to_first_event_s = math.inf
        if relay.first_event_s is not None:
            time_to_first_event_s = (
                relay.first_event_s - self._progress.arrived_s
            )
        was_late = (
            time_to_first_event_s > self._progress.route.objective_s
            or relay.max_gap_s > self._progress.route.gap_s
        )
        self._context.search_context.demand.record_outcome(
            search.demand_key, was_late
        )
