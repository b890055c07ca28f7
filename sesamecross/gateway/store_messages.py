"""A record of the store as instances hand it to each other.

Why: one instance answers another's calls to the store, and one tells another
what it lacks. Both send records, and what sends and reads them is the same.
"""

from collections.abc import Iterable
import dataclasses

from sesamecross.core import codec
from sesamecross.ports import store


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class StoreRecord:
    """A record of the store; no value drops the key."""

    key: str
    value: bytes | None
    offset: int


def encoded(records: Iterable[store.KeyedRecord]) -> tuple[StoreRecord, ...]:
    """Returns records as they are sent."""
    return tuple(StoreRecord(one.key, one.value, one.offset) for one in records)


def decoded(records: Iterable[StoreRecord]) -> tuple[store.KeyedRecord, ...]:
    """Returns records as the store gave them."""
    return tuple(
        store.KeyedRecord(one.key, one.value, one.offset) for one in records
    )
