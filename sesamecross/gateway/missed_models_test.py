"""Tests of what operators see of models that callers miss."""

import structlog

from sesamecross.fakes import placement_samples as samples
from sesamecross.gateway import missed_models
from sesamecross.ops.fleet import placement_types
from sesamecross.runtime import metrics as metrics_lib


def test_a_missed_model_shows_in_logs_and_metrics():
    """Guards against models that are never loaded and that no log names."""
    metrics = metrics_lib.Metrics()
    reports = missed_models.MissedModelReports(structlog.get_logger(), metrics)
    demand = placement_types.ModelDemand(
        0.0, 0.0, 0.0, 0, 0.0, 7.5, 0.2, 3, -4.0
    )
    inputs = samples.inputs(
        [samples.engine("e1", "busy", "stays")], {"rare": demand}, {}
    )
    target = {"e1": frozenset({"busy", "rare"})}
    with structlog.testing.capture_logs() as lines:
        reports.report("s", inputs, target)
        # Again only after the interval.
        reports.report("s", inputs, target)
    (line,) = lines
    assert line["event"] == "model missed"
    assert (line["model"], line["missed_ms"]) == ("rare", 7500)
    assert (line["patient"], line["planned"]) == (3, ["e1"])
    text = metrics.render()[0].decode()
    assert 'sesamecross_models_missed{service="s"} 1' in text
    assert 'sesamecross_model_longest_miss_seconds{service="s"} 7.5' in text
    reports.clear()
    assert (
        'sesamecross_models_missed{service="s"} 0'
        in metrics.render()[0].decode()
    )
