"""Tests of what an instance withholds, for how long, and what clears it."""

import pytest

from sesamecross.ops.fleet import crash_ledger

BAD = "bad"


def prompt(number: int, part: str = BAD) -> crash_ledger.Prompt:
    return crash_ledger.Prompt(("first", part), f"own-{number}")


def with_crashes(count: int = 3) -> crash_ledger.CrashLedger:
    """Returns a ledger with engines that ended a second apart, from 0 on."""
    ledger = crash_ledger.CrashLedger()
    for number in range(count):
        ledger.add_crash(f"i-{number}", float(number), [prompt(number)])
    return ledger


def withholding() -> crash_ledger.CrashLedger:
    """Returns a ledger that withholds the part from 10 s on."""
    ledger = with_crashes()
    ledger.step(9)
    assert [one.part for one in ledger.step(10)] == [BAD]
    return ledger


def test_a_part_is_withheld_once_nobody_has_objected():
    """Guards against refusing prompts that others have seen answered."""
    ledger = with_crashes()
    assert not ledger.step(5)
    assert ledger.left_s(prompt(9), 5) is None
    ledger.add_reported_answer(BAD, 4.0)
    assert not ledger.step(6)
    assert ledger.left_s(prompt(9), 9) is None


def test_a_withheld_part_concerns_no_other_prompt():
    """Guards against refusing prompts of the same caller or first part."""
    ledger = withholding()
    assert ledger.left_s(prompt(9), 10) > 0
    assert ledger.left_s(prompt(9, "other"), 10) is None


def test_own_answers_are_told_before_others_withhold_a_part():
    """Guards against a verdict by instances that saw none of the answers."""
    ledger = with_crashes()
    ledger.add_own_answer(prompt(9), 4.0)
    ledger.step(5)
    assert ledger.unreported_answer_s(BAD) == 4.0
    assert ledger.unreported_answer_s(BAD) is None
    assert ledger.unreported_answer_s("other") is None


@pytest.mark.parametrize("is_holder", [True, False])
def test_a_part_is_tried_again_by_the_lease_holder_first(is_holder):
    """Guards against a part that is withheld for ever, or tried by all."""
    ledger = withholding()
    end_s = 10 + crash_ledger.FIRST_HOLD_S
    ledger.step(end_s, is_holder)
    assert (ledger.left_s(prompt(9), end_s) is None) == is_holder
    ledger.step(end_s + crash_ledger.TRIAL_LEAD_S, is_holder)
    assert ledger.left_s(prompt(9), end_s) is None


def test_one_more_crash_withholds_a_tried_part_for_longer():
    """Guards against several engines lost for each trial."""
    ledger = withholding()
    end_s = 10 + crash_ledger.FIRST_HOLD_S
    assert not ledger.step(end_s, is_holder=True)
    ledger.add_crash("i-9", end_s + 1, [prompt(9)])
    (begun,) = ledger.step(end_s + 1, is_holder=True)
    assert (begun.part, begun.hold_s) == (BAD, 2 * crash_ledger.FIRST_HOLD_S)


def test_an_answer_clears_a_tried_part():
    """Guards against suspecting a part that engines have come to bear."""
    ledger = withholding()
    end_s = 10 + crash_ledger.FIRST_HOLD_S
    ledger.step(end_s, is_holder=True)
    assert ledger.add_own_answer(prompt(9), end_s + 1) == (BAD,)
    ledger.add_crash("i-9", end_s + 3, [prompt(9)])
    assert not ledger.step(end_s + 3, is_holder=True)
    assert not ledger.step(end_s + 4, is_holder=True)


def test_an_older_answer_does_not_clear_what_crashes_point_at():
    """Guards against an answer of before that lets engines crash on."""
    ledger = withholding()
    ledger.add_reported_answer(BAD, -5.0)
    for number in range(3, 6):
        ledger.add_crash(f"i-{number}", float(number), [prompt(number)])
    ledger.add_reported_answer(BAD, -4.0)
    ledger.step(20)
    ledger.step(21)
    assert ledger.left_s(prompt(9), 21) > 0


def test_what_the_holder_withholds_ends_without_its_word():
    """Guards against a wrong verdict that outlives the one who gave it."""
    ledger = crash_ledger.CrashLedger()
    life_s = crash_ledger.ANNOUNCED_LIFE_S
    assert ledger.add_withheld(BAD, life_s, 120, 0.0)
    assert ledger.left_s(prompt(1), 1.0) is not None
    ledger.step(life_s + crash_ledger.TRIAL_LEAD_S)
    assert ledger.left_s(prompt(1), life_s) is None


def test_tables_are_bounded():
    """Guards against memory that grows with engines, prompts or parts."""
    ledger = crash_ledger.CrashLedger()
    for number in range(2 * crash_ledger.MAX_CRASHES):
        ledger.add_crash(f"i-{number}", float(number), [prompt(number)])
    assert ledger.crash_count == crash_ledger.MAX_CRASHES
    ledger = crash_ledger.CrashLedger()
    for number in range(2 * crash_ledger.MAX_WITHHELD):
        ledger.add_withheld(f"part-{number}", 10, 10, 0.0)
    assert len(ledger.withheld) == crash_ledger.MAX_WITHHELD
    for number in range(crash_ledger.MAX_ANSWERED + 10):
        ledger.add_own_answer(prompt(number, f"part-{number}"), float(number))
    assert ledger.own_answer_s("part-0") is None
    assert ledger.own_answer_s("first") is not None


@pytest.mark.parametrize("left_s", [float("nan"), float("inf"), 1e12])
def test_a_part_is_withheld_no_longer_than_the_limit(left_s):
    """Guards against a message that withholds a part for ever."""
    ledger = crash_ledger.CrashLedger()
    ledger.add_withheld(BAD, left_s, left_s, 0.0)
    end_s = crash_ledger.MAX_HOLD_S + crash_ledger.TRIAL_LEAD_S
    ledger.step(end_s)
    assert ledger.left_s(prompt(1), end_s) is None
    ledger.add_crash("i-1", end_s + 1, [prompt(1)])
    (begun,) = ledger.step(end_s + 1)
    assert begun.hold_s == crash_ledger.MAX_HOLD_S
