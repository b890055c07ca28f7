"""Follows a keyed topic of the store: lists the newest records, then reads on.

Configuration and upstreams are keyed records. A follower lists a topic once and
then reads from the end of the listing; it lists again if the store has expired
records that it had not read. The store may be slow, down, or refuse only this
instance: the follower retries with exponential backoff, and the known records
stay valid.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Protocol

from sesamecross.gateway import store_client
from sesamecross.ops.fleet import store_polling
from sesamecross.ports import store
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import ticker as ticker_lib

INITIAL_BACKOFF_S = 0.1
# How often a follower that does not read checks whether it should.
IDLE_POLL_S = 0.1


class Sink(Protocol):
    """Receives the records of a topic."""

    @property
    def end(self) -> int:
        """The offset up to which any source supplied records, or -1."""

    def on_record(self, record: store.KeyedRecord) -> None:
        """Handles one record; a value of None removes the key."""

    def on_listed(self, keys: set[str], end: int) -> None:
        """Receives all keys that exist before `end`; others are removed."""

    def on_progress(self, end: int) -> None:
        """Notes that all records before `end` were passed on."""


class Follower:
    """Component that follows one topic."""

    is_vital = False

    __slots__ = (
        "_client",
        "_topic",
        "_sink",
        "_rng",
        "_log",
        "_offset",
        "_reachable",
        "_backoff_s",
        "_min_interval_s",
        "_should_read",
        "_max_backoff_s",
        "_poll_s",
        "_open_read",
        "_read_begun_s",
        "_ticker",
        "_confirm",
        "_clock",
    )

    def __init__(
        self,
        client: store_client.StoreClient,
        topic: str,
        sink: Sink,
        rng: random.Random,
        min_interval_s: float = 0.0,
        should_read: Callable[[], bool] = lambda: True,
        max_backoff_s: Callable[[], float] = lambda: (
            store_polling.READER_MAX_BACKOFF_S
        ),
        poll_s: Callable[[], float] = lambda: store_polling.READER_POLL_S,
        ticker: ticker_lib.Ticker | None = None,
        confirm: Callable[[float], None] = lambda _: None,
        clock: Callable[[], float] = lambda: 0.0,
    ):
        """Initializes the follower.

        Args:
          client: The store.
          topic: The topic to follow.
          sink: Receives the records.
          rng: Adds jitter to the backoff.
          min_interval_s: Minimum time between two successful reads.
          should_read: Whether this instance reads now; otherwise another
            instance reads for it.
          max_backoff_s: The longest backoff after failed calls.
          poll_s: How long a read waits for a record.
          ticker: The process's ticker.
          confirm: Called when all records of a moment of `clock` were passed
            on.
          clock: The clock of these moments.
        """
        self._client = client
        self._topic = topic
        self._sink = sink
        self._rng = rng
        self._log = logs.get_logger("follower")
        self._offset: int | None = None
        self._reachable: bool | None = None
        self._backoff_s = INITIAL_BACKOFF_S
        self._min_interval_s = min_interval_s
        self._should_read = should_read
        self._max_backoff_s = max_backoff_s
        self._poll_s = poll_s
        self._open_read: asyncio.Task[store.ReadOutcome] | None = None
        self._read_begun_s = 0.0
        self._ticker = ticker or ticker_lib.Ticker()
        self._confirm = confirm
        self._clock = clock

    @property
    def name(self) -> str:
        """The prefix of its log lines."""
        return f"follower {self._topic}"

    @property
    def offset(self) -> int:
        """The offset up to which the topic was read, or -1."""
        return -1 if self._offset is None else self._offset

    @property
    def is_answered(self) -> bool:
        """Whether the store answered the last call."""
        return bool(self._reachable)

    async def run(self) -> None:
        """Lists the topic, then reads from the end of the listing."""
        while True:
            if self._offset is not None and not self._should_read():
                await self._ticker.wait_until(
                    lambda: self._should_read(), IDLE_POLL_S
                )
            if self._offset is None:
                is_done = await self._list_topic()
            else:
                is_done = await self._read_next()
            if is_done:
                self._backoff_s = INITIAL_BACKOFF_S
                if self._min_interval_s > 0:
                    await asyncio.sleep(self._min_interval_s)
            else:
                await asyncio.sleep(self._backoff_s * self._rng.uniform(0.5, 1))
                self._backoff_s = min(
                    self._backoff_s * 2, self._max_backoff_s()
                )

    async def stop(self) -> None:
        """Does nothing: there is no state to flush or close."""

    def replace_read(self) -> None:
        """Ends an open read that should have been answered; it is sent again.

        For a caller that knows of records that this follower has not read. A
        read that is younger than a call's timeout may still be answered.
        """
        if self._open_read is None:
            return
        open_for_s = event_loop.now_s() - self._read_begun_s
        if open_for_s >= store_client.CALL_TIMEOUT_S:
            self._log.warning(
                "read replaced",
                topic=self._topic,
                offset=self._offset,
                open_s=round(open_for_s, 2),
            )
            self._open_read.cancel()

    async def _list_topic(self) -> bool:
        sent_s = self._clock()
        after = ""
        start: int | None = None
        keys: set[str] = set()
        while True:
            outcome = await self._client.newest(self._topic, after)
            if not isinstance(outcome, store.NewestPage):
                self._set_reachable(False, outcome)
                return False
            if start is None:
                start = outcome.end
            for record in outcome.records:
                keys.add(record.key)
                self._sink.on_record(record)
            if not outcome.has_more or not outcome.records:
                break
            after = outcome.records[-1].key
        self._sink.on_listed(keys, start)
        self._sink.on_progress(start)
        self._offset = start
        self._confirm(sent_s)
        self._set_reachable(True, None)
        self._log.info("listed", topic=self._topic, keys=len(keys), end=start)
        return True

    async def _read_next(self) -> bool:
        # The first read after a failure does not wait, so that recovery of the
        # store is noticed at once.
        wait_s = self._poll_s() if self._reachable else 0.0
        # Another instance may have supplied records that this one did not read.
        self._offset = max(self._offset, self._sink.end)
        sent_s = self._clock()
        outcome = await self._read(wait_s)
        match outcome:
            case store.Page(records, next_offset):
                for record in records:
                    self._sink.on_record(record)
                self._offset = next_offset
                self._sink.on_progress(next_offset)
                if not records:
                    # Others may follow those of a full page.
                    self._confirm(sent_s)
                self._set_reachable(True, None)
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
        self._set_reachable(False, outcome)
        return False

    async def _read(self, wait_s: float) -> store.ReadOutcome:
        read = asyncio.create_task(
            self._client.read(self._topic, self._offset, wait_s)
        )
        self._open_read = read
        self._read_begun_s = event_loop.now_s()
        try:
            await asyncio.wait([read])
        finally:
            self._open_read = None
            read.cancel()
        if read.cancelled():
            return store.Unknown("others have read on")
        return read.result()

    def _set_reachable(self, reachable: bool, outcome: object) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            self._log.info("store answers", topic=self._topic)
        else:
            self._log.warning(
                "store does not answer", topic=self._topic, why=str(outcome)
            )
