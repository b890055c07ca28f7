"""Tests of following the store, against one that does its worst."""

import asyncio
import random
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sesamecross.gateway import follower
from sesamecross.ops.fleet import topic_records
from sesamecross.ports import store


class _Sink:
    """Keeps the newest record of each key."""

    def __init__(self) -> None:
        self.raw = topic_records.TopicRecords()

    @property
    def end(self) -> int:
        return self.raw.end

    def on_record(self, record) -> None:
        self.raw.take(record)

    def on_whole(self, keys, end) -> None:
        for key in self.raw.missing_from(keys):
            self.raw.take(store.KeyedRecord(key, None, end - 1))

    def on_reached(self, end) -> None:
        self.raw.advance_end(end)

    def values(self) -> dict[str, bytes]:
        return {
            key: record.value
            for key, record in self.raw.records.items()
            if record.value is not None
        }


class _Store:
    """A keyed topic that changes between calls and fails as it is told."""

    def __init__(self, steps):
        self.log: list[store.KeyedRecord] = []
        self.first = 0
        self.newest_of: dict[str, store.KeyedRecord] = {}
        self.steps = list(steps)
        self.done = asyncio.Event()

    def write(self, key: str, value: bytes | None) -> None:
        record = store.KeyedRecord(key, value, len(self.log))
        self.log.append(record)
        self.newest_of[key] = record

    def values(self) -> dict[str, bytes]:
        return {
            key: one.value
            for key, one in self.newest_of.items()
            if one.value is not None
        }

    def _step(self) -> str:
        """Lets something happen; returns what becomes of the call."""
        if not self.steps:
            return "good"
        what, key, number = self.steps.pop(0)
        match what:
            case "write":
                self.write(f"k{key}", b"%d" % number)
            case "drop":
                self.write(f"k{key}", None)
            case "compact":
                # History goes, and with it the keys that were dropped.
                self.first = len(self.log)
            case "refuse" | "lose":
                return what
        return "good"

    async def newest(self, topic, after):
        fate = self._step()
        if fate != "good":
            return _failure(fate)
        live = sorted(self.values())
        page = [key for key in live if key > after][:2]
        has_more = bool(page) and page[-1] != live[-1]
        records = tuple(self.newest_of[key] for key in page)
        return store.NewestPage(records, has_more, len(self.log))

    async def read(self, topic, offset, wait_s):
        fate = self._step()
        if fate != "good":
            return _failure(fate)
        if offset < self.first:
            return store.Expired(self.first)
        records = tuple(self.log[offset:])
        if not self.steps and not records:
            self.done.set()
            await asyncio.Event().wait()
        return store.Page(records, len(self.log))


def _failure(fate: str):
    if fate == "refuse":
        return store.NotDone("503")
    return store.Unknown("no answer")


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("write", "write", "drop", "compact", "refuse", "lose", "quiet")
        ),
        st.integers(0, 5),
        st.integers(0, 99),
    ),
    max_size=40,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(steps=STEPS)
def test_what_is_followed_ends_up_as_the_store_has_it(steps):
    """An upstream that had left was used for the rest of the day.

    The store dropped its history while nobody read, the record of the
    leaving with it, and the list that was read next has no word of it.
    """

    async def play():
        backend, sink = _Store(steps), _Sink()
        one = follower.Follower(backend, "topic", sink, random.Random(1))
        task = asyncio.create_task(one.run())
        await backend.done.wait()
        task.cancel()
        return backend, sink

    sleep = asyncio.sleep
    # Pauses pass at once: the order of things is what is tested.
    with mock.patch.object(asyncio, "sleep", lambda seconds: sleep(0)):
        backend, sink = asyncio.run(play())
    assert sink.values() == backend.values()
    assert sink.end == len(backend.log)
