"""A fake plain service that counts how often each idempotency key ran."""

import threading
import time

from sesamecross.fakes import base


class ServiceServer(base.FakeServer):
    """Answers any method and path, and records what ran."""

    def __init__(self, name: str, listen: str, work_ms: int):
        super().__init__(name, listen, threads=64)
        self._name = name
        self._lock = threading.Lock()
        self._runs: dict[str, int] = {}
        self._without_key = 0
        self._reads = 0
        self._faults = {"fail_status": 0, "work_ms": work_ms, "leaving": False}
        self.route("POST", "/fake/faults", self._set_faults)
        self.route("GET", "/fake/stats", self._get_stats)
        self.route("GET", "/admin/status", self._status)
        self.route("ANY", "/.*", self._call)

    def _call(self, request: base.Request) -> base.Response:
        body = request.body
        if self._faults["leaving"]:
            headers = {"X-Not-Run": "leaving"}
            return base.Response({"error": "leaving"}, 503, headers)
        key = request.header("Idempotency-Key")
        with self._lock:
            if request.method in ("GET", "HEAD"):
                self._reads += 1
            elif key:
                self._runs[key] = self._runs.get(key, 0) + 1
            else:
                self._without_key += 1
        time.sleep(self._faults["work_ms"] / 1000)
        if self._faults["fail_status"]:
            status = self._faults["fail_status"]
            return base.Response({"error": "told to fail"}, status)
        headers = {"X-Request-Id": request.header("X-Request-Id")}
        answer = {
            "service": self._name,
            "method": request.method,
            "path": request.path,
            "key": key,
            "bytes": len(body),
        }
        return base.Response(answer, 200, headers)

    def _status(self, _request: base.Request) -> base.Response:
        return base.Response({"leaving": self._faults["leaving"]})

    def _set_faults(self, request: base.Request) -> base.Response:
        self._faults |= request.json()
        return base.Response(dict(self._faults))

    def _get_stats(self, _request: base.Request) -> base.Response:
        with self._lock:
            return base.Response(
                {
                    "runs": dict(self._runs),
                    "without_key": self._without_key,
                    "reads": self._reads,
                }
            )
