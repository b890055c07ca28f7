"""Gives orders to engines while this instance holds the lease.

Why: the planner decides from books that have to be kept: what each engine
holds, which order it has not answered, when a load is due. Everything here is
forgotten when the lease is lost, and learned anew from the engines when it is
taken: nothing has to be handed over.
"""

import asyncio
import contextlib

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.gateway import engine_client
from sesamecross.gateway import engine_tracker
from sesamecross.gateway import lease_manager
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import placement_publisher
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import demand_history
from sesamecross.ops.fleet import duty_cycle
from sesamecross.ops.fleet import load_budget
from sesamecross.ops.fleet import placement_steps
from sesamecross.ops.fleet import placement_swaps
from sesamecross.ops.fleet import placement_target
from sesamecross.ops.fleet import placement_types
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib

TICK_S = 0.05
# Answers and wants wake it by the hundred a second. After each look at all
# engines it rests for this many times as long.
TICK_RESTS = 4.0
# Planning looks at all engines and models; between two looks only what
# somebody waits for is new.
PLAN_S = 0.1
# After a plan, until the next one: this many times what it took.
PLAN_RESTS = 4.0
# The target is looked at anew this often: a plan of 6 engines and 20 models
# takes some milliseconds, and what it rests on changes no faster.
TARGET_S = 0.15
# And no sooner than after this many times what the last look took: at 56
# engines and 135 models one takes 25 to 50 ms of a whole core, and the one who
# plans has half of one and callers to serve.
TARGET_RESTS = 5.0
# A want is repeated while the request waits; without that it lapses.
WANT_S = 0.6
# All requests of an instance that wait for the same say so this often together.
WANT_AGAIN_S = 0.25
# After it began to give orders, and after the first requests, until all
# instances' demand has arrived by way of their hubs. What requests wait for is
# told sooner than what they find: a busy model would be unloaded for it.
DEMAND_S = 0.7
# After an engine came, until others that start with it have come as well: they
# register within some seconds of each other.
ENGINES_S = 4.0
# A withdrawn model serves again if it was not unloaded by then: its requests
# last longer than its room is worth waiting for.
WITHDRAWN_S = 8.0


