"""Tests of work that keeps to a part of an instance's time."""

import pytest

from sesamecross.ops.fleet import duty_cycle

# How long a piece took, the least time between two, and when the next may be.
PIECES = [
    pytest.param(0.0, 0.0, 1.0, id="took nothing"),
    pytest.param(0.1, 0.0, 1.5, id="rests four times as long"),
    pytest.param(0.1, 0.2, 1.5, id="rests longer than it must"),
    pytest.param(0.01, 0.2, 1.2, id="took less than the time between two"),
]


@pytest.mark.parametrize(("took_s", "least_s", "free_s"), PIECES)
def test_work_rests_by_what_it_took(took_s, least_s, free_s):
    one = duty_cycle.DutyCycle(4.0, least_s)
    assert one.may_begin(1.0)
    one.done(1.0, 1.0 + took_s)
    assert one.free_s == pytest.approx(free_s)
    assert not one.may_begin(free_s - 0.001)
    assert one.may_begin(free_s + 0.001)


def test_what_was_said_is_said_again_after_a_while():
    one = duty_cycle.Cooldown(0.25)
    told = [one.is_due("m", now_s) for now_s in (0.0, 0.1, 0.24, 0.26, 0.3)]
    assert told == [True, False, False, True, False]


def test_what_was_said_long_ago_takes_no_memory():
    one = duty_cycle.Cooldown(0.25)
    for number in range(10_000):
        assert one.is_due(number, number * 0.01)
    assert len(one._said) < 100
