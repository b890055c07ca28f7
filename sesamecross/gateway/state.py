"""In-memory state of an instance: configuration, upstreams, other instances.

The forwarder reads it, the store followers and the mesh write it, and tests
can build one without any of them. The configuration's version never decreases
within a process.
"""

import asyncio
from collections.abc import Callable
import contextlib
import random

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.gateway import start_steps
from sesamecross.ops.fleet import caller_keys
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import freshness as freshness_lib
from sesamecross.ops.fleet import quota_ledger
from sesamecross.ops.fleet import report_totals
from sesamecross.ops.fleet import retry_budget
from sesamecross.ops.fleet import route_table
from sesamecross.ops.fleet import service_choice
from sesamecross.ops.fleet import stream_origins
from sesamecross.ops.fleet import version_history
from sesamecross.ops.fleet import version_records
from sesamecross.runtime import event_loop

# How long a stated limit on rejections holds without another response.
REJECTION_LIMIT_TTL_S = 10.0


class SettingsChange(msgspec.Struct, frozen=True):
    """Fields of changed settings.

    Attributes:
      in_force: Those that took effect at once.
      from_next_start: Those that take effect at the next start.
    """

    in_force: frozenset[str]
    from_next_start: frozenset[str]


class State:
    """The state of one instance.

    Attributes:
      memory_bytes: What the process may use.
      memory_listeners: Called with that when it changes.
      instance_count: Number of instances that share the budgets; None if
        unknown.
      has_upstream_list: Whether the upstreams were read since the start.
      upstreams_offset: Store offset up to which their entries are known.
      upstreams_read_s: Loop time at which they were last read, from the store
        or a peer; None before.
      upstreams_listed_s: Loop time at which they were first known; None before.
      versions: Software versions of the upstreams, also of those that left.
      has_read_versions: Whether the store's records of versions were read since
        the start.
      longest_life_s: For how long any stream may be resumed. It does not become
        shorter, as older streams still live.
      fleet_totals: Sums over all instances; those of demand and uses are known
        to the lease holder only.
      start_steps: When this start could first do what.
      keys: Callers' keys; None if requests need none.
      quotas: What workspaces use of their quotas.
      freshness: As of when the configuration is known to be the newest.
    """

    __slots__ = (
        "location",
        "bounds",
        "memory_bytes",
        "memory_listeners",
        "directory",
        "routes",
        "configuration",
        "has_upstream_list",
        "instance_count",
        "upstreams_offset",
        "upstreams_read_s",
        "upstreams_listed_s",
        "versions",
        "has_read_versions",
        "longest_life_s",
        "fleet_totals",
        "_instance",
        "_retry_budgets",
        "_rejection_limits",
        "start_steps",
        "_change_event",
        "keys",
        "freshness",
        "quotas",
    )

    def __init__(
        self,
        instance: serving.Instance,
        boot_clock: Callable[[], float] = freshness_lib.boot_time_s,
    ):
        self.location = service_choice.Location(
            instance.zone, dict(instance.regions)
        )
        self.bounds = instance.bounds
        self.memory_bytes = instance.memory_bytes
        self.memory_listeners: list[Callable[[int], None]] = []
        self._instance = instance
        self.directory = directory_lib.Directory(instance.bounds.drain_s)
        self.routes = route_table.RouteTable(())
        self.configuration: serving.Configuration | None = None
        self.keys: caller_keys.KeyTable | None = None
        self.freshness = freshness_lib.Freshness(boot_clock)
        self.quotas = quota_ledger.QuotaLedger(random.Random(instance.name))
        self._set_quota_tolerance()
        self.has_upstream_list = False
        self.instance_count: int | None = None
        self.upstreams_offset = -1
        self.upstreams_read_s: float | None = None
        self.upstreams_listed_s: float | None = None
        self.versions = version_history.VersionHistory()
        self.has_read_versions = False
        self.longest_life_s = 0.0
        self.fleet_totals = report_totals.aggregate(())
        self.start_steps = start_steps.StartSteps()
        self._change_event = asyncio.Event()
        self._retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        # By service, the limit that its upstreams stated last, and when.
        self._rejection_limits: dict[str, tuple[int, float]] = {}

    @property
    def fleet_demand(self) -> dict[tuple[str, str], fm.TargetDemand]:
        """Demand by service and target, as known to the lease holder."""
        return self.fleet_totals.demand

    @property
    def fleet_uses(self) -> dict[tuple[str, str], int]:
        """Requests in flight by engine and target, as known to the holder."""
        return self.fleet_totals.in_use

    def apply_settings(self, instance: serving.Instance) -> SettingsChange:
        """Applies new settings; returns what changed.

        Bounds, memory and the regions of zones take effect at once. Addresses,
        ports and the name stay until the next start: other instances know this
        one by them.
        """
        before = self._instance
        changed = {
            field
            for field in serving.Instance.__struct_fields__
            if getattr(before, field) != getattr(instance, field)
        }
        at_once = changed & {"bounds", "memory_bytes", "regions"}
        self._instance = msgspec.structs.replace(
            before,
            bounds=instance.bounds,
            memory_bytes=instance.memory_bytes,
            regions=instance.regions,
        )
        if "memory_bytes" in changed:
            self.memory_bytes = instance.memory_bytes
            for listener in self.memory_listeners:
                listener(self.memory_bytes)
        if at_once:
            self.location = service_choice.Location(
                before.zone, dict(instance.regions)
            )
            self.bounds = instance.bounds
            self._set_quota_tolerance()
            self.directory.drain_s = instance.bounds.drain_s
            for budget in self._retry_budgets.values():
                # New budgets would forget the retries already spent, and
                # requests in progress would keep the old ones.
                budget.set_limits(*self._retry_limits())
        return SettingsChange(frozenset(at_once), frozenset(changed - at_once))

    def _set_quota_tolerance(self) -> None:
        bounds = self.bounds
        self.quotas.set_tolerance(
            quota_ledger.Tolerance(
                bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack
            )
        )

    def notify_change(self) -> None:
        """Wakes all tasks that wait for a change of state."""
        changed, self._change_event = self._change_event, asyncio.Event()
        changed.set()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for the next change of state or the timeout."""
        changed = self._change_event
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await changed.wait()

    def mark_upstreams_listed(self) -> None:
        """Records that the upstreams were read since the start."""
        if not self.has_upstream_list:
            self.has_upstream_list = True
            self.upstreams_listed_s = event_loop.now_s()
            self._record_start_step(start_steps.Step.UPSTREAMS)
            self.notify_change()

    def restore_versions(
        self, recorded: version_records.RecordedVersions, begun_s: float
    ) -> bool:
        """Takes over the store's records of versions.

        Args:
          recorded: The records.
          begun_s: Loop time at which their list was asked for.

        Returns:
          False if the list is too old: a version that left between it and the
          list of upstreams would be missing in both.
        """
        if self.upstreams_listed_s is None or begun_s < self.upstreams_listed_s:
            return False
        self.extend_life(recorded.life_s)
        now_s = event_loop.now_s()
        self.versions.restore(recorded.offsets, recorded.life_s, now_s)
        self.has_read_versions = True
        return True

    def extend_life(self, life_s: float) -> None:
        """Takes note that streams may be resumed for that long."""
        self.longest_life_s = max(self.longest_life_s, life_s)

    def record_versions(self, now_s: float) -> None:
        """Records the software versions of the upstreams known now."""
        self.versions.record(
            (known.entry for known in self.directory),
            self.upstreams_read_s,
            now_s,
        )

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        return self.configuration is not None and self.has_upstream_list

    @property
    def is_fresh(self) -> bool:
        """Whether keys may be served."""
        return not self.bounds.is_revocation_strict or (
            self.freshness.is_within(self.bounds.revoke_s)
        )

    @property
    def version(self) -> int:
        """The configuration's version; -1 without a configuration."""
        return self.configuration.version if self.configuration else -1

    @property
    def limits(self) -> serving.CallerLimits:
        """Limits on callers' requests and connections."""
        if self.configuration is None:
            return serving.CallerLimits()
        return self.configuration.limits

    def offer_configuration(self, configuration: serving.Configuration) -> bool:
        """Applies a configuration if it is newer than the current one."""
        if configuration.version <= self.version:
            return False
        # If a table can't be built, the current state stays.
        routes = route_table.RouteTable(configuration.routes)
        keys = None
        if configuration.workspaces is not None:
            keys = caller_keys.KeyTable(configuration.workspaces)
        self.configuration = configuration
        self.routes = routes
        self.keys = keys
        self.quotas.keep_only(
            frozenset(one.name for one in configuration.workspaces or ())
        )
        for route in configuration.routes:
            self.extend_life(stream_origins.life_s(route))
        self._record_start_step(start_steps.Step.CONFIGURATION)
        self.notify_change()
        return True

    def _record_start_step(self, step: start_steps.Step) -> None:
        self.start_steps.record(step)
        if self.is_ready:
            self.start_steps.record(start_steps.Step.READY)

    def record_rejection_limit(
        self, service: str, limit: int | None, now_s: float
    ) -> bool:
        """Records what an upstream's response states; returns if that is new.

        Args:
          service: Its service, whose upstreams all state the same.
          limit: Rejections per second that each withstands, or None.
          now_s: Monotonic time.
        """
        known = self._rejection_limits.get(service)
        if limit is None:
            self._rejection_limits.pop(service, None)
        else:
            self._rejection_limits[service] = (limit, now_s)
        return (known[0] if known else None) != limit

    def has_rejection_limit(self, service: str, now_s: float) -> bool:
        """Whether too many rejections would make a service's upstreams fail."""
        known = self._rejection_limits.get(service)
        return known is not None and now_s - known[1] < REJECTION_LIMIT_TTL_S

    def retry_budget(self, route: serving.Route) -> retry_budget.RetryBudget:
        """Returns the retry budget of a route's service."""
        service = route.targets[0].service if route.targets else ""
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(
                *self._retry_limits(),
                retry_budget.rounding_offset(
                    f"{self._instance.name}/{service}"
                ),
            )
            self._retry_budgets[service] = budget
        return budget

    def _retry_limits(self) -> tuple[float, float, float]:
        bounds = self.bounds
        return bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
