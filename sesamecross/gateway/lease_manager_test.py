"""Tests of the lease's keeper: the gap that holds now."""

import asyncio
import dataclasses

import msgspec
import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.gateway import app
from sesamecross.gateway import lease_manager
from sesamecross.ops.fleet import lease as lease_lib
from sesamecross.platform import program
from sesamecross.platform import settings
from sesamecross.ports import store

INSTANCE = dataclasses.replace(
    samples.INSTANCE, bounds=serving.Bounds(lease_s=3.0)
)
ME = fm.Member("front-1", 7, "z1", "127.0.0.1:7380", -1, -1)
FREE = lease_lib.Record("front-2", 5, 10, 10, True)
START_S = 1000.0


def first_order_s(machine: lease_lib.LeaseStateMachine) -> float:
    """Lets the machine take the lease; returns the gap that it kept."""
    end = FREE.offset + 1
    for tenth in range(200):
        now_s = START_S + tenth / 10
        match machine.next_action(now_s, 0, False):
            case lease_lib.ReadLease():
                machine.read(FREE, end, now_s)
            case lease_lib.WriteLease():
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
    monkeypatch.setattr(lease_manager, "suspended_clock", lambda: START_S)
    steps = []

    async def step():
        steps.append(gateway.lease.machine)
        if len(steps) == 1 and is_running:
            gateway.state.apply_settings(changed)
        elif len(steps) > 1:
            raise asyncio.CancelledError

    monkeypatch.setattr(gateway.lease, "_step", step)
    monkeypatch.setattr(lease_manager, "STEP_S", 0)

    async def play():
        gateway.mesh.join(ME, b"", ())
        if not is_running:
            gateway.state.apply_settings(changed)
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
    assert lease_manager._decode(damaged, 5) is None


class _Topic:
    """The lease's topic on a store that answers as the test says.

    It stands for the client and for the proxy alike.

    Attributes:
      now_s: The clock that counts suspension.
      writes: Appends that took effect, of the lease and of its release.
      is_slow: Whether a renewal's answer waits for `answers`.
      release: How the release is carried out.
    """

    def __init__(self, release) -> None:
        self.now_s = START_S
        self.writes: list[lease_manager._LeaseRecord] = []
        self.is_slow = False
        self.answers = asyncio.Event()
        self.release = release

    def take(self, value: bytes, at: int | None) -> store.AppendOutcome:
        if at not in (None, len(self.writes)):
            return store.Conflict(len(self.writes))
        self.writes.append(
            msgspec.msgpack.decode(value, type=lease_manager._LeaseRecord)
        )
        return store.Appended(len(self.writes) - 1)

    async def newest(self, *_) -> store.NewestPage:
        records = ()
        if self.writes:
            value = msgspec.msgpack.encode(self.writes[-1])
            at = len(self.writes) - 1
            records = (store.KeyedRecord(lease_manager.LEASE_KEY, value, at),)
        return store.NewestPage(records, False, len(self.writes))

    async def append(
        self, topic: str, key: str, value: bytes, at: int | None
    ) -> store.AppendOutcome:
        if msgspec.msgpack.decode(
            value, type=lease_manager._LeaseRecord
        ).is_released:
            return await self.release(self, value, at)
        answer = self.take(value, at)
        if self.is_slow:
            await self.answers.wait()
        return answer

    async def let_pass(self, steps: int) -> None:
        """Lets the keeper take steps, a tenth of a second each."""
        for _ in range(steps):
            self.now_s += 0.1
            for _ in range(5):
                await asyncio.sleep(0)


async def lands_late(
    topic: _Topic, value: bytes, at: int | None
) -> store.AppendOutcome:
    await topic.let_pass(14)
    return topic.take(value, at)


async def is_answered_late(
    topic: _Topic, value: bytes, at: int | None
) -> store.AppendOutcome:
    answer = topic.take(value, at)
    await topic.let_pass(14)
    return answer


async def comes_before_the_renewals_answer(
    topic: _Topic, value: bytes, at: int | None
) -> store.AppendOutcome:
    answer = topic.take(value, at)
    topic.answers.set()
    await topic.let_pass(14)
    return answer


def keeper_at(topic: _Topic, monkeypatch) -> lease_manager.LeaseManager:
    """Returns a keeper of an instance that the others know."""
    gateway = app.GatewayApp.from_config(
        INSTANCE, program.adapter(), settings.SettingsFile("")
    )
    gateway.components()
    gateway.mesh.join(ME, b"secret", ())
    keeper = gateway.lease
    keeper._client = keeper._proxy = topic
    monkeypatch.setattr(lease_manager, "suspended_clock", lambda: topic.now_s)
    monkeypatch.setattr(lease_manager, "STEP_S", 0)
    return keeper


