"""Undecoded records of a store topic, to pass on to other instances.

The store may refuse some instances while it serves others, and in large
deployments a few instances read it for all. Records are passed on as they were
read, each with its offset. The larger offset of a key wins, whichever instance
sends it, so instances that exchange records converge in any order.

Upstreams write the same value every second or so, to show that they live. Such
renewals are nearly all records of their topic. They are passed on as a digest
of the value, which the other instance usually has.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from sesamecross.ports import store


class Renewal(msgspec.Struct, frozen=True):
    """A record whose value was known before, without the value.

    Attributes:
      digest: Digest of the value; see `digest_of`.
    """

    key: str
    offset: int
    digest: int


def digest_of(value: bytes) -> int:
    """Returns the digest that stands for a value in a renewal."""
    return xxhash.xxh3_64_intdigest(value)


class TopicRecords(msgspec.Struct):
    """The known records of one keyed topic.

    Attributes:
      end: All records before this offset are known; -1 before the first list.
        Also shows how far behind another instance is.
      records: The latest record of each key.
      listed_end: Offset of the last complete list of keys. Keys that were
        deleted before it may have no record here.
    """

    end: int = -1
    listed_end: int = -1
    records: dict[str, store.KeyedRecord] = msgspec.field(default_factory=dict)
    # The offset from which each key has had its latest value, and that value's
    # digest.
    _since: dict[str, tuple[int, int]] = msgspec.field(default_factory=dict)

    def take(self, record: store.KeyedRecord) -> bool:
        """Adds a record; returns whether it is newer than the known one."""
        known = self.records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        if known is None or known.value != record.value:
            digest = 0 if record.value is None else digest_of(record.value)
            self._since[record.key] = (record.offset, digest)
        self.records[record.key] = record
        return True

    def is_renewal(self, record: store.KeyedRecord) -> bool:
        """Whether the latest record of its key repeats an earlier value."""
        return self._since[record.key][0] < record.offset

    def advance_end(self, end: int) -> None:
        """Records that all records before `end` are known."""
        self.end = max(self.end, end)

    def since(self, end: int) -> tuple[store.KeyedRecord, ...]:
        """Returns the records from offset `end` on, ordered by offset."""
        newer = [
            record for record in self.records.values() if record.offset >= end
        ]
        return tuple(sorted(newer, key=lambda record: record.offset))

    def news_since(
        self, end: int
    ) -> tuple[tuple[store.KeyedRecord, ...], tuple[Renewal, ...]]:
        """Returns what changed from offset `end` on, and what was renewed.

        A receiver that knows all records before `end` knows the value of each
        renewal, unless it has read records that this instance has not.
        """
        changed = []
        renewed = []
        for record in self.since(end):
            since, digest = self._since[record.key]
            if since >= end or record.value is None:
                changed.append(record)
            else:
                renewed.append(Renewal(record.key, record.offset, digest))
        return tuple(changed), tuple(renewed)

    def renewed(self, renewal: Renewal) -> store.KeyedRecord | None:
        """Returns the record that a renewal stands for, or None if unknown."""
        known = self.records.get(renewal.key)
        if known is None or known.value is None:
            return None
        if self._since[renewal.key][1] != renewal.digest:
            return None
        return store.KeyedRecord(renewal.key, known.value, renewal.offset)

    def keys(self) -> set[str]:
        """Returns the keys that are not deleted."""
        return {
            key
            for key, record in self.records.items()
            if record.value is not None
        }

    def missing_from(self, listed: Iterable[str]) -> set[str]:
        """Returns the known keys that are not in a complete list."""
        return self.keys() - set(listed)
