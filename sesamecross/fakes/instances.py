"""A fake of the platform's list of live and leaving instances; it lags."""

import threading
import time

from sesamecross.fakes import base


class InstancesServer(base.FakeServer):
    """Shows each change only after the lag has passed."""

    def __init__(self, name: str, listen: str, lag_ms: int):
        super().__init__(name, listen, threads=16)
        self._lag_s = lag_ms / 1000
        self._lock = threading.Lock()
        self._changes: list[tuple[float, dict]] = []
        self.route("GET", "/instances", self._list)
        self.route("POST", "/fake/set", self._set)
        self.route("GET", "/fake/stats", self._get_stats)

    def _list(self, _request: base.Request) -> base.Response:
        now = time.monotonic()
        lines: dict[str, dict] = {}
        with self._lock:
            for at, line in self._changes:
                if at + self._lag_s > now:
                    continue
                if line["state"] == "gone":
                    lines.pop(line["instance"], None)
                else:
                    lines[line["instance"]] = line
        return base.Response(list(lines.values()))

    def _set(self, request: base.Request) -> base.Response:
        line = request.json()
        # The instances of the first minute stand before any lag matters.
        at = 0.0 if line.pop("at_once", False) else time.monotonic()
        with self._lock:
            self._changes.append((at, line))
            self._changes.sort(key=lambda change: change[0])
        return base.Response({"ok": True})

    def _get_stats(self, _request: base.Request) -> base.Response:
        return base.Response({"changes": len(self._changes)})