@pytest.mark.parametrize(
    ("release", "is_renewing"),
    [
        (lands_late, False),
        (is_answered_late, False),
        (comes_before_the_renewals_answer, True),
    ],
)
def test_a_lease_that_is_given_back_is_not_taken_again(
    monkeypatch, release, is_renewing
):
    """After a planned stop of the holder nobody gave orders for seconds.

    The holder gave the lease back, and the store took long to answer. Until
    it did, the holder's own steps went on: they found the lease free, and
    took it once more, or a renewal's late answer made it the holder again.
    Its process ended then, and the others waited for a holder that was gone.
    """

    async def play():
        topic = _Topic(release)
        keeper = keeper_at(topic, monkeypatch)
        running = asyncio.create_task(keeper.run())
        while not keeper.holds:
            await topic.let_pass(1)
        if is_renewing:
            topic.is_slow = True
            taken = len(topic.writes)
            while len(topic.writes) == taken:
                await topic.let_pass(1)
        before = len(topic.writes)
        await keeper.stop()
        assert not running.done()
        running.cancel()
        return topic.writes[before:], keeper.holds

    written, holds = asyncio.run(play())
    assert [record.is_released for record in written] == [True]
    assert not holds


@pytest.mark.parametrize("is_answered", [True, False])
def test_a_release_that_lands_after_the_next_holder_took_over_changes_nothing(
    monkeypatch, is_answered
):
    """Two instances gave orders closer to each other than operators allow.

    A holder stopped, and the store carried its release out seconds later, as
    the next one held the lease. Whoever read the topic then found it free;
    the next holder went on until its renewal failed.
    """
    other = lease_manager._LeaseRecord("front-2", 5, 9, False)

    async def lands_after_another(topic, value, at):
        topic.writes.append(other)
        answer = topic.take(value, at)
        return answer if is_answered else store.Unknown("cut")

    async def play():
        topic = _Topic(lands_after_another)
        keeper = keeper_at(topic, monkeypatch)
        running = asyncio.create_task(keeper.run())
        while not keeper.holds:
            await topic.let_pass(1)
        await keeper.stop()
        running.cancel()
        return topic.writes[-1]

    assert asyncio.run(play()) == other


class _Transport:
    """Keeps the datagrams by address."""

    def __init__(self) -> None:
        self.sent: dict[str, list[bytes]] = {}

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        host, port = address
        self.sent.setdefault(f"{host}:{port}", []).append(data)


async def is_refused(*_) -> store.AppendOutcome:
    return store.NotDone("turned away")


@pytest.mark.parametrize("release", [is_answered_late, is_refused])
@pytest.mark.parametrize("others", [1, lease_manager.CANDIDATES])
def test_the_next_in_line_hear_that_the_lease_was_given_back(
    monkeypatch, release, others
):
    """After a planned stop of the holder nobody gave orders for seconds.

    It noted that the lease was given back, for its next report to say so. The
    mesh tells every tenth of a second, and was stopped before. The others
    went on to rest, as they had heard that the lease was good for seconds.
    """
    members = [
        fm.Member(f"front-{i}", 7, "z1", f"127.0.0.1:740{i}", -1, -1)
        for i in range(2, 2 + others)
    ]

    async def play():
        monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: START_S)
        topic = _Topic(release)
        keeper = keeper_at(topic, monkeypatch)
        mesh = keeper._mesh
        mesh.transport = _Transport()
        for member in members:
            mesh.roster.heard(member, START_S)
        running = asyncio.create_task(keeper.run())
        while not keeper.holds:
            await topic.let_pass(1)
        await topic.let_pass(1)
        peers = []
        for member in members:
            peer = keeper_at(topic, monkeypatch)
            peer._mesh.join(member, b"secret", (ME,))
            peer._mesh.roster.heard(ME, START_S)
            peer._mesh.note_lease(mesh.lease, START_S)
            assert peer._holder_heard()
            peers.append(peer)
        await keeper.stop()
        running.cancel()
        for member, peer in zip(members, peers, strict=True):
            for data in mesh.transport.sent.get(member.address, []):
                peer._mesh.received(data)
        return [peer._holder_heard() for peer in peers]

    assert asyncio.run(play()) == [False] * others
