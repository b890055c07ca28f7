"""Renews or challenges the zone's placement lease.

One steward of a zone writes intents at a time. Expiry is detected with this
process's monotonic clock; the order on the log decides who holds the lease.
"""

import asyncio

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.core import records
from sesamecross.ops import leases
from sesamecross.ops import membership as membership_lib
from sesamecross.ops import replay
from sesamecross.ops import timeline
from sesamecross.parser import settings as settings_lib
from sesamecross.runtime import logs
from sesamecross.steward import local_replica as local_replica_lib
from sesamecross.steward import log_reader
from sesamecross.steward import log_writer
from sesamecross.steward import peer_links as peer_links_lib

TICK_S = 0.1
RANK_DELAY_MS = 500
# A challenge without a result at replay is written again after this time. The
# same rule decides about the earlier record if it appears on the log later.
CHALLENGE_TIMEOUT_MS = 3000


class LeaseManager:
    """Component that acquires, renews and releases the zone's lease."""

    __slots__ = (
        "_me",
        "_peer_links",
        "_replica",
        "_reader",
        "_writer",
        "_membership",
        "_clock",
        "_recorder",
        "_renew_interval_ms",
        "_expiry_detector",
        "_renewed_ms",
        "_challenged_ms",
        "_yielded_offset",
        "_logger",
        "_leaving",
    )

    def __init__(
        self,
        me: data.Member,
        settings: settings_lib.StewardSettings,
        replica: local_replica_lib.LocalReplica,
        reader: log_reader.LogReader,
        writer: log_writer.LogWriter,
        membership: membership_lib.Membership,
        clock: clock_lib.Clock,
        recorder: timeline.Recorder,
        peer_links: peer_links_lib.PeerLinks,
    ):
        self._peer_links = peer_links
        self._me = me
        self._replica = replica
        self._reader = reader
        self._writer = writer
        self._membership = membership
        self._clock = clock
        self._recorder = recorder
        self._renew_interval_ms = settings.lease_renew_ms
        self._expiry_detector = leases.LeaseExpiryDetector(
            settings.lease_lapse_ms, RANK_DELAY_MS
        )
        self._renewed_ms = 0
        self._challenged_ms = -CHALLENGE_TIMEOUT_MS
        # The lease that this steward gave up last, by its offset.
        self._yielded_offset = -1
        self._logger = logs.get_logger("lease")
        self._leaving = False
        replica.add_listener(self._on_event)

    @property
    def name(self) -> str:
        """The component's name in logs."""
        return "lease"

    def held_lease(self) -> leases.Lease | None:
        """Returns the lease if this incarnation holds it, else None."""
        lease = self._replica.state.leases.leases.get(self._me.zone)
        if lease is None or lease.holder != self._me.incarnation:
            return None
        return lease

    async def run(self) -> None:
        """Renews or challenges the lease until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._reader.caught_up and not self._leaving:
                self._tick(self._clock.monotonic_ms())

    async def stop(self) -> None:
        """Releases the lease, so that no successor waits for its expiry."""
        self._leaving = True
        lease = self.held_lease()
        if lease is None:
            return
        # If the queue is full, others take it after its expiry.
        if self._submit(records.LeaseReleased(lease.zone, lease.offset)):
            self._logger.info("lease released")

    def _tick(self, now_ms: int) -> None:
        lease = self.held_lease()
        if self._must_yield():
            if lease is not None:
                self._give_up(lease)
            return
        if lease is not None:
            if now_ms - self._renewed_ms >= self._renew_interval_ms:
                self._renewed_ms = now_ms
                # While the log is unreachable, one queued renewal is enough.
                if self._writer.reachable:
                    self._submit(records.LeaseRenewed(lease.zone, lease.offset))
            return
        if not (self._reader.reachable and self._writer.reachable):
            # No holder can renew while the log is unreachable, so that time
            # does not count towards expiry.
            self._expiry_detector.reset_timer(now_ms)
            return
        self._challenge(now_ms)

    def _give_up(self, lease: leases.Lease) -> None:
        """Releases the lease, once: the log takes a moment to show it."""
        if lease.offset == self._yielded_offset or not self._writer.reachable:
            return
        if self._submit(records.LeaseReleased(lease.zone, lease.offset)):
            self._yielded_offset = lease.offset
            self._logger.warning("lease released, engines not reached")

    def _must_yield(self) -> bool:
        """Whether only another steward of the zone reaches the engines."""
        return self._peer_links.has_substitute()

    def _challenge(self, now_ms: int) -> None:
        current = self._replica.state.leases.leases.get(self._me.zone)
        alive = self._membership.alive_in_zone()
        rank = alive.index(self._me.incarnation.instance)
        if not self._expiry_detector.may_challenge(now_ms, current, rank):
            return
        if now_ms - self._challenged_ms < CHALLENGE_TIMEOUT_MS:
            return
        self._challenged_ms = now_ms
        supersedes = current.offset if current else 0
        if self._submit(
            records.LeaseTaken(self._me.zone, self._me.incarnation, supersedes)
        ):
            self._logger.info("lease challenged", supersedes=supersedes)

    def _submit(self, record: object) -> bool:
        """Queues a record; returns whether there was room for it."""
        try:
            self._writer.submit(record)
        except log_writer.QueueFullError:
            self._logger.warning(
                "log append queue is full", record=type(record).__name__
            )
            return False
        return True

    def _on_event(self, event: replay.AppliedRecord) -> None:
        now_ms = self._clock.monotonic_ms()
        match event.record:
            case records.LeaseRenewed(zone=zone) if (
                zone == self._me.zone and event.result
            ):
                self._expiry_detector.reset_timer(now_ms)
            case records.LeaseTaken(zone=zone) if event.result is not None:
                lease: leases.Lease = event.result
                holder = lease.holder.instance
                self._recorder.add(
                    timeline.EventKind.LEASE,
                    f"lease of {zone} is held by {holder}, fence"
                    f" {lease.offset}",
                )
            case records.LeaseReleased(zone=zone) if event.result:
                self._recorder.add(
                    timeline.EventKind.LEASE, f"lease of {zone} is released"
                )
