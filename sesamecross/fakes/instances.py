"""A fake of the platform's list of live and leaving instances, with a lag."""

import threading
import time

from sesamecross.fakes import base


class InstancesServer(base.FakeServer):
    """Lists each change only after the lag has passed."""

    def __init__(self, name: str, listen: str, lag_ms: int):
        super().__init__(name, listen, threads=16)
        self._lag_s = lag_ms / 1000
        self._lock = threading.Lock()
        self._changes: list[tuple[float, dict]] = []
        self.route("GET", "/instances", self._list)
        self.route("POST", "/fake/set", self._set_instance)
        self.route("GET", "/fake/stats", self._get_stats)

    def _list(self, _request: base.Request) -> base.Response:
        now_s = time.monotonic()
        entries: dict[str, dict] = {}
        with self._lock:
            for changed_s, entry in self._changes:
                if changed_s + self._lag_s > now_s:
                    continue
                if entry["state"] == "gone":
                    entries.pop(entry["instance"], None)
                else:
                    entries[entry["instance"]] = entry
        return base.Response(list(entries.values()))

    def _set_instance(self, request: base.Request) -> base.Response:
        entry = request.json()
        # Instances that exist from the start are listed without a lag.
        changed_s = 0.0 if entry.pop("at_once", False) else time.monotonic()
        with self._lock:
            self._changes.append((changed_s, entry))
            self._changes.sort(key=lambda change: change[0])
        return base.Response({"ok": True})

    def _get_stats(self, _request: base.Request) -> base.Response:
        return base.Response({"changes": len(self._changes)})
