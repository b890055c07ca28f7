"""Records of the serving path: routes, services, upstreams and requests.

The HTTP front end, the forwarder, the followers of the platform's store and
model placement share these records, independent of the platform's wire format.
All records are immutable and hold no logic; `sesamecross.platform` creates
them and `sesamecross.ops` makes decisions from them.

Times are in seconds as floats, sizes of weights in megabytes (10**6 bytes)
as on the platform. Field names include the unit.
"""

from collections.abc import Mapping
import enum

import msgspec

from sesamecross.core import body_buffer

# What a process may use whose settings state no limit.
DEFAULT_MEMORY_BYTES = 256_000_000
# Sockets that a process may have open whose settings state no limit.
DEFAULT_MAX_SOCKETS = 3_900


class RouteKind(enum.Enum):
    """Delivery semantics of a route's requests.

    Attributes:
      IDEMPOTENT: May run more than once.
      AT_MOST_ONCE: Runs at most once for each attempt of a caller.
      STREAM: Answered with a stream of events; treated as `AT_MOST_ONCE`
        unless the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "once"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True):
    """A service that a route forwards to, and its share of the requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Which requests go to which services, and with which objectives.

    Attributes:
      path_prefix: Begins and ends with a slash.
      urgency: Priority; 0 is the most urgent.
      max_upstreams: How many upstreams may run one attempt of a caller.
      timeout_s: The longest time that a caller may be kept waiting.
      objective_s: Latency objective for an answer or a stream's first event;
        0 if the route has none.
      gap_s: Objective for the longest pause between events of a stream, or 0.
      is_resumable: A stream can continue at another upstream after its last
        event id.
      is_model_call: Requests name a model and list the parts of their
        prompt.
      is_anonymous: Requests need no key.
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
    is_anonymous: bool = False

    @property
    def is_retry_safe(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class ModelSpec(msgspec.Struct, frozen=True):
    """A model that the engines of a service can load.

    Attributes:
      store_load_s: Load time from the weight store without other loads.
      disk_load_s: Load time from the upstream's own disk.
      memory_load_s: Load time from the upstream's main memory.
      adapters: Number of adapters, which are named a1, a2 and so on.
    """

    name: str
    weights_mb: float
    store_load_s: float
    disk_load_s: float
    memory_load_s: float
    adapters: int
    adapter_mb: float

    def has_adapter(self, name: str) -> bool:
        """Whether an adapter of this name is declared."""
        number = name.removeprefix("a")
        # As text, since a caller's number may have any length.
        return (
            name.startswith("a")
            and number.isdecimal()
            and len(number) <= len(str(self.adapters))
            and number == str(int(number))
            and 1 <= int(number) <= self.adapters
        )


class EngineSpec(msgspec.Struct, frozen=True):
    """Capacity of the engines of a service.

    Attributes:
      slots: Largest number of requests in a batch.
      kv_tokens: Capacity of the KV cache for running and cached prompts.
      weights_mb: Memory for models and adapters together.
      store_loads_per_s: Rate limit for loads from the weight store, over all
        engines.
      tokens_per_event: Largest number of tokens in an event of a stream.
    """

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    store_loads_per_s: float
    tokens_per_event: int
    models: Mapping[str, ModelSpec]


class Service(msgspec.Struct, frozen=True):
    """A group of upstreams: model engines, or a plain service.

    Attributes:
      max_connections: Connections that one upstream accepts from all
        instances together.
      engine: None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size of callers' requests, and on slow or idle callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Quota(msgspec.Struct, frozen=True):
    """What a workspace may use, over all instances.

    Attributes:
      rate_per_s: Requests or tokens a second.
      burst: The same, at once.
      counts_tokens: Whether tokens are counted instead of requests.
      plain_tokens: What a request counts that states no tokens.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool
    plain_tokens: float

    def cost(self, tokens: int | None) -> float:
        """Returns what a request counts that states so many tokens."""
        if not self.counts_tokens:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)


class Workspace(msgspec.Struct, frozen=True):
    """A customer whose callers bear keys.

    Attributes:
      key_digests: Of its keys (`sesamecross.ops.fleet.caller_keys`).
      urgency: Goes before that of routes; None if it has none.
      quota: None if it has no limit.
    """

    name: str
    key_digests: frozenset[bytes]
    urgency: int | None = None
    quota: Quota | None = None


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operators' configuration. Versions only increase.

    Attributes:
      workspaces: None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    workspaces: tuple[Workspace, ...] | None = None


class ResidentModel(msgspec.Struct, frozen=True):
    """A model in an engine's memory, with its adapters."""

    name: str
    adapters: frozenset[str] = frozenset()


class WeightCopies(msgspec.Struct, frozen=True):
    """Copies of weights that an engine keeps in main memory or on disk."""

    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


