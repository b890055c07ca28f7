"""Decodes what operators and upstreams write to the platform's store.

Both are JSON records in keyed topics. A record from an unknown writer may lack
fields or have fields of another type and must do no harm: the decoders return
None for it, and their users log the records that they skip.
"""

from typing import Annotated

import msgspec

from sesamecross.core import serving
from sesamecross.ops.fleet import caller_keys
from sesamecross.platform import untrusted

SECONDS_PER_MS = 0.001
_TOKENS = "tokens"
_NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class _WireTarget(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _WireRoute(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float
    # Time to the first byte of a whole answer or a stream's first event.
    target_latency_ms: float = 0.0
    # 0 is the most urgent, even if a class's name suggests otherwise.
    priority: untrusted.Number = 5
    service: str | None = None
    traffic_split: list[_WireTarget] = []
    # Limits the number of upstreams, not of attempts.
    max_attempts: untrusted.Number = 1
    # Only means that requests name a model and the parts of their prompt.
    session_affinity: bool = False
    resumable: bool = False
    target_gap_ms: float = 0.0
    anonymous: bool = False


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
    # Tokens per event.
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


class _WireTenant(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: untrusted.Number | None = None
    unit: str = "requests"
    plain_tokens: _NotNegative = 0.0
    # No limit if 0.
    rate_per_s: _NotNegative = 0.0
    burst: _NotNegative = 0.0


class _WireConfiguration(msgspec.Struct, frozen=True):
    version: untrusted.NonNegative
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = _WireLimits()
    tenants: list[_WireTenant] | None = None


class WireResidentModel(msgspec.Struct, frozen=True):
    """A model as listed in an upstream's entry and in its report."""

    name: str
    adapters: list[str] = []


class WireCopies(msgspec.Struct, frozen=True, rename="camel"):
    """Copies of weights that an engine keeps without serving them."""

    in_memory: list[str] = []
    on_disk: list[str] = []


class _WireUpstream(msgspec.Struct, frozen=True, rename="camel"):
    # The wire field `sequence` is not decoded: here it counts the upstream's
    # own writes, not its accepted orders as in a report.
    service: str
    address: str
    zone: str
    state: str
    # Of its software; an integer `version` is that of a model's weights.
    version: str
    slots: untrusted.Positive = 1
    born: untrusted.NonNegative = 0
    models: list[WireResidentModel] = []
    available: WireCopies = WireCopies()
    # Set if the upstream is being removed at short notice.
    remaining_ms: float | None = None


_ROUTE_KINDS = {
    "safe": serving.RouteKind.IDEMPOTENT,
    "unsafe": serving.RouteKind.AT_MOST_ONCE,
    "streaming": serving.RouteKind.STREAM,
}
_READY = "ready"
_DRAINING = "draining"

_configuration_decoder = msgspec.json.Decoder(_WireConfiguration)
_upstream_decoder = msgspec.json.Decoder(_WireUpstream)


def decode_configuration(value: bytes) -> serving.Configuration | None:
    """Decodes a configuration; returns None if it is invalid."""
    try:
        wire = untrusted.decode(_configuration_decoder, value)
        return serving.Configuration(
            wire.version,
            tuple(_route(route) for route in wire.routes),
            {service.name: _service(service) for service in wire.services},
            serving.CallerLimits(
                wire.limits.max_header_bytes,
                wire.limits.max_body_bytes,
                wire.limits.header_timeout_ms * SECONDS_PER_MS,
                wire.limits.idle_timeout_ms * SECONDS_PER_MS,
            ),
            None
            if wire.tenants is None
            else tuple(_workspace(tenant) for tenant in wire.tenants),
        )
    except (untrusted.DecodeError, KeyError):
        # The KeyError is an unknown kind of route.
        return None


def _workspace(wire: _WireTenant) -> serving.Workspace:
    quota = None
    if wire.rate_per_s > 0:
        quota = serving.Quota(
            wire.rate_per_s,
            wire.burst,
            wire.unit == _TOKENS,
            wire.plain_tokens,
        )
    return serving.Workspace(
        wire.name,
        frozenset(caller_keys.digest(key.encode()) for key in wire.api_keys),
        wire.priority,
        quota,
    )


def _route(wire: _WireRoute) -> serving.Route:
    targets = tuple(
        serving.Target(target.service, target.weight)
        for target in wire.traffic_split
        if target.weight > 0
    )
    if not targets and wire.service is not None:
        targets = (serving.Target(wire.service, 1.0),)
    return serving.Route(
        wire.name,
        wire.hostname.lower(),
        wire.path_prefix,
        _ROUTE_KINDS[wire.kind],
        targets,
        wire.priority,
        wire.max_attempts,
        wire.timeout_ms * SECONDS_PER_MS,
        wire.target_latency_ms * SECONDS_PER_MS,
        wire.target_gap_ms * SECONDS_PER_MS,
        wire.resumable,
        wire.session_affinity,
        wire.anonymous,
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
    for model in wire.models:
        disk_s = (
            model.load_s if model.disk_load_s is None else model.disk_load_s
        )
        models[model.name] = serving.ModelSpec(
            model.name,
            model.weights_mb,
            model.load_s,
            disk_s,
            disk_s if model.warm_s is None else model.warm_s,
            model.adapters,
            model.adapter_mb,
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


def decode_upstream(instance_id: str, value: bytes) -> serving.Upstream | None:
    """Decodes an upstream's entry; returns None if it is invalid."""
    try:
        wire = untrusted.decode(_upstream_decoder, value)
    except untrusted.DecodeError:
        return None
    if wire.state not in (_READY, _DRAINING):
        return None
    if not untrusted.is_address(wire.address):
        return None
    remaining_s = None
    if wire.remaining_ms is not None:
        remaining_s = wire.remaining_ms * SECONDS_PER_MS
    return serving.Upstream(
        instance_id,
        wire.service,
        wire.address,
        wire.zone,
        wire.slots,
        wire.state == _DRAINING,
        wire.born,
        resident_models(wire.models),
        weight_copies(wire.available),
        remaining_s,
        wire.version,
    )


def resident_models(
    wire: list[WireResidentModel],
) -> tuple[serving.ResidentModel, ...]:
    """Converts a list of models, dropping the versions of adapters."""
    return tuple(
        serving.ResidentModel(
            model.name,
            frozenset(name.partition("@")[0] for name in model.adapters),
        )
        for model in wire
    )


def weight_copies(wire: WireCopies) -> serving.WeightCopies:
    """Converts the locations of copies of weights."""
    return serving.WeightCopies(
        frozenset(wire.in_memory), frozenset(wire.on_disk)
    )
