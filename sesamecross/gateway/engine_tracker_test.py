"""Tests of what is told of engines that refuse orders."""

import pytest
import structlog

from sesamecross.core import serving
from sesamecross.fakes import placement_simulation as player_lib
from sesamecross.gateway import engine_tracker


def told(orders: int, is_busy: bool) -> serving.EngineReport:
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


# The books' count, the engine's, whether it is busy, and what that tells.
CAUSES = [
    (3, 3, True, engine_tracker.ConflictCause.UNDER_WAY),
    (3, 2, True, engine_tracker.ConflictCause.COUNT),
    (3, 4, False, engine_tracker.ConflictCause.COUNT),
    (3, 3, False, engine_tracker.ConflictCause.OVER),
]


@pytest.mark.parametrize(("books", "engine", "is_busy", "cause"), CAUSES)
def test_a_report_tells_why_orders_were_refused(books, engine, is_busy, cause):
    assert engine_tracker.conflict_cause(books, told(engine, is_busy)) is cause


def test_orders_refused_in_a_row_leave_a_line_and_a_count():
    """Guards against engines that take no orders and nobody hears of it."""
    player = player_lib.Simulation()
    try:
        player.run(1.0)
        # Another holder's order, of which these books don't know.
        player.engine.orders += 1
        player.wanted = {"m/a1"}
        with structlog.testing.capture_logs() as lines:
            player.run(2.0)
        assert player.engine.answers("m/a1")
    finally:
        player.close()
    refused = [one for one in lines if one["event"] == "refused in a row"]
    assert [(one["books"], one["engine"]) for one in refused] == [(0, 1)]
    assert refused[0]["why"] == "another count"
    corrected = [one for one in lines if one["event"] == "books corrected"]
    assert len(corrected) == 1
    assert b"sesamecross_order_conflicts_total" in player.metrics.render()[0]
