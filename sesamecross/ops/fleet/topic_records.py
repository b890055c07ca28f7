"""Undecoded records of a store topic, to pass on to other instances.

The store may refuse some instances while it serves others, and in large
deployments a few instances read it for all. Records are passed on as they were
read, each with its offset. The larger offset of a key wins, whichever instance
sends it, so instances that exchange records converge in any order.
"""

from collections.abc import Iterable
import dataclasses

from sesamecross.ports import store


@dataclasses.dataclass(slots=True)
class TopicRecords:
    """The known records of one keyed topic.

    Attributes:
      end: All records before this offset are known; -1 before the first list.
        Also shows how far behind another instance is.
      records: The latest record of each key.
    """

    end: int = -1
    records: dict[str, store.KeyedRecord] = dataclasses.field(
        default_factory=dict
    )

    def take(self, record: store.KeyedRecord) -> bool:
        """Adds a record; returns whether it is newer than the known one."""
        known = self.records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        self.records[record.key] = record
        return True

    def advance_end(self, end: int) -> None:
        """Records that all records before `end` are known."""
        self.end = max(self.end, end)

    def since(self, end: int) -> tuple[store.KeyedRecord, ...]:
        """Returns the records from offset `end` on, ordered by offset."""
        newer = [
            record for record in self.records.values() if record.offset >= end
        ]
        return tuple(sorted(newer, key=lambda record: record.offset))

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
