"""Lets the giver of orders work on one stand-in engine, on a clock of its own.

Why: what goes wrong between the books and an engine depends on the order of
events to a tenth of a second: a report made before an answer, an order that
arrives after the next one, a request that outlasts an unload. Here the real
planner, desk and books give orders, and the test decides what becomes of each.
"""

import asyncio
import collections
import dataclasses
import enum

from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.fakes import simulated_engine
from sesamecross.gateway import placement_controller
from sesamecross.gateway import state as state_lib
from sesamecross.runtime import metrics as metrics_lib

SERVICE = "writers"
ENGINE = "e1"
MODELS = ("m", "n", "o")
ADAPTERS = 4
MODEL_MB = 40.0
ADAPTER_MB = 1.0
# Two models and two adapters fit.
ROOM_MB = 2 * MODEL_MB + 2 * ADAPTER_MB
ADAPTER_SLOTS = 2
LOAD_S = 0.5
TICK_S = 0.05
# Engines describe themselves as they were up to this long ago.
REPORT_LAG_S = 0.3
ROOM = simulated_engine.EngineCapacity(
    dict.fromkeys(MODELS, MODEL_MB), ROOM_MB, ADAPTER_MB, ADAPTER_SLOTS
)
SPEC = serving.EngineSpec(
    16,
    100_000,
    ROOM_MB,
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
_TURNS_OF_THE_LOOP = 4


class Delivery(enum.Enum):
    """What becomes of a call to the engine.

    Attributes:
      ANSWERED: It arrives once and is answered.
      LATE: It is not answered, and arrives when the test says so, or never.
      ANSWER_LOST: It arrives, and its answer does not.
      DOUBLED: It arrives twice; the first answer comes back.
    """

    ANSWERED = "answered"
    LATE = "late"
    ANSWER_LOST = "answer lost"
    DOUBLED = "doubled"


class _Lease:
    """Is held for ever."""

    may_order = True
    holds = True

    def __init__(self, fence: int) -> None:
        self.fence = fence


class _Mesh:
    """Nobody else is there."""

    me = None
    lease = None

    def __init__(self) -> None:
        self.roster = _Roster()

    def add_listener(self, listener) -> None:
        """Nothing is heard."""

    def next_number(self) -> int:
        return 1

    def broadcast(self, message) -> None:
        """Nobody is told."""


class _Roster:
    """Knows this instance only."""

    me = samples.INSTANCE


@dataclasses.dataclass(slots=True)
class _Answered:
    """An order that the engine answered, for tests to look at."""

    order: serving.EngineOrder
    answer: serving.OrderAnswer


class Simulation:
    """An engine, its books, and the clock.

    Attributes:
      engine: What the engine really holds.
      fates: What becomes of the next orders; all others are answered.
      report_age_s: How old the engine's word on itself is.
      late: Orders that may still arrive.
      wanted: Adapters and models that requests wait for.
      answered: Orders in the order in which the engine answered.
    """

    def __init__(self, models: tuple[str, ...] = ("m",)) -> None:
        self.engine = simulated_engine.SimulatedEngine(ROOM, models)
        self.deliveries: collections.deque[Delivery] = collections.deque()
        self.report_age_s = 0.0
        self.delayed_orders: list[simulated_engine.Order] = []
        self.requested_targets: set[str] = set()
        self.answered: list[_Answered] = []
        self.metrics = metrics_lib.Metrics()
        self.state = state_lib.State(samples.INSTANCE)
        self.state.offer_configuration(CONFIGURATION)
        self._now_s = 1000.0
        self._born_ms = 1
        self._fence = 0
        self._loaded_at_s: float | None = None
        self._snapshots: collections.deque = collections.deque()
        self._loop = asyncio.new_event_loop()
        self._loop.time = lambda: self._now_s
        self.controller = self._new_desk()
        self._register()

    def close(self) -> None:
        """Ends the loop."""
        self._loop.run_until_complete(self.controller.stop())
        self._loop.close()

    # -- what the desk calls ---------------------------------------------

    async def report(
        self, _upstream: serving.Upstream
    ) -> serving.EngineReport | None:
        """Answers as the engine was some time ago."""
        made_s = self._now_s - self.report_age_s
        found = self._snapshots[0][1]
        for at_s, report in self._snapshots:
            if at_s <= made_s:
                found = report
        return found

    async def order(self, order: serving.EngineOrder) -> serving.OrderAnswer:
        """Lets an order arrive, late, twice or not at all."""
        target = f"{order.model}/{order.adapter}".rstrip("/")
        sent = simulated_engine.Order(
            order.loads, target, order.expected_order_count
        )
        fate = (
            self.deliveries.popleft() if self.deliveries else Delivery.ANSWERED
        )
        if fate is Delivery.LATE:
            self.delayed_orders.append(sent)
            return serving.OrderAnswer.UNKNOWN
        answer = self._arrive(sent)
        if fate is Delivery.DOUBLED:
            self._arrive(sent)
        if fate is Delivery.ANSWER_LOST:
            return serving.OrderAnswer.UNKNOWN
        self.answered.append(_Answered(order, answer))
        return answer

    def _arrive(self, order: simulated_engine.Order) -> serving.OrderAnswer:
        was_busy = self.engine.is_busy
        answer = self.engine.apply(order)
        if self.engine.is_busy and not was_busy:
            self._loaded_at_s = self._now_s + LOAD_S
        self._remember()
        return answer

    # -- what the test does ----------------------------------------------

    def arrives_late(self) -> None:
        """Lets the oldest order on its way arrive after all."""
        if self.delayed_orders:
            self._arrive(self.delayed_orders.pop(0))

    def begin_request(self, target: str, is_reported: bool = True) -> None:
        """A request begins to run; the giver of orders hears of it or not."""
        if not self.engine.can_serve(target):
            return
        self.engine.begin_request(target)
        if is_reported:
            self.tell_uses()

    def end_request(self, target: str) -> None:
        """A request ends, and everybody hears of it."""
        if self.engine.running_requests.get(target):
            self.engine.end_request(target)
            self.tell_uses()
            self._remember()

    def tell_uses(self) -> None:
        """The giver of orders hears which requests run."""
        self.state.fleet_uses = {
            (ENGINE, target): count
            for target, count in self.engine.running_requests.items()
        }

    def restart(self) -> None:
        """The engine begins a new life at its address, empty.

        Orders that are still on their way were meant for the one before.
        """
        self._born_ms += 1
        self.engine = simulated_engine.SimulatedEngine(ROOM, ())
        self.delayed_orders.clear()
        self._loaded_at_s = None
        self._snapshots.clear()
        self.tell_uses()
        self._register()

    def change_holder(self) -> None:
        """Another instance gives orders from now on, with empty books."""
        self._loop.run_until_complete(self.controller.stop())
        self.controller = self._new_desk()

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(max(1, round(seconds / TICK_S))):
            self._now_s += TICK_S
            self._loop.run_until_complete(self._step())

    async def _step(self) -> None:
        self.engine.complete_adapters()
        if self._loaded_at_s is not None and self._now_s >= self._loaded_at_s:
            self.engine.complete()
            if not self.engine.is_busy:
                self._loaded_at_s = None
                self._register()
        self._remember()
        for target in sorted(self.requested_targets):
            upstream = ENGINE if "/" in target else ""
            self.controller.want(SERVICE, target, upstream)
        self.controller._tick(self._now_s)
        for _ in range(_TURNS_OF_THE_LOOP):
            await asyncio.sleep(0)

    def _register(self) -> None:
        """The engine's entry tells what it holds, and nothing of orders."""
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
        self.state.directory.update_entry(entry, self._now_s)
        self._remember()

    def _remember(self) -> None:
        report = self.engine.report(self._born_ms)
        self._snapshots.append((self._now_s, report))
        oldest_s = self._now_s - REPORT_LAG_S
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= oldest_s:
            self._snapshots.popleft()

    def _new_desk(self) -> placement_controller.PlacementController:
        self._fence += 1
        return placement_controller.PlacementController(
            self.state, _Mesh(), _Lease(self._fence), self, self.metrics
        )
