"""Tests of streams: authentication, and rejection of invalid bytes."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.core import clock
from sesamecross.core import connection_limiter
from sesamecross.core import messages
from sesamecross.ops import timeline
from sesamecross.transport import frames
from sesamecross.transport import streams

KEY = "0123456789abcdef"
MESSAGE = messages.Done("r", True)


def timestamp_source():
    return timeline.Recorder("p", "z", clock.ManualClock(1000))


async def serve(received, key=KEY, handshakes=None):
    async def on_connect(reader, writer):
        try:
            stream = await streams.accept(
                reader, writer, key, timestamp_source(), handshakes
            )
            while True:
                received.append(await stream.receive())
                await stream.send(received[-1])
        except streams.StreamClosedError as error:
            received.append(str(error))
        finally:
            writer.close()

    server = await asyncio.start_server(on_connect, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


def test_messages_are_exchanged_in_both_directions():
    async def scenario():
        received = []
        server, address = await serve(received)
        stream = await streams.connect(
            address, KEY, "peer", "me", timestamp_source()
        )
        for _ in range(3):
            await stream.send(MESSAGE)
            assert await stream.receive() == MESSAGE
        stream.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(("ours", "theirs"), [("x" * 16, KEY), (KEY, "y" * 16)])
def test_a_wrong_key_is_rejected(ours, theirs):
    async def scenario():
        received = []
        server, address = await serve(received, theirs)
        with pytest.raises(streams.StreamClosedError):
            await streams.connect(
                address, ours, "peer", "me", timestamp_source()
            )
        server.close()
        assert MESSAGE not in received

    asyncio.run(scenario())


def test_silent_clients_make_room_for_a_peer():
    """Guards against connections without proof that take all descriptors."""

    async def scenario():
        handshakes = connection_limiter.ConnectionLimiter(2)
        server, address = await serve([], handshakes=handshakes)
        silent = [
            await asyncio.open_connection(*address.rsplit(":", 1))
            for _ in range(5)
        ]
        stream = await streams.connect(
            address, KEY, "peer", "me", timestamp_source()
        )
        await stream.send(MESSAGE)
        assert await stream.receive() == MESSAGE
        assert handshakes.count <= 1
        assert handshakes.evicted == 4
        stream.close()
        for _, writer in silent:
            writer.close()
        server.close()

    asyncio.run(scenario())


HOSTILE = [
    b"",
    b"\xff" * 40,
    b"GET / HTTP/1.1\r\n\r\n",
    frames.handshake_frame(b"\x93\x01\x02\x03"),
    frames.handshake_frame(b"x" * frames.MAX_HANDSHAKE_BYTES),
]


@pytest.mark.parametrize("blob", HOSTILE)
def test_hostile_bytes_end_only_their_connection(blob):
    async def scenario():
        received = []
        server, address = await serve(received)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(blob)
        writer.write_eof()
        assert await reader.read(1000) == b""
        writer.close()
        stream = await streams.connect(
            address, KEY, "peer", "me", timestamp_source()
        )
        await stream.send(MESSAGE)
        assert await stream.receive() == MESSAGE
        stream.close()
        server.close()

    asyncio.run(scenario())


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(min_size=1, max_size=60), st.integers(0, 200), st.data())
def test_a_changed_frame_is_rejected(payload, position, data):
    frame = bytearray(frames.FrameSigner(b"k").sign(payload))
    position %= len(frame)
    change = data.draw(st.integers(1, 255))
    frame[position] ^= change
    header = bytes(frame[: frames.LENGTH_BYTES])
    mac = bytes(frame[frames.LENGTH_BYTES :][: frames.MAC_BYTES])
    body = bytes(frame[frames.LENGTH_BYTES + frames.MAC_BYTES :])
    with pytest.raises(frames.FrameError):
        if frames.payload_length(header, 100) != len(body):
            raise frames.FrameError("length")
        frames.FrameVerifier(b"k").verify(mac, body)


def test_a_replayed_frame_is_rejected():
    signer = frames.FrameSigner(b"k")
    verifier = frames.FrameVerifier(b"k")
    mac = signer.mac(b"once")
    assert verifier.verify(mac, b"once") == b"once"
    with pytest.raises(frames.FrameError):
        verifier.verify(mac, b"once")
