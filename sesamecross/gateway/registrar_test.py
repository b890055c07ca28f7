"""Tests of registering a start of an instance, also with damaged records."""

import asyncio
import random

import msgspec
import pytest
import structlog

from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import registrar
from sesamecross.ports import store

TOPIC = "instances"
DEEPLY_NESTED = b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0"
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
    return msgspec.structs.replace(samples.INSTANCE, name=name, ports=(7380,))


def make_registrar(client: _Store, name: str) -> registrar.Registrar:
    return registrar.Registrar(
        client, TOPIC, instance(name), "10.0.0.1:7380", random.Random(1)
    )


@pytest.mark.parametrize(
    ("before", "expected"),
    [
        ((), []),
        (("i1", "stop"), []),
        (("i2", "crash"), []),
        (("i1", "crash"), ["earlier start ended without a stop"]),
    ],
)
def test_start_warns_of_a_predecessor_that_crashed(
    before, expected, monkeypatch
):
    """Guards against crashes that leave no trace in the logs.

    A process that is killed by a signal logs nothing. Only the platform's exit
    codes distinguished such ends from planned stops.
    """
    # Without the delay between attempts, which is not tested here.
    monkeypatch.setattr(registrar, "RETRY_INTERVAL_S", 0.0)

    async def scenario():
        client = _Store()
        if before:
            name, end = before
            earlier = make_registrar(client, name)
            await earlier.join()
            if end == "stop":
                await earlier.leave()
        with structlog.testing.capture_logs() as lines:
            await make_registrar(client, "i1").join()
        return lines

    lines = asyncio.run(scenario())
    warnings = [line for line in lines if line["log_level"] == "warning"]
    assert [line["event"] for line in warnings] == expected
    assert lines[-1]["event"] == "joined"


@pytest.mark.parametrize(
    "damaged",
    [DEEPLY_NESTED, b"", b"\xff", b"\x80", b"\xc1", msgspec.msgpack.encode(7)],
)
def test_a_damaged_registration_names_no_instance(damaged, monkeypatch):
    """Guards against a damaged registration that keeps instances from joining.

    Decoding the record raised an exception that was not handled, on each
    attempt to read the list.
    """
    client = _Store(
        **{
            registrar.SECRET_KEY: b"a2V5",
            registrar.INSTANCE_PREFIX + "front-2": OTHER,
            registrar.INSTANCE_PREFIX + "front-3": damaged,
        }
    )
    new_registrar = make_registrar(client, "front-1")

    async def scenario():
        async with asyncio.timeout(10):
            return await new_registrar.join()

    monkeypatch.setattr(registrar, "RETRY_INTERVAL_S", 0.0)
    joined = asyncio.run(scenario())
    assert joined.secret == b"key"
    assert [member.name for member in joined.others] == ["front-2"]


class _CountingStore(_Store):
    """Counts calls, and leaves the first writes without an answer."""

    def __init__(self, unanswered_writes: int, **values: bytes) -> None:
        super().__init__(**values)
        self.calls: list[str] = []
        self._unanswered_writes = unanswered_writes

    async def newest(self, topic, after):
        self.calls.append("list")
        return await super().newest(topic, after)

    async def append(self, topic, key, value, at):
        self.calls.append("write")
        outcome = await super().append(topic, key, value, at)
        if self.calls.count("write") <= self._unanswered_writes:
            return store.Unknown("no answer")
        return outcome


@pytest.mark.parametrize(
    ("unanswered_writes", "has_pause"), [(0, False), (1, True)]
)
def test_a_cold_start_of_all_instances_does_not_pause_to_join(
    unanswered_writes, has_pause
):
    """Guards against a thundering herd that waits although the store answers.

    Each start paused after its write, and no instance had a plan meanwhile.
    After a write without an answer the pause stays: the store is busy.
    """
    client = _CountingStore(
        unanswered_writes,
        **{
            registrar.SECRET_KEY: b"a2V5",
            registrar.INSTANCE_PREFIX + "front-2": OTHER,
        },
    )
    starting = [make_registrar(client, f"front-{n}") for n in range(1, 68)]

    async def scenario() -> float:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        await starting[0].join()
        first_joined_s = loop.time() - begun_s
        assert client.calls == ["list", "write", "list"]
        await asyncio.gather(*(one.join() for one in starting[1:]))
        return first_joined_s

    waited_s = virtual_time_loop.VirtualTimeLoop().run_until_complete(
        scenario()
    )
    assert (waited_s > 0.0) == has_pause
    assert client.calls.count("write") == len(starting)
    assert client.calls.count("list") == 2 * len(starting)


def test_a_registration_that_is_done_twice_is_one_start(monkeypatch):
    """Guards against a late write that makes a living instance look ended."""
    monkeypatch.setattr(registrar, "RETRY_INTERVAL_S", 0.0)

    class _LateStore(_Store):
        """Does the first registration once more when it is told to."""

        late: bytes | None = None

        async def append(self, topic, key, value, at):
            if key != registrar.SECRET_KEY and self.late is None:
                self.late = value
                return store.Unknown("no answer")
            return await super().append(topic, key, value, at)

    async def scenario():
        client = _LateStore()
        first = await make_registrar(client, "i1").join()
        key = registrar.INSTANCE_PREFIX + "i1"
        await client.append(TOPIC, key, client.late, None)
        other = await make_registrar(client, "i2").join()
        again = await make_registrar(client, "i1").join()
        return first, other, again

    first, other, again = asyncio.run(scenario())
    assert [one.incarnation for one in other.others] == [first.me.incarnation]
    assert again.me.incarnation > first.me.incarnation
