"""Tests of the lease manager: the gap in force, release and takeover."""

import asyncio

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

INSTANCE = msgspec.structs.replace(
    samples.INSTANCE, bounds=serving.Bounds(lease_s=3.0)
)
ME = fm.Member("front-1", 7, "z1", "127.0.0.1:7380", -1, -1)
FREE = lease_lib.Record("front-2", 5, 10, 10, True)
START_S = 1000.0


def first_order_s(machine: lease_lib.LeaseStateMachine) -> float:
    """Lets the machine acquire the lease; returns the gap that it kept."""
    end = FREE.offset + 1
    for step in range(200):
        now_s = START_S + step / 10
        match machine.next_action(now_s, 0, False):
            case lease_lib.ReadLease():
                machine.read(FREE, end, now_s)
            case lease_lib.WriteLease():
                machine.written(end)
                end += 1
        if machine.may_order(now_s):
            return now_s - START_S
    raise AssertionError("never acquired the lease")


class _EachTurn:
    """A ticker that wakes the manager in each turn of the loop."""

    async def wait(self, interval_s: float) -> None:
        await asyncio.sleep(0)


@pytest.mark.parametrize("gap_s", [1.0, 6.0])
@pytest.mark.parametrize("is_running", [False, True])
def test_changed_lease_gap_applies_without_restart(
    monkeypatch, gap_s, is_running
):
    """Guards against a lease gap that is fixed when the instance starts.

    Operators raised the gap while the instances ran. The log said that the new
    bounds were in force, but the next holder used the number passed at its
    start, and two instances gave orders closer together than allowed.
    """
    gateway = app.GatewayApp.from_config(
        INSTANCE, program.adapter(), settings.SettingsFile("")
    )
    gateway.components()
    changed = msgspec.structs.replace(
        INSTANCE, bounds=msgspec.structs.replace(INSTANCE.bounds, lease_s=gap_s)
    )
    monkeypatch.setattr(lease_manager, "boottime_clock", lambda: START_S)
    steps = []

    async def step():
        steps.append(gateway.lease.machine)
        if len(steps) == 1 and is_running:
            gateway.state.apply_settings(changed)
        elif len(steps) > 1:
            raise asyncio.CancelledError

    monkeypatch.setattr(gateway.lease, "_step", step)
    gateway.lease._ticker = _EachTurn()

    async def scenario():
        gateway.mesh.join(ME, b"", ())
        if not is_running:
            gateway.state.apply_settings(changed)
        await gateway.lease.run()

    with pytest.raises(asyncio.CancelledError):
        asyncio.run(scenario())
    observed_gap_s = first_order_s(steps[-1])
    assert gap_s <= observed_gap_s < gap_s + 1.0


