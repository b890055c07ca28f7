"""Tests of how long requests wait for a model, and when they come back."""

import pytest

from sesamecross.ops.fleet import patience

# Arrived at 100, leaves at 102, and its time is over at 112.
WINDOW = patience.Window(100.0, 102.0, 112.0)
# The most that a caller waits before it comes back: a third of 12 s.
THIRD_S = 4.0


@pytest.mark.parametrize(
    ("arrives_s", "missed_s", "now_s", "expected"),
    [
        # Nobody plans to load it: the first one waits for news of it.
        (None, 100.0, 100.0, patience.Wait(100.0 + patience.NEWS_S)),
        (None, 100.0, 100.3, patience.ComeBack(11.7 / 3)),
        # Others have missed it for a while: refused at once.
        (None, 90.0, 100.0, patience.ComeBack(THIRD_S)),
        # It is there in time.
        (101.0, 90.0, 100.0, patience.Wait(101.0 + patience.SLIP_S)),
        (101.9, 90.0, 100.0, patience.Wait(102.0)),
        # It should have been there, and is not: nothing is known of it.
        (100.5, 90.0, 101.2, patience.ComeBack(10.8 / 3)),
        (90.0, 100.0, 100.0, patience.Wait(100.0 + patience.NEWS_S)),
        # It is not: the caller is told when, as far as it will wait.
        (103.0, 90.0, 100.0, patience.ComeBack(3.0)),
        (109.0, 90.0, 100.0, patience.ComeBack(THIRD_S)),
        # It was due only now, and the caller is about to leave.
        (101.8, 90.0, 102.0, patience.ComeBack(patience.SLIP_S)),
    ],
)
def test_a_request_waits_for_its_model_or_comes_back(
    arrives_s, missed_s, now_s, expected
):
    """Requests for a model without a place were held and refused then.

    Callers waited 0.6 s for a refusal that was certain when they came, came
    back two seconds later and were refused again.
    """
    got = patience.decide_model(WINDOW, arrives_s, missed_s, now_s)
    match got, expected:
        case patience.ComeBack(), patience.ComeBack():
            assert got.after_s == pytest.approx(expected.after_s)
        case _:
            assert got == expected


def test_news_of_a_model_is_waited_for_again_after_a_pause():
    missing = patience.Missing()
    assert missing.since("m", 10.0) == 10.0
    assert missing.since("m", 10.9) == 10.0
    assert missing.since("other", 10.9) == 10.9
    late_s = 10.9 + patience.MISSED_AGAIN_S + 0.1
    assert missing.since("m", late_s) == late_s


@pytest.mark.parametrize(
    ("now_s", "expected"),
    [
        (100.0, patience.Wait(100.0 + 2.0 * patience.ADAPTER_SHARE)),
        (101.0, patience.ComeBack(patience.ADAPTER_BACK_S)),
    ],
)
def test_a_request_waits_for_its_adapter(now_s, expected):
    assert patience.decide_adapter(WINDOW, now_s) == expected
