"""Tests of what an instance assumes that an engine holds."""

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.ops.fleet import engine_state

ENTRY = serving.Upstream("e", "s", "a:1", "z", 8, False, 1)


def placement(orders: int, *targets: str) -> fm.EnginePlacement:
    return fm.EnginePlacement("e", 1, orders, list(targets), [], [])


@pytest.mark.parametrize("orders", [7, 8, 9])
def test_the_latest_placement_counts_whatever_its_count_of_orders(orders):
    """Guards against an outdated view of an engine whose count decreased."""
    engine = engine_state.EngineState()
    engine.apply_placement(placement(8, "m"), 0.0)
    engine.apply_placement(placement(orders, "n"), 0.1)
    assert engine.targets(ENTRY, 0.2) == {"n"}


@pytest.mark.parametrize(
    ("orders", "holds"), [(7, True), (8, False), (9, True)]
)
def test_an_absent_target_stays_absent_until_the_count_differs(orders, holds):
    engine = engine_state.EngineState()
    engine.apply_placement(placement(8, "m"), 0.0)
    engine.absent["m"] = 0.1
    engine.apply_placement(placement(orders, "m"), 0.2)
    assert engine.holds(ENTRY, "m", 0.3) is holds


def test_targets_follow_entry_placement_and_its_age():
    """Guards against requests to an engine for what it held before."""
    engine = engine_state.EngineState()
    own = serving.ResidentModel("own", frozenset({"a"}))
    entry = serving.Upstream("e", "s", "a:1", "z", 8, False, 1, (own,))
    assert engine.targets(entry, 0.0) == {"own", "own/a"}
    assert engine.targets(ENTRY, 0.0) == set()
    engine.apply_placement(placement(1, "m"), 0.0)
    assert engine.targets(entry, 0.1) == {"m"}
    engine.apply_placement(placement(2, "n"), 0.2)
    assert engine.targets(entry, 0.3) == {"n"}
    old_s = 0.3 + engine_state.PLACEMENT_TTL_S
    assert engine.targets(entry, old_s) == {"own", "own/a"}
    restarted = serving.Upstream("e", "s", "a:1", "z", 8, False, 2)
    assert engine.targets(restarted, 0.3) == set()
    assert engine.targets(entry, 0.3) == {"n"}
