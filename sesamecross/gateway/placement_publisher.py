"""Publishes what engines hold and when further models are expected.

Instances route by this, and a request that waits for a model continues as soon
as the model is loaded. Only changes are published, and at intervals everything,
for instances that missed a message. An instance that requested a model is told
directly, without a relay by a hub.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from sesamecross.core import fleet_messages as fm
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import start_steps
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import engine_inventory
from sesamecross.runtime import event_loop

# Expected times of adapters are published again once they differ by this from
# the published ones: requests wait, or are told to come back, by them.
TIME_TOLERANCE_S = 0.5
# How often all placements are published, for instances that missed some.
REFRESH_INTERVAL_S = 1.5


def engine_placement(
    inventory: engine_inventory.EngineInventory,
    withdrawn: set[str],
    planned: Mapping[str, float],
    now_s: float,
) -> fm.EnginePlacement:
    """Returns an engine's placement in the form in which it is published.

    Args:
      inventory: The engine's inventory.
      withdrawn: Models and adapters that get no new requests there.
      planned: When models that wait for memory, and adapters that wait for a
        place, are expected there.
      now_s: Monotonic time; expected times are published relative to it, in
        seconds.
    """
    targets = {
        target
        for target in inventory.models | inventory.adapters
        if target not in withdrawn and target.partition("/")[0] not in withdrawn
    }
    return fm.EnginePlacement(
        inventory.instance_id,
        inventory.born_ms,
        inventory.orders,
        sorted(targets),
        [
            (target, round(at_s - now_s, 2))
            for target, at_s in sorted(inventory.loading.items())
        ],
        [
            (target, round(at_s - now_s, 2))
            for target, at_s in sorted(planned.items())
            if target in withdrawn or not inventory.is_held_or_loading(target)
        ],
    )


class PlacementPublisher:
    """Publishes placements to the other instances and applies theirs."""

    __slots__ = ("_state", "_mesh", "_published", "_waiters", "_last_refresh_s")

    def __init__(self, state: state_lib.State, mesh: mesh_lib.Mesh):
        self._state = state
        self._mesh = mesh
        # By engine, the last placement and when it was published.
        self._published: dict[str, tuple[fm.EnginePlacement, float]] = {}
        # Names of instances that wait for a target.
        self._waiters: dict[str, set[str]] = {}
        self._last_refresh_s = 0.0

    def add_waiter(self, target: str, instance: str) -> None:
        """Notes that another instance waits for a target."""
        self._waiters.setdefault(target, set()).add(instance)

    def clear(self) -> None:
        """Discards what was published: another instance takes over."""
        self._published.clear()
        self._waiters.clear()

    def apply(self, message: fm.Placement) -> None:
        """Applies the lease holder's placement, unless it is outdated."""
        now_s = event_loop.now_s()
        lease = self._mesh.lease
        if lease is not None and message.fence < lease.fence:
            return
        for placement in message.engines:
            known = self._state.directory.get(placement.upstream)
            if known is not None:
                known.engine.apply_placement(placement, now_s)
        self._state.start_steps.record(start_steps.Step.PLAN)
        self._state.notify_change()

    def publish(
        self, placements: Iterable[fm.EnginePlacement], fence: int, now_s: float
    ) -> None:
        """Publishes changes, and at intervals everything."""
        is_refresh = now_s - self._last_refresh_s >= REFRESH_INTERVAL_S
        if is_refresh:
            self._last_refresh_s = now_s
        changed = []
        current = {}
        for placement in placements:
            published = self._published.get(placement.upstream)
            if (
                is_refresh
                or published is None
                or _differs(published[0], placement, now_s - published[1])
            ):
                changed.append(placement)
                published = (placement, now_s)
            current[placement.upstream] = published
        self._published = current
        if not changed:
            return
        message = fm.Placement(
            self._mesh.me, self._mesh.next_number(), fence, changed
        )
        self.apply(message)
        self._mesh.broadcast(message)
        self._send_to_waiters(message)

    def _send_to_waiters(self, message: fm.Placement) -> None:
        recipients: set[str] = set()
        for placement in message.engines:
            for target in placement.targets:
                recipients |= self._waiters.pop(target, set())
        for name in recipients:
            member = self._mesh.roster.get(name)
            if member is not None:
                self._mesh.send(message, member)


def _differs(
    published: fm.EnginePlacement, placement: fm.EnginePlacement, age_s: float
) -> bool:
    return (
        published.born_ms != placement.born_ms
        or published.orders != placement.orders
        or published.targets != placement.targets
        or _targets_of(published.arriving) != _targets_of(placement.arriving)
        or _targets_of(published.planned) != _targets_of(placement.planned)
        or _has_other_times(published.planned, placement.planned, age_s)
    )


def _targets_of(expected: list[tuple[str, float]]) -> list[str]:
    return [name for name, _ in expected]


def _has_other_times(
    published: list[tuple[str, float]],
    planned: list[tuple[str, float]],
    age_s: float,
) -> bool:
    """Whether the time of an adapter, listed in both, differs by now."""
    return any(
        "/" in name and abs(before_s - age_s - at_s) > TIME_TOLERANCE_S
        for (name, before_s), (_, at_s) in zip(published, planned, strict=True)
    )
