"""Messages by which an instance asks a peer to relay a connection.

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

import enum

import msgspec

from sesamecross.core import codec

# Before each piece that the peer passes on, its length in bytes, big-endian; 0
# marks the end of the upstream's side.
LENGTH_BYTES = 4


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
class RelayOpen(msgspec.Struct, frozen=True):
    """Asks the receiver to connect the sender to an upstream.

    Attributes:
      upstream: The upstream's instance id. The receiver uses the address that
        it knows itself, so it never connects to anything else.
      born_ms: Start time of its incarnation, in wall-clock ms.
    """

    upstream: str
    born_ms: int


@codec.register
class RelayOpened(msgspec.Struct, frozen=True):
    """The answer; after `RelayAnswer.OPEN` the stream carries bytes only."""

    answer: RelayAnswer
