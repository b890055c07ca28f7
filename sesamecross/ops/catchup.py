"""How a replica of the shared state catches up with the log.

Records expire, so an instance that starts late or was disconnected for long
finds a gap between its state and the log. Only a snapshot that covers the gap
may bridge it: replaying from behind it would give a state that no other
instance has.
"""

from collections.abc import Callable
import enum

from sesamecross.core import codec
from sesamecross.core import records
from sesamecross.ops import replay


class CatchupState(enum.Enum):
    """Whether a replica applies what it reads."""

    FOLLOWING = "following"
    SEEKING_SNAPSHOT = "seeking-snapshot"


Listener = Callable[[list[replay.AppliedRecord]], None]


class Replica:
    """One instance's replica of the shared state. Deterministic.

    Attributes:
      last_snapshot_offset: The highest `upto` of the snapshots read from the
        log, or -1.
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
        """The log offset to read from next."""
        if self.progress is CatchupState.SEEKING_SNAPSHOT:
            return self._read_offset
        return self.state.next_offset

    def feed(self, start: int, payloads: tuple[bytes, ...]) -> None:
        """Processes consecutive log records, the first of them at `start`."""
        if start > self.read_offset:
            self.progress = CatchupState.SEEKING_SNAPSHOT
            self._buffer.clear()
        for offset, payload in enumerate(payloads, start):
            self._process_payload(offset, payload)
        self._read_offset = start + len(payloads)

    def install_snapshot(self, snapshot: records.StateSnapshot) -> bool:
        """Installs a snapshot that is newer; tells whether it did.

        The state never goes back: an older snapshot changes nothing.
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
            self._leave_gap(buffered)
        return True

    def _leave_gap(self, buffered: list[tuple[int, bytes]]) -> None:
        # Records read after the gap apply only if the snapshot reaches them.
        if buffered and buffered[0][0] > self.state.next_offset:
            self._buffer = buffered
            return
        self.progress = CatchupState.FOLLOWING
        for offset, payload in buffered:
            self._apply(offset, payload)

    def _process_payload(self, offset: int, payload: bytes) -> None:
        snapshot = decode_snapshot(payload)
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
        applied_records = self.state.apply(offset, payload)
        if applied_records:
            self._listener(applied_records)


# A snapshot is appended in an envelope of its own. Its type name stands near
# the beginning, so a reader finds snapshots without decoding every record.
_SNAPSHOT_TYPE_NAME = b"StateSnapshot"
_TYPE_NAME_SEARCH_BYTES = 400


def decode_snapshot(payload: bytes) -> records.StateSnapshot | None:
    """Returns the snapshot in a log record, or None if it holds none."""
    if _SNAPSHOT_TYPE_NAME not in payload[:_TYPE_NAME_SEARCH_BYTES]:
        return None
    envelope = codec.decode(payload).value_or(None)
    if not isinstance(envelope, records.Envelope) or not envelope.entries:
        return None
    record = codec.from_plain(envelope.entries[0]).value_or(None)
    return record if isinstance(record, records.StateSnapshot) else None
