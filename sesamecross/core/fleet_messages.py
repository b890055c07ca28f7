"""Messages that gateways send each other in datagrams.

Each instance handles a small share of the requests, so it learns from the
others about the load of upstreams, failures and models being loaded. Messages
are `msgpack` arrays, validated field by field when they are decoded. They are
resent periodically, so a lost message only makes the data less fresh.

A member reports to the hub of its availability zone, hubs exchange summaries,
and each hub sends the merged view to its members.

Messages of more than a few rows are compressed: names and addresses repeat, and
a hub's link of some Mbit/s also carries callers' answers.
"""

import enum
import zlib

import msgspec

# Smaller messages gain almost nothing from compression.
COMPRESS_MIN_BYTES = 300
# Limits the size of a decompressed message, however small its datagram is.
MAX_MESSAGE_BYTES = 1_000_000
# First byte of a zlib stream. Other messages begin with a msgpack array byte.
_ZLIB_FIRST_BYTE = 0x78
_COMPRESSION_LEVEL = 1


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests in flight at an upstream.

    Attributes:
      running: Requests that were sent and have not ended.
      prompt_tokens: Prompt tokens of the running requests that have no event
        yet.
      hears, silent, refused: Number of instances that get responses from the
        upstream, get none, or find its port closed.
    """

    upstream: str
    running: int
    prompt_tokens: int
    hears: int = 0
    silent: int = 0
    refused: int = 0


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests in flight at an engine for one model or adapter."""

    upstream: str
    target: str
    running: int


class TargetDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand for a model or adapter.

    Attributes:
      target: MODEL or MODEL/ADAPTER.
      rate: Requests per second, smoothed over some seconds.
      waiting: Requests that wait for the target to be loaded.
      late: Share of the recent requests that missed their latency objective.
      place_s: Mean time in seconds that a request occupies a batch slot; 0
        until one has ended.
      read_s: Mean prefill time of a request's prompt, in seconds.
      patient_waiting: Patient requests that wait for a load; they are not in
        `waiting` (`ops.fleet.patient_demand`).
      patient_left_ms: How long the most urgent of them that is not late can
        still wait; negative if all are late.
      patient_millirate: Patient requests in 1,000 s; they are not in `rate`.
        Integers, as a 0 takes one byte and most rows have no such request.
      returning: Callers that were told to retry once the target is loaded, and
        have not yet.
      missed_ms: For how long callers have asked for it and none was served; 0
        below `ops.fleet.demand.MIN_MISSED_S`.
    """

    service: str
    target: str
    rate: float
    waiting: int
    late: float
    place_s: float
    read_s: float = 0.0
    patient_waiting: int = 0
    patient_left_ms: int = 0
    patient_millirate: int = 0
    returning: int = 0
    missed_ms: int = 0


class UpstreamOutcomes(msgspec.Struct, frozen=True, array_like=True):
    """Decayed counts of recent outcomes at an upstream: failures, and all.

    Attributes:
      ratios, answers: As in `ops.fleet.upstream_speed.SpeedTally`.
    """

    upstream: str
    failed: float
    total: float
    ratios: float = 0.0
    answers: float = 0.0


class WorkspaceUse(msgspec.Struct, frozen=True, array_like=True):
    """Use of a workspace's quota, as in `ops.fleet.quota_ledger.Usage`.

    Attributes:
      admitted: In the last window.
      asked: Decaying sum of late.
    """

    workspace: str
    admitted: float
    asked: float


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An instance and its replication progress.

    Attributes:
      incarnation: Number of its start; increases with each.
      address: IP and port, for both datagrams and streams.
      configuration: The version in force.
      upstreams: Offset up to which it has read the upstreams' entries.
      unreachable: Number of upstreams that it can't reach though others do.
    """

    name: str
    incarnation: int
    zone: str
    address: str
    configuration: int
    upstreams: int
    unreachable: int = 0


class LeaseAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """The lease for giving orders to engines, as announced by its holder.

    Attributes:
      fence: The lease's fencing token; the highest one is the newest.
      left_s: Remaining validity of the lease when this was sent, in seconds;
        negative once the lease is released.
    """

    holder: str
    incarnation: int
    fence: int
    left_s: float


class Report(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=1
):
    """A member's own statistics, sent to the hub of its zone.

    Attributes:
      configuration_age_s: For how long it may have missed a newer
        configuration; None if it does not know.
      heard: By hub, the number of its last view that this member has received.
    """

    me: Member
    number: int
    loads: list[UpstreamLoad] = []
    uses: list[TargetLoad] = []
    demand: list[TargetDemand] = []
    failing: list[UpstreamOutcomes] = []
    lease: LeaseAnnouncement | None = None
    configuration_age_s: float | None = None
    heard: dict[str, int] = {}
    quotas: list[WorkspaceUse] = []


