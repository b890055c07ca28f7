"""Calls the store by way of another instance.

The store may refuse a single instance, or be cut off from it alone, while the
others reach it. If that instance gives the orders, it would lose its lease, and
nobody could give orders for seconds. So another instance makes the same call
for it; the call's condition makes it safe if both arrive.
"""

import asyncio

import msgspec

from sesamecross.core import clock as clock_lib
from sesamecross.core import codec
from sesamecross.core import fleet_messages as fm
from sesamecross.core import hlc
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import store_client
from sesamecross.gateway import store_messages
from sesamecross.ports import store
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.transport import streams

ROLE = "gateway"
# The timeout of the peer's call, and a round trip to another region.
PROXY_TIMEOUT_S = store_client.CALL_TIMEOUT_S + 0.2
# How long the direct call runs alone before a peer is asked as well.
HEDGE_DELAY_S = 0.3


@codec.register
class AppendAsk(msgspec.Struct, frozen=True):
    """Asks the receiver to append a keyed record for the sender."""

    topic: str
    key: str
    value: bytes
    at: int


@codec.register
class NewestAsk(msgspec.Struct, frozen=True):
    """Asks the receiver to list a topic's newest records, one page."""

    topic: str


@codec.register
class StoreTold(msgspec.Struct, frozen=True):
    """The store's answer.

    Attributes:
      is_done: False if the store gave no usable answer.
      is_conflict: The condition did not hold.
      offset: The appended record's offset, or the end of the topic.
    """

    is_done: bool
    is_conflict: bool
    offset: int
    records: tuple[store_messages.StoreRecord, ...] = ()


async def execute(
    client: store_client.StoreClient,
    own_prefix: str,
    request: AppendAsk | NewestAsk,
) -> StoreTold:
    """Makes a call for another instance, to the system's own topics only."""
    if not request.topic.startswith(own_prefix):
        return StoreTold(False, False, -1)
    if isinstance(request, AppendAsk):
        outcome = await client.append(
            request.topic, request.key, request.value, request.at
        )
    else:
        outcome = await client.newest(request.topic, "")
    match outcome:
        case store.Appended(offset):
            return StoreTold(True, False, offset)
        case store.Conflict(end):
            return StoreTold(True, True, end)
        case store.NewestPage(records=records, end=end):
            return StoreTold(True, False, end, store_messages.to_wire(records))
    return StoreTold(False, False, -1)


class StoreProxy:
    """The store, called directly or by way of another instance."""

    __slots__ = (
        "_client",
        "_mesh",
        "_stamper",
        "_log",
        "_stream",
        "_peer_address",
    )

    def __init__(self, client: store_client.StoreClient, mesh: mesh_lib.Mesh):
        self._client = client
        self._mesh = mesh
        self._stamper = hlc.HybridClock(clock_lib.SystemClock())
        self._log = logs.get_logger("store proxy")
        self._stream: streams.Stream | None = None
        self._peer_address = ""

    async def append(
        self, topic: str, key: str, value: bytes, at: int
    ) -> store.AppendOutcome:
        """Appends a keyed record, only if the topic ends at `at`."""
        direct = asyncio.create_task(self._client.append(topic, key, value, at))
        await asyncio.wait([direct], timeout=HEDGE_DELAY_S)
        if direct.done() and isinstance(
            direct.result(), store.Appended | store.Conflict
        ):
            return direct.result()
        answer = await self._ask_peer(AppendAsk(topic, key, value, at))
        outcome = await direct
        if isinstance(outcome, store.Appended):
            return outcome
        if answer is not None and answer.is_done:
            if not answer.is_conflict:
                return store.Appended(answer.offset)
            if not isinstance(outcome, store.Conflict):
                return store.Conflict(answer.offset)
        return outcome

    async def newest(self, topic: str) -> store.NewestOutcome:
        """Lists the newest records of a topic, one page."""
        outcome = await self._client.newest(topic, "")
        if isinstance(outcome, store.NewestPage):
            return outcome
        answer = await self._ask_peer(NewestAsk(topic))
        if answer is None or not answer.is_done:
            return outcome
        records = store_messages.from_wire(answer.records)
        return store.NewestPage(records, False, answer.offset)

    async def _ask_peer(
        self, request: AppendAsk | NewestAsk
    ) -> StoreTold | None:
        peer = self._choose_peer()
        if peer is None:
            return None
        try:
            async with asyncio.timeout(PROXY_TIMEOUT_S):
                if self._stream is None or self._peer_address != peer.address:
                    self._close_stream()
                    self._stream = await streams.connect(
                        peer.address,
                        self._mesh.secret,
                        ROLE,
                        self._mesh.roster.me.name,
                        self._stamper,
                    )
                    self._peer_address = peer.address
                await self._stream.send(request)
                answer = await self._stream.receive()
        except (streams.StreamClosedError, TimeoutError) as error:
            self._close_stream()
            self._log.warning(
                "no answer", by=peer.name, why=str(error) or "timeout"
            )
            return None
        if not isinstance(answer, StoreTold):
            self._close_stream()
            return None
        self._log.info(
            "called through a peer", by=peer.name, done=answer.is_done
        )
        if not answer.is_done:
            self._close_stream()
        return answer

    def _choose_peer(self) -> fm.Member | None:
        """Returns an instance whose records of the store are recent.

        The instance asked last is kept while it is alive. Otherwise instances
        of other zones are preferred, as partitions usually cut off whole zones.
        """
        now_s = event_loop.now_s()
        alive = self._mesh.roster.alive(now_s)
        if self._stream is not None:
            for member in alive:
                if member.address == self._peer_address:
                    return member
        zone = self._mesh.roster.me.zone
        alive.sort(
            key=lambda member: (
                member.zone == zone,
                -member.upstreams,
                member.name,
            )
        )
        others = [
            member for member in alive if member.address != self._peer_address
        ]
        return others[0] if others else None

    def _close_stream(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None
