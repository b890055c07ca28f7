"""Appends records to the platform's log in batches.

The log takes several hundred appends a second from all writers together, so
records submitted during an append go into the next batch. An append without a
response is retried under the same id until the log responds; replay applies it
once.
"""

import asyncio
from collections import deque
import random
from typing import Any
import uuid

from returns.result import Success

from sesamecross.core import codec
from sesamecross.core import records
from sesamecross.ops import timeline
from sesamecross.ports import log_http
from sesamecross.runtime import logs

MAX_BATCH_RECORDS = 200
MAX_BATCH_BYTES = 512 * 1024
MAX_QUEUE_LENGTH = 10_000
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class QueueFullError(Exception):
    """The append queue is full; the submitter must refuse its work."""


class LogWriter:
    """Component that batches and appends queued records."""

    __slots__ = (
        "_log",
        "_writer_name",
        "_recorder",
        "_queue",
        "_has_work",
        "_logger",
        "_reachable",
        "_rng",
        "_idle",
        "appends",
        "append_bytes",
    )

    def __init__(
        self,
        log: log_http.HttpLog,
        writer_name: str,
        recorder: timeline.Recorder,
        rng: random.Random,
    ):
        self._log = log
        self._writer_name = writer_name
        self._recorder = recorder
        self._rng = rng
        self._queue: deque[tuple[tuple[Any, ...], int]] = deque()
        self._has_work = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._logger = logs.get_logger("log-writer")
        self._reachable = True
        self.appends = 0
        self.append_bytes = 0

    @property
    def name(self) -> str:
        """The component's name in logs."""
        return "log-writer"

    @property
    def reachable(self) -> bool:
        """Whether the last append was answered."""
        return self._reachable

    def submit(self, record: Any) -> None:
        """Queues a record; it takes effect at replay.

        Raises:
          QueueFullError: The log has been unreachable for long.
        """
        self.submit_atomically((record,))

    def submit_atomically(self, entries: tuple[Any, ...]) -> None:
        """Queues records that reach the log together or not at all.

        Raises:
          QueueFullError: The log has been unreachable for long.
        """
        if len(self._queue) >= MAX_QUEUE_LENGTH:
            raise QueueFullError
        size = sum(len(codec.encode(entry)) for entry in entries)
        self._queue.append((entries, size))
        self._idle.clear()
        self._has_work.set()

    def submit_alone(self, record: Any) -> None:
        """Queues a record that must be alone in its append.

        Raises:
          QueueFullError: The log has been unreachable for long.
        """
        if len(self._queue) >= MAX_QUEUE_LENGTH:
            raise QueueFullError
        # Larger than any batch: it joins no batch and no record joins it.
        self._queue.append(((record,), MAX_BATCH_BYTES + 1))
        self._idle.clear()
        self._has_work.set()

    async def wait_until_flushed(self) -> None:
        """Waits until all submitted records are appended."""
        await self._idle.wait()

    async def run(self) -> None:
        """Appends batches until cancelled."""
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            while self._queue:
                await self._append(self._next_batch())
            self._idle.set()

    async def stop(self) -> None:
        """Waits up to one second for the queue to be appended."""
        try:
            await asyncio.wait_for(self.wait_until_flushed(), 1.0)
        except TimeoutError:
            self._logger.warning(
                "stopping with records that are not appended",
                records=len(self._queue),
            )

    def _next_batch(self) -> list[Any]:
        batch: list[Any] = []
        size = 0
        while self._queue and len(batch) < MAX_BATCH_RECORDS:
            size += self._queue[0][1]
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.extend(self._queue.popleft()[0])
        return batch

    async def _append(self, batch: list[Any]) -> None:
        stamp = self._recorder.now()
        envelope = records.Envelope(
            uuid.uuid4().hex,
            self._writer_name,
            tuple(codec.to_plain(record) for record in batch),
            (stamp.wall_ms, stamp.count),
        )
        payload = codec.encode(envelope)
        backoff_s = INITIAL_BACKOFF_S
        while True:
            result = await asyncio.to_thread(self._log.append, payload)
            if isinstance(result, Success):
                self._set_reachable(True, "")
                self.appends += 1
                self.append_bytes += len(payload)
                return
            self._set_reachable(False, str(result.failure()))
            # Jitter keeps the stewards of a deployment from retrying all at
            # once when the log recovers.
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            self._logger.info("log appends succeed again")
        else:
            self._logger.warning("log appends fail", reason=reason)
        self._recorder.add(
            timeline.EventKind.LOG,
            "appends are answered" if reachable else "appends fail",
        )
