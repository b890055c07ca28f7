"""Plans placements and gives orders to engines while the lease is held.

The planner needs state that spans ticks: what each engine holds, which order
has no answer yet, when a load is due. All of it is discarded when the lease is
lost and learned from the engines again when it is acquired, so nothing is
handed over between holders.
"""

import asyncio
import contextlib

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.gateway import engine_client
from sesamecross.gateway import engine_tracker
from sesamecross.gateway import lease_manager
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import missed_models
from sesamecross.gateway import placement_publisher
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import adapter_slots
from sesamecross.ops.fleet import demand_history
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import duty_cycle
from sesamecross.ops.fleet import load_budget
from sesamecross.ops.fleet import patient_demand
from sesamecross.ops.fleet import placement_steps
from sesamecross.ops.fleet import placement_target
from sesamecross.ops.fleet import placement_turns
from sesamecross.ops.fleet import placement_types
from sesamecross.ops.fleet import wait_policy
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import ticker as ticker_lib

TICK_INTERVAL_S = 0.05
# How often an instance that may not give orders checks whether it may.
IDLE_INTERVAL_S = 0.1
# Order answers and placement requests wake the controller hundreds of times a
# second. After each scan of all engines it rests for this many times the scan's
# duration.
TICK_REST_RATIO = 4.0
# Planning scans all engines and models; between two plans only requests that
# wait add something new.
PLAN_INTERVAL_S = 0.1
# Rest after a plan, in multiples of the plan's duration.
PLAN_REST_RATIO = 4.0
# How often the target is recomputed: for 6 engines and 20 models that takes
# some milliseconds, and its inputs change no faster.
TARGET_INTERVAL_S = 0.15
# Minimum rest between computations of the target, in multiples of the last
# one's duration. For 56 engines and 135 models one takes 25 to 50 ms of a core;
# the instance has half a core and callers to serve.
TARGET_REST_RATIO = 5.0
# How long a placement request stays valid; it is repeated while requests wait.
PLACEMENT_REQUEST_TTL_S = 0.6
# How often an instance repeats the placement request for the same target, on
# behalf of all its requests that wait for it.
PLACEMENT_REQUEST_INTERVAL_S = 0.25
# How long after acquiring the lease, and after the first requests, until every
# instance's demand has arrived through the hubs. Demand that waits is
# reported sooner than models in use, so an earlier plan could unload a busy
# model for one that is waited for.
DEMAND_SETTLE_S = 0.7
# How long after an engine appeared until others that start with it have
# appeared too: they register within some seconds of each other.
ENGINES_SETTLE_S = 4.0
# How long an engine that nobody hears keeps its place in plans, unless it
# refuses connections. Its silence is noticed after 0.8 s; a pause takes little
# longer.
PAUSE_GRACE_S = 0.8
# How long a model stays withdrawn without being unloaded. After that it serves
# again: its requests last longer than its memory is worth waiting for.
WITHDRAWAL_TTL_S = 8.0


