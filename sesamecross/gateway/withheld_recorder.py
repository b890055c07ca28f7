"""Keeps the store's records of what is withheld: parts, and requests.

What is written is decided in `sesamecross.ops.fleet.withheld_records`.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from sesamecross.gateway import registrar as registrar_lib
from sesamecross.gateway import version_recorder
from sesamecross.ops.fleet import crash_ledger
from sesamecross.ops.fleet import withheld_records
from sesamecross.ports import store
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import ticker as ticker_lib

STEP_INTERVAL_S = 0.1
# Pause after a write that failed.
RETRY_INTERVAL_S = 1.0


class Guard(Protocol):
    """Whoever decides what is withheld."""

    @property
    def withheld(self) -> tuple[crash_ledger.Withheld, ...]:
        """What is withheld now."""


class WithheldRecorder:
    """Component that writes the records while this instance is the writer."""

    is_vital = False

    __slots__ = (
        "name",
        "_guard",
        "_key_prefix",
        "_records",
        "_is_writer",
        "_ticker",
        "_log",
    )

    def __init__(
        self,
        guard: Guard,
        key_prefix: str,
        records: version_recorder.RecordStore,
        is_writer: Callable[[], bool],
        ticker: ticker_lib.Ticker | None = None,
    ):
        self.name = f"records {key_prefix}"
        self._guard = guard
        self._key_prefix = key_prefix
        self._records = records
        self._is_writer = is_writer
        self._ticker = ticker or ticker_lib.Ticker()
        self._log = logs.get_logger("crashes")

    async def run(self) -> None:
        """Writes what is due, one record after the other."""
        writer = withheld_records.RecordWriter(self._key_prefix)
        while True:
            await self._ticker.wait(STEP_INTERVAL_S)
            if not self._is_writer():
                # Another instance may write meanwhile.
                writer = withheld_records.RecordWriter(self._key_prefix)
                await self._ticker.wait_until(self._is_writer, STEP_INTERVAL_S)
            await self._step(writer)

    async def stop(self) -> None:
        """Does nothing: the records stay."""

    async def _step(self, writer: withheld_records.RecordWriter) -> None:
        withheld = self._guard.withheld
        due = writer.next_write(
            withheld,
            event_loop.now_s(),
            registrar_lib.wall_clock_ms(),
        )
        if due is None:
            return
        part, write = due
        outcome = await self._records.append(write)
        if isinstance(outcome, store.Appended):
            writer.on_written(part, withheld)
            event = "record dropped" if write.value is None else "recorded"
            self._log.info(event, withheld=part)
            return
        self._log.warning("not recorded", withheld=part, why=str(outcome))
        await asyncio.sleep(RETRY_INTERVAL_S)
