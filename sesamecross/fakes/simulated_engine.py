"""What a stand-in engine holds, and what it answers to orders.

Why: the giver of orders is right only by what engines really do with an order.
One engine, without clock or network, serves the stand-in upstream and the
tests of the books alike.

An engine carries out one order about a model at a time and refuses all others
meanwhile. Orders about adapters are done at once or in the background. The
same answer, `ALREADY`, says that an order changed nothing and that an unload
was carried out at once; only the latter counts.
"""

from collections.abc import Mapping
import dataclasses

from sesamecross.core import serving


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order, perhaps for long on its way.

    Attributes:
      target: A model, or a model and an adapter behind a slash.
      after: How many orders the engine must have accepted; None for any.
    """

    loads: bool
    target: str
    after: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCapacity:
    """What fits an engine.

    Attributes:
      sizes_mb: Models by their size.
      adapter_mb: The size of each adapter.
    """

    sizes_mb: Mapping[str, float]
    weights_mb: float
    adapter_mb: float
    adapter_slots: int


class SimulatedEngine:
    """One life of an engine.

    Attributes:
      orders: Orders that it has accepted.
      adapters: All that it lists, those that depart included.
      departing: Adapters that go once their requests have ended.
      loading, unloading: The model of the order under way.
      is_overloaded: Whether it was ever ordered to load more than fits.
    """

    def __init__(self, room: EngineCapacity, models: tuple[str, ...] = ()):
        self.orders = 0
        self.models = set(models)
        self.adapters: set[str] = set()
        self.arriving: set[str] = set()
        self.departing: set[str] = set()
        self.loading: str | None = None
        self.unloading: str | None = None
        self.was_overcommitted = False
        self._room = room
        self._uses: dict[str, int] = {}

    @property
    def is_busy(self) -> bool:
        """Whether an order about a model is under way."""
        return self.loading is not None or self.unloading is not None

    @property
    def running_requests(self) -> dict[str, int]:
        """Requests under way by target."""
        return self._uses

    def can_serve(self, target: str) -> bool:
        """Whether a request for a target would run."""
        model = target.partition("/")[0]
        if model not in self.models or model == self.unloading:
            return False
        is_adapter = target in self.adapters and target not in self.departing
        return is_adapter or target == model

    # -- orders ----------------------------------------------------------

    def apply(self, order: Order) -> serving.OrderAnswer:
        """Carries out an order, as far as it may, and returns the answer."""
        if self.is_busy or order.after not in (None, self.orders):
            return serving.OrderAnswer.CONFLICT
        is_adapter = "/" in order.target
        if order.loads:
            apply = self._load_adapter if is_adapter else self._load
        else:
            apply = self._unload_adapter if is_adapter else self._unload
        answer = apply(order.target)
        self._check()
        return answer

    def _load(self, model: str) -> serving.OrderAnswer:
        if model in self.models:
            return serving.OrderAnswer.ALREADY_DONE
        self.orders += 1
        self.loading = model
        return serving.OrderAnswer.ACCEPTED

    def _unload(self, model: str) -> serving.OrderAnswer:
        if model not in self.models:
            return serving.OrderAnswer.ALREADY_DONE
        self.orders += 1
        self.unloading = model
        return serving.OrderAnswer.ACCEPTED

    def _load_adapter(self, target: str) -> serving.OrderAnswer:
        if target in self.adapters | self.arriving:
            return serving.OrderAnswer.ALREADY_DONE
        if target.partition("/")[0] not in self.models:
            return serving.OrderAnswer.REFUSED
        self.orders += 1
        self.arriving.add(target)
        return serving.OrderAnswer.ACCEPTED

    def _unload_adapter(self, target: str) -> serving.OrderAnswer:
        if target not in self.adapters or target in self.departing:
            return serving.OrderAnswer.ALREADY_DONE
        self.orders += 1
        if self._uses.get(target):
            self.departing.add(target)
            return serving.OrderAnswer.ACCEPTED
        self.adapters.discard(target)
        return serving.OrderAnswer.ALREADY_DONE

    def _check(self) -> None:
        held = self.models | ({self.loading} if self.loading else set())
        adapters = self.adapters | self.arriving
        used_mb = sum(self._room.sizes_mb[name] for name in held)
        used_mb += len(adapters) * self._room.adapter_mb
        if (
            used_mb > self._room.weights_mb
            or len(adapters) > self._room.adapter_slots
        ):
            self.was_overcommitted = True

    # -- what happens by itself ------------------------------------------

    def complete_adapters(self) -> None:
        """Adapters on their way have arrived."""
        self.adapters |= self.arriving
        self.arriving = set()

    def complete(self) -> None:
        """Finishes what is under way, but an unload that requests hold up."""
        self.complete_adapters()
        if self.loading is not None:
            self.models.add(self.loading)
            self.loading = None
        if self.unloading is not None and not self._is_used(self.unloading):
            gone = f"{self.unloading}/"
            self.models.discard(self.unloading)
            for held in (self.adapters, self.departing, self.arriving):
                held -= {one for one in held if one.startswith(gone)}
            self.unloading = None

    def begin_request(self, target: str) -> None:
        """A request for a target begins to run."""
        self._uses[target] = self._uses.get(target, 0) + 1

    def end_request(self, target: str) -> None:
        """A request for a target ends."""
        self._uses[target] -= 1
        if self._uses[target]:
            return
        del self._uses[target]
        if target in self.departing:
            self.departing.discard(target)
            self.adapters.discard(target)

    def _is_used(self, model: str) -> bool:
        return any(one.partition("/")[0] == model for one in self._uses)

    # -- what it says of itself ------------------------------------------

    def held(self) -> tuple[serving.ResidentModel, ...]:
        """Returns what it lists, whether or not it departs."""
        return tuple(
            serving.ResidentModel(
                name,
                frozenset(
                    one.partition("/")[2]
                    for one in self.adapters
                    if one.startswith(f"{name}/")
                ),
            )
            for name in sorted(self.models)
        )

    def report(self, born_ms: int) -> serving.EngineReport:
        """Returns its answer to a question, as of now."""
        return serving.EngineReport(
            born_ms,
            self.orders,
            self.is_busy,
            self.held(),
            frozenset(self.arriving),
            serving.WeightCopies(),
            0,
            sum(self._uses.values()),
            0,
            100_000,
        )
