"""How much each model and adapter is asked for, as one instance sees it.

Why: what is loaded has to follow what is asked for within seconds, and that
includes requests that were refused or wait because it is not loaded. Rates
are smoothed with a forgetting that needs no timer; they add up over
instances.
"""

import dataclasses
import math

from sesamecross.core import fleet_messages as fm

# Demand moves to other models within a few seconds; a rate smoothed over
# this follows it, and a single request still shows for some seconds.
RATE_S = 2.0
# A rate below this is as good as none and is no longer told.
RATE_LEAST = 0.01
LATE_WEIGHT = 0.1
# Weight of the newest request in how long one takes its place in a batch, and
# in how long its prompt takes to read.
WORK_WEIGHT = 0.1

Key = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Meter:
    rate: float = 0.0
    at_s: float = 0.0
    waiting: int = 0
    late: float = 0.0
    place_s: float = 0.0
    read_s: float = 0.0

    def now(self, now_s: float) -> float:
        """Returns the rate, faded to now."""
        return self.rate * math.exp((self.at_s - now_s) / RATE_S)


class DemandMeter:
    """Meters by service and target."""

    __slots__ = ("_meters",)

    def __init__(self) -> None:
        self._meters: dict[Key, _Meter] = {}

    def record_request(self, key: Key, now_s: float, read_s: float) -> None:
        """Counts a request.

        Args:
          key: What it asks for.
          now_s: Monotonic time.
          read_s: A guess at how long its prompt takes to read, for a target
            of which no prompt was sent yet.
        """
        meter = self._meters.setdefault(key, _Meter())
        meter.rate = meter.now(now_s) + 1.0 / RATE_S
        meter.at_s = now_s
        meter.read_s = meter.read_s or read_s

    def adjust_waiting(self, key: Key, by: int) -> None:
        """A request begins (1) or ends (-1) to wait for the target."""
        self._meters.setdefault(key, _Meter()).waiting += by

    def record_outcome(self, key: Key, was_late: bool) -> None:
        """Notes whether a request missed its objective."""
        meter = self._meters.setdefault(key, _Meter())
        meter.late += (float(was_late) - meter.late) * LATE_WEIGHT

    def record_service_time(self, key: Key, lasted_s: float) -> None:
        """Notes how long a request was at an engine, from sending to end."""
        meter = self._meters.setdefault(key, _Meter())
        if not meter.place_s:
            meter.place_s = lasted_s
        meter.place_s += (lasted_s - meter.place_s) * WORK_WEIGHT

    def record_prompt(self, key: Key, read_s: float) -> None:
        """Notes how long a prompt that is sent takes to read."""
        meter = self._meters.setdefault(key, _Meter(read_s=read_s))
        meter.read_s += (read_s - meter.read_s) * WORK_WEIGHT

    def rows(self, now_s: float) -> list[fm.TargetDemand]:
        """Returns what is asked for now; forgets what no longer is."""
        rows = []
        for key in list(self._meters):
            meter = self._meters[key]
            rate = meter.now(now_s)
            if rate < RATE_LEAST and not meter.waiting:
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
                )
            )
        return rows
