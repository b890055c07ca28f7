"""Tests of what follows a failed attempt, against upstreams that do it all."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.core import serving
from sesamecross.ops.fleet import attempts
from sesamecross.ops.fleet import retry_window


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


ONCE = route(serving.RouteKind.ONCE)
AGAIN = route(serving.RouteKind.IDEMPOTENT)
STREAM = route(serving.RouteKind.STREAM)
RESUMABLE = route(serving.RouteKind.STREAM, resumable=True)
Next = attempts.Next


@pytest.mark.parametrize(
    ("of", "failure", "ran_at", "sends", "may_spend", "expected"),
    [
        # Nothing was sent: any other upstream will do, at no cost.
        (ONCE, attempts.NotSent("refused"), (), 0, False, Next.RETRY),
        # The upstream's own word that it did not run it.
        (ONCE, attempts.NotRun(503), (), 1, True, Next.RETRY),
        (ONCE, attempts.NotRun(503), (), 1, False, Next.REFUSE),
        # It may have run: never again, and nothing is promised.
        (ONCE, attempts.Lost("reset"), ("x",), 1, True, Next.FAIL),
        (STREAM, attempts.Lost("reset"), ("x",), 1, True, Next.FAIL),
        (ONCE, attempts.FailedThere(500), ("x",), 1, True, Next.DELIVER),
        # It may run twice, at as many upstreams as the route allows.
        (AGAIN, attempts.Lost("reset"), ("x",), 1, True, Next.RETRY),
        (AGAIN, attempts.Lost("reset"), ("x",), 1, False, Next.FAIL),
        (AGAIN, attempts.Lost("reset"), ("x", "y"), 2, True, Next.FAIL),
        (RESUMABLE, attempts.Lost("reset"), ("x",), 1, True, Next.RETRY),
        # An earlier attempt may have run: 503 would not be true any more.
        (AGAIN, attempts.NotRun(503), ("x",), 2, False, Next.FAIL),
    ],
)
def test_what_follows_a_failure(
    of, failure, ran_at, sends, may_spend, expected
):
    progress = attempts.Progress(set(ran_at), sends, sends)
    got = attempts.after_failure(of, failure, progress, may_spend)
    assert got is expected


FATES = st.lists(
    st.tuples(
        st.sampled_from(("not sent", "not run", "lost", "failed there")),
        st.booleans(),
    ),
    min_size=1,
    max_size=12,
)


@settings(max_examples=600, deadline=None, derandomize=True)
@given(of=st.sampled_from((ONCE, AGAIN, STREAM, RESUMABLE)), fates=FATES)
def test_nothing_runs_twice_and_no_refusal_is_untrue(of, fates):
    """Orders ran twice, or were refused though they had run.

    Upstreams refuse, lose and fail in any order; a lost request may have run.
    """
    progress = attempts.Progress()
    runs = 0
    for number, (fate, has_run) in enumerate(fates):
        upstream = f"u{number}"
        progress.tries += 1
        match fate:
            case "not sent":
                failure = attempts.NotSent("refused")
            case "not run":
                progress.sends += 1
                failure = attempts.NotRun(503)
            case "lost":
                progress.sends += 1
                progress.ran_at.add(upstream)
                runs += has_run
                failure = attempts.Lost("reset")
            case _:
                progress.sends += 1
                progress.ran_at.add(upstream)
                runs += 1
                failure = attempts.FailedThere(500)
        following = attempts.after_failure(of, failure, progress, True)
        if following is Next.REFUSE:
            assert runs == 0
            assert not progress.ran_at
        if following is not Next.RETRY:
            break
    else:
        # Whatever happens, it comes to an end.
        assert len(fates) < attempts.TRIES_MOST + attempts.SENDS_MOST
    assert runs <= (of.max_upstreams if of.may_repeat else 1)


@pytest.mark.parametrize("instances", [1, 8, 73, 300])
def test_retries_of_all_instances_stay_within_one_budget(instances):
    """Each instance kept its own budget, and all of them together broke it.

    Or, with 300 instances that see three requests each, no instance's part
    came to a whole retry, and nothing was ever sent again.
    """
    share, extra, window_s = 0.2, 54.0, 10.0
    windows = [
        retry_window.RetryWindow(
            share, extra, window_s, retry_window.part_of(f"instance-{number}")
        )
        for number in range(instances)
    ]
    spent: list[float] = []
    requests = 0
    for step in range(1000):
        now_s = step * 0.01
        window = windows[step % instances]
        window.request(now_s)
        requests += 1
        # Everything fails, and each instance would go on for ever.
        for _ in range(3):
            if window.spend(now_s, instances):
                spent.append(now_s)
    assert len(spent) <= share * requests + extra
    assert len(spent) >= 0.5 * (share * requests + extra)


def test_an_instance_that_knows_of_no_others_spends_little():
    """A hundred instances that are cut off from each other keep the budget."""
    spent = 0
    for number in range(retry_window.INSTANCES_UNKNOWN):
        part = retry_window.part_of(f"instance-{number}")
        window = retry_window.RetryWindow(0.2, 54.0, 10.0, part)
        spent += sum(window.spend(1.0, None) for _ in range(100))
    assert 0 < spent <= 54.0