class Summary(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=2
):
    """The totals of a zone, sent by its hub to the other hubs.

    Attributes:
      configuration_age_s: As in a report.
      heard: By hub, the number of its last summary that the sender has
        received.
    """

    me: Member
    number: int
    members: list[Member] = []
    loads: list[UpstreamLoad] = []
    uses: list[TargetLoad] = []
    demand: list[TargetDemand] = []
    failing: list[UpstreamOutcomes] = []
    lease: LeaseAnnouncement | None = None
    configuration_age_s: float | None = None
    heard: dict[str, int] = {}
    quotas: list[WorkspaceUse] = []


class View(msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=3):
    """The totals of all zones, sent by a hub to the members of its zone.

    Attributes:
      taken: By member, the number of its report that the totals include.
      configuration_age_s: As in a report.
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
    configuration_age_s: float | None = None
    quotas: list[WorkspaceUse] = []


class EnginePlacement(msgspec.Struct, frozen=True, array_like=True):
    """The targets of an engine according to the lease holder.

    Attributes:
      born_ms: Start time of the upstream's incarnation, in wall-clock ms.
      orders: Number of orders that it has accepted.
      targets: Models and adapters that are ready.
      arriving: Targets being loaded, and the seconds until they are ready.
      planned: Models that will be loaded here once there is room, and the
        expected seconds until they are ready.
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
    """The targets of some engines, sent by the lease holder to all members."""

    me: Member
    number: int
    fence: int
    engines: list[EnginePlacement]


class PlacementRequest(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=5
):
    """Tells the lease holder that a request waits for a target.

    Attributes:
      upstream: Where to load an adapter; if empty, the holder chooses.
      version: The software version that an engine must have; empty if any
        engine will do.
    """

    me: Member
    number: int
    service: str
    target: str
    upstream: str
    version: str = ""


class AdmissionRequest(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=6
):
    """Asks the pacer of an engine whether a prompt may be sent to it now.

    Attributes:
      tokens: Prompt tokens that the engine would have to process.
      spare_s: How long the prompt can wait and still be on time, in seconds.
      patience_s: How long the prompt can wait at all, in seconds.
      output_tokens: The most that its answer may have.
      urgency: 0 is the most urgent.
      workspace: Whose request it is, or empty.
      cached_tokens: Prompt tokens that the engine holds and need not process.
    """

    me: Member
    number: int
    upstream: str
    tokens: int
    spare_s: float
    patience_s: float
    output_tokens: int = 0
    urgency: int = 0
    workspace: str = ""
    cached_tokens: int = 0


class AdmissionDecision(enum.IntEnum):
    """Decision on an admission request.

    Attributes:
      WAIT: The request is queued; another reply follows.
      SEND: The prompt may be sent now.
      REFUSE: The prompt can't be admitted while its caller waits.
      LEAVING: The pacer is stopping and admits nothing more; ask the next one.
    """

    WAIT = 0
    SEND = 1
    REFUSE = 2
    LEAVING = 3


class AdmissionReply(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=7
):
    """The reply to an admission request.

    Attributes:
      after_s: Seconds after which a refused caller should retry; 0 otherwise.
      upstream: The engine, if its pacer holds a lease for each request until it
        ends; empty otherwise.
    """

    me: Member
    number: int
    verdict: AdmissionDecision
    after_s: float = 0.0
    upstream: str = ""


class AdmissionRelease(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=8
):
    """Tells the pacer that a prompt was processed or will not be sent.

    Where the pacer holds a lease for each request, it tells how far the request
    has got, and is repeated while the request lasts.

    Attributes:
      stage: 0 if the request has ended or will not be sent, 1 if its prompt was
        processed, 2 if it was sent (`ops.fleet.engine_budget.Stage`).
      memory_tokens: Tokens of memory that the request takes.
    """

    me: Member
    number: int
    upstream: str
    stage: int = 0
    memory_tokens: int = 0


class LeaseRelease(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=9
):
    """Tells the next candidates that the holder has released the lease.

    The holder's process exits right after this, before its next report.
    """

    me: Member
    number: int
    lease: LeaseAnnouncement


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """Where a stream began that its caller may resume.

    Attributes:
      key: Stands for the caller's attempt that brought the first event.
      version: The software version of the upstream.
      life_s: For how long the stream may still be resumed.
    """

    key: bytes
    service: str
    version: str
    life_s: float


