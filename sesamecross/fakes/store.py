"""A fake of the rate-limited weight store.

Engines call it to load; the answer comes when the load is complete. A load
takes its base time at full speed, and proportionally longer while more than
`full_speed_loads` run. Loads start no faster than the rate limit.
"""

import threading
import time

from sesamecross.fakes import base

ADAPTER_LOAD_S = 0.005


class StoreServer(base.FakeServer):
    """Serves loads of models and adapters."""

    def __init__(self, name: str, listen: str, flags):
        super().__init__(name, listen, threads=96)
        self._loads_per_second = flags.loads_per_second
        self._full_speed_loads = flags.full_speed_loads
        self._adapter_limit = flags.adapters_in_transit
        self._load_s = flags.load_s
        self._lock = threading.Lock()
        self._next_start_s = 0.0
        self._in_flight = {"model": 0, "adapter": 0}
        self._stats = {"model": 0, "adapter": 0, "refused": 0, "mib": 0}
        self._stats |= {"peak_model": 0, "peak_adapter": 0}
        self._faults = {"outage": False, "slow_ms": 0, "lose_answers": 0}
        self.route("POST", "/loads", self._load)
        self.route("GET", "/status", self._status)
        self.route("POST", "/fake/faults", self._set_faults)
        self.route("GET", "/fake/stats", self._get_stats)

    def _load(self, request: base.Request) -> base.Response:
        order = request.json()
        kind = order["kind"]
        if self._faults["outage"]:
            self._stats["refused"] += 1
            return base.Response({"error": "outage"}, 503)
        time.sleep(self._start_load(kind, int(order["mib"])))
        with self._lock:
            self._in_flight[kind] -= 1
            if self._faults["lose_answers"] > 0:
                self._faults["lose_answers"] -= 1
                return base.Response({"error": "answer lost"}, 503)
        return base.Response({"ok": True})

    def _start_load(self, kind: str, mib: int) -> float:
        """Counts the load as running; returns how long it takes, in seconds."""
        with self._lock:
            self._in_flight[kind] += 1
            self._stats[kind] += 1
            self._stats["mib"] += mib
            peak = f"peak_{kind}"
            running = self._in_flight[kind]
            self._stats[peak] = max(self._stats[peak], running)
            slow_s = self._faults["slow_ms"] / 1000
            if kind == "adapter":
                factor = max(1.0, running / self._adapter_limit)
                return ADAPTER_LOAD_S * factor + slow_s
            now_s = time.monotonic()
            start_s = max(now_s, self._next_start_s)
            self._next_start_s = start_s + 1 / self._loads_per_second
            factor = max(1.0, running / self._full_speed_loads)
            return start_s - now_s + self._load_s * factor + slow_s

    def _status(self, _request: base.Request) -> base.Response:
        if self._faults["outage"]:
            return base.Response({"error": "outage"}, 503)
        return base.Response({"in_flight": self._in_flight})

    def _set_faults(self, request: base.Request) -> base.Response:
        self._faults |= request.json()
        return base.Response(dict(self._faults))

    def _get_stats(self, _request: base.Request) -> base.Response:
        return base.Response(self._stats | {"in_flight": self._in_flight})
