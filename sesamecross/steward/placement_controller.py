"""Plans placement and carries it out: intents first, then orders.

An order may be sent only once its intent is on the log under a lease that was
current at that offset. The next holder then knows every order that may have
been sent. Concurrent loads are counted from the log's intents too, so that the
holders of all zones together stay within the weight store's limits.
"""

import asyncio
import uuid

from returns.result import Success

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.core import records
from sesamecross.ops import applied_loads
from sesamecross.ops import intents
from sesamecross.ops import ledger
from sesamecross.ops import order_outcomes
from sesamecross.ops import placement
from sesamecross.ops import timeline
from sesamecross.ports import engine_http
from sesamecross.runtime import logs
from sesamecross.steward import demand_tracker as demand_tracker_lib
from sesamecross.steward import engine_poller as engine_poller_lib
from sesamecross.steward import lease_manager
from sesamecross.steward import local_replica as local_replica_lib
from sesamecross.steward import log_reader
from sesamecross.steward import log_writer

RESEND_INTERVAL_MS = 3000
POLL_INTERVAL_S = 0.1
INITIAL_REPORT_TIMEOUT_MS = 5000
_LOAD_MODEL = data.OrderAction.LOAD_MODEL
_LOAD_ADAPTER = data.OrderAction.LOAD_ADAPTER


