"""Keeps the books on engines by their entries, answers and reports.

Why: an order is sound only for what an engine holds at a certain count of
orders. Each engine is asked whenever its books are in doubt, and a report that
comes after refused orders tells which of two things was wrong: another order
was under way, or the books had another count than the engine.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import dataclasses
import enum
from typing import Any

from sesamecross.core import serving
from sesamecross.gateway import engine_client
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import engine_inventory
from sesamecross.ops.fleet import placement_types
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib

# After a conflict or a lost answer, until the engine's report covers it.
ASK_AGAIN_S = 0.25
# After so many conflicts in a row an engine is asked: one alone is mostly an
# unload that waits for a model's last requests.
CONFLICTS_ASKED = 2
# Whether an adapter that departs is gone is asked this often: its requests go
# on for seconds.
DEPARTING_S = 0.5
# How long a load may be overdue before the engine is asked.
OVERDUE_S = 0.15
# A model without requests is gone this soon after its unload was accepted.
UNLOAD_S = 0.03

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class ConflictCause(enum.Enum):
    """What a report says of the orders that an engine refused before it.

    Attributes:
      UNDER_WAY: Another order is under way there.
      COUNT: The books have another count of orders than the engine.
      OVER: Neither any more.
    """

    UNDER_WAY = "another order under way"
    COUNT = "another count"
    OVER = "over"


def conflict_cause(books: int, report: serving.EngineReport) -> ConflictCause:
    """Returns why an engine refused orders, as far as its report tells.

    Args:
      books: The count of orders by the books.
      report: What the engine said of itself after the refusals.
    """
    if report.orders != books:
        return ConflictCause.COUNT
    if report.is_busy:
        return ConflictCause.UNDER_WAY
    return ConflictCause.OVER


@dataclasses.dataclass(slots=True)
class TrackedEngine:
    """One engine's ledger and what is under way there.

    Attributes:
      is_calling: A question or an order has not been answered yet.
      ask_s: Before then it gets neither questions nor orders.
      look_s: When it is asked next whether adapters that depart are gone.
      conflicts: Orders in a row that met a conflict.
    """

    inventory: engine_inventory.EngineInventory
    is_calling: bool = False
    ask_s: float = 0.0
    look_s: float = 0.0
    conflicts: int = 0

    def is_free(self, now_s: float) -> bool:
        """Whether an order may be given now."""
        is_loading = any("/" not in one for one in self.inventory.arriving)
        return (
            not self.is_calling
            and self.inventory.is_fully_known
            and not is_loading
            and now_s >= self.ask_s
        )

    def is_in_doubt(self, now_s: float) -> bool:
        """Whether something isn't known, or overdue."""
        is_overdue = any(
            "/" not in target and at_s + OVERDUE_S <= now_s
            for target, at_s in self.inventory.arriving.items()
        )
        is_refused = self.conflicts >= CONFLICTS_ASKED
        return not self.inventory.is_fully_known or is_overdue or is_refused


