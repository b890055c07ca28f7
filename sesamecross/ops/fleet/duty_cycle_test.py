"""Tests of the limits on the rate of work and of repeated messages."""

import pytest

from sesamecross.ops.fleet import duty_cycle

# Duration of a run, minimum time between two starts, and the next start.
RUNS = [
    pytest.param(0.0, 0.0, 1.0, id="no duration"),
    pytest.param(0.1, 0.0, 1.5, id="pauses four times as long"),
    pytest.param(0.1, 0.2, 1.5, id="pauses longer than the minimum"),
    pytest.param(0.01, 0.2, 1.2, id="shorter than the minimum between starts"),
]


@pytest.mark.parametrize(("duration_s", "min_interval_s", "next_start_s"), RUNS)
def test_work_pauses_in_proportion_to_its_duration(
    duration_s, min_interval_s, next_start_s
):
    one = duty_cycle.DutyCycle(4.0, min_interval_s)
    assert one.may_begin(1.0)
    one.done(1.0, 1.0 + duration_s)
    assert one.next_start_s == pytest.approx(next_start_s)
    assert not one.may_begin(next_start_s - 0.001)
    assert one.may_begin(next_start_s + 0.001)


def test_a_message_is_sent_again_after_the_interval():
    one = duty_cycle.Cooldown(0.25)
    sent = [one.is_due("m", now_s) for now_s in (0.0, 0.1, 0.24, 0.26, 0.3)]
    assert sent == [True, False, False, True, False]


def test_expired_keys_take_no_memory():
    one = duty_cycle.Cooldown(0.25)
    for number in range(10_000):
        assert one.is_due(number, number * 0.01)
    assert len(one._sent_s) < 100
