"""Tests of the lease's keeper: the gap that holds now."""

import asyncio
import dataclasses

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.gateway import app
from sesamecross.gateway import lease_keeper
from sesamecross.ops.fleet import lease as lease_lib
from sesamecross.platform import program
from sesamecross.platform import settings

INSTANCE = serving.Instance(
    "front-1",
    "z1",
    "r1",
    "127.0.0.1",
    "127.0.0.1:80",
    "127.0.0.1:81",
    (7380, 7381),
    "127.0.0.1:90",
    {"z1": "r1"},
    1.0,
    serving.Bounds(lease_s=3.0),
)
ME = fm.Member("front-1", 7, "z1", "127.0.0.1:7380", -1, -1)
FREE = lease_lib.Record("front-2", 5, 10, 10, True)
START_S = 1000.0


def first_order_s(machine: lease_lib.LeaseMachine) -> float:
    """Lets the machine take the lease; returns the gap that it kept."""
    end = FREE.offset + 1
    for tenth in range(200):
        now_s = START_S + tenth / 10
        match machine.next_step(now_s, 0, False):
            case lease_lib.Look():
                machine.read(FREE, end, now_s)
            case lease_lib.Write():
                machine.written(end)
                end += 1
        if machine.may_order(now_s):
            return now_s - START_S
    raise AssertionError("never took the lease")


@pytest.mark.parametrize("gap_s", [1.0, 6.0])
@pytest.mark.parametrize("is_running", [False, True])
def test_a_new_lease_gap_holds_without_a_start(monkeypatch, gap_s, is_running):
    """Two instances gave orders closer to each other than operators allow.

    They had raised the gap while the instances ran. The log said that the
    new bounds were in force, but the next holder kept the gap of its start,
    which it had been given as a number.
    """
    gateway = app.GatewayApp.from_config(
        INSTANCE, program.adapter(), settings.SettingsFile("")
    )
    gateway.components()
    changed = dataclasses.replace(
        INSTANCE, bounds=dataclasses.replace(INSTANCE.bounds, lease_s=gap_s)
    )
    monkeypatch.setattr(lease_keeper, "suspended_clock", lambda: START_S)
    steps = []

    async def step():
        steps.append(gateway.lease.machine)
        if len(steps) == 1 and is_running:
            gateway.state.take_settings(changed)
        elif len(steps) > 1:
            raise asyncio.CancelledError

    monkeypatch.setattr(gateway.lease, "_step", step)
    monkeypatch.setattr(lease_keeper, "STEP_S", 0)

    async def play():
        gateway.mesh.join(ME, b"", ())
        if not is_running:
            gateway.state.take_settings(changed)
        await gateway.lease.run()

    with pytest.raises(asyncio.CancelledError):
        asyncio.run(play())
    kept_s = first_order_s(steps[-1])
    assert gap_s <= kept_s < gap_s + 1.0


@pytest.mark.parametrize(
    "damaged",
    [b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0", b"", b"\xff", b"\x80"],
)
def test_a_damaged_lease_is_none(damaged):
    """Nobody could take the lease, and no orders were given.

    The lease's record could not be read, and reading it failed at each try
    in a way that the decoder did not expect.
    """
    assert lease_keeper._decode(damaged, 5) is None
