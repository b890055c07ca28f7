"""History of the demand for models, kept by the lease holder.

The instances' rates follow demand within two seconds, which suits loading but
not unloading: a model that is requested every few seconds would be loaded and
unloaded each time. Unloading follows the slower average that is kept here.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.ops.fleet import patient_demand
from sesamecross.ops.fleet import placement_types

# Time constant of the long-term rate: a model requested once in this time stays
# if there is room.
LONG_TERM_S = 4.0
# Cap on the rate that enters the long-term rate, so that a model without
# further requests can be evicted within seconds, however busy it was.
MAX_LONG_TERM_RATE = 1.0
# The same for patient requests, of which a model without groups may have more.
MAX_PATIENT_RATE = 10.0
# A smoothed rate of patient requests below this counts as none.
MIN_PATIENT_RATE = 0.001
# After this long without any requests, the demand has to be learned again.
PAUSE_S = 5.0

# How long the last use of a target is remembered.
LAST_USE_TTL_S = 60.0

Key = tuple[str, str]


def _engines_needed(
    spec: serving.EngineSpec, prefill: float, slots_used: float, running: int
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
      prefill: Engines needed for the prefill alone.
      slots_used: Slots that the requests take if all of them are served.
      running: Requests in flight.
    """
    return max(prefill, max(slots_used, running) / max(1, spec.slots))


def _group_size(rows: Iterable[fm.TargetDemand]) -> int:
    """Returns the number of patient requests that wait for one model."""
    size = sum(max(0, row.patient_waiting) for row in rows)
    return min(size, patient_demand.MAX_GROUP)


