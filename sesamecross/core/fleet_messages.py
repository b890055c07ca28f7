"""What gateways tell each other in datagrams.

Why: each instance sees a small share of the requests. What it knows of the
load at upstreams, of failures and of models under way comes from the others.
The messages are `msgpack` arrays, checked field by field when they are read;
they are sent again and again, so a lost one costs freshness and nothing else.

A member reports to the hub of its availability zone, hubs exchange summaries,
and each hub hands the merged view to its members.

Messages of more than a few rows are compressed: names and addresses repeat, and
a hub's link of some Mbit/s carries callers' answers too.
"""

import enum
import zlib

import msgspec

# Below this, compression saves next to nothing.
PACK_FROM_BYTES = 300
# No message is longer, however small the datagram that brought it.
MOST_BYTES = 1_000_000
# Compressed messages begin with this byte, others with that of an array.
_PACKED = 0x78
_PACK_LEVEL = 1


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests under way at an upstream.

    Attributes:
      running: Sent and not ended.
      prompt_tokens: Of those among them that have no event yet.
      hears, silent, refused: Instances that hear the upstream, get no sign of
        life, or find its port closed.
    """

    upstream: str
    running: int
    prompt_tokens: int
    hears: int = 0
    silent: int = 0
    refused: int = 0


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests under way at an engine for one model or adapter."""

    upstream: str
    target: str
    running: int


class TargetDemand(msgspec.Struct, frozen=True, array_like=True):
    """How much a model or adapter is asked for.

    Attributes:
      target: MODEL or MODEL/ADAPTER.
      rate: Requests a second, smoothed over some seconds.
      waiting: Requests that wait for it to be loaded.
      late: Of the recent requests, the share that missed their objective.
      place_s: How long a request takes its place in a batch, on average; 0
        until one has ended.
      read_s: How long an engine takes to read the prompt of a request, on
        average.
    """

    service: str
    target: str
    rate: float
    waiting: int
    late: float
    place_s: float
    read_s: float = 0.0


class UpstreamOutcomes(msgspec.Struct, frozen=True, array_like=True):
    """Recent outcomes at an upstream, faded: failures, and all of them."""

    upstream: str
    failed: float
    total: float


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An instance and how far it has come.

    Attributes:
      incarnation: Offset of its registration; grows with each start.
      address: IP and port of datagrams, and of streams.
      configuration: The version in force.
      upstreams: Up to which offset it knows the upstreams' entries.
    """

    name: str
    incarnation: int
    zone: str
    address: str
    configuration: int
    upstreams: int


class LeaseAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """Who gives orders to engines, as its holder says.

    Attributes:
      fence: The lease's fencing token; the largest one is the newest.
      left_s: How long the lease was good for when this was sent.
    """

    holder: str
    incarnation: int
    fence: int
    left_s: float


class Report(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=1
):
    """A member's own figures, to the hub of its zone."""

    me: Member
    number: int
    loads: list[UpstreamLoad] = []
    uses: list[TargetLoad] = []
    demand: list[TargetDemand] = []
    failing: list[UpstreamOutcomes] = []
    lease: LeaseAnnouncement | None = None


class Summary(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=2
):
    """A zone's figures added up, from its hub to the other hubs."""

    me: Member
    number: int
    members: list[Member] = []
    loads: list[UpstreamLoad] = []
    uses: list[TargetLoad] = []
    demand: list[TargetDemand] = []
    failing: list[UpstreamOutcomes] = []
    lease: LeaseAnnouncement | None = None


class View(msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=3):
    """All zones' figures, from a hub to a member of its zone.

    Attributes:
      taken: The number of each member's own report that is in the sums.
    """

    me: Member
    number: int
    taken: dict[str, int]
    members: list[Member] = []
    loads: list[UpstreamLoad] = []
    uses: list[TargetLoad] = []
    demand: list[TargetDemand] = []
    failing: list[UpstreamOutcomes] = []
    lease: LeaseAnnouncement | None = None


class EnginePlacement(msgspec.Struct, frozen=True, array_like=True):
    """What an engine holds by the word of the lease's holder.

    Attributes:
      born_ms: Which life of the upstream is meant.
      orders: Orders that it has accepted.
      targets: Models and adapters that answer now.
      arriving: Targets being loaded, and in how many seconds they answer.
      planned: Models that will be loaded here once there is room, and in how
        many seconds they are expected to answer.
    """

    upstream: str
    born_ms: int
    orders: int
    targets: list[str]
    arriving: list[tuple[str, float]]
    planned: list[tuple[str, float]]


class Placement(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=4
):
    """What some engines hold, from the holder to everybody."""

    me: Member
    number: int
    fence: int
    engines: list[EnginePlacement]


class PlacementRequest(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=5
):
    """A request waits for a target, to the lease's holder.

    Attributes:
      upstream: Where an adapter is wanted; empty leaves it to the holder.
    """

    me: Member
    number: int
    service: str
    target: str
    upstream: str


class AdmissionRequest(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=6
):
    """May a prompt be sent to an engine now? To who paces the engine.

    Attributes:
      tokens: What the engine would have to read.
      spare_s: How long it may still wait and be on time.
      patience_s: How long it may still wait at all.
    """

    me: Member
    number: int
    upstream: str
    tokens: int
    spare_s: float
    patience_s: float


class AdmissionDecision(enum.IntEnum):
    """What is said of an ask.

    Attributes:
      WAIT: It was heard; another answer follows.
      SEND: The prompt may be sent now.
      REFUSE: Its turn will not come while its caller waits.
      LEAVE: Who was asked stops, and gives no more turns: ask the next one.
    """

    WAIT = 0
    SEND = 1
    REFUSE = 2
    LEAVING = 3


class AdmissionReply(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=7
):
    """The answer to an ask.

    Attributes:
      after_s: When a refused caller should come back; 0 otherwise.
    """

    me: Member
    number: int
    verdict: AdmissionDecision
    after_s: float = 0.0


class AdmissionRelease(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=8
):
    """A prompt was read, or will not be sent."""

    me: Member
    number: int
    upstream: str


class LeaseRelease(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=9
):
    """The holder gave the lease back: to those who may take it next.

    Its process ends at once, so that no report would leave in time.
    """

    me: Member
    number: int
    lease: LeaseAnnouncement


Message = (
    Report
    | Summary
    | View
    | Placement
    | PlacementRequest
    | AdmissionRequest
    | AdmissionReply
    | AdmissionRelease
    | LeaseRelease
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns a message as bytes."""
    data = _encoder.encode(message)
    if len(data) < PACK_FROM_BYTES:
        return data
    return zlib.compress(data, _PACK_LEVEL)


def decode(data: bytes) -> Message | None:
    """Returns the message in `data`, or None where there is none."""
    try:
        return _decoder.decode(_unpacked(data))
    except (msgspec.MsgspecError, zlib.error):
        return None


def _unpacked(data: bytes) -> bytes:
    if not data or data[0] != _PACKED:
        return data
    # What is left out makes the message unreadable.
    return zlib.decompressobj().decompress(data, MOST_BYTES)
