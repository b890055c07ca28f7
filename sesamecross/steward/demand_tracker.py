"""Demand as request rates by model and adapter.

Placement follows demand, which can change tenfold within an hour. Each
steward smooths its entry's counts exponentially and gossips the rates.
"""

import math

from sesamecross.core import data
from sesamecross.ops import gossip
from sesamecross.ops import timeline

DEMAND_PREFIX = "demand/"
HALF_LIFE_MS = 20_000
# Calls per second; lower rates are residue of the smoothing and are dropped.
MIN_RATE_PER_S = 0.001


class DemandTracker:
    """Smooths one entry's counts and sums the rates of all entries."""

    __slots__ = ("_me", "_store", "_recorder", "_rates")

    def __init__(
        self,
        me: data.Member,
        store: gossip.ItemStore,
        recorder: timeline.Recorder,
    ):
        self._me = me
        self._store = store
        self._recorder = recorder
        self._rates: dict[str, float] = {}

    def record_counts(self, calls: dict[str, int], interval_ms: int) -> None:
        """Adds an entry's counts and publishes the smoothed rates."""
        decay = math.exp2(-interval_ms / HALF_LIFE_MS)
        names = self._rates.keys() | calls.keys()
        rates = {}
        for name in names:
            current = calls.get(name, 0) * 1000 / max(1, interval_ms)
            rate = self._rates.get(name, 0.0) * decay + current * (1 - decay)
            if rate >= MIN_RATE_PER_S:
                rates[name] = round(rate, 4)
        if rates == self._rates:
            return
        self._rates = rates
        stamp = self._recorder.now()
        item = gossip.Item(
            DEMAND_PREFIX + self._me.incarnation.instance,
            stamp.wall_ms,
            stamp.count,
            rates,
            self._me.zone,
            everywhere=True,
        )
        self._store.put(item)

    def rates(self) -> dict[str, float]:
        """Returns calls per second over all entries, by name."""
        total: dict[str, float] = {}
        for item in self._store.with_prefix(DEMAND_PREFIX):
            if not isinstance(item.value, dict):
                continue
            for name, rate in item.value.items():
                total[name] = total.get(name, 0.0) + rate
        return total
