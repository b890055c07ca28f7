"""Tests of the retry policy and the retry budget."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.core import serving
from sesamecross.ops.fleet import retry_budget
from sesamecross.ops.fleet import retry_policy


def route(kind, resumable=False, max_upstreams=2) -> serving.Route:
    return serving.Route(
        "r",
        "h",
        "/",
        kind,
        (),
        1,
        max_upstreams,
        2.0,
        0.5,
        0.25,
        resumable,
        False,
    )


AT_MOST_ONCE = route(serving.RouteKind.AT_MOST_ONCE)
REPEATABLE = route(serving.RouteKind.IDEMPOTENT)
STREAM = route(serving.RouteKind.STREAM)
RESUMABLE = route(serving.RouteKind.STREAM, resumable=True)
NextAction = retry_policy.NextAction


@pytest.mark.parametrize(
    (
        "on_route",
        "failure",
        "possibly_ran_at",
        "sends",
        "may_spend",
        "expected",
    ),
    [
        # Nothing was sent: any other upstream may be tried, budget or not.
        (
            AT_MOST_ONCE,
            retry_policy.NotSent("refused"),
            (),
            0,
            False,
            NextAction.RETRY,
        ),
        # The upstream reported that it did not run the request.
        (AT_MOST_ONCE, retry_policy.NotRun(503), (), 1, True, NextAction.RETRY),
        (
            AT_MOST_ONCE,
            retry_policy.NotRun(503),
            (),
            1,
            False,
            NextAction.REFUSE,
        ),
        # It may have run: no second send, and no promise to the caller.
        (
            AT_MOST_ONCE,
            retry_policy.Lost("reset"),
            ("x",),
            1,
            True,
            NextAction.FAIL,
        ),
        (STREAM, retry_policy.Lost("reset"), ("x",), 1, True, NextAction.FAIL),
        (
            AT_MOST_ONCE,
            retry_policy.FailedThere(500),
            ("x",),
            1,
            True,
            NextAction.DELIVER,
        ),
        # It may be repeated, at as many upstreams as the route allows.
        (
            REPEATABLE,
            retry_policy.Lost("reset"),
            ("x",),
            1,
            True,
            NextAction.RETRY,
        ),
        (
            REPEATABLE,
            retry_policy.Lost("reset"),
            ("x",),
            1,
            False,
            NextAction.FAIL,
        ),
        (
            REPEATABLE,
            retry_policy.Lost("reset"),
            ("x", "y"),
            2,
            True,
            NextAction.FAIL,
        ),
        (
            RESUMABLE,
            retry_policy.Lost("reset"),
            ("x",),
            1,
            True,
            NextAction.RETRY,
        ),
        # An earlier attempt may have run, so a 503 would be false.
        (
            REPEATABLE,
            retry_policy.NotRun(503),
            ("x",),
            2,
            False,
            NextAction.FAIL,
        ),
    ],
)
def test_action_after_a_failure(
    on_route, failure, possibly_ran_at, sends, may_spend, expected
):
    history = retry_policy.AttemptHistory()
    for upstream in possibly_ran_at:
        history.begin_send(upstream)
    for _ in range(sends - len(possibly_ran_at)):
        number = history.begin_send("u")
        history.end_send(number, retry_policy.NotRun(503))
    history.tries = sends
    got = retry_policy.decide_after_failure(
        on_route, failure, history, may_spend
    )
    assert got is expected


OUTCOMES = st.lists(
    st.tuples(
        st.sampled_from(("not sent", "not run", "lost", "failed there")),
        st.booleans(),
    ),
    min_size=1,
    max_size=12,
)


@settings(max_examples=600, deadline=None, derandomize=True)
@given(
    on_route=st.sampled_from((AT_MOST_ONCE, REPEATABLE, STREAM, RESUMABLE)),
    outcomes=OUTCOMES,
)
def test_no_request_runs_twice_and_no_refusal_is_false(on_route, outcomes):
    """Guards against orders that ran twice, or were refused though they ran.

    Attempts end in refusals, lost responses and failures in any order; a
    request whose response was lost may have run.
    """
    history = retry_policy.AttemptHistory()
    runs = 0
    for number, (outcome, has_run) in enumerate(outcomes):
        upstream = f"u{number}"
        history.tries += 1
        match outcome:
            case "not sent":
                failure = retry_policy.NotSent("refused")
            case "not run":
                failure = retry_policy.NotRun(503)
            case "lost":
                runs += has_run
                failure = retry_policy.Lost("reset")
            case _:
                runs += 1
                failure = retry_policy.FailedThere(500)
        if not isinstance(failure, retry_policy.NotSent):
            assert retry_policy.may_send(on_route, history)
            send = history.begin_send(upstream)
            history.end_send(send, failure)
        action = retry_policy.decide_after_failure(
            on_route, failure, history, True
        )
        if action is NextAction.REFUSE:
            assert runs == 0
            assert not history.may_have_run
        if action is not NextAction.RETRY:
            break
    else:
        # The number of attempts is bounded whatever the upstreams do.
        assert len(outcomes) < retry_policy.MAX_TRIES + retry_policy.MAX_SENDS
    assert runs <= (on_route.max_upstreams if on_route.is_retry_safe else 1)


@pytest.mark.parametrize(
    ("on_route", "expected"), [(REPEATABLE, NextAction.FAIL), (STREAM, None)]
)
def test_a_rejection_clears_no_earlier_send_to_the_same_upstream(
    on_route, expected
):
    """Guards against a refusal that is untrue, as a first send was lost."""
    history = retry_policy.AttemptHistory()
    history.tries = 2
    first = history.begin_send("u")
    history.end_send(first, retry_policy.Lost("reset"))
    assert retry_policy.may_send(on_route, history) == (expected is not None)
    if expected is None:
        return
    second = history.begin_send("u")
    history.end_send(second, retry_policy.NotRun(503))
    assert (history.may_have_run, history.possible_runs) == (True, 1)
    assert expected is retry_policy.decide_after_failure(
        on_route, retry_policy.NotRun(503), history, may_spend=False
    )


@pytest.mark.parametrize("instances", [1, 8, 73, 300])
def test_retries_of_all_instances_stay_within_one_budget(instances):
    """Guards against a fleet-wide budget that is exceeded or never used.

    Instances that each keep a budget of their own exceed it together. With 300
    instances that see three requests each, no instance's part reached a whole
    retry, and nothing was ever retried.
    """
    share, extra, window_s = 0.2, 54.0, 10.0
    budgets = [
        retry_budget.RetryBudget(
            share,
            extra,
            window_s,
            retry_budget.rounding_offset(f"instance-{number}"),
        )
        for number in range(instances)
    ]
    retries: list[float] = []
    requests = 0
    for step in range(1000):
        now_s = step * 0.01
        budget = budgets[step % instances]
        budget.request(now_s)
        requests += 1
        # Every request fails, and each instance retries as often as allowed.
        for _ in range(3):
            if budget.spend(now_s, instances):
                retries.append(now_s)
    assert len(retries) <= share * requests + extra
    assert len(retries) >= 0.5 * (share * requests + extra)


def test_an_instance_that_knows_of_no_others_spends_little():
    """A hundred instances without contact to each other keep the budget."""
    retries = 0
    for number in range(retry_budget.ASSUMED_INSTANCES):
        rounding = retry_budget.rounding_offset(f"instance-{number}")
        budget = retry_budget.RetryBudget(0.2, 54.0, 10.0, rounding)
        retries += sum(budget.spend(1.0, None) for _ in range(100))
    assert 0 < retries <= 54.0
