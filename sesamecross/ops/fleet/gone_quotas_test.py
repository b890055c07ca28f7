"""Tests of what hubs keep of instances that are gone or started again."""

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.ops.fleet import quota_ledger
from sesamecross.ops.fleet import report_totals

WINDOW_S = 8.0


def report(incarnation: int, number: int, admitted: float) -> fm.Report:
    me = fm.Member("front-1", incarnation, "z", "", 1, 1)
    return fm.Report(me, number, quotas=[fm.WorkspaceUse("w", admitted, 700.0)])


@pytest.mark.parametrize(
    "later, now_s, expected",
    [
        # It still reports.
        ([(1.0, report(1, 2, 900.0))], 1.1, []),
        # It started again.
        ([(1.0, report(2, 1, 0.0))], 1.1, [500.0]),
        ([(1.0, report(2, 1, 0.0)), (8.0, report(2, 9, 0.0))], 8.1, []),
        # It is silent.
        ([], 3.0, [500.0]),
        ([], 9.0, []),
        # It was silent for a while only.
        ([(4.0, report(1, 2, 900.0))], 4.1, []),
    ],
)
def test_what_was_admitted_outlives_its_instance_for_a_window(
    later, now_s, expected
):
    """Guards against kills that free quotas that were used (QUOTA)."""
    messages = report_totals.LatestMessages()
    messages.take(report(1, 1, 500.0), 0.0)
    messages.gone_quotas(0.1, WINDOW_S)
    for at_s, message in later:
        messages.gone_quotas(at_s - 0.1, WINDOW_S)
        messages.take(message, at_s)
    rows = messages.gone_quotas(now_s, WINDOW_S)
    assert [row.admitted for row in rows] == expected
    assert all(row.asked == 0 for row in rows)


def test_rows_of_all_instances_are_bounded():
    """Guards against messages that grow with the number of workspaces."""
    totals = report_totals.aggregate([])
    totals.add_quotas(
        fm.WorkspaceUse(f"w{number}", float(number), 0.0)
        for number in range(5 * quota_ledger.MAX_ROWS)
    )
    rows = totals.quota_uses()
    assert len(rows) == quota_ledger.MAX_ROWS
    assert rows[0].admitted == 5 * quota_ledger.MAX_ROWS - 1