class DemandHistory:
    """Smoothed demand by service and model.

    Attributes:
      from_store: Targets last loaded from the weight store.
    """

    __slots__ = (
        "_long_term_rates",
        "_at_s",
        "_patient_rates",
        "_missing_since_s",
        "_last_held_s",
        "_active_since_s",
        "_last_request_s",
        "_last_used_s",
        "from_store",
    )

    def __init__(self) -> None:
        self._long_term_rates: dict[Key, float] = {}
        self._patient_rates: dict[Key, float] = {}
        self._at_s: float | None = None
        self._missing_since_s: dict[Key, float] = {}
        # When some engine held a model last.
        self._last_held_s: dict[Key, float] = {}
        self._active_since_s: float | None = None
        self._last_request_s = 0.0
        # When a target was last seen in use, by engine and target.
        self._last_used_s: dict[Key, float] = {}
        self.from_store: set[str] = set()

    def demand_age_s(self, now_s: float) -> float:
        """Returns the time since the first request after a long pause.

        It is infinite while there are no requests, as then no demand can be
        missing from the reports.
        """
        return (
            math.inf
            if self._active_since_s is None
            else now_s - self._active_since_s
        )

    def _note_activity(self, has_requests: bool, now_s: float) -> None:
        if has_requests:
            if self._active_since_s is None:
                self._active_since_s = now_s
            self._last_request_s = now_s
        elif (
            self._active_since_s is not None
            and now_s - self._last_request_s > PAUSE_S
        ):
            self._active_since_s = None

    def last_used(
        self, in_use: Mapping[Key, int], now_s: float
    ) -> dict[Key, float]:
        """Returns when targets were last in use, by engine and target.

        Args:
          in_use: Requests in flight by engine and target.
          now_s: Monotonic time.
        """
        self._last_used_s = {
            key: at_s
            for key, at_s in self._last_used_s.items()
            if now_s - at_s < LAST_USE_TTL_S
        } | dict.fromkeys(in_use, now_s)
        return self._last_used_s

    def demand(
        self,
        service: str,
        spec: serving.EngineSpec,
        reported: Mapping[Key, fm.TargetDemand],
        in_use: Mapping[Key, int],
        held: set[str],
        requested_targets: Mapping[tuple[str, str, str], float],
        now_s: float,
    ) -> dict[str, placement_types.ModelDemand]:
        """Returns the demand by model.

        Args:
          service: The service of the models.
          spec: What its engines can load.
          reported: Demand over all instances, by service and target.
          in_use: Requests in flight by engine and target.
          held: Models that some engine holds.
          requested_targets: Targets that requests wait for, by service, target
            and engine.
          now_s: Monotonic time.
        """
        rates: dict[str, float] = {}
        late: dict[str, float] = {}
        slots_used: dict[str, float] = {}
        prefill: dict[str, float] = {}
        waiting: dict[str, int] = {}
        returning: dict[str, int] = {}
        missed_s: dict[str, float] = {}
        patient: dict[str, list[fm.TargetDemand]] = {}
        for (of_service, target), demand_row in reported.items():
            if of_service == service:
                model = target.partition("/")[0]
                rates[model] = rates.get(model, 0.0) + demand_row.rate
                # Patient requests take an engine's time like all others.
                rate = (
                    demand_row.rate + max(0, demand_row.patient_millirate) / 1e3
                )
                used = rate * demand_row.place_s
                slots_used[model] = slots_used.get(model, 0.0) + used
                prefill_load = rate * demand_row.read_s
                prefill[model] = prefill.get(model, 0.0) + prefill_load
                late[model] = (
                    late.get(model, 0.0) + demand_row.rate * demand_row.late
                )
                if demand_row.patient_waiting or demand_row.patient_millirate:
                    patient.setdefault(model, []).append(demand_row)
                returning[model] = returning.get(model, 0) + max(
                    0, demand_row.returning
                )
                missed_s[model] = max(
                    missed_s.get(model, 0.0), demand_row.missed_ms / 1e3
                )
                if model == target:
                    waiting[model] = waiting.get(model, 0) + demand_row.waiting
        for of_service, target, _ in requested_targets:
            if of_service == service and "/" not in target:
                waiting[target] = max(1, waiting.get(target, 0))
        self._note_activity(bool(rates or waiting or patient), now_s)
        self._smooth(service, spec, rates, patient, now_s)
        running: dict[str, int] = {}
        for (_, target), count in in_use.items():
            model = target.partition("/")[0]
            running[model] = running.get(model, 0) + count
        demand = {}
        for name in spec.models:
            key = (service, name)
            patient_rate = self._patient_rates.get(key, 0.0)
            group_size = _group_size(patient.get(name, ()))
            is_asked = bool(
                rates.get(name)
                or waiting.get(name)
                or patient_rate
                or group_size
                or returning.get(name)
            )
            demand[name] = placement_types.ModelDemand(
                rates.get(name, 0.0),
                self._long_term_rates.get(key, 0.0),
                _engines_needed(
                    spec,
                    prefill.get(name, 0.0),
                    slots_used.get(name, 0.0),
                    running.get(name, 0),
                ),
                waiting.get(name, 0),
                late.get(name, 0.0) / max(rates.get(name, 0.0), 1e-9),
                self._missed_s(
                    key, is_asked, name in held, missed_s.get(name, 0.0), now_s
                ),
                patient_rate,
                group_size,
                patient_demand.least_left_s(
                    row.patient_left_ms / 1e3
                    for row in patient.get(name, ())
                    if row.patient_waiting > 0
                ),
                min(returning.get(name, 0), patient_demand.MAX_GROUP),
            )
        return demand

    def _missed_s(
        self,
        key: Key,
        is_asked: bool,
        is_held: bool,
        reported_s: float,
        now_s: float,
    ) -> float:
        """Returns for how long callers have asked for a model in vain.

        What instances report counts too: a new lease holder has not seen when
        the model was missed first.

        Args:
          key: The service and the model.
          is_asked: Whether callers ask for it, or are to come back for it.
          is_held: Whether some engine holds it.
          reported_s: The longest time for which an instance's callers miss it.
          now_s: Monotonic time.
        """
        if is_held:
            self._last_held_s[key] = now_s
        if is_held or not is_asked:
            self._missing_since_s.pop(key, None)
            return 0.0
        since_s = max(now_s - reported_s, self._last_held_s.get(key, -math.inf))
        since_s = min(since_s, self._missing_since_s.get(key, now_s))
        self._missing_since_s[key] = since_s
        return now_s - since_s

    def _smooth(
        self,
        service: str,
        spec: serving.EngineSpec,
        rates: Mapping[str, float],
        patient: Mapping[str, list[fm.TargetDemand]],
        now_s: float,
    ) -> None:
        elapsed_s = 0.0 if self._at_s is None else now_s - self._at_s
        self._at_s = now_s
        keep = math.exp(-elapsed_s / LONG_TERM_S)
        for name in spec.models:
            key = (service, name)
            long_term_rate = self._long_term_rates.get(key, 0.0)
            rate = min(MAX_LONG_TERM_RATE, rates.get(name, 0.0))
            self._long_term_rates[key] = rate + (long_term_rate - rate) * keep
            smoothed = self._patient_rates.pop(key, 0.0)
            rate = sum(row.patient_millirate for row in patient.get(name, ()))
            rate = min(MAX_PATIENT_RATE, max(0.0, rate / 1e3))
            smoothed = rate + (smoothed - rate) * keep
            if smoothed >= MIN_PATIENT_RATE:
                self._patient_rates[key] = smoothed
