"""A fake of the platform's append-only log.

It keeps records in memory. Faults make it unavailable or slow, limit the
retention, or lose the answers to appends that took effect.
"""

import base64
import threading
import time

from sesamecross.fakes import base

MAX_RECORDS_KEPT = 200_000


class LogServer(base.FakeServer):
    """Serves any number of streams; faults apply to all streams."""

    def __init__(self, name: str, listen: str, appends_per_second: int):
        super().__init__(name, listen, threads=64)
        self._max_appends_per_second = appends_per_second
        self._condition = threading.Condition()
        self._records: dict[str, list[bytes]] = {}
        self._first_offsets: dict[str, int] = {}
        self._window: tuple[int, int] = (0, 0)
        self._faults = {
            "outage": False,
            "slow_ms": 0,
            "lose_answers": 0,
            "retention": MAX_RECORDS_KEPT,
        }
        self._stats = {"appends": 0, "append_bytes": 0, "reads": 0}
        self._stats |= {"read_bytes": 0, "throttled": 0, "lost_answers": 0}
        records_path = "/streams/([a-z0-9-]+)/records"
        self.route("POST", records_path, self._append)
        self.route("GET", records_path, self._read)
        self.route("POST", "/fake/faults", self._set_faults)
        self.route("GET", "/fake/stats", self._get_stats)

    def _append(self, request: base.Request) -> base.Response:
        body = request.body
        if self._is_down():
            return base.Response({"error": "outage"}, 503)
        stream = request.match.group(1)
        with self._condition:
            if self._is_throttled():
                self._stats["throttled"] += 1
                return base.Response({"error": "too many appends"}, 429)
            retained = self._records.setdefault(stream, [])
            offset = self._first_offsets.setdefault(stream, 0) + len(retained)
            retained.append(body)
            self._expire(stream)
            self._stats["appends"] += 1
            self._stats["append_bytes"] += len(body)
            self._condition.notify_all()
            if self._faults["lose_answers"] > 0:
                self._faults["lose_answers"] -= 1
                self._stats["lost_answers"] += 1
                return base.Response({"error": "answer lost"}, 503)
        return base.Response({"offset": offset})

    def _is_throttled(self) -> bool:
        second = int(time.monotonic())
        window_s, count = self._window
        count = count + 1 if window_s == second else 1
        self._window = (second, count)
        return count > self._max_appends_per_second

    def _expire(self, stream: str) -> None:
        retained = self._records[stream]
        surplus = len(retained) - self._faults["retention"]
        if surplus > 0:
            del retained[:surplus]
            self._first_offsets[stream] += surplus

    def _is_down(self) -> bool:
        if self._faults["slow_ms"]:
            time.sleep(self._faults["slow_ms"] / 1000)
        return self._faults["outage"]

    def _read(self, request: base.Request) -> base.Response:
        if self._is_down():
            return base.Response({"error": "outage"}, 503)
        query = request.query()
        start_offset = int(query.get("from", "0"))
        limit = int(query.get("limit", "500"))
        wait_s = int(query.get("wait_ms", "0")) / 1000
        stream = request.match.group(1)
        with self._condition:
            self._condition.wait_for(
                lambda: (
                    self._next_offset(stream) > start_offset
                    or self._faults["outage"]
                ),
                timeout=wait_s,
            )
            if self._faults["outage"]:
                return base.Response({"error": "outage"}, 503)
            return self._page_response(stream, start_offset, limit)

    def _next_offset(self, stream: str) -> int:
        retained = self._records.get(stream, [])
        return self._first_offsets.get(stream, 0) + len(retained)

    def _page_response(
        self, stream: str, start_offset: int, limit: int
    ) -> base.Response:
        first = self._first_offsets.get(stream, 0)
        retained = self._records.get(stream, [])
        begin_index = max(start_offset, first) - first
        page = retained[begin_index : begin_index + limit]
        self._stats["reads"] += 1
        self._stats["read_bytes"] += sum(len(record) for record in page)
        body = {
            "first": first,
            "next": first + len(retained),
            "records": [base64.b64encode(record).decode() for record in page],
        }
        return base.Response(body, 410 if start_offset < first else 200)

    def _set_faults(self, request: base.Request) -> base.Response:
        with self._condition:
            self._faults |= request.json()
            for stream in self._records:
                self._expire(stream)
            self._condition.notify_all()
            return base.Response(dict(self._faults))

    def _get_stats(self, _request: base.Request) -> base.Response:
        with self._condition:
            streams = {name: self._next_offset(name) for name in self._records}
            return base.Response(self._stats | {"streams": streams})
