"""Asks other instances to relay connections; see `relay_messages`."""

import asyncio
import random

from sesamecross.core import clock as clock_lib
from sesamecross.core import fleet_messages as fm
from sesamecross.core import hlc
from sesamecross.core import serving
from sesamecross.gateway import client_connection
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import relay_messages
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import relay_choice
from sesamecross.runtime import event_loop
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.transport import streams

ROLE = "gateway"
# Until the peer confirms the connection: three round trips between regions, and
# its own connection to the upstream.
OPEN_TIMEOUT_S = 0.8
# How many peers are asked for one connection.
MAX_PEERS = 3
# A peer that could not help is not asked again for this long.
PEER_PAUSE_S = 1.0


class _RelayedSide(asyncio.Protocol):
    """Passes what a peer relays on to a connection, and marks its true end."""

    def __init__(self, connection: client_connection.ClientConnection):
        self._connection = connection
        # Kept: a stream writer that is no longer referenced closes its
        # connection.
        self._stream: streams.Stream | None = None
        self._header = b""
        self._left = 0
        self._has_ended = False

    def start(self, stream: streams.Stream) -> None:
        # The peer sends nothing before it has a request.
        self._stream = stream
        stream.set_protocol(self)
        self._connection.connection_made(stream.transport)

    def data_received(self, data: bytes) -> None:
        while data and not self._has_ended:
            if self._left:
                self._connection.data_received(data[: self._left])
                passed = min(self._left, len(data))
                self._left -= passed
                data = data[passed:]
                continue
            missing = relay_messages.LENGTH_BYTES - len(self._header)
            self._header += data[:missing]
            data = data[missing:]
            if len(self._header) == relay_messages.LENGTH_BYTES:
                self._left = int.from_bytes(self._header, "big")
                self._header = b""
                if not self._left:
                    self._has_ended = True
                    self._connection.eof_received()
                    self._stream.transport.close()

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        self._connection.resume_writing()

    def connection_lost(self, error: Exception | None) -> None:
        self._connection.connection_lost(error)


class RelayClient:
    """Asks other instances to connect this one to upstreams."""

    __slots__ = ("_mesh", "_state", "_rng", "_metrics", "_stamper", "_paused")

    def __init__(
        self,
        mesh: mesh_lib.Mesh,
        state: state_lib.State,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ):
        self._mesh = mesh
        self._state = state
        self._rng = rng
        self._metrics = metrics
        self._stamper = hlc.HybridClock(clock_lib.SystemClock())
        # Until when peers are not asked again, by name.
        self._paused: dict[str, float] = {}

    async def connect(
        self, entry: serving.Upstream, timeout_s: float
    ) -> client_connection.ClientConnection:
        """Opens a connection to an upstream by way of a peer.

        Raises:
          OSError: No peer could open one; nothing was sent.
        """
        loop = event_loop.running()
        ends_s = loop.time() + timeout_s
        reason = "no peer to relay by"
        for peer in self._peers(entry, loop.time()):
            left_s = min(OPEN_TIMEOUT_S, ends_s - loop.time())
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    answer, connection = await self._open(peer, entry)
            except (streams.StreamClosedError, TimeoutError) as error:
                outcome = "no answer"
                reason = f"{peer.name}: {str(error) or 'timeout'}"
            else:
                outcome = answer.value
                reason = f"{peer.name}: {outcome}"
            self._metrics.count(
                "sesamecross_relay_asks_total",
                "Connections that peers were asked to relay, by outcome.",
                {"outcome": outcome},
            )
            if outcome == relay_messages.RelayAnswer.OPEN:
                return connection
            if outcome != relay_messages.RelayAnswer.UNREACHABLE:
                self._paused[peer.name] = loop.time() + PEER_PAUSE_S
        raise ConnectionError(reason)

    def _peers(self, entry: serving.Upstream, now_s: float) -> list[fm.Member]:
        roster = self._mesh.roster
        if roster is None:
            return []
        self._paused = {
            name: until_s
            for name, until_s in self._paused.items()
            if now_s < until_s
        }
        peers = [
            peer
            for peer in roster.alive(now_s)
            if peer.name not in self._paused
        ]
        return relay_choice.ranked(
            peers, entry.zone, self._state.location, self._rng
        )[:MAX_PEERS]

    async def _open(
        self, peer: fm.Member, entry: serving.Upstream
    ) -> tuple[
        relay_messages.RelayAnswer, client_connection.ClientConnection | None
    ]:
        stream = await streams.connect(
            peer.address,
            self._mesh.secret,
            ROLE,
            self._mesh.roster.me.name,
            self._stamper,
        )
        try:
            await stream.send(
                relay_messages.RelayOpen(entry.instance_id, entry.born_ms)
            )
            opened = await stream.receive()
            if not isinstance(opened, relay_messages.RelayOpened):
                raise streams.StreamClosedError("not an answer")
        except BaseException:
            stream.close()
            raise
        if opened.answer is not relay_messages.RelayAnswer.OPEN:
            stream.close()
            return opened.answer, None
        connection = client_connection.ClientConnection(
            event_loop.running(), relayed_by=peer.name
        )
        _RelayedSide(connection).start(stream)
        return opened.answer, connection
