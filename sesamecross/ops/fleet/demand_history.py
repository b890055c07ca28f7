"""History of the demand for models, kept by the lease holder.

The instances' rates follow demand within two seconds, which suits loading but
not unloading: a model that is requested every few seconds would be loaded and
unloaded each time. Unloading follows the slower average that is kept here.
"""

from collections.abc import Mapping
import math

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.ops.fleet import placement_types

# Time constant of the long-term rate: a model requested once in this time stays
# if there is room.
LONG_S = 4.0
# Cap on the rate that enters the long-term rate, so that a model without
# further requests can be evicted within seconds, however busy it was.
USUAL_MOST = 1.0
# After this long without any requests, the demand has to be learned again.
PAUSE_S = 5.0

# How long the last use of a target is remembered.
USED_KEPT_S = 60.0

Key = tuple[str, str]


def _load(
    spec: serving.EngineSpec, reading: float, places: float, running: int
) -> float:
    """Returns how many engines a model's requests keep busy.

    The load is the larger one of the prefill of their prompts and the slots
    that they take. Slots are counted by demand and not only by running
    requests: engines with 12 slots are full at a quarter of their prefill rate,
    requests beyond are refused, and no more can run than there are slots. On a
    calm day 335 of 1,081 requests were refused while half of the engines were
    idle.

    Args:
      spec: The engines.
      reading: Engines needed for the prefill alone.
      places: Slots that the requests take if all of them are served.
      running: Requests in flight.
    """
    return max(reading, max(places, running) / max(1, spec.slots))


class DemandHistory:
    """Smoothed demand by service and model.

    Attributes:
      from_store: Targets last loaded from the weight store.
    """

    __slots__ = (
        "_usual",
        "_at_s",
        "_missed_s",
        "_awake_s",
        "_asked_s",
        "_used_s",
        "from_store",
    )

    def __init__(self) -> None:
        self._usual: dict[Key, float] = {}
        self._at_s: float | None = None
        self._missed_s: dict[Key, float] = {}
        self._awake_s: float | None = None
        self._asked_s = 0.0
        # When a target was last seen in use, by engine and target.
        self._used_s: dict[Key, float] = {}
        self.from_store: set[str] = set()

    def demand_age_s(self, now_s: float) -> float:
        """Returns the time since the first request after a long pause.

        It is infinite while there are no requests, as then no demand can be
        missing from the reports.
        """
        return math.inf if self._awake_s is None else now_s - self._awake_s

    def _note_awake(self, is_in_demand: bool, now_s: float) -> None:
        if is_in_demand:
            if self._awake_s is None:
                self._awake_s = now_s
            self._asked_s = now_s
        elif self._awake_s is not None and now_s - self._asked_s > PAUSE_S:
            self._awake_s = None

    def last_used(
        self, in_use: Mapping[Key, int], now_s: float
    ) -> dict[Key, float]:
        """Returns when targets were last in use, by engine and target.

        Args:
          in_use: Requests in flight by engine and target.
          now_s: Monotonic time.
        """
        self._used_s = {
            key: at_s
            for key, at_s in self._used_s.items()
            if now_s - at_s < USED_KEPT_S
        } | dict.fromkeys(in_use, now_s)
        return self._used_s

    def demand(
        self,
        service: str,
        spec: serving.EngineSpec,
        told: Mapping[Key, fm.TargetDemand],
        in_use: Mapping[Key, int],
        held: set[str],
        wants: Mapping[tuple[str, str, str], float],
        now_s: float,
    ) -> dict[str, placement_types.ModelDemand]:
        """Returns the demand by model.

        Args:
          service: The service of the models.
          spec: What its engines can load.
          told: Demand over all instances, by service and target.
          in_use: Requests in flight by engine and target.
          held: Models that some engine holds or loads.
          wants: Targets that requests wait for, by service, target and engine.
          now_s: Monotonic time.
        """
        rates: dict[str, float] = {}
        late: dict[str, float] = {}
        places: dict[str, float] = {}
        reading: dict[str, float] = {}
        waiting: dict[str, int] = {}
        for (of, target), one in told.items():
            if of == service:
                model = target.partition("/")[0]
                rates[model] = rates.get(model, 0.0) + one.rate
                taken = one.rate * one.place_s
                places[model] = places.get(model, 0.0) + taken
                reads = one.rate * one.read_s
                reading[model] = reading.get(model, 0.0) + reads
                late[model] = late.get(model, 0.0) + one.rate * one.late
                if model == target:
                    waiting[model] = waiting.get(model, 0) + one.waiting
        for of, target, _ in wants:
            if of == service and "/" not in target:
                waiting[target] = max(1, waiting.get(target, 0))
        self._note_awake(bool(rates or waiting), now_s)
        self._smooth(service, spec, rates, now_s)
        running: dict[str, int] = {}
        for (_, target), count in in_use.items():
            model = target.partition("/")[0]
            running[model] = running.get(model, 0) + count
        return {
            name: placement_types.ModelDemand(
                rates.get(name, 0.0),
                self._usual.get((service, name), 0.0),
                _load(
                    spec,
                    reading.get(name, 0.0),
                    places.get(name, 0.0),
                    running.get(name, 0),
                ),
                waiting.get(name, 0),
                late.get(name, 0.0) / max(rates.get(name, 0.0), 1e-9),
                self._starved_s(service, name, waiting, held, now_s),
            )
            for name in spec.models
        }

    def _starved_s(
        self,
        service: str,
        name: str,
        waiting: Mapping[str, int],
        held: set[str],
        now_s: float,
    ) -> float:
        """Returns for how long requests have found no engine with a model."""
        key = (service, name)
        if name in held:
            self._missed_s.pop(key, None)
            return 0.0
        if waiting.get(name):
            self._missed_s.setdefault(key, now_s)
        missed_s = self._missed_s.get(key)
        return 0.0 if missed_s is None else now_s - missed_s

    def _smooth(
        self,
        service: str,
        spec: serving.EngineSpec,
        rates: Mapping[str, float],
        now_s: float,
    ) -> None:
        passed_s = 0.0 if self._at_s is None else now_s - self._at_s
        self._at_s = now_s
        keep = math.exp(-passed_s / LONG_S)
        for name in spec.models:
            key = (service, name)
            usual = self._usual.get(key, 0.0)
            rate = min(USUAL_MOST, rates.get(name, 0.0))
            self._usual[key] = rate + (usual - rate) * keep