class OriginRecord(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=10
):
    """Tells a keeper of streams where they began."""

    me: Member
    number: int
    origins: list[Origin]


class OriginQuery(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=11
):
    """Asks a keeper where a stream began that a caller resumes.

    Attributes:
      services: Those that may have begun it.
      life_s: For how long a stream may be resumed.
    """

    me: Member
    number: int
    key: bytes
    services: list[str]
    life_s: float


class SeenVersions(msgspec.Struct, frozen=True, array_like=True):
    """The versions of a service that can have begun a stream.

    Attributes:
      is_complete: Whether the instance would have seen any other.
    """

    service: str
    versions: list[str]
    is_complete: bool


class OriginReply(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=12
):
    """The reply to an origin query.

    Attributes:
      service, version: Where the stream began; empty if that is unknown, or if
        two streams have its id.
      age_s: For how long the keeper has known it.
      seen: What can have begun it, if it is unknown.
    """

    me: Member
    number: int
    is_known: bool
    service: str = ""
    version: str = ""
    age_s: float = 0.0
    seen: list[SeenVersions] = []


class UnansweredPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that an engine left unanswered as it ended.

    Attributes:
      shared: The parts that other prompts may share, in order.
      own: The last part.
    """

    shared: list[str]
    own: str


class CrashedEngine(msgspec.Struct, frozen=True, array_like=True):
    """An engine that ended while it had requests.

    Attributes:
      engine: Its incarnation.
      age_s: Seconds since its connections broke.
    """

    engine: str
    age_s: float
    prompts: list[UnansweredPrompt]


class AnsweredPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of prompts, to one of which an answer began `age_s` ago."""

    part: str
    age_s: float


class WithheldPart(msgspec.Struct, frozen=True, array_like=True):
    """A part whose prompts crash engines, so that none is sent.

    Attributes:
      left_s: For how long none will be sent, in seconds.
      hold_s: How long that was at first.
    """

    part: str
    left_s: float
    hold_s: float


class CrashNews(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=13
):
    """What an instance has learned of prompts that crash engines.

    Attributes:
      suspected: Parts that it will withhold, unless others report answers.
    """

    me: Member
    number: int
    crashes: list[CrashedEngine] = []
    answered: list[AnsweredPart] = []
    withheld: list[WithheldPart] = []
    suspected: list[str] = []


class LostRequests(msgspec.Struct, frozen=True, array_like=True):
    """Requests that an upstream left without a whole answer.

    Attributes:
      upstream: Its incarnation.
      age_s: Seconds since its connections broke.
      has_ended: Whether it has ended; None while that is being found out.
      requests: Their fingerprints.
    """

    upstream: str
    age_s: float
    has_ended: bool | None
    requests: list[bytes]


class AnsweredRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request, by its fingerprint, that was sent `age_s` ago and answered."""

    request: bytes
    age_s: float


class RequestNews(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=14
):
    """What an instance has learned of requests that end upstreams."""

    me: Member
    number: int
    losses: list[LostRequests] = []
    answered: list[AnsweredRequest] = []


class RequestQuestion(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=16
):
    """An instance that has just started asks what `RequestNews` it missed."""

    me: Member
    number: int


class UpstreamWord(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=15
):
    """What an upstream said on a connection that the receiver relays.

    Attributes:
      born_ms: Start time of its incarnation, in wall-clock ms.
      backoff_s: For how long it wants no requests, or None.
      is_leaving: Whether it leaves.
    """

    me: Member
    number: int
    upstream: str
    born_ms: int
    backoff_s: float | None
    is_leaving: bool


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
    | OriginRecord
    | OriginQuery
    | OriginReply
    | CrashNews
    | RequestNews
    | RequestQuestion
    | UpstreamWord
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message, compressing it if it is large."""
    data = _encoder.encode(message)
    if len(data) < COMPRESS_MIN_BYTES:
        return data
    return zlib.compress(data, _COMPRESSION_LEVEL)


def decode(data: bytes) -> Message | None:
    """Returns the message in `data`, or None if it is invalid."""
    try:
        return _decoder.decode(_decompressed(data))
    except (msgspec.MsgspecError, zlib.error, RecursionError):
        # RecursionError: the message is nested deeply.
        return None


def _decompressed(data: bytes) -> bytes:
    if not data or data[0] != _ZLIB_FIRST_BYTE:
        return data
    # A message cut off at the limit fails to decode.
    return zlib.decompressobj().decompress(data, MAX_MESSAGE_BYTES)
