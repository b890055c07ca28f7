"""The fake engine's accelerator memory and its orders.

It refuses an overcommit, as the true engines would fail in one, and counts
each refusal: a system that keeps its promise never causes one.
"""

import threading
import uuid

import urllib3

ORDERS_REMEMBERED = 1000


class EngineMemory:
    """What is resident, what is loading, and what orders did."""

    def __init__(self, capacity_mib: int, checks_fencing: bool, store_url: str):
        self.capacity_mib = capacity_mib
        self.epoch = uuid.uuid4().hex[:12]
        self.peak_mib = 0
        self.overcommit_attempts = 0
        self.stale_fences_refused = 0
        self.fence = 0
        self.orders: dict[str, str] = {}
        self._checks_fencing = checks_fencing
        self._store_url = store_url
        self._lock = threading.Lock()
        # Name to (MiB, version, ready).
        self._held: dict[str, tuple[int, str, bool]] = {}
        self._pool = urllib3.PoolManager(maxsize=32, retries=False)

    def resident(self) -> list[str]:
        """Returns the names that are ready, sorted."""
        with self._lock:
            return sorted(n for n, held in self._held.items() if held[2])

    def used_mib(self) -> int:
        """Returns the memory held by what is resident or loading."""
        with self._lock:
            return self._used()

    def _used(self) -> int:
        return sum(held[0] for held in self._held.values())

    def order(self, order: dict) -> str:
        """Takes an order; returns its state. Loads go on by themselves."""
        with self._lock:
            order_id = order["order_id"]
            if order_id in self.orders:
                return self.orders[order_id]
            state = self._judge(order)
            self.orders[order_id] = state
            while len(self.orders) > ORDERS_REMEMBERED:
                self.orders.pop(next(iter(self.orders)))
        if state == "loading":
            thread = threading.Thread(
                target=self._load, args=(order,), daemon=True
            )
            thread.start()
        return state

    def _judge(self, order: dict) -> str:
        if self._checks_fencing and order["fence"] < self.fence:
            self.stale_fences_refused += 1
            return "refused"
        self.fence = max(self.fence, order["fence"])
        target = order["target"]
        if order["action"].startswith("unload"):
            self._held.pop(target, None)
            return "applied"
        if target in self._held:
            return "applied" if self._held[target][2] else "loading"
        if self._used() + order["memory_mib"] > self.capacity_mib:
            self.overcommit_attempts += 1
            return "refused"
        self._held[target] = (order["memory_mib"], order["version"], False)
        self.peak_mib = max(self.peak_mib, self._used())
        return "loading"

    def _load(self, order: dict) -> None:
        kind = "model" if order["action"] == "load_model" else "adapter"
        body = {
            "name": order["target"],
            "mib": order["memory_mib"],
            "kind": kind,
        }
        try:
            response = self._pool.request(
                "POST", f"{self._store_url}/loads", json=body, timeout=120.0
            )
            loaded = response.status == 200
        except urllib3.exceptions.HTTPError:
            loaded = False
        with self._lock:
            held = self._held.get(order["target"])
            if held is None:
                self.orders[order["order_id"]] = "refused"
            elif loaded:
                self._held[order["target"]] = (held[0], held[1], True)
                self.orders[order["order_id"]] = "applied"
            else:
                del self._held[order["target"]]
                self.orders[order["order_id"]] = "refused"
