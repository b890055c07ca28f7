"""Tests of the load that a model's requests put on engines."""

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.ops.fleet import demand as demand_lib
from sesamecross.ops.fleet import demand_history
from sesamecross.ops.fleet import report_totals

STREAM_DURATION_S = 1.6
PREFILL_S = 0.03
KEY = ("s", "m")


def load(
    slots: int, rate: float, place_s: float, running: int = 0, read_s=PREFILL_S
):
    model = serving.ModelSpec("m", 40.0, 2.0, 0.5, 0.3, 0, 1.0)
    spec = serving.EngineSpec(slots, 66_000, 200.0, 8, 2.0, 8, {"m": model})
    reported = {KEY: fm.TargetDemand("s", "m", rate, 0, 0.0, place_s, read_s)}
    demand = demand_history.DemandHistory().demand(
        "s", spec, reported, {("e1", "m"): running}, {"m"}, {}, 100.0
    )
    return demand["m"].load


@pytest.mark.parametrize(
    ("slots", "rate", "place_s", "running", "expected"),
    [
        # A small batch is full long before the engine's prefill rate is
        # reached: 15 requests per second take 24 slots, two engines of 12.
        (12, 15.0, STREAM_DURATION_S, 11, 2.0),
        # A large batch has free slots, so the prefill counts.
        (64, 15.0, STREAM_DURATION_S, 24, 0.45),
        # Short responses hold their slots only briefly.
        (12, 15.0, 0.1, 2, 0.45),
        # No request has ended yet: only the running ones are known.
        (12, 1.0, 0.0, 12, 1.0),
    ],
)
def test_load_counts_slots_by_demand(slots, rate, place_s, running, expected):
    """Guards against refusing a third of the requests while engines are idle.

    Engines had 12 slots. One was full and refused further requests. As no more
    requests ran than it had slots, the model got no second engine.
    """
    assert load(slots, rate, place_s, running) == pytest.approx(expected)


@pytest.mark.parametrize("read_s", [PREFILL_S / 3, PREFILL_S, 3 * PREFILL_S])
def test_load_grows_with_prefill_time(read_s):
    """Guards against refusals at an engine with many long prompts."""
    assert load(64, 15.0, 0.1, 2, read_s) == pytest.approx(15.0 * read_s)


def test_prefill_time_is_learned_and_estimated_before():
    demand = demand_lib.DemandMeter()
    demand.record_request(KEY, 0.0, PREFILL_S)
    assert demand.rows(0.0)[0].read_s == PREFILL_S
    for _ in range(60):
        demand.record_request(KEY, 0.0, PREFILL_S)
        demand.record_prompt(KEY, 3 * PREFILL_S)
    assert demand.rows(0.0)[0].read_s == pytest.approx(3 * PREFILL_S, rel=0.01)


def test_service_time_is_learned_from_ended_requests():
    demand = demand_lib.DemandMeter()
    demand.record_request(KEY, 0.0, PREFILL_S)
    assert demand.rows(0.0)[0].place_s == 0.0
    for _ in range(60):
        demand.record_service_time(KEY, STREAM_DURATION_S)
    row = demand.rows(0.0)[0]
    assert row.place_s == pytest.approx(STREAM_DURATION_S)
    # An instance where no request has ended does not lower the mean.
    unknown = fm.TargetDemand("s", "m", 9.0, 0, 0.0, 0.0)
    me = fm.Member("a", 1, "z", "a:1", 1, 1)
    totals = report_totals.aggregate(
        [
            fm.Report(me, 1, demand=[row]),
            fm.Report(me, 1, demand=[unknown]),
        ]
    )
    assert totals.demand[KEY].place_s == pytest.approx(STREAM_DURATION_S)
    assert totals.demand[KEY].rate == pytest.approx(9.5)
