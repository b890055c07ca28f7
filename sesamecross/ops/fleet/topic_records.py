"""The store's records as they were read, to hand on to other instances.

Why: the store may turn some instances away while it serves others, and on
large deployments few instances read it for all. Records are handed on as they
were read, each with its offset: the larger offset of a key wins, whoever
brings it, so instances that exchange what they have end up alike in any
order.
"""

from collections.abc import Iterable
import dataclasses

from sesamecross.ports import store


@dataclasses.dataclass(slots=True)
class TopicRecords:
    """What is known of one keyed topic.

    Attributes:
      end: All records before this offset were taken in; -1 before the first
        list. Also says how far behind another instance is.
    """

    end: int = -1
    records: dict[str, store.KeyedRecord] = dataclasses.field(
        default_factory=dict
    )

    def take(self, record: store.KeyedRecord) -> bool:
        """Takes a record in; returns whether it is newer than what is known."""
        known = self.records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        self.records[record.key] = record
        return True

    def advance_end(self, end: int) -> None:
        """All records before `end` were taken in."""
        self.end = max(self.end, end)

    def since(self, end: int) -> tuple[store.KeyedRecord, ...]:
        """Returns the records that one who has all before `end` lacks."""
        newer = [one for one in self.records.values() if one.offset >= end]
        return tuple(sorted(newer, key=lambda one: one.offset))

    def keys(self) -> set[str]:
        """Returns the keys that were not dropped."""
        return {
            key
            for key, record in self.records.items()
            if record.value is not None
        }

    def missing_from(self, listed: Iterable[str]) -> set[str]:
        """Returns the keys that a whole list no longer has."""
        return self.keys() - set(listed)
