"""Decodes the settings file that the platform gives to each process.

This file is the only source of a process's addresses, availability zone and
required bounds. Unknown fields are ignored, since the platform adds new ones. A
missing field or one of another type is an error with a remedy. So are values
out of range, all of which are reported in one message: with NaN as a bound
every comparison is false, and an empty range of ports leaves nothing to listen
on. Unusual values are accepted: a bound of zero belongs to a rule that is not
in force, and a process that refuses to start serves nobody.
"""

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
SECONDS_PER_MS = 0.001
BYTES_PER_MB = 1_000_000
# Of a process's descriptors, those that the platform reserves for files.
FILE_DESCRIPTORS = 200
# No process could start with less: such a value states no limit.
MIN_MEMORY_MB = 16
# The same for sockets: less would not do for the ports and the store.
MIN_SOCKETS = 64
# One day; the platform's own durations are seconds.
MAX_DURATION_S = 86_400.0
# Far above the counts of any deployment, and exact as a float.
MAX_COUNT = 1e9
# A name is part of a store key, which is limited to 255 bytes.
MAX_NAME_BYTES = 200
# Four times the platform's longest template. The parser handles 1.5 MB/s, so
# the largest file delays callers by at most 0.2 s.
MAX_FILE_BYTES = 256 * 1024


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
    strict_revoke: bool = False
    revoke_ms: float = 5000.0
    quota_window_s: float = 8.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0


class _WireLimits(msgspec.Struct, frozen=True, rename="camel"):
    # Units of 10**6 bytes, the smaller of the usual two.
    memory_mb: float = serving.DEFAULT_MEMORY_BYTES / BYTES_PER_MB
    # Descriptors, those for files included.
    max_fds: float = serving.DEFAULT_MAX_SOCKETS + FILE_DESCRIPTORS


class _WirePlatform(msgspec.Struct, frozen=True):
    address: str


class _WireSettings(msgspec.Struct, frozen=True, rename="camel"):
    node_name: str
    ip: str
    zone: str
    region: str
    # The first and last port, both inclusive.
    internal_ports: tuple[int, int]
    zones: dict[str, str]
    listen: _WireListen
    platform: _WirePlatform
    heartbeat_ms: float = 1000.0
    bounds: _WireBounds = msgspec.field(default_factory=_WireBounds)
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)


def load(path: str) -> Result[serving.Instance, errors.Problem]:
    """Reads and decodes a settings file."""
    file = SettingsFile(path)
    return file.read().bind(file.decode)


class SettingsFile(msgspec.Struct, frozen=True):
    """A settings file.

    Reading and decoding are separate, so that a caller that reads the file
    again can detect that it is still being written.
    """

    path: str

    def read(self) -> Result[bytes, errors.Problem]:
        """Returns the file's current content; never waits for a writer."""
        try:
            with open(self.path, "rb", opener=_open_nonblocking) as file:
                # A pipe without available data returns None.
                data = file.read(MAX_FILE_BYTES + 1) or b""
        except OSError as error:
            return self._problem(str(error), errors.Kind.UNREADABLE)
        if len(data) > MAX_FILE_BYTES:
            reason = f"is over {MAX_FILE_BYTES} bytes, no settings file"
            return self._problem(reason, errors.Kind.UNREADABLE)
        return Success(data)

    def decode(self, data: bytes) -> Result[serving.Instance, errors.Problem]:
        """Returns the settings in `data`, or what is invalid in them."""
        try:
            tree = tomllib.loads(data.decode("utf-8"))
            wire = msgspec.convert(tree, _WireSettings)
        except msgspec.ValidationError as error:
            return self._problem(str(error), errors.Kind.BAD_VALUE)
        except (ValueError, RecursionError) as error:
            # The parser raises these, and no syntax error, for an incomplete
            # UTF-8 character, a number of thousands of digits or deep nesting.
            return self._problem(str(error), errors.Kind.SYNTAX)
        invalid = _invalid_values(wire)
        if invalid:
            reason = ", ".join(f"{key} {why}" for key, why in invalid)
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


def _open_nonblocking(path: str, flags: int) -> int:
    # Opening a pipe in place of the file would block until there is a writer,
    # and with it the thread that serves all callers.
    return os.open(path, flags | os.O_NONBLOCK)


class _RangeCheck(msgspec.Struct, frozen=True):
    """A value and its valid range, both ends inclusive."""

    key: str
    value: float
    minimum: float
    maximum: float

    @property
    def is_out_of_range(self) -> bool:
        """Whether the value is out of range or NaN."""
        # Comparisons with NaN are false.
        return not self.minimum <= self.value <= self.maximum


