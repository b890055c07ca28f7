"""Relays connections of other instances to upstreams; see `relay_messages`."""

import asyncio
import socket

from sesamecross.gateway import connection_pool
from sesamecross.gateway import relay_messages
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.transport import keepalive
from sesamecross.transport import streams

# Connections that one instance relays at the same time. Each costs two
# descriptors and some KB of buffers.
MAX_RELAYED = 256
# Bytes buffered for a side that reads slowly, above which the other side is not
# read, and what is read at a time. Together they bound the memory of a side.
BUFFER_HIGH_BYTES = 16 * 1024
READ_BYTES = 32 * 1024


class _Side(asyncio.BufferedProtocol):
    """One side of a relayed connection; reads a bounded number of bytes."""

    def __init__(self) -> None:
        self._read_buffer = bytearray(READ_BYTES)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        # A copy, as the other side's transport may keep what it can't send.
        self._on_data(bytes(memoryview(self._read_buffer)[:nbytes]))

    def _on_data(self, data: bytes) -> None:
        raise NotImplementedError


class _UpstreamSide(_Side):
    """The relaying instance's connection to the upstream."""

    def __init__(self, known: directory_lib.KnownUpstream):
        super().__init__()
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

    def _on_data(self, data: bytes) -> None:
        if self.origin is None:
            # Nothing was asked yet.
            self.transport.abort()
            return
        now_s = event_loop.now_s()
        self._known.reachability.record_contact(now_s)
        self.origin.write(
            len(data).to_bytes(relay_messages.LENGTH_BYTES, "big") + data
        )

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
            self.origin.write(bytes(relay_messages.LENGTH_BYTES))
            self.origin.close()

    def pause_writing(self) -> None:
        self.origin.pause_reading()

    def resume_writing(self) -> None:
        if not self.origin.is_closing():
            self.origin.resume_reading()


class _OriginSide(_Side):
    """The relaying instance's connection from the instance that asked."""

    def __init__(
        self, upstream: asyncio.Transport, closed: asyncio.Future[None]
    ):
        super().__init__()
        self._upstream = upstream
        self._closed = closed

    def _on_data(self, data: bytes) -> None:
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

    async def serve(
        self, stream: streams.Stream, request: relay_messages.RelayOpen
    ) -> None:
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
            await stream.send(relay_messages.RelayOpened(answer))
            return
        transports = (stream.transport, upstream_side.transport)
        self._open.add(transports)
        try:
            await self._join(stream, upstream_side)
        finally:
            self._open.discard(transports)

    async def _connect(
        self, request: relay_messages.RelayOpen
    ) -> tuple[relay_messages.RelayAnswer, _UpstreamSide | None]:
        if self.is_stopping:
            return relay_messages.RelayAnswer.STOPPING, None
        if len(self._open) >= MAX_RELAYED:
            return relay_messages.RelayAnswer.BUSY, None
        known = self._state.directory.get(request.upstream)
        if (
            known is None
            or known.entry.born_ms != request.born_ms
            or known.is_retired
        ):
            return relay_messages.RelayAnswer.UNKNOWN, None
        loop = event_loop.running()
        now_s = loop.time()
        if known.wants_backoff(now_s):
            # It wants none from this instance, whoever sends them.
            return relay_messages.RelayAnswer.UNREACHABLE, None
        if (
            known.reachability.is_path_failing(now_s)
            or self._state.directory.is_isolated(now_s)
        ) and not known.reachability.take_probe(now_s):
            return relay_messages.RelayAnswer.UNREACHABLE, None
        try:
            async with asyncio.timeout(connection_pool.CONNECT_TIMEOUT_S):
                upstream_side = await self._open_upstream(known)
        except OSError as error:
            known.reachability.record_connect_error(error, now_s, loop.time())
            return relay_messages.RelayAnswer.UNREACHABLE, None
        if upstream_side.transport.is_closing():
            return relay_messages.RelayAnswer.UNREACHABLE, None
        known.reachability.record_connected(loop.time())
        return relay_messages.RelayAnswer.OPEN, upstream_side

    async def _open_upstream(
        self, known: directory_lib.KnownUpstream
    ) -> _UpstreamSide:
        host, _, port = known.entry.address.rpartition(":")
        _, upstream_side = await event_loop.running().create_connection(
            lambda: _UpstreamSide(known), host, int(port)
        )
        return upstream_side

    async def _join(
        self, stream: streams.Stream, upstream_side: _UpstreamSide
    ) -> None:
        closed = event_loop.running().create_future()
        # Before the answer: the request may arrive as soon as it is sent.
        upstream_side.origin = stream.transport
        stream.transport.set_write_buffer_limits(high=BUFFER_HIGH_BYTES)
        stream.set_protocol(_OriginSide(upstream_side.transport, closed))
        try:
            await stream.send(
                relay_messages.RelayOpened(relay_messages.RelayAnswer.OPEN)
            )
            await closed
        finally:
            upstream_side.transport.abort()
            stream.transport.abort()
