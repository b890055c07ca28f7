"""Relays connections to upstreams by way of another instance.

An instance can lose its links to upstreams while its peers keep theirs, and
while callers and peers still reach it. It then asks a peer to open a connection
to the upstream and to pass all bytes on. To the forwarder such a connection is
one like any other: it carries one request, and closing it cancels the request
at the upstream.

No byte of a request is sent before the peer has confirmed that the upstream
accepted the connection. So until then the request has not run, and from then on
it may have. A peer that has no connection of its own says so; it never asks a
third instance.

The peer marks the lengths of what it passes on, and the end: a connection that
ends without that mark was cut, as when the peer's process is killed, and what
arrived is no complete response.
"""

import asyncio
import dataclasses
import enum
import random
import socket

from sesamecross.core import clock as clock_lib
from sesamecross.core import codec
from sesamecross.core import fleet_messages as fm
from sesamecross.core import hlc
from sesamecross.core import serving
from sesamecross.gateway import client_connection
from sesamecross.gateway import connection_pool
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import relay_choice
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.transport import keepalive
from sesamecross.transport import streams

ROLE = "gateway"
# Until the peer confirms the connection: three round trips between regions, and
# its own connection to the upstream.
OPEN_TIMEOUT_S = 0.8
# How many peers are asked for one connection.
MAX_PEERS = 3
# A peer that could not help is not asked again for this long.
PEER_PAUSE_S = 1.0
# Connections that one instance relays at the same time. Each costs two
# descriptors and some KB of buffers.
MAX_RELAYED = 256
# Bytes buffered for a side that reads slowly, above which the other side is not
# read.
BUFFER_HIGH_BYTES = 64 * 1024
_LENGTH_BYTES = 4


class RelayAnswer(enum.StrEnum):
    """Answer to a request to relay a connection.

    Attributes:
      OPEN: Connected; bytes may be sent.
      UNKNOWN: The upstream's incarnation is not known there, or is known to
        leave.
      UNREACHABLE: The upstream can't be reached from there either.
      BUSY: Too many connections are relayed there.
      STOPPING: The instance is about to stop.
    """

    OPEN = "open"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"
    BUSY = "busy"
    STOPPING = "stopping"


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class RelayOpen:
    """Asks the receiver to connect the sender to an upstream.

    Attributes:
      upstream: The upstream's instance id. The receiver uses the address that
        it knows itself, so it never connects to anything else.
      born_ms: Start time of its incarnation, in wall-clock ms.
    """

    upstream: str
    born_ms: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class RelayOpened:
    """The answer; after `RelayAnswer.OPEN` the stream carries bytes only."""

    answer: RelayAnswer


# -- the instance that relays ------------------------------------------------


class _UpstreamSide(asyncio.Protocol):
    """The relaying instance's connection to the upstream."""

    def __init__(self, known: directory_lib.KnownUpstream):
        self._known = known
        self.transport: asyncio.Transport | None = None
        self.origin: asyncio.Transport | None = None
        self._ended = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=BUFFER_HIGH_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            keepalive.enable(sock)

    def data_received(self, data: bytes) -> None:
        if self.origin is None:
            # Nothing was asked yet.
            self.transport.abort()
            return
        now_s = asyncio.get_running_loop().time()
        self._known.reachability.record_contact(now_s)
        self.origin.write(len(data).to_bytes(_LENGTH_BYTES, "big") + data)

    def eof_received(self) -> bool:
        self._end()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        if error is None:
            self._end()
        elif self.origin is not None:
            # Cut off: no mark of the end follows.
            self.origin.abort()

    def _end(self) -> None:
        if self.origin is not None and not self._ended:
            self._ended = True
            self.origin.write(bytes(_LENGTH_BYTES))
            self.origin.close()

    def pause_writing(self) -> None:
        self.origin.pause_reading()

    def resume_writing(self) -> None:
        if not self.origin.is_closing():
            self.origin.resume_reading()


class _OriginSide(asyncio.Protocol):
    """The relaying instance's connection from the instance that asked."""

    def __init__(
        self, upstream: asyncio.Transport, closed: asyncio.Future[None]
    ):
        self._upstream = upstream
        self._closed = closed

    def data_received(self, data: bytes) -> None:
        self._upstream.write(data)

    def eof_received(self) -> bool:
        self._upstream.abort()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._upstream.abort()
        if not self._closed.done():
            self._closed.set_result(None)

    def pause_writing(self) -> None:
        self._upstream.pause_reading()

    def resume_writing(self) -> None:
        if not self._upstream.is_closing():
            self._upstream.resume_reading()


