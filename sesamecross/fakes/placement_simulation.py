"""Runs the placement controller on one simulated engine, in virtual time.

Differences between the controller's inventory and the engine depend on the
order of events within a tenth of a second: a report made before an answer, an
order that arrives after the next one, a request that outlasts an unload. Here
the real planner, controller and inventory give orders, and the test decides how
each of them is delivered.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import enum

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.fakes import simulated_engine
from sesamecross.gateway import placement_controller
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import report_totals
from sesamecross.runtime import metrics as metrics_lib

SERVICE = "writers"
ENGINE = "e1"
MODELS = ("m", "n", "o")
ADAPTERS = 4
MODEL_MB = 40.0
ADAPTER_MB = 1.0
# Memory for two models and two adapters.
WEIGHTS_MB = 2 * MODEL_MB + 2 * ADAPTER_MB
ADAPTER_SLOTS = 2
LOAD_S = 0.5
TICK_S = 0.05
# The largest age of an engine's report.
REPORT_LAG_S = 0.3
CAPACITY = simulated_engine.EngineCapacity(
    dict.fromkeys(MODELS, MODEL_MB), WEIGHTS_MB, ADAPTER_MB, ADAPTER_SLOTS
)
SPEC = serving.EngineSpec(
    16,
    100_000,
    WEIGHTS_MB,
    ADAPTER_SLOTS,
    4.0,
    5,
    {
        name: serving.ModelSpec(
            name, MODEL_MB, LOAD_S, LOAD_S, LOAD_S, ADAPTERS, ADAPTER_MB
        )
        for name in MODELS
    },
)
CONFIGURATION = serving.Configuration(
    1,
    (),
    {SERVICE: serving.Service(SERVICE, "/health", 100, SPEC)},
    serving.CallerLimits(),
)
_LOOP_TURNS_PER_TICK = 4


class Delivery(enum.Enum):
    """How an order is delivered to the engine.

    Attributes:
      ANSWERED: It arrives once and is answered.
      DELAYED: It is not answered, and arrives when the test says so, or never.
      ANSWER_LOST: It arrives, but its answer is lost.
      DUPLICATED: It arrives twice; the first answer comes back.
    """

    ANSWERED = "answered"
    DELAYED = "delayed"
    ANSWER_LOST = "answer lost"
    DUPLICATED = "duplicated"


class _StubLease:
    """A lease that never expires."""

    may_order = True
    holds = True

    def __init__(self, fence: int) -> None:
        self.fence = fence


class _StubMesh:
    """A mesh without other members."""

    me = None
    lease = None

    def __init__(self) -> None:
        self.roster = _StubRoster()

    def add_listener(self, listener) -> None:
        """Does nothing: no message arrives."""

    def next_number(self) -> int:
        return 1

    def broadcast(self, message) -> None:
        """Does nothing: there is no recipient."""


class _StubRoster:
    """A roster of this instance only."""

    me = samples.INSTANCE


@dataclasses.dataclass(slots=True)
class _AnsweredOrder:
    """An order that the engine answered, and its answer."""

    order: serving.EngineOrder
    answer: serving.OrderAnswer


class Simulation:
    """An engine, the controller of its placement, and the clock.

    Attributes:
      engine: The true state of the engine.
      deliveries: How the next orders are delivered; all others are answered.
      report_age_s: The age of the engine's reports.
      delayed_orders: Orders that may still arrive.
      requested_targets: Models and adapters that requests wait for.
      answered_orders: Orders in the order in which the engine answered.
    """

    def __init__(self, models: tuple[str, ...] = ("m",)) -> None:
        self.engine = simulated_engine.SimulatedEngine(CAPACITY, models)
        self.deliveries: collections.deque[Delivery] = collections.deque()
        self.report_age_s = 0.0
        self.delayed_orders: list[simulated_engine.Order] = []
        self.requested_targets: set[str] = set()
        self.answered_orders: list[_AnsweredOrder] = []
        self.metrics = metrics_lib.Metrics()
        self.state = state_lib.State(samples.INSTANCE)
        self.state.offer_configuration(CONFIGURATION)
        self._now_s = 1000.0
        self._born_ms = 1
        self._fence = 0
        self._model_order_ends_s: float | None = None
        self._snapshots: collections.deque = collections.deque()
        self._loop = asyncio.new_event_loop()
        self._loop.time = lambda: self._now_s
        self.controller = self._new_controller()
        self._publish_entry()

    def close(self) -> None:
        """Stops the controller and closes the event loop."""
        self._loop.run_until_complete(self.controller.stop())
        self._loop.close()

    # -- what the controller calls ---------------------------------------

    async def report(
        self, _upstream: serving.Upstream
    ) -> serving.EngineReport | None:
        """Returns the engine's report as of `report_age_s` ago."""
        made_s = self._now_s - self.report_age_s
        reported = self._snapshots[0][1]
        for at_s, report in self._snapshots:
            if at_s <= made_s:
                reported = report
        return reported

    async def order(
        self, order: serving.EngineOrder, may_send: Callable[[], bool]
    ) -> serving.OrderAnswer:
        """Delivers an order as the next of `deliveries` says."""
        assert may_send()
        target = f"{order.model}/{order.adapter}".rstrip("/")
        delivered = simulated_engine.Order(
            order.loads, target, order.expected_order_count
        )
        delivery = (
            self.deliveries.popleft() if self.deliveries else Delivery.ANSWERED
        )
        if delivery is Delivery.DELAYED:
            self.delayed_orders.append(delivered)
            return serving.OrderAnswer.UNKNOWN
        answer = self._deliver(delivered)
        if delivery is Delivery.DUPLICATED:
            self._deliver(delivered)
        if delivery is Delivery.ANSWER_LOST:
            return serving.OrderAnswer.UNKNOWN
        self.answered_orders.append(_AnsweredOrder(order, answer))
        return answer

    def _deliver(self, order: simulated_engine.Order) -> serving.OrderAnswer:
        was_busy = self.engine.is_busy
        answer = self.engine.apply(order)
        if self.engine.is_busy and not was_busy:
            self._model_order_ends_s = self._now_s + LOAD_S
        self._record_snapshot()
        return answer

    # -- what the test calls ---------------------------------------------

    def arrives_late(self) -> None:
        """Delivers the oldest delayed order."""
        if self.delayed_orders:
            self._deliver(self.delayed_orders.pop(0))

    def begin_request(self, target: str, is_reported: bool = True) -> None:
        """Begins a request, and reports it to the controller or not."""
        if not self.engine.can_serve(target):
            return
        self.engine.begin_request(target)
        if is_reported:
            self.publish_running_requests()

    def end_request(self, target: str) -> None:
        """Ends a request, and reports it to the controller."""
        if self.engine.running_requests.get(target):
            self.engine.end_request(target)
            self.publish_running_requests()
            self._record_snapshot()

    def offers(self, target: str) -> bool:
        """Whether instances send new requests for a target to the engine."""
        known = self.state.directory.get(ENGINE)
        return known.engine.holds(known.entry, target, self._now_s)

    def expected_s(self, target: str) -> float | None:
        """Returns the published seconds until a target is loaded, if any."""
        ready_at_s = self.state.directory.get(ENGINE).engine.ready_at_s(target)
        return None if ready_at_s is None else ready_at_s - self._now_s

    def publish_running_requests(self) -> None:
        """Reports the running requests to the controller."""
        uses = [
            fm.TargetLoad(ENGINE, target, count)
            for target, count in self.engine.running_requests.items()
        ]
        self.state.fleet_totals = report_totals.aggregate(
            [fm.Report(samples.MEMBER, 0, uses=uses)]
        )

    def restart(self) -> None:
        """Restarts the engine at the same address, empty.

        Drops delayed orders, which were sent to the previous incarnation.
        """
        self._born_ms += 1
        self.engine = simulated_engine.SimulatedEngine(CAPACITY, ())
        self.delayed_orders.clear()
        self._model_order_ends_s = None
        self._snapshots.clear()
        self.publish_running_requests()
        self._publish_entry()

    def change_holder(self) -> None:
        """Gives the lease to another instance, whose inventory is empty."""
        self._loop.run_until_complete(self.controller.stop())
        self.controller = self._new_controller()

    def run(self, seconds: float) -> None:
        """Advances the virtual time, tick by tick."""
        for _ in range(max(1, round(seconds / TICK_S))):
            self._now_s += TICK_S
            self._loop.run_until_complete(self._step())

    async def _step(self) -> None:
        self.engine.complete_adapters()
        if (
            self._model_order_ends_s is not None
            and self._now_s >= self._model_order_ends_s
        ):
            self.engine.complete()
            if not self.engine.is_busy:
                self._model_order_ends_s = None
                self._publish_entry()
        self._record_snapshot()
        for target in sorted(self.requested_targets):
            upstream = ENGINE if "/" in target else ""
            self.controller.request_placement(SERVICE, target, upstream)
        self.controller._tick(self._now_s)
        for _ in range(_LOOP_TURNS_PER_TICK):
            await asyncio.sleep(0)

    def _publish_entry(self) -> None:
        """Updates the directory entry, which lists models but not orders."""
        entry = serving.Upstream(
            ENGINE,
            SERVICE,
            "10.0.1.1:90",
            samples.INSTANCE.zone,
            16,
            False,
            self._born_ms,
            self.engine.held(),
        )
        self.state.directory.update_entry(entry)
        self._record_snapshot()

    def _record_snapshot(self) -> None:
        report = self.engine.report(self._born_ms)
        self._snapshots.append((self._now_s, report))
        oldest_s = self._now_s - REPORT_LAG_S
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= oldest_s:
            self._snapshots.popleft()

    def _new_controller(self) -> placement_controller.PlacementController:
        self._fence += 1
        return placement_controller.PlacementController(
            self.state, _StubMesh(), _StubLease(self._fence), self, self.metrics
        )
