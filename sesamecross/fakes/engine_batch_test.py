"""Tests of the fake engine's batch."""

import types

import pytest

from sesamecross.fakes import engine_batch

FLAGS = types.SimpleNamespace(
    batch=1,
    step_ms=1.0,
    per_call_ms=0.0,
    prefill_ms_per_token=0.0,
    prefix_blocks=8,
)


@pytest.mark.parametrize("cancelled", ["runs", "waits"])
def test_a_cancelled_call_ends_for_its_reader(cancelled):
    """Guards against a thread of the fake that waits for ever."""
    batch = engine_batch.Batch(FLAGS)
    calls = {
        name: engine_batch.Call(name, "prompt", 100, 0, 5)
        for name in ("runs", "waits")
    }
    for call in calls.values():
        batch.submit(call, "m")
    batch._admit()
    assert batch.counts() == (1, 1)
    assert batch.cancel(cancelled)
    batch._step(1.0)
    assert calls[cancelled].tokens.get_nowait() is None
    assert sum(batch.counts()) == 1
