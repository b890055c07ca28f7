"""Tests of the lease on freshness."""

import pytest

from sesamecross.ops.fleet import freshness as freshness_lib

BOUND_S = 5.0


class _Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture(name="clock")
def fixture_clock():
    return _Clock()


@pytest.fixture(name="freshness")
def fixture_freshness(clock):
    return freshness_lib.Freshness(clock)


def test_nothing_is_fresh_at_the_start(freshness):
    assert not freshness.is_within(BOUND_S)
    assert freshness.told_age_s() is None


def test_freshness_ends_before_the_bound(freshness, clock):
    freshness.learn(clock.now_s)
    clock.now_s += BOUND_S - 0.2
    assert freshness.is_within(BOUND_S)
    clock.now_s += 0.2
    assert not freshness.is_within(BOUND_S)


def test_it_never_grows_older_by_news(freshness, clock):
    freshness.learn(100.0)
    freshness.learn(99.0)
    assert freshness.as_of_s == 100.0


@pytest.mark.parametrize("frozen_s", [0.0, 0.3, 6.0])
def test_a_peers_word_counts_from_what_it_answers(freshness, clock, frozen_s):
    """Guards against a message read after a freeze that passes for new."""
    freshness.record_sent(7)
    clock.now_s += 0.2 + frozen_s
    freshness.learn_from_peer(7, 0.5)
    assert freshness.age_s() == pytest.approx(0.7 + frozen_s)


@pytest.mark.parametrize(
    "number, age_s", [(8, 0.1), (0, 0.1), (7, None)], ids=str
)
def test_an_answer_to_nothing_says_nothing(freshness, number, age_s):
    """Guards against a word that answers an earlier incarnation."""
    freshness.record_sent(7)
    freshness.learn_from_peer(number, age_s)
    assert freshness.told_age_s() is None


def test_an_age_is_told_rounded_up(freshness, clock):
    freshness.learn(clock.now_s)
    clock.now_s += 0.20001
    assert freshness.told_age_s() == 0.201


def test_what_was_sent_is_forgotten_in_time(freshness):
    for number in range(1, 1000):
        freshness.record_sent(number)
    assert len(freshness._sent_s) == freshness_lib.MAX_SENT


def test_not_all_ask_at_one_moment():
    """Guards against a herd of reads when a hub falls silent."""
    ages = {freshness_lib.ask_after_s(BOUND_S, rank) for rank in range(15)}
    assert len(ages) == 15
    assert max(ages) < BOUND_S - 1.0
