"""Keeps the store's records of the software versions that serve.

If all instances are killed at the same moment, these records are all that is
known of what served before. One instance, the holder of the lease, writes them;
what is written is decided in `sesamecross.ops.fleet.version_records`.
"""

import asyncio
from collections.abc import Callable

from sesamecross.gateway import origin_registry
from sesamecross.gateway import registrar as registrar_lib
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import store_client
from sesamecross.gateway import store_proxy
from sesamecross.ops.fleet import stream_origins
from sesamecross.ops.fleet import version_records
from sesamecross.ops.fleet import withheld_records
from sesamecross.ports import store
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import ticker as ticker_lib

STEP_INTERVAL_S = 0.1
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0


class RecordStore:
    """The topic of the records, also if the store refuses this instance."""

    __slots__ = ("_registrar", "_client", "_proxy", "_topic")

    def __init__(
        self,
        registrar: registrar_lib.Registrar,
        client: store_client.StoreClient,
        proxy: store_proxy.StoreProxy,
        topic: str,
    ):
        self._registrar = registrar
        self._client = client
        self._proxy = proxy
        self._topic = topic

    async def list_records(self) -> registrar_lib.TopicList | None:
        """Lists the topic; None if the store does not answer."""
        listed = await self._registrar.list_records()
        if listed is not None:
            return listed
        page = await self._proxy.newest(self._topic)
        if not isinstance(page, store.NewestPage) or page.has_more:
            return None
        records = {record.key: record for record in page.records}
        return registrar_lib.TopicList(records, page.end)

    async def append(
        self, write: version_records.Write | withheld_records.Write
    ) -> store.AppendOutcome:
        """Makes a write on its condition."""
        if write.value is None:
            return await self._client.append(
                self._topic, write.key, None, write.at
            )
        return await self._proxy.append(
            self._topic, write.key, write.value, write.at
        )


class VersionRecorder:
    """Component that writes the records while this instance is the writer."""

    is_vital = False
    name = "versions"

    def __init__(
        self,
        state: state_lib.State,
        records: RecordStore,
        origins: origin_registry.OriginRegistry,
        is_writer: Callable[[], bool],
        ticker: ticker_lib.Ticker | None = None,
    ):
        self._state = state
        self._records = records
        self._origins = origins
        self._is_writer = is_writer
        self._ticker = ticker or ticker_lib.Ticker()
        self._log = logs.get_logger("versions")
        self._writer: version_records.VersionWriter | None = None
        self._backoff_s = INITIAL_BACKOFF_S
        self._is_first_claim = True

    async def run(self) -> None:
        """Writes what is due, one record after the other."""
        while True:
            await self._ticker.wait(STEP_INTERVAL_S)
            if not self._is_writer():
                self._writer = None
                await self._ticker.wait_until(self._is_writer, STEP_INTERVAL_S)
            if self._state.configuration is None:
                continue
            if self._writer is None:
                self._writer = version_records.VersionWriter()
                self._is_first_claim = True
            while await self._step(self._writer):
                pass

    async def stop(self) -> None:
        """Does nothing: the records stay."""

    async def _step(self, writer: version_records.VersionWriter) -> bool:
        """Takes one step; returns whether the next one may be due at once."""
        now_s = event_loop.now_s()
        wall_ms = registrar_lib.wall_clock_ms()
        action = writer.next_action(self._observed(now_s), now_s, wall_ms)
        match action:
            case None:
                return False
            case version_records.ReadTopic():
                is_done = await self._list(writer)
            case _:
                is_done = await self._write(writer, action)
        if is_done:
            self._backoff_s = INITIAL_BACKOFF_S
        else:
            await asyncio.sleep(self._backoff_s)
            self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        return self._is_writer()

    def _observed(self, now_s: float) -> version_records.Observed:
        state = self._state
        state.record_versions(now_s)
        life_s = state.longest_life_s
        return version_records.Observed(
            frozenset(
                stream_origins.StreamOrigin(
                    known.entry.service, known.entry.version
                )
                for known in state.directory
            ),
            state.versions.seen_of_all(life_s, now_s),
            life_s,
            state.versions.is_complete(life_s, now_s)
            and self._origins.is_current(now_s),
            state.upstreams_offset,
        )

    async def _list(self, writer: version_records.VersionWriter) -> bool:
        listed = await self._records.list_records()
        if listed is None:
            return False
        recorded = version_records.read_records(
            listed.records, registrar_lib.wall_clock_ms()
        )
        self._state.extend_life(recorded.life_s)
        self._state.versions.record_origins(
            writer.on_listed(recorded, listed.end),
            event_loop.now_s(),
        )
        return True

    async def _write(
        self,
        writer: version_records.VersionWriter,
        write: version_records.Write,
    ) -> bool:
        outcome = await self._records.append(write)
        match outcome:
            case store.Appended(offset):
                now_s = event_loop.now_s()
                writer.on_written(write, offset, now_s)
            case _:
                writer.on_not_written()
        self._log_write(write, outcome)
        return isinstance(outcome, store.Appended)

    def _log_write(
        self, write: version_records.Write, outcome: store.AppendOutcome
    ) -> None:
        if not isinstance(outcome, store.Appended):
            self._log.warning("not written", key=write.key, why=str(outcome))
            return
        match write:
            case version_records.WriteVersion(origin=origin):
                self._log.info(
                    "recorded", service=origin.service, version=origin.version
                )
            case version_records.DropVersion(origin=origin):
                self._log.info(
                    "dropped", service=origin.service, version=origin.version
                )
            case version_records.WriteComplete(life_s=life_s):
                # Renewals are frequent, and change nothing.
                if self._is_first_claim:
                    self._log.info("complete", life_s=life_s)
                self._is_first_claim = False
