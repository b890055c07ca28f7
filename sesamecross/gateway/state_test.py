"""Tests of what new settings change in an instance's beliefs."""

import dataclasses

import pytest

from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.gateway import state as state_lib

INSTANCE = dataclasses.replace(
    samples.INSTANCE,
    bounds=serving.Bounds(
        retry_share=0.2, retry_extra=20.0, retry_window_s=10.0
    ),
)
ROUTE = serving.Route(
    "r",
    "h",
    "/",
    serving.RouteKind.IDEMPOTENT,
    (serving.Target("s", 1.0),),
    5,
    3,
    5.0,
    1.0,
    0.0,
    False,
    False,
)


def instance_with_bounds(**changes) -> serving.Instance:
    changed = dataclasses.replace(INSTANCE.bounds, **changes)
    return dataclasses.replace(INSTANCE, bounds=changed)


def spend_until_exhausted(budget, now_s: float) -> int:
    """Spends until nothing is left; returns how often."""
    return sum(budget.spend(now_s, 1) for _ in range(1000))


def test_a_reload_does_not_reset_the_retry_budget():
    """Engines got several times the retries that all instances may send.

    They failed while settings changed a few times: each change of any bound
    forgot what had been spent, and the whole budget was there once more. What
    requests under way spent was counted where nobody looked any more. What
    was spent is no setting, so it must outlive them.
    """
    state = state_lib.State(INSTANCE)
    budget = state.retry_budget(ROUTE)
    allowed = spend_until_exhausted(budget, 100.0)
    assert allowed > 0
    again = 0
    for number in range(1, 6):
        state.apply_settings(instance_with_bounds(drain_s=2.5 + number))
        again += spend_until_exhausted(
            state.retry_budget(ROUTE), 100.0 + number
        )
        again += spend_until_exhausted(budget, 100.0 + number)
    assert again == 0


# The bounds that change, and whether more may be spent then.
CHANGES = [
    ({"retry_extra": 40.0}, True),
    ({"retry_extra": 2.0}, False),
    ({"retry_share": 1.0}, True),
    ({"retry_share": 0.0}, False),
    # What was spent 2 s ago is forgotten by a window of 1 s.
    ({"retry_window_s": 1.0}, True),
]


@pytest.mark.parametrize(("changes", "has_more"), CHANGES)
def test_a_changed_retry_budget_applies_to_requests_in_progress(
    changes, has_more
):
    """A changed retry budget did not hold for requests under way."""
    state = state_lib.State(INSTANCE)
    budget = state.retry_budget(ROUTE)
    for _ in range(100):
        budget.request(100.0)
    assert spend_until_exhausted(budget, 100.0) > 0
    state.apply_settings(instance_with_bounds(**changes))
    assert (spend_until_exhausted(budget, 102.0) > 0) is has_more


def test_a_smaller_retry_budget_applies_at_once():
    state = state_lib.State(INSTANCE)
    for _ in range(100):
        state.retry_budget(ROUTE).request(100.0)
    state.apply_settings(instance_with_bounds(retry_extra=0.0, retry_share=0.0))
    assert spend_until_exhausted(state.retry_budget(ROUTE), 100.0) <= 1
