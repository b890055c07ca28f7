"""Frames on a stream: bounded, numbered and authenticated.

Why: the ports of the system's own streams are open to whoever reaches the
network. A frame is `length (4 bytes) | MAC (16 bytes) | payload`; the MAC is
keyed for the session and covers direction and number, so that a frame can't
be forged, replayed, reordered or reflected. The payload is not secret.

Pure: no sockets here, so that the decoder can be fuzzed.
"""

import hashlib
import hmac
import struct

MAC_BYTES = 16
MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_HANDSHAKE_BYTES = 4096

_LENGTH = struct.Struct(">I")
LENGTH_BYTES = _LENGTH.size


class FrameError(Exception):
    """The other side sent bytes that are no valid frame."""


class Sealer:
    """Makes the frames of one direction of a session."""

    __slots__ = ("_key", "_number")

    def __init__(self, key: bytes):
        self._key = key
        self._number = 0

    def mac(self, payload: bytes) -> bytes:
        """Returns the MAC of the next payload and counts it."""
        number = self._number.to_bytes(8, "big")
        self._number += 1
        whole = hmac.digest(self._key, number + payload, "sha256")
        return whole[:MAC_BYTES]

    def seal(self, payload: bytes) -> bytes:
        """Returns the frame that carries `payload`."""
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {len(payload)} bytes is too large")
        length = _LENGTH.pack(len(payload))
        return length + self.mac(payload) + payload


class Opener:
    """Checks the frames of the other direction."""

    __slots__ = ("_sealer",)

    def __init__(self, key: bytes):
        self._sealer = Sealer(key)

    def check(self, mac: bytes, payload: bytes) -> bytes:
        """Returns the payload, or raises `FrameError`."""
        if not hmac.compare_digest(mac, self._sealer.mac(payload)):
            raise FrameError("frame has a wrong MAC")
        return payload


def length_of(header: bytes, limit: int) -> int:
    """Returns the payload length in a header, or raises `FrameError`."""
    (length,) = _LENGTH.unpack(header)
    if length > limit:
        raise FrameError(f"frame of {length} bytes is over {limit}")
    return length


def plain_frame(payload: bytes) -> bytes:
    """Returns a frame of the handshake, which has no MAC yet."""
    return _LENGTH.pack(len(payload)) + payload


def session_key(shared: bytes, label: str, *nonces: bytes) -> bytes:
    """Returns a key for one purpose of one session."""
    message = label.encode() + b"\0" + b"".join(nonces)
    return hmac.new(shared, message, hashlib.sha256).digest()
