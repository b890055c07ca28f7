"""Tests of relayed connections: what counts as sent, and as whole."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import socket
import struct

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.core import body_buffer
from sesamecross.core import clock as clock_lib
from sesamecross.core import fleet_messages as fm
from sesamecross.core import hlc
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.gateway import client_connection
from sesamecross.gateway import relay_client as relay_client_lib
from sesamecross.gateway import relay_server
from sesamecross.gateway import state as state_lib
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.transport import streams

TEST_TIMEOUT_S = 10.0
SECRET = "0123456789abcdef"
REQUEST = b"GET / HTTP/1.1\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
FRAMED = HEAD + b"Content-Length: 4\r\n\r\n"

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Receiver:
    """Records one response.

    Attributes:
      ended: Resolves to the body of a whole response, or to None.
    """

    def __init__(self) -> None:
        self.ended = asyncio.get_running_loop().create_future()
        self._body = b""

    def on_head(self, _status: int, _headers: list) -> bool:
        return True

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_end(self) -> None:
        self.ended.set_result(self._body)

    def on_failure(self, _reason: str) -> None:
        self.ended.set_result(None)


class Peer:
    """An instance that relays, at a loopback address.

    Attributes:
      member: How other instances know it.
      relay_server: What answers there.
    """

    def __init__(self, name: str, upstreams: tuple[serving.Upstream, ...]):
        self._name = name
        state = state_lib.State(samples.INSTANCE)
        for entry in upstreams:
            state.directory.update_entry(entry)
        self.relay_server = relay_server.RelayServer(
            state, metrics_lib.Metrics()
        )
        self.directory = state.directory
        self._stamper = hlc.HybridClock(clock_lib.SystemClock())
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.member = fm.Member(self._name, 1, "z1", f"{host}:{port}", -1, -1)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        try:
            stream = await streams.accept(reader, writer, SECRET, self._stamper)
            await self.relay_server.serve(stream, await stream.receive())
        except (streams.StreamClosedError, asyncio.CancelledError):
            writer.close()

    def end_process(self) -> None:
        """Closes all sockets, as the end of the process does."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


class _Roster:
    def __init__(self, peers: tuple[Peer, ...]):
        self.me = fm.Member("front-0", 1, "z1", "127.0.0.1:1", -1, -1)
        self._peers = peers

    def alive(self, _now_s: float) -> list[fm.Member]:
        return [peer.member for peer in self._peers]


class _Mesh:
    secret = SECRET

    def __init__(self, peers: tuple[Peer, ...]):
        self.roster = _Roster(peers)


def client(*peers: Peer) -> relay_client_lib.RelayClient:
    return relay_client_lib.RelayClient(
        _Mesh(peers),
        state_lib.State(samples.INSTANCE),
        random.Random(1),
        metrics_lib.Metrics(),
    )


async def start_upstream(serve: Serve) -> serving.Upstream:
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return serving.Upstream("u1", "s", f"{host}:{port}", "z1", 8, False, 7)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario()

    asyncio.run(bounded())


# -- how an upstream's response ends ------------------------------------------


def answers(*pieces: bytes, resets: bool = False) -> Serve:
    """Returns an upstream that sends pieces, then closes or resets."""

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            # The pieces arrive one by one.
            await asyncio.sleep(0.02)
        if resets:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
        writer.close()

    return serve