class PlacementController:
    """Component that plans and executes moves while it holds the lease."""

    __slots__ = (
        "_me",
        "_replica",
        "_lease_manager",
        "_reader",
        "_writer",
        "_engine_poller",
        "_engines",
        "_demand_tracker",
        "_clock",
        "_recorder",
        "_plan_interval_s",
        "_move_tasks",
        "_locks",
        "_next_load_ms",
        "_planning_since_ms",
        "_submitted_outcomes",
        "_applied_loads",
        "_logger",
        "shortfalls",
        "applied_order_count",
    )

    def __init__(
        self,
        me: data.Member,
        replica: local_replica_lib.LocalReplica,
        lease: lease_manager.LeaseManager,
        reader: log_reader.LogReader,
        writer: log_writer.LogWriter,
        engine_poller: engine_poller_lib.EnginePoller,
        engines: engine_http.HttpEngine,
        demand_tracker: demand_tracker_lib.DemandTracker,
        clock: clock_lib.Clock,
        recorder: timeline.Recorder,
        plan_ms: int,
    ):
        self._me = me
        self._replica = replica
        self._lease_manager = lease
        self._reader = reader
        self._writer = writer
        self._engine_poller = engine_poller
        self._engines = engines
        self._demand_tracker = demand_tracker
        self._clock = clock
        self._recorder = recorder
        self._plan_interval_s = plan_ms / 1000
        self._move_tasks: dict[tuple[str, str], asyncio.Task] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._next_load_ms = 0
        self._planning_since_ms: int | None = None
        # Ids of orders whose outcome is queued and not yet replayed.
        self._submitted_outcomes: set[str] = set()
        self._applied_loads = applied_loads.AppliedLoads()
        replica.add_listener(self._applied_loads.on_record)
        self._logger = logs.get_logger("mover")
        self.shortfalls: tuple[placement.Shortfall, ...] = ()
        self.applied_order_count = 0

    @property
    def name(self) -> str:
        """The component's name in logs."""
        return "mover"

    async def run(self) -> None:
        """Plans and starts moves until cancelled."""
        while True:
            await asyncio.sleep(self._plan_interval_s)
            lease = self._lease_manager.held_lease()
            if lease is None or not self._reader.reachable:
                continue
            self._settle_inherited()
            if not self._has_all_reports():
                continue
            plan = placement.plan(self.plan_inputs())
            self._publish_shortfalls(plan.shortfalls)
            for move in plan.moves:
                self._start_move(move, lease.offset)

    async def stop(self) -> None:
        """Gives running moves two seconds to be sent and settled.

        Intents that are not settled by then stay unresolved on the log, and
        the next holder settles them.
        """
        tasks = list(self._move_tasks.values())
        if tasks:
            await asyncio.wait(tasks, timeout=2.0)
        for task in self._move_tasks.values():
            task.cancel()

    def _has_all_reports(self) -> bool:
        """Tells whether each engine has a report, or the wait is over.

        A plan made without the reports would see no free memory and no
        resident models.
        """
        now_ms = self._clock.monotonic_ms()
        if self._planning_since_ms is None:
            self._planning_since_ms = now_ms
        if now_ms - self._planning_since_ms >= INITIAL_REPORT_TIMEOUT_MS:
            return True
        engines = self._replica.state.config.declarations.engines()
        return all(
            self._engine_poller.report_of(engine.name) is not None
            for engine in engines
        )

    def plan_inputs(self) -> placement.Inputs:
        """Returns the current inputs of the planner."""
        state = self._replica.state
        declarations = state.config.declarations
        sizes = ledger.sizes_of(declarations)
        accounts = {}
        for engine in declarations.engines():
            report = self._engine_poller.report_of(engine.name)
            usable = report is not None and report.reachable
            if not usable or report.leaving or engine.name in state.draining:
                continue
            unreported = self._applied_loads.unreported(
                report, self._engine_poller.report_version(engine.name)
            )
            accounts[engine.name] = ledger.account(
                engine.memory_mib,
                report,
                intents.of_upstream(state.intents, engine.name) + unreported,
                sizes,
            )
        return placement.Inputs(
            declarations, self._me.zone, accounts, self._demand_tracker.rates()
        )

    def _publish_shortfalls(
        self, shortfalls: tuple[placement.Shortfall, ...]
    ) -> None:
        if shortfalls == self.shortfalls:
            return
        self.shortfalls = shortfalls
        for shortfall in shortfalls:
            self._logger.warning(
                "declaration cannot be satisfied",
                name=shortfall.name,
                reason=shortfall.reason,
                remedy=shortfall.remedy,
            )
            self._recorder.add(
                timeline.EventKind.PLAN,
                f"shortfall: {shortfall.reason}",
                model=shortfall.name,
            )

    def _start_move(self, move: placement.Move, lease_offset: int) -> None:
        key = (move.upstream, move.target)
        if key in self._move_tasks or not self._within_budget(move):
            return
        task = asyncio.create_task(self._execute_move(move, lease_offset))
        self._move_tasks[key] = task
        task.add_done_callback(lambda _: self._move_tasks.pop(key, None))

    def _within_budget(self, move: placement.Move) -> bool:
        store = self._replica.state.config.declarations.store
        unresolved_count = self._count_unresolved(move.action)
        starting_count = sum(
            1 for key in self._move_tasks if not self._is_unresolved(key[1])
        )
        if move.action is _LOAD_ADAPTER:
            return unresolved_count + starting_count < store.adapters_in_transit
        if move.action is not _LOAD_MODEL:
            return True
        if unresolved_count + starting_count >= store.full_speed_loads:
            return False
        now_ms = self._clock.monotonic_ms()
        if now_ms < self._next_load_ms:
            return False
        zones = {
            e.zone for e in self._replica.state.config.declarations.engines()
        }
        # Each zone's holder takes an equal share of the store's load rate,
        # so that the holders need not coordinate.
        interval_ms = 1000 * max(1, len(zones)) / store.loads_per_second
        self._next_load_ms = now_ms + int(interval_ms)
        return True

    def _count_unresolved(self, action: data.OrderAction) -> int:
        unresolved = self._replica.state.intents.unresolved.values()
        return sum(1 for i in unresolved if i.order.action is action)

    def _is_unresolved(self, target: str) -> bool:
        unresolved = self._replica.state.intents.unresolved.values()
        return any(i.order.target == target for i in unresolved)

    async def _execute_move(
        self, move: placement.Move, lease_offset: int
    ) -> None:
        upstream = self._replica.state.config.declarations.upstreams[
            move.upstream
        ]
        lock = self._locks.setdefault(move.upstream, asyncio.Lock())
        async with lock:
            intent = await self._write_intent(move, upstream, lease_offset)
            if intent is None:
                return
            await self._send(intent, upstream)
        await self._settle(intent, upstream)

    async def _write_intent(
        self, move: placement.Move, upstream: data.Upstream, lease_offset: int
    ) -> intents.Intent | None:
        """Appends an intent; returns it if its order may be sent."""
        status = await self._engine_poller.poll(upstream)
        if status is None or status.report.leaving:
            return None
        self._resolve_proved_orders(status, upstream)
        account = ledger.account(
            upstream.memory_mib,
            status.report,
            intents.of_upstream(self._replica.state.intents, upstream.name),
            ledger.sizes_of(self._replica.state.config.declarations),
        )
        if not _is_still_valid(move, account):
            return None
        order = data.Order(
            uuid.uuid4().hex,
            upstream.name,
            status.report.epoch,
            move.action,
            move.target,
            move.version,
            move.memory_mib,
        )
        record = records.IntentWritten(self._me.zone, lease_offset, order)
        future = self._replica.result_future(record)
        try:
            self._writer.submit(record)
        except log_writer.QueueFullError:
            self._replica.cancel_wait(record, future)
            return None
        intent = await future
        if intent is None:
            # The lease was superseded earlier on the log: another holder
            # plans now, and this order must never be sent.
            self._recorder.add(
                timeline.EventKind.INTENT,
                "intent does not count, the lease is superseded",
                model=move.target,
                upstream=move.upstream,
            )
            return None
        self._recorder.add(
            timeline.EventKind.INTENT,
            f"{move.action.value}: {move.reason}",
            model=move.target,
            upstream=move.upstream,
        )
        return intent

    async def _send(
        self, intent: intents.Intent, upstream: data.Upstream
    ) -> None:
        result = await asyncio.to_thread(
            self._engines.send_order, upstream.url, intent.order, intent.fence
        )
        answer = "no answer"
        if isinstance(result, Success):
            answer = result.unwrap().value
        self._recorder.add(
            timeline.EventKind.ORDER,
            f"{intent.order.action.value} sent, fence {intent.fence}: {answer}",
            model=intent.order.target,
            upstream=upstream.name,
        )

    async def _settle(
        self, intent: intents.Intent, upstream: data.Upstream
    ) -> None:
        """Polls the engine until the order's outcome is proved."""
        sent_ms = self._clock.monotonic_ms()
        while self._is_open(intent):
            await asyncio.sleep(POLL_INTERVAL_S)
            status = await self._engine_poller.poll(upstream)
            if status is None:
                continue
            self._resolve_proved_orders(status, upstream)
            is_known = intent.order.order_id in status.orders
            now_ms = self._clock.monotonic_ms()
            if is_known or now_ms - sent_ms < RESEND_INTERVAL_MS:
                continue
            if self._lease_manager.held_lease() is None:
                return
            # The order was lost in transit. The engine ignores an order id
            # that it has seen, so sending it again is safe.
            sent_ms = now_ms
            await self._send(intent, upstream)

    def _is_open(self, intent: intents.Intent) -> bool:
        return intent.order.order_id in self._replica.state.intents.unresolved

    def _settle_inherited(self) -> None:
        """Settles unresolved intents of the zone that have no task here.

        An earlier holder or incarnation left them behind.
        """
        state = self._replica.state
        for intent in list(state.intents.unresolved.values()):
            if intent.zone != self._me.zone:
                continue
            key = (intent.order.upstream, intent.order.target)
            upstream = state.config.declarations.upstreams.get(key[0])
            if key in self._move_tasks or upstream is None:
                continue
            task = asyncio.create_task(self._settle(intent, upstream))
            self._move_tasks[key] = task
            task.add_done_callback(
                lambda _, key=key: self._move_tasks.pop(key, None)
            )

    def _resolve_proved_orders(
        self, status: engine_http.EngineStatus, upstream: data.Upstream
    ) -> None:
        """Appends each order outcome that the engine's status proves."""
        if self._lease_manager.held_lease() is None:
            return
        state = self._replica.state
        self._submitted_outcomes &= state.intents.unresolved.keys()
        for intent in intents.of_upstream(state.intents, upstream.name):
            if intent.order.order_id in self._submitted_outcomes:
                continue
            outcome = order_outcomes.outcome_of(
                intent, status, upstream.checks_fencing
            )
            if outcome is None:
                continue
            record = records.IntentResolved(intent.order.order_id, outcome)
            try:
                self._writer.submit(record)
            except log_writer.QueueFullError:
                return
            self._submitted_outcomes.add(intent.order.order_id)
            if outcome is records.IntentOutcome.APPLIED:
                self.applied_order_count += 1
            self._recorder.add(
                timeline.EventKind.INTENT,
                f"{intent.order.action.value} is {outcome.value}",
                model=intent.order.target,
                upstream=upstream.name,
            )


def _is_still_valid(move: placement.Move, account: ledger.Account) -> bool:
    if move.action.loads:
        fits = move.memory_mib <= account.free_mib
        return fits and move.target not in account.held
    return move.target in account.held
