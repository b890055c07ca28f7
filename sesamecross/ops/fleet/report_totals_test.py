"""Tests of the totals over the reports of instances."""

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.ops.fleet import health
from sesamecross.ops.fleet import reachability
from sesamecross.ops.fleet import report_totals

DEMAND = fm.TargetDemand("s", "m", 2.0, 1, 0.5, 1.0, 0.1)


def report(number: int) -> fm.Report:
    return fm.Report(
        fm.Member(f"front-{number}", 1, "z1", "h:1", 1, 1),
        1,
        [
            fm.UpstreamLoad("both", 2, 300, 1, 0, 0),
            fm.UpstreamLoad(f"only-{number}", 1, 0, 0, 0, 1),
        ],
        [fm.TargetLoad("both", "m", 2), fm.TargetLoad("both", f"m{number}", 1)],
        [DEMAND],
        [fm.UpstreamOutcomes("both", 1.0, 4.0)],
        quotas=[fm.WorkspaceUse("w", 10.0, 20.0)],
    )


def test_totals_are_sums_over_all_reports():
    totals = report_totals.aggregate(report(number) for number in (1, 2, 3))
    assert totals.running == {"both": 6, "only-1": 1, "only-2": 1, "only-3": 1}
    assert totals.prompt_tokens["both"] == 900
    counts = reachability.ReachabilityCounts
    assert totals.reports["both"] == counts(hears=3)
    assert totals.reports["only-2"] == counts(refused=1)
    assert totals.failing == {"both": health.Outcomes(3.0, 12.0)}
    assert totals.quotas["w"].admitted == 30.0
    assert totals.in_use["both", "m"] == 6
    assert totals.in_use["both", "m2"] == 1
    demand = totals.demand["s", "m"]
    assert (demand.rate, demand.waiting) == (pytest.approx(6.0), 3)
    assert demand.late == pytest.approx(0.5)


def test_demand_is_added_up_once_and_only_if_it_is_asked_for(monkeypatch):
    """Guards against its cost at instances that have no use for it.

    Every hub added up some hundred rows of demand ten times a second, which
    only the lease's holder reads.
    """
    added = []
    add = report_totals._add_demand
    monkeypatch.setattr(
        report_totals,
        "_add_demand",
        lambda demand, entry: (added.append(entry), add(demand, entry)),
    )
    totals = report_totals.aggregate([report(1), report(2)])
    totals.loads()
    totals.failures()
    assert not added
    assert totals.demand == totals.demand
    assert len(added) == 2
