"""Synchronizes the store's records between instances, over streams.

An instance that the store refuses, or that does not read it, fetches
configuration and upstreams from a peer that has newer records. Datagrams carry
each sender's read positions, which show who has newer records.

The same port also serves failure detection: a candidate for the lease keeps a
stream to the holder open and notices at once when that process ends.
"""

import asyncio
from collections.abc import Callable
import contextlib

import msgspec

from sesamecross.core import clock as clock_lib
from sesamecross.core import codec
from sesamecross.core import connection_limiter
from sesamecross.core import fleet_messages as fm
from sesamecross.core import hlc
from sesamecross.gateway import catalog as catalog_lib
from sesamecross.gateway import follower as follower_lib
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import relay_messages
from sesamecross.gateway import relay_server as relay_server_lib
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import store_client
from sesamecross.gateway import store_messages
from sesamecross.gateway import store_proxy
from sesamecross.ops.fleet import store_polling
from sesamecross.ops.fleet import topic_records
from sesamecross.ports import store
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import ticker as ticker_lib
from sesamecross.transport import keepalive
from sesamecross.transport import streams

ROLE = "gateway"
ANSWER_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.1
WATCH_INTERVAL_S = 0.5
# How long an instance that did not answer is asked only as a last resort: until
# it counts as dead.
AVOID_S = 2.0


@codec.register
class SyncAsk(msgspec.Struct, frozen=True):
    """What the requesting instance has.

    Attributes:
      accepts_renewals: Whether the answer may name renewals by digest.
    """

    configuration: int
    upstreams_end: int
    accepts_renewals: bool = False


@codec.register
class SyncAnswer(msgspec.Struct, frozen=True):
    """What the requesting instance lacks.

    Attributes:
      renewals: Key, offset and digest of upstreams' entries whose value the
        requesting instance is expected to have.
      is_complete_list: Whether `upstreams` are all entries. Those that it lacks
        were deleted, perhaps before this instance listed them.
    """

    configuration: tuple[store_messages.StoreRecord, ...]
    configuration_end: int
    upstreams: tuple[store_messages.StoreRecord, ...]
    upstreams_end: int
    renewals: tuple[tuple[str, int, int], ...] = ()
    is_complete_list: bool = False


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
        relay_server: relay_server_lib.RelayServer,
        limits: connection_limiter.PortLimits = connection_limiter.UNLIMITED,
    ):
        self._limits = limits
        # Streams whose peer has not shown yet that it knows the key.
        self._handshakes = connection_limiter.ConnectionLimiter(
            limits.connections
        )
        self._mesh = mesh
        self._state = state
        self._catalog = catalog
        self._client = client
        self._own_prefix = own_prefix
        self._relay_server = relay_server
        self._stamper = hlc.HybridClock(clock_lib.SystemClock())

    async def run(self) -> None:
        """Listens once this start is registered."""
        while self._mesh.roster is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        host, _, port = self._mesh.roster.me.address.rpartition(":")
        server = await asyncio.start_server(
            self._serve,
            host,
            int(port),
            reuse_address=True,
            backlog=self._limits.backlog,
        )
        async with server:
            await asyncio.Event().wait()

    async def stop(self) -> None:
        """Does nothing: streams end with the process."""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A peer that is cut off without a word would leave its stream open.
        keepalive.enable(writer.get_extra_info("socket"))
        try:
            stream = await streams.accept(
                reader,
                writer,
                self._mesh.secret,
                self._stamper,
                self._handshakes,
            )
            while True:
                request = await stream.receive()
                match request:
                    case SyncAsk():
                        await stream.send(self._answer(request))
                    case store_proxy.AppendAsk() | store_proxy.NewestAsk():
                        answer = await store_proxy.execute(
                            self._client, self._own_prefix, request
                        )
                        await stream.send(answer)
                    case relay_messages.RelayOpen():
                        await self._relay_server.serve(stream, request)
                        writer.close()
                        return
        except (streams.StreamClosedError, asyncio.CancelledError):
            # asyncio owns this task: a cancellation that propagated would be
            # reported as an error in its callback.
            writer.close()

    def _answer(self, request: SyncAsk) -> SyncAnswer:
        configuration = self._catalog.configuration.raw
        upstreams = self._catalog.upstreams.raw
        newer: tuple[store.KeyedRecord, ...] = ()
        if request.configuration < self._state.version:
            newer = configuration.since(0)
        end = max(0, request.upstreams_end)
        is_complete_list = end < upstreams.listed_end
        if is_complete_list:
            changed, renewed = upstreams.since(0), ()
        elif request.accepts_renewals:
            changed, renewed = upstreams.news_since(end)
        else:
            changed, renewed = upstreams.since(end), ()
        return SyncAnswer(
            store_messages.to_wire(newer),
            configuration.end,
            store_messages.to_wire(changed),
            upstreams.end,
            tuple((one.key, one.offset, one.digest) for one in renewed),
            is_complete_list,
        )


