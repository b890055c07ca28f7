"""Tests of how slow an upstream counts as."""

import math

import msgspec
import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import report_totals
from sesamecross.ops.fleet import upstream_speed

USUAL = 0.8


def tally(ratio: float, count: float) -> upstream_speed.SpeedTally:
    return upstream_speed.SpeedTally(ratio * count, count)


@pytest.mark.parametrize(
    ("ratio", "count", "is_slow"),
    [
        (USUAL, 10.0, False),
        # What load explains.
        (2 * USUAL, 10.0, False),
        # A single answer at a seventh of the usual speed, and several.
        (7 * USUAL, 1.0, True),
        (7 * USUAL, 2.0, True),
        (7 * USUAL, 100.0, True),
        # Answers that were seen long ago.
        (7 * USUAL, 0.1, False),
    ],
)
def test_an_engine_is_slow_after_few_answers(ratio, count, is_slow):
    """Guards against a slow engine that is not found out, and false alarms."""
    assert (tally(ratio, count).slowness(USUAL) > 1.0) is is_slow


@pytest.mark.parametrize("count", [1.0, 4.0, 1000.0])
def test_what_was_seen_is_forgotten_within_five_seconds(count):
    """Guards against an engine that is avoided after it has recovered."""
    record = upstream_speed.SpeedRecord()
    for _ in range(int(count)):
        record.record(upstream_speed.MAX_RATIO / 10)
    record.recent(0.0)
    assert record.recent(5.0).slowness(USUAL) == 1.0


@pytest.mark.parametrize("value", [-1e9, -1.0, 0.0, 1e300, math.inf, math.nan])
@pytest.mark.parametrize("usual", [0.0, -1.0, USUAL, math.inf, math.nan])
def test_false_figures_have_a_bounded_effect(value, usual):
    """Guards against reports that make an engine free, or unusable."""
    record = upstream_speed.SpeedRecord()
    record.record(value)
    tallies = [
        record.recent(1.0),
        upstream_speed.SpeedTally(value, 1.0),
        upstream_speed.SpeedTally(1.0, value),
        upstream_speed.SpeedTally(value, value).minus(tally(1.0, 1.0)),
    ]
    for one in tallies:
        slowness = one.slowness(usual)
        assert 1.0 <= slowness <= upstream_speed.MAX_SLOWNESS


def test_rows_of_an_earlier_version_have_no_speeds():
    """Guards against an update during which instances don't understand."""
    row = msgspec.msgpack.decode(
        msgspec.msgpack.encode(["u", 1.0, 2.0]), type=fm.UpstreamOutcomes
    )
    assert (row.ratios, row.answers) == (0.0, 0.0)


def test_speeds_are_added_up_over_instances():
    """Guards against totals that lose what instances report."""
    rows = [fm.UpstreamOutcomes("u", 1.0, 2.0, 7.0, 1.0)] * 3
    me = fm.Member("front-1", 7, "z1", "10.0.0.1:7380", 3, 104)
    totals = report_totals.aggregate(
        [fm.Report(me, 1, failing=[row]) for row in rows]
    )
    assert totals.failures() == [fm.UpstreamOutcomes("u", 3.0, 6.0, 21.0, 3.0)]


@pytest.mark.parametrize(
    ("instances", "most_rows"), [(129, directory_lib.MAX_SLOW_ROWS), (8, 0)]
)
def test_few_rows_are_reported_however_many_engines_are_slow(
    instances, most_rows
):
    """Guards against reports that fill a link, and rows in small fleets."""
    directory = directory_lib.Directory(2.5)
    for number in range(100):
        name = f"e{number}"
        directory.update_entry(
            serving.Upstream(name, "e", f"{name}:1", "z", 12, False, 1)
        )
    records = [known.engine.speed_record for known in directory]
    for number, record in enumerate(records):
        for _ in range(4):
            record.record(USUAL if number >= 45 else 7 * USUAL)
    directory.update_usual_speeds(instances, 1.0)
    rows = directory.reported_outcomes(1.0)
    assert len(rows) == most_rows
