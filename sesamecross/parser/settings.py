"""A process's own settings: where it stands and whom it talks to.

Why: a process learns its addresses and availability zone from settings and
from nothing else. The order, later ones winning: the defaults of the record,
the TOML file named by `--settings`, the environment (`SESAMECROSS_` and the
key in capitals), the flags.
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
      listen: Where callers' connections are accepted.
      steward: Address of the steward on the same instance.
      policy: "estimated"; "least-outstanding" and "round-robin" are the
        baselines of experiments, without limits and queue.
      balancer_lag_ms: How long the balancer may go on sending new calls
        after readiness fails.
      drain_ms: The longest that a planned stop waits for open calls.
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
    log_level: str = "info"
    log_format: str = "json"


@dataclasses.dataclass(frozen=True, slots=True)
class StewardSettings:
    """Settings of a steward process.

    Attributes:
      listen: Where streams from the entry, peers and operators arrive.
      advertise: Where others reach that port, if not at `listen` itself.
      metrics_listen: Where metrics and health are served over HTTP.
      instances_url: The platform's list of instances; a hint that lags.
      snapshot_records: Log records after which a snapshot is appended;
        well below what the log retains.
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
    """Returns the settings in force, or every problem with them."""
    table: dict[str, Any] = {}
    origin: dict[str, str] = {}
    if flags.settings:
        tree = toml_files.read_file(pathlib.Path(flags.settings))
        if isinstance(tree, errors.Problem):
            return Failure([tree])
        table.update(tree)
        origin.update(dict.fromkeys(tree, flags.settings))
    for field in dataclasses.fields(cls):
        name = ENVIRONMENT_PREFIX + field.name.upper()
        if name in environment:
            table[field.name] = _typed(environment[name])
            origin[field.name] = f"environment {name}"
        if getattr(flags, field.name, None) is not None:
            table[field.name] = _typed(getattr(flags, field.name))
            origin[field.name] = f"flag --{field.name.replace('_', '-')}"
    found: list[tables.KeyProblem] = []
    settings = tables.convert(cls, table, (), found)
    if found:
        default = flags.settings or "settings"
        return Failure([_as_problem(e, origin, default) for e in found])
    return Success(settings)


def _typed(text: str) -> Any:
    return int(text) if text.isdecimal() else text


def _as_problem(
    error: tables.KeyProblem, origin: dict[str, str], default: str
) -> errors.Problem:
    return errors.Problem(
        origin.get(error.path[0], default),
        ".".join(error.path),
        error.reason,
        error.remedy,
        error.kind,
    )
