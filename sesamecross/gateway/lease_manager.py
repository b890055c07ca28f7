"""Keeps the lease on the store: asks, renews, and proves a holder's death."""

import asyncio
from collections.abc import Callable
import contextlib
import time

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import store_client
from sesamecross.gateway import store_proxy
from sesamecross.ops.fleet import lease as lease_lib
from sesamecross.ports import store
from sesamecross.runtime import logs
from sesamecross.utils import rendezvous

LEASE_KEY = "lease"
STEP_S = 0.1
PROBE_EVERY_S = 0.4
PROBE_S = 0.3
# How many instances watch the holder.
CANDIDATES = 3
# A planned stop does not wait longer for the store to take the lease back.
RELEASE_TIMEOUT_S = store_client.CALL_TIMEOUT_S


class _LeaseRecord(msgspec.Struct, frozen=True):
    """The lease as it stands on the store; see `lease_lib.Record`."""

    holder: str
    incarnation: int
    fence: int
    is_released: bool


def suspended_clock() -> float:
    """Returns seconds of the clock that goes on while a machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseManager:
    """Component around the lease's state machine.

    Attributes:
      release_s: How long `stop` waits for the store; a process whose grace
        ends sets less.
    """

    is_vital = False
    name = "lease"

    def __init__(
        self,
        client: store_client.StoreClient,
        proxy: store_proxy.StoreProxy,
        topic: str,
        mesh: mesh_lib.Mesh,
        gap_s: Callable[[], float],
    ):
        """Sets the keeper up.

        Args:
          client: The store.
          proxy: The store by way of others, where it turns this one away.
          topic: Where the lease is kept.
          mesh: What the other instances say.
          gap_s: The least time between the orders of two holders, as it holds
            now: settings change while the instance runs.
        """
        self._client = client
        self._proxy = proxy
        self._topic = topic
        self._mesh = mesh
        self._gap_s = gap_s
        self._log = logs.part("lease")
        self._probed_s = 0.0
        self._held = False
        self.release_timeout_s = RELEASE_TIMEOUT_S
        self.machine: lease_lib.LeaseStateMachine | None = None

    @property
    def may_order(self) -> bool:
        """Whether an order may leave at this very moment."""
        machine = self.machine
        return machine is not None and machine.may_order(suspended_clock())

    @property
    def holds(self) -> bool:
        """Whether this instance is the holder."""
        machine = self.machine
        return machine is not None and machine.holds(suspended_clock())

    @property
    def fence(self) -> int:
        """The fencing token of the own orders."""
        return self.machine.fence

    def is_candidate(self) -> bool:
        """Whether this instance is among the next ones in line."""
        return self._mesh.roster is not None and self._rank() < CANDIDATES

    def on_holder_exit(self, holder: fm.Member) -> None:
        """The holder's port refuses connections: its process is over."""
        if self.machine is not None:
            self._log.info("holder's process is over", holder=holder.name)
            self.machine.holder_exited(
                holder.name, holder.incarnation, suspended_clock()
            )

    async def run(self) -> None:
        """Steps for ever."""
        while True:
            await asyncio.sleep(STEP_S)
            if self._mesh.roster is None:
                continue
            me = self._mesh.roster.me
            if self.machine is None:
                self.machine = lease_lib.LeaseStateMachine(
                    me.name, me.incarnation, self._gap_s(), suspended_clock()
                )
            self.machine.gap_s = self._gap_s()
            await self._step()

    async def stop(self) -> None:
        """Gives the lease back, so that the next holder need not wait."""
        if not self.holds:
            return
        me = self._mesh.roster.me
        fence = self.machine.fence
        record = _LeaseRecord(me.name, me.incarnation, fence, True)
        at = self.machine.released(-1)
        outcome = "no answer in time"
        # The call has left by then, and mostly takes effect all the same.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.release_timeout_s):
                outcome = await self._release(record, at)
        self._log.info("given back", fence=fence, outcome=str(outcome))
        # Not before the store has it: who looks too early finds a lease that
        # is still held, and waits until it would have run out.
        self._mesh.tell_release(self._next_in_line())

    async def _release(
        self, record: _LeaseRecord, at: int
    ) -> store.AppendOutcome:
        """Writes the release, only where the lease is still the own one.

        The store may carry it out seconds later. Without a condition it would
        stand behind the next holder's record, and a third one would find the
        lease free while that one gives orders.
        """
        value = msgspec.msgpack.encode(record)
        outcome = await self._client.append(self._topic, LEASE_KEY, value, at)
        if not isinstance(outcome, store.Conflict):
            return outcome
        # Mostly a renewal of its own, whose answer had not come.
        newest = await self._client.newest(self._topic, "")
        if not isinstance(newest, store.NewestPage):
            return outcome
        found = _lease_in(newest)
        if found is None or found.is_released:
            return outcome
        if (found.holder, found.incarnation) != (
            record.holder,
            record.incarnation,
        ):
            return outcome
        return await self._client.append(
            self._topic, LEASE_KEY, value, newest.end
        )

    async def _step(self) -> None:
        now_s = suspended_clock()
        heard = self._holder_heard()
        if not heard:
            await self._look_for_death(now_s)
        step = self.machine.next_action(now_s, self._rank(), heard)
        match step:
            case lease_lib.ReadLease():
                await self._look()
            case lease_lib.WriteLease(at, fence):
                await self._write(at, fence)
        self._tell()

    def _rank(self) -> int:
        now_s = asyncio.get_running_loop().time()
        me = self._mesh.roster.me.name
        names = [member.name for member in self._mesh.roster.alive(now_s)]
        order = rendezvous.top("lease", [*names, me], len(names) + 1)
        return order.index(me)

    def _next_in_line(self) -> list[fm.Member]:
        """Returns who takes the lease once this instance is gone."""
        now_s = asyncio.get_running_loop().time()
        alive = {one.name: one for one in self._mesh.roster.alive(now_s)}
        names = rendezvous.top("lease", alive, CANDIDATES)
        return [alive[name] for name in names]

    def _holder_heard(self) -> bool:
        lease = self._mesh.lease
        roster = self._mesh.roster
        if lease is None or lease.holder == roster.me.name:
            return False
        now_s = asyncio.get_running_loop().time()
        left_s = lease.left_s - (now_s - self._mesh.lease_heard_s)
        return left_s > 0 and roster.is_alive(lease.holder, now_s)

    async def _look_for_death(self, now_s: float) -> None:
        """Tries to prove that the holder's process is over.

        A port that refuses connections, or a later life of the instance, is
        proof; silence is none: the holder may be cut off and alive.
        """
        record = self.machine.record
        if record is None or record.holder in ("", self._mesh.me.name):
            return
        holder = self._mesh.roster.get(record.holder)
        if holder is None:
            return
        if holder.incarnation > record.incarnation:
            self.machine.holder_exited(record.holder, record.incarnation, now_s)
            return
        if now_s - self._probed_s < PROBE_EVERY_S:
            return
        self._probed_s = now_s
        if await _refuses(holder.address):
            self._log.info("holder's process is over", holder=record.holder)
            self.machine.holder_exited(
                record.holder, record.incarnation, suspended_clock()
            )

    async def _look(self) -> None:
        outcome = await self._proxy.newest(self._topic)
        if not isinstance(outcome, store.NewestPage):
            return
        self.machine.read(_lease_in(outcome), outcome.end, suspended_clock())

    async def _write(self, at: int, fence: int) -> None:
        me = self._mesh.roster.me
        record = _LeaseRecord(me.name, me.incarnation, fence, False)
        outcome = await self._proxy.append(
            self._topic, LEASE_KEY, msgspec.msgpack.encode(record), at
        )
        match outcome:
            case store.Appended(offset):
                self.machine.written(offset)
            case store.Conflict():
                self.machine.conflict()
            case store.NotDone():
                self.machine.not_written()

    def _tell(self) -> None:
        holds = self.holds
        if holds != self._held:
            self._held = holds
            self._log.info(
                "taken" if holds else "lost", fence=self.machine.fence
            )
        if holds:
            me = self._mesh.roster.me
            news = fm.LeaseAnnouncement(
                me.name,
                me.incarnation,
                self.machine.fence,
                self.machine.left_s(suspended_clock()),
            )
            self._mesh.note_lease(news, asyncio.get_running_loop().time())


def _lease_in(newest: store.NewestPage) -> lease_lib.Record | None:
    record = None
    for one in newest.records:
        if one.key == LEASE_KEY and one.value is not None:
            record = _decode(one.value, one.offset)
    return record


def _decode(value: bytes, offset: int) -> lease_lib.Record | None:
    try:
        wire = msgspec.msgpack.decode(value, type=_LeaseRecord)
    except (msgspec.MsgspecError, RecursionError):
        # The latter where a record is nested deeply.
        return None
    return lease_lib.Record(
        wire.holder, wire.incarnation, offset, wire.fence, wire.is_released
    )


async def _refuses(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    writer.close()
    return False
