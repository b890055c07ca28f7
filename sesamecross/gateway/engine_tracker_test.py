"""Tests of how refused orders are explained and logged."""

import pytest
import structlog

from sesamecross.core import serving
from sesamecross.fakes import placement_simulation as simulation_lib
from sesamecross.gateway import engine_tracker


def engine_report(orders: int, is_busy: bool) -> serving.EngineReport:
    return serving.EngineReport(
        1,
        orders,
        is_busy,
        (),
        frozenset(),
        serving.WeightCopies(),
        0,
        0,
        0,
        0,
    )


# The tracked count, the engine's count, whether it is busy, and the cause.
CAUSES = [
    (3, 3, True, engine_tracker.ConflictCause.UNDER_WAY),
    (3, 2, True, engine_tracker.ConflictCause.COUNT),
    (3, 4, False, engine_tracker.ConflictCause.COUNT),
    (3, 3, False, engine_tracker.ConflictCause.OVER),
]


@pytest.mark.parametrize(("tracked", "engine", "is_busy", "cause"), CAUSES)
def test_a_report_tells_why_orders_were_refused(
    tracked, engine, is_busy, cause
):
    assert (
        engine_tracker.conflict_cause(tracked, engine_report(engine, is_busy))
        is cause
    )


def test_consecutive_refused_orders_are_logged_and_counted():
    """Guards against an engine that refuses all orders without a log line."""
    simulation = simulation_lib.Simulation()
    try:
        simulation.run(1.0)
        # An order of another holder, which the tracker does not know of.
        simulation.engine.orders += 1
        simulation.requested_targets = {"m/a1"}
        with structlog.testing.capture_logs() as lines:
            simulation.run(2.0)
        assert simulation.engine.can_serve("m/a1")
    finally:
        simulation.close()
    refused = [line for line in lines if line["event"] == "refused in a row"]
    assert [(line["books"], line["engine"]) for line in refused] == [(0, 1)]
    assert refused[0]["why"] == "another count"
    corrected = [line for line in lines if line["event"] == "books corrected"]
    assert len(corrected) == 1
    assert (
        b"sesamecross_order_conflicts_total" in simulation.metrics.render()[0]
    )
