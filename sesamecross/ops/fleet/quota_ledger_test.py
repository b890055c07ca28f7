"""Tests of one instance's decisions on quotas."""

import random

import pytest

from sesamecross.core import serving
from sesamecross.ops.fleet import quota_ledger
from sesamecross.ops.fleet.quota_ledger import Usage

TOLERANCE = quota_ledger.Tolerance(8.0, 0.1, 17_000.0)
RATE, BURST = 10_000.0, 10_000.0
OWED = RATE * 8 + BURST


def workspace(
    rate: float = RATE, burst: float = BURST, counts_tokens: bool = True
) -> serving.Workspace:
    quota = serving.Quota(rate, burst, counts_tokens, 200)
    return serving.Workspace("w", frozenset(), None, quota)


@pytest.fixture(name="ledger")
def fixture_ledger():
    ledger = quota_ledger.QuotaLedger(random.Random(1))
    ledger.set_tolerance(TOLERANCE)
    ledger.record_others({}, 0.0)
    return ledger


@pytest.mark.parametrize(
    "counts_tokens, tokens, cost",
    [
        (True, 1_500, 1_500),
        (True, 0, 0),
        (True, None, 200),
        (False, 1_500, 1),
        (False, None, 1),
    ],
)
def test_a_request_counts_by_the_quotas_unit(counts_tokens, tokens, cost):
    assert workspace(counts_tokens=counts_tokens).quota.cost(tokens) == cost


def test_a_workspace_without_a_quota_is_admitted(ledger):
    free = serving.Workspace("w", frozenset())
    assert all(ledger.admit(free, 1e9, 0.0) is None for _ in range(10))
    assert not ledger.rows(0.0)


def test_what_is_owed_is_admitted_one_after_the_other(ledger):
    """Guards against refusals below the quota."""
    step_s = 1_000 / RATE
    for number in range(200):
        assert ledger.admit(workspace(), 1_000, number * step_s) is None


def test_no_more_than_the_tolerance_is_admitted_at_once(ledger):
    admitted = 0.0
    for number in range(2_000):
        if ledger.admit(workspace(), 1_000, number * 0.0005) is None:
            admitted += 1_000
    assert 0.8 * OWED < admitted < OWED * 1.1 + TOLERANCE.slack


def test_what_others_use_is_not_admitted_here(ledger):
    ledger.record_others({"w": Usage(OWED * 1.2, 5_000)}, 0.0)
    refusal = ledger.admit(workspace(), 1_000, 0.0)
    assert refusal.after_s > 0


def test_a_refusal_says_when_there_is_room(ledger):
    """Guards against callers that come back in vain."""
    ledger.record_others({"w": Usage(OWED + 30_000)}, 0.0)
    refusal = ledger.admit(workspace(), 1_000, 0.0)
    assert 1.0 <= refusal.after_s <= 6.0


def test_a_request_over_the_whole_quota_is_refused_in_time(ledger):
    refusal = ledger.admit(workspace(), 1e9, 0.0)
    assert refusal.after_s <= TOLERANCE.window_s


def test_what_has_not_run_is_given_back(ledger):
    for number in range(300):
        assert ledger.admit(workspace(), 1_000, number * 0.02) is None
        ledger.give_back(workspace(), 1_000, number * 0.02, number * 0.02)
    assert ledger.rows(6.0)["w"].admitted == 0
    # Both pass out of the window.
    assert ledger.rows(20.0).get("w", Usage()).admitted == 0


def test_a_return_takes_nothing_from_later_windows(ledger):
    """Guards against returns that outlive the request that they undo."""
    assert ledger.admit(workspace(), 1_000, 0.0) is None
    assert ledger.admit(workspace(), 2_000, 5.0) is None
    ledger.give_back(workspace(), 1_000, 0.0, 5.5)
    assert ledger.rows(6.0)["w"].admitted == 2_000
    assert ledger.rows(9.0)["w"].admitted == 2_000


def test_a_repeat_counts_again(ledger):
    assert ledger.admit(workspace(), 1_000, 0.0) is None
    ledger.charge(workspace(), 1_000, 0.1)
    assert ledger.rows(0.1)["w"].admitted == 2_000
    assert "w" not in ledger.rows(20.0)


@pytest.mark.parametrize(
    "share, least, most", [(1.0, 0.8, 1.3), (0.3, 0.2, 0.4)]
)
def test_a_part_of_the_instances_uses_its_part(ledger, share, least, most):
    """Guards against both sides of a cut that use the whole quota."""
    ledger.set_share(share)
    admitted = sum(
        1_000
        for number in range(2_000)
        if ledger.admit(workspace(), 1_000, number * 0.0005) is None
    )
    assert least * OWED < admitted < most * OWED


def test_a_new_quota_counts_at_once(ledger):
    for number in range(60):
        ledger.admit(workspace(), 1_000, number * 0.1)
    lower = workspace(rate=1_000.0, burst=0.0)
    assert ledger.admit(lower, 1_000, 6.0) is not None


def test_rows_are_bounded(ledger):
    for number in range(1_500):
        one = serving.Workspace(
            f"w{number}", frozenset(), None, workspace().quota
        )
        ledger.admit(one, 1_000, 0.0)
    assert len(ledger.rows(0.0)) == quota_ledger.MAX_ROWS


def test_workspaces_that_are_gone_are_forgotten(ledger):
    ledger.admit(workspace(), 1_000, 0.0)
    ledger.keep_only(frozenset())
    assert not ledger.rows(0.0)
