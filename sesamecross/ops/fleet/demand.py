"""Measures the demand for each model and adapter at one instance.

Loaded models have to follow demand within seconds. Demand includes requests
that are refused or wait because their model is not loaded. Rates are smoothed
by exponential decay, which needs no timer, and can be added up over instances.
"""

import math

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.ops.fleet import patient_demand

# Time constant of the rate. Demand moves to other models within a few seconds;
# this follows it, and a single request still shows for some seconds.
RATE_TIME_CONSTANT_S = 2.0
# A rate below this, in requests per second, counts as none and is not reported.
MIN_RATE = 0.01
LATE_WEIGHT = 0.1
# Weight of the newest request in the averages of service and prefill time.
TIME_WEIGHT = 0.1
# A caller that has not retried within this after the time that it was told is
# not expected any more.
RETURN_GRACE_S = 1.0
# A target that callers have asked for in vain for less than this is not
# reported as missed: most requests are sent sooner.
MIN_MISSED_S = 1.0

Key = tuple[str, str]


class _Meter(msgspec.Struct):
    rate: float = 0.0
    at_s: float = 0.0
    waiting: int = 0
    late: float = 0.0
    place_s: float = 0.0
    read_s: float = 0.0
    patient_rate: float = 0.0
    patient_at_s: float = 0.0
    # When the patient requests that wait must be sent to be on time.
    patient_due_s: list[float] = []
    # Refused callers by the second until which they are expected.
    returning: dict[int, int] = {}
    # Since when no request for the target was sent; None if there was none.
    missed_since_s: float | None = None

    def note_asked(self, now_s: float) -> None:
        """Records that a request for the target has arrived."""
        if self.missed_since_s is None:
            self.missed_since_s = now_s

    def rate_at(self, now_s: float) -> float:
        """Returns the rate, decayed to now."""
        return self.rate * math.exp((self.at_s - now_s) / RATE_TIME_CONSTANT_S)

    def patient_rate_at(self, now_s: float) -> float:
        """Returns the rate of patient requests, decayed to now."""
        elapsed_s = now_s - self.patient_at_s
        return self.patient_rate * math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)

    def returning_at(self, now_s: float) -> int:
        """Returns the refused callers that are still expected."""
        for second in [one for one in self.returning if one <= now_s]:
            del self.returning[second]
        return sum(self.returning.values())

    def missed_ms(self, now_s: float) -> int:
        """Returns for how long none was served, or 0 if that is short."""
        if self.missed_since_s is None:
            return 0
        missed_s = now_s - self.missed_since_s
        return _milliseconds(missed_s) if missed_s >= MIN_MISSED_S else 0


class DemandMeter:
    """Demand by service and target."""

    __slots__ = ("_meters",)

    def __init__(self) -> None:
        self._meters: dict[Key, _Meter] = {}

    def record_request(self, key: Key, now_s: float, read_s: float) -> None:
        """Counts a request.

        Args:
          key: The requested service and target.
          now_s: Monotonic time.
          read_s: Estimated prefill time of its prompt, used until a prompt for
            the target has been sent.
        """
        meter = self._meters.setdefault(key, _Meter())
        meter.rate = meter.rate_at(now_s) + 1.0 / RATE_TIME_CONSTANT_S
        meter.at_s = now_s
        meter.note_asked(now_s)
        meter.read_s = meter.read_s or read_s

    def record_patient_request(
        self, key: Key, now_s: float, read_s: float
    ) -> None:
        """Counts a patient request, which keeps no model resident.

        Args:
          key: The requested service and target.
          now_s: Monotonic time.
          read_s: As for `record_request`.
        """
        meter = self._meters.setdefault(key, _Meter())
        meter.patient_rate = (
            meter.patient_rate_at(now_s) + 1.0 / RATE_TIME_CONSTANT_S
        )
        meter.patient_at_s = now_s
        meter.note_asked(now_s)
        meter.read_s = meter.read_s or read_s

    def begin_patient_wait(self, key: Key, due_s: float) -> None:
        """Records that a patient request waits for a load.

        Args:
          key: The requested service and target.
          due_s: When it must be sent to be on time.
        """
        self._meters.setdefault(key, _Meter()).patient_due_s.append(due_s)

    def end_patient_wait(self, key: Key, due_s: float) -> None:
        """Records that a patient request stops waiting."""
        self._meters.setdefault(key, _Meter()).patient_due_s.remove(due_s)

    def adjust_waiting(self, key: Key, change: int) -> None:
        """Records that a request starts (1) or stops (-1) waiting."""
        self._meters.setdefault(key, _Meter()).waiting += change

    def record_refusal(self, key: Key, returns_s: float) -> None:
        """Counts a caller that is to retry once the target is loaded.

        Args:
          key: The requested service and target.
          returns_s: The monotonic time that it was told.
        """
        returning = self._meters.setdefault(key, _Meter()).returning
        until = math.ceil(returns_s + RETURN_GRACE_S)
        returning[until] = returning.get(until, 0) + 1

    def record_outcome(self, key: Key, was_late: bool) -> None:
        """Records whether a request missed its latency objective."""
        meter = self._meters.setdefault(key, _Meter())
        meter.late += (float(was_late) - meter.late) * LATE_WEIGHT

    def record_service_time(self, key: Key, duration_s: float) -> None:
        """Records how long a request was at an engine, from sending to end."""
        meter = self._meters.setdefault(key, _Meter())
        if not meter.place_s:
            meter.place_s = duration_s
        meter.place_s += (duration_s - meter.place_s) * TIME_WEIGHT

    def record_prompt(self, key: Key, read_s: float) -> None:
        """Records the expected prefill time of a prompt that is sent."""
        meter = self._meters.setdefault(key, _Meter(read_s=read_s))
        meter.read_s += (read_s - meter.read_s) * TIME_WEIGHT
        meter.missed_since_s = None

    def rows(self, now_s: float) -> list[fm.TargetDemand]:
        """Returns the current demand; drops targets that have none."""
        rows = []
        for key in list(self._meters):
            meter = self._meters[key]
            rate = meter.rate_at(now_s)
            patient_rate = meter.patient_rate_at(now_s)
            patient_due_s = meter.patient_due_s
            returning = meter.returning_at(now_s)
            if (
                max(rate, patient_rate) < MIN_RATE
                and not meter.waiting
                and not patient_due_s
                and not returning
            ):
                del self._meters[key]
                continue
            rows.append(
                fm.TargetDemand(
                    *key,
                    round(rate, 3),
                    meter.waiting,
                    round(meter.late, 2),
                    round(meter.place_s, 3),
                    round(meter.read_s, 4),
                    len(patient_due_s),
                    _milliseconds(
                        patient_demand.least_left_s(
                            due_s - now_s for due_s in patient_due_s
                        )
                    ),
                    round(patient_rate * 1000),
                    returning,
                    meter.missed_ms(now_s),
                )
            )
        return rows


def _milliseconds(time_s: float) -> int:
    """Returns a time rounded to ms, and below 0 if it is negative."""
    return math.floor(time_s * 1000)
