"""How a replica of the shared state catches up with the log.

Why: records expire, so an instance that starts late or was cut off for long
finds a gap between what it has and what the log still holds. It may cross the
gap only with a snapshot that covers it; replaying behind a gap would give a
state that nobody else has.
"""

from collections.abc import Callable
import enum

from sesamecross.core import codec
from sesamecross.core import records
from sesamecross.ops import replay


class CatchupState(enum.Enum):
    """Where a replica stands."""

    FOLLOWING = "following"
    SEEKING_SNAPSHOT = "seeking-snapshot"


Listener = Callable[[list[replay.AppliedRecord]], None]


class Replica:
    """One instance's copy of the shared state. Deterministic.

    Attributes:
      last_snapshot: The newest snapshot's `upto` seen on the log, or -1.
    """

    __slots__ = (
        "state",
        "progress",
        "last_snapshot_offset",
        "_buffer",
        "_read_offset",
        "_listener",
    )

    def __init__(self, listener: Listener):
        self.state = replay.SharedState()
        self.progress = CatchupState.FOLLOWING
        self.last_snapshot_offset = -1
        self._buffer: list[tuple[int, bytes]] = []
        self._read_offset = 0
        self._listener = listener

    @property
    def read_offset(self) -> int:
        """The offset to read from next."""
        if self.progress is CatchupState.SEEKING_SNAPSHOT:
            return self._read_offset
        return self.state.next_offset

    def feed(self, start: int, payloads: tuple[bytes, ...]) -> None:
        """Takes in records that stand on the log from `start` on."""
        if start > self.read_offset:
            self.progress = CatchupState.SEEKING_SNAPSHOT
            self._buffer.clear()
        for offset, payload in enumerate(payloads, start):
            self._feed_one(offset, payload)
        self._read_offset = start + len(payloads)

    def install_snapshot(self, snapshot: records.StateSnapshot) -> bool:
        """Takes a snapshot's state if it is newer than the own one.

        The state never goes back: an older offer changes nothing.
        """
        if snapshot.upto < self.state.next_offset:
            return False
        restored = replay.restore(snapshot).value_or(None)
        if restored is None:
            return False
        self.state = restored
        buffered = self._buffer
        self._buffer = []
        if self.progress is CatchupState.SEEKING_SNAPSHOT:
            self._after_gap(buffered)
        return True

    def _after_gap(self, buffered: list[tuple[int, bytes]]) -> None:
        # What was read behind the gap counts only if it joins the snapshot.
        if buffered and buffered[0][0] > self.state.next_offset:
            self._buffer = buffered
            return
        self.progress = CatchupState.FOLLOWING
        for offset, payload in buffered:
            self._apply(offset, payload)

    def _feed_one(self, offset: int, payload: bytes) -> None:
        snapshot = snapshot_in(payload)
        if snapshot is not None:
            self.last_snapshot_offset = max(
                self.last_snapshot_offset, snapshot.upto
            )
        if self.progress is CatchupState.FOLLOWING:
            self._apply(offset, payload)
            return
        self._buffer.append((offset, payload))
        if snapshot is not None:
            self.install_snapshot(snapshot)

    def _apply(self, offset: int, payload: bytes) -> None:
        events = self.state.apply(offset, payload)
        if events:
            self._listener(events)


# A snapshot is appended in an envelope of its own, so that a reader need not
# decode every record to find it: its type name stands near the beginning.
_SNAPSHOT_MARK = b"StateSnapshot"
_MARK_WITHIN = 400


def snapshot_in(payload: bytes) -> records.StateSnapshot | None:
    """Returns the snapshot that a log record carries, if it is one."""
    if _SNAPSHOT_MARK not in payload[:_MARK_WITHIN]:
        return None
    envelope = codec.decode(payload).value_or(None)
    if not isinstance(envelope, records.Envelope) or not envelope.entries:
        return None
    record = codec.from_plain(envelope.entries[0]).value_or(None)
    return record if isinstance(record, records.StateSnapshot) else None