@pytest.mark.parametrize(
    "damaged",
    [b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0", b"", b"\xff", b"\x80"],
)
def test_damaged_lease_record_is_ignored(damaged):
    """Guards against a damaged record that keeps everyone from the lease.

    Decoding the record raised an exception that was not handled, on each
    attempt, so no instance acquired the lease and no orders were given.
    """
    assert lease_manager._decode(damaged, 5) is None


class _Topic:
    """The lease's topic on a fake store, used as both client and proxy.

    Attributes:
      now_s: The clock that counts suspension.
      writes: Appends that took effect, of the lease and of its release.
      is_slow: Whether a renewal's answer waits for `answers`.
      release: How the release is executed.
    """

    def __init__(self, release) -> None:
        self.now_s = START_S
        self.writes: list[lease_manager._LeaseRecord] = []
        self.is_slow = False
        self.answers = asyncio.Event()
        self.release = release

    def apply(self, value: bytes, at: int | None) -> store.AppendOutcome:
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
        answer = self.apply(value, at)
        if self.is_slow:
            await self.answers.wait()
        return answer

    async def run_steps(self, steps: int) -> None:
        """Lets the manager run for some steps of 0.1 s each."""
        for _ in range(steps):
            self.now_s += 0.1
            for _ in range(5):
                await asyncio.sleep(0)


async def applied_late(
    topic: _Topic, value: bytes, at: int | None
) -> store.AppendOutcome:
    await topic.run_steps(14)
    return topic.apply(value, at)


async def answered_late(
    topic: _Topic, value: bytes, at: int | None
) -> store.AppendOutcome:
    answer = topic.apply(value, at)
    await topic.run_steps(14)
    return answer


async def applied_before_renewal_answer(
    topic: _Topic, value: bytes, at: int | None
) -> store.AppendOutcome:
    answer = topic.apply(value, at)
    topic.answers.set()
    await topic.run_steps(14)
    return answer


def manager_on(topic: _Topic, monkeypatch) -> lease_manager.LeaseManager:
    """Returns the manager of an instance that has joined the mesh."""
    gateway = app.GatewayApp.from_config(
        INSTANCE, program.adapter(), settings.SettingsFile("")
    )
    gateway.components()
    gateway.mesh.join(ME, b"secret", ())
    manager = gateway.lease
    manager._client = manager._proxy = topic
    monkeypatch.setattr(lease_manager, "boottime_clock", lambda: topic.now_s)
    manager._ticker = _EachTurn()
    return manager


@pytest.mark.parametrize(
    ("release", "is_renewing"),
    [
        (applied_late, False),
        (answered_late, False),
        (applied_before_renewal_answer, True),
    ],
)
def test_released_lease_is_not_reacquired(monkeypatch, release, is_renewing):
    """Guards against a holder that reacquires the lease after releasing it.

    The store was slow to answer the release. Meanwhile the holder's own steps
    found the lease free and acquired it again, or the late answer to a renewal
    made it the holder again. Its process then ended, and for seconds nobody
    gave orders, as the others waited for a holder that was gone.
    """

    async def scenario():
        topic = _Topic(release)
        manager = manager_on(topic, monkeypatch)
        running = asyncio.create_task(manager.run())
        while not manager.holds:
            await topic.run_steps(1)
        if is_renewing:
            topic.is_slow = True
            write_count = len(topic.writes)
            while len(topic.writes) == write_count:
                await topic.run_steps(1)
        before = len(topic.writes)
        await manager.stop()
        assert not running.done()
        running.cancel()
        return topic.writes[before:], manager.holds

    written, holds = asyncio.run(scenario())
    assert [record.is_released for record in written] == [True]
    assert not holds


@pytest.mark.parametrize("is_answered", [True, False])
def test_late_release_does_not_affect_the_next_holder(monkeypatch, is_answered):
    """Guards against a late release that frees the next holder's lease.

    The store executed the release seconds after it was sent, while the next
    holder held the lease. Readers of the topic then found it free, while that
    holder went on until its renewal failed: two instances gave orders closer
    together than allowed.
    """
    other = lease_manager._LeaseRecord("front-2", 5, 9, False)

    async def applied_after_next_holder(topic, value, at):
        topic.writes.append(other)
        answer = topic.apply(value, at)
        return answer if is_answered else store.Unknown("cut")

    async def scenario():
        topic = _Topic(applied_after_next_holder)
        manager = manager_on(topic, monkeypatch)
        running = asyncio.create_task(manager.run())
        while not manager.holds:
            await topic.run_steps(1)
        await manager.stop()
        running.cancel()
        return topic.writes[-1]

    assert asyncio.run(scenario()) == other


class _Transport:
    """Records datagrams by address."""

    def __init__(self) -> None:
        self.sent: dict[str, list[bytes]] = {}

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        host, port = address
        self.sent.setdefault(f"{host}:{port}", []).append(data)


async def refused(*_) -> store.AppendOutcome:
    return store.NotDone("turned away")


@pytest.mark.parametrize("release", [answered_late, refused])
@pytest.mark.parametrize("others", [1, lease_manager.CANDIDATE_COUNT])
def test_candidates_are_told_of_a_release(monkeypatch, release, others):
    """Guards against candidates that do not learn of a release.

    The holder noted the release for its next report, but the mesh sends every
    0.1 s and was stopped before that. The candidates kept waiting, as they had
    been told that the lease was valid for seconds, and nobody gave orders
    meanwhile.
    """
    members = [
        fm.Member(f"front-{i}", 7, "z1", f"127.0.0.1:740{i}", -1, -1)
        for i in range(2, 2 + others)
    ]

    async def scenario():
        monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: START_S)
        topic = _Topic(release)
        manager = manager_on(topic, monkeypatch)
        mesh = manager._mesh
        mesh.transport = _Transport()
        for member in members:
            mesh.roster.on_heartbeat(member, START_S)
        running = asyncio.create_task(manager.run())
        while not manager.holds:
            await topic.run_steps(1)
        await topic.run_steps(1)
        peers = []
        for member in members:
            peer = manager_on(topic, monkeypatch)
            peer._mesh.join(member, b"secret", (ME,))
            peer._mesh.roster.on_heartbeat(ME, START_S)
            peer._mesh.update_lease(mesh.lease, START_S)
            assert peer._is_holder_live()
            peers.append(peer)
        await manager.stop()
        running.cancel()
        for member, peer in zip(members, peers, strict=True):
            for data in mesh.transport.sent.get(member.address, []):
                peer._mesh.on_datagram(data)
        return [peer._is_holder_live() for peer in peers]

    assert asyncio.run(scenario()) == [False] * others


