"""Metrics of a process, in the standard names and units.

Why: one place that knows the library. Counters end in `_total`, times are in
seconds, sizes in bytes. The library's collectors read, add and write in
separate steps, so updates from several threads are guarded by a lock here;
without it increments would be lost under load.
"""

from collections.abc import Sequence
import threading

import aioprometheus

DURATION_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.32,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)

Labels = dict[str, str]


class Metrics:
    """A process's counters, gauges and histograms. Safe for threads."""

    __slots__ = ("_registry", "_collectors", "_lock")

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._collectors: dict[str, aioprometheus.Counter] = {}
        self._lock = threading.Lock()

    def count(self, name: str, doc: str, labels: Labels, by: int = 1) -> None:
        """Adds to a counter."""
        with self._lock:
            self._collector(aioprometheus.Counter, name, doc).add(labels, by)

    def set(self, name: str, doc: str, labels: Labels, value: float) -> None:
        """Sets a gauge."""
        with self._lock:
            self._collector(aioprometheus.Gauge, name, doc).set(labels, value)

    def observe(
        self,
        name: str,
        doc: str,
        labels: Labels,
        value: float,
        buckets: Sequence[float] = DURATION_BUCKETS_S,
    ) -> None:
        """Adds an observation to a histogram."""
        with self._lock:
            self._collector(
                aioprometheus.Histogram, name, doc, buckets=buckets
            ).observe(labels, value)

    def _collector(self, cls: type, name: str, doc: str, **more):
        if name not in self._collectors:
            self._collectors[name] = cls(
                name, doc, registry=self._registry, **more
            )
        return self._collectors[name]

    def render(self) -> tuple[bytes, str]:
        """Returns the text form and its content type."""
        with self._lock:
            body, headers = aioprometheus.render(self._registry, ["text/plain"])
        return body, headers["Content-Type"]