def _range_checks(wire: _WireSettings) -> list[_RangeCheck]:
    bounds = wire.bounds
    max_duration_ms = MAX_DURATION_S / SECONDS_PER_MS
    return [
        _RangeCheck("heartbeatMs", wire.heartbeat_ms, 0, max_duration_ms),
        _RangeCheck("limits.memoryMb", wire.limits.memory_mb, 0, MAX_COUNT),
        _RangeCheck("limits.maxFds", wire.limits.max_fds, 0, MAX_COUNT),
        _RangeCheck("bounds.drainMs", bounds.drain_ms, 0, max_duration_ms),
        _RangeCheck("bounds.graceS", bounds.grace_s, 0, MAX_DURATION_S),
        _RangeCheck(
            "bounds.configApplyMs", bounds.config_apply_ms, 0, max_duration_ms
        ),
        _RangeCheck(
            "bounds.retryBudgetRatio",
            bounds.retry_budget_ratio,
            0,
            MAX_COUNT,
        ),
        _RangeCheck("bounds.budgetExtra", bounds.budget_extra, 0, MAX_COUNT),
        _RangeCheck(
            "bounds.budgetWindowS", bounds.budget_window_s, 0, MAX_DURATION_S
        ),
        _RangeCheck("bounds.leaseMs", bounds.lease_ms, 0, max_duration_ms),
        _RangeCheck(
            "bounds.ceilingWindowS", bounds.ceiling_window_s, 0, MAX_DURATION_S
        ),
        _RangeCheck(
            "bounds.ceilingOverage", bounds.ceiling_overage, 0, MAX_COUNT
        ),
        _RangeCheck(
            "bounds.reuseAfterS", bounds.reuse_after_s, 0, MAX_DURATION_S
        ),
        _RangeCheck("bounds.revokeMs", bounds.revoke_ms, 0, max_duration_ms),
        _RangeCheck(
            "bounds.quotaWindowS", bounds.quota_window_s, 0, MAX_DURATION_S
        ),
        _RangeCheck("bounds.quotaOverage", bounds.quota_overage, 0, MAX_COUNT),
        _RangeCheck("bounds.quotaSlack", bounds.quota_slack, 0, MAX_COUNT),
    ]


def _invalid_values(wire: _WireSettings) -> list[tuple[str, str]]:
    """Returns the keys of invalid values, each with the reason."""
    invalid = [
        (
            check.key,
            f"is {check.value}, not from {check.minimum:g}"
            f" to {check.maximum:g}",
        )
        for check in _range_checks(wire)
        if check.is_out_of_range
    ]
    first, last = wire.internal_ports
    if not 1 <= first <= last <= untrusted.MAX_PORT:
        invalid.append(
            ("internalPorts", f"{first} to {last} is no range of ports")
        )
    if not 1 <= len(wire.node_name.encode()) <= MAX_NAME_BYTES:
        invalid.append(("nodeName", f"has not 1 to {MAX_NAME_BYTES} bytes"))
    if not untrusted.is_ip(wire.ip):
        invalid.append(("ip", f"is {wire.ip!r}, no IPv4 address"))
    for key, address in (
        ("listen.front", wire.listen.front),
        ("listen.ready", wire.listen.ready),
        ("platform.address", wire.platform.address),
    ):
        if not untrusted.is_address(address):
            invalid.append((key, f"is {address!r}, not IP:PORT"))
    return invalid


def _memory_bytes(limits: _WireLimits) -> int:
    if limits.memory_mb < MIN_MEMORY_MB:
        return serving.DEFAULT_MEMORY_BYTES
    return int(limits.memory_mb * BYTES_PER_MB)


def _max_sockets(limits: _WireLimits) -> int:
    sockets = int(limits.max_fds) - FILE_DESCRIPTORS
    return sockets if sockets >= MIN_SOCKETS else serving.DEFAULT_MAX_SOCKETS


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
        # Includes the instance's own zone, even if the map lacks it.
        {wire.zone: wire.region, **wire.zones},
        wire.heartbeat_ms * SECONDS_PER_MS,
        serving.Bounds(
            bounds.drain_ms * SECONDS_PER_MS,
            bounds.grace_s,
            bounds.config_apply_ms * SECONDS_PER_MS,
            bounds.retry_budget_ratio,
            bounds.budget_extra,
            bounds.budget_window_s,
            bounds.lease_ms * SECONDS_PER_MS,
            bounds.ceiling_window_s,
            bounds.ceiling_overage,
            bounds.reuse_after_s,
            bounds.require_fencing,
            bounds.strict_revoke,
            bounds.revoke_ms * SECONDS_PER_MS,
            bounds.quota_window_s,
            bounds.quota_overage,
            bounds.quota_slack,
        ),
        _memory_bytes(wire.limits),
        _max_sockets(wire.limits),
    )
