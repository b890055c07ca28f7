"""Process metrics in Prometheus format.

This is the only module that uses the metrics library. Names of counters end in
`_total`, times are in seconds, sizes in bytes. The library's collectors encode
the labels of each update as JSON, and updates are far more frequent than
scrapes. So updates are kept as plain numbers, and the library gets them, and is
imported, only for a scrape.
"""

import bisect
from collections.abc import Sequence
import threading
from typing import Any

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
_LabelKey = tuple[tuple[str, str], ...]


def _key(labels: Labels) -> _LabelKey:
    if len(labels) < 2:
        return tuple(labels.items())
    return tuple(sorted(labels.items()))


class _Distribution:
    """The observations of a histogram with one set of labels."""

    __slots__ = ("counts", "sum")

    def __init__(self, buckets: int):
        # By bucket, without those of smaller buckets; the last has no bound.
        self.counts = [0] * (buckets + 1)
        self.sum = 0.0


class _Family:
    """All values of a metric."""

    __slots__ = ("kind", "doc", "buckets", "values")

    def __init__(self, kind: str, doc: str, buckets: Sequence[float] = ()):
        # The name of the library's class.
        self.kind = kind
        self.doc = doc
        self.buckets = buckets
        self.values: dict[_LabelKey, Any] = {}


class Metrics:
    """A process's counters, gauges and histograms. Thread-safe."""

    __slots__ = ("_families", "_lock")

    def __init__(self) -> None:
        self._families: dict[str, _Family] = {}
        # Updates read, add and write in separate steps.
        self._lock = threading.Lock()

    def count(self, name: str, doc: str, labels: Labels, by: int = 1) -> None:
        """Adds to a counter.

        Raises:
          ValueError: The amount is negative.
        """
        if by < 0:
            raise ValueError(f"{name}: counters can't decrease")
        key = _key(labels)
        with self._lock:
            values = self._family("Counter", name, doc).values
            values[key] = values.get(key, 0) + by

    def set(self, name: str, doc: str, labels: Labels, value: float) -> None:
        """Sets a gauge."""
        key = _key(labels)
        with self._lock:
            self._family("Gauge", name, doc).values[key] = value

    def observe(
        self,
        name: str,
        doc: str,
        labels: Labels,
        value: float,
        buckets: Sequence[float] = DURATION_BUCKETS_S,
    ) -> None:
        """Adds an observation to a histogram."""
        key = _key(labels)
        with self._lock:
            family = self._family("Histogram", name, doc, buckets)
            known = family.values.get(key)
            if known is None:
                known = _Distribution(len(family.buckets))
                family.values[key] = known
            known.counts[bisect.bisect_left(family.buckets, value)] += 1
            known.sum += value

    def _family(
        self, kind: str, name: str, doc: str, buckets: Sequence[float] = ()
    ) -> _Family:
        family = self._families.get(name)
        if family is None:
            family = self._families[name] = _Family(kind, doc, buckets)
        return family

    def render(self) -> tuple[bytes, str]:
        """Returns the text exposition format and its content type."""
        # Instances that nobody scrapes do without it.
        import aioprometheus

        registry = aioprometheus.Registry()
        with self._lock:
            for name, family in self._families.items():
                _register(registry, name, family)
        body, headers = aioprometheus.render(registry, ["text/plain"])
        return body, headers["Content-Type"]


def _register(registry: Any, name: str, family: _Family) -> None:
    """Passes a metric's values to the library."""
    import aioprometheus

    options = {"buckets": family.buckets} if family.kind == "Histogram" else {}
    collector = getattr(aioprometheus, family.kind)(
        name, family.doc, registry=registry, **options
    )
    for key, value in family.values.items():
        if isinstance(value, _Distribution):
            value = _histogram(family.buckets, value)
        collector.set_value(dict(key), value)


def _histogram(buckets: Sequence[float], distribution: _Distribution) -> Any:
    from aioprometheus import histogram

    filled = histogram.Histogram(*buckets)
    for bound, count in zip(filled.buckets, distribution.counts, strict=True):
        filled.observations += count
        # The library's buckets include those of smaller bounds.
        filled.buckets[bound] = filled.observations
    filled.sum = distribution.sum
    return filled
