"""Settings of a process: its location, addresses and limits.

Settings are the only source of a process's addresses and availability zone.
Sources in increasing order of precedence: the defaults of the dataclass, the
TOML file given by `--settings`, environment variables (`SESAMECROSS_` and the
key in capitals), flags.
"""

import argparse
from collections.abc import Mapping
import dataclasses
import pathlib
from typing import Annotated
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sesamecross.core import data
from sesamecross.core import errors
from sesamecross.parser import tables
from sesamecross.parser import toml_files

ENVIRONMENT_PREFIX = "SESAMECROSS_"

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]+$")]
LogUrl = Annotated[str, msgspec.Meta(pattern=r"^http://[0-9.]+:[0-9]+$")]
SharedKey = Annotated[str, msgspec.Meta(min_length=16)]


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry process.

    Attributes:
      listen: Address that accepts callers' connections.
      advertise: Address at which other entries reach it; by default `listen`.
      steward: Address of the steward on the same instance.
      policy: "estimated"; "least-outstanding" and "round-robin" are baselines
        for experiments, without limits and queue.
      balancer_lag_ms: How long the load balancer may keep sending new calls
        after the readiness check fails.
      drain_ms: The longest time that a planned stop waits for open calls.
    """

    instance: str
    zone: str
    region: str
    listen: Address
    steward: Address
    shared_key: SharedKey
    policy: Annotated[
        str,
        msgspec.Meta(pattern="^(estimated|least-outstanding|round-robin)$"),
    ] = "estimated"
    threads: Annotated[int, msgspec.Meta(ge=2, le=2000)] = 128
    max_connections: data.Positive = 1000
    max_head_bytes: data.Positive = 32_768
    max_body_bytes: data.Positive = 4 * 1024 * 1024
    caller_idle_ms: data.Positive = 20_000
    receive_ms: data.Positive = 30_000
    default_deadline_ms: data.Positive = 120_000
    balancer_lag_ms: data.NonNegative = 1000
    drain_ms: data.Positive = 60_000
    advertise: Address | None = None
    log_level: str = "info"
    log_format: str = "json"


@dataclasses.dataclass(frozen=True, slots=True)
class StewardSettings:
    """Settings of a steward process.

    Attributes:
      listen: Address for streams from the entry, peers and operators.
      advertise: Address under which others reach that port, if not `listen`.
      metrics_listen: Address that serves metrics and health over HTTP.
      instances_url: The platform's list of instances; a hint that may be
        stale.
      snapshot_records: Number of log records after which a snapshot is
        appended; well below the log's retention.
    """

    instance: str
    zone: str
    region: str
    listen: Address
    metrics_listen: Address
    log_url: LogUrl
    instances_url: LogUrl
    shared_key: SharedKey
    advertise: str = ""
    heartbeat_ms: data.Positive = 500
    suspect_ms: data.Positive = 2500
    lease_renew_ms: data.Positive = 2000
    lease_lapse_ms: data.Positive = 8000
    report_ms: data.Positive = 500
    plan_ms: data.Positive = 500
    snapshot_records: data.Positive = 2000
    log_level: str = "info"
    log_format: str = "json"


def add_flags(parser: argparse.ArgumentParser, cls: type) -> None:
    """Adds `--settings` and a flag for each field of `cls`."""
    parser.add_argument("--settings", help="TOML file of settings")
    for field in dataclasses.fields(cls):
        flag = "--" + field.name.replace("_", "-")
        parser.add_argument(flag, dest=field.name, help=argparse.SUPPRESS)


def load(
    cls: type, flags: argparse.Namespace, environment: Mapping[str, str]
) -> Result[Any, list[errors.Problem]]:
    """Returns the effective settings, or all problems with them."""
    table: dict[str, Any] = {}
    sources: dict[str, str] = {}
    if flags.settings:
        tree = toml_files.read_file(pathlib.Path(flags.settings))
        if isinstance(tree, errors.Problem):
            return Failure([tree])
        table.update(tree)
        sources.update(dict.fromkeys(tree, flags.settings))
    for field in dataclasses.fields(cls):
        name = ENVIRONMENT_PREFIX + field.name.upper()
        if name in environment:
            table[field.name] = _parse_value(environment[name])
            sources[field.name] = f"environment {name}"
        if getattr(flags, field.name, None) is not None:
            table[field.name] = _parse_value(getattr(flags, field.name))
            sources[field.name] = f"flag --{field.name.replace('_', '-')}"
    problems: list[tables.KeyProblem] = []
    settings = tables.convert(cls, table, (), problems)
    if problems:
        default = flags.settings or "settings"
        return Failure([_as_problem(e, sources, default) for e in problems])
    return Success(settings)


def _parse_value(text: str) -> Any:
    return int(text) if text.isdecimal() else text


def _as_problem(
    error: tables.KeyProblem, sources: dict[str, str], default: str
) -> errors.Problem:
    return errors.Problem(
        sources.get(error.path[0], default),
        ".".join(error.path),
        error.reason,
        error.remedy,
        error.kind,
    )
