"""Records shared by routing, placement, claims and the command line.

All records here are immutable and hold no logic; rules about them are in
`ops`, and `parser` reads them from files.

Units are in the field names: `_mib` is 2**20 bytes, `_ms` milliseconds.
Names are unique within their kind.
"""

import dataclasses
import enum
from typing import Annotated

import msgspec

Positive = Annotated[int, msgspec.Meta(ge=1)]
NonNegative = Annotated[int, msgspec.Meta(ge=0)]
PositiveRate = Annotated[float, msgspec.Meta(gt=0)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=100)]
Url = Annotated[str, msgspec.Meta(pattern=r"^http://[0-9.]+:[0-9]+$")]
KeyDigest = Annotated[str, msgspec.Meta(pattern=r"^sha256:[0-9a-f]{64}$")]

WILDCARD = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class Region:
    """A region; traffic to other regions is slow and billed by volume."""

    name: str
    # One-way latency to other regions, which the router adds to the cost of an
    # upstream. Not shown to callers.
    one_way_ms: NonNegative = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone: the unit that a network partition isolates."""

    name: str
    region: str


class UpstreamKind(enum.Enum):
    """What runs at an upstream."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """A model engine or a plain service.

    `checks_fencing` tells whether the engine rejects orders with a fencing
    token lower than the highest it has seen; the engine does not report this.
    `memory_mib` limits weights and adapters together and is 0 for a service.
    """

    name: str
    kind: UpstreamKind
    zone: str
    url: Url
    memory_mib: NonNegative = 0
    accelerators: NonNegative = 0
    checks_fencing: bool = False
    concurrency: Positive = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """Latency objective of a class of calls, for 95 in 100 calls."""

    name: str
    first_token_ms: Positive = 320
    between_tokens_ms: Positive = 55
    # Lower numbers are served first.
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    # The longest time that a call may wait in a queue before it is refused.
    queue_ms: NonNegative = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model and its residency requirements.

    `replicas` counts engines over the whole deployment. With `must_stay`, the
    last resident replica may never be unloaded.
    """

    name: str
    memory_mib: Positive
    promise: str
    version: str = "1"
    must_stay: bool = True
    replicas: Positive = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """A small set of weights that is loaded in addition to its model."""

    name: str
    model: str
    memory_mib: Positive
    version: str = "1"


@dataclasses.dataclass(frozen=True, slots=True)
class CallRule:
    """Declares whether some calls to a service are idempotent.

    `path` is a prefix of the path after `/services/NAME`.
    """

    methods: tuple[str, ...]
    path: str
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service that the system routes to.

    The first rule that matches a call applies. A call that matches no rule is
    idempotent only if HTTP defines its method as idempotent.
    """

    name: str
    upstreams: tuple[str, ...]
    calls: tuple[CallRule, ...] = ()
    timeout_ms: Positive = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """A caller, identified by the digest of its bearer key."""

    name: str
    key_digest: KeyDigest
    home_zone: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    # Largest number of open calls at one entry instance.
    concurrency: Positive = 64


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStore:
    """Limits of the weight store, as declared by its provider."""

    loads_per_second: PositiveRate = 1.0
    full_speed_loads: Positive = 2
    adapters_in_transit: Positive = 16


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementWeights:
    """Weights of the terms of the placement cost function."""

    attainment: Weight = 1.0
    moves: Weight = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Limits on the number and size of kept answers to claimed calls."""

    remembered: Positive = 10_000
    answer_bytes: Positive = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Declarations:
    """All operator declarations, validated. Tables are sorted by name."""

    regions: dict[str, Region]
    zones: dict[str, Zone]
    upstreams: dict[str, Upstream]
    promises: dict[str, Promise]
    models: dict[str, Model]
    adapters: dict[str, Adapter]
    services: dict[str, Service]
    callers: dict[str, Caller]
    store: WeightStore = WeightStore()
    weights: PlacementWeights = PlacementWeights()
    claims: ClaimLimits = ClaimLimits()

    def engines(self) -> list[Upstream]:
        """Returns the model engines, sorted by name."""
        return [
            u for u in self.upstreams.values() if u.kind is UpstreamKind.ENGINE
        ]


def empty_declarations() -> Declarations:
    """Returns declarations without any entries."""
    return Declarations({}, {}, {}, {}, {}, {}, {}, {})


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One run of a process at an instance.

    Attributes:
      instance: The instance's name from its settings.
      started: Unique for each start, and compared only for equality. A
        restarted process is a different incarnation, even at the same address.
    """

    instance: str
    started: str


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A steward as it announces itself on the log and to its peers."""

    incarnation: Incarnation
    zone: str
    region: str
    address: str
    format_max: int = 1


class OrderAction(enum.Enum):
    """Operations that an engine can be ordered to perform."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"

    @property
    def loads(self) -> bool:
        """Whether the action allocates memory."""
        return self in (OrderAction.LOAD_MODEL, OrderAction.LOAD_ADAPTER)


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to an engine, as written in an intent.

    Attributes:
      target: The model's or adapter's name.
      epoch: The engine's epoch that the order was planned for. An engine that
        restarted since has another epoch and holds no weights.
    """

    order_id: str
    upstream: str
    epoch: str
    action: OrderAction
    target: str
    version: str
    memory_mib: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReport:
    """The last status report of an upstream.

    Attributes:
      epoch: Changes at each restart of the upstream.
      sequence: Increases with each report of one epoch and reporter.
      running: Calls in the batch. waiting: calls queued behind it.
      resident: Names of the models and adapters that are ready to serve.
      version: The version of its software; empty if it states none.
    """

    upstream: str
    epoch: str
    sequence: int
    reachable: bool
    leaving: bool
    running: int = 0
    waiting: int = 0
    resident: tuple[str, ...] = ()
    used_mib: int = 0
    capacity_mib: int = 0
    version: str = ""


class ClaimState(enum.Enum):
    """State of a claimed call."""

    WON = "won"
    NOT_CLAIMED = "not_claimed"
    IN_PROGRESS = "in_progress"
    SETTLED = "settled"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A stored answer of a plain service."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimVerdict:
    """The decision on a claim; the call may be sent only on `WON`."""

    state: ClaimState
    claim_id: str
    holder: str = ""
    answer: Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPeer:
    """Another entry, which serves the same callers.

    Attributes:
      address: Where it accepts callers' connections.
    """

    instance: str
    zone: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """The state that an entry needs for relaying, sent by its steward.

    Attributes:
      number: Increases with each view that a steward sends.
      tree: The merged configuration, which the entry parses and validates
        again. None if it has not changed since the last view.
      entries: Number of entry instances believed to be alive.
      peers: Some of the other entries.
    """

    number: int
    version: int
    tree: dict | None
    reports: tuple[UpstreamReport, ...]
    draining: tuple[str, ...] = ()
    log_reachable: bool = True
    entries: int = 1
    peers: tuple[EntryPeer, ...] = ()
