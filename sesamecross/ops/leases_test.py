"""Tests of leases: the order on the log decides, never a clock."""

import pytest

from sesamecross.core import data
from sesamecross.core import records
from sesamecross.ops import intents
from sesamecross.ops import leases

A = data.Incarnation("a", "1")
B = data.Incarnation("b", "1")


def taken(holder, supersedes):
    return records.LeaseTaken("z", holder, supersedes)


def test_of_two_challengers_the_first_on_the_log_wins():
    state = leases.LeaseState()
    assert leases.take(state, 5, taken(A, 0)).holder == A
    assert leases.take(state, 6, taken(B, 0)) is None
    assert state.leases["z"].offset == 5


def test_intent_of_a_superseded_holder_does_not_count():
    # P4: a holder is paused past its lease and resumes while it writes an
    # intent. The successor's record precedes the intent on the log, so the
    # intent is invalid and its order is never sent.
    lease_state = leases.LeaseState()
    intent_state = intents.IntentState()
    leases.take(lease_state, 5, taken(A, 0))
    leases.take(lease_state, 9, taken(B, 5))
    order = data.Order(
        "o", "e", "ep", data.OrderAction.LOAD_MODEL, "m", "1", 10
    )
    late = records.IntentWritten("z", 5, order)
    assert intents.write(intent_state, lease_state, 11, late) is None
    good = records.IntentWritten("z", 9, order)
    assert intents.write(intent_state, lease_state, 12, good).fence == 12


@pytest.mark.parametrize(("fence", "released"), [(5, True), (4, False)])
def test_only_the_current_lease_is_released(fence, released):
    state = leases.LeaseState()
    leases.take(state, 5, taken(A, 0))
    record = records.LeaseReleased("z", fence)
    assert leases.release(state, record) is released
    assert ("z" in state.leases) is not released


CHALLENGES = [
    # (milliseconds since the last renewal, rank, may challenge)
    (7999, 0, False),
    (8000, 0, True),
    (8000, 1, False),
    (8500, 1, True),
]


@pytest.mark.parametrize(("silent_ms", "rank", "may"), CHALLENGES)
def test_challengers_wait_for_the_lapse_and_their_rank(silent_ms, rank, may):
    detector = leases.LeaseExpiryDetector(8000, 500)
    lease = leases.Lease("z", A, 5)
    detector.may_challenge(0, lease, rank)
    detector.reset_timer(1000)
    assert detector.may_challenge(1000 + silent_ms, lease, rank) is may


def test_a_free_lease_is_taken_without_waiting_for_a_lapse():
    detector = leases.LeaseExpiryDetector(8000, 500)
    assert detector.may_challenge(100, None, 0)