@pytest.mark.parametrize(
    ("serve", "body"),
    [
        (answers(FRAMED + b"body"), b"body"),
        (answers(FRAMED, b"bo", b"dy"), b"body"),
        # Without a length, the end of the connection ends the response.
        (answers(HEAD + b"\r\nbo", b"dy"), b"body"),
        (answers(HEAD + b"\r\nbo", b"dy", resets=True), None),
        (answers(FRAMED, b"bo"), None),
        (answers(FRAMED, b"bo", resets=True), None),
        # What follows a whole response is no part of it.
        (answers(FRAMED + b"body????"), b"body"),
        (answers(FRAMED + b"body" + FRAMED + b"next"), b"body"),
        (answers(HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n"), None),
        (answers(), None),
    ],
)
def test_a_relayed_response_is_whole_only_if_the_upstream_ended_it(serve, body):
    """Guards against a cut response that looks complete behind a relay."""

    async def scenario() -> None:
        entry = await start_upstream(serve)
        peer = Peer("front-1", (entry,))
        await peer.start()
        connection = await client(peer).connect(entry, TEST_TIMEOUT_S)
        assert connection.relayed_by == "front-1"
        receiver = Receiver()
        connection.send(REQUEST, receiver)
        assert await receiver.ended == body
        peer.end_process()

    run(scenario)


@pytest.mark.parametrize("sent", [b"", FRAMED + b"bo", HEAD + b"\r\nbody"])
def test_a_response_whose_relay_ends_is_not_whole(sent):
    """Guards against a killed peer that looks like an upstream's end."""

    async def scenario() -> None:
        arrived = asyncio.Event()

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(sent)
            arrived.set()
            await reader.read()
            writer.close()

        entry = await start_upstream(serve)
        peer = Peer("front-1", (entry,))
        await peer.start()
        connection = await client(peer).connect(entry, TEST_TIMEOUT_S)
        receiver = Receiver()
        connection.send(REQUEST, receiver)
        await arrived.wait()
        await asyncio.sleep(0.05)
        peer.end_process()
        assert await receiver.ended is None

    run(scenario)


def test_cancelling_reaches_the_upstream_and_ends_the_relay():
    """Guards against work that goes on behind a peer for a caller that left."""

    async def scenario() -> None:
        arrived = asyncio.Event()
        closed = asyncio.Event()

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            arrived.set()
            await reader.read()
            closed.set()
            writer.close()

        entry = await start_upstream(serve)
        peer = Peer("front-1", (entry,))
        await peer.start()
        connection = await client(peer).connect(entry, TEST_TIMEOUT_S)
        connection.send(REQUEST, Receiver())
        await arrived.wait()
        assert peer.relay_server.open_connections == 1
        connection.abort()
        await closed.wait()
        while peer.relay_server.open_connections:
            await asyncio.sleep(0.01)
        peer.end_process()

    run(scenario)


# -- peers that can't help ---------------------------------------------------


async def _accept_and_count(reader, writer) -> None:
    raise AssertionError("an upstream was reached")


def stopping(peer: Peer) -> None:
    peer.relay_server.is_stopping = True


def busy(peer: Peer) -> None:
    peer.relay_server._open = set(range(relay_server.MAX_RELAYED))


def knows_no_upstream(peer: Peer) -> None:
    peer.directory._known.clear()


def knows_another_incarnation(peer: Peer) -> None:
    peer.directory.get("u1").entry = serving.Upstream(
        "u1", "s", "127.0.0.1:1", "z1", 8, False, 8
    )


def knows_that_it_leaves(peer: Peer) -> None:
    peer.directory.get("u1").is_leaving = True


def finds_the_port_closed(peer: Peer) -> None:
    peer.directory.get("u1").entry = serving.Upstream(
        "u1", "s", "127.0.0.1:1", "z1", 8, False, 7
    )


def is_cut_off_too(peer: Peer) -> None:
    reachability = peer.directory.get("u1").reachability
    reachability.record_timeout(asyncio.get_running_loop().time())


def is_gone(peer: Peer) -> None:
    peer.end_process()


CANNOT_HELP = [
    stopping,
    busy,
    knows_no_upstream,
    knows_another_incarnation,
    knows_that_it_leaves,
    finds_the_port_closed,
    is_cut_off_too,
    is_gone,
]


@pytest.mark.parametrize("state", CANNOT_HELP)
def test_a_peer_that_cannot_help_says_so_and_sends_nothing(state):
    """Guards against a request counted as sent, or relayed twice."""

    async def scenario() -> None:
        entry = await start_upstream(_accept_and_count)
        peer = Peer("front-1", (entry,))
        await peer.start()
        state(peer)
        with pytest.raises(ConnectionError):
            await client(peer).connect(entry, TEST_TIMEOUT_S)
        assert peer.relay_server.open_connections in (
            0,
            relay_server.MAX_RELAYED,
        )
        peer.end_process()

    run(scenario)


@pytest.mark.parametrize("state", CANNOT_HELP)
def test_the_next_peer_is_asked(state):
    async def scenario() -> None:
        entry = await start_upstream(answers(FRAMED + b"body"))
        peers = [Peer("front-1", (entry,)), Peer("front-2", (entry,))]
        for peer in peers:
            await peer.start()
        state(peers[0])
        relay_client = client(*peers)
        for _ in range(4):
            connection = await relay_client.connect(entry, TEST_TIMEOUT_S)
            assert connection.relayed_by == "front-2"
            connection.abort()
        for peer in peers:
            peer.end_process()

    run(scenario)


def test_a_frozen_peer_is_not_waited_for(monkeypatch):
    """Guards against requests that hang at a peer that stands still."""
    monkeypatch.setattr(relay_client_lib, "OPEN_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        entry = await start_upstream(answers(FRAMED + b"body"))
        frozen = Peer("front-1", (entry,))
        # Its kernel accepts connections; nobody reads them.
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            host, port = listening.getsockname()
            frozen.member = fm.Member(
                "front-1", 1, "z1", f"{host}:{port}", -1, -1
            )
            peer = Peer("front-2", (entry,))
            await peer.start()
            relay_client = client(frozen, peer)
            for _ in range(4):
                connection = await relay_client.connect(entry, TEST_TIMEOUT_S)
                assert connection.relayed_by == "front-2"
                connection.abort()
            peer.end_process()

    run(scenario)


def test_without_peers_nothing_is_sent():
    async def scenario() -> None:
        entry = await start_upstream(_accept_and_count)
        with pytest.raises(ConnectionError):
            await client().connect(entry, TEST_TIMEOUT_S)

    run(scenario)


# -- marks of lengths and of the end ---------------------------------------


class _Connection:
    def __init__(self) -> None:
        self.received = b""
        self.has_ended = False

    def connection_made(self, _transport) -> None:
        pass

    def data_received(self, data: bytes) -> None:
        self.received += data

    def eof_received(self) -> bool:
        self.has_ended = True
        return False


class _Transport:
    def close(self) -> None:
        pass


class _Stream:
    transport = _Transport()

    def set_protocol(self, _protocol) -> None:
        pass


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    pieces=st.lists(st.binary(min_size=1, max_size=40), max_size=6),
    cuts=st.lists(st.integers(0, 300), max_size=8),
    lost=st.integers(0, 40),
)
def test_bytes_and_end_survive_any_split(pieces, cuts, lost):
    """Guards against marks taken for content, and ends that were not sent."""
    marked = b"".join(len(one).to_bytes(4, "big") + one for one in pieces)
    marked += bytes(4)
    sent = marked[: len(marked) - lost]
    connection = _Connection()
    side = relay_client_lib._RelayedSide(connection)
    side.start(_Stream())
    bounds = sorted({0, len(sent), *(cut for cut in cuts if cut < len(sent))})
    for begin, end in zip(bounds, bounds[1:], strict=False):
        side.data_received(sent[begin:end])
    content = b"".join(pieces)
    assert content.startswith(connection.received)
    assert connection.has_ended is (lost == 0)
    if connection.has_ended:
        assert connection.received == content


def test_a_large_body_by_way_of_a_peer_is_held_by_neither():
    """Guards against bodies that fill the memory of an instance that relays."""
    # More than the kernel holds on both ways.
    body = body_buffer.BodyBuffer(32_000_000)
    body.append(bytes(range(250)) * 128_000)
    may_read = asyncio.Event()
    received = []

    async def serve(reader, writer) -> None:
        await may_read.wait()
        await reader.readuntil(b"\r\n\r\n")
        received.append(await reader.readexactly(len(body)))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async def scenario() -> None:
        entry = await start_upstream(serve)
        peer = Peer("front-1", (entry,))
        await peer.start()
        connection = await client(peer).connect(entry, TEST_TIMEOUT_S)
        receiver = Receiver()
        head = client_connection.encode_request(b"POST", b"/", [], body)
        connection.send(head, receiver, body=body)
        await asyncio.sleep(0.5)
        assert not connection.is_request_sent
        bound = relay_server.BUFFER_HIGH_BYTES + relay_server.READ_BYTES
        for transports in peer.relay_server._open:
            for transport in transports:
                assert transport.get_write_buffer_size() <= bound
        may_read.set()
        assert await receiver.ended == b"ok"
        assert received == [body.read(0, len(body))]
        peer.end_process()

    run(scenario)


def test_all_relayed_connections_together_are_bounded():
    """Guards against relays that fill the memory of an instance."""
    a_side = relay_server.BUFFER_HIGH_BYTES + 2 * relay_server.READ_BYTES
    most = 2 * relay_server.MAX_RELAYED * a_side
    assert most <= 0.2 * serving.DEFAULT_MEMORY_BYTES
