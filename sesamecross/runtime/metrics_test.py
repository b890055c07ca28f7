"""Tests of the process's metrics."""

import subprocess
import sys
import threading

import aioprometheus
import pytest

from sesamecross.runtime import metrics as metrics_lib

OBSERVED = (0.0, 0.001, 0.0011, 0.3, 9.9, 10.0, 25.0)


def test_the_text_is_that_of_the_library():
    """Guards against values that the library would state differently."""
    metrics = metrics_lib.Metrics()
    registry = aioprometheus.Registry()
    counter = aioprometheus.Counter("c_total", "Count.", registry=registry)
    gauge = aioprometheus.Gauge("g", "Gauge.", registry=registry)
    histogram = aioprometheus.Histogram(
        "h",
        "Histogram.",
        registry=registry,
        buckets=metrics_lib.DURATION_BUCKETS_S,
    )
    for labels in ({}, {"b": "1", "a": "2"}, {"a": "2", "b": "1"}):
        metrics.count("c_total", "Count.", labels, 3)
        counter.add(labels, 3)
        metrics.set("g", "Gauge.", labels, 0.5)
        gauge.set(labels, 0.5)
        for value in OBSERVED:
            metrics.observe("h", "Histogram.", labels, value)
            histogram.observe(labels, value)
    body, content_type = metrics.render()
    expected, headers = aioprometheus.render(registry, ["text/plain"])
    assert body == expected
    assert content_type == headers["Content-Type"]
    assert metrics.render()[0] == body


def test_a_counter_does_not_decrease():
    with pytest.raises(ValueError, match="decrease"):
        metrics_lib.Metrics().count("c_total", "Count.", {}, -1)


def test_no_update_is_lost_between_threads():
    """Guards against updates that read, add and write in separate steps."""
    metrics = metrics_lib.Metrics()

    def add():
        for _ in range(2000):
            metrics.count("c_total", "Count.", {})

    threads = [threading.Thread(target=add) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert b"c_total 8000" in metrics.render()[0]


def test_updates_do_not_use_the_library():
    """Guards against its cost in each update, and in each start."""
    code = (
        "import sys\n"
        "from sesamecross.runtime import metrics\n"
        "one = metrics.Metrics()\n"
        "one.count('c_total', 'd', {'a': 'b'})\n"
        "one.observe('h', 'd', {}, 0.1)\n"
        "assert 'aioprometheus' not in sys.modules\n"
        "one.render()\n"
        "assert 'aioprometheus' in sys.modules\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True)
