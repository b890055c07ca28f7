"""Tracks what an engine holds and may still load, by its count of orders.

An order can be lost, answered late, or executed seconds later. Each order names
the number of orders that the engine must have accepted before it, so of all
orders sent with one number at most one is ever executed: a lost order that
arrives late is void once another one was accepted. It is therefore enough that
each order is valid for what the engine holds at that number. The inventory
tracks this state, and whether it is fully known.

The count may be wrong, as one answer (ALREADY_DONE) has two meanings. A report
made after the last answer corrects it in either direction, together with
everything that the engine held at that count.
"""

from collections.abc import Mapping

import msgspec

from sesamecross.core import serving
from sesamecross.ops.fleet import engine_state

# A report shows the engine as it was some tenths of a second ago. One that was
# requested sooner than this after an order may not reflect that order.
REPORT_LAG_S = 0.35


class EngineInventory(msgspec.Struct):
    """One incarnation of an engine, as known to the lease holder.

    Attributes:
      instance_id: The engine.
      born_ms: Start of this incarnation.
      orders: Number of orders that it has accepted.
      models: Models that can serve.
      adapters: Adapters that can serve, as targets.
      loading: Targets being loaded, and when they are expected.
      unloading: Models and adapters whose unload was accepted. The engine lists
        them until their last request has ended. It accepts no further order
        while a model is being unloaded; an adapter that is keeps its slot.
      confirmed_adapters: Adapters that the engine certainly holds, with no
        unload in progress: it accepted a load order from this holder.
      copies: Where the engine has copies of weights.
      is_fully_known: Whether everything that it may hold is known. A load
        ordered by another instance is listed nowhere until it is complete.
      has_reported: Whether the engine has reported yet. Until then the
        inventory is empty, whatever the engine holds.
      reports_valid_from_s: Reports requested before this may not reflect the
        last order and are not relied on.
      loaded_s: When models and adapters were last loaded, by target.
      last_entry: The engine's own entry that was last applied.
    """

    instance_id: str
    born_ms: int
    orders: int = 0
    models: set[str] = msgspec.field(default_factory=set)
    adapters: set[str] = msgspec.field(default_factory=set)
    loading: dict[str, float] = msgspec.field(default_factory=dict)
    unloading: set[str] = msgspec.field(default_factory=set)
    confirmed_adapters: set[str] = msgspec.field(default_factory=set)
    copies: serving.WeightCopies = serving.WeightCopies()
    is_fully_known: bool = False
    has_reported: bool = False
    reports_valid_from_s: float = 0.0
    loaded_s: dict[str, float] = msgspec.field(default_factory=dict)
    last_entry: serving.Upstream | None = None

    def used_mb(self, spec: serving.EngineSpec) -> float:
        """Returns an upper bound on the memory used by weights, in MB.

        A model that is no longer declared stays until it is unloaded, and
        counts as the largest declared one.
        """
        # A model being unloaded is gone before the next order is accepted.
        used = sum(_model_mb(spec.models, name) for name in self.all_models())
        for target in self.all_adapters():
            used += _adapter_mb(spec.models, target)
        return used

    def all_models(self) -> set[str]:
        """Returns the models that are held or being loaded."""
        return self.models | {t for t in self.loading if "/" not in t}

    def all_adapters(self) -> set[str]:
        """Returns the adapters that take a slot, with those being unloaded."""
        loading = {target for target in self.loading if "/" in target}
        return self.adapters | loading | self.unloading_adapters()

    def unloading_adapters(self) -> set[str]:
        """Returns the adapters that are unloaded once their requests end."""
        return {target for target in self.unloading if "/" in target}

    def is_held(self, target: str) -> bool:
        """Whether a target can serve."""
        return target in self.models or target in self.adapters

    def is_held_or_loading(self, target: str) -> bool:
        """Whether a target can serve or is being loaded."""
        return self.is_held(target) or target in self.loading

    # -- entries and reports -------------------------------------------

    def apply_entry(self, entry: serving.Upstream) -> None:
        """Applies the engine's own entry if it is a new one.

        An entry shows neither pending orders nor the count of orders. If its
        models differ from the inventory, a report has to be requested.
        """
        if entry is self.last_entry:
            return
        self.last_entry = entry
        self.copies = entry.copies
        listed = engine_state.targets_of(entry.models)
        for target in listed & set(self.loading):
            self._mark_loaded(target)
        models = {target for target in listed if "/" not in target}
        if models - self.unloading != self.models:
            self.is_fully_known = False

    def apply_report(
        self, report: serving.EngineReport, requested_s: float, now_s: float
    ) -> None:
        """Applies a report that the engine sent on request.

        Args:
          report: The report.
          requested_s: When it was requested.
          now_s: Monotonic time.
        """
        if report.born_ms and report.born_ms != self.born_ms:
            # Another incarnation has the address: its entry will show that.
            self.is_fully_known = False
            return
        self.copies = report.copies
        reflects_last_order = requested_s >= self.reports_valid_from_s
        if report.orders < self.orders and not reflects_last_order:
            # The report may be older than the last accepted order.
            return
        self.has_reported = True
        listed = engine_state.targets_of(report.models)
        if report.orders != self.orders:
            self._replace_from(report, listed, now_s)
        elif reflects_last_order:
            self._update_from(report, listed, now_s)

    def _replace_from(
        self, report: serving.EngineReport, listed: set[str], now_s: float
    ) -> None:
        """Replaces the inventory by a report with another count of orders.

        While an order is in progress, the model that it loads is not listed.
        """
        self.orders = report.orders
        self.unloading.clear()
        self.confirmed_adapters.clear()
        self.models = {target for target in listed if "/" not in target}
        self.adapters = {target for target in listed if "/" in target}
        self.loading = dict.fromkeys(
            report.loading_adapters - self.adapters, now_s
        )
        self.is_fully_known = not report.is_busy

    def _update_from(
        self, report: serving.EngineReport, listed: set[str], now_s: float
    ) -> None:
        """Updates the inventory from a report with the same count of orders.

        Between two orders a model only appears through the load in progress, or
        disappears through the unload in progress. So a report never removes
        another model: it may be older than the end of that model's load.
        Adapters are always complete: listed as held or as being loaded.
        """
        if not report.is_busy:
            self.unloading = self.unloading_adapters()
        unlisted = self.unloading_adapters() - listed
        self.unloading -= unlisted
        listed = {target for target in listed if not self._is_unloading(target)}
        models = {target for target in listed if "/" not in target}
        for target in models & set(self.loading):
            self._mark_loaded(target)
        self.models |= models
        self.adapters = listed - models
        loading = dict.fromkeys(report.loading_adapters - self.adapters, now_s)
        if report.is_busy or not self.is_fully_known:
            loading = self.loading | loading
        self.loading = {
            target: at_s
            for target, at_s in loading.items()
            if target not in self.models and target not in self.adapters
        }
        self.is_fully_known = self.is_fully_known or not report.is_busy

    def _is_unloading(self, target: str) -> bool:
        model = target.partition("/")[0]
        return target in self.unloading or model in self.unloading

    def _mark_loaded(self, target: str) -> None:
        self.loaded_s[target] = self.loading.pop(target, 0.0)
        if "/" in target:
            self.adapters.add(target)
        else:
            self.models.add(target)

    # -- orders --------------------------------------------------------

    def order_accepted(
        self, is_load: bool, target: str, eta_s: float, now_s: float
    ) -> None:
        """Records that the engine accepted an order.

        Args:
          is_load: Whether it is a load; else an unload.
          target: Model or adapter.
          eta_s: When a load is expected to be complete.
          now_s: Monotonic time.
        """
        self.orders += 1
        # An engine accepts an order only after completing the previous one for
        # a model.
        self.unloading = self.unloading_adapters()
        self.reports_valid_from_s = now_s + REPORT_LAG_S
        if is_load:
            self.loading[target] = eta_s
            if "/" in target:
                self.confirmed_adapters.add(target)
            return
        self._remove(target)
        self.unloading.add(target)

    def order_already_done(
        self, is_load: bool, target: str, now_s: float
    ) -> None:
        """Records the answer ALREADY_DONE: nothing was left to do.

        Either the order changed nothing and does not count, or it immediately
        unloaded an adapter without requests and counts. If the inventory cannot
        tell which, a report is needed.
        """
        if not is_load and target in self.confirmed_adapters:
            self.order_accepted(False, target, now_s, now_s)
            self.unloading.discard(target)
            return
        self.is_fully_known = False
        self.reports_valid_from_s = now_s + REPORT_LAG_S
        if is_load:
            self.loading.pop(target, None)
            (self.adapters if "/" in target else self.models).add(target)
        else:
            self._remove(target)
            if "/" in target:
                self.unloading.add(target)

    def _remove(self, target: str) -> None:
        """Removes a target, and with a model its adapters."""
        self.models.discard(target)
        prefix = f"{target}/"
        for held in (self.adapters, self.unloading, self.confirmed_adapters):
            removed = {
                held_target
                for held_target in held
                if held_target.startswith(prefix)
            }
            held -= removed | {target}

    def order_unanswered(self, target: str) -> None:
        """Records an unanswered order, which may be executed at any time."""
        self.confirmed_adapters.discard(target)

    def complete_due_adapters(self, now_s: float) -> list[str]:
        """Marks adapters that are due as loaded, and returns them.

        Loading an adapter takes milliseconds and its end is not reported; a
        wrong guess costs one send that the engine refuses without running it.
        """
        done = [
            target
            for target, at_s in self.loading.items()
            if "/" in target and at_s <= now_s
        ]
        for target in done:
            self._mark_loaded(target)
        return done


def _model_mb(models: Mapping[str, serving.ModelSpec], name: str) -> float:
    model = models.get(name)
    if model is not None:
        return model.weights_mb
    return max((other.weights_mb for other in models.values()), default=0.0)


def _adapter_mb(models: Mapping[str, serving.ModelSpec], target: str) -> float:
    model = models.get(target.partition("/")[0])
    if model is not None:
        return model.adapter_mb
    return max((other.adapter_mb for other in models.values()), default=0.0)
