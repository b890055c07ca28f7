"""Tests of settings that change while the gateway runs."""

import asyncio
import dataclasses

from returns.result import Failure
from returns.result import Success

from sesamecross.core import errors
from sesamecross.core import serving
from sesamecross.gateway import reloader
from sesamecross.gateway import state as state_lib

INSTANCE = serving.Instance(
    "front-1",
    "z1",
    "r1",
    "10.0.0.1",
    "10.0.0.1:80",
    "10.0.0.1:81",
    (7380, 7381),
    "10.9.0.1:90",
    {"z1": "r1"},
    1.0,
    serving.Bounds(),
)


def run(answers) -> state_lib.State:
    """Gives the reloader one answer after the other; returns the state."""
    state = state_lib.State(INSTANCE)
    pending = list(answers)

    async def play():
        one = reloader.Reloader(state, lambda: pending.pop(0))
        task = asyncio.create_task(one.run())
        while pending:
            one.reload()
            await asyncio.sleep(0)
        for _ in range(3):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(play())
    return state


def test_new_bounds_hold_at_once_and_new_addresses_do_not():
    bounds = dataclasses.replace(INSTANCE.bounds, drain_s=4.0)
    changed = dataclasses.replace(
        INSTANCE, bounds=bounds, front_address="10.0.0.1:8080"
    )
    state = run([Success(changed)])
    assert state.bounds.drain_s == 4.0
    assert state.directory.drain_s == 4.0
    assert state._instance.front_address == INSTANCE.front_address
    told = state.take_settings(changed)
    assert told.in_force == frozenset()
    assert told.from_next_start == {"front_address"}


def test_settings_that_cannot_be_read_change_nothing():
    """An operator saved half a file; all instances read it within seconds."""
    problem = errors.Problem(
        "f", "", "cut short", "correct it", errors.Kind.SYNTAX
    )
    state = run([Failure(problem), Failure(problem), Success(INSTANCE)])
    assert state.bounds == INSTANCE.bounds
