"""The records of the serving path: routes, services, upstreams, requests.

Why: the front door, the forwarder, the followers of the platform's store and
the placement of models must agree on what a route, an upstream or a model
is, whatever form the platform gives them on the wire. All records here are
immutable and plain; `sesamecross.platform` fills them, `sesamecross.ops`
decides by them.

Times are in seconds as floats, sizes of weights in megabytes (10**6 bytes)
as the platform counts them. Field names bear the unit.
"""

from collections.abc import Mapping
import dataclasses
import enum


class RouteKind(enum.Enum):
    """What a route's requests allow.

    Attributes:
      IDEMPOTENT: May run more than once.
      ONCE: Runs at most once for each attempt of a caller.
      STREAM: Answers with events; as `ONCE` unless the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that a route sends to, and its share of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which services, and under which promise.

    Attributes:
      path_prefix: Begins and ends with a slash.
      urgency: 0 is the most urgent.
      max_upstreams: How many upstreams may run one attempt of a caller.
      timeout_s: The longest that a caller may be kept waiting.
      objective_s: Within which an answer (a stream's first event) is on
        time; 0 where the route names none.
      gap_s: The longest pause between events of a stream on time, or 0.
      is_resumable: A stream may go on at another upstream after its last
        event id.
      is_model_call: Requests name a model and list the parts of their
        prompt.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    urgency: int
    max_upstreams: int
    timeout_s: float
    objective_s: float
    gap_s: float
    is_resumable: bool
    is_model_call: bool

    @property
    def is_retry_safe(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model that the engines of a service can load.

    Attributes:
      store_load_s: A load from the weight store, alone under way.
      disk_load_s: A load from the upstream's own disk.
      memory_load_s: A load from the upstream's main memory.
      adapters: How many adapters there are, named a1, a2 and so on.
    """

    name: str
    weights_mb: float
    store_load_s: float
    disk_load_s: float
    memory_load_s: float
    adapters: int
    adapter_mb: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """What the engines of a service are like.

    Attributes:
      slots: Requests in one batch.
      kv_tokens: Tokens that fit the memory of running and cached prompts.
      weights_mb: Room for models and adapters together.
      store_loads_per_s: Loads from the weight store, over all engines.
      tokens_per_event: Tokens in one event of a stream, at most.
    """

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    store_loads_per_s: float
    tokens_per_event: int
    models: Mapping[str, ModelSpec]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """What answers requests: model engines, or a plain service.

    Attributes:
      max_connections: What one upstream accepts from all instances.
      engine: None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    head_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    head_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of what operators declare. Versions only go up."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits


@dataclasses.dataclass(frozen=True, slots=True)
class ResidentModel:
    """A model in an engine's memory, with its adapters."""

    name: str
    adapters: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class WeightCopies:
    """Weights that an engine keeps beside those that it serves."""

    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One life of an upstream, as it registers itself.

    Attributes:
      instance_id: Changes with most starts, but not with all.
      address: IP and port.
      born_ms: Wall clock of its start by its own word; 0 if it says none.
        Together with `instance_id` it tells one life from the next.
      leaves_in_s: Time until it is gone, where it said so.
    """

    instance_id: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    born_ms: int
    models: tuple[ResidentModel, ...] = ()
    copies: WeightCopies = WeightCopies()
    remaining_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine answered when asked for its state.

    The figures are some hundred ms old when they arrive.

    Attributes:
      born_ms: Which life of the engine this is; 0 if it does not say.
      orders: Orders accepted since its start.
      is_busy: Whether an order is being carried out.
      arriving_adapters: MODEL/ADAPTER names in transit.
      kv_used: Tokens in memory that can't be given up.
    """

    born_ms: int
    orders: int
    is_busy: bool
    models: tuple[ResidentModel, ...]
    loading_adapters: frozenset[str]
    copies: WeightCopies
    queued: int
    running: int
    kv_used: int
    kv_total: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """What a request to a model says of itself.

    Attributes:
      adapter: Empty for the model itself.
      parts: The prompt's parts in order; the last one is the request's own
        or its session's.
    """

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def target(self) -> str:
        """The model, or the model and its adapter behind a slash."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


Header = tuple[bytes, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A whole request of a caller.

    Attributes:
      path: As sent, with the query.
      request_id: The caller's id of this attempt; empty if it sent none.
      deadline_s: How long the caller will wait, from the arrival; None if it
        did not say.
      last_event_id: Where a caller resumes a stream, or empty.
      call: Set where the request names a model.
    """

    method: bytes
    path: bytes
    host: str
    headers: tuple[Header, ...]
    body: bytes
    request_id: str
    deadline_s: float | None
    last_event_id: str
    call: ModelCall | None


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times and shares within which the system has to act.

    Attributes:
      drain_s: From the store's word that an upstream leaves to the last new
        request sent there.
      grace_s: From the signal to stop to the kill.
      apply_s: From the store's word on a configuration until it is in force.
      retry_share, retry_extra, retry_window_s: Over all instances, sends
        beyond the first of each request may be the share of the requests in
        a window, and the extra.
      lease_s: How far apart the orders of two instances to one upstream must
        be.
      loads_window_s, loads_overage: Over all upstreams, loads from the
        weight store that begin in a window.
      address_reuse_s: After which an address may belong to another upstream.
      checks_fencing: Whether upstreams refuse orders with an older fencing
        token.
    """

    drain_s: float = 2.5
    grace_s: float = 8.0
    apply_s: float = 2.5
    retry_share: float = 0.2
    retry_extra: float = 50.0
    retry_window_s: float = 10.0
    lease_s: float = 3.0
    loads_window_s: float = 5.0
    loads_overage: float = 1.1
    address_reuse_s: float = 2.0
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """Where a gateway runs and whom it talks to, by its settings.

    Attributes:
      ports: The internal ports, free on every instance.
      regions: Region by zone, of the whole deployment.
      heartbeat_s: How often upstreams register themselves anew.
    """

    name: str
    zone: str
    region: str
    ip: str
    front_address: str
    ready_address: str
    ports: tuple[int, ...]
    store_address: str
    regions: Mapping[str, str]
    heartbeat_s: float
    bounds: Bounds


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """One order to an engine.

    Attributes:
      instance_id: The life of the upstream that the order is meant for.
      adapter: Empty where the order is about the model itself.
      after_orders: How many orders the engine must have accepted before; it
        refuses this one otherwise. So of two orders with one number at most
        one is ever carried out, however late they arrive.
      fence: Grows with each change of the lease's holder.
    """

    instance_id: str
    address: str
    loads: bool
    model: str
    adapter: str
    expected_order_count: int
    holder: str
    fence: int


class OrderAnswer(enum.Enum):
    """What an engine said of an order.

    Attributes:
      ACCEPTED: It is being carried out; the count of orders went up.
      ALREADY: It holds already, and does not count; or it was an unload that
        was carried out at once, and counts. The answer does not say which.
      CONFLICT: Another order is under way, or the count is another.
      FENCED: Another holder's order was seen.
      OTHER_LIFE: Another upstream, or another life, has the address.
      REFUSED: Any other answer; the order is not carried out.
      UNKNOWN: No answer: it may be carried out now, later or never.
    """

    ACCEPTED = "accepted"
    ALREADY_DONE = "already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INCARNATION = "other-life"
    REFUSED = "refused"
    UNKNOWN = "unknown"
