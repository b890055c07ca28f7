"""Tells instances what engines hold and when the next models are expected.

Why: instances route by this word, and a request that waits for a model goes on
the moment it comes. Only what changed is told, and now and then everything,
for who missed it; who asked for a model hears of it directly, without the way
over the hubs.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping

from sesamecross.core import fleet_messages as fm
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import engine_inventory

# All engines' places are told anew this often, for who missed them.
REFRESH_S = 1.5


def engine_place(
    inventory: engine_inventory.EngineInventory,
    withdrawn: set[str],
    planned: Mapping[str, float],
    now_s: float,
) -> fm.EnginePlacement:
    """Returns an engine's place, as it is told.

    Args:
      ledger: The books on the engine.
      withdrawn: Models that get no new requests there.
      planned: When models are expected that wait for room there.
      now_s: Monotonic time; expected times are told as seconds from it.
    """
    targets = {
        target
        for target in inventory.models | inventory.adapters
        if target.partition("/")[0] not in withdrawn
    }
    return fm.EnginePlacement(
        inventory.instance_id,
        inventory.born_ms,
        inventory.orders,
        sorted(targets),
        [
            (target, round(at_s - now_s, 2))
            for target, at_s in sorted(inventory.arriving.items())
        ],
        [
            (target, round(at_s - now_s, 2))
            for target, at_s in sorted(planned.items())
            if not inventory.is_held_or_loading(target)
        ],
    )


class PlacementPublisher:
    """Tells the other instances, and takes in what they tell."""

    __slots__ = ("_state", "_mesh", "_told", "_waiting", "_refreshed_s")

    def __init__(self, state: state_lib.State, mesh: mesh_lib.Mesh):
        self._state = state
        self._mesh = mesh
        self._told: dict[str, fm.EnginePlacement] = {}
        # Names of instances that wait for a target.
        self._waiting: dict[str, set[str]] = {}
        self._refreshed_s = 0.0

    def waits(self, target: str, instance: str) -> None:
        """Notes that another instance waits for a target."""
        self._waiting.setdefault(target, set()).add(instance)

    def forget(self) -> None:
        """Forgets what was told: another instance tells from now on."""
        self._told.clear()
        self._waiting.clear()

    def take(self, message: fm.Placement) -> None:
        """Takes in what the giver of orders tells, unless it is outdated."""
        now_s = asyncio.get_running_loop().time()
        lease = self._mesh.lease
        if lease is not None and message.fence < lease.fence:
            return
        for place in message.engines:
            known = self._state.directory.get(place.upstream)
            if known is not None:
                known.engine.apply_placement(place, now_s)
        self._state.notify_change()

    def tell(
        self, places: Iterable[fm.EnginePlacement], fence: int, now_s: float
    ) -> None:
        """Tells everybody what changed, and now and then everything."""
        is_refresh = now_s - self._refreshed_s >= REFRESH_S
        if is_refresh:
            self._refreshed_s = now_s
        changed = []
        current = {}
        for place in places:
            current[place.upstream] = place
            if is_refresh or _differs(self._told.get(place.upstream), place):
                changed.append(place)
        self._told = current
        if not changed:
            return
        message = fm.Placement(
            self._mesh.me, self._mesh.next_number(), fence, changed
        )
        self.take(message)
        self._mesh.broadcast(message)
        self._tell_waiting(message)

    def _tell_waiting(self, message: fm.Placement) -> None:
        told: set[str] = set()
        for place in message.engines:
            for target in place.targets:
                told |= self._waiting.pop(target, set())
        for name in told:
            member = self._mesh.roster.get(name)
            if member is not None:
                self._mesh.send(message, member)


def _differs(
    told: fm.EnginePlacement | None, place: fm.EnginePlacement
) -> bool:
    if told is None:
        return True
    return (
        told.born_ms != place.born_ms
        or told.orders != place.orders
        or told.targets != place.targets
        or _names(told.arriving) != _names(place.arriving)
        or _names(told.planned) != _names(place.planned)
    )


def _names(expected: list[tuple[str, float]]) -> list[str]:
    return [name for name, _ in expected]
