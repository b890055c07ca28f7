"""Authenticated streams of typed messages, on asyncio.

Entries, stewards, peers and operators all use these streams. Both sides prove
that they know the shared key before any message is read. Each side contributes
a nonce, so that a recorded handshake can't be replayed.
"""

import asyncio
import secrets
from typing import Any
from typing import Protocol

import msgspec
from returns.result import Failure
from returns.result import Success

from sesamecross.core import codec
from sesamecross.core import connection_limiter
from sesamecross.core import hlc
from sesamecross.transport import frames

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 5.0
# A peer that does not read pending data for this long is disconnected, so that
# a stalled connection can't hold memory.
SEND_TIMEOUT_S = 10.0


@codec.register
class Hello(msgspec.Struct, frozen=True):
    """First message of a client, with the identity that it claims."""

    role: str
    name: str
    nonce: bytes
    protocol: int = 1


@codec.register
class Challenge(msgspec.Struct, frozen=True):
    """The server's nonce and its proof of the shared key."""

    nonce: bytes
    proof: bytes


@codec.register
class Proof(msgspec.Struct, frozen=True):
    """The client's proof of the shared key."""

    proof: bytes


class StreamClosedError(Exception):
    """The stream ended, failed, or received invalid data."""


class StreamRefusedError(StreamClosedError):
    """The address refuses connections: its process is gone."""


class TimestampSource(Protocol):
    """Issues and receives the timestamps that every message carries."""

    def now(self) -> hlc.Timestamp:
        """Returns the timestamp of an outgoing message."""

    def receive(self, timestamp: hlc.Timestamp) -> None:
        """Merges the timestamp of an incoming message."""


_TIMESTAMP_BYTES = 12


def _pack_timestamp(timestamp: hlc.Timestamp) -> bytes:
    wall = timestamp.wall_ms.to_bytes(8, "big")
    return wall + (timestamp.count & 0xFFFFFFFF).to_bytes(4, "big")


def _unpack_timestamp(data: bytes) -> hlc.Timestamp:
    wall = int.from_bytes(data[:8], "big")
    return hlc.Timestamp(wall, int.from_bytes(data[8:_TIMESTAMP_BYTES], "big"))


class Stream:
    """One authenticated stream. `send` and `receive` may run concurrently."""

    __slots__ = (
        "hello",
        "_reader",
        "_writer",
        "_signer",
        "_verifier",
        "_send_lock",
        "_timestamp_source",
    )

    def __init__(
        self,
        hello: Hello,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        send_key: bytes,
        receive_key: bytes,
        timestamp_source: TimestampSource,
    ):
        self._timestamp_source = timestamp_source
        self.hello = hello
        self._reader = reader
        self._writer = writer
        self._signer = frames.FrameSigner(send_key)
        self._verifier = frames.FrameVerifier(receive_key)
        self._send_lock = asyncio.Lock()

    async def send(self, message: Any) -> int:
        """Sends a registered message; returns the number of bytes sent.

        Raises:
          StreamClosedError: The peer is gone or does not read.
        """
        payload = _pack_timestamp(self._timestamp_source.now()) + codec.encode(
            message
        )
        try:
            async with self._send_lock:
                frame = self._signer.sign(payload)
                self._writer.write(frame)
                await asyncio.wait_for(self._writer.drain(), SEND_TIMEOUT_S)
        except (OSError, TimeoutError, frames.FrameError) as error:
            self.close()
            raise StreamClosedError(str(error)) from error
        return len(frame)

    async def receive(self) -> Any:
        """Returns the next message.

        Raises:
          StreamClosedError: The stream ended or received invalid data; it is
            then closed, as later data can't be trusted.
        """
        try:
            payload = await self._receive_payload()
        except (OSError, EOFError, frames.FrameError) as error:
            self.close()
            raise StreamClosedError(str(error)) from error
        self._timestamp_source.receive(_unpack_timestamp(payload))
        match codec.decode(payload[_TIMESTAMP_BYTES:]):
            case Success(message):
                return message
            case Failure(problem):
                self.close()
                raise StreamClosedError(str(problem))

    async def _receive_payload(self) -> bytes:
        header = await self._reader.readexactly(
            frames.LENGTH_BYTES + frames.MAC_BYTES
        )
        length = frames.payload_length(
            header[: frames.LENGTH_BYTES], frames.MAX_FRAME_BYTES
        )
        payload = await self._reader.readexactly(length)
        return self._verifier.verify(header[frames.LENGTH_BYTES :], payload)

    @property
    def transport(self) -> asyncio.Transport:
        """The stream's connection, for use after `set_protocol`."""
        return self._writer.transport

    def set_protocol(self, protocol: asyncio.Protocol) -> None:
        """Passes all bytes that arrive from now on to `protocol`.

        The peer must not have sent any since its last message. No message can
        be received any more; `send` still works.
        """
        self._writer.transport.set_protocol(protocol)

    def close(self) -> None:
        """Closes the stream immediately."""
        self._writer.close()


