"""Which software versions may have begun a stream, as kept in the store.

If all instances are killed at the same moment, only the store knows what served
before. One instance, the writer, keeps a record there of each version that may
have begun a stream that can still be resumed, and one that says that these are
all. An instance that starts reads both, together with the list of instances.

The record of completeness says up to which offset of the upstreams' list it is
true. Whoever starts reads that list's log from there on, so that a version that
came and left before it could be recorded is not missed.

A version is recorded when it is first seen, and dropped once it has not served
for longer than any stream may live. Each write is conditional on the list on
which it was decided, so that of two writers, and of a write that arrives late,
nothing takes effect that another write has overtaken.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib

import msgspec

from sesamecross.ops.fleet import stream_origins
from sesamecross.ports import store

# Listed before the versions: they are complete if this was there before them.
COMPLETE_KEY = "complete-versions"
VERSION_PREFIX = "version/"
# How often the record of completeness is written again: well within the store's
# history, and before the log of upstreams has grown by much.
RENEWAL_INTERVAL_S = 5.0
RENEWAL_ENTRIES = 512
# An older one may have been followed by software that keeps no such records.
# Clocks of instances differ by seconds.
MAX_AGE_S = 90.0
_DIGEST_BYTES = 16

Origin = stream_origins.StreamOrigin


class _VersionRecord(msgspec.Struct, frozen=True):
    """A version that may have begun a stream."""

    service: str
    version: str


class _CompleteRecord(msgspec.Struct, frozen=True):
    """States that all versions are recorded.

    Attributes:
      life_s: For how long a stream may have lived that one of them began.
      written_ms: Wall-clock time.
      upstreams: Offset of the list of upstreams up to which that holds;
        negative if the writer does not say.
    """

    life_s: float
    written_ms: int
    upstreams: int = -1


class RecordedVersions(msgspec.Struct, frozen=True):
    """What the store holds.

    Attributes:
      offsets: By version, the offset of its record.
      life_s: Any stream that began in so long a time is of one of them, or of
        one listed from `upstreams` on; 0 if that is not known.
      upstreams: An offset of the list of upstreams, or negative.
    """

    offsets: Mapping[Origin, int]
    life_s: float
    upstreams: int = -1

    def plus(
        self, origins: Iterable[Origin], is_complete: bool
    ) -> "RecordedVersions":
        """Adds versions that were listed since; unknown if some may lack."""
        offsets = dict.fromkeys(origins, -1) | dict(self.offsets)
        life_s = self.life_s if is_complete else 0.0
        return RecordedVersions(offsets, life_s, self.upstreams)


def read_records(
    records: Mapping[str, store.KeyedRecord], wall_ms: int
) -> RecordedVersions:
    """Decodes the records of versions among those of the topic.

    Args:
      records: By key.
      wall_ms: Wall-clock time.
    """
    offsets = {}
    is_readable = True
    for key, record in records.items():
        if not key.startswith(VERSION_PREFIX):
            continue
        known = _decode(record.value, _VersionRecord)
        if known is None:
            is_readable = False
        else:
            offsets[Origin(known.service, known.version)] = record.offset
    complete = records.get(COMPLETE_KEY)
    if not is_readable or complete is None:
        return RecordedVersions(offsets, 0.0)
    known = _decode(complete.value, _CompleteRecord)
    if known is None or abs(wall_ms - known.written_ms) > MAX_AGE_S * 1000:
        return RecordedVersions(offsets, 0.0)
    life_s = stream_origins.bounded_life_s(known.life_s)
    return RecordedVersions(offsets, life_s, known.upstreams)


def _decode(value: bytes | None, kind: type):
    if value is None:
        return None
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except (msgspec.MsgspecError, RecursionError):
        # RecursionError: the record is nested deeply.
        return None


def version_key(origin: Origin) -> str:
    """Returns a version's key, of the same size for names of any length."""
    text = f"{origin.service}\0{origin.version}".encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()
    return VERSION_PREFIX + digest


class Observed(msgspec.Struct, frozen=True):
    """What the writer has seen itself.

    Attributes:
      served: The versions of all upstreams known now.
      seen: Those that served within the longest life of a stream.
      life_s: That life.
      is_complete: Whether the writer would have seen any other.
      upstreams: Offset of the list of upstreams up to which it has read.
    """

    served: frozenset[Origin]
    seen: frozenset[Origin]
    life_s: float
    is_complete: bool
    upstreams: int = -1


class ReadTopic(msgspec.Struct, frozen=True):
    """The topic is to be listed."""


