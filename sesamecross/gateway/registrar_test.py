"""Tests of registering a start of an instance, also among damaged records."""

import asyncio
import dataclasses
import random

import msgspec
import pytest
import structlog

from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.gateway import registrar
from sesamecross.ports import store

TOPIC = "instances"
DEEP = b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0"
OTHER = msgspec.msgpack.encode(
    {"zone": "z1", "address": "10.0.0.2:7380", "nonce": "n"}
)


class _Store:
    """Keeps the newest record of each key, and answers at once."""

    def __init__(self, **values: bytes) -> None:
        self.records = {
            key: store.KeyedRecord(key, value, offset)
            for offset, (key, value) in enumerate(values.items())
        }
        self.end = len(values)

    async def newest(self, _topic, _after):
        return store.NewestPage(tuple(self.records.values()), False, self.end)

    async def append(self, _topic, key, value, at):
        if at is not None and at != self.end:
            return store.Conflict(self.end)
        self.records.pop(key, None)
        if value is not None:
            self.records[key] = store.KeyedRecord(key, value, self.end)
        self.end += 1
        return store.Appended(self.end - 1)


def instance(name: str) -> serving.Instance:
    return dataclasses.replace(samples.INSTANCE, name=name, ports=(7380,))


def one_start(client: _Store, name: str) -> registrar.Registrar:
    return registrar.Registrar(
        client, TOPIC, instance(name), "10.0.0.1:7380", random.Random(1)
    )


@pytest.mark.parametrize(
    ("before", "told"),
    [
        ((), []),
        (("i1", "stop"), []),
        (("i2", "crash"), []),
        (("i1", "crash"), ["earlier start ended without a stop"]),
    ],
)
def test_a_start_tells_whether_the_one_before_it_stopped_in_order(
    before, told, monkeypatch
):
    """Processes ended by a signal, and their own logs said nothing of it.

    The default action of a signal ends a process without a line. Only the
    platform's exit codes told these ends from planned stops.
    """
    # The pause between two looks is not what is tested.
    monkeypatch.setattr(registrar, "RETRY_S", 0.0)

    async def play():
        client = _Store()
        if before:
            name, end = before
            earlier = one_start(client, name)
            await earlier.join()
            if end == "stop":
                await earlier.leave()
        with structlog.testing.capture_logs() as lines:
            await one_start(client, "i1").join()
        return lines

    lines = asyncio.run(play())
    warnings = [one for one in lines if one["log_level"] == "warning"]
    assert [one["event"] for one in warnings] == told
    assert lines[-1]["event"] == "joined"


@pytest.mark.parametrize(
    "damaged", [DEEP, b"", b"\xff", b"\x80", b"\xc1", msgspec.msgpack.encode(7)]
)
def test_a_damaged_registration_names_no_instance(damaged, monkeypatch):
    """No instance could join any more.

    One record among the registrations could not be read; reading the list
    failed on it at each try, in a way that the decoder did not expect.
    """
    client = _Store(
        **{
            registrar.SECRET_KEY: b"a2V5",
            registrar.INSTANCE_PREFIX + "front-2": OTHER,
            registrar.INSTANCE_PREFIX + "front-3": damaged,
        }
    )
    one = one_start(client, "front-1")

    async def play():
        async with asyncio.timeout(10):
            return await one.join()

    monkeypatch.setattr(registrar, "RETRY_S", 0.0)
    joined = asyncio.run(play())
    assert joined.secret == b"key"
    assert [member.name for member in joined.others] == ["front-2"]