class Upstream(msgspec.Struct, frozen=True):
    """One incarnation of an upstream, as it registered itself.

    Attributes:
      instance_id: Changes at most restarts, but not at all of them.
      address: IP and port.
      born_ms: Wall-clock start time as reported by the upstream; 0 if unknown.
        Together with `instance_id` it identifies the incarnation.
      remaining_s: Time until it terminates, if it has announced that.
      version: The version of its software, not of a model's weights.
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
    version: str = ""


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's report of its state.

    It is some hundred ms old when it arrives.

    Attributes:
      born_ms: Start time of the engine's incarnation; 0 if unknown.
      orders: Number of orders accepted since its start.
      is_busy: Whether an order is being carried out.
      loading_adapters: MODEL/ADAPTER names of adapters being loaded.
      kv_used: Tokens in the KV cache that can't be evicted.
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


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other requests may share (prefix caching)."""

    part_id: str
    tokens: int


class ModelCall(msgspec.Struct, frozen=True):
    """The model-related headers of a request.

    Attributes:
      adapter: Empty for the model itself.
      parts: The prompt's parts in order; the last one belongs to the request
        alone or to its session.
    """

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def target(self) -> str:
        """MODEL or MODEL/ADAPTER."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


Header = tuple[bytes, bytes]


class Request(msgspec.Struct, frozen=True):
    """A complete request of a caller.

    Attributes:
      path: As sent, with the query.
      body: In a buffer, which whoever handles the request closes, if it is
        large.
      request_id: The caller's id of this attempt; empty if it sent none.
      deadline_s: How long the caller will wait from the request's arrival;
        None if it did not say.
      last_event_id: Event after which a caller resumes a stream, or empty.
      call: Set if the request names a model.
      first_attempt_id: Id of the caller's attempt that brought the first event
        of the stream that it resumes, or empty.
      key_digest: Of the caller's key; empty if it bears none, or several.
      tokens: Those of the prompt and the most of the answer together; None if
        the caller did not say.
      workspace: Whose request it is, once that is known; None if it needs no
        key.
    """

    method: bytes
    path: bytes
    host: str
    headers: tuple[Header, ...]
    body: bytes | body_buffer.BodyBuffer
    request_id: str
    deadline_s: float | None
    last_event_id: str
    call: ModelCall | None
    first_attempt_id: str = ""
    key_digest: bytes = b""
    tokens: int | None = None
    workspace: Workspace | None = None


class Bounds(msgspec.Struct, frozen=True):
    """Time limits and budgets that the system has to respect.

    Attributes:
      drain_s: From the store's notice that an upstream is leaving to the last
        new request sent there.
      grace_s: From the stop signal to the kill.
      config_apply_s: From the store's publication of a configuration until it
        is in force.
      retry_ratio, retry_extra, retry_window_s: Retry budget over all
        instances. In a window, sends beyond the first of each request may be
        `retry_ratio` of the requests plus `retry_extra`.
      lease_s: Least time between the orders of two instances to one upstream.
      loads_window_s, loads_overage: Limit on loads from the weight store that
        begin in a window, over all upstreams.
      address_reuse_s: Time after which an address may belong to another
        upstream.
      checks_fencing: Whether upstreams reject orders with an older fencing
        token.
      is_revocation_strict: Whether `revoke_s` binds instances that can't read
        the store too.
      revoke_s: From the store's publication of a configuration without a key
        until no request with it is let in.
      quota_window_s, quota_overage, quota_slack: In any window, a workspace may
        use its quota's rate and burst, by a share and a number more.
    """

    drain_s: float = 2.5
    grace_s: float = 8.0
    config_apply_s: float = 2.5
    retry_ratio: float = 0.2
    retry_extra: float = 50.0
    retry_window_s: float = 10.0
    lease_s: float = 3.0
    loads_window_s: float = 5.0
    loads_overage: float = 1.1
    address_reuse_s: float = 2.0
    checks_fencing: bool = False
    is_revocation_strict: bool = False
    revoke_s: float = 5.0
    quota_window_s: float = 8.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0


class Instance(msgspec.Struct, frozen=True):
    """Where a gateway runs and whom it talks to, from its settings.

    Attributes:
      ports: The internal ports, which are free on every instance.
      regions: Region by zone, for the whole deployment.
      heartbeat_s: Interval at which upstreams renew their registration.
      memory_bytes: What the process may use before it is killed.
      max_sockets: Sockets that the process may have open.
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
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_sockets: int = DEFAULT_MAX_SOCKETS


class EngineOrder(msgspec.Struct, frozen=True):
    """One order to an engine.

    Attributes:
      instance_id: The upstream's instance id that the order is meant for.
      adapter: Empty if the order is about the model itself.
      expected_order_count: How many orders the engine must have accepted so
        far; it rejects this one otherwise. So of two orders with the same
        count at most one is ever carried out, however late they arrive.
      fence: Fencing token; increases with each change of the lease holder.
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
    """An engine's answer to an order.

    Attributes:
      ACCEPTED: It is being carried out; the order count has increased.
      ALREADY_DONE: Either nothing had to be done, and the order count is
        unchanged; or it was an unload that was carried out at once, and the
        count has increased. The answer does not tell which.
      CONFLICT: Another order is in progress, or the order count differs.
      FENCED: The engine has seen an order of a newer holder.
      OTHER_INCARNATION: Another upstream or incarnation has the address.
      REFUSED: Any other answer; the order is not carried out.
      UNKNOWN: No answer; the order may be carried out now, later or never.
    """

    ACCEPTED = "accepted"
    ALREADY_DONE = "already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INCARNATION = "other-life"
    REFUSED = "refused"
    UNKNOWN = "unknown"
