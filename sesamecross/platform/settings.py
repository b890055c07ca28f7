"""Decodes the settings file that the platform gives to each process.

Why: a process learns its addresses, its availability zone and the bounds it
is held to from this file alone. Fields that are not known are ignored, since
the platform adds new ones; one that is missing or of another type is an
error with its remedy, all of them in one message. So is a value without
sense: a bound that is no number makes every comparison with it false, and
ports that are no range leave nothing to listen on. What is only unusual is
taken: a bound of zero belongs to a part of the rules that is not in force, and
a process that refuses to start serves nobody.
"""

import dataclasses
import os
import tomllib

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sesamecross.core import errors
from sesamecross.core import serving
from sesamecross.platform import untrusted

BOOT_VARIABLE = "SESAMECROSS_BOOT"
MS = 0.001
# No time of these settings is longer than a day; the platform's are seconds.
LONGEST_S = 86_400.0
# Far above what a deployment counts, and exact as a float.
LARGEST_COUNT = 1e9
# A name is part of a key of the store, which has 255 bytes.
LONGEST_NAME_BYTES = 200
# Four times the longest template that the platform fills in. The parser takes
# 1.5 MB a second, so that callers wait 0.2 s for the largest file at the most.
LARGEST_FILE_BYTES = 256 * 1024


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
    file = SettingsFile(path)
    return file.read().bind(file.decode)


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFile:
    """The file: its bytes, and what they say.

    Both are apart so that who reads it anew can see whether it is still
    being written.
    """

    path: str

    def read(self) -> Result[bytes, errors.Problem]:
        """Returns what the file holds now; never waits for who writes it."""
        try:
            with open(self.path, "rb", opener=_open_at_once) as file:
                # None is a pipe on which nothing is written now.
                data = file.read(LARGEST_FILE_BYTES + 1) or b""
        except OSError as error:
            return self._problem(str(error), errors.Kind.UNREADABLE)
        if len(data) > LARGEST_FILE_BYTES:
            reason = f"is over {LARGEST_FILE_BYTES} bytes, no settings file"
            return self._problem(reason, errors.Kind.UNREADABLE)
        return Success(data)

    def decode(self, data: bytes) -> Result[serving.Instance, errors.Problem]:
        """Returns the settings in `data`, or what is wrong with them."""
        try:
            tree = tomllib.loads(data.decode("utf-8"))
            wire = msgspec.convert(tree, _WireSettings)
        except msgspec.ValidationError as error:
            return self._problem(str(error), errors.Kind.BAD_VALUE)
        except (ValueError, RecursionError) as error:
            # Half of a character, a number of thousands of digits and tables
            # nested deeply are no syntax errors to the parser, but these.
            return self._problem(str(error), errors.Kind.SYNTAX)
        found = _senseless(wire)
        if found:
            reason = ", ".join(f"{key} {why}" for key, why in found)
            return self._problem(reason, errors.Kind.BAD_VALUE)
        return Success(_instance(wire))

    def _problem(
        self, reason: str, kind: errors.Kind
    ) -> Result[serving.Instance, errors.Problem]:
        return Failure(
            errors.Problem(
                self.path,
                "",
                reason,
                f"correct the file that {BOOT_VARIABLE} names",
                kind,
            )
        )


def _open_at_once(path: str, flags: int) -> int:
    # A pipe in the file's place would wait here for a writer, and with it the
    # thread that serves all callers.
    return os.open(path, flags | os.O_NONBLOCK)


@dataclasses.dataclass(frozen=True, slots=True)
class _Figure:
    """A figure and the range in which it has sense, both ends included."""

    key: str
    value: float
    least: float
    most: float

    @property
    def is_senseless(self) -> bool:
        """Whether it is outside its range, or no number."""
        # A comparison with what is no number is false.
        return not self.least <= self.value <= self.most


def _figures(wire: _WireSettings) -> list[_Figure]:
    bounds = wire.bounds
    longest_ms = LONGEST_S / MS
    return [
        _Figure("heartbeatMs", wire.heartbeat_ms, 0, longest_ms),
        _Figure("bounds.drainMs", bounds.drain_ms, 0, longest_ms),
        _Figure("bounds.graceS", bounds.grace_s, 0, LONGEST_S),
        _Figure("bounds.configApplyMs", bounds.config_apply_ms, 0, longest_ms),
        _Figure(
            "bounds.retryBudgetRatio",
            bounds.retry_budget_ratio,
            0,
            LARGEST_COUNT,
        ),
        _Figure("bounds.budgetExtra", bounds.budget_extra, 0, LARGEST_COUNT),
        _Figure("bounds.budgetWindowS", bounds.budget_window_s, 0, LONGEST_S),
        _Figure("bounds.leaseMs", bounds.lease_ms, 0, longest_ms),
        _Figure("bounds.ceilingWindowS", bounds.ceiling_window_s, 0, LONGEST_S),
        _Figure(
            "bounds.ceilingOverage", bounds.ceiling_overage, 0, LARGEST_COUNT
        ),
        _Figure("bounds.reuseAfterS", bounds.reuse_after_s, 0, LONGEST_S),
    ]


def _senseless(wire: _WireSettings) -> list[tuple[str, str]]:
    """Returns the keys whose values have no sense, each with the reason."""
    found = [
        (one.key, f"is {one.value}, not from {one.least:g} to {one.most:g}")
        for one in _figures(wire)
        if one.is_senseless
    ]
    first, last = wire.internal_ports
    if not 1 <= first <= last <= untrusted.LAST_PORT:
        found.append(
            ("internalPorts", f"{first} to {last} is no range of ports")
        )
    if not 1 <= len(wire.node_name.encode()) <= LONGEST_NAME_BYTES:
        found.append(("nodeName", f"has not 1 to {LONGEST_NAME_BYTES} bytes"))
    if not untrusted.is_ip(wire.ip):
        found.append(("ip", f"is {wire.ip!r}, no IPv4 address"))
    for key, address in (
        ("listen.front", wire.listen.front),
        ("listen.ready", wire.listen.ready),
        ("platform.address", wire.platform.address),
    ):
        if not untrusted.is_address(address):
            found.append((key, f"is {address!r}, not IP:PORT"))
    return found


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
        # The own region is also named by itself, where the map lacks it.
        {wire.zone: wire.region, **wire.zones},
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
