"""Hands the store's records from instance to instance, over streams.

Why: an instance that the store turns away, or that does not read it at all,
learns configuration and leaving upstreams from one that knows more. Who knows
more shows in the datagrams: each bears how far its sender has come.

The same port also serves as proof of life: a candidate for the lease keeps a
stream to its holder open, and sees at once when that process ends.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses

from sesamecross.core import clock as clock_lib
from sesamecross.core import codec
from sesamecross.core import fleet_messages as fm
from sesamecross.core import hlc
from sesamecross.gateway import catalog as catalog_lib
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import store_client
from sesamecross.gateway import store_messages
from sesamecross.gateway import store_proxy
from sesamecross.ops.fleet import store_polling
from sesamecross.ports import store
from sesamecross.runtime import logs
from sesamecross.transport import streams

ROLE = "gateway"
ANSWER_S = 1.0
STEP_S = 0.1
WATCH_PAUSE_S = 0.5


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class SyncAsk:
    """What the asking instance has."""

    configuration: int
    upstreams_end: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class SyncAnswer:
    """What the asking instance lacks."""

    configuration: tuple[store_messages.StoreRecord, ...]
    configuration_end: int
    upstreams: tuple[store_messages.StoreRecord, ...]
    upstreams_end: int


class SyncServer:
    """Component that answers other instances."""

    is_vital = False
    name = "sync"

    def __init__(
        self,
        mesh: mesh_lib.Mesh,
        state: state_lib.State,
        catalog: catalog_lib.Catalog,
        client: store_client.StoreClient,
        own_prefix: str,
    ):
        self._mesh = mesh
        self._state = state
        self._catalog = catalog
        self._client = client
        self._own_prefix = own_prefix
        self._stamper = hlc.HybridClock(clock_lib.SystemClock())

    async def run(self) -> None:
        """Listens once this start is registered."""
        while self._mesh.roster is None:
            await asyncio.sleep(STEP_S)
        host, _, port = self._mesh.roster.me.address.rpartition(":")
        server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )
        async with server:
            await asyncio.Event().wait()

    async def stop(self) -> None:
        """Streams end with the process."""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            stream = await streams.accept(
                reader, writer, self._mesh.secret, self._stamper
            )
            while True:
                ask = await stream.receive()
                match ask:
                    case SyncAsk():
                        await stream.send(self._answer(ask))
                    case store_proxy.AppendAsk() | store_proxy.NewestAsk():
                        told = await store_proxy.serve(
                            self._client, self._own_prefix, ask
                        )
                        await stream.send(told)
        except (streams.StreamClosedError, asyncio.CancelledError):
            # The task is asyncio's own: a cancellation that left it would be
            # reported as an error of its callback.
            writer.close()

    def _answer(self, ask: SyncAsk) -> SyncAnswer:
        configuration = self._catalog.configuration.raw
        upstreams = self._catalog.upstreams.raw
        newer: tuple[store.KeyedRecord, ...] = ()
        if ask.configuration < self._state.version:
            newer = configuration.since(0)
        return SyncAnswer(
            store_messages.encoded(newer),
            configuration.end,
            store_messages.encoded(upstreams.since(max(0, ask.upstreams_end))),
            upstreams.end,
        )


class SyncPuller:
    """Component that asks instances that know more."""

    is_vital = False
    name = "sync puller"

    def __init__(
        self,
        mesh: mesh_lib.Mesh,
        state: state_lib.State,
        catalog: catalog_lib.Catalog,
    ):
        self._mesh = mesh
        self._state = state
        self._catalog = catalog
        self._stamper = hlc.HybridClock(clock_lib.SystemClock())
        self._log = logs.part("sync")
        self._lag = store_polling.Lag()
        self._stream: streams.Stream | None = None
        self._source = ""

    async def run(self) -> None:
        """Compares for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(STEP_S)
            if self._mesh.roster is None:
                continue
            source = self._best_source(loop.time())
            mine = (self._state.version, self._state.upstreams_offset)
            best = None
            if source is not None:
                best = (source.configuration, source.upstreams)
            duration_s = self._lag.duration_s(mine, best, loop.time())
            patience_s = store_polling.MEMBER_FETCH_DELAY_S
            if self._mesh.should_read_store():
                patience_s = store_polling.READER_FETCH_DELAY_S
            if source is not None and duration_s >= patience_s:
                await self._pull(source)

    async def stop(self) -> None:
        """Ends the stream."""
        self._close()

    def _best_source(self, now_s: float) -> fm.Member | None:
        """Returns the instance that knows most more than this one."""
        mine = (self._state.version, self._state.upstreams_offset)
        best = None
        for member in self._mesh.roster.alive(now_s):
            theirs = (member.configuration, member.upstreams)
            if theirs[0] <= mine[0] and theirs[1] <= mine[1]:
                continue
            is_near = member.zone == self._mesh.roster.me.zone
            if best is None or (is_near, theirs) > best[0]:
                best = ((is_near, theirs), member)
        return best[1] if best else None

    async def _pull(self, source: fm.Member) -> None:
        try:
            async with asyncio.timeout(ANSWER_S):
                answer = await self._ask(source)
        except (streams.StreamClosedError, TimeoutError) as error:
            self._close()
            self._log.warning(
                "no answer", source=source.name, why=str(error) or "timeout"
            )
            return
        before = self._state.version
        self._take(answer)
        if self._state.version == before and not self._mesh.should_read_store():
            # The usual way of a member; what changed is logged by itself.
            return
        self._log.info(
            "caught up",
            source=source.name,
            version=self._state.version,
            upstreams=self._state.upstreams_offset,
            records=len(answer.upstreams),
        )

    async def _ask(self, source: fm.Member) -> SyncAnswer:
        if self._stream is None or self._source != source.address:
            self._close()
            self._stream = await streams.connect(
                source.address,
                self._mesh.secret,
                ROLE,
                self._mesh.roster.me.name,
                self._stamper,
            )
            self._source = source.address
        ask = SyncAsk(self._state.version, self._state.upstreams_offset)
        await self._stream.send(ask)
        answer = await self._stream.receive()
        if not isinstance(answer, SyncAnswer):
            raise streams.StreamClosedError("not an answer")
        return answer

    def _take(self, answer: SyncAnswer) -> None:
        for sink, records, end in (
            (
                self._catalog.configuration,
                answer.configuration,
                answer.configuration_end,
            ),
            (self._catalog.upstreams, answer.upstreams, answer.upstreams_end),
        ):
            for one in store_messages.decoded(records):
                sink.on_record(one)
            if end >= 0:
                sink.on_reached(end)

    def _close(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None


class HolderMonitor:
    """Component that keeps a stream to the lease's holder open."""

    is_vital = False
    name = "holder watch"

    def __init__(
        self,
        mesh: mesh_lib.Mesh,
        is_candidate: Callable[[], bool],
        on_end: Callable[[fm.Member], None],
    ):
        self._mesh = mesh
        self._is_candidate = is_candidate
        self._on_end = on_end
        self._stamper = hlc.HybridClock(clock_lib.SystemClock())

    async def run(self) -> None:
        """Watches for ever."""
        while True:
            await asyncio.sleep(STEP_S)
            holder = self._holder()
            if holder is not None and self._is_candidate():
                await self._watch(holder)

    async def stop(self) -> None:
        """The stream ends with the component."""

    def _holder(self) -> fm.Member | None:
        mesh = self._mesh
        if mesh.roster is None or mesh.lease is None:
            return None
        holder = mesh.roster.get(mesh.lease.holder)
        if holder is None or holder.incarnation != mesh.lease.incarnation:
            return None
        return holder

    def _is_still(self, holder: fm.Member) -> bool:
        now = self._holder()
        return now is not None and (now.name, now.incarnation) == (
            holder.name,
            holder.incarnation,
        )

    async def _watch(self, holder: fm.Member) -> None:
        try:
            stream = await streams.connect(
                holder.address,
                self._mesh.secret,
                ROLE,
                self._mesh.roster.me.name,
                self._stamper,
            )
        except streams.StreamRefusedError:
            self._on_end(holder)
            await asyncio.sleep(WATCH_PAUSE_S)
            return
        except streams.StreamClosedError:
            await asyncio.sleep(WATCH_PAUSE_S)
            return
        receiving = asyncio.create_task(_until_closed(stream))
        try:
            while self._is_still(holder) and not receiving.done():
                await asyncio.wait([receiving], timeout=WATCH_PAUSE_S)
        finally:
            receiving.cancel()
            stream.close()


async def _until_closed(stream: streams.Stream) -> None:
    with contextlib.suppress(streams.StreamClosedError):
        while True:
            await stream.receive()