class WriteVersion(msgspec.Struct, frozen=True):
    """A version is to be recorded, if the topic ends at `at`."""

    origin: Origin
    at: int

    @property
    def key(self) -> str:
        """The record's key."""
        return version_key(self.origin)

    @property
    def value(self) -> bytes:
        """The record's value."""
        return msgspec.msgpack.encode(
            _VersionRecord(self.origin.service, self.origin.version)
        )


class DropVersion(msgspec.Struct, frozen=True):
    """A version's record is to be removed, if the topic ends at `at`."""

    origin: Origin
    at: int

    @property
    def key(self) -> str:
        """The record's key."""
        return version_key(self.origin)

    @property
    def value(self) -> None:
        """No value removes the record."""
        return None


class WriteComplete(msgspec.Struct, frozen=True):
    """It is to be recorded that no version lacks, if the topic ends at `at`."""

    life_s: float
    written_ms: int
    at: int
    upstreams: int = -1

    @property
    def key(self) -> str:
        """The record's key."""
        return COMPLETE_KEY

    @property
    def value(self) -> bytes:
        """The record's value."""
        return msgspec.msgpack.encode(
            _CompleteRecord(self.life_s, self.written_ms, self.upstreams)
        )


Write = WriteVersion | DropVersion | WriteComplete


class VersionWriter:
    """Decides what the writer reads and writes next.

    For one term: an instance that becomes the writer again starts anew.
    """

    __slots__ = ("_end", "_offsets", "_served", "_complete")

    def __init__(self) -> None:
        # The end of the topic that `_offsets` belong to; None if it must be
        # listed.
        self._end: int | None = None
        self._offsets: dict[Origin, int] | None = None
        self._served: frozenset[Origin] | None = None
        # The last record of completeness, and when it was written.
        self._complete: tuple[WriteComplete, float] | None = None

    def next_action(
        self, observed: Observed, now_s: float, wall_ms: int
    ) -> ReadTopic | Write | None:
        """Returns what to do now; None if the records are as they should be."""
        self._note_served(observed.served)
        if self._offsets is None:
            return ReadTopic()
        write = self._next_write(observed, now_s, wall_ms)
        if write is not None and self._end is None:
            return ReadTopic()
        return write

    def _note_served(self, served: frozenset[Origin]) -> None:
        """Has versions recorded again that appear, also after a time away.

        The write overtakes one that would drop the record.
        """
        if self._served is not None and self._offsets is not None:
            for origin in served - self._served:
                self._offsets.pop(origin, None)
        self._served = served

    def _next_write(
        self, observed: Observed, now_s: float, wall_ms: int
    ) -> Write | None:
        at = -1 if self._end is None else self._end
        recorded = self._offsets.keys()
        for origin in _sorted(observed.seen - recorded):
            return WriteVersion(origin, at)
        if not observed.is_complete:
            return None
        for origin in _sorted(recorded - observed.seen):
            return DropVersion(origin, at)
        if self._is_renewal_due(observed, now_s):
            return WriteComplete(
                observed.life_s, wall_ms, at, observed.upstreams
            )
        return None

    def _is_renewal_due(self, observed: Observed, now_s: float) -> bool:
        if self._complete is None:
            return True
        known, at_s = self._complete
        return (
            known.life_s != observed.life_s
            or now_s - at_s >= RENEWAL_INTERVAL_S
            or observed.upstreams - known.upstreams >= RENEWAL_ENTRIES
        )

    def on_listed(
        self, recorded: RecordedVersions, end: int
    ) -> frozenset[Origin]:
        """Takes a list of the topic.

        Returns:
          The versions whose records are new to this writer. Somebody has seen
          them, so they count as seen now.
        """
        before = self._offsets or {}
        self._offsets = dict(recorded.offsets)
        self._end = end
        return frozenset(
            origin
            for origin, offset in self._offsets.items()
            if before.get(origin) != offset
        )

    def on_written(self, write: Write, offset: int, now_s: float) -> None:
        """Takes note of a write that took effect."""
        self._end = offset + 1
        match write:
            case WriteVersion(origin=origin):
                self._offsets[origin] = offset
            case DropVersion(origin=origin):
                self._offsets.pop(origin, None)
            case WriteComplete():
                self._complete = (write, now_s)

    def on_not_written(self) -> None:
        """Takes note of a write that did not take effect, or perhaps did."""
        self._end = None


def _sorted(origins: Iterable[Origin]) -> list[Origin]:
    return sorted(origins, key=lambda one: (one.service, one.version or ""))
