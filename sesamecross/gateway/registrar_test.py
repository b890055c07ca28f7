"""Tests of registering a start of an instance, and of what it tells."""

import asyncio
import random

import pytest
import structlog

from sesamecross.core import serving
from sesamecross.gateway import registrar
from sesamecross.ports import store

TOPIC = "instances"


class _Store:
    """Keeps the newest record of each key, and answers at once."""

    def __init__(self) -> None:
        self.records: dict[str, store.KeyedRecord] = {}
        self.end = 0

    async def newest(self, _topic, _after):
        return store.Newest(tuple(self.records.values()), False, self.end)

    async def append(self, _topic, key, value, at):
        if at is not None and at != self.end:
            return store.Conflict(self.end)
        self.records.pop(key, None)
        if value is not None:
            self.records[key] = store.KeyedRecord(key, value, self.end)
        self.end += 1
        return store.Appended(self.end - 1)


def instance(name: str) -> serving.Instance:
    return serving.Instance(
        name,
        "z1",
        "r1",
        "10.0.0.1",
        "10.0.0.1:80",
        "10.0.0.1:81",
        (7380,),
        "10.9.0.1:90",
        {"z1": "r1"},
        1.0,
        serving.Bounds(),
    )


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
