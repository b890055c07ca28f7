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


def missed_s(
    history: demand_history.DemandHistory,
    rows: list[fm.TargetDemand],
    held: set[str],
    now_s: float,
) -> float:
    """Returns for how long a model is missed, as a lease holder plans by."""
    model = serving.ModelSpec("m", 40.0, 2.0, 0.5, 0.3, 0, 1.0)
    spec = serving.EngineSpec(12, 66_000, 200.0, 8, 2.0, 8, {"m": model})
    reported = {(row.service, row.target): row for row in rows}
    demand = history.demand("s", spec, reported, {}, held, {}, now_s)
    return demand["m"].missed_s


def test_the_next_lease_holder_knows_for_how_long_a_model_is_missed():
    """Guards against a line that starts anew with each lease holder."""
    meter = demand_lib.DemandMeter()
    meter.record_patient_request(KEY, 100.0, PREFILL_S)
    meter.begin_patient_wait(KEY, 104.0)
    first = demand_history.DemandHistory()
    assert missed_s(first, meter.rows(100.0), set(), 100.0) == 0.0
    assert missed_s(first, meter.rows(107.0), set(), 107.0) == 7.0
    following = demand_history.DemandHistory()
    assert missed_s(following, meter.rows(108.0), set(), 108.0) == 8.0
    # Once it was held, only the time since then counts.
    assert missed_s(following, meter.rows(109.0), {"m"}, 109.0) == 0.0
    assert missed_s(following, meter.rows(111.0), set(), 111.0) == 2.0


def test_a_request_that_is_sent_ends_the_time_in_vain():
    """Guards against a model that stays first in line after it was served."""
    meter = demand_lib.DemandMeter()
    meter.record_request(KEY, 0.0, PREFILL_S)
    assert meter.rows(0.5)[0].missed_ms == 0
    assert meter.rows(2.0)[0].missed_ms == 2000
    meter.record_prompt(KEY, PREFILL_S)
    assert meter.rows(3.0)[0].missed_ms == 0
    meter.record_request(KEY, 4.0, PREFILL_S)
    assert meter.rows(5.5)[0].missed_ms == 1500


def test_refused_callers_are_counted_until_they_should_have_returned():
    """Guards against models that nobody waits for as all were told to return.

    The rate of their requests is no longer reported by then.
    """
    meter = demand_lib.DemandMeter()
    meter.record_patient_request(KEY, 0.0, PREFILL_S)
    meter.record_refusal(KEY, 6.6)
    meter.record_refusal(KEY, 20.0)
    assert meter.rows(7.0)[0].returning == 2
    assert meter.rows(15.0)[0].returning == 1
    totals: dict[tuple[str, str], fm.TargetDemand] = {}
    for row in (*meter.rows(15.0), *meter.rows(15.0)):
        report_totals._add_demand(totals, row)
    assert totals[KEY].returning == 2
    assert totals[KEY].missed_ms == 15_000
    assert not meter.rows(22.0)


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
