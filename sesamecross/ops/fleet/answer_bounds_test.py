"""Tests of the bounds on what one answer may bring."""

import pytest

from sesamecross.ops.fleet import answer_bounds
from sesamecross.ops.fleet.answer_bounds import Excess


def test_bytes_beside_the_body_are_bounded():
    """Guards against an upstream whose head never ends."""
    meter = answer_bounds.AnswerMeter()
    received = 0
    while meter.excess is None:
        meter.add_received(1000, 0.0)
        received += 1000
    assert meter.excess is Excess.OVERHEAD
    assert received <= answer_bounds.MAX_OVERHEAD_BYTES + 1000


@pytest.mark.parametrize("chunk_size", [1, 1000])
def test_a_body_in_chunks_passes_whatever_its_size(chunk_size):
    meter = answer_bounds.AnswerMeter()
    meter.add_head()
    for _ in range(100_000):
        meter.add_body(chunk_size)
        meter.add_received(chunk_size + 9, 0.0)
    assert meter.excess is None


def test_bytes_without_progress_are_bounded_in_time():
    """Guards against a head that arrives one byte at a time."""
    meter = answer_bounds.AnswerMeter()
    now_s = 0.0
    while meter.excess is None:
        now_s += 0.2
        meter.add_received(1, now_s)
    assert meter.excess is Excess.NO_PROGRESS
    assert now_s < 3.0


def test_a_slow_body_is_not_cut_off():
    meter = answer_bounds.AnswerMeter()
    meter.add_head()
    for step in range(100):
        meter.add_body(1)
        meter.add_received(1, 0.2 * step)
    assert meter.excess is None


def test_silence_is_not_cut_off():
    meter = answer_bounds.AnswerMeter()
    meter.add_received(10, 0.0)
    assert meter.excess is None


def test_informational_heads_are_bounded():
    """Guards against an upstream that says for ever that it is at work."""
    meter = answer_bounds.AnswerMeter()
    for step in range(answer_bounds.MAX_INFORMATIONAL_HEADS):
        meter.add_informational_head()
        meter.add_received(30, float(step))
        assert meter.excess is None
    meter.add_informational_head()
    assert meter.excess is Excess.INFORMATIONAL


def test_header_fields_are_bounded_for_each_head():
    meter = answer_bounds.AnswerMeter()
    for _ in range(3):
        meter.begin_head()
        kept = [
            meter.add_field() for _ in range(answer_bounds.MAX_HEADER_FIELDS)
        ]
        assert all(kept)
    assert not meter.add_field()
    assert meter.excess is Excess.FIELDS


def test_large_answers_take_nothing_from_small_ones():
    """Guards against instances that end of many large answers at once."""
    memory = answer_bounds.AnswerMemory()
    sizes = []
    while memory.grow(0, 1_000_000) is None:
        sizes.append(1_000_000)
    assert memory.large_bytes <= memory.limit_bytes
    assert memory.grow(0, 800) is None
    assert memory.grow(800, 1_000_000) is Excess.MEMORY
    for size in sizes:
        memory.release(size)
    assert memory.large_bytes == 0
    assert memory.grow(0, answer_bounds.MAX_ANSWER_BYTES) is None


def test_one_answer_is_bounded():
    memory = answer_bounds.AnswerMemory()
    size = answer_bounds.MAX_ANSWER_BYTES
    assert memory.grow(0, size) is None
    assert memory.grow(size, 1) is Excess.BODY
    memory.release(size)
    assert memory.large_bytes == 0


@pytest.mark.parametrize(
    "output_tokens, expected",
    [
        (0, answer_bounds.MAX_EVENTS),
        (-1, answer_bounds.MAX_EVENTS),
        (300, 300 + answer_bounds.EXTRA_EVENTS),
    ],
)
def test_events_are_bounded_by_what_is_asked_for(output_tokens, expected):
    assert answer_bounds.max_events(output_tokens) == expected