class RelayServer:
    """Connects other instances to upstreams.

    Attributes:
      is_stopping: While set, no new connection is relayed.
    """

    __slots__ = ("is_stopping", "_state", "_metrics", "_log", "_open")

    def __init__(self, state: state_lib.State, metrics: metrics_lib.Metrics):
        self.is_stopping = False
        self._state = state
        self._metrics = metrics
        self._log = logs.get_logger("relay")
        # Of each relayed connection, those to the instance that asked and to
        # the upstream.
        self._open: set[tuple[asyncio.Transport, asyncio.Transport]] = set()

    @property
    def open_connections(self) -> int:
        """Number of connections that are relayed now; each has a request."""
        return len(self._open)

    def sockets(self) -> list[socket.socket]:
        """Returns the sockets at both ends of all relayed connections."""
        return [
            transport.get_extra_info("socket")
            for transports in self._open
            for transport in transports
        ]

    async def serve(self, stream: streams.Stream, request: RelayOpen) -> None:
        """Answers a request; returns when the connection has ended.

        Raises:
          streams.StreamClosedError: The instance that asked is gone.
        """
        answer, upstream_side = await self._connect(request)
        self._metrics.count(
            "sesamecross_relay_requests_total",
            "Requests of other instances to relay a connection.",
            {"answer": answer.value},
        )
        if upstream_side is None:
            self._log.info(
                "not relayed",
                origin=stream.hello.name,
                upstream=request.upstream,
                answer=answer.value,
            )
            await stream.send(RelayOpened(answer))
            return
        transports = (stream.transport, upstream_side.transport)
        self._open.add(transports)
        try:
            await self._join(stream, upstream_side)
        finally:
            self._open.discard(transports)

    async def _connect(
        self, request: RelayOpen
    ) -> tuple[RelayAnswer, _UpstreamSide | None]:
        if self.is_stopping:
            return RelayAnswer.STOPPING, None
        if len(self._open) >= MAX_RELAYED:
            return RelayAnswer.BUSY, None
        known = self._state.directory.get(request.upstream)
        if (
            known is None
            or known.entry.born_ms != request.born_ms
            or known.is_retired
        ):
            return RelayAnswer.UNKNOWN, None
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        if (
            known.reachability.is_path_failing(now_s)
            or self._state.directory.is_isolated(now_s)
        ) and not known.reachability.take_probe(now_s):
            return RelayAnswer.UNREACHABLE, None
        try:
            async with asyncio.timeout(connection_pool.CONNECT_TIMEOUT_S):
                upstream_side = await self._open_upstream(known)
        except OSError as error:
            known.reachability.record_connect_error(error, now_s, loop.time())
            return RelayAnswer.UNREACHABLE, None
        if upstream_side.transport.is_closing():
            return RelayAnswer.UNREACHABLE, None
        known.reachability.record_connected(loop.time())
        return RelayAnswer.OPEN, upstream_side

    async def _open_upstream(
        self, known: directory_lib.KnownUpstream
    ) -> _UpstreamSide:
        host, _, port = known.entry.address.rpartition(":")
        _, upstream_side = await asyncio.get_running_loop().create_connection(
            lambda: _UpstreamSide(known), host, int(port)
        )
        return upstream_side

    async def _join(
        self, stream: streams.Stream, upstream_side: _UpstreamSide
    ) -> None:
        closed = asyncio.get_running_loop().create_future()
        # Before the answer: the request may arrive as soon as it is sent.
        upstream_side.origin = stream.transport
        stream.transport.set_write_buffer_limits(high=BUFFER_HIGH_BYTES)
        stream.set_protocol(_OriginSide(upstream_side.transport, closed))
        try:
            await stream.send(RelayOpened(RelayAnswer.OPEN))
            await closed
        finally:
            upstream_side.transport.abort()
            stream.transport.abort()


# -- the instance that asks --------------------------------------------------


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
            missing = _LENGTH_BYTES - len(self._header)
            self._header += data[:missing]
            data = data[missing:]
            if len(self._header) == _LENGTH_BYTES:
                self._left = int.from_bytes(self._header, "big")
                self._header = b""
                if not self._left:
                    self._has_ended = True
                    self._connection.eof_received()
                    self._stream.transport.close()

    def eof_received(self) -> bool:
        return False

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
        loop = asyncio.get_running_loop()
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
            if outcome == RelayAnswer.OPEN:
                return connection
            if outcome != RelayAnswer.UNREACHABLE:
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
    ) -> tuple[RelayAnswer, client_connection.ClientConnection | None]:
        stream = await streams.connect(
            peer.address,
            self._mesh.secret,
            ROLE,
            self._mesh.roster.me.name,
            self._stamper,
        )
        try:
            await stream.send(RelayOpen(entry.instance_id, entry.born_ms))
            opened = await stream.receive()
            if not isinstance(opened, RelayOpened):
                raise streams.StreamClosedError("not an answer")
        except BaseException:
            stream.close()
            raise
        if opened.answer is not RelayAnswer.OPEN:
            stream.close()
            return opened.answer, None
        connection = client_connection.ClientConnection(
            asyncio.get_running_loop(), relayed_by=peer.name
        )
        _RelayedSide(connection).start(stream)
        return opened.answer, connection
