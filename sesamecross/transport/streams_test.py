"""Tests of the streams: who knows the key gets in, broken bytes do not."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.core import clock
from sesamecross.core import messages
from sesamecross.ops import timeline
from sesamecross.transport import frames
from sesamecross.transport import streams

KEY = "0123456789abcdef"
MESSAGE = messages.Done("r", True)


def stamper():
    return timeline.Recorder("p", "z", clock.ManualClock(1000))


async def serve(received, key=KEY):
    async def on_connect(reader, writer):
        try:
            stream = await streams.accept(reader, writer, key, stamper())
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


def test_messages_go_both_ways():
    async def story():
        received = []
        server, address = await serve(received)
        stream = await streams.connect(address, KEY, "peer", "me", stamper())
        for _ in range(3):
            await stream.send(MESSAGE)
            assert await stream.receive() == MESSAGE
        stream.close()
        server.close()

    asyncio.run(story())


@pytest.mark.parametrize(("ours", "theirs"), [("x" * 16, KEY), (KEY, "y" * 16)])
def test_a_wrong_key_gets_nowhere(ours, theirs):
    async def story():
        received = []
        server, address = await serve(received, theirs)
        with pytest.raises(streams.StreamClosedError):
            await streams.connect(address, ours, "peer", "me", stamper())
        server.close()
        assert MESSAGE not in received

    asyncio.run(story())


HOSTILE = [
    b"",
    b"\xff" * 40,
    b"GET / HTTP/1.1\r\n\r\n",
    frames.plain_frame(b"\x93\x01\x02\x03"),
    frames.plain_frame(b"x" * frames.MAX_HANDSHAKE_BYTES),
]


@pytest.mark.parametrize("blob", HOSTILE)
def test_hostile_bytes_end_the_connection_only(blob):
    async def story():
        received = []
        server, address = await serve(received)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(blob)
        writer.write_eof()
        assert await reader.read(1000) == b""
        writer.close()
        stream = await streams.connect(address, KEY, "peer", "me", stamper())
        await stream.send(MESSAGE)
        assert await stream.receive() == MESSAGE
        stream.close()
        server.close()

    asyncio.run(story())


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(min_size=1, max_size=60), st.integers(0, 200), st.data())
def test_a_changed_frame_is_refused(payload, place, data):
    frame = bytearray(frames.Sealer(b"k").seal(payload))
    place %= len(frame)
    change = data.draw(st.integers(1, 255))
    frame[place] ^= change
    header = bytes(frame[: frames.LENGTH_BYTES])
    mac = bytes(frame[frames.LENGTH_BYTES :][: frames.MAC_BYTES])
    body = bytes(frame[frames.LENGTH_BYTES + frames.MAC_BYTES :])
    with pytest.raises(frames.FrameError):
        if frames.length_of(header, 100) != len(body):
            raise frames.FrameError("length")
        frames.Opener(b"k").check(mac, body)


def test_a_replayed_frame_is_refused():
    sealer = frames.Sealer(b"k")
    opener = frames.Opener(b"k")
    mac = sealer.mac(b"once")
    assert opener.check(mac, b"once") == b"once"
    with pytest.raises(frames.FrameError):
        opener.check(mac, b"once")
