"""Decodes what operators and upstreams write to the platform's store.

Why: both come as JSON records in keyed topics. A record from another writer,
with fields missing or of another type, must name nothing and hurt nothing:
each decoder returns None for it, and the caller logs what it left out.
"""

import msgspec

from sesamecross.core import serving
from sesamecross.platform import untrusted

MS = 0.001


class _WireTarget(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _WireRoute(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float
    # The time to a whole answer's first byte or a stream's first event.
    target_latency_ms: float = 0.0
    # 0 is the most urgent, also where a class's name suggests otherwise.
    priority: untrusted.Number = 5
    service: str | None = None
    traffic_split: list[_WireTarget] = []
    # How many upstreams, not how many tries.
    max_attempts: untrusted.Number = 1
    # Only says that requests name a model and the parts of their prompt.
    session_affinity: bool = False
    resumable: bool = False
    target_gap_ms: float = 0.0


class _WireModel(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    weights_mb: float
    load_s: float
    adapters: untrusted.Number = 0
    adapter_mb: float = 0.0
    warm_s: float | None = None
    disk_load_s: float | None = None


class _WireEngine(msgspec.Struct, frozen=True, rename="camel"):
    slots: untrusted.Number
    kv_capacity: untrusted.Number
    weights_mb: float = 0.0
    adapter_slots: untrusted.Number = 0
    loads_per_s: float = 1.0
    # Tokens in one event.
    stride: untrusted.Number = 1
    models: list[_WireModel] = []


class _WireService(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    health_path: str = "/health"
    max_connections: untrusted.Number = 100
    engine: _WireEngine | None = None


class _WireLimits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: untrusted.Number = 16_384
    max_body_bytes: untrusted.Number = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _WireConfiguration(msgspec.Struct, frozen=True):
    version: untrusted.NonNegative
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = _WireLimits()


class WireResidentModel(msgspec.Struct, frozen=True):
    """A model in the lists of an upstream's entry and of its report."""

    name: str
    adapters: list[str] = []


class WireCopies(msgspec.Struct, frozen=True, rename="camel"):
    """Where an engine keeps copies of weights that it does not serve."""

    in_memory: list[str] = []
    on_disk: list[str] = []


class _WireUpstream(msgspec.Struct, frozen=True, rename="camel"):
    # The wire's `sequence` counts the upstream's own writes here, and not
    # the orders as it does in a report, so it is left out.
    service: str
    address: str
    zone: str
    state: str
    slots: untrusted.Positive = 1
    born: untrusted.NonNegative = 0
    models: list[WireResidentModel] = []
    available: WireCopies = WireCopies()
    # Set where the upstream is taken away at short notice.
    remaining_ms: float | None = None


_KINDS = {
    "safe": serving.RouteKind.IDEMPOTENT,
    "unsafe": serving.RouteKind.AT_MOST_ONCE,
    "streaming": serving.RouteKind.STREAM,
}
_READY = "ready"
_DRAINING = "draining"

_configuration_decoder = msgspec.json.Decoder(_WireConfiguration)
_upstream_decoder = msgspec.json.Decoder(_WireUpstream)


def configuration(value: bytes) -> serving.Configuration | None:
    """Returns a configuration, or None where the bytes hold none."""
    try:
        wire = untrusted.decode(_configuration_decoder, value)
        return serving.Configuration(
            wire.version,
            tuple(_route(route) for route in wire.routes),
            {one.name: _service(one) for one in wire.services},
            serving.CallerLimits(
                wire.limits.max_header_bytes,
                wire.limits.max_body_bytes,
                wire.limits.header_timeout_ms * MS,
                wire.limits.idle_timeout_ms * MS,
            ),
        )
    except (untrusted.NotUnderstood, KeyError):
        # The key is a kind of route that is not known.
        return None


def _route(wire: _WireRoute) -> serving.Route:
    targets = tuple(
        serving.Target(one.service, one.weight)
        for one in wire.traffic_split
        if one.weight > 0
    )
    if not targets and wire.service is not None:
        targets = (serving.Target(wire.service, 1.0),)
    return serving.Route(
        wire.name,
        wire.hostname.lower(),
        wire.path_prefix,
        _KINDS[wire.kind],
        targets,
        wire.priority,
        wire.max_attempts,
        wire.timeout_ms * MS,
        wire.target_latency_ms * MS,
        wire.target_gap_ms * MS,
        wire.resumable,
        wire.session_affinity,
    )


def _service(wire: _WireService) -> serving.Service:
    engine = None
    if wire.engine is not None:
        engine = _engine(wire.engine)
    return serving.Service(
        wire.name, wire.health_path, wire.max_connections, engine
    )


def _engine(wire: _WireEngine) -> serving.EngineSpec:
    models = {}
    for one in wire.models:
        disk_s = one.load_s if one.disk_load_s is None else one.disk_load_s
        models[one.name] = serving.ModelSpec(
            one.name,
            one.weights_mb,
            one.load_s,
            disk_s,
            disk_s if one.warm_s is None else one.warm_s,
            one.adapters,
            one.adapter_mb,
        )
    return serving.EngineSpec(
        wire.slots,
        wire.kv_capacity,
        wire.weights_mb,
        wire.adapter_slots,
        wire.loads_per_s,
        wire.stride,
        models,
    )


def upstream(instance_id: str, value: bytes) -> serving.Upstream | None:
    """Returns an upstream's entry, or None where the bytes hold none."""
    try:
        wire = untrusted.decode(_upstream_decoder, value)
    except untrusted.NotUnderstood:
        return None
    if wire.state not in (_READY, _DRAINING):
        return None
    if not untrusted.is_address(wire.address):
        return None
    remaining_s = None
    if wire.remaining_ms is not None:
        remaining_s = wire.remaining_ms * MS
    return serving.Upstream(
        instance_id,
        wire.service,
        wire.address,
        wire.zone,
        wire.slots,
        wire.state == _DRAINING,
        wire.born,
        held_models(wire.models),
        copies(wire.available),
        remaining_s,
    )


def held_models(
    wire: list[WireResidentModel],
) -> tuple[serving.ResidentModel, ...]:
    """Returns the models of a wire list, without adapters' versions."""
    return tuple(
        serving.ResidentModel(
            one.name,
            frozenset(name.partition("@")[0] for name in one.adapters),
        )
        for one in wire
    )


def copies(wire: WireCopies) -> serving.WeightCopies:
    """Returns where copies of weights lie."""
    return serving.WeightCopies(
        frozenset(wire.in_memory), frozenset(wire.on_disk)
    )
