"""Tests of records that instances pass on, over histories of a topic."""

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sesamecross.ops.fleet import topic_records
from sesamecross.ports import store

_KEYS = ("a", "b")


def fetch(
    receiver: topic_records.TopicRecords, source: topic_records.TopicRecords
) -> int:
    """Fetches as an instance does; returns how many values were sent."""
    changed, renewed = source.news_since(max(0, receiver.end))
    records = [receiver.renewed(renewal) for renewal in renewed]
    if None in records:
        changed, records = source.since(0), []
    for record in (*changed, *records):
        receiver.take(record)
    receiver.advance_end(source.end)
    return len(changed)


def read(
    reader: topic_records.TopicRecords, log: list[store.KeyedRecord], end: int
) -> None:
    for record in log[max(0, reader.end) : end]:
        reader.take(record)
    reader.advance_end(end)


def read_list(
    reader: topic_records.TopicRecords, log: list[store.KeyedRecord]
) -> None:
    """Lists the newest record of each key, as after records expired."""
    newest = {record.key: record for record in log}
    for record in newest.values():
        reader.take(record)
    listed = {key for key in newest if newest[key].value is not None}
    for key in reader.missing_from(listed):
        reader.take(store.KeyedRecord(key, None, len(log) - 1))
    reader.advance_end(len(log))


_STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("write"),
            st.sampled_from(_KEYS),
            st.sampled_from([None, b"1", b"1", b"2"]),
        ),
        st.tuples(
            st.sampled_from(["read", "list"]),
            st.integers(0, 2),
            st.integers(0, 3),
        ),
        st.tuples(st.just("fetch"), st.integers(0, 2), st.integers(0, 2)),
    ),
    max_size=50,
)


@settings(derandomize=True, max_examples=500, deadline=None)
@example(
    # The source missed that the key was removed and written again.
    steps=[
        ("write", "a", b"1"),
        ("read", 0, 0),
        ("write", "a", None),
        ("write", "a", b"1"),
        ("read", 1, 1),
        ("list", 0, 0),
        ("fetch", 1, 0),
    ]
)
@given(steps=_STEPS)
def test_renewals_give_the_values_that_full_records_give(steps):
    """Guards against an upstream that stays gone, or known, at some instances.

    Three instances read a topic, miss parts of it that expired, and fetch from
    each other. Each knows what it would know if all values were sent.
    """
    log: list[store.KeyedRecord] = []
    replicas = [topic_records.TopicRecords() for _ in range(3)]
    full = [topic_records.TopicRecords() for _ in range(3)]
    for kind, first, second in steps:
        match kind:
            case "write":
                log.append(store.KeyedRecord(first, second, len(log)))
            case "read":
                end = max(0, len(log) - second)
                for one in (replicas[first], full[first]):
                    read(one, log, end)
            case "list":
                for one in (replicas[first], full[first]):
                    read_list(one, log)
            case "fetch" if full[second].end > full[first].end:
                fetch(replicas[first], replicas[second])
                for record in full[second].since(max(0, full[first].end)):
                    full[first].take(record)
                full[first].advance_end(full[second].end)
        for one, other in zip(replicas, full, strict=True):
            assert one.end == other.end
            assert one.keys() == other.keys()
            for key in sorted(one.keys()):
                assert one.records[key].value == other.records[key].value


def test_renewals_are_passed_on_without_their_values():
    """Guards against every entry being sent to every instance each second."""
    source, receiver = (topic_records.TopicRecords() for _ in range(2))
    values = {f"i-{number}": b"v" * 400 for number in range(84)}
    offset = 0
    sent = []
    for _ in range(5):
        for key, value in values.items():
            source.take(store.KeyedRecord(key, value, offset))
            offset += 1
        source.advance_end(offset)
        sent.append(fetch(receiver, source))
    assert sent == [84, 0, 0, 0, 0]
    assert receiver.records == source.records
