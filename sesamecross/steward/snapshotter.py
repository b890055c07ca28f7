"""Appends snapshots of the shared state before log records expire.

The log retains records for a limited time and instances store nothing. A
snapshot lets an instance start from the log alone after the first records have
expired. Any steward may append one: rendezvous hashing picks whose turn it is,
and a snapshot that is already on the log is not appended again.
"""

import asyncio

from sesamecross.core import data
from sesamecross.core import records
from sesamecross.ops import membership as membership_lib
from sesamecross.ops import replay
from sesamecross.runtime import logs
from sesamecross.steward import local_replica as local_replica_lib
from sesamecross.steward import log_reader
from sesamecross.steward import log_writer
from sesamecross.utils import rendezvous

TICK_S = 1.0


class Snapshotter:
    """Component that appends a snapshot when this steward is chosen."""

    __slots__ = (
        "_me",
        "_replica",
        "_reader",
        "_writer",
        "_membership",
        "_interval_records",
        "_logger",
        "_pending_offset",
    )

    def __init__(
        self,
        me: data.Member,
        replica: local_replica_lib.LocalReplica,
        reader: log_reader.LogReader,
        writer: log_writer.LogWriter,
        membership: membership_lib.Membership,
        interval_records: int,
    ):
        self._me = me
        self._replica = replica
        self._reader = reader
        self._writer = writer
        self._membership = membership
        self._interval_records = interval_records
        self._logger = logs.get_logger("snapshots")
        self._pending_offset = -1

    @property
    def name(self) -> str:
        """The component's name in logs."""
        return "snapshots"

    async def run(self) -> None:
        """Checks each second until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._is_due():
                self._append()

    async def stop(self) -> None:
        """Does nothing: no work is open between checks."""

    def _is_due(self) -> bool:
        log_replica = self._replica.log_replica
        if not (self._reader.caught_up and self._writer.reachable):
            return False
        if log_replica.last_snapshot_offset < self._pending_offset:
            # This steward's snapshot is not replayed yet.
            return False
        lag = (
            log_replica.state.next_offset - 1 - log_replica.last_snapshot_offset
        )
        if lag < self._interval_records:
            return False
        # The choice changes as the lag grows, so that a steward that fails to
        # append does not block the others.
        turn = lag // self._interval_records
        alive = self._membership.believed_alive()
        appender = rendezvous.top(f"snapshot/{turn}", alive, 1)
        return appender == [self._me.incarnation.instance]

    def _append(self) -> None:
        snapshot: records.StateSnapshot = replay.snapshot(self._replica.state)
        try:
            self._writer.submit_alone(snapshot)
        except log_writer.QueueFullError:
            return
        self._pending_offset = snapshot.upto
        self._logger.info(
            "snapshot is appended",
            offset=snapshot.upto,
            bytes=len(snapshot.data),
        )
