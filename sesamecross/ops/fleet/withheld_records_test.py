"""Tests of the store's records of parts that crash engines."""

import pytest

from sesamecross.ops.fleet import crash_ledger
from sesamecross.ops.fleet import withheld_records
from sesamecross.ports import store

WITHHELD = crash_ledger.Withheld("bad", 10.0, 130.0, 120.0)
WALL_MS = 1_000_000


def stored(*writes: withheld_records.Write) -> dict[str, store.KeyedRecord]:
    return {
        write.key: store.KeyedRecord(write.key, write.value, 0)
        for write in writes
    }


def test_a_part_is_written_once_read_again_and_dropped():
    """Guards against verdicts that are lost if all instances are killed."""
    writer = withheld_records.RecordWriter()
    part, write = writer.next_write((WITHHELD,), 30.0, WALL_MS)
    writer.on_written(part, (WITHHELD,))
    assert writer.next_write((WITHHELD,), 31.0, WALL_MS) is None
    (read,) = withheld_records.read_records(stored(write), WALL_MS + 40_000)
    assert read == withheld_records.RecordedPart("bad", 60.0, 120.0)
    part, drop = writer.next_write((), 140.0, WALL_MS)
    assert (drop.key, drop.value) == (write.key, None)
    writer.on_written(part, ())
    assert writer.next_write((), 140.0, WALL_MS) is None


@pytest.mark.parametrize("value", [None, b"", b"\xc1", b"\x93" * 3000])
def test_damaged_records_are_left_out(value):
    """Guards against a start that ends at a record."""
    key = f"{withheld_records.KEY_PREFIX}x"
    records = {key: store.KeyedRecord(key, value, 0)}
    assert withheld_records.read_records(records, WALL_MS) == ()


def test_a_record_that_has_ended_is_left_out():
    """Guards against a part that is withheld for ever by the store."""
    writer = withheld_records.RecordWriter()
    _, write = writer.next_write((WITHHELD,), 30.0, WALL_MS)
    assert not withheld_records.read_records(stored(write), WALL_MS + 100_000)
