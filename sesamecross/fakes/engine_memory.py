"""The fake engine's accelerator memory and its orders.

It refuses a load that would overcommit the memory, where a real engine would
fail, and counts each refusal: the system under test must never cause one.
"""

import threading
import uuid

import urllib3

MAX_REMEMBERED_ORDERS = 1000


class EngineMemory:
    """Resident and loading models and adapters, and the outcomes of orders."""

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
        # (MiB, version, is ready) by name.
        self._held: dict[str, tuple[int, str, bool]] = {}
        self._pool = urllib3.PoolManager(maxsize=32, retries=False)

    def resident(self) -> list[str]:
        """Returns the names of what is loaded, sorted."""
        with self._lock:
            return sorted(n for n, held in self._held.items() if held[2])

    def used_mib(self) -> int:
        """Returns the memory used by what is resident or loading."""
        with self._lock:
            return self._used_mib()

    def _used_mib(self) -> int:
        return sum(held[0] for held in self._held.values())

    def order(self, order: dict) -> str:
        """Applies an order; returns its state. Loads go on in a thread."""
        with self._lock:
            order_id = order["order_id"]
            if order_id in self.orders:
                return self.orders[order_id]
            state = self._start_order(order)
            self.orders[order_id] = state
            while len(self.orders) > MAX_REMEMBERED_ORDERS:
                self.orders.pop(next(iter(self.orders)))
        if state == "loading":
            thread = threading.Thread(
                target=self._load, args=(order,), daemon=True
            )
            thread.start()
        return state

    def _start_order(self, order: dict) -> str:
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
        if self._used_mib() + order["memory_mib"] > self.capacity_mib:
            self.overcommit_attempts += 1
            return "refused"
        self._held[target] = (order["memory_mib"], order["version"], False)
        self.peak_mib = max(self.peak_mib, self._used_mib())
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
