"""Tests of how long requests wait for a model, and when they are retried."""

import pytest

from sesamecross.ops.fleet import wait_policy

# Arrived at 100, can be sent until 102, and its deadline is 112.
TIMES = wait_policy.RequestTimes(100.0, 102.0, 112.0)
# The longest time until a caller retries: a third of 12 s.
THIRD_S = 4.0


@pytest.mark.parametrize(
    ("ready_at_s", "missed_s", "now_s", "expected"),
    [
        # No load is planned: the first request waits for one.
        (None, 100.0, 100.0, wait_policy.Wait(100.0 + wait_policy.PLAN_WAIT_S)),
        (None, 100.0, 100.3, wait_policy.RetryAfter(11.7 / 3)),
        # Others have missed it for a while: refused at once.
        (None, 90.0, 100.0, wait_policy.RetryAfter(THIRD_S)),
        # It is loaded in time.
        (101.0, 90.0, 100.0, wait_policy.Wait(101.0 + wait_policy.OVERDUE_S)),
        (101.9, 90.0, 100.0, wait_policy.Wait(102.0)),
        # It is overdue: treated as if no load were planned.
        (100.5, 90.0, 101.2, wait_policy.RetryAfter(10.8 / 3)),
        (90.0, 100.0, 100.0, wait_policy.Wait(100.0 + wait_policy.PLAN_WAIT_S)),
        # It is loaded too late: the caller is told when, within its limit.
        (103.0, 90.0, 100.0, wait_policy.RetryAfter(3.0)),
        (109.0, 90.0, 100.0, wait_policy.RetryAfter(THIRD_S)),
        # It was due only now, and the caller is about to give up.
        (101.8, 90.0, 102.0, wait_policy.RetryAfter(wait_policy.OVERDUE_S)),
    ],
)
def test_a_request_waits_for_its_model_or_is_retried(
    ready_at_s, missed_s, now_s, expected
):
    """Guards against holding requests for a model that cannot be loaded.

    Callers waited 0.6 s for a refusal that was certain on arrival, retried two
    seconds later and were refused again.
    """
    got = wait_policy.decide_model(TIMES, ready_at_s, missed_s, now_s)
    match got, expected:
        case wait_policy.RetryAfter(), wait_policy.RetryAfter():
            assert got.after_s == pytest.approx(expected.after_s)
        case _:
            assert got == expected


def test_a_planned_load_is_waited_for_again_after_a_pause():
    missed = wait_policy.MissedModels()
    assert missed.since("m", 10.0) == 10.0
    assert missed.since("m", 10.9) == 10.0
    assert missed.since("other", 10.9) == 10.9
    late_s = 10.9 + wait_policy.MISS_RESET_S + 0.1
    assert missed.since("m", late_s) == late_s


@pytest.mark.parametrize(
    ("now_s", "expected"),
    [
        (100.0, wait_policy.Wait(100.0 + 2.0 * wait_policy.ADAPTER_WAIT_SHARE)),
        (101.0, wait_policy.RetryAfter(wait_policy.ADAPTER_RETRY_AFTER_S)),
    ],
)
def test_a_request_waits_for_its_adapter(now_s, expected):
    assert wait_policy.decide_adapter(TIMES, now_s) == expected
