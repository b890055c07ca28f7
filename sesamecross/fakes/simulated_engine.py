"""A simulated engine: its models and adapters, and its answers to orders.

The placement controller is correct only if it matches what engines really do
with an order. This engine, without clock or network, serves both the fake
upstream and the tests of the inventory.

An engine carries out one order for a model at a time and refuses all others
meanwhile. Orders for adapters are carried out at once or in the background.
The same answer, `ALREADY_DONE`, says that an order changed nothing and that an
unload was carried out at once; only the latter is counted.
"""

from collections.abc import Mapping
import dataclasses

from sesamecross.core import serving


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order, which may arrive late.

    Attributes:
      target: A model, or a model and an adapter, as `model/adapter`.
      expected_order_count: How many orders the engine must have accepted;
        None for any number.
    """

    loads: bool
    target: str
    expected_order_count: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCapacity:
    """The memory of an engine, and the sizes of models and adapters.

    Attributes:
      model_sizes_mb: Sizes by model.
      weights_mb: Memory for models and adapters together.
      adapter_mb: The size of each adapter.
    """

    model_sizes_mb: Mapping[str, float]
    weights_mb: float
    adapter_mb: float
    adapter_slots: int


class SimulatedEngine:
    """One incarnation of an engine.

    Attributes:
      orders: How many orders it has accepted.
      adapters: All adapters that it lists, including those being unloaded.
      unloading_adapters: Adapters that are unloaded once their requests have
        ended.
      loading, unloading: The model of the order in progress.
      was_overcommitted: Whether it was ever ordered to load more than fits.
    """

    def __init__(self, capacity: EngineCapacity, models: tuple[str, ...] = ()):
        self.orders = 0
        self.models = set(models)
        self.adapters: set[str] = set()
        self.loading_adapters: set[str] = set()
        self.unloading_adapters: set[str] = set()
        self.loading: str | None = None
        self.unloading: str | None = None
        self.was_overcommitted = False
        self._capacity = capacity
        self._running_requests: dict[str, int] = {}

    @property
    def is_busy(self) -> bool:
        """Whether an order for a model is in progress."""
        return self.loading is not None or self.unloading is not None

    @property
    def running_requests(self) -> dict[str, int]:
        """Counts of running requests by target."""
        return self._running_requests

    def can_serve(self, target: str) -> bool:
        """Whether a request for a target would run now."""
        model = target.partition("/")[0]
        if model not in self.models or model == self.unloading:
            return False
        is_adapter = (
            target in self.adapters and target not in self.unloading_adapters
        )
        return is_adapter or target == model

    # -- orders ----------------------------------------------------------

    def apply(self, order: Order) -> serving.OrderAnswer:
        """Starts or carries out an order, or refuses it; returns the answer."""
        if self.is_busy or order.expected_order_count not in (
            None,
            self.orders,
        ):
            return serving.OrderAnswer.CONFLICT
        is_adapter = "/" in order.target
        if order.loads:
            apply = self._load_adapter if is_adapter else self._load_model
        else:
            apply = self._unload_adapter if is_adapter else self._unload_model
        answer = apply(order.target)
        self._record_overcommit()
        return answer

    def _load_model(self, model: str) -> serving.OrderAnswer:
        if model in self.models:
            return serving.OrderAnswer.ALREADY_DONE
        self.orders += 1
        self.loading = model
        return serving.OrderAnswer.ACCEPTED

    def _unload_model(self, model: str) -> serving.OrderAnswer:
        if model not in self.models:
            return serving.OrderAnswer.ALREADY_DONE
        self.orders += 1
        self.unloading = model
        return serving.OrderAnswer.ACCEPTED

    def _load_adapter(self, target: str) -> serving.OrderAnswer:
        if target in self.adapters | self.loading_adapters:
            return serving.OrderAnswer.ALREADY_DONE
        if target.partition("/")[0] not in self.models:
            return serving.OrderAnswer.REFUSED
        self.orders += 1
        self.loading_adapters.add(target)
        return serving.OrderAnswer.ACCEPTED

    def _unload_adapter(self, target: str) -> serving.OrderAnswer:
        if target not in self.adapters or target in self.unloading_adapters:
            return serving.OrderAnswer.ALREADY_DONE
        self.orders += 1
        if self._running_requests.get(target):
            self.unloading_adapters.add(target)
            return serving.OrderAnswer.ACCEPTED
        self.adapters.discard(target)
        return serving.OrderAnswer.ALREADY_DONE

    def _record_overcommit(self) -> None:
        held = self.models | ({self.loading} if self.loading else set())
        adapters = self.adapters | self.loading_adapters
        used_mb = sum(self._capacity.model_sizes_mb[name] for name in held)
        used_mb += len(adapters) * self._capacity.adapter_mb
        if (
            used_mb > self._capacity.weights_mb
            or len(adapters) > self._capacity.adapter_slots
        ):
            self.was_overcommitted = True

    # -- what happens without orders -------------------------------------

    def complete_adapters(self) -> None:
        """Completes the loads of adapters."""
        self.adapters |= self.loading_adapters
        self.loading_adapters = set()

    def complete(self) -> None:
        """Completes all orders except an unload that running requests block."""
        self.complete_adapters()
        if self.loading is not None:
            self.models.add(self.loading)
            self.loading = None
        if self.unloading is not None and not self._has_running_requests(
            self.unloading
        ):
            adapter_prefix = f"{self.unloading}/"
            self.models.discard(self.unloading)
            for targets in (
                self.adapters,
                self.unloading_adapters,
                self.loading_adapters,
            ):
                targets -= {
                    target
                    for target in targets
                    if target.startswith(adapter_prefix)
                }
            self.unloading = None

    def begin_request(self, target: str) -> None:
        """Begins a request for a target."""
        self._running_requests[target] = (
            self._running_requests.get(target, 0) + 1
        )

    def end_request(self, target: str) -> None:
        """Ends a request; an adapter being unloaded goes with its last one."""
        self._running_requests[target] -= 1
        if self._running_requests[target]:
            return
        del self._running_requests[target]
        if target in self.unloading_adapters:
            self.unloading_adapters.discard(target)
            self.adapters.discard(target)

    def _has_running_requests(self, model: str) -> bool:
        return any(
            target.partition("/")[0] == model
            for target in self._running_requests
        )

    # -- what it reports -------------------------------------------------

    def held(self) -> tuple[serving.ResidentModel, ...]:
        """Returns its models and adapters, including those being unloaded."""
        return tuple(
            serving.ResidentModel(
                name,
                frozenset(
                    target.partition("/")[2]
                    for target in self.adapters
                    if target.startswith(f"{name}/")
                ),
            )
            for name in sorted(self.models)
        )

    def report(self, born_ms: int) -> serving.EngineReport:
        """Returns its current report."""
        return serving.EngineReport(
            born_ms,
            self.orders,
            self.is_busy,
            self.held(),
            frozenset(self.loading_adapters),
            serving.WeightCopies(),
            0,
            sum(self._running_requests.values()),
            0,
            100_000,
        )
