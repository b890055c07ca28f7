"""Tests of the hybrid logical clock."""

import pytest

from sesamecross.core import clock
from sesamecross.core import hlc


@pytest.mark.parametrize("skew_ms", [-300_000, 0, 300_000])
def test_effect_sorts_after_cause_despite_clock_skew(skew_ms):
    # Guards against a time line that shows an answer before its request,
    # because the receiver's clock is minutes behind the sender's.
    sender = hlc.HybridClock(clock.ManualClock(1_000_000))
    receiver = hlc.HybridClock(clock.ManualClock(1_000_000, skew_ms))
    sent = sender.now()
    receiver.receive(sent)
    assert receiver.now() > sent


def test_timestamps_increase_while_the_wall_clock_stands_still():
    hybrid = hlc.HybridClock(clock.ManualClock(5))
    timestamps = [hybrid.now() for _ in range(4)]
    assert timestamps == sorted(set(timestamps))


def test_timestamp_too_far_ahead_is_ignored():
    hybrid = hlc.HybridClock(clock.ManualClock(1_000))
    hybrid.receive(hlc.Timestamp(1_000 + hlc.MAX_SKEW_MS + 1, 0))
    assert hybrid.now() == hlc.Timestamp(1_000, 0)
