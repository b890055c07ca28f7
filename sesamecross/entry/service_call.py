"""Relays calls to plain services. Non-idempotent calls run at most once.

Running such a call twice, or losing it, corrupts records: a pass log that runs
twice bills machine hours twice, and a lost one leaves a volunteer's night
unrecorded. A call with an idempotency key is claimed before its first byte is
sent. Without a key it is dispatched once, and never retried after a byte was
sent.
"""

from collections.abc import Callable
import dataclasses
import math
import random
import threading
import time

import xxhash

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.core import records
from sesamecross.core import refusal
from sesamecross.entry import peer_relay
from sesamecross.entry import state as state_lib
from sesamecross.entry import steward_link
from sesamecross.ops import lost_calls
from sesamecross.ops import retry
from sesamecross.ops import service_routing
from sesamecross.ops import timeline
from sesamecross.ops.fleet import request_ledger
from sesamecross.ports import http_client
from sesamecross.ports import service_http

MAX_ATTEMPTS = 3
# A request whose key is claimed by a call in progress waits this long for that
# call's answer before it is told to retry later.
IN_PROGRESS_WAIT_MS = 3000
IN_PROGRESS_POLL_S = 0.05
MAX_KEY_CHARS = 255


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A caller's call to a plain service.

    Attributes:
      path: The path and query at the service.
      idempotency_key: The caller's key; empty if it sent none.
      deadline_ms: The deadline, on the monotonic clock.
    """

    call_id: str
    caller: data.Caller
    service: data.Service
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotency_key: str
    deadline_ms: int

    def fingerprint(self) -> bytes:
        """Returns a digest that no other caller or call can be made to have."""
        return request_ledger.fingerprint_of(
            self.caller.name.encode(),
            self.service.name.encode(),
            self.method.encode(),
            self.path.encode(),
            self.body,
        )

    def digest(self) -> str:
        """Returns a digest that is equal for repetitions of a call."""
        text = f"{self.method}\0{self.path}\0".encode()
        return xxhash.xxh3_128_hexdigest(text + self.body)


Outcome = data.Answer | refusal.Refusal


class ServiceDispatcher:
    """Dispatches service calls. Thread-safe."""

    def __init__(
        self,
        zone: str,
        state: state_lib.EntryState,
        link: steward_link.StewardLink,
        services: service_http.HttpService,
        clock: clock_lib.Clock,
        recorder: timeline.Recorder,
        rng: random.Random,
        links: peer_relay.PeerRelay,
    ):
        self._links = links
        self._state = state
        self._link = link
        self._services = services
        self._clock = clock
        self._recorder = recorder
        self._rng = rng
        self._router = service_routing.ServiceRouter(zone, rng)
        self._budget = retry.RetryBudget()
        self._lock = threading.Lock()
        self._lost_calls = lost_calls.LostCalls()

    def call(self, request: ServiceRequest) -> Outcome:
        """Returns the service's answer, or a refusal."""
        idempotent = service_routing.is_idempotent(
            request.service, request.method, request.path
        )
        if idempotent:
            return self._call_with_retries(request)
        if request.idempotency_key:
            return self._call_with_claim(request)
        return self._run_once(request)

    # -- idempotent calls ------------------------------------------------

    def _call_with_retries(self, request: ServiceRequest) -> Outcome:
        excluded: set[str] = set()
        attempt = 0
        while True:
            attempt += 1
            withheld = self._withheld(request, attempt)
            if withheld is not None:
                return withheld
            outcome, failed_upstream = self._attempt(
                request, idempotent=True, excluded=frozenset(excluded)
            )
            if not failed_upstream:
                with self._lock:
                    self._budget.succeeded()
                return outcome
            excluded.add(failed_upstream)
            if not self._may_retry(request, attempt):
                return outcome
            self._record_retry(request, attempt, failed_upstream)
            time.sleep(retry.backoff_ms(attempt, self._rng) / 1000)

    def _may_retry(self, request: ServiceRequest, attempt: int) -> bool:
        if attempt >= MAX_ATTEMPTS:
            return False
        if self._clock.monotonic_ms() >= request.deadline_ms:
            return False
        with self._lock:
            return self._budget.spend()

    def _withheld(
        self, request: ServiceRequest, attempt: int
    ) -> refusal.Refusal | None:
        """Returns the refusal of a call under which upstreams have ended."""
        now_s = self._clock.monotonic_ms() / 1000
        with self._lock:
            if self._lost_calls.is_idle:
                return None
            left_s = self._lost_calls.left_s(request.fingerprint(), now_s)
        if left_s is None:
            return None
        executed = refusal.Executed.NO
        if attempt > 1:
            executed = refusal.Executed.UNKNOWN
        return refusal.withheld(max(1, math.ceil(left_s)), executed)

    def _record_end_of_attempt(
        self,
        request: ServiceRequest,
        upstream: str,
        answer: data.Answer | http_client.NotSent | http_client.Failed,
        sent_s: float,
    ) -> None:
        """Records what an attempt tells of the call and of its upstream."""
        now_s = self._clock.monotonic_ms() / 1000
        with self._lock:
            match answer:
                case data.Answer():
                    self._lost_calls.record_contact(upstream)
                    if not self._lost_calls.is_idle:
                        self._lost_calls.record_answer(
                            request.fingerprint(), sent_s
                        )
                case http_client.NotSent(is_refused=True):
                    self._lost_calls.record_end(upstream)
                case http_client.Failed():
                    self._lost_calls.record_loss(
                        request.fingerprint(), upstream, now_s
                    )

    # -- one attempt -----------------------------------------------------

    def _attempt(
        self,
        request: ServiceRequest,
        idempotent: bool,
        excluded: frozenset[str] = frozenset(),
    ) -> tuple[Outcome, str]:
        """Makes one attempt.

        Returns:
          The outcome, and the name of the upstream if the attempt failed.
        """
        snapshot = self._state.snapshot
        # The service's declaration may have changed since the call arrived.
        service = snapshot.declarations.services.get(
            request.service.name, request.service
        )
        with self._lock:
            upstream = self._router.choose(
                service,
                snapshot.declarations.upstreams,
                snapshot.draining,
                excluded,
                self._clock.monotonic_ms(),
            )
            if upstream is not None:
                self._router.call_started(upstream.name)
        if upstream is None:
            return refusal.no_upstream(request.service.name), ""
        answered = False
        sent_s = self._clock.monotonic_ms() / 1000
        try:
            answer = self._services.call(
                self._service_call(request, upstream), idempotent
            )
            answered = isinstance(answer, data.Answer)
            if isinstance(answer, http_client.NotSent):
                self._links.record_failure(upstream.name)
            else:
                self._links.record_contact(upstream.name)
            self._record_end_of_attempt(request, upstream.name, answer, sent_s)
        finally:
            with self._lock:
                self._router.call_ended(
                    upstream.name, answered, self._clock.monotonic_ms()
                )
        return self._outcome(request, answer), "" if answered else upstream.name

    def _service_call(
        self, request: ServiceRequest, upstream: data.Upstream
    ) -> service_http.ServiceCall:
        left_ms = request.deadline_ms - self._clock.monotonic_ms()
        timeout_ms = min(request.service.timeout_ms, max(1, left_ms))
        return service_http.ServiceCall(
            upstream.url,
            request.method,
            request.path,
            request.headers,
            request.body,
            timeout_ms / 1000,
            request.call_id,
        )

    def _outcome(
        self,
        request: ServiceRequest,
        answer: data.Answer | http_client.NotSent | http_client.Failed,
    ) -> Outcome:
        match answer:
            case data.Answer():
                return answer
            case http_client.NotSent():
                return refusal.upstream_failed(
                    refusal.Executed.NO, "The call was not sent; try again"
                )
        is_past_deadline = self._clock.monotonic_ms() >= request.deadline_ms
        if is_past_deadline:
            return refusal.deadline_passed(refusal.Executed.UNKNOWN)
        return refusal.upstream_failed(
            refusal.Executed.UNKNOWN,
            "Look the record up at the service before sending it again",
        )

    # -- calls that run at most once -------------------------------------

    def _run_once(self, request: ServiceRequest) -> Outcome:
        """Sends a call to one upstream, the first that accepts a connection.

        While nothing was sent, another upstream may be tried: the links to one
        may be cut although it and the others are sound.
        """
        withheld = self._withheld(request, attempt=1)
        if withheld is not None:
            return withheld
        excluded: set[str] = set()
        while True:
            outcome, failed_upstream = self._attempt(
                request, idempotent=False, excluded=frozenset(excluded)
            )
            if not (failed_upstream and _is_not_executed(outcome)):
                return outcome
            excluded.add(failed_upstream)
            if self._clock.monotonic_ms() >= request.deadline_ms:
                return outcome

    def _call_with_claim(self, request: ServiceRequest) -> Outcome:
        claim = records.ClaimMade(
            request.call_id,
            request.caller.name,
            request.idempotency_key,
            request.service.name,
            request.digest(),
            data.Incarnation("", ""),
        )
        verdict = self._link.claim(claim)
        if verdict is None:
            return refusal.claims_unavailable(refusal.Executed.UNKNOWN)
        if verdict.state is data.ClaimState.WON:
            return self._run_claimed_call(request, claim)
        return self._wait_for_outcome(request, claim, verdict)

    def _run_claimed_call(
        self, request: ServiceRequest, claim: records.ClaimMade
    ) -> Outcome:
        """Runs a call whose claim was won, and settles the claim."""
        try:
            outcome = self._run_once(request)
        except Exception:
            # The service may have run the call. An open claim would tell
            # callers for ever that it is in progress.
            self._link.settle(records.ClaimSettled(claim.claim_id, True, None))
            raise
        executed = not _is_not_executed(outcome)
        self._settle_claim(claim, outcome, executed)
        return outcome

    def _settle_claim(
        self, claim: records.ClaimMade, outcome: Outcome, executed: bool
    ) -> None:
        answer = outcome if isinstance(outcome, data.Answer) else None
        max_answer_bytes = self._state.snapshot.declarations.claims.answer_bytes
        if answer is not None and len(answer.body) > max_answer_bytes:
            answer = None
        self._link.settle(
            records.ClaimSettled(claim.claim_id, executed, answer)
        )

    def _wait_for_outcome(
        self,
        request: ServiceRequest,
        claim: records.ClaimMade,
        verdict: data.ClaimVerdict,
    ) -> Outcome:
        """Waits a bounded time for the answer of the call with the claim."""
        now_ms = self._clock.monotonic_ms()
        wait_until_ms = min(request.deadline_ms, now_ms + IN_PROGRESS_WAIT_MS)
        while verdict.state is data.ClaimState.IN_PROGRESS:
            if self._clock.monotonic_ms() >= wait_until_ms:
                return refusal.in_progress()
            time.sleep(IN_PROGRESS_POLL_S)
            verdict = self._link.look_up(claim) or verdict
        return _outcome_of_verdict(verdict)

    def _record_retry(
        self, request: ServiceRequest, attempt: int, failed_upstream: str
    ) -> None:
        self._recorder.add(
            timeline.EventKind.RETRY,
            f"attempt {attempt} failed",
            call_id=request.call_id,
            model=request.service.name,
            upstream=failed_upstream,
        )


def _is_not_executed(outcome: Outcome) -> bool:
    return (
        isinstance(outcome, refusal.Refusal)
        and outcome.executed is refusal.Executed.NO
    )


def _claims_unavailable() -> refusal.Refusal:
    return refusal.claims_unavailable(refusal.Executed.NO)


_VERDICT_REFUSALS: dict[data.ClaimState, Callable[[], refusal.Refusal]] = {
    data.ClaimState.NOT_CLAIMED: _claims_unavailable,
    data.ClaimState.IN_PROGRESS: refusal.in_progress,
    data.ClaimState.UNKNOWN: refusal.outcome_unknown,
    data.ClaimState.MISMATCH: refusal.key_reused,
}


def _outcome_of_verdict(verdict: data.ClaimVerdict) -> Outcome:
    if verdict.state is data.ClaimState.SETTLED:
        return verdict.answer
    return _VERDICT_REFUSALS[verdict.state]()
