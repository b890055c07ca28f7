"""The records that every other module speaks.

Why: routing, placement, claims and the command line must agree on what a
model, an upstream or a caller is. All records here are immutable and plain;
rules about them live in `ops`, reading them from files in `parser`.

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
    """A region: links to other regions are slow and paid by volume."""

    name: str
    # Callers are told nothing of this; the router adds it as distance.
    one_way_ms: NonNegative = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone: the unit that a network partition cuts off."""

    name: str
    region: str


class UpstreamKind(enum.Enum):
    """What answers at an upstream."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """A model engine or a plain service.

    `checks_fencing` tells whether the engine refuses an order whose fencing
    number is older than one that it has seen; only settings know this.
    `memory_mib` bounds weights and adapters together and is 0 for a service.
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
    """What callers of a class of calls are promised for 95 in 100 calls."""

    name: str
    first_token_ms: Positive = 320
    between_tokens_ms: Positive = 55
    # Calls of a smaller number go first.
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    # A call that may queue waits up to this long before it is refused.
    queue_ms: NonNegative = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model and where it must stay resident.

    `replicas` counts engines over the whole deployment; `must_stay` says
    that at no instant the last resident replica may be unloaded.
    """

    name: str
    memory_mib: Positive
    promise: str
    version: str = "1"
    must_stay: bool = True
    replicas: Positive = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """A small set of weights loaded beside its model."""

    name: str
    model: str
    memory_mib: Positive
    version: str = "1"


@dataclasses.dataclass(frozen=True, slots=True)
class CallRule:
    """Which calls to a service may not be repeated.

    `path` is a prefix of the path behind `/services/NAME`.
    """

    methods: tuple[str, ...]
    path: str
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service that the system routes to.

    The first rule that matches a call decides. A call that no rule matches
    counts as idempotent only for the methods that HTTP defines so.
    """

    name: str
    upstreams: tuple[str, ...]
    calls: tuple[CallRule, ...] = ()
    timeout_ms: Positive = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Somebody who calls, known by the digest of a bearer key."""

    name: str
    key_digest: KeyDigest
    home_zone: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    # Calls that the caller may have open at one entry instance.
    concurrency: Positive = 64


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStore:
    """The weight store's limits as its supplier declares them."""

    loads_per_second: PositiveRate = 1.0
    full_speed_loads: Positive = 2
    adapters_in_transit: Positive = 16


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementWeights:
    """How much each measure counts when placement is planned."""

    attainment: Weight = 1.0
    moves: Weight = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLimits:
    """How long and how large the answers to claimed calls are kept."""

    remembered: Positive = 10_000
    answer_bytes: Positive = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Declarations:
    """All that operators declare, checked. Tables are sorted by name."""

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
    """Returns declarations that declare nothing."""
    return Declarations({}, {}, {}, {}, {}, {}, {}, {})


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One life of a process at an instance.

    Attributes:
      instance: The instance's name from its settings.
      started: Unique for each start. Compared only for equality: an
        instance that comes back with the same address is another process.
    """

    instance: str
    started: str


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A steward as it introduces itself on the log and to its peers."""

    incarnation: Incarnation
    zone: str
    region: str
    address: str
    format_max: int = 1


class OrderAction(enum.Enum):
    """What an engine can be told to do."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"

    @property
    def loads(self) -> bool:
        """Whether the action takes memory."""
        return self in (OrderAction.LOAD_MODEL, OrderAction.LOAD_ADAPTER)


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to an engine, as written in an intent.

    Attributes:
      target: The model's or adapter's name.
      epoch: The engine's epoch that the order was planned against. An
        engine that restarted since has another and holds nothing.
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
    """What an upstream last said of itself.

    Attributes:
      epoch: Changes at each restart of the upstream.
      sequence: Grows with each report of one epoch and reporter.
      observed_ms: Reporter's monotonic clock reading, for logs only.
      running: Calls in the batch. waiting: calls queued behind it.
      resident: Names of models and adapters ready to answer.
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


class ClaimState(enum.Enum):
    """What is known of a claimed call."""

    WON = "won"
    NOT_CLAIMED = "not_claimed"
    IN_PROGRESS = "in_progress"
    SETTLED = "settled"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A remembered answer of a plain service."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimVerdict:
    """The log's verdict on a claim: only `WON` may dispatch the call."""

    state: ClaimState
    claim_id: str
    holder: str = ""
    answer: Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What a steward hands to its entry: all that relaying needs.

    Attributes:
      number: Grows with each view that one steward hands out.
      tree: The merged configuration, checked by the same parser again.
        None when the configuration did not change since the last view.
      entries: Entry instances believed alive.
    """

    number: int
    version: int
    tree: dict | None
    reports: tuple[UpstreamReport, ...]
    draining: tuple[str, ...] = ()
    log_reachable: bool = True
    entries: int = 1