class PlacementController:
    """Component that plans placements and gives orders."""

    is_vital = False
    name = "orders"

    def __init__(
        self,
        state: state_lib.State,
        mesh: mesh_lib.Mesh,
        lease: lease_manager.LeaseManager,
        client: engine_client.EngineClient,
        metrics: metrics_lib.Metrics,
        ticker: ticker_lib.Ticker | None = None,
    ):
        self._state = state
        self._mesh = mesh
        self._lease = lease
        self._client = client
        self._metrics = metrics
        self._ticker = ticker or ticker_lib.Ticker()
        self._log = logs.get_logger("orders")
        self._missed_models = missed_models.MissedModelReports(
            self._log, metrics
        )
        self._tracker = engine_tracker.EngineTracker(
            state,
            client,
            metrics,
            lambda work: self._spawn(work),
            lambda: self._wake.set(),
        )
        self._placement_requests: dict[tuple[str, str, str], float] = {}
        self._adapter_waits = adapter_slots.AdapterWaits()
        # The same for models that an engine of one version must hold, by
        # service, model and version.
        self._version_requests: dict[tuple[str, str, str], float] = {}
        self._publisher = placement_publisher.PlacementPublisher(state, mesh)
        self._demand_history = demand_history.DemandHistory()
        self._budgets: dict[str, load_budget.LoadBudget] = {}
        self._withdrawn: dict[tuple[str, str], float] = {}
        self._targets: dict[str, placement_types.PlacementTarget] = {}
        # When models that wait for memory are expected, by engine and model.
        self._expected_loads: dict[str, dict[str, float]] = {}
        # The same for adapters that wait for a place.
        self._expected_adapters: dict[str, dict[str, float]] = {}
        # When the target is recomputed next, by service.
        self._next_target_s: dict[str, float] = {}
        # The configuration version with which a service's plan failed.
        self._failed_plans: dict[str, int] = {}
        # Since when engines are down, by instance id.
        self._down_since_s: dict[str, float] = {}
        self._is_active = False
        self._last_plan_s = 0.0
        # The demand planned with last, and when it was first seen.
        self._demand: dict[tuple[str, str], fm.TargetDemand] | None = None
        self._demand_since_s = 0.0
        self._tick_pace = duty_cycle.DutyCycle(TICK_REST_RATIO)
        self._plan_pace = duty_cycle.DutyCycle(PLAN_REST_RATIO)
        self._request_cooldown = duty_cycle.Cooldown(
            PLACEMENT_REQUEST_INTERVAL_S
        )
        self._active_since_s = 0.0
        self._tasks: set[asyncio.Task] = set()
        self._wake = asyncio.Event()
        mesh.add_listener(self._on_message)

    async def run(self) -> None:
        """Runs the controller while the lease is held."""
        loop = event_loop.running()
        while True:
            if not self._is_active and not self._lease.may_order:
                await self._ticker.wait(IDLE_INTERVAL_S)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_INTERVAL_S):
                    await self._wake.wait()
            await asyncio.sleep(
                max(0.0, self._tick_pace.next_start_s - loop.time())
            )
            self._wake.clear()
            started_s = loop.time()
            plan_time_s = self._tick(started_s)
            finished_s = loop.time()
            self._tick_pace.done(started_s, finished_s - plan_time_s)
            self._record_work_time(
                plan_time_s, finished_s - started_s - plan_time_s
            )

    def _record_work_time(self, plan_time_s: float, scan_time_s: float) -> None:
        """Records the time that orders take away from serving callers."""
        for work, took_s in (("plan", plan_time_s), ("look", scan_time_s)):
            if took_s > 0:
                self._metrics.observe(
                    "sesamecross_orders_work_seconds",
                    "Time of one plan, or of one look at engines without it.",
                    {"work": work},
                    took_s,
                )

    async def stop(self) -> None:
        """Cancels calls; orders in flight may still be executed."""
        for task in self._tasks:
            task.cancel()

    # -- placement requests --------------------------------------------

    def request_placement(
        self, service: str, target: str, upstream: str, version: str = ""
    ) -> None:
        """Notes that a request of this instance waits for a target.

        Args:
          service: The service of the engines.
          target: The model or adapter.
          upstream: The engine that lacks an adapter, or empty.
          version: The software version that an engine must have, or empty.
        """
        lease = self._mesh.lease
        now_s = event_loop.running().time()
        if self._lease.holds:
            if self._request_cooldown.is_due(
                ("", service, target, upstream, version), now_s
            ):
                self._add_placement_request(service, target, upstream, version)
        elif lease is not None and self._mesh.roster is not None:
            holder = self._mesh.roster.get(lease.holder)
            if holder is None or self._mesh.transport is None:
                return
            repeat_key = (lease.holder, service, target, upstream, version)
            if self._request_cooldown.is_due(repeat_key, now_s):
                number = self._mesh.next_number()
                self._mesh.send(
                    fm.PlacementRequest(
                        self._mesh.me,
                        number,
                        service,
                        target,
                        upstream,
                        version,
                    ),
                    holder,
                )

    def _on_message(self, message: fm.Message) -> None:
        match message:
            case fm.PlacementRequest(me=me, service=service, target=target):
                if self._lease.holds:
                    self._publisher.add_waiter(target, me.name)
                    self._add_placement_request(
                        service, target, message.upstream, message.version
                    )
            case fm.Placement():
                self._publisher.apply(message)

    def _add_placement_request(
        self, service: str, target: str, upstream: str, version: str = ""
    ) -> None:
        now_s = event_loop.running().time()
        if version:
            self._version_requests[(service, target, version)] = now_s
        else:
            self._placement_requests[(service, target, upstream)] = now_s
        self._last_plan_s = 0.0
        self._wake.set()

    def _publish_placements(self, now_s: float) -> None:
        """Publishes what engines hold, for those that have reported.

        Nothing is known of the others. Instances trust a published placement
        more than an engine's own entry, and would refuse requests for models
        that it lists. For an engine without a published placement its entry
        counts, or what was published before this instance acquired the lease.
        """
        withdrawn: dict[str, set[str]] = {}
        for instance_id, target in self._withdrawn:
            withdrawn.setdefault(instance_id, set()).add(target)
        placements = [
            placement_publisher.engine_placement(
                tracked.inventory,
                withdrawn.get(instance_id, set()),
                self._expected_loads.get(instance_id, {})
                | self._expected_adapters.get(instance_id, {}),
                now_s,
            )
            for instance_id, tracked in self._tracker.items()
            if tracked.inventory.has_reported
        ]
        self._publisher.publish(placements, self._lease.fence, now_s)

    # -- control loop --------------------------------------------------

    def _tick(self, now_s: float) -> float:
        """Does the work that is due; returns the time spent planning."""
        if not self._lease.may_order:
            if self._is_active:
                self._deactivate()
            return 0.0
        if not self._is_active:
            self._log.info("begins", fence=self._lease.fence)
            self._is_active = True
            self._active_since_s = now_s
        self._tracker.update_engines(self._engines(), now_s)
        self._tracker.request_reports(now_s)
        self._tracker.apply_expected_loads(now_s)
        plan_time_s = 0.0
        is_due = now_s - self._last_plan_s >= PLAN_INTERVAL_S
        if is_due and self._plan_pace.may_begin(now_s):
            self._last_plan_s = now_s
            started_s = event_loop.running().time()
            self._plan(now_s)
            finished_s = event_loop.running().time()
            self._plan_pace.done(started_s, finished_s)
            plan_time_s = finished_s - started_s
        self._publish_placements(now_s)
        return plan_time_s

    def _deactivate(self) -> None:
        self._log.info("ends")
        self._is_active = False
        self._tracker.clear()
        self._budgets.clear()
        self._placement_requests.clear()
        self._version_requests.clear()
        self._withdrawn.clear()
        self._down_since_s.clear()
        self._targets.clear()
        self._expected_loads.clear()
        self._expected_adapters.clear()
        self._adapter_waits.clear()
        self._next_target_s.clear()
        self._missed_models.clear()
        self._publisher.clear()

    def _engine_spec(self, service: str) -> serving.EngineSpec | None:
        configuration = self._state.configuration
        known = configuration.services.get(service) if configuration else None
        return known.engine if known is not None else None

    def _patience_s(self, service: str) -> float:
        """Returns how long the most patient callers of a service wait."""
        return max(
            (
                wait_policy.patience_s(route)
                for route in self._state.configuration.routes
                if any(target.service == service for target in route.targets)
            ),
            default=0.0,
        )

    def _engines(self) -> list[serving.Upstream]:
        """Returns the entries of all engines that may get orders."""
        return [
            known.entry
            for known in self._state.directory
            if self._engine_spec(known.entry.service) is not None
            and not known.is_replaced
            and known.lapsed_s is None
        ]

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- planning ------------------------------------------------------

    def _plan(self, now_s: float) -> None:
        if self._demand is not self._state.fleet_demand:
            self._demand = self._state.fleet_demand
            self._demand_since_s = now_s
        by_service: dict[str, list[placement_types.Engine]] = {}
        for instance_id, tracked in self._tracker.items():
            known = self._state.directory.get(instance_id)
            if known is None:
                continue
            by_service.setdefault(known.entry.service, []).append(
                placement_types.Engine(
                    tracked.inventory,
                    tracked.can_take_order(now_s),
                    known.is_leaving or self._is_lost(known, now_s),
                )
            )
        self._placement_requests = _recent(self._placement_requests, now_s)
        self._version_requests = _recent(self._version_requests, now_s)
        for service, engines in by_service.items():
            try:
                self._plan_service(service, tuple(engines), now_s)
            except Exception:
                self._log_failed_plan(service)

    def _is_lost(
        self, known: directory_lib.KnownUpstream, now_s: float
    ) -> bool:
        """Whether an engine is down, and not only paused for a moment."""
        instance_id = known.entry.instance_id
        if not known.is_down(now_s):
            self._down_since_s.pop(instance_id, None)
            return False
        since_s = self._down_since_s.setdefault(instance_id, now_s)
        return known.is_refusing(now_s) or now_s - since_s >= PAUSE_GRACE_S

    def _log_failed_plan(self, service: str) -> None:
        """Logs a failed plan once for each version of the configuration.

        The plan fails on each attempt until operators change the declarations.
        If the exception went further, no service would get orders any more,
        neither here nor on any instance that takes over.
        """
        if self._failed_plans.get(service) != self._state.version:
            self._failed_plans[service] = self._state.version
            self._log.exception("planning failed", service=service)

    def _plan_service(
        self,
        service: str,
        engines: tuple[placement_types.Engine, ...],
        now_s: float,
    ) -> None:
        spec = self._engine_spec(service)
        budget = self._budget(service, spec, now_s)
        max_parallel_loads = max(
            1, round(spec.store_loads_per_s * _mean_load_s(spec))
        )
        active_loads = sum(
            1
            for engine in engines
            for target, at_s in engine.inventory.loading.items()
            if "/" not in target and target in self._demand_history.from_store
        )
        demand = self._demand_history.demand(
            service,
            spec,
            self._state.fleet_demand,
            self._state.fleet_uses,
            {name for engine in engines for name in engine.inventory.models},
            self._placement_requests,
            now_s,
        )
        demand_age_s = min(
            now_s - self._active_since_s,
            self._demand_history.demand_age_s(now_s),
        )
        inputs = placement_types.Inputs(
            spec,
            engines,
            demand,
            self._state.fleet_uses,
            self._active_withdrawals(now_s),
            self._targets.get(service, {}),
            self._waiting_adapters(service, engines, now_s),
            store_loads=(
                max(0, max_parallel_loads - active_loads)
                if budget.allows(now_s)
                else 0
            ),
            is_demand_known=demand_age_s >= DEMAND_SETTLE_S,
            are_engines_known=now_s - self._tracker.last_engine_added_s
            >= ENGINES_SETTLE_S,
            now_s=now_s,
            used_s=self._demand_history.last_used(
                self._state.fleet_uses, now_s
            ),
            version_needs=self._version_needs(service, engines),
            patience_s=self._patience_s(service),
        )
        target = self._target(service, inputs)
        self._expect_adapters(inputs)
        steps = placement_steps.steps(inputs, target)
        self._end_withdrawals(service, steps)
        for step in steps:
            if step.kind is placement_types.StepKind.WITHDRAW:
                self._withdraw(step, now_s)
            elif not step.from_store or budget.allows(now_s):
                self._start_order(service, step, budget, now_s)

    def _waiting_adapters(
        self,
        service: str,
        engines: tuple[placement_types.Engine, ...],
        now_s: float,
    ) -> tuple[placement_types.AdapterRequest, ...]:
        """Returns the adapters that are waited for, the longest wait first."""
        for key, at_s in self._placement_requests.items():
            requested, target, upstream = key
            if requested == service and upstream and "/" in target:
                self._adapter_waits.add(service, target, upstream, at_s)
        return self._adapter_waits.update(
            service, engines, self._active_withdrawals(now_s), now_s
        )

    def _expect_adapters(self, inputs: placement_types.Inputs) -> None:
        """Updates when adapters that wait for a place are expected."""
        wanted: dict[str, list[str]] = {}
        for request in inputs.adapter_requests:
            wanted.setdefault(request.instance_id, []).append(request.target)
        for engine in inputs.engines:
            waits = adapter_slots.ready_times_s(
                inputs, engine, wanted.get(engine.name, ())
            )
            self._expected_adapters[engine.name] = {
                target: inputs.now_s + wait_s
                for target, wait_s in waits.items()
            }

    def _version_needs(
        self, service: str, engines: tuple[placement_types.Engine, ...]
    ) -> tuple[placement_types.VersionNeed, ...]:
        """Returns the models that streams wait for at their version."""
        by_version: dict[str | None, set[str]] = {}
        if self._version_requests:
            for engine in engines:
                known = self._state.directory.get(engine.name)
                if not engine.is_leaving:
                    by_version.setdefault(known.version, set()).add(engine.name)
        return tuple(
            placement_types.VersionNeed(
                model, frozenset(by_version.get(version, ()))
            )
            for requested, model, version in self._version_requests
            if requested == service
        )

    def _target(
        self, service: str, inputs: placement_types.Inputs
    ) -> placement_types.PlacementTarget:
        """Returns what engines should hold; recomputes it periodically."""
        now_s = inputs.now_s
        if now_s < self._next_target_s.get(service, 0.0):
            return self._targets[service]
        if inputs.is_demand_known:
            target = placement_target.plan_target(
                inputs,
                lambda decision: self._record_group_load(
                    service, decision, now_s
                ),
                lambda turn: self._missed_models.record_turn(service, turn),
            )
            self._missed_models.report(service, inputs, target)
        else:
            # The demand for models is unknown: only free memory is filled.
            target = placement_target.fill_free_room(inputs)
        if self._targets.get(service) != target:
            self._log_target(service, inputs, target)
        self._targets[service] = target
        for name, waits in placement_turns.ready_times_s(
            inputs, target
        ).items():
            self._expected_loads[name] = {
                model: now_s + wait_s for model, wait_s in waits.items()
            }
        took_s = event_loop.running().time() - now_s
        self._next_target_s[service] = now_s + max(
            TARGET_INTERVAL_S, took_s * TARGET_REST_RATIO
        )
        return target

    def _record_group_load(
        self,
        service: str,
        decision: patient_demand.LoadDecision,
        now_s: float,
    ) -> None:
        """Logs and counts a load that is planned for patient requests."""
        group = decision.group
        self._metrics.count(
            "sesamecross_patient_group_loads_total",
            "Loads planned for groups of patient requests, by reason.",
            {"reason": decision.reason.name.lower()},
        )
        self._metrics.count(
            "sesamecross_patient_group_requests_total",
            "Patient requests in groups for which a load was planned.",
            {},
            group.size,
        )
        self._log.info(
            "patient group",
            service=service,
            model=group.model,
            size=group.size,
            left_ms=round(group.left_s * 1000),
            why=decision.reason.value,
            upstream=decision.instance_id,
            takes_ms=round(decision.takes_s * 1000),
            cost=round(decision.cost, 2),
            demand_age_ms=round((now_s - self._demand_since_s) * 1000),
        )

    def _log_target(
        self,
        service: str,
        inputs: placement_types.Inputs,
        target: placement_types.PlacementTarget,
    ) -> None:
        self._log.info(
            "target",
            service=service,
            engines={name: sorted(models) for name, models in target.items()},
            asked={
                name: f"{demand.rate:.1f}/s load {demand.load:.2f}"
                for name, demand in sorted(inputs.demand.items())
                if demand.is_in_demand
            },
        )

    def _end_withdrawals(
        self, service: str, steps: list[placement_types.Step]
    ) -> None:
        """Ends the withdrawals of a service that its plan does not repeat."""
        for key in placement_steps.withdrawals_to_end(self._withdrawn, steps):
            instance_id, target = key
            known = self._state.directory.get(instance_id)
            if known is None or known.entry.service != service:
                continue
            # An unload may be in flight.
            if not self._tracker[instance_id].has_open_call:
                del self._withdrawn[key]
                self._log.info(
                    "serves again", upstream=instance_id, target=target
                )

    def _withdraw(self, step: placement_types.Step, now_s: float) -> None:
        """Stops new requests for a model or an adapter on an engine."""
        key = (step.instance_id, step.target)
        if key in self._withdrawn:
            return
        self._withdrawn[key] = now_s
        self._log.info(
            "withdrawn",
            upstream=step.instance_id,
            target=step.target,
            why=step.reason,
        )

    def _active_withdrawals(self, now_s: float) -> dict[tuple[str, str], float]:
        """Returns the withdrawals in force; drops those not followed up."""
        self._withdrawn = {
            (instance_id, name): at_s
            for (instance_id, name), at_s in self._withdrawn.items()
            if now_s - at_s < WITHDRAWAL_TTL_S
            and instance_id in self._tracker
            and self._tracker[instance_id].inventory.is_held(name)
        }
        return self._withdrawn

    def _budget(
        self, service: str, spec: serving.EngineSpec, now_s: float
    ) -> load_budget.LoadBudget:
        bounds = self._state.bounds
        limits = (
            spec.store_loads_per_s,
            bounds.loads_window_s,
            bounds.loads_overage,
        )
        budget = self._budgets.get(service)
        if budget is None:
            budget = load_budget.LoadBudget(*limits, now_s)
            self._budgets[service] = budget
        # Settings and configurations change while the lease is held.
        budget.set_limits(*limits)
        return budget

    def _start_order(
        self,
        service: str,
        step: placement_types.Step,
        budget: load_budget.LoadBudget,
        now_s: float,
    ) -> None:
        tracked = self._tracker[step.instance_id]
        known = self._state.directory.get(step.instance_id)
        if known is None or tracked.has_open_call:
            return
        model, _, adapter = step.target.partition("/")
        order = serving.EngineOrder(
            step.instance_id,
            known.entry.address,
            step.kind is placement_types.StepKind.LOAD,
            model,
            adapter,
            tracked.inventory.orders,
            self._mesh.roster.me.name,
            self._lease.fence,
        )
        if step.from_store:
            budget.load_started(now_s)
            self._demand_history.from_store.add(step.target)
        elif "/" not in step.target:
            self._demand_history.from_store.discard(step.target)
        tracked.has_open_call = True
        self._spawn(self._send_order(tracked, step, order, budget))

    async def _send_order(
        self,
        tracked: engine_tracker.TrackedEngine,
        step: placement_types.Step,
        order: serving.EngineOrder,
        budget: load_budget.LoadBudget,
    ) -> None:
        loop = event_loop.running()
        sent_s = loop.time()
        answer = serving.OrderAnswer.UNKNOWN
        try:
            # The lease is checked again right before sending: this process may
            # have been suspended since the plan was made.
            if not self._lease.may_order:
                return
            answer = await self._client.order(
                order, lambda: self._lease.may_order
            )
        finally:
            tracked.has_open_call = False
        now_s = loop.time()
        self._tracker.on_order_answer(tracked, step, answer, sent_s, now_s)
        if step.from_store and answer is serving.OrderAnswer.UNKNOWN:
            budget.load_unanswered(now_s)
        self._log.info(
            "order",
            upstream=step.instance_id,
            loads=order.loads,
            target=step.target,
            why=step.reason,
            from_store=step.from_store,
            after=order.expected_order_count,
            fence=order.fence,
            answer=answer.value,
            ms=round((now_s - sent_s) * 1000),
        )
        self._last_plan_s = 0.0
        self._wake.set()


def _recent(
    requests: dict[tuple[str, str, str], float], now_s: float
) -> dict[tuple[str, str, str], float]:
    """Returns the requests that were repeated recently."""
    return {
        key: at_s
        for key, at_s in requests.items()
        if now_s - at_s < PLACEMENT_REQUEST_TTL_S
    }


def _mean_load_s(spec: serving.EngineSpec) -> float:
    times = [model.store_load_s for model in spec.models.values()]
    return sum(times) / len(times) if times else 1.0