def test_an_instance_that_starts_reads_no_lease_until_it_knows_the_others(
    monkeypatch,
):
    """Guards against a herd on the store: all that start read the lease."""
    reads = []

    class _CountingTopic(_Topic):
        async def newest(self, *args) -> store.NewestPage:
            reads.append(self.now_s - START_S)
            return await super().newest(*args)

    async def scenario():
        topic = _CountingTopic(applied_late)
        manager = manager_on(topic, monkeypatch)
        running = asyncio.create_task(manager.run())
        while not reads:
            await topic.run_steps(1)
        running.cancel()

    asyncio.run(scenario())
    assert reads[0] >= lease_manager.JOIN_SETTLE_S


async def applied_at_once(
    topic: _Topic, value: bytes, at: int | None
) -> store.AppendOutcome:
    return topic.apply(value, at)


@pytest.mark.parametrize(
    ("cut_off_s", "peer_unreachable", "is_given_up"),
    [
        (5.0, 0, True),
        # A crash of many engines looks like a cut for a moment.
        (0.5, 0, False),
        # Nobody could do better.
        (5.0, 9, False),
    ],
)
def test_a_holder_that_is_cut_off_gives_up_the_lease(
    monkeypatch, cut_off_s, peer_unreachable, is_given_up
):
    """Guards against a holder that gives no orders and keeps the lease.

    It renewed the lease for as long as the cut lasted: its way to the store was
    sound, the one to the engines was not.
    """
    peer = fm.Member(
        "front-2", 7, "z1", "127.0.0.1:7402", -1, -1, peer_unreachable
    )

    async def scenario():
        monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: START_S)
        topic = _Topic(applied_at_once)
        manager = manager_on(topic, monkeypatch)
        manager._mesh.transport = _Transport()
        manager._mesh.roster.on_heartbeat(peer, START_S)
        is_cut_off = False
        manager._is_cut_off = lambda: is_cut_off
        running = asyncio.create_task(manager.run())
        while not manager.holds:
            await topic.run_steps(1)
        is_cut_off = True
        await topic.run_steps(round(cut_off_s * 10))
        held = manager.holds
        releases = [one.is_released for one in topic.writes].count(True)
        told = len(manager._mesh.transport.sent.get(peer.address, []))
        is_cut_off = False
        await topic.run_steps(100)
        running.cancel()
        return held, releases, told, manager.holds

    held, releases, told, holds_again = asyncio.run(scenario())
    assert held is not is_given_up
    assert releases == (1 if is_given_up else 0)
    assert told == (1 if is_given_up else 0)
    # Nobody else has taken it meanwhile.
    assert holds_again


OTHER_ADDRESS = "127.0.0.1:7402"


@pytest.mark.parametrize(
    ("seen", "waits_s"),
    [
        # A cut may refuse connections.
        ((5, OTHER_ADDRESS), lease_lib.LEASE_DURATION_S),
        # A machine of the same name elsewhere.
        ((6, "127.0.0.1:7403"), lease_lib.LEASE_DURATION_S),
        # One machine runs one process.
        ((6, OTHER_ADDRESS), lease_lib.RESTART_TIMEOUT_S),
    ],
    ids=["refuses", "another machine", "started again"],
)
def test_only_a_later_start_there_proves_that_a_holder_has_ended(
    monkeypatch, seen, waits_s
):
    """Guards against a lease that is taken from a living holder."""
    incarnation, address = seen
    member = fm.Member("front-2", incarnation, "z1", address, -1, -1)
    held = lease_manager._LeaseRecord("front-2", 5, 0, False, OTHER_ADDRESS)

    async def scenario():
        # The port of the holder is closed, as nobody listens there.
        topic = _Topic(applied_at_once)
        topic.writes.append(held)
        manager = manager_on(topic, monkeypatch)
        manager._mesh.roster.registered([member])
        running = asyncio.create_task(manager.run())
        while manager.machine is None or manager.machine.record is None:
            await topic.run_steps(1)
        read_s = topic.now_s
        manager.on_holder_refuses(member)
        while len(topic.writes) == 1:
            await topic.run_steps(1)
        running.cancel()
        return topic.now_s - read_s

    taken_after_s = asyncio.run(scenario())
    assert waits_s - 0.2 <= taken_after_s < waits_s + 2.0
