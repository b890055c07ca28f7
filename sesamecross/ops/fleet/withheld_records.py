"""The store's records of what is withheld: parts of prompts, and requests.

If all instances are killed at the same moment, only the store knows what to
withhold. One instance, the holder of the lease, keeps a record of each. They
are conditional on nothing: writing one twice changes nothing, and one that is
written late ends at the same time.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib

import msgspec

from sesamecross.ops.fleet import crash_ledger
from sesamecross.ports import store

# Of parts, and of requests, which are named by their fingerprints in hex.
KEY_PREFIX = "withheld/"
REQUEST_KEY_PREFIX = "withheld-request/"
_DIGEST_BYTES = 16


class _Record(msgspec.Struct, frozen=True):
    """A part or request that is withheld.

    Attributes:
      until_ms: Wall-clock time; clocks of instances differ by seconds.
    """

    part: str
    until_ms: int
    hold_s: float


class RecordedPart(msgspec.Struct, frozen=True):
    """A part or request that is withheld by the store's records."""

    part: str
    left_s: float
    hold_s: float


class Write(msgspec.Struct, frozen=True):
    """A record to write; a value of None removes it."""

    key: str
    value: bytes | None
    at: None = None


def read_records(
    records: Mapping[str, store.KeyedRecord],
    wall_ms: int,
    key_prefix: str = KEY_PREFIX,
) -> tuple[RecordedPart, ...]:
    """Decodes the records among those of the topic that still hold."""
    found = []
    for key, record in records.items():
        known = _decode(record.value) if key.startswith(key_prefix) else None
        if known is None or known.until_ms <= wall_ms:
            continue
        left_s = min((known.until_ms - wall_ms) / 1000, crash_ledger.MAX_HOLD_S)
        found.append(RecordedPart(known.part, left_s, known.hold_s))
    return tuple(found)


def _decode(value: bytes | None) -> _Record | None:
    if value is None:
        return None
    try:
        return msgspec.msgpack.decode(value, type=_Record)
    except (msgspec.MsgspecError, RecursionError):
        # RecursionError: the record is nested deeply.
        return None


def _key(key_prefix: str, part: str) -> str:
    digest = hashlib.blake2b(part.encode(), digest_size=_DIGEST_BYTES)
    return key_prefix + digest.hexdigest()


class RecordWriter:
    """Decides which records to write; one per term as the lease's holder."""

    __slots__ = ("_key_prefix", "_written")

    def __init__(self, key_prefix: str = KEY_PREFIX):
        self._key_prefix = key_prefix
        # By part, until when its record says that it is withheld.
        self._written: dict[str, float] = {}

    def next_write(
        self,
        withheld: Iterable[crash_ledger.Withheld],
        now_s: float,
        wall_ms: int,
    ) -> tuple[str, Write] | None:
        """Returns a part and the write that its record needs, or None."""
        current = {one.part: one for one in withheld}
        for part, one in current.items():
            if self._written.get(part) != one.until_s:
                until_ms = wall_ms + round((one.until_s - now_s) * 1000)
                record = _Record(part, until_ms, one.hold_s)
                return part, Write(
                    _key(self._key_prefix, part), msgspec.msgpack.encode(record)
                )
        for part in self._written:
            if part not in current:
                return part, Write(_key(self._key_prefix, part), None)
        return None

    def on_written(
        self, part: str, withheld: Iterable[crash_ledger.Withheld]
    ) -> None:
        """Records that a write took effect."""
        for one in withheld:
            if one.part == part:
                self._written[part] = one.until_s
                return
        self._written.pop(part, None)
