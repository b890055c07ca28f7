"""Tests of joining where a record of the topic is damaged."""

import asyncio
import random

import msgspec
import pytest

from sesamecross.core import serving
from sesamecross.gateway import registrar
from sesamecross.ports import store

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
DEEP = b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0"
OTHER = msgspec.msgpack.encode(
    {"zone": "z1", "address": "10.0.0.2:7380", "nonce": "n"}
)


class _Store:
    """The instances' topic, with what others have written."""

    def __init__(self, values):
        self.records = [
            store.KeyedRecord(key, value, offset)
            for offset, (key, value) in enumerate(values.items())
        ]

    async def newest(self, topic, after):
        return store.Newest(tuple(self.records), False, len(self.records))

    async def append(self, topic, key, value, at):
        offset = len(self.records)
        self.records.append(store.KeyedRecord(key, value, offset))
        return store.Appended(offset)


@pytest.mark.parametrize(
    "damaged", [DEEP, b"", b"\xff", b"\x80", b"\xc1", msgspec.msgpack.encode(7)]
)
def test_a_damaged_registration_names_no_instance(damaged, monkeypatch):
    """No instance could join any more.

    One record among the registrations could not be read; reading the list
    failed on it at each try, in a way that the decoder did not expect.
    """
    backend = _Store(
        {
            registrar.SECRET_KEY: b"a2V5",
            registrar.INSTANCE_PREFIX + "front-2": OTHER,
            registrar.INSTANCE_PREFIX + "front-3": damaged,
        }
    )
    one = registrar.Registrar(
        backend, "topic", INSTANCE, "10.0.0.1:7380", random.Random(1)
    )

    async def play():
        async with asyncio.timeout(10):
            return await one.join()

    monkeypatch.setattr(registrar, "RETRY_S", 0.0)
    joined = asyncio.run(play())
    assert joined.secret == b"key"
    assert [member.name for member in joined.others] == ["front-2"]