class EngineTracker:
    """The books on all engines, empty when the lease is taken.

    Attributes:
      engine_came_s: When an engine was seen for the first time last.
    """

    __slots__ = (
        "engine_came_s",
        "_state",
        "_client",
        "_metrics",
        "_spawn",
        "_wake",
        "_log",
        "_books",
    )

    def __init__(
        self,
        state: state_lib.State,
        client: engine_client.EngineClient,
        metrics: metrics_lib.Metrics,
        spawn: Spawn,
        wake: Callable[[], None],
    ):
        """Sets the books up.

        Args:
          state: Which engines there are.
          client: Asks them.
          metrics: Where refused orders are counted.
          spawn: Runs a question in the background.
          wake: Called when an engine has reported.
        """
        self.engine_came_s = 0.0
        self._state = state
        self._client = client
        self._metrics = metrics
        self._spawn = spawn
        self._wake = wake
        self._log = logs.part("orders")
        self._books: dict[str, TrackedEngine] = {}

    def __getitem__(self, instance_id: str) -> TrackedEngine:
        return self._books[instance_id]

    def __contains__(self, instance_id: str) -> bool:
        return instance_id in self._books

    def items(self) -> Iterable[tuple[str, TrackedEngine]]:
        """Returns the books by the engine's instance id."""
        return self._books.items()

    def clear(self) -> None:
        """Forgets everything: another instance gives orders from now on."""
        self._books.clear()

    def follow(self, engines: Iterable[serving.Upstream], now_s: float) -> None:
        """Takes in the entries of all engines that there are."""
        seen = set()
        for entry in engines:
            seen.add(entry.instance_id)
            book = self._books.get(entry.instance_id)
            if book is None or book.inventory.born_ms != entry.born_ms:
                book = TrackedEngine(
                    engine_inventory.EngineInventory(
                        entry.instance_id, entry.born_ms
                    )
                )
                self.engine_came_s = now_s
                self._books[entry.instance_id] = book
            book.inventory.apply_entry(entry)
        for instance_id in set(self._books) - seen:
            del self._books[instance_id]

    def advance(self, now_s: float) -> None:
        """Takes adapters whose time is over for arrived."""
        for book in self._books.values():
            book.inventory.complete_due_adapters(now_s)

    # -- questions -----------------------------------------------------

    def ask(self, now_s: float) -> None:
        """Asks engines of which something is not known or overdue."""
        for instance_id, book in self._books.items():
            if book.is_calling or now_s < book.ask_s:
                continue
            is_in_doubt = book.is_in_doubt(now_s)
            departs = (
                book.inventory.departing_adapters() and now_s >= book.look_s
            )
            if not is_in_doubt and not departs:
                continue
            known = self._state.directory.get(instance_id)
            if known is not None and not known.is_down(now_s):
                book.look_s = now_s + DEPARTING_S
                if is_in_doubt:
                    book.ask_s = now_s + ASK_AGAIN_S
                self._spawn(self._report(book, known))

    async def _report(
        self, book: TrackedEngine, known: directory_lib.KnownUpstream
    ) -> None:
        loop = asyncio.get_running_loop()
        book.is_calling = True
        asked_s = loop.time()
        try:
            report = await self._client.report(known.entry)
        finally:
            book.is_calling = False
        if report is None:
            book.ask_s = loop.time() + 2 * ASK_AGAIN_S
            return
        before = book.inventory.orders
        was_heard = book.inventory.has_reported
        book.inventory.apply_report(report, asked_s, loop.time())
        if book.conflicts:
            self._note_conflicts(book, before, report)
        if was_heard and book.inventory.orders != before:
            self._log.info(
                "books corrected",
                upstream=book.inventory.instance_id,
                books=before,
                engine=report.orders,
            )
        book.conflicts = 0
        self._wake()

    def _note_conflicts(
        self, book: TrackedEngine, before: int, report: serving.EngineReport
    ) -> None:
        cause = conflict_cause(before, report)
        self._log.warning(
            "refused in a row",
            upstream=book.inventory.instance_id,
            conflicts=book.conflicts,
            why=cause.value,
            books=before,
            engine=report.orders,
        )
        self._metrics.count(
            "sesamecross_order_conflicts_total",
            "Orders that engines refused, by what a report then said.",
            {"why": cause.value},
            book.conflicts,
        )

    # -- answers -------------------------------------------------------

    def note_answer(
        self,
        book: TrackedEngine,
        step: placement_types.Step,
        answer: serving.OrderAnswer,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Takes in what an engine said of an order.

        Args:
          book: The engine's.
          step: What was ordered.
          answer: What it said.
          sent_s: When the order was sent.
          now_s: Monotonic time.
        """
        inventory = book.inventory
        loads = step.kind is placement_types.StepKind.LOAD
        match answer:
            case serving.OrderAnswer.ACCEPTED:
                book.conflicts = 0
                inventory.order_accepted(
                    loads, step.target, sent_s + step.takes_s, now_s
                )
                if not loads:
                    book.ask_s = now_s + UNLOAD_S
                    book.look_s = now_s + DEPARTING_S
            case serving.OrderAnswer.ALREADY_DONE:
                book.conflicts = 0
                inventory.order_already_done(loads, step.target, now_s)
                if not inventory.is_fully_known:
                    # What was made before the answer settles nothing.
                    book.ask_s = now_s + engine_inventory.REPORT_LAG_S
            case serving.OrderAnswer.CONFLICT:
                # Another order is under way there, or one without an answer
                # was carried out after all.
                book.conflicts += 1
                book.ask_s = now_s + ASK_AGAIN_S / 2
            case serving.OrderAnswer.OTHER_INCARNATION:
                self._state.directory.replaced(step.instance_id)
            case serving.OrderAnswer.UNKNOWN:
                # It may be carried out at any time. Until then the books are
                # right, and whatever is sent next bears the same number, so
                # that only one of the two can count.
                inventory.order_unanswered(step.target)
            case _:
                inventory.is_fully_known = False
                book.ask_s = now_s + ASK_AGAIN_S
