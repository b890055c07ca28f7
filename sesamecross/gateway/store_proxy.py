"""Calls to the store by way of another instance.

Why: the store can turn one instance away, or be cut off from it alone, while
the others reach it. If that one gives the orders, it would lose its lease, and
nobody could give orders for seconds. Another instance makes the call for it
instead; the call is the same, and its condition keeps it safe if both arrive.
"""

import asyncio
import dataclasses

from sesamecross.core import clock as clock_lib
from sesamecross.core import codec
from sesamecross.core import fleet_messages as fm
from sesamecross.core import hlc
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import store_client
from sesamecross.gateway import store_messages
from sesamecross.ports import store
from sesamecross.runtime import logs
from sesamecross.transport import streams

ROLE = "gateway"
# The store's own time, and the way to another region and back.
PROXY_S = store_client.CALL_TIMEOUT_S + 0.2
# The direct call alone has this long; then another instance is asked beside.
ALONE_S = 0.3


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class AppendAsk:
    """Append a keyed record for the sender."""

    topic: str
    key: str
    value: bytes
    at: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class NewestAsk:
    """List the newest records of a topic for the sender, one page."""

    topic: str


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class StoreTold:
    """What the store answered.

    Attributes:
      is_done: False where the store gave no good answer.
      is_conflict: The condition did not hold.
      offset: Of the appended record, or the topic's end.
    """

    is_done: bool
    is_conflict: bool
    offset: int
    records: tuple[store_messages.StoreRecord, ...] = ()


async def serve(
    client: store_client.StoreClient,
    own_prefix: str,
    ask: AppendAsk | NewestAsk,
) -> StoreTold:
    """Makes a call for another instance, to the system's own topics only."""
    if not ask.topic.startswith(own_prefix):
        return StoreTold(False, False, -1)
    if isinstance(ask, AppendAsk):
        outcome = await client.append(ask.topic, ask.key, ask.value, ask.at)
    else:
        outcome = await client.newest(ask.topic, "")
    match outcome:
        case store.Appended(offset):
            return StoreTold(True, False, offset)
        case store.Conflict(end):
            return StoreTold(True, True, end)
        case store.NewestPage(records=records, end=end):
            return StoreTold(True, False, end, store_messages.encoded(records))
    return StoreTold(False, False, -1)


class StoreProxy:
    """The store, directly or by way of another instance."""

    __slots__ = ("_client", "_mesh", "_stamper", "_log", "_stream", "_source")

    def __init__(self, client: store_client.StoreClient, mesh: mesh_lib.Mesh):
        self._client = client
        self._mesh = mesh
        self._stamper = hlc.HybridClock(clock_lib.SystemClock())
        self._log = logs.part("store proxy")
        self._stream: streams.Stream | None = None
        self._source = ""

    async def append(
        self, topic: str, key: str, value: bytes, at: int
    ) -> store.AppendOutcome:
        """Appends a keyed record, only if the topic ends at `at`."""
        direct = asyncio.create_task(self._client.append(topic, key, value, at))
        await asyncio.wait([direct], timeout=ALONE_S)
        if direct.done() and isinstance(
            direct.result(), store.Appended | store.Conflict
        ):
            return direct.result()
        told = await self._by_another(AppendAsk(topic, key, value, at))
        outcome = await direct
        if isinstance(outcome, store.Appended):
            return outcome
        if told is not None and told.is_done:
            if not told.is_conflict:
                return store.Appended(told.offset)
            if not isinstance(outcome, store.Conflict):
                return store.Conflict(told.offset)
        return outcome

    async def newest(self, topic: str) -> store.NewestOutcome:
        """Lists the newest records of a topic, one page."""
        outcome = await self._client.newest(topic, "")
        if isinstance(outcome, store.NewestPage):
            return outcome
        told = await self._by_another(NewestAsk(topic))
        if told is None or not told.is_done:
            return outcome
        records = store_messages.decoded(told.records)
        return store.NewestPage(records, False, told.offset)

    async def _by_another(self, ask: AppendAsk | NewestAsk) -> StoreTold | None:
        source = self._choose()
        if source is None:
            return None
        try:
            async with asyncio.timeout(PROXY_S):
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
                await self._stream.send(ask)
                told = await self._stream.receive()
        except (streams.StreamClosedError, TimeoutError) as error:
            self._close()
            self._log.warning(
                "no answer", by=source.name, why=str(error) or "timeout"
            )
            return None
        if not isinstance(told, StoreTold):
            self._close()
            return None
        self._log.info("asked another", by=source.name, done=told.is_done)
        if not told.is_done:
            self._close()
        return told

    def _choose(self) -> fm.Member | None:
        """Returns an instance that has read the store up to now.

        The one that was asked last is kept while it answers; otherwise one of
        another zone is taken first, as partitions mostly cut off whole zones.
        """
        now_s = asyncio.get_running_loop().time()
        alive = self._mesh.roster.alive(now_s)
        if self._stream is not None:
            for member in alive:
                if member.address == self._source:
                    return member
        zone = self._mesh.roster.me.zone
        alive.sort(key=lambda one: (one.zone == zone, -one.upstreams, one.name))
        others = [one for one in alive if one.address != self._source]
        return others[0] if others else None

    def _close(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None
