"""Tests of following the store while calls fail and history is compacted."""

import asyncio
import random
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.core import serving
from sesamecross.fakes import simulated_store
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import follower
from sesamecross.ops.fleet import store_polling
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

    def on_listed(self, keys, end) -> None:
        for key in self.raw.missing_from(keys):
            self.raw.take(store.KeyedRecord(key, None, end - 1))

    def on_progress(self, end) -> None:
        self.raw.advance_end(end)

    def values(self) -> dict[str, bytes]:
        return {
            key: record.value
            for key, record in self.raw.records.items()
            if record.value is not None
        }


class _Store:
    """A keyed topic that changes and fails between calls as specified."""

    def __init__(self, steps):
        self.log: list[store.KeyedRecord] = []
        self.first = 0
        self.latest: dict[str, store.KeyedRecord] = {}
        self.steps = list(steps)
        self.done = asyncio.Event()

    def write(self, key: str, value: bytes | None) -> None:
        record = store.KeyedRecord(key, value, len(self.log))
        self.log.append(record)
        self.latest[key] = record

    def values(self) -> dict[str, bytes]:
        return {
            key: record.value
            for key, record in self.latest.items()
            if record.value is not None
        }

    def _step(self) -> str:
        """Runs the next step; returns the outcome of the call."""
        if not self.steps:
            return "good"
        action, key, number = self.steps.pop(0)
        match action:
            case "write":
                self.write(f"k{key}", b"%d" % number)
            case "drop":
                self.write(f"k{key}", None)
            case "compact":
                # History is dropped, and with it the removed keys.
                self.first = len(self.log)
            case "refuse" | "lose":
                return action
        return "good"

    async def newest(self, topic, after):
        outcome = self._step()
        if outcome != "good":
            return _failure(outcome)
        live = sorted(self.values())
        page = [key for key in live if key > after][:2]
        has_more = bool(page) and page[-1] != live[-1]
        records = tuple(self.latest[key] for key in page)
        return store.NewestPage(records, has_more, len(self.log))

    async def read(self, topic, offset, wait_s):
        outcome = self._step()
        if outcome != "good":
            return _failure(outcome)
        if offset < self.first:
            return store.Expired(self.first)
        records = tuple(self.log[offset:])
        if not self.steps and not records:
            self.done.set()
            await asyncio.Event().wait()
        return store.Page(records, len(self.log))


def _failure(outcome: str):
    if outcome == "refuse":
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
def test_followed_topic_converges_to_the_store(steps):
    """Guards against an upstream that stays in use after its removal.

    The store compacted its history while nobody read. The removal record was
    dropped with it, and the next listing does not mention the key.
    """

    async def scenario():
        backend, sink = _Store(steps), _Sink()
        topic_follower = follower.Follower(
            backend, "topic", sink, random.Random(1)
        )
        task = asyncio.create_task(topic_follower.run())
        await backend.done.wait()
        task.cancel()
        return backend, sink

    sleep = asyncio.sleep
    # Sleeps return at once: only the order of events is tested.
    with mock.patch.object(asyncio, "sleep", lambda seconds: sleep(0)):
        backend, sink = asyncio.run(scenario())
    assert sink.values() == backend.values()
    assert sink.end == len(backend.log)


# For how long the store answers before the bounds on its records hold.
STABLE_S = 4.0
# What remains of the drain bound once a reader has a record: members fetch it,
# and a request chosen just before is on its way.
AFTER_READ_S = 1.4
STORE_CALL_S = 0.01


def _read_delay_s(silences, min_interval_s: float, written_s: float) -> float:
    """Returns how long after it was written a reader has a record."""
    loop = virtual_time_loop.VirtualTimeLoop()

    async def scenario() -> float:
        backend = simulated_store.SimulatedStore(
            {"topic": []},
            tuple(simulated_store.Silence(*one) for one in silences),
            STORE_CALL_S,
        )
        sink = _Sink()
        reader = follower.Follower(
            backend, "topic", sink, random.Random(1), min_interval_s
        )
        task = loop.create_task(reader.run())
        # Without any record before, every poll waits as long as it may.
        await asyncio.sleep(written_s)
        backend.write("topic", "leaving", b"{}")
        while "leaving" not in sink.values():
            await asyncio.sleep(0.01)
        delay_s = loop.time() - written_s
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0)
        return delay_s

    return loop.run_until_complete(scenario())


@pytest.mark.parametrize(
    "silences",
    [
        pytest.param(((0.5, 5.0),), id="early"),
        pytest.param(((9.0, 17.7),), id="long"),
        # The second begins while a poll of the first one may be open.
        pytest.param(((2.0, 4.9), (13.0, 17.9)), id="two"),
        pytest.param(((2.0, 2.3), (2.9, 3.1), (5.5, 6.0)), id="short"),
    ],
)
def test_a_reader_misses_no_record_after_polls_that_were_never_answered(
    silences,
):
    """Guards against requests to an upstream 3.1 s after it said it leaves.

    The store had been silent. Polls that were sent meanwhile stayed unanswered
    for 26 s, and no instance read the announcement 4 s after the silence.
    """
    max_delay_s = serving.Bounds().drain_s - AFTER_READ_S
    for min_interval_s in (0.0, store_polling.READ_INTERVAL_S):
        for step in range(10):
            written_s = silences[-1][1] + STABLE_S + step * 0.37
            delay_s = _read_delay_s(silences, min_interval_s, written_s)
            assert delay_s <= max_delay_s, (min_interval_s, written_s)
