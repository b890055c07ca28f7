"""Decodes the settings file that the platform gives to each process.

Why: a process learns its addresses, its availability zone and the bounds it
is held to from this file alone. Fields that are not known are ignored, since
the platform adds new ones; one that is missing or of another type is an
error with its remedy, all of them in one message.
"""

import pathlib
import tomllib

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sesamecross.core import errors
from sesamecross.core import serving

BOOT_VARIABLE = "SESAMECROSS_BOOT"
MS = 0.001


class _WireListen(msgspec.Struct, frozen=True):
    front: str
    ready: str


class _WireBounds(msgspec.Struct, frozen=True, rename="camel"):
    drain_ms: float = 2500.0
    grace_s: float = 8.0
    config_apply_ms: float = 2500.0
    retry_budget_ratio: float = 0.2
    budget_extra: float = 50.0
    budget_window_s: float = 10.0
    lease_ms: float = 3000.0
    ceiling_window_s: float = 5.0
    ceiling_overage: float = 1.1
    reuse_after_s: float = 2.0
    require_fencing: bool = False


class _WirePlatform(msgspec.Struct, frozen=True):
    address: str


class _WireSettings(msgspec.Struct, frozen=True, rename="camel"):
    node_name: str
    ip: str
    zone: str
    region: str
    # The first and the last port, both included.
    internal_ports: tuple[int, int]
    zones: dict[str, str]
    listen: _WireListen
    platform: _WirePlatform
    heartbeat_ms: float = 1000.0
    bounds: _WireBounds = msgspec.field(default_factory=_WireBounds)


def load(path: str) -> Result[serving.Instance, errors.Problem]:
    """Returns the settings in the file, or what is wrong with them."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        tree = tomllib.loads(text)
        wire = msgspec.convert(tree, _WireSettings)
    except OSError as error:
        return Failure(_problem(path, str(error), errors.Kind.UNREADABLE))
    except msgspec.ValidationError as error:
        return Failure(_problem(path, str(error), errors.Kind.BAD_VALUE))
    except (ValueError, RecursionError) as error:
        # Half of a character, a number of thousands of digits and tables
        # nested deeply are no syntax errors to the parser, but these.
        return Failure(_problem(path, str(error), errors.Kind.SYNTAX))
    return Success(_instance(wire))


def _problem(path: str, reason: str, kind: errors.Kind) -> errors.Problem:
    return errors.Problem(
        path,
        "",
        reason,
        f"correct the file that {BOOT_VARIABLE} names",
        kind,
    )


def _instance(wire: _WireSettings) -> serving.Instance:
    first, last = wire.internal_ports
    bounds = wire.bounds
    return serving.Instance(
        wire.node_name,
        wire.zone,
        wire.region,
        wire.ip,
        wire.listen.front,
        wire.listen.ready,
        tuple(range(first, last + 1)),
        wire.platform.address,
        dict(wire.zones),
        wire.heartbeat_ms * MS,
        serving.Bounds(
            bounds.drain_ms * MS,
            bounds.grace_s,
            bounds.config_apply_ms * MS,
            bounds.retry_budget_ratio,
            bounds.budget_extra,
            bounds.budget_window_s,
            bounds.lease_ms * MS,
            bounds.ceiling_window_s,
            bounds.ceiling_overage,
            bounds.reuse_after_s,
            bounds.require_fencing,
        ),
    )