async def _read_handshake_message(
    reader: asyncio.StreamReader, cls: type
) -> Any:
    header = await reader.readexactly(frames.LENGTH_BYTES)
    length = frames.payload_length(header, frames.MAX_HANDSHAKE_BYTES)
    message = codec.decode(await reader.readexactly(length)).value_or(None)
    if not isinstance(message, cls):
        raise frames.FrameError(f"expected {cls.__name__}")
    return message


def _write_handshake_message(
    writer: asyncio.StreamWriter, message: Any
) -> None:
    writer.write(frames.handshake_frame(codec.encode(message)))


async def connect(
    address: str,
    shared_key: str,
    role: str,
    name: str,
    timestamp_source: TimestampSource,
) -> Stream:
    """Opens a stream to `address`, an IP address and port.

    Raises:
      StreamClosedError: The peer does not answer or does not know the shared
        key.
    """
    host, _, port = address.rpartition(":")
    try:
        return await asyncio.wait_for(
            _connect(
                host,
                int(port),
                shared_key.encode(),
                role,
                name,
                timestamp_source,
            ),
            HANDSHAKE_TIMEOUT_S,
        )
    except ConnectionRefusedError as error:
        raise StreamRefusedError(f"{address}: refused") from error
    except (OSError, EOFError, TimeoutError, frames.FrameError) as error:
        raise StreamClosedError(
            f"{address}: {error or type(error).__name__}"
        ) from (error)


async def _connect(
    host: str,
    port: int,
    key: bytes,
    role: str,
    name: str,
    timestamp_source: TimestampSource,
) -> Stream:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        hello = Hello(role, name, secrets.token_bytes(NONCE_BYTES))
        _write_handshake_message(writer, hello)
        challenge = await _read_handshake_message(reader, Challenge)
        nonces = (hello.nonce, challenge.nonce, codec.encode(hello))
        expected = frames.session_key(key, "server-proof", *nonces)
        if not secrets.compare_digest(expected, challenge.proof):
            raise frames.FrameError("the server does not know the shared key")
        proof = frames.session_key(key, "client-proof", *nonces)
        _write_handshake_message(writer, Proof(proof))
        to_server = frames.session_key(key, "to-server", *nonces)
        to_client = frames.session_key(key, "to-client", *nonces)
        return Stream(
            hello, reader, writer, to_server, to_client, timestamp_source
        )
    except BaseException:
        writer.close()
        raise


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    shared_key: str,
    timestamp_source: TimestampSource,
    handshakes: connection_limiter.ConnectionLimiter | None = None,
) -> Stream:
    """Answers a client's handshake on a new connection.

    Args:
      reader: Of the connection.
      writer: Of the connection.
      shared_key: What the client must know.
      timestamp_source: Stamps messages.
      handshakes: The connections of this port whose client has not proved it
        yet. The oldest makes room for a new one. Unbounded without it.

    Raises:
      StreamClosedError: The client did not prove in time that it knows the key.
    """
    transport = writer.transport
    if handshakes is not None:
        handshakes.admit(transport)
    try:
        return await asyncio.wait_for(
            _accept(reader, writer, shared_key.encode(), timestamp_source),
            HANDSHAKE_TIMEOUT_S,
        )
    except (OSError, EOFError, TimeoutError, frames.FrameError) as error:
        writer.close()
        raise StreamClosedError(str(error) or type(error).__name__) from error
    finally:
        if handshakes is not None:
            handshakes.remove(transport)


async def _accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    key: bytes,
    timestamp_source: TimestampSource,
) -> Stream:
    hello = await _read_handshake_message(reader, Hello)
    nonce = secrets.token_bytes(NONCE_BYTES)
    nonces = (hello.nonce, nonce, codec.encode(hello))
    proof = frames.session_key(key, "server-proof", *nonces)
    _write_handshake_message(writer, Challenge(nonce, proof))
    answer = await _read_handshake_message(reader, Proof)
    expected = frames.session_key(key, "client-proof", *nonces)
    if not secrets.compare_digest(expected, answer.proof):
        raise frames.FrameError("the client does not know the shared key")
    to_server = frames.session_key(key, "to-server", *nonces)
    to_client = frames.session_key(key, "to-client", *nonces)
    return Stream(hello, reader, writer, to_client, to_server, timestamp_source)
