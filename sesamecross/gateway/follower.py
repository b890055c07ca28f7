"""Follows a keyed topic of the store: the newest of each key, then changes.

Why: configuration and upstreams are keyed records. A follower lists them
once and reads on from there; it lists again where the store has dropped what
it did not read. The store may be slow, down, or answer others only: the
follower goes on trying with growing pauses, and what is known stays known.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Protocol

from sesamecross.gateway import store_client
from sesamecross.ops.fleet import store_polling
from sesamecross.ports import store
from sesamecross.runtime import logs

# How long a read waits for a record. Calls are paid for and a longer wait is
# cheaper, and the store allows 30 s; a connection that went silent is found by
# probes after about 3 s.
WAIT_S = 25.0
FIRST_PAUSE_S = 0.1
# How often a follower that does not read looks whether it is its turn.
IDLE_S = 0.1


class Sink(Protocol):
    """Who takes the records of a topic."""

    @property
    def end(self) -> int:
        """Up to where records were taken in, whoever brought them, or -1."""

    def on_record(self, record: store.KeyedRecord) -> None:
        """Takes one record; a value of None drops the key."""

    def on_whole(self, keys: set[str], end: int) -> None:
        """All keys that there are before `end`: others are gone."""

    def on_reached(self, end: int) -> None:
        """All records before `end` were handed over."""


class Follower:
    """Follows one topic for ever."""

    is_vital = False

    __slots__ = (
        "_client",
        "_topic",
        "_sink",
        "_rng",
        "_log",
        "_offset",
        "_reachable",
        "_pause_s",
        "_every_s",
        "_reads",
        "_longest_pause_s",
    )

    def __init__(
        self,
        client: store_client.StoreClient,
        topic: str,
        sink: Sink,
        rng: random.Random,
        every_s: float = 0.0,
        reads: Callable[[], bool] = lambda: True,
        max_backoff_s: Callable[[], float] = lambda: (
            store_polling.READER_MAX_BACKOFF_S
        ),
    ):
        """Sets the follower up.

        Args:
          client: The store.
          topic: What is followed.
          sink: Who takes the records.
          rng: Spreads the pauses after failures.
          every_s: Least time between two reads that brought something.
          reads: Whether this instance reads now, or others do it for it.
          longest_pause_s: The longest pause between calls that fail.
        """
        self._client = client
        self._topic = topic
        self._sink = sink
        self._rng = rng
        self._log = logs.part("follower")
        self._offset: int | None = None
        self._reachable: bool | None = None
        self._pause_s = FIRST_PAUSE_S
        self._every_s = every_s
        self._reads = reads
        self._longest_pause_s = max_backoff_s

    @property
    def name(self) -> str:
        """The prefix of its logs."""
        return f"follower {self._topic}"

    @property
    def offset(self) -> int:
        """Up to where the topic was read, or -1."""
        return -1 if self._offset is None else self._offset

    async def run(self) -> None:
        """Lists, then reads on, for ever."""
        while True:
            if self._offset is not None and not self._reads():
                await asyncio.sleep(IDLE_S)
                continue
            if self._offset is None:
                is_done = await self._list()
            else:
                is_done = await self._read_on()
            if is_done:
                self._pause_s = FIRST_PAUSE_S
                if self._every_s > 0:
                    await asyncio.sleep(self._every_s)
            else:
                await asyncio.sleep(self._pause_s * self._rng.uniform(0.5, 1))
                self._pause_s = min(self._pause_s * 2, self._longest_pause_s())

    async def stop(self) -> None:
        """Nothing is left open that matters."""

    async def _list(self) -> bool:
        after = ""
        start: int | None = None
        keys: set[str] = set()
        while True:
            outcome = await self._client.newest(self._topic, after)
            if not isinstance(outcome, store.NewestPage):
                self._note(False, outcome)
                return False
            if start is None:
                start = outcome.end
            for record in outcome.records:
                keys.add(record.key)
                self._sink.on_record(record)
            if not outcome.has_more or not outcome.records:
                break
            after = outcome.records[-1].key
        self._sink.on_whole(keys, start)
        self._sink.on_reached(start)
        self._offset = start
        self._note(True, None)
        self._log.info("listed", topic=self._topic, keys=len(keys), end=start)
        return True

    async def _read_on(self) -> bool:
        # The first read after a failure doesn't wait, so that the store's
        # return shows at once.
        wait_s = WAIT_S if self._reachable else 0.0
        # Others may have brought what this instance did not read itself.
        self._offset = max(self._offset, self._sink.end)
        outcome = await self._client.read(self._topic, self._offset, wait_s)
        match outcome:
            case store.Page(records, next_offset):
                for record in records:
                    self._sink.on_record(record)
                self._offset = next_offset
                self._sink.on_reached(next_offset)
                self._note(True, None)
                return True
            case store.Expired(first):
                self._log.warning(
                    "records expired unread, listing again",
                    topic=self._topic,
                    read_to=self._offset,
                    first=first,
                )
                self._offset = None
                return True
        self._note(False, outcome)
        return False

    def _note(self, reachable: bool, outcome: object) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            self._log.info("store answers", topic=self._topic)
        else:
            self._log.warning(
                "store does not answer", topic=self._topic, why=str(outcome)
            )