class PlacementController:
    """Component that plans and orders."""

    is_vital = False
    name = "orders"

    def __init__(
        self,
        state: state_lib.State,
        mesh: mesh_lib.Mesh,
        lease: lease_manager.LeaseManager,
        client: engine_client.EngineClient,
        metrics: metrics_lib.Metrics,
    ):
        self._state = state
        self._mesh = mesh
        self._lease = lease
        self._client = client
        self._metrics = metrics
        self._log = logs.part("orders")
        self._books = engine_tracker.EngineTracker(
            state,
            client,
            metrics,
            lambda work: self._spawn(work),
            lambda: self._wake.set(),
        )
        self._wants: dict[tuple[str, str, str], float] = {}
        self._teller = placement_publisher.PlacementPublisher(state, mesh)
        self._memory = demand_history.DemandHistory()
        self._budgets: dict[str, load_budget.LoadBudget] = {}
        self._withdrawn: dict[tuple[str, str], float] = {}
        self._targets: dict[str, placement_types.PlacementTarget] = {}
        # When models that wait for room are expected, by engine and model.
        self._planned: dict[str, dict[str, float]] = {}
        # When the target is looked at next, by service.
        self._aim_s: dict[str, float] = {}
        # The configuration with which a service's plan failed.
        self._failed_plans: dict[str, int] = {}
        self._is_active = False
        self._planned_s = 0.0
        self._ticking = duty_cycle.DutyCycle(TICK_RESTS)
        self._planning = duty_cycle.DutyCycle(PLAN_RESTS)
        self._said = duty_cycle.Cooldown(WANT_AGAIN_S)
        self._begun_s = 0.0
        self._calls: set[asyncio.Task] = set()
        self._wake = asyncio.Event()
        mesh.add_listener(self._on_message)

    async def run(self) -> None:
        """Works while the lease is held, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            await asyncio.sleep(max(0.0, self._ticking.free_s - loop.time()))
            self._wake.clear()
            begun_s = loop.time()
            planned_s = self._tick(begun_s)
            ended_s = loop.time()
            self._ticking.done(begun_s, ended_s - planned_s)
            self._note_work(planned_s, ended_s - begun_s - planned_s)

    def _note_work(self, planned_s: float, looked_s: float) -> None:
        """Counts the time that orders take from the instance's callers."""
        for work, took_s in (("plan", planned_s), ("look", looked_s)):
            if took_s > 0:
                self._metrics.observe(
                    "sesamecross_orders_work_seconds",
                    "Time of one plan, or of one look at engines without it.",
                    {"work": work},
                    took_s,
                )

    async def stop(self) -> None:
        """Orders under way are left to themselves."""
        for task in self._calls:
            task.cancel()

    # -- wants ---------------------------------------------------------

    def want(self, service: str, target: str, upstream: str) -> None:
        """A request of this instance waits for a target."""
        lease = self._mesh.lease
        now_s = asyncio.get_running_loop().time()
        if self._lease.holds:
            if self._said.is_due(("", service, target, upstream), now_s):
                self._note_want(service, target, upstream)
        elif lease is not None and self._mesh.roster is not None:
            holder = self._mesh.roster.get(lease.holder)
            if holder is None or self._mesh.transport is None:
                return
            what = (lease.holder, service, target, upstream)
            if self._said.is_due(what, now_s):
                number = self._mesh.next_number()
                self._mesh.send(
                    fm.PlacementRequest(
                        self._mesh.me, number, service, target, upstream
                    ),
                    holder,
                )

    def _on_message(self, message: fm.Message) -> None:
        match message:
            case fm.PlacementRequest(me=me, service=service, target=target):
                if self._lease.holds:
                    self._teller.waits(target, me.name)
                    self._note_want(service, target, message.upstream)
            case fm.Placement():
                self._teller.take(message)

    def _note_want(self, service: str, target: str, upstream: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self._wants[(service, target, upstream)] = now_s
        self._planned_s = 0.0
        self._wake.set()

    def _tell(self, now_s: float) -> None:
        """Tells what engines hold, of those that have reported.

        The books on the others are empty. All instances believe what is told
        more than an engine's own entry, and would refuse requests for models
        that it lists. Of an engine that nothing is told of, its entry counts,
        or what was told before this instance took the lease.
        """
        withdrawn: dict[str, set[str]] = {}
        for instance_id, model in self._withdrawn:
            withdrawn.setdefault(instance_id, set()).add(model)
        places = [
            placement_publisher.engine_place(
                book.inventory,
                withdrawn.get(instance_id, set()),
                self._planned.get(instance_id, {}),
                now_s,
            )
            for instance_id, book in self._books.items()
            if book.inventory.has_reported
        ]
        self._teller.tell(places, self._lease.fence, now_s)

    # -- the work ------------------------------------------------------

    def _tick(self, now_s: float) -> float:
        """Does what is due; returns how much of the time went into a plan."""
        if not self._lease.may_order:
            if self._is_active:
                self._deactivate()
            return 0.0
        if not self._is_active:
            self._log.info("begins", fence=self._lease.fence)
            self._is_active = True
            self._begun_s = now_s
        self._books.follow(self._engines(), now_s)
        self._books.ask(now_s)
        self._books.advance(now_s)
        planned_s = 0.0
        is_due = now_s - self._planned_s >= PLAN_S
        if is_due and self._planning.may_begin(now_s):
            self._planned_s = now_s
            begun_s = asyncio.get_running_loop().time()
            self._plan(now_s)
            ended_s = asyncio.get_running_loop().time()
            self._planning.done(begun_s, ended_s)
            planned_s = ended_s - begun_s
        self._tell(now_s)
        return planned_s

    def _deactivate(self) -> None:
        self._log.info("ends")
        self._is_active = False
        self._books.clear()
        self._budgets.clear()
        self._wants.clear()
        self._withdrawn.clear()
        self._targets.clear()
        self._planned.clear()
        self._aim_s.clear()
        self._teller.forget()

    def _engine_spec(self, service: str) -> serving.EngineSpec | None:
        configuration = self._state.configuration
        known = configuration.services.get(service) if configuration else None
        return known.engine if known is not None else None

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
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    # -- planning ------------------------------------------------------

    def _plan(self, now_s: float) -> None:
        by_service: dict[str, list[placement_types.Engine]] = {}
        for instance_id, book in self._books.items():
            known = self._state.directory.get(instance_id)
            if known is None:
                continue
            by_service.setdefault(known.entry.service, []).append(
                placement_types.Engine(
                    book.inventory,
                    book.is_free(now_s),
                    known.is_leaving or known.is_down(now_s),
                )
            )
        self._wants = {
            key: at_s
            for key, at_s in self._wants.items()
            if now_s - at_s < WANT_S
        }
        for service, engines in by_service.items():
            try:
                self._plan_service(service, tuple(engines), now_s)
            except Exception:
                self._note_failed_plan(service)

    def _note_failed_plan(self, service: str) -> None:
        """Tells of a plan that failed, once for each configuration.

        It fails again at each try until operators declare something else. If
        it went further, no service would get orders any more, here and at
        each instance that takes over.
        """
        if self._failed_plans.get(service) != self._state.version:
            self._failed_plans[service] = self._state.version
            self._log.exception("a service can't be planned", service=service)

    def _plan_service(
        self,
        service: str,
        engines: tuple[placement_types.Engine, ...],
        now_s: float,
    ) -> None:
        spec = self._engine_spec(service)
        budget = self._budget(service, spec, now_s)
        at_once = max(1, round(spec.store_loads_per_s * _mean_load_s(spec)))
        loading = sum(
            1
            for engine in engines
            for target, at_s in engine.inventory.arriving.items()
            if "/" not in target and target in self._memory.from_store
        )
        demand = self._memory.demand(
            service,
            spec,
            self._state.fleet_demand,
            self._state.fleet_uses,
            {
                name
                for engine in engines
                for name in engine.inventory.all_models()
            },
            self._wants,
            now_s,
        )
        demand_age_s = min(
            now_s - self._begun_s, self._memory.demand_age_s(now_s)
        )
        inputs = placement_types.Inputs(
            spec,
            engines,
            demand,
            self._state.fleet_uses,
            self._withdrawals(now_s),
            self._targets.get(service, {}),
            tuple(
                placement_types.AdapterWant(upstream, target)
                for (of, target, upstream) in self._wants
                if of == service and upstream and "/" in target
            ),
            store_loads=(
                max(0, at_once - loading) if budget.allows(now_s) else 0
            ),
            is_demand_known=demand_age_s >= DEMAND_S,
            are_engines_known=now_s - self._books.engine_came_s >= ENGINES_S,
            now_s=now_s,
            used_s=self._memory.last_used(self._state.fleet_uses, now_s),
        )
        target = self._target(service, inputs)
        steps = placement_steps.steps(inputs, target)
        self._serve_again(service, steps)
        for step in steps:
            if step.kind is placement_types.StepKind.WITHDRAW:
                self._withdraw(step, now_s)
            elif not step.from_store or budget.allows(now_s):
                self._give(service, step, budget, now_s)

    def _target(
        self, service: str, inputs: placement_types.Inputs
    ) -> placement_types.PlacementTarget:
        """Returns what engines should hold; looks at it anew now and then."""
        now_s = inputs.now_s
        if now_s < self._aim_s.get(service, 0.0):
            return self._targets[service]
        if inputs.is_demand_known:
            target = placement_target.plan_target(inputs)
        else:
            # What models are worth is not known: only free room is filled.
            target = placement_target.fill_free_room(inputs)
        if self._targets.get(service) != target:
            self._log_target(service, inputs, target)
        self._targets[service] = target
        for name, waits in placement_swaps.ready_times_s(
            inputs, target
        ).items():
            self._planned[name] = {
                model: now_s + wait_s for model, wait_s in waits.items()
            }
        took_s = asyncio.get_running_loop().time() - now_s
        self._aim_s[service] = now_s + max(TARGET_S, took_s * TARGET_RESTS)
        return target

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
                name: f"{one.rate:.1f}/s load {one.load:.2f}"
                for name, one in sorted(inputs.demand.items())
                if one.is_in_demand
            },
        )

    def _serve_again(
        self, service: str, steps: list[placement_types.Step]
    ) -> None:
        """Ends the withdrawals of a service that its plan does not repeat."""
        for key in placement_steps.withdrawals_to_end(self._withdrawn, steps):
            instance_id, target = key
            known = self._state.directory.get(instance_id)
            if known is None or known.entry.service != service:
                continue
            # An unload may be on its way.
            if not self._books[instance_id].is_calling:
                del self._withdrawn[key]
                self._log.info(
                    "serves again", upstream=instance_id, target=target
                )

    def _withdraw(self, step: placement_types.Step, now_s: float) -> None:
        """Instances are told to send no new requests for a model there."""
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

    def _withdrawals(self, now_s: float) -> dict[tuple[str, str], float]:
        """Returns what is withdrawn; forgets what was not followed up."""
        self._withdrawn = {
            (instance_id, name): at_s
            for (instance_id, name), at_s in self._withdrawn.items()
            if now_s - at_s < WITHDRAWN_S
            and instance_id in self._books
            and name in self._books[instance_id].inventory.models
        }
        return self._withdrawn

    def _budget(
        self, service: str, spec: serving.EngineSpec, now_s: float
    ) -> load_budget.LoadBudget:
        bounds = self._state.bounds
        figures = (
            spec.store_loads_per_s,
            bounds.loads_window_s,
            bounds.loads_overage,
        )
        budget = self._budgets.get(service)
        if budget is None:
            budget = load_budget.LoadBudget(*figures, now_s)
            self._budgets[service] = budget
        # Settings and configurations change while the lease is held.
        budget.set_limits(*figures)
        return budget

    def _give(
        self,
        service: str,
        step: placement_types.Step,
        budget: load_budget.LoadBudget,
        now_s: float,
    ) -> None:
        book = self._books[step.instance_id]
        known = self._state.directory.get(step.instance_id)
        if known is None or book.is_calling:
            return
        model, _, adapter = step.target.partition("/")
        order = serving.EngineOrder(
            step.instance_id,
            known.entry.address,
            step.kind is placement_types.StepKind.LOAD,
            model,
            adapter,
            book.inventory.orders,
            self._mesh.roster.me.name,
            self._lease.fence,
        )
        if step.from_store:
            budget.load_started(now_s)
            self._memory.from_store.add(step.target)
        elif "/" not in step.target:
            self._memory.from_store.discard(step.target)
        book.is_calling = True
        self._spawn(self._order(book, step, order, budget))

    async def _order(
        self,
        book: engine_tracker.TrackedEngine,
        step: placement_types.Step,
        order: serving.EngineOrder,
        budget: load_budget.LoadBudget,
    ) -> None:
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        answer = serving.OrderAnswer.UNKNOWN
        try:
            # The lease is looked at again at the very last moment: this
            # process may have slept since the plan was made.
            if not self._lease.may_order:
                return
            answer = await self._client.order(order)
        finally:
            book.is_calling = False
        now_s = loop.time()
        self._books.note_answer(book, step, answer, sent_s, now_s)
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
        self._planned_s = 0.0
        self._wake.set()


def _mean_load_s(spec: serving.EngineSpec) -> float:
    times = [model.store_load_s for model in spec.models.values()]
    return sum(times) / len(times) if times else 1.0
