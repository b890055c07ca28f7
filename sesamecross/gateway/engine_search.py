"""Selects an engine for a request; waits for its model and for admission.

The model may not be loaded anywhere yet, and an engine that holds it may have
no prefill capacity left. The decisions (wait, retry later, try another engine)
are made in `sesamecross.ops.fleet`; this module does the waiting.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random

import msgspec

from sesamecross.core import serving
from sesamecross.gateway import crash_guard as crash_guard_lib
from sesamecross.gateway import pacing as pacing_lib
from sesamecross.gateway import scarce_models as scarce_models_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import admission_order
from sesamecross.ops.fleet import demand as demand_lib
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import engine_choice
from sesamecross.ops.fleet import patient_demand
from sesamecross.ops.fleet import stream_origins
from sesamecross.ops.fleet import wait_policy
from sesamecross.runtime import event_loop

# Interval at which a waiting request repeats its placement request.
PLACEMENT_REQUEST_INTERVAL_S = 0.25
# Retry delay of a stream while no engine of its version is known.
NO_VERSION_RETRY_AFTER_S = 0.5
# How often a waiting request checks whether a paused engine has gone on.
PAUSE_CHECK_INTERVAL_S = 0.05


def _ignore_request(
    service: str, target: str, upstream: str, version: str
) -> None:
    """Default until the placement client is set."""


class SearchContext(msgspec.Struct):
    """State shared by all searches of one instance.

    Attributes:
      missing: Since when requests have found a model on no engine.
      request_placement: Tells the lease holder that a request waits for a
        target. Arguments: service, target, the engine that lacks it, or empty,
        and the software version that an engine must have, or empty.
      pacing: Prefill admission; set when the application is assembled.
      crash_guard: Withholds prompts that crash engines; set when the
        application is assembled.
    """

    state: state_lib.State
    rng: random.Random
    demand: demand_lib.DemandMeter = msgspec.field(
        default_factory=demand_lib.DemandMeter
    )
    missing: wait_policy.MissedModels = msgspec.field(
        default_factory=wait_policy.MissedModels
    )
    scarce_models: scarce_models_lib.ScarceModels = msgspec.field(
        default_factory=scarce_models_lib.ScarceModels
    )
    request_placement: Callable[[str, str, str, str], None] = _ignore_request
    pacing: pacing_lib.Pacing | None = None
    crash_guard: crash_guard_lib.CrashGuard | None = None


class EngineSearch:
    """The search of one request; continues after each failed attempt.

    Attributes:
      choice: The engine found last, and the estimates behind that choice.
      retry_after_s: After an unsuccessful search, the delay after which the
        caller should retry.
      origin: Where the request's stream began; only such an engine is found.
    """

    __slots__ = (
        "choice",
        "retry_after_s",
        "origin",
        "_context",
        "_route",
        "_call",
        "_arrived_s",
        "_deadline_s",
        "_owner",
        "_refused_by",
        "_planned_arrival_s",
        "_model_wait_s",
        "_pacing_wait_s",
        "_permit",
        "_limit",
        "_patient_model",
    )

    def __init__(
        self,
        context: SearchContext,
        route: serving.Route,
        call: serving.ModelCall,
        arrived_s: float,
        deadline_s: float,
        owner: admission_order.Owner = admission_order.NO_OWNER,
    ):
        self.choice: engine_choice.Choice | None = None
        self.retry_after_s = 0.0
        self.origin: stream_origins.StreamOrigin | None = None
        self._context = context
        self._route = route
        self._call = call
        self._arrived_s = arrived_s
        self._deadline_s = deadline_s
        self._owner = owner
        # Engines for which the request was refused admission.
        self._refused_by: set[str] = set()
        # When the model is expected, by the placement plan read last.
        self._planned_arrival_s: float | None = None
        self._model_wait_s = 0.0
        self._pacing_wait_s = 0.0
        self._permit: pacing_lib.Permit | None = None
        # What ended the search without an engine.
        self._limit: wait_policy.Limit | None = None
        # The model, if the request is recorded as patient.
        self._patient_model: serving.ModelSpec | None = None

    @property
    def demand_key(self) -> demand_lib.Key:
        """Service and target for demand accounting; the route has targets."""
        return (self._route.targets[0].service, self._call.target)

    @property
    def model_wait_s(self) -> float:
        """Time spent waiting for the model or adapter."""
        return self._model_wait_s

    @property
    def total_wait_s(self) -> float:
        """Time spent waiting for the model or adapter and for admission."""
        return self._model_wait_s + self._pacing_wait_s

    @property
    def is_patient(self) -> bool:
        """Whether the request waits for its model with others in a group.

        A stream that goes on does not: it is late already.
        """
        return self._patient_model is not None and self.origin is None

    def record_demand(self, read_s: float) -> None:
        """Counts the request as demand for its model.

        A request is held as a patient one only if it is counted as one here.

        Args:
          read_s: Estimated prefill time of its prompt.
        """
        demand = self._context.demand
        service, _ = self.demand_key
        spec = self._context.scarce_models.spec(
            self._context.state, service, self._arrived_s
        )
        if spec is not None and patient_demand.is_patient(
            self._route, spec, self._call.model
        ):
            self._patient_model = spec.models[self._call.model]
        if self.is_patient:
            demand.record_patient_request(
                self.demand_key, self._arrived_s, read_s
            )
        else:
            demand.record_request(self.demand_key, self._arrived_s, read_s)

    async def find(
        self, tried: frozenset[str]
    ) -> directory.KnownUpstream | None:
        """Returns an engine that can be sent the request now, or None.

        Args:
          tried: Engines that were tried before; used only as a last resort.
        """
        loop = event_loop.running()
        while True:
            now_s = loop.time()
            if self.is_withheld():
                return None
            if self._must_wait_for_backoff(tried, now_s):
                if not await self._wait_for_backoff(now_s):
                    return None
                continue
            if self.origin is not None and not self._usable():
                # Nobody can serve it. The caller may find more elsewhere.
                self.retry_after_s = NO_VERSION_RETRY_AFTER_S
                self._limit = wait_policy.Limit.NO_VERSION
                return None
            choice = self._choose_engine(tried, now_s)
            if choice is None or choice.must_load_adapter:
                if not await self._wait_for_target(choice, now_s):
                    return None
                continue
            if not await self._acquire_permit(choice):
                if self._has_alternative():
                    continue
                self._limit = wait_policy.Limit.NO_TURN
                # Refused callers count as late: the model needs more engines.
                self._context.demand.record_outcome(self.demand_key, True)
                return None
            if self.is_withheld():
                self.release_permit()
                return None
            if self._is_still_usable(choice.upstream):
                self.choice = choice
                self._context.demand.record_prompt(
                    self.demand_key, choice.read_s
                )
                return choice.upstream
            self.release_permit()

    def is_withheld(self) -> bool:
        """Whether prompts with a part of this one crash engines.

        If so, the search is over.
        """
        guard = self._context.crash_guard
        left_s = guard.left_s(self._call) if guard is not None else None
        if left_s is None:
            return False
        self.retry_after_s = left_s
        self._limit = wait_policy.Limit.WITHHELD
        return True

    def begin_permit(self) -> None:
        """Records that the engine has read the prompt."""
        if self._permit is not None:
            self._context.pacing.begin(self._permit)

    def release_permit(self) -> None:
        """Releases the permit: the request has ended, or nothing is sent."""
        if self._permit is not None:
            self._context.pacing.release(self._permit)
            self._permit = None

    # -- candidates ----------------------------------------------------

    def _usable(self) -> list[directory.KnownUpstream]:
        now_s = event_loop.running().time()
        usable = []
        for target in self._route.targets:
            known = self._context.state.directory.usable(target.service, now_s)
            usable.extend(known)
        if self.origin is not None:
            usable = [known for known in usable if known.is_of(self.origin)]
        return usable

    def _choose_engine(
        self, tried: frozenset[str], now_s: float
    ) -> engine_choice.Choice | None:
        """Returns the best engine, preferably one that was not tried."""
        location = self._context.state.location
        rng = self._context.rng
        usable = self._usable()
        untried = [one for one in usable if one.entry.instance_id not in tried]
        holders = self._holders(untried or usable, self._call.model, now_s)
        return engine_choice.choose(
            self._call, holders, location, now_s, rng, self._adapter_slots()
        )

    def _must_wait_for_backoff(
        self, tried: frozenset[str], now_s: float
    ) -> bool:
        """Whether all engines with the model want no requests for now."""
        return (
            bool(self._backing_off(now_s))
            and self._choose_engine(tried, now_s) is None
        )

    def _backing_off(self, now_s: float) -> list[directory.KnownUpstream]:
        """Returns the engines with the model that want no requests for now."""
        return [
            known
            for target in self._route.targets
            for known in self._context.state.directory.backing_off(
                target.service, now_s
            )
            if known.engine.holds(known.entry, self._call.model, now_s)
            and (self.origin is None or known.is_of(self.origin))
        ]

    def _adapter_slots(self) -> dict[str, int]:
        """Returns the places for adapters of engines, by service."""
        configuration = self._context.state.configuration
        if configuration is None or not self._call.adapter:
            return {}
        slots = {}
        for target in self._route.targets:
            service = configuration.services.get(target.service)
            if service is not None and service.engine is not None:
                slots[target.service] = service.engine.adapter_slots
        return slots

    def _holders(
        self,
        candidates: list[directory.KnownUpstream],
        target: str,
        now_s: float,
    ) -> list[directory.KnownUpstream]:
        """Returns the engines that hold the target and may be sent requests."""
        holders = [
            known
            for known in candidates
            if known.engine.holds(known.entry, target, now_s)
            and known.entry.instance_id not in self._refused_by
        ]
        return self._context.state.directory.best_access(holders, now_s)

    def _is_still_usable(self, known: directory.KnownUpstream) -> bool:
        """Whether an engine can still take the request after admission.

        The wait for admission lasts up to 1.7 s. Meanwhile the engine may have
        begun to leave, and must get no new requests, or unloaded the model.
        """
        now_s = event_loop.running().time()
        may_receive = self._context.state.directory.may_receive(known, now_s)
        if self.origin is not None and not known.is_of(self.origin):
            return False
        return may_receive and known.engine.holds(
            known.entry, self._call.target, now_s
        )

    def _has_alternative(self) -> bool:
        """Whether another engine holds the target and has not refused."""
        now_s = event_loop.running().time()
        return bool(self._holders(self._usable(), self._call.target, now_s))

    # -- waits ---------------------------------------------------------

    async def _wait_for_target(
        self, choice: engine_choice.Choice | None, now_s: float
    ) -> bool:
        """Waits for the model, or for the adapter that `choice` lacks.

        Returns:
          True after a change of state or a timeout, when the search should
          continue; False if the caller should retry later.
        """
        context = self._context
        service, _ = self.demand_key
        version = ""
        if self.origin is not None:
            service, version = self.origin.service, self.origin.version
        if choice is None and self._has_paused_holder(now_s):
            await context.state.wait_for_change(PAUSE_CHECK_INTERVAL_S)
            self._model_wait_s += event_loop.running().time() - now_s
            return True
        if choice is not None:
            engine = choice.upstream.entry.instance_id
            context.request_placement(service, self._call.target, engine, "")
        elif not self.is_patient:
            # Of patient ones the lease holder learns from instances' reports.
            context.request_placement(service, self._call.model, "", version)
        decision = self._decide_wait(choice, now_s)
        if isinstance(decision, wait_policy.RetryAfter):
            self.retry_after_s = decision.after_s
            self._limit = self._wait_limit(choice)
            if choice is None and self.origin is None:
                self._record_return(decision.after_s, now_s)
            return False
        with self._counted_as_waiting(choice):
            try:
                await context.state.wait_for_change(
                    min(PLACEMENT_REQUEST_INTERVAL_S, decision.until_s - now_s)
                )
            finally:
                self._model_wait_s += event_loop.running().time() - now_s
        return True

    @contextlib.contextmanager
    def _counted_as_waiting(
        self, choice: engine_choice.Choice | None
    ) -> Iterator[None]:
        """Counts the request as one that waits for a load."""
        demand = self._context.demand
        if choice is None and self.is_patient:
            due_s = patient_demand.due_to_send_s(self._route, self._arrived_s)
            demand.begin_patient_wait(self.demand_key, due_s)
            try:
                yield
            finally:
                demand.end_patient_wait(self.demand_key, due_s)
        else:
            demand.adjust_waiting(self.demand_key, 1)
            try:
                yield
            finally:
                demand.adjust_waiting(self.demand_key, -1)

    def _record_return(self, after_s: float, now_s: float) -> None:
        """Counts the caller among those that are to return for the model."""
        after_s = wait_policy.retry_after_s(after_s, self._deadline_s, now_s)
        if now_s + after_s < self._deadline_s:
            self._context.demand.record_refusal(
                self.demand_key, now_s + after_s
            )

    async def _wait_for_backoff(self, now_s: float) -> bool:
        """Waits until an engine wants requests again, if that is in time.

        No other engine loads the model for that; but callers who are refused
        count as late, so that it gets more engines if that goes on.

        Returns:
          Whether the search should continue.
        """
        end_s = min(one.backoff_until_s for one in self._backing_off(now_s))
        send_deadline_s = wait_policy.send_deadline_s(
            self._route, self._arrived_s, self._deadline_s
        )
        if end_s >= send_deadline_s:
            self.retry_after_s = end_s - now_s
            self._limit = wait_policy.Limit.BACKOFF
            self._context.demand.record_outcome(self.demand_key, True)
            return False
        await self._context.state.wait_for_change(end_s - now_s)
        self._model_wait_s += event_loop.running().time() - now_s
        return True

    def _has_paused_holder(self, now_s: float) -> bool:
        """Whether an engine with the model may go on while the caller waits.

        Another engine would need seconds to load the model, and would make
        other models give way for it.
        """
        send_deadline_s = wait_policy.send_deadline_s(
            self._route, self._arrived_s, self._deadline_s
        )
        return now_s < send_deadline_s and any(
            known.reachability.may_be_paused(now_s)
            and known.engine.holds(known.entry, self._call.model, now_s)
            for known in self._usable()
        )

    def _decide_wait(
        self, choice: engine_choice.Choice | None, now_s: float
    ) -> wait_policy.Wait | wait_policy.RetryAfter:
        request_times = wait_policy.RequestTimes(
            self._arrived_s,
            wait_policy.send_deadline_s(
                self._route, self._arrived_s, self._deadline_s
            ),
            self._deadline_s,
        )
        if choice is not None:
            return self._decide_adapter_wait(choice, request_times, now_s)
        self._planned_arrival_s = self._earliest_arrival_s()
        if self.is_patient:
            return wait_policy.decide_patient(
                request_times,
                self._planned_arrival_s,
                patient_demand.fastest_load_s(
                    self._patient_model,
                    (known.entry.copies for known in self._usable()),
                ),
                now_s,
            )
        missing_since_s = self._context.missing.since(
            self._call.model, now_s, self.origin
        )
        return wait_policy.decide_model(
            request_times, self._planned_arrival_s, missing_since_s, now_s
        )

    def _decide_adapter_wait(
        self,
        choice: engine_choice.Choice,
        request_times: wait_policy.RequestTimes,
        now_s: float,
    ) -> wait_policy.Wait | wait_policy.RetryAfter:
        ready_s = choice.adapter_ready_s
        match choice.adapter_place:
            case engine_choice.AdapterPlace.FREE:
                decision = wait_policy.decide_adapter(request_times, now_s)
                ready_s = self._planned_arrival_s
                if isinstance(decision, wait_policy.Wait) or ready_s is None:
                    return decision
                # What it has waited for has come: the adapter is loaded next.
            case engine_choice.AdapterPlace.BUSY if (
                ready_s is None or ready_s < now_s - wait_policy.OVERDUE_S
            ):
                # The load that is overdue may end at any time.
                return wait_policy.decide_adapter(request_times, now_s)
        target = self._call.target
        self._planned_arrival_s = ready_s
        return wait_policy.decide_adapter_place(
            request_times,
            self._planned_arrival_s,
            self._context.missing.since(target, now_s),
            now_s,
        )

    def _wait_limit(
        self, choice: engine_choice.Choice | None
    ) -> wait_policy.Limit:
        """Returns what limited a wait for the model or adapter."""
        if choice is None:
            if self._planned_arrival_s is None:
                return wait_policy.Limit.NO_PLAN
            return wait_policy.Limit.PLANNED_LATE
        match choice.adapter_place:
            case engine_choice.AdapterPlace.BUSY:
                return wait_policy.Limit.ENGINE_BUSY
            case engine_choice.AdapterPlace.TAKEN:
                return wait_policy.Limit.NO_ADAPTER_PLACE
        return wait_policy.Limit.ADAPTER_NOT_LOADED

    def _earliest_arrival_s(self) -> float | None:
        """Returns when the first engine is expected to hold the model."""
        times = [
            known.engine.ready_at_s(self._call.model)
            for known in self._usable()
        ]
        return min((one for one in times if one is not None), default=None)

    async def _acquire_permit(self, choice: engine_choice.Choice) -> bool:
        """Waits for permission to send the prompt to the engine."""
        loop = event_loop.running()
        route = self._route
        send_deadline_s = wait_policy.send_deadline_s(
            route, self._arrived_s, self._deadline_s
        )
        self.release_permit()
        started_s = loop.time()
        result = await self._context.pacing.acquire(
            choice.upstream,
            self._ask(choice, send_deadline_s),
            self._context.state.has_rejection_limit(
                choice.upstream.entry.service, started_s
            ),
        )
        now_s = loop.time()
        self._pacing_wait_s += now_s - started_s
        match result:
            case pacing_lib.PermitRefused(after_s=after_s):
                self.retry_after_s = wait_policy.retry_after_s(
                    after_s, self._deadline_s, now_s
                )
                self._refused_by.add(choice.upstream.entry.instance_id)
                return False
        self._permit = result
        return True

    def _ask(
        self, choice: engine_choice.Choice, until_s: float
    ) -> admission_order.Ask:
        """Returns what the request needs of an engine."""
        urgency = self._owner.urgency
        tokens = choice.uncached_tokens
        return admission_order.Ask(
            tokens,
            self._call.output_tokens,
            self._route.urgency if urgency is None else urgency,
            self._owner.workspace,
            self._due_s() - choice.expected_s,
            until_s,
            max(0, self._call.prompt_tokens - tokens),
        )

    def _due_s(self) -> float:
        """Returns when the first event is due.

        A stream that goes on is late already, and few engines may serve it.
        """
        if self.origin is not None:
            return self._arrived_s
        return self._arrived_s + self._route.objective_s

    # -- log fields ----------------------------------------------------

    def refusal_fields(self) -> dict[str, object]:
        """Returns the grounds of a refusal and the age of the plan."""
        now_s = event_loop.running().time()
        fields: dict[str, object] = {}
        if self._limit is not None:
            fields["limit"] = self._limit.value
        if self._planned_arrival_s is not None:
            fields["expected_in_s"] = round(self._planned_arrival_s - now_s, 2)
        plan_times_s = [
            known.engine.placement_received_s for known in self._usable()
        ]
        if plan_times_s:
            fields["plan_age_ms"] = round((now_s - max(plan_times_s)) * 1000)
        if self._refused_by:
            fields["full"] = sorted(self._refused_by)
        is_isolated = self._context.state.directory.is_isolated(now_s)
        for known in self._usable():
            if not known.engine.holds(known.entry, self._call.model, now_s):
                continue
            instance_id = known.entry.instance_id
            match known.access(now_s, is_isolated):
                case directory.Access.NONE:
                    fields.setdefault("down", []).append(instance_id)
                case directory.Access.VIA_PEER:
                    fields.setdefault("unreachable", []).append(instance_id)
        return fields

    def log_fields(self) -> dict[str, object]:
        """Returns the values that decided where the request was sent."""
        fields: dict[str, object] = {
            "target": self._call.target,
            "waited_ms": round(self._model_wait_s * 1000),
            "paced_ms": round(self._pacing_wait_s * 1000),
        }
        if self.choice is not None:
            fields["expected_ms"] = round(self.choice.expected_s * 1000)
            fields["prompt"] = self.choice.uncached_tokens
            fields["ahead"] = self.choice.queued_tokens
            fields["running"] = round(self.choice.running)
        return fields
