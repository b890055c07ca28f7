"""Tracks engines by their entries, order answers and reports.

An order is valid only for what an engine holds at a certain count of orders. An
engine is asked for a report whenever its tracked state is uncertain. A report
that follows refused orders shows which of two causes applies: another order was
under way, or the tracked count of orders differed from the engine's.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import enum
from typing import Any

import msgspec

from sesamecross.core import serving
from sesamecross.gateway import engine_client
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import engine_inventory
from sesamecross.ops.fleet import placement_types
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib

# How long after a conflict or a lost answer until the engine's report covers
# it.
REQUERY_DELAY_S = 0.25
# An engine is asked for a report after this many conflicts in a row. A single
# conflict is usually an unload that waits for a model's last requests.
CONFLICTS_BEFORE_QUERY = 2
# How often to check whether an adapter being unloaded is gone: its requests
# last for seconds.
UNLOAD_CHECK_INTERVAL_S = 0.5
# How long a load may be overdue before the engine is asked.
LOAD_OVERDUE_S = 0.15
# A model without requests is gone this soon after its unload was accepted.
UNLOAD_SETTLE_S = 0.03

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class ConflictCause(enum.Enum):
    """Why an engine refused orders, according to its next report.

    Attributes:
      UNDER_WAY: Another order is under way there.
      COUNT: The tracked count of orders differs from the engine's.
      OVER: Neither applies any more.
    """

    UNDER_WAY = "another order under way"
    COUNT = "another count"
    OVER = "over"


def conflict_cause(
    expected_orders: int, report: serving.EngineReport
) -> ConflictCause:
    """Returns why an engine refused orders, as far as its report shows.

    Args:
      expected_orders: The tracked count of orders.
      report: The engine's report after the refusals.
    """
    if report.orders != expected_orders:
        return ConflictCause.COUNT
    if report.is_busy:
        return ConflictCause.UNDER_WAY
    return ConflictCause.OVER


class TrackedEngine(msgspec.Struct):
    """One engine's inventory and the state of calls to it.

    Attributes:
      has_open_call: A report request or an order has not been answered yet.
      not_before_s: Neither report requests nor orders are sent before then.
      next_unload_check_s: When to check next whether adapters being unloaded
        are gone.
      conflicts: Number of consecutive orders that met a conflict.
    """

    inventory: engine_inventory.EngineInventory
    has_open_call: bool = False
    not_before_s: float = 0.0
    next_unload_check_s: float = 0.0
    conflicts: int = 0

    def can_take_order(self, now_s: float) -> bool:
        """Returns whether an order may be sent now."""
        is_loading = any("/" not in target for target in self.inventory.loading)
        return (
            not self.has_open_call
            and self.inventory.is_fully_known
            and not is_loading
            and now_s >= self.not_before_s
        )

    def needs_report(self, now_s: float) -> bool:
        """Returns whether a report is needed: state is uncertain or overdue."""
        is_overdue = any(
            "/" not in target and at_s + LOAD_OVERDUE_S <= now_s
            for target, at_s in self.inventory.loading.items()
        )
        is_refused = self.conflicts >= CONFLICTS_BEFORE_QUERY
        return not self.inventory.is_fully_known or is_overdue or is_refused


class EngineTracker:
    """The tracked state of all engines; empty when the lease is acquired.

    Attributes:
      last_engine_added_s: When an engine was last seen for the first time.
    """

    __slots__ = (
        "last_engine_added_s",
        "_state",
        "_client",
        "_metrics",
        "_spawn",
        "_wake",
        "_log",
        "_tracked",
    )

    def __init__(
        self,
        state: state_lib.State,
        client: engine_client.EngineClient,
        metrics: metrics_lib.Metrics,
        spawn: Spawn,
        wake: Callable[[], None],
    ):
        """Initializes the tracker.

        Args:
          state: The known engines.
          client: Requests their reports.
          metrics: Counts refused orders.
          spawn: Runs a report request in the background.
          wake: Called when an engine has reported.
        """
        self.last_engine_added_s = 0.0
        self._state = state
        self._client = client
        self._metrics = metrics
        self._spawn = spawn
        self._wake = wake
        self._log = logs.get_logger("orders")
        self._tracked: dict[str, TrackedEngine] = {}

    def __getitem__(self, instance_id: str) -> TrackedEngine:
        return self._tracked[instance_id]

    def __contains__(self, instance_id: str) -> bool:
        return instance_id in self._tracked

    def items(self) -> Iterable[tuple[str, TrackedEngine]]:
        """Returns the tracked engines by instance id."""
        return self._tracked.items()

    def clear(self) -> None:
        """Discards all state: another instance gives orders from now on."""
        self._tracked.clear()

    def update_engines(
        self, engines: Iterable[serving.Upstream], now_s: float
    ) -> None:
        """Updates the tracked engines from the entries of all known engines."""
        seen = set()
        for entry in engines:
            seen.add(entry.instance_id)
            tracked = self._tracked.get(entry.instance_id)
            if tracked is None or tracked.inventory.born_ms != entry.born_ms:
                tracked = TrackedEngine(
                    engine_inventory.EngineInventory(
                        entry.instance_id, entry.born_ms
                    )
                )
                self.last_engine_added_s = now_s
                self._tracked[entry.instance_id] = tracked
            tracked.inventory.apply_entry(entry)
        for instance_id in set(self._tracked) - seen:
            del self._tracked[instance_id]

    def apply_expected_loads(self, now_s: float) -> None:
        """Marks adapters whose load time has passed as loaded."""
        for tracked in self._tracked.values():
            tracked.inventory.complete_due_adapters(now_s)

    # -- reports -------------------------------------------------------

    def request_reports(self, now_s: float) -> None:
        """Requests reports from engines with uncertain or overdue state."""
        for instance_id, tracked in self._tracked.items():
            if tracked.has_open_call or now_s < tracked.not_before_s:
                continue
            needs_report = tracked.needs_report(now_s)
            has_unloading_adapters = (
                tracked.inventory.unloading_adapters()
                and now_s >= tracked.next_unload_check_s
            )
            if not needs_report and not has_unloading_adapters:
                continue
            known = self._state.directory.get(instance_id)
            if known is not None and not known.is_down(now_s):
                tracked.next_unload_check_s = now_s + UNLOAD_CHECK_INTERVAL_S
                if needs_report:
                    tracked.not_before_s = now_s + REQUERY_DELAY_S
                self._spawn(self._request_report(tracked, known))

    async def _request_report(
        self, tracked: TrackedEngine, known: directory_lib.KnownUpstream
    ) -> None:
        loop = event_loop.running()
        tracked.has_open_call = True
        requested_s = loop.time()
        try:
            report = await self._client.report(known.entry)
        finally:
            tracked.has_open_call = False
        if report is None:
            tracked.not_before_s = loop.time() + 2 * REQUERY_DELAY_S
            return
        before = tracked.inventory.orders
        had_reported = tracked.inventory.has_reported
        tracked.inventory.apply_report(report, requested_s, loop.time())
        if tracked.conflicts:
            self._record_conflicts(tracked, before, report)
        if had_reported and tracked.inventory.orders != before:
            self._log.info(
                "books corrected",
                upstream=tracked.inventory.instance_id,
                books=before,
                engine=report.orders,
            )
        tracked.conflicts = 0
        self._wake()

    def _record_conflicts(
        self, tracked: TrackedEngine, before: int, report: serving.EngineReport
    ) -> None:
        cause = conflict_cause(before, report)
        self._log.warning(
            "refused in a row",
            upstream=tracked.inventory.instance_id,
            conflicts=tracked.conflicts,
            why=cause.value,
            books=before,
            engine=report.orders,
        )
        self._metrics.count(
            "sesamecross_order_conflicts_total",
            "Orders that engines refused, by what a report then said.",
            {"why": cause.value},
            tracked.conflicts,
        )

    # -- answers -------------------------------------------------------

    def on_order_answer(
        self,
        tracked: TrackedEngine,
        step: placement_types.Step,
        answer: serving.OrderAnswer,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Applies an engine's answer to an order.

        Args:
          tracked: The engine.
          step: The step that was ordered.
          answer: The engine's answer.
          sent_s: When the order was sent.
          now_s: Monotonic time.
        """
        inventory = tracked.inventory
        loads = step.kind is placement_types.StepKind.LOAD
        match answer:
            case serving.OrderAnswer.ACCEPTED:
                tracked.conflicts = 0
                inventory.order_accepted(
                    loads, step.target, sent_s + step.takes_s, now_s
                )
                if not loads:
                    tracked.not_before_s = now_s + UNLOAD_SETTLE_S
                    tracked.next_unload_check_s = (
                        now_s + UNLOAD_CHECK_INTERVAL_S
                    )
            case serving.OrderAnswer.ALREADY_DONE:
                tracked.conflicts = 0
                inventory.order_already_done(loads, step.target, now_s)
                if not inventory.is_fully_known:
                    # A report made before the answer settles nothing.
                    tracked.not_before_s = now_s + engine_inventory.REPORT_LAG_S
            case serving.OrderAnswer.CONFLICT:
                # Another order is under way there, or an order without an
                # answer was executed after all.
                tracked.conflicts += 1
                tracked.not_before_s = now_s + REQUERY_DELAY_S / 2
            case serving.OrderAnswer.OTHER_INCARNATION:
                self._state.directory.replaced(step.instance_id)
            case serving.OrderAnswer.UNKNOWN:
                # The engine may execute it at any time. Until then the tracked
                # state is correct, and the next order carries the same number,
                # so that only one of the two can take effect.
                inventory.order_unanswered(step.target)
            case _:
                inventory.is_fully_known = False
                tracked.not_before_s = now_s + REQUERY_DELAY_S
