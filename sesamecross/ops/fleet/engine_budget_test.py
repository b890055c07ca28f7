"""Tests of the accounts of an engine's batch slots and memory."""

import pytest

from sesamecross.ops.fleet import engine_budget

SLOTS = 4


def key(number: int) -> engine_budget.Key:
    return ("instance", number)


def free_slots(
    budget: engine_budget.EngineBudget, running: float, now_s: float
) -> int:
    """Returns how many more requests the engine may take, by its reports."""
    return budget.free_slots(SLOTS, budget.unleased(running, now_s))


def budget_with(count: int, now_s: float = 0.0) -> engine_budget.EngineBudget:
    """Returns a budget whose pacer is long in office, with some leases."""
    budget = engine_budget.EngineBudget(now_s - 10.0)
    for step in range(11):
        budget.end(("other", step), now_s - 10.0 + step)
    for number in range(count):
        budget.grant(key(number), 100, now_s)
    return budget


def test_a_slot_is_leased_until_the_stream_ends():
    """Guards against slots given away at the first event of their streams."""
    budget = budget_with(4)
    assert free_slots(budget, 0, 0.1) == 0
    budget.confirm(key(0), 100, 1.0)
    assert free_slots(budget, 0, 1.0) == 0
    budget.end(key(0), 1.5)
    assert free_slots(budget, 0, 1.5) == 1


def test_a_lease_that_is_not_confirmed_expires():
    """Guards against slots that are lost with a killed instance."""
    budget = budget_with(2)
    budget.confirm(key(0), 100, 2.0)
    late_s = engine_budget.LEASE_S + 0.1
    assert budget.expire(late_s) == [key(1)]
    assert len(budget) == 1
    assert budget.memory_tokens == 100


def test_reports_that_still_hold_ended_streams_take_no_slots():
    """Guards against idle slots: reports are up to 0.8 s old."""
    budget = budget_with(4)
    budget.end(key(0), 1.0)
    budget.end(key(1), 1.0)
    assert free_slots(budget, 4, 1.5) == 2


def test_requests_without_a_lease_count_as_reported():
    """Guards against engines overfilled by requests sent without a permit."""
    budget = budget_with(1)
    assert budget.unleased(3, 2.0) == 2
    assert free_slots(budget, 3, 2.0) == 1


def test_a_new_pacer_counts_what_was_running():
    """Guards against a batch that is filled twice when its pacer changes."""
    budget = engine_budget.EngineBudget(0.0)
    budget.grant(key(9), 100, 0.1)
    # Its own lease can't be in reports that are older than itself.
    assert free_slots(budget, 3, 0.2) == 0
    # Confirmed leases of the former pacer are in the reports.
    budget.confirm(key(1), 100, 0.3)
    budget.confirm(key(2), 100, 0.3)
    assert budget.unleased(3, 0.3) == 1


def test_a_pacer_that_heard_nothing_counts_what_was_running():
    """Guards against a frozen pacer that goes on with what it knew."""
    budget = budget_with(0)
    budget.grant(key(0), 100, 5.0)
    assert budget.free_slots(SLOTS, budget.unleased(4, 5.1)) == 0


def test_a_confirmation_that_arrives_late_does_not_begin_a_lease():
    """Guards against slots that are held for streams that have ended."""
    budget = budget_with(1)
    budget.end(key(0), 1.0)
    budget.confirm(key(0), 100, 1.1)
    assert len(budget) == 0
    # The memory of ended leases is bounded.
    budget.expire(1.0 + engine_budget.LEASE_S + 0.1)
    assert not budget.has_ended(key(0))


@pytest.mark.parametrize(
    ("memory_tokens", "capacity", "running", "fits"),
    [
        pytest.param(600, 1000, 0, True, id="exactly"),
        pytest.param(601, 1000, 0, False, id="too much"),
        pytest.param(600, 1000, 5, False, id="one without a lease"),
        pytest.param(9000, None, 0, True, id="unknown capacity"),
    ],
)
def test_memory_is_leased_too(memory_tokens, capacity, running, fits):
    """Guards against requests that evict or wait inside the engine."""
    budget = budget_with(4)
    unleased = budget.unleased(running, 2.0)
    assert budget.has_memory(capacity, memory_tokens, unleased) is fits
