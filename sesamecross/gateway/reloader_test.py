"""Tests of settings that change while the gateway runs."""

import asyncio
import dataclasses

import pytest
from returns.result import Failure
from returns.result import Success

from sesamecross.core import errors
from sesamecross.fakes import samples
from sesamecross.gateway import reloader
from sesamecross.gateway import state as state_lib

OPERATORS = dataclasses.replace(
    samples.INSTANCE,
    bounds=dataclasses.replace(samples.INSTANCE.bounds, drain_s=4.0),
)
CHANGED = dataclasses.replace(
    samples.INSTANCE,
    bounds=dataclasses.replace(samples.INSTANCE.bounds, drain_s=3.0),
    front_address="10.0.0.1:8080",
)
CUT = errors.Problem("f", "", "cut short", "correct it", errors.Kind.SYNTAX)
GONE = errors.Problem("f", "", "gone", "correct it", errors.Kind.UNREADABLE)

# What each text of the file says. A text that was cut at the end of a line
# may be whole for a parser: then defaults stand where it was cut.
MEANINGS = {
    b"operators": Success(OPERATORS),
    b"oper": Success(samples.INSTANCE),
    b"changed": Success(CHANGED),
    b"chang": Failure(CUT),
}


class _File:
    """A file of which each reading brings the next text, the last for ever."""

    def __init__(self, texts):
        self.texts = list(texts)

    def read(self):
        text = self.texts.pop(0) if len(self.texts) > 1 else self.texts[0]
        return Failure(GONE) if text is None else Success(text)

    def decode(self, text):
        return MEANINGS[text]


def run(state, texts, signals=1) -> None:
    """Lets the reloader read one text after the other."""

    async def play():
        file = _File(texts)
        one = reloader.Reloader(state, file, lambda _: asyncio.sleep(0))
        task = asyncio.create_task(one.run())
        for number in range(max(1, signals)):
            if number < signals:
                one.reload()
            for _ in range(10 * len(texts)):
                await asyncio.sleep(0)
        assert not task.done()
        task.cancel()

    asyncio.run(play())


def test_new_bounds_hold_at_once_and_new_addresses_do_not():
    state = state_lib.State(samples.INSTANCE)
    run(state, [b"changed"])
    assert state.bounds.drain_s == 3.0
    assert state.directory.drain_s == 3.0
    assert state._instance.front_address == samples.INSTANCE.front_address
    told = state.apply_settings(CHANGED)
    assert told.in_force == frozenset()
    assert told.from_next_start == {"front_address"}


def test_settings_that_cannot_be_read_change_nothing():
    """An operator saved half a file; all instances read it within seconds."""
    state = state_lib.State(OPERATORS)
    run(state, [b"chang", b"chang", None], signals=3)
    assert state.bounds == OPERATORS.bounds


def test_a_change_during_the_start_is_seen_at_once():
    """A bound that operators had just lowered did not hold for two seconds.

    The file changed after the process had read it and before it could take a
    signal; nobody looked until the next look of its own. So the first look
    is at the start.
    """
    state = state_lib.State(samples.INSTANCE)
    run(state, [b"changed"], signals=0)
    assert state.bounds.drain_s == 3.0


def test_a_signal_makes_the_reloader_look():
    """An operator's new bound held only at the next look now and then."""
    state = state_lib.State(samples.INSTANCE)
    seen = []

    async def turns():
        for _ in range(20):
            await asyncio.sleep(0)
        seen.append(state.bounds.drain_s)

    async def play():
        file = _File([b"operators"])
        one = reloader.Reloader(state, file, lambda _: asyncio.sleep(0))
        task = asyncio.create_task(one.run())
        await turns()
        file.texts = [b"changed"]
        await turns()
        one.reload()
        await turns()
        task.cancel()

    asyncio.run(play())
    assert seen == [4.0, 4.0, 3.0]


# What is read one after the other, and the bound on leaving then.
WRITTEN = [
    pytest.param([b"oper", b"operators"], 4.0, id="cut, then whole"),
    pytest.param([b"chang", b"oper", b"operators"], 4.0, id="cut twice"),
    pytest.param([None, b"oper", b"changed"], 3.0, id="away, cut, whole"),
    pytest.param([b"changed", b"oper", None], 4.0, id="whole, cut, away"),
    pytest.param([b"oper", b"changed", b"oper", b"changed"], 3.0, id="slow"),
]


@pytest.mark.parametrize(("texts", "drain_s"), WRITTEN)
def test_a_file_that_is_being_written_is_not_taken(texts, drain_s, monkeypatch):
    """For a moment upstreams that had left got requests for too long.

    Settings were read while they were written. The text ended before the
    operators' bounds and was whole for the parser, so defaults came into
    force, and stayed until the next look. One look can't tell: only a text
    that is still the same a moment later is all there is.
    """
    taken = []
    take = state_lib.State.apply_settings

    def note(state, instance):
        taken.append(instance.bounds.drain_s)
        return take(state, instance)

    monkeypatch.setattr(state_lib.State, "apply_settings", note)
    state = state_lib.State(OPERATORS)
    run(state, texts)
    assert state.bounds.drain_s == drain_s
    assert samples.INSTANCE.bounds.drain_s not in taken
