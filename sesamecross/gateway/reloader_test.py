"""Tests of settings that change while the gateway runs."""

import asyncio

import msgspec
import pytest
from returns.result import Failure
from returns.result import Success

from sesamecross.core import errors
from sesamecross.fakes import samples
from sesamecross.gateway import reloader
from sesamecross.gateway import state as state_lib

OPERATORS = msgspec.structs.replace(
    samples.INSTANCE,
    bounds=msgspec.structs.replace(samples.INSTANCE.bounds, drain_s=4.0),
)
CHANGED = msgspec.structs.replace(
    samples.INSTANCE,
    bounds=msgspec.structs.replace(samples.INSTANCE.bounds, drain_s=3.0),
    front_address="10.0.0.1:8080",
)
CUT = errors.Problem("f", "", "cut short", "correct it", errors.Kind.SYNTAX)
MISSING = errors.Problem("f", "", "gone", "correct it", errors.Kind.UNREADABLE)

# The result of decoding each text of the file. Text that was cut at the end of
# a line can be valid for the parser; defaults then replace the rest.
DECODED = {
    b"operators": Success(OPERATORS),
    b"oper": Success(samples.INSTANCE),
    b"changed": Success(CHANGED),
    b"chang": Failure(CUT),
}


class _File:
    """A file whose reads return successive texts, the last one forever."""

    def __init__(self, texts):
        self.texts = list(texts)

    def read(self):
        text = self.texts.pop(0) if len(self.texts) > 1 else self.texts[0]
        return Failure(MISSING) if text is None else Success(text)

    def decode(self, text):
        return DECODED[text]


def run(state, texts, signals=1) -> None:
    """Lets the reloader read one text after the other."""

    async def scenario():
        file = _File(texts)
        settings_reloader = reloader.Reloader(
            state, file, lambda _: asyncio.sleep(0)
        )
        task = asyncio.create_task(settings_reloader.run())
        for number in range(max(1, signals)):
            if number < signals:
                settings_reloader.reload()
            for _ in range(10 * len(texts)):
                await asyncio.sleep(0)
        assert not task.done()
        task.cancel()

    asyncio.run(scenario())


def test_new_bounds_hold_at_once_and_new_addresses_do_not():
    state = state_lib.State(samples.INSTANCE)
    run(state, [b"changed"])
    assert state.bounds.drain_s == 3.0
    assert state.directory.drain_s == 3.0
    assert state._instance.front_address == samples.INSTANCE.front_address
    change = state.apply_settings(CHANGED)
    assert change.in_force == frozenset()
    assert change.from_next_start == {"front_address"}


def test_settings_that_cannot_be_read_change_nothing():
    """Guards against an incomplete file that changes settings.

    An operator saved half a file, and all instances read it within seconds.
    """
    state = state_lib.State(OPERATORS)
    run(state, [b"chang", b"chang", None], signals=3)
    assert state.bounds == OPERATORS.bounds


def test_a_change_during_the_start_is_seen_at_once():
    """Guards against a change during the start that takes 2 s to apply.

    The file changed after the process had read it and before it handled
    signals, and the next periodic check was 2 s away. So the first check
    happens at the start.
    """
    state = state_lib.State(samples.INSTANCE)
    run(state, [b"changed"], signals=0)
    assert state.bounds.drain_s == 3.0


def test_signal_triggers_a_check():
    """Guards against a signal that waits for the next periodic check."""
    state = state_lib.State(samples.INSTANCE)
    seen = []

    async def run_loop():
        for _ in range(20):
            await asyncio.sleep(0)
        seen.append(state.bounds.drain_s)

    async def scenario():
        file = _File([b"operators"])
        settings_reloader = reloader.Reloader(
            state, file, lambda _: asyncio.sleep(0)
        )
        task = asyncio.create_task(settings_reloader.run())
        await run_loop()
        file.texts = [b"changed"]
        await run_loop()
        settings_reloader.reload()
        await run_loop()
        task.cancel()

    asyncio.run(scenario())
    assert seen == [4.0, 4.0, 3.0]


# The successive contents of the file, and the drain bound afterwards.
WRITES = [
    pytest.param([b"oper", b"operators"], 4.0, id="cut, then whole"),
    pytest.param([b"chang", b"oper", b"operators"], 4.0, id="cut twice"),
    pytest.param([None, b"oper", b"changed"], 3.0, id="away, cut, whole"),
    pytest.param([b"changed", b"oper", None], 4.0, id="whole, cut, away"),
    pytest.param([b"oper", b"changed", b"oper", b"changed"], 3.0, id="slow"),
]


@pytest.mark.parametrize(("texts", "drain_s"), WRITES)
def test_a_file_that_is_being_written_is_not_taken(texts, drain_s, monkeypatch):
    """Guards against settings that are read while they are written.

    The text ended before the operators' bounds and was valid for the parser, so
    defaults were in force until the next check, and upstreams that had left got
    requests for too long. A single read cannot detect this; text is applied
    only if it is unchanged a moment later.
    """
    taken = []
    apply = state_lib.State.apply_settings

    def record_settings(state, instance):
        taken.append(instance.bounds.drain_s)
        return apply(state, instance)

    monkeypatch.setattr(state_lib.State, "apply_settings", record_settings)
    state = state_lib.State(OPERATORS)
    run(state, texts)
    assert state.bounds.drain_s == drain_s
    assert samples.INSTANCE.bounds.drain_s not in taken
