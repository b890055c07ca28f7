"""Authenticated streams of typed messages, on asyncio.

Why: entry, steward, peers and operators speak over one kind of stream. Both
sides prove that they know the shared key before any message is read; each
side contributes a nonce, so that a recorded handshake is of no use.
"""

import asyncio
import dataclasses
import secrets
from typing import Any
from typing import Protocol

from returns.result import Failure
from returns.result import Success

from sesamecross.core import codec
from sesamecross.core import hlc
from sesamecross.transport import frames

NONCE_BYTES = 16
HANDSHAKE_S = 5.0
# A peer that reads nothing for this long while we have something to say is
# dropped, so that a stalled link can't hold memory.
SEND_S = 10.0


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of a client: who it says it is."""

    role: str
    name: str
    nonce: bytes
    protocol: int = 1


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """The server's nonce and its proof of the shared key."""

    nonce: bytes
    proof: bytes


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """The client's proof of the shared key."""

    proof: bytes


class StreamClosedError(Exception):
    """The stream ended, failed, or carried something invalid."""


class StreamRefusedError(StreamClosedError):
    """The address refuses connections: the process that had it is gone."""


class Stamper(Protocol):
    """Gives and takes the stamps that every message carries."""

    def now(self) -> hlc.Timestamp:
        """Returns a stamp for a message that leaves."""

    def receive(self, stamp: hlc.Timestamp) -> None:
        """Takes in the stamp of a message that arrived."""


_STAMP_BYTES = 12


def _pack_stamp(stamp: hlc.Timestamp) -> bytes:
    wall = stamp.wall_ms.to_bytes(8, "big")
    return wall + (stamp.count & 0xFFFFFFFF).to_bytes(4, "big")


def _unpack_stamp(data: bytes) -> hlc.Timestamp:
    wall = int.from_bytes(data[:8], "big")
    return hlc.Timestamp(wall, int.from_bytes(data[8:_STAMP_BYTES], "big"))


class Stream:
    """One authenticated stream. `send` and `receive` may run side by side."""

    __slots__ = (
        "hello",
        "_reader",
        "_writer",
        "_sealer",
        "_opener",
        "_lock",
        "_stamper",
    )

    def __init__(
        self,
        hello: Hello,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        send_key: bytes,
        receive_key: bytes,
        stamper: Stamper,
    ):
        self._stamper = stamper
        self.hello = hello
        self._reader = reader
        self._writer = writer
        self._sealer = frames.Sealer(send_key)
        self._opener = frames.Opener(receive_key)
        self._lock = asyncio.Lock()

    async def send(self, message: Any) -> int:
        """Sends a registered message; returns the bytes on the wire.

        Raises:
          StreamClosed: The other side is gone or does not read.
        """
        payload = _pack_stamp(self._stamper.now()) + codec.encode(message)
        try:
            async with self._lock:
                frame = self._sealer.seal(payload)
                self._writer.write(frame)
                await asyncio.wait_for(self._writer.drain(), SEND_S)
        except (OSError, TimeoutError, frames.FrameError) as error:
            self.close()
            raise StreamClosedError(str(error)) from error
        return len(frame)

    async def receive(self) -> Any:
        """Returns the next message.

        Raises:
          StreamClosed: The stream ended or carried something invalid; it
            is closed then, as what follows can't be trusted.
        """
        try:
            payload = await self._receive_payload()
        except (OSError, EOFError, frames.FrameError) as error:
            self.close()
            raise StreamClosedError(str(error)) from error
        self._stamper.receive(_unpack_stamp(payload))
        match codec.decode(payload[_STAMP_BYTES:]):
            case Success(message):
                return message
            case Failure(problem):
                self.close()
                raise StreamClosedError(str(problem))

    async def _receive_payload(self) -> bytes:
        header = await self._reader.readexactly(
            frames.LENGTH_BYTES + frames.MAC_BYTES
        )
        length = frames.length_of(
            header[: frames.LENGTH_BYTES], frames.MAX_FRAME_BYTES
        )
        payload = await self._reader.readexactly(length)
        return self._opener.check(header[frames.LENGTH_BYTES :], payload)

    def close(self) -> None:
        """Ends the stream at once."""
        self._writer.close()


async def _read_plain(reader: asyncio.StreamReader, cls: type) -> Any:
    header = await reader.readexactly(frames.LENGTH_BYTES)
    length = frames.length_of(header, frames.MAX_HANDSHAKE_BYTES)
    message = codec.decode(await reader.readexactly(length)).value_or(None)
    if not isinstance(message, cls):
        raise frames.FrameError(f"expected {cls.__name__}")
    return message


def _write_plain(writer: asyncio.StreamWriter, message: Any) -> None:
    writer.write(frames.plain_frame(codec.encode(message)))


async def connect(
    address: str, shared_key: str, role: str, name: str, stamper: Stamper
) -> Stream:
    """Opens a stream to `address`, an IP number and port.

    Raises:
      StreamClosed: Nobody answers there, or not with the shared key.
    """
    host, _, port = address.rpartition(":")
    try:
        return await asyncio.wait_for(
            _connect(host, int(port), shared_key.encode(), role, name, stamper),
            HANDSHAKE_S,
        )
    except ConnectionRefusedError as error:
        raise StreamRefusedError(f"{address}: refused") from error
    except (OSError, EOFError, TimeoutError, frames.FrameError) as error:
        raise StreamClosedError(
            f"{address}: {error or type(error).__name__}"
        ) from (error)


async def _connect(
    host: str, port: int, key: bytes, role: str, name: str, stamper: Stamper
) -> Stream:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        hello = Hello(role, name, secrets.token_bytes(NONCE_BYTES))
        _write_plain(writer, hello)
        challenge = await _read_plain(reader, Challenge)
        nonces = (hello.nonce, challenge.nonce, codec.encode(hello))
        expected = frames.session_key(key, "server-proof", *nonces)
        if not secrets.compare_digest(expected, challenge.proof):
            raise frames.FrameError("the server does not know the shared key")
        proof = frames.session_key(key, "client-proof", *nonces)
        _write_plain(writer, Proof(proof))
        to_server = frames.session_key(key, "to-server", *nonces)
        to_client = frames.session_key(key, "to-client", *nonces)
        return Stream(hello, reader, writer, to_server, to_client, stamper)
    except BaseException:
        writer.close()
        raise


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    shared_key: str,
    stamper: Stamper,
) -> Stream:
    """Answers a client's handshake on a new connection.

    Raises:
      StreamClosed: The client did not prove that it knows the key in time.
    """
    try:
        return await asyncio.wait_for(
            _accept(reader, writer, shared_key.encode(), stamper), HANDSHAKE_S
        )
    except (OSError, EOFError, TimeoutError, frames.FrameError) as error:
        writer.close()
        raise StreamClosedError(str(error) or type(error).__name__) from error


async def _accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    key: bytes,
    stamper: Stamper,
) -> Stream:
    hello = await _read_plain(reader, Hello)
    nonce = secrets.token_bytes(NONCE_BYTES)
    nonces = (hello.nonce, nonce, codec.encode(hello))
    proof = frames.session_key(key, "server-proof", *nonces)
    _write_plain(writer, Challenge(nonce, proof))
    answer = await _read_plain(reader, Proof)
    expected = frames.session_key(key, "client-proof", *nonces)
    if not secrets.compare_digest(expected, answer.proof):
        raise frames.FrameError("the client does not know the shared key")
    to_server = frames.session_key(key, "to-server", *nonces)
    to_client = frames.session_key(key, "to-client", *nonces)
    return Stream(hello, reader, writer, to_client, to_server, stamper)