class SyncPuller:
    """Component that fetches records from instances with newer ones."""

    is_vital = False
    name = "sync puller"

    def __init__(
        self,
        mesh: mesh_lib.Mesh,
        state: state_lib.State,
        catalog: catalog_lib.Catalog,
        configurations: follower_lib.Follower,
        upstreams: follower_lib.Follower,
        ticker: ticker_lib.Ticker | None = None,
    ):
        self._mesh = mesh
        self._state = state
        self._catalog = catalog
        self._configurations = configurations
        self._upstreams = upstreams
        self._ticker = ticker or ticker_lib.Ticker()
        self._stamper = hlc.HybridClock(clock_lib.SystemClock())
        self._log = logs.get_logger("sync")
        self._lag = store_polling.Lag()
        self._stream: streams.Stream | None = None
        self._source_address = ""
        # Until when instances that did not answer are asked only if no other
        # is ahead, by name.
        self._avoided_until_s: dict[str, float] = {}

    async def run(self) -> None:
        """Compares read positions periodically and fetches what is missing."""
        loop = event_loop.running()
        while True:
            await self._ticker.wait(POLL_INTERVAL_S)
            if not self._may_be_behind():
                self._lag.caught_up()
                await self._ticker.wait_until(
                    self._may_be_behind, POLL_INTERVAL_S
                )
            source = self._best_source(loop.time())
            own_progress = (self._state.version, self._state.upstreams_offset)
            best = None
            if source is not None:
                best = (source.configuration, source.upstreams)
            lag_s = self._lag.duration_s(own_progress, best, loop.time())
            fetch_delay_s = store_polling.MEMBER_FETCH_DELAY_S
            if self._mesh.should_read_store() and self._upstreams.is_answered:
                fetch_delay_s = store_polling.READER_FETCH_DELAY_S
            if source is not None and lag_s >= fetch_delay_s:
                self._replace_reads(source)
                await self._pull(source)

    async def stop(self) -> None:
        """Closes the stream."""
        self._close_stream()

    def _may_be_behind(self) -> bool:
        """Whether any instance has ever been further ahead than this one is."""
        roster = self._mesh.roster
        return roster is not None and (
            roster.furthest_configuration > self._state.version
            or roster.furthest_upstreams > self._state.upstreams_offset
        )

    def _best_source(self, now_s: float) -> fm.Member | None:
        """Returns the instance furthest ahead, its own zone preferred.

        None if no instance is ahead of this one.
        """
        own_progress = (self._state.version, self._state.upstreams_offset)
        best = None
        for member in self._mesh.roster.alive(now_s):
            theirs = (member.configuration, member.upstreams)
            if theirs[0] <= own_progress[0] and theirs[1] <= own_progress[1]:
                continue
            is_near = member.zone == self._mesh.roster.me.zone
            is_avoided = now_s < self._avoided_until_s.get(member.name, 0.0)
            rank = (not is_avoided, is_near, theirs)
            if best is None or rank > best[0]:
                best = (rank, member)
        return best[1] if best else None

    def _replace_reads(self, source: fm.Member) -> None:
        """Replaces own reads that should have returned what a peer has read."""
        if source.configuration > self._state.version:
            self._configurations.replace_read()
        if source.upstreams > self._state.upstreams_offset:
            self._upstreams.replace_read()

    async def _pull(self, source: fm.Member) -> None:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await self._request(source, self._next_ask())
                upstreams = self._received_upstreams(answer)
                if upstreams is None:
                    # A renewal of a value that this instance does not have: it
                    # and the source have read different records.
                    answer = await self._request(source, self._full_ask())
                    upstreams = self._received_upstreams(answer)
        except (streams.StreamClosedError, TimeoutError) as error:
            self._close_stream()
            now_s = event_loop.now_s()
            self._avoided_until_s = {
                name: until_s
                for name, until_s in self._avoided_until_s.items()
                if until_s > now_s
            }
            self._avoided_until_s[source.name] = now_s + AVOID_S
            self._log.warning(
                "no answer", source=source.name, why=str(error) or "timeout"
            )
            return
        before = self._state.version
        self._apply(answer, upstreams or ())
        if self._state.version == before and not self._mesh.should_read_store():
            # Routine for a member that does not read the store; changes are
            # logged where they are applied.
            return
        self._log.info(
            "caught up",
            source=source.name,
            version=self._state.version,
            upstreams=self._state.upstreams_offset,
            records=len(answer.upstreams),
            renewals=len(answer.renewals),
        )

    def _next_ask(self) -> SyncAsk:
        return SyncAsk(self._state.version, self._state.upstreams_offset, True)

    def _full_ask(self) -> SyncAsk:
        """Returns a request for all upstreams' entries with their values."""
        return SyncAsk(self._state.version, -1)

    def _received_upstreams(
        self, answer: SyncAnswer
    ) -> tuple[store.KeyedRecord, ...] | None:
        """Returns the upstreams' records of an answer, by offset.

        Returns:
          None if a renewal's value is not known here.
        """
        records = list(store_messages.from_wire(answer.upstreams))
        raw = self._catalog.upstreams.raw
        for renewal in answer.renewals:
            record = raw.renewed(topic_records.Renewal(*renewal))
            if record is None:
                return None
            records.append(record)
        return tuple(sorted(records, key=lambda record: record.offset))

    async def _request(self, source: fm.Member, ask: SyncAsk) -> SyncAnswer:
        if self._stream is None or self._source_address != source.address:
            self._close_stream()
            self._stream = await streams.connect(
                source.address,
                self._mesh.secret,
                ROLE,
                self._mesh.roster.me.name,
                self._stamper,
            )
            self._source_address = source.address
        await self._stream.send(ask)
        answer = await self._stream.receive()
        if not isinstance(answer, SyncAnswer):
            raise streams.StreamClosedError("not an answer")
        return answer

    def _apply(
        self, answer: SyncAnswer, upstreams: tuple[store.KeyedRecord, ...]
    ) -> None:
        configuration = store_messages.from_wire(answer.configuration)
        for sink, records, end in (
            (
                self._catalog.configuration,
                configuration,
                answer.configuration_end,
            ),
            (self._catalog.upstreams, upstreams, answer.upstreams_end),
        ):
            for record in records:
                sink.on_record(record)
            if answer.is_complete_list and sink is self._catalog.upstreams:
                keys = {one.key for one in records if one.value is not None}
                sink.on_listed(keys, end)
            if end >= 0:
                sink.on_progress(end)

    def _close_stream(self) -> None:
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
        on_refused: Callable[[fm.Member], None],
        ticker: ticker_lib.Ticker | None = None,
    ):
        self._mesh = mesh
        self._is_candidate = is_candidate
        self._on_refused = on_refused
        self._ticker = ticker or ticker_lib.Ticker()
        self._stamper = hlc.HybridClock(clock_lib.SystemClock())

    async def run(self) -> None:
        """Watches the holder while this instance is a candidate."""
        while True:
            await self._ticker.wait_until(self._is_watcher, POLL_INTERVAL_S)
            holder = self._holder()
            if holder is not None:
                await self._watch(holder)

    async def stop(self) -> None:
        """Does nothing: the stream ends with the component."""

    def _is_watcher(self) -> bool:
        return self._holder() is not None and self._is_candidate()

    def _holder(self) -> fm.Member | None:
        mesh = self._mesh
        if mesh.roster is None or mesh.lease is None:
            return None
        holder = mesh.roster.get(mesh.lease.holder)
        if holder is None or holder.incarnation != mesh.lease.incarnation:
            return None
        return holder

    def _is_current_holder(self, holder: fm.Member) -> bool:
        current = self._holder()
        return current is not None and (current.name, current.incarnation) == (
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
            self._on_refused(holder)
            await asyncio.sleep(WATCH_INTERVAL_S)
            return
        except streams.StreamClosedError:
            await asyncio.sleep(WATCH_INTERVAL_S)
            return
        receiving = asyncio.create_task(_until_closed(stream))
        try:
            while self._is_current_holder(holder) and not receiving.done():
                await asyncio.wait([receiving], timeout=WATCH_INTERVAL_S)
        finally:
            receiving.cancel()
            stream.close()


async def _until_closed(stream: streams.Stream) -> None:
    with contextlib.suppress(streams.StreamClosedError):
        while True:
            await stream.receive()
