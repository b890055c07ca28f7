"""Process metrics in Prometheus format.

This is the only module that uses the metrics library. Names of counters end in
`_total`, times are in seconds, sizes in bytes. The library's collectors read,
add and write in separate steps, so a lock guards updates from several threads;
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
    """A process's counters, gauges and histograms. Thread-safe."""

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

    def _collector(self, cls: type, name: str, doc: str, **options):
        if name not in self._collectors:
            self._collectors[name] = cls(
                name, doc, registry=self._registry, **options
            )
        return self._collectors[name]

    def render(self) -> tuple[bytes, str]:
        """Returns the text exposition format and its content type."""
        with self._lock:
            body, headers = aioprometheus.render(self._registry, ["text/plain"])
        return body, headers["Content-Type"]
