"""Tests of the batch of a trial's engine."""

import dataclasses

import pytest

from sesamecross.fakes import fleet_batch
from sesamecross.fakes import fleet_scenarios

SHEET = fleet_scenarios.EngineSheet()


def _run(tokens=1000, output=3, priority=5, name="own", target="m0"):
    parts = (("shared", 500), (name, tokens))
    return fleet_batch.Run(target, 1.0, parts, output, priority)


def _steps(batch):
    """Runs all that is there; returns how many steps and seconds it took."""
    count, took_s = 0, 0.0
    while batch.running or batch.waiting:
        took_s += batch.begin_step()
        batch.end_step()
        count += 1
    return count, took_s


def test_prompts_are_read_in_pieces_before_the_first_token():
    batch = fleet_batch.Batch(SHEET)
    run = _run(tokens=2 * SHEET.chunk_tokens)
    batch.add(run)
    count, took_s = _steps(batch)
    # 500 + 2 * 1024 tokens are three pieces; the last brings a token.
    assert count == 5
    assert run.is_ended and run.events == 1
    assert took_s > run.prompt_tokens / SHEET.prompt_tokens_per_ms / 1000


@pytest.mark.parametrize(
    ("second", "unread"),
    [
        (_run(name="own"), 1),
        (_run(name="other"), 1000),
        (_run(name="own", target="m1"), 1500),
    ],
    ids=["all parts kept", "shared part kept", "another model"],
)
def test_kept_parts_are_not_read_again(second, unread):
    batch = fleet_batch.Batch(SHEET)
    batch.add(_run())
    _steps(batch)
    batch.add(second)
    batch.begin_step()
    assert second.to_read == unread


def test_urgent_requests_are_admitted_first_and_the_rest_waits():
    batch = fleet_batch.Batch(dataclasses.replace(SHEET, slots=1, queue=2))
    late, urgent = _run(priority=5), _run(priority=0)
    batch.add(late)
    batch.add(urgent)
    assert batch.is_full
    batch.begin_step()
    assert batch.running == [urgent]
    assert batch.waiting == [late]


def test_memory_bounds_what_runs_at_once():
    batch = fleet_batch.Batch(dataclasses.replace(SHEET, kv_tokens=2000))
    first, second = _run(), _run()
    batch.add(first)
    batch.add(second)
    batch.begin_step()
    assert batch.running == [first]
    batch.remove(first)
    batch.begin_step()
    assert batch.running == [second]
    assert batch.kv_used == second.kv_tokens
