"""Tests of the hybrid logical clock."""

import pytest

from sesamecross.core import clock
from sesamecross.core import hlc


@pytest.mark.parametrize("skew_ms", [-300_000, 0, 300_000])
def test_effect_sorts_behind_cause_though_clocks_differ(skew_ms):
    # The operator's time line shows an answer before its question: the
    # receiver's clock is minutes behind the sender's and its stamp is lower.
    sender = hlc.HybridClock(clock.ManualClock(1_000_000))
    receiver = hlc.HybridClock(clock.ManualClock(1_000_000, skew_ms))
    sent = sender.now()
    receiver.receive(sent)
    assert receiver.now() > sent


def test_stamps_grow_while_the_clock_stands():
    one = hlc.HybridClock(clock.ManualClock(5))
    stamps = [one.now() for _ in range(4)]
    assert stamps == sorted(set(stamps))


def test_absurd_stamp_is_not_believed():
    one = hlc.HybridClock(clock.ManualClock(1_000))
    one.receive(hlc.Timestamp(1_000 + hlc.MAX_AHEAD_MS + 1, 0))
    assert one.now() == hlc.Timestamp(1_000, 0)
