"""Framing of streams: bounded, numbered and authenticated frames.

The ports of the system's own streams are reachable by anyone on the network. A
frame is `length (4 bytes) | MAC (16 bytes) | payload`. The MAC has a key for
each session and direction and covers the frame's number, so that a frame can't
be forged, replayed, reordered or reflected. The payload is not encrypted.

This module does no I/O, so that it can be fuzzed.
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
    """The peer sent an invalid frame."""


class FrameSigner:
    """Creates the frames of one direction of a session."""

    __slots__ = ("_key", "_sequence")

    def __init__(self, key: bytes):
        self._key = key
        self._sequence = 0

    def mac(self, payload: bytes) -> bytes:
        """Returns the MAC of the next frame; increments the frame number."""
        sequence = self._sequence.to_bytes(8, "big")
        self._sequence += 1
        digest = hmac.digest(self._key, sequence + payload, "sha256")
        return digest[:MAC_BYTES]

    def sign(self, payload: bytes) -> bytes:
        """Returns the frame that carries `payload`."""
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {len(payload)} bytes is too large")
        length = _LENGTH.pack(len(payload))
        return length + self.mac(payload) + payload


class FrameVerifier:
    """Verifies the frames of the other direction."""

    __slots__ = ("_signer",)

    def __init__(self, key: bytes):
        self._signer = FrameSigner(key)

    def verify(self, mac: bytes, payload: bytes) -> bytes:
        """Returns the payload, or raises `FrameError`."""
        if not hmac.compare_digest(mac, self._signer.mac(payload)):
            raise FrameError("frame has a wrong MAC")
        return payload


def payload_length(header: bytes, limit: int) -> int:
    """Returns the payload length; raises `FrameError` if it is over `limit`."""
    (length,) = _LENGTH.unpack(header)
    if length > limit:
        raise FrameError(f"frame of {length} bytes is over {limit}")
    return length


def handshake_frame(payload: bytes) -> bytes:
    """Returns a handshake frame, which has no MAC."""
    return _LENGTH.pack(len(payload)) + payload


def session_key(shared: bytes, label: str, *nonces: bytes) -> bytes:
    """Derives a session key for the purpose `label`."""
    message = label.encode() + b"\0" + b"".join(nonces)
    return hmac.new(shared, message, hashlib.sha256).digest()
