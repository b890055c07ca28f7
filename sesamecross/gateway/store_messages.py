"""The wire form of the store's records between instances.

It is shared by calls to the store through another instance and by
synchronization between instances.
"""

from collections.abc import Iterable

import msgspec

from sesamecross.core import codec
from sesamecross.ports import store


@codec.register
class StoreRecord(msgspec.Struct, frozen=True):
    """A record of the store; a value of None removes the key."""

    key: str
    value: bytes | None
    offset: int


def to_wire(records: Iterable[store.KeyedRecord]) -> tuple[StoreRecord, ...]:
    """Returns the records in wire form."""
    return tuple(
        StoreRecord(record.key, record.value, record.offset)
        for record in records
    )


def from_wire(records: Iterable[StoreRecord]) -> tuple[store.KeyedRecord, ...]:
    """Returns the records in the form in which the store returned them."""
    return tuple(
        store.KeyedRecord(record.key, record.value, record.offset)
        for record in records
    )
