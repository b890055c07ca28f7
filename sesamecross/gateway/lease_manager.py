"""Acquires, renews and releases the lease on the store."""

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
from sesamecross.ops.fleet import roster as roster_lib
from sesamecross.ports import store
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import ticker as ticker_lib
from sesamecross.utils import rendezvous

LEASE_KEY = "lease"
STEP_INTERVAL_S = 0.1
# After it has joined, an instance hears for this long who else is alive before
# it considers itself a candidate: two heartbeats. Otherwise all instances that
# start would read the lease.
JOIN_SETTLE_S = 2 * roster_lib.HEARTBEAT_INTERVAL_S
# How many instances watch the holder.
CANDIDATE_COUNT = 3
# After being cut off from engines for this long, the holder gives up the lease
# if a peer reaches them. News of a crash reaches all instances sooner.
CUT_OFF_TIMEOUT_S = 1.0
# How long a planned stop waits for the store to record the release.
RELEASE_TIMEOUT_S = store_client.CALL_TIMEOUT_S


class _LeaseRecord(msgspec.Struct, frozen=True):
    """The lease as stored; see `lease_lib.Record`."""

    holder: str
    incarnation: int
    fence: int
    is_released: bool
    address: str = ""


def boottime_clock() -> float:
    """Returns CLOCK_BOOTTIME in seconds, which counts time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseManager:
    """Component that drives the lease's state machine.

    Attributes:
      release_timeout_s: How long `stop` waits for the store; lowered when the
        process's grace period is about to end.
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
        ticker: ticker_lib.Ticker | None = None,
        is_cut_off: Callable[[], bool] = lambda: False,
    ):
        """Initializes the manager.

        Args:
          client: The store.
          proxy: The store by way of other instances, if it refuses this one.
          topic: The topic that holds the lease.
          mesh: Membership, and news of the lease from other instances.
          gap_s: Returns the minimum time between the orders of two holders. A
            function, as settings change while the instance runs.
          ticker: The process's ticker.
          is_cut_off: Returns whether this instance can't reach most upstreams,
            while others can.
        """
        self._client = client
        self._proxy = proxy
        self._topic = topic
        self._mesh = mesh
        self._gap_s = gap_s
        self._ticker = ticker or ticker_lib.Ticker()
        self._is_cut_off = is_cut_off
        self._cut_off_since_s: float | None = None
        self._log = logs.get_logger("lease")
        # The last incarnation of a holder whose port refused connections.
        self._refusing: tuple[str, int] | None = None
        self._was_holding = False
        self._settled_s = 0.0
        self.release_timeout_s = RELEASE_TIMEOUT_S
        # This instance's rank among the live instances of a roster's version.
        self._rank_version = -1
        self._known_rank = 0
        self.machine: lease_lib.LeaseStateMachine | None = None

    @property
    def may_order(self) -> bool:
        """Whether an order may be sent at this moment."""
        machine = self.machine
        return machine is not None and machine.may_order(boottime_clock())

    @property
    def holds(self) -> bool:
        """Whether this instance is the holder."""
        machine = self.machine
        return machine is not None and machine.holds(boottime_clock())

    @property
    def fence(self) -> int:
        """The fencing token of this instance's orders."""
        return self.machine.fence

    def is_candidate(self) -> bool:
        """Returns whether this instance is among the next candidates."""
        return self._mesh.roster is not None and self._rank() < CANDIDATE_COUNT

    def on_holder_refuses(self, holder: fm.Member) -> None:
        """Handles a holder whose port refuses connections.

        It has probably ended, but a cut may refuse connections too.
        """
        identity = (holder.name, holder.incarnation)
        if self.machine is None or self._refusing == identity:
            return
        self._refusing = identity
        self._log.info(
            "holder refuses connections",
            holder=holder.name,
            incarnation=holder.incarnation,
        )
        self.machine.recheck()

    async def run(self) -> None:
        """Runs the state machine periodically."""
        while True:
            await self._ticker.wait(STEP_INTERVAL_S)
            if self._mesh.roster is None:
                continue
            me = self._mesh.roster.me
            if self.machine is None:
                self.machine = lease_lib.LeaseStateMachine(
                    me.name,
                    me.incarnation,
                    self._gap_s(),
                    boottime_clock(),
                    me.address,
                )
                self._settled_s = boottime_clock() + JOIN_SETTLE_S
            self.machine.gap_s = self._gap_s()
            await self._step()

    async def stop(self) -> None:
        """Releases the lease, so that the next holder need not wait."""
        if not self.holds:
            return
        fence = self.machine.fence
        record = self._own_record(fence, is_released=True)
        at = self.machine.released()
        outcome = "no answer in time"
        # The call was sent before the timeout, so it usually takes effect.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.release_timeout_s):
                outcome = await self._release(record, at)
        self._log.info("released", fence=fence, outcome=str(outcome))
        # Announced only after the store has recorded the release: a candidate
        # that reads too early finds the lease held, and waits until it expires.
        self._mesh.announce_release(self._next_candidates())

    def _own_record(self, fence: int, is_released: bool) -> _LeaseRecord:
        me = self._mesh.roster.me
        return _LeaseRecord(
            me.name, me.incarnation, fence, is_released, me.address
        )

    async def _release(
        self, record: _LeaseRecord, at: int
    ) -> store.AppendOutcome:
        """Writes the release if this instance still holds the lease.

        The store may apply it seconds later. Without a condition it could
        follow the next holder's record, and a third instance would find the
        lease free while the next holder gives orders.
        """
        value = msgspec.msgpack.encode(record)
        outcome = await self._client.append(self._topic, LEASE_KEY, value, at)
        if not isinstance(outcome, store.Conflict):
            return outcome
        # Usually caused by this instance's own renewal, whose answer was
        # missing.
        newest = await self._client.newest(self._topic, "")
        if not isinstance(newest, store.NewestPage):
            return outcome
        current = _find_lease(newest)
        if current is None or current.is_released:
            return outcome
        if (current.holder, current.incarnation) != (
            record.holder,
            record.incarnation,
        ):
            return outcome
        return await self._client.append(
            self._topic, LEASE_KEY, value, newest.end
        )

    async def _step(self) -> None:
        now_s = boottime_clock()
        if now_s < self._settled_s:
            return
        if self._must_step_aside(now_s):
            if self.holds:
                await self._resign()
            return
        is_holder_live = self._is_holder_live()
        if not is_holder_live:
            self._detect_holder_exit(now_s)
        action = self.machine.next_action(now_s, self._rank(), is_holder_live)
        match action:
            case lease_lib.ReadLease():
                await self._read_record()
            case lease_lib.WriteLease(at, fence):
                await self._write_record(at, fence)
        self._publish_state()

    def _must_step_aside(self, now_s: float) -> bool:
        """Whether orders should be given by a peer that reaches the engines."""
        if not self._is_cut_off():
            self._cut_off_since_s = None
            return False
        if self._cut_off_since_s is None:
            self._cut_off_since_s = now_s
        if now_s - self._cut_off_since_s < CUT_OFF_TIMEOUT_S:
            return False
        alive = self._mesh.roster.alive(event_loop.now_s())
        return any(not member.unreachable for member in alive)

    async def _resign(self) -> None:
        """Gives up the lease, as its orders don't arrive."""
        fence = self.machine.fence
        record = self._own_record(fence, is_released=True)
        outcome = await self._release(record, self.machine.resign())
        self._log.warning(
            "given up: engines can't be reached from here",
            fence=fence,
            outcome=str(outcome),
        )
        self._publish_state()
        self._mesh.announce_release(self._next_candidates())

    def _rank(self) -> int:
        now_s = event_loop.now_s()
        roster = self._mesh.roster
        version = roster.version(now_s)
        if version != self._rank_version:
            self._rank_version = version
            names = [member.name for member in roster.alive(now_s)]
            names.append(roster.me.name)
            ranking = rendezvous.top("lease", names, len(names))
            self._known_rank = ranking.index(roster.me.name)
        return self._known_rank

    def _next_candidates(self) -> list[fm.Member]:
        """Returns the next candidates, assuming this instance is gone."""
        now_s = event_loop.now_s()
        alive = {
            member.name: member
            for member in self._mesh.roster.alive(now_s)
            if not member.unreachable
        }
        names = rendezvous.top("lease", alive, CANDIDATE_COUNT)
        return [alive[name] for name in names]

    def _is_holder_live(self) -> bool:
        lease = self._mesh.lease
        roster = self._mesh.roster
        if lease is None or lease.holder == roster.me.name:
            return False
        now_s = event_loop.now_s()
        left_s = lease.left_s - (now_s - self._mesh.lease_received_s)
        return left_s > 0 and roster.is_alive(lease.holder, now_s)

    def _detect_holder_exit(self, now_s: float) -> None:
        """Looks for proof that the holder's process has ended."""
        record = self.machine.record
        if record is None or record.holder in ("", self._mesh.me.name):
            return
        known = self._mesh.roster.get(record.holder)
        if known is not None and lease_lib.proves_exit(
            record, known.address, known.incarnation
        ):
            self.machine.holder_exited(record.holder, record.incarnation, now_s)

    async def _read_record(self) -> None:
        outcome = await self._proxy.newest(self._topic)
        if not isinstance(outcome, store.NewestPage):
            return
        self.machine.read(_find_lease(outcome), outcome.end, boottime_clock())

    async def _write_record(self, at: int, fence: int) -> None:
        record = self._own_record(fence, is_released=False)
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

    def _publish_state(self) -> None:
        holds = self.holds
        if holds != self._was_holding:
            self._was_holding = holds
            self._log.info(
                "taken" if holds else "lost", fence=self.machine.fence
            )
        if holds:
            me = self._mesh.roster.me
            announcement = fm.LeaseAnnouncement(
                me.name,
                me.incarnation,
                self.machine.fence,
                self.machine.left_s(boottime_clock()),
            )
            self._mesh.update_lease(announcement, event_loop.now_s())


def _find_lease(newest: store.NewestPage) -> lease_lib.Record | None:
    record = None
    for keyed in newest.records:
        if keyed.key == LEASE_KEY and keyed.value is not None:
            record = _decode(keyed.value, keyed.offset)
    return record


def _decode(value: bytes, offset: int) -> lease_lib.Record | None:
    try:
        wire = msgspec.msgpack.decode(value, type=_LeaseRecord)
    except (msgspec.MsgspecError, RecursionError):
        # RecursionError: the record is nested deeply.
        return None
    return lease_lib.Record(
        wire.holder,
        wire.incarnation,
        offset,
        wire.fence,
        wire.is_released,
        wire.address,
    )
