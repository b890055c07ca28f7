"""Tests of the effect of new settings on an instance's state."""

import msgspec
import pytest

from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.gateway import state as state_lib

INSTANCE = msgspec.structs.replace(
    samples.INSTANCE,
    bounds=serving.Bounds(
        retry_ratio=0.2, retry_extra=20.0, retry_window_s=10.0
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
    changed = msgspec.structs.replace(INSTANCE.bounds, **changes)
    return msgspec.structs.replace(INSTANCE, bounds=changed)


def spend_until_exhausted(budget, now_s: float) -> int:
    """Spends until the budget is exhausted; returns the number of retries."""
    return sum(budget.spend(now_s, 1) for _ in range(1000))


def test_a_reload_does_not_reset_the_retry_budget():
    """Engines got several times the retries that the budget allows.

    They failed while settings were reloaded a few times. Each change of any
    bound replaced the budget with an unspent one, and requests in progress
    went on spending from the old one. The retries spent must survive a change
    of settings.
    """
    state = state_lib.State(INSTANCE)
    budget = state.retry_budget(ROUTE)
    allowed = spend_until_exhausted(budget, 100.0)
    assert allowed > 0
    retries_after_reload = 0
    for number in range(1, 6):
        state.apply_settings(instance_with_bounds(drain_s=2.5 + number))
        retries_after_reload += spend_until_exhausted(
            state.retry_budget(ROUTE), 100.0 + number
        )
        retries_after_reload += spend_until_exhausted(budget, 100.0 + number)
    assert retries_after_reload == 0


# The changed bounds, and whether more retries are allowed afterwards.
CHANGES = [
    ({"retry_extra": 40.0}, True),
    ({"retry_extra": 2.0}, False),
    ({"retry_ratio": 1.0}, True),
    ({"retry_ratio": 0.0}, False),
    # A window of 1 s no longer includes retries of 2 s ago.
    ({"retry_window_s": 1.0}, True),
]


@pytest.mark.parametrize(("changes", "has_more"), CHANGES)
def test_a_changed_retry_budget_applies_to_requests_in_progress(
    changes, has_more
):
    """A changed retry budget did not apply to requests in progress."""
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
    state.apply_settings(instance_with_bounds(retry_extra=0.0, retry_ratio=0.0))
    assert spend_until_exhausted(state.retry_budget(ROUTE), 100.0) <= 1


def test_changed_memory_is_in_force_at_once():
    """Guards against budgets that keep the limit of the start."""
    state = state_lib.State(samples.INSTANCE)
    told = []
    state.memory_listeners.append(told.append)
    for memory_bytes in (400_000_000, 400_000_000, 200_000_000):
        state.apply_settings(
            msgspec.structs.replace(samples.INSTANCE, memory_bytes=memory_bytes)
        )
    assert told == [400_000_000, 200_000_000]
    assert state.memory_bytes == 200_000_000
