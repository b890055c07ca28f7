"""What this instance believes: configuration, upstreams, other instances.

Why: the forwarder reads it, the followers and peers write it, and a test can
make one up without any of them. A configuration's version never goes down
within a process.
"""

import asyncio
import contextlib
import dataclasses

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import retry_budget
from sesamecross.ops.fleet import route_table
from sesamecross.ops.fleet import service_choice


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsChange:
    """What new settings change at once, and what they can't."""

    in_force: frozenset[str]
    from_next_start: frozenset[str]


class State:
    """The beliefs of one instance.

    Attributes:
      instances: How many instances share the budgets, or None where that is
        not known.
      has_upstreams: Whether the upstreams were listed since the start.
      upstreams_offset: Up to where their entries are known.
      fleet_demand, fleet_uses: Sums over all instances; only the lease's
        holder is told.
    """

    __slots__ = (
        "location",
        "bounds",
        "directory",
        "routes",
        "configuration",
        "has_upstream_list",
        "instance_count",
        "upstreams_offset",
        "fleet_demand",
        "fleet_uses",
        "_instance",
        "_windows",
        "_changed",
    )

    def __init__(self, instance: serving.Instance):
        self.location = service_choice.Location(
            instance.zone, dict(instance.regions)
        )
        self.bounds = instance.bounds
        self._instance = instance
        self.directory = directory_lib.Directory(instance.bounds.drain_s)
        self.routes = route_table.RouteTable(())
        self.configuration: serving.Configuration | None = None
        self.has_upstream_list = False
        self.instance_count: int | None = None
        self.upstreams_offset = -1
        self.fleet_demand: dict[tuple[str, str], fm.TargetDemand] = {}
        self.fleet_uses: dict[tuple[str, str], int] = {}
        self._changed = asyncio.Event()
        self._windows: dict[str, retry_budget.RetryBudget] = {}

    def apply_settings(self, instance: serving.Instance) -> SettingsChange:
        """Takes new settings in; returns what changed.

        Bounds and the map of zones hold at once. Addresses, ports and the
        name stay until the next start: others know this instance by them.
        """
        before = self._instance
        changed = {
            field.name
            for field in dataclasses.fields(serving.Instance)
            if getattr(before, field.name) != getattr(instance, field.name)
        }
        at_once = changed & {"bounds", "regions"}
        self._instance = dataclasses.replace(
            before, bounds=instance.bounds, regions=instance.regions
        )
        if at_once:
            self.location = service_choice.Location(
                before.zone, dict(instance.regions)
            )
            self.bounds = instance.bounds
            self.directory.drain_s = instance.bounds.drain_s
            for window in self._windows.values():
                # New windows would forget what was spent, and requests under
                # way would keep the old ones.
                window.set_limits(*self._retry_figures())
        return SettingsChange(frozenset(at_once), frozenset(changed - at_once))

    def notify_change(self) -> None:
        """Wakes who waits for a change of belief."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def changed(self, timeout_s: float) -> None:
        """Waits for the next change of belief, or until the time is over."""
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await changed.wait()

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        return self.configuration is not None and self.has_upstream_list

    @property
    def version(self) -> int:
        """The configuration's version, or -1."""
        return self.configuration.version if self.configuration else -1

    @property
    def limits(self) -> serving.CallerLimits:
        """What callers may send."""
        if self.configuration is None:
            return serving.CallerLimits()
        return self.configuration.limits

    def offer_configuration(self, configuration: serving.Configuration) -> bool:
        """Takes a configuration in if it is newer than the one in force."""
        if configuration.version <= self.version:
            return False
        # Both or none: a table that can't be made leaves what is in force.
        routes = route_table.RouteTable(configuration.routes)
        self.configuration = configuration
        self.routes = routes
        self.notify_change()
        return True

    def retry_budget(self, route: serving.Route) -> retry_budget.RetryBudget:
        """Returns the retry budget of a route's service."""
        service = route.targets[0].service if route.targets else ""
        window = self._windows.get(service)
        if window is None:
            window = retry_budget.RetryBudget(
                *self._retry_figures(),
                retry_budget.rounding_offset(
                    f"{self._instance.name}/{service}"
                ),
            )
            self._windows[service] = window
        return window

    def _retry_figures(self) -> tuple[float, float, float]:
        bounds = self.bounds
        return bounds.retry_share, bounds.retry_extra, bounds.retry_window_s
