"""What an engine holds and may still come to hold, as its orders count.

Why: an order can be lost, answered late, or carried out seconds later. Each
order names how many orders the engine must have accepted before, so of all
orders sent with one number at most one is ever carried out: a lost order that
arrives late is void once another one was accepted. So it is enough that each
order is sound for what the engine holds at that number; this ledger keeps
what that is, and knows when it does not know.

The count may be wrong: an answer can mean two things. A report that was made
after the last answer settles it, upwards and downwards, together with all that
the engine held at that count.
"""

from collections.abc import Mapping
import dataclasses

from sesamecross.core import serving
from sesamecross.ops.fleet import engine_state

# An engine describes itself as it was some tenths of a second ago. A report
# that was asked for earlier than this after an order says nothing of it.
REPORT_LAG_S = 0.35


@dataclasses.dataclass(slots=True)
class EngineInventory:
    """One life of an engine, by the books of the one who orders.

    Attributes:
      orders: Orders that it has accepted.
      models: Models that answer. adapters: adapters that answer, as targets.
      arriving: Targets being loaded, and when they are expected.
      departing: Models and adapters whose unload was accepted. The engine still
        lists them until their last request has ended. It takes no further
        order while a model departs; an adapter that does keeps its place.
      known_adapters: Adapters that the engine holds beyond doubt, without an
        unload under way: it accepted their load from these books.
      is_certain: Whether all that it may hold is known: a load ordered by
        somebody else shows in no list until it is complete.
      is_heard: Whether the engine has reported to these books yet. Until then
        they are empty, whatever it holds.
      settled_s: Until when nothing that it says of itself is believed.
      loaded_s: When models and adapters were last loaded, by target.
      last_entry: The engine's own entry that was last taken in.
    """

    instance_id: str
    born_ms: int
    orders: int = 0
    models: set[str] = dataclasses.field(default_factory=set)
    adapters: set[str] = dataclasses.field(default_factory=set)
    arriving: dict[str, float] = dataclasses.field(default_factory=dict)
    departing: set[str] = dataclasses.field(default_factory=set)
    known_adapters: set[str] = dataclasses.field(default_factory=set)
    copies: serving.WeightCopies = serving.WeightCopies()
    is_fully_known: bool = False
    has_reported: bool = False
    settled_s: float = 0.0
    loaded_s: dict[str, float] = dataclasses.field(default_factory=dict)
    last_entry: serving.Upstream | None = None

    def used_mb(self, spec: serving.EngineSpec) -> float:
        """Returns the most that weights may take now.

        A model that is not declared any more stays until it is unloaded, and
        counts as the largest one that is.
        """
        # A model that departs is gone before the next order is accepted.
        used = sum(_size(spec.models, name) for name in self.all_models())
        for target in self.all_adapters():
            used += _adapter_size(spec.models, target)
        return used

    def all_models(self) -> set[str]:
        """Returns the models that answer or will."""
        return self.models | {t for t in self.arriving if "/" not in t}

    def all_adapters(self) -> set[str]:
        """Returns the adapters that take a place: those that depart do, too."""
        arriving = {target for target in self.arriving if "/" in target}
        return self.adapters | arriving | self.departing_adapters()

    def departing_adapters(self) -> set[str]:
        """Returns the adapters that go once their requests have ended."""
        return {target for target in self.departing if "/" in target}

    def is_held_or_loading(self, target: str) -> bool:
        """Whether a target answers or is being loaded."""
        return (
            target in self.models
            or target in self.adapters
            or target in self.arriving
        )

    # -- what is heard -------------------------------------------------

    def apply_entry(self, entry: serving.Upstream) -> None:
        """Takes in the engine's own entry, whenever it is another one.

        An entry tells neither of orders under way nor how many there were.
        What it lists beside the books, or lacks, is asked for.
        """
        if entry is self.last_entry:
            return
        self.last_entry = entry
        self.copies = entry.copies
        listed = engine_state.targets_of(entry.models)
        for target in listed & set(self.arriving):
            self._arrived(target)
        models = {target for target in listed if "/" not in target}
        if models - self.departing != self.models:
            self.is_fully_known = False

    def apply_report(
        self, report: serving.EngineReport, asked_s: float, now_s: float
    ) -> None:
        """Takes in the engine's answer to a question.

        Args:
          report: What it says.
          asked_s: When it was asked.
          now_s: Monotonic time.
        """
        if report.born_ms and report.born_ms != self.born_ms:
            # Another life has the address: its entry will say so.
            self.is_fully_known = False
            return
        self.copies = report.copies
        is_settled = asked_s >= self.settled_s
        if report.orders < self.orders and not is_settled:
            # It may have been made before the last order was accepted.
            return
        self.has_reported = True
        listed = engine_state.targets_of(report.models)
        if report.orders != self.orders:
            self._adopt(report, listed, now_s)
        elif is_settled:
            self._confirm(report, listed, now_s)

    def _adopt(
        self, report: serving.EngineReport, listed: set[str], now_s: float
    ) -> None:
        """Takes over what an engine holds at another count of orders.

        While one of them is under way, what it loads is listed nowhere.
        """
        self.orders = report.orders
        self.departing.clear()
        self.known_adapters.clear()
        self.models = {target for target in listed if "/" not in target}
        self.adapters = {target for target in listed if "/" in target}
        self.arriving = dict.fromkeys(
            report.loading_adapters - self.adapters, now_s
        )
        self.is_fully_known = not report.is_busy

    def _confirm(
        self, report: serving.EngineReport, listed: set[str], now_s: float
    ) -> None:
        """Completes the books by a report of the same count of orders.

        Between two orders a model only comes, by the load under way, or goes,
        by the unload under way. So a report never takes away another model:
        it may have been made before the load was complete. Adapters are all
        listed, or named as on their way.
        """
        if not report.is_busy:
            self.departing = self.departing_adapters()
        gone = self.departing_adapters() - listed
        self.departing -= gone
        listed = {one for one in listed if not self._departs(one)}
        models = {target for target in listed if "/" not in target}
        for target in models & set(self.arriving):
            self._arrived(target)
        self.models |= models
        self.adapters = listed - models
        arriving = dict.fromkeys(report.loading_adapters - self.adapters, now_s)
        if report.is_busy or not self.is_fully_known:
            arriving = self.arriving | arriving
        self.arriving = {
            target: at_s
            for target, at_s in arriving.items()
            if target not in self.models and target not in self.adapters
        }
        self.is_fully_known = self.is_fully_known or not report.is_busy

    def _departs(self, target: str) -> bool:
        model = target.partition("/")[0]
        return target in self.departing or model in self.departing

    def _arrived(self, target: str) -> None:
        self.loaded_s[target] = self.arriving.pop(target, 0.0)
        if "/" in target:
            self.adapters.add(target)
        else:
            self.models.add(target)

    # -- orders --------------------------------------------------------

    def order_accepted(
        self, loads: bool, target: str, eta_s: float, now_s: float
    ) -> None:
        """The engine accepted an order.

        Args:
          loads: Whether it loads.
          target: Model or adapter.
          eta_s: When a load is expected to be complete.
          now_s: Monotonic time.
        """
        self.orders += 1
        # An engine that accepts an order has carried out the one before about
        # a model.
        self.departing = self.departing_adapters()
        self.settled_s = now_s + REPORT_LAG_S
        if loads:
            self.arriving[target] = eta_s
            if "/" in target:
                self.known_adapters.add(target)
            return
        self._unloaded(target)
        self.departing.add(target)

    def order_already_done(
        self, loads: bool, target: str, now_s: float
    ) -> None:
        """The engine said that an order holds, with nothing under way for it.

        Either the order changed nothing and doesn't count, or it unloaded at
        once an adapter that nobody used, and counts. Where these books can't
        tell, a report has to.
        """
        if not loads and target in self.known_adapters:
            self.order_accepted(False, target, now_s, now_s)
            self.departing.discard(target)
            return
        self.is_fully_known = False
        self.settled_s = now_s + REPORT_LAG_S
        if loads:
            self.arriving.pop(target, None)
            (self.adapters if "/" in target else self.models).add(target)
        else:
            self._unloaded(target)
            if "/" in target:
                self.departing.add(target)

    def _unloaded(self, target: str) -> None:
        """Strikes a target out, and a model's adapters with it."""
        self.models.discard(target)
        prefix = f"{target}/"
        for held in (self.adapters, self.departing, self.known_adapters):
            gone = {one for one in held if one.startswith(prefix)}
            held -= gone | {target}

    def order_unanswered(self, target: str) -> None:
        """An order got no answer: it may be carried out, now or later."""
        self.known_adapters.discard(target)

    def complete_due_adapters(self, now_s: float) -> list[str]:
        """Returns adapters whose time is over: they answer by now.

        Adapters take milliseconds and are told of by nobody; a wrong guess
        costs one send that the engine refuses unrun.
        """
        done = [
            target
            for target, at_s in self.arriving.items()
            if "/" in target and at_s <= now_s
        ]
        for target in done:
            self._arrived(target)
        return done


def _size(models: Mapping[str, serving.ModelSpec], name: str) -> float:
    model = models.get(name)
    if model is not None:
        return model.weights_mb
    return max((one.weights_mb for one in models.values()), default=0.0)


def _adapter_size(
    models: Mapping[str, serving.ModelSpec], target: str
) -> float:
    model = models.get(target.partition("/")[0])
    if model is not None:
        return model.adapter_mb
    return max((one.adapter_mb for one in models.values()), default=0.0)
