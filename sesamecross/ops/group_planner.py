"""Plans the membership of a zone's claim group.

Stewards come and go two thousand times a day. The group stays small whatever
the zone's size. It keeps members that are alive, removes those that are dead,
silent or leaving, and an epoch that could never become active is not proposed.
"""

from collections.abc import Mapping
import dataclasses

from sesamecross.core import data
from sesamecross.core import records
from sesamecross.ops import groups
from sesamecross.utils import rendezvous

MAX_MEMBERS = 3
MAX_WITNESSES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterView:
    """What a steward believes of the other stewards.

    Attributes:
      alive: Members believed alive and not leaving, by instance.
      dead: Incarnations proved dead.
      leaving: Instances that are being stopped.
    """

    alive: Mapping[str, data.Member]
    dead: frozenset[data.Incarnation]
    leaving: frozenset[str]


def propose_group(
    zone: str,
    me: data.Member,
    group: groups.ZoneGroup | None,
    cluster: ClusterView,
) -> records.GroupChanged | None:
    """Returns the epoch that this steward should propose, or None.

    Args:
      zone: The group's zone.
      me: This steward.
      group: The zone's group as replayed.
      cluster: This steward's view of the others.
    """
    current = group.current if group else None
    alive = {
        name: member
        for name, member in cluster.alive.items()
        if name not in cluster.leaving
    }
    if not _is_proposer(zone, me, current, alive, cluster):
        return None
    if current is not None and not _can_fence_current(current, cluster, alive):
        return None
    members = _members(zone, me, current, alive)
    witnesses = _witnesses(zone, me, members, current, alive)
    if not members:
        return None
    if current is not None:
        same = set(current.members) == set(members)
        if same and set(current.witnesses) == set(witnesses):
            return None
    return records.GroupChanged(
        zone, current.epoch if current else 0, members, witnesses
    )


def _is_proposer(
    zone: str,
    me: data.Member,
    current: groups.GroupConfig | None,
    alive: Mapping[str, data.Member],
    cluster: ClusterView,
) -> bool:
    """Tells whether this steward should propose.

    The zone's first live steward does, or for a dead zone another's. Proposals
    race harmlessly: the log accepts one.
    """
    name = me.incarnation.instance
    in_zone = [n for n, m in alive.items() if m.zone == zone]
    if me.zone == zone:
        return rendezvous.top(f"group/{zone}", in_zone, 1) == [name]
    if in_zone or current is None:
        return False
    if any(member not in cluster.dead for member in current.members):
        # Perhaps only partitioned, and deciding for its own callers.
        return False
    witnesses = [w.instance for w in current.witnesses if w.instance in alive]
    candidates = witnesses or list(alive)
    return rendezvous.top(f"group/{zone}", candidates, 1) == [name]


def _can_fence_current(
    current: groups.GroupConfig,
    cluster: ClusterView,
    alive: Mapping[str, data.Member],
) -> bool:
    """Tells whether all participants but one can be made to stop."""
    silent = [
        peer
        for peer in current.participants
        if peer not in cluster.dead
        and not _is_alive(peer, alive)
        and peer.instance not in cluster.leaving
    ]
    return len(silent) <= 1


def _is_alive(peer: data.Incarnation, alive: Mapping[str, data.Member]) -> bool:
    member = alive.get(peer.instance)
    return member is not None and member.incarnation == peer


def _members(
    zone: str,
    me: data.Member,
    current: groups.GroupConfig | None,
    alive: Mapping[str, data.Member],
) -> tuple[data.Incarnation, ...]:
    source_zone = zone
    if not any(member.zone == zone for member in alive.values()):
        source_zone = me.zone
    eligible = {n: m for n, m in alive.items() if m.zone == source_zone}
    kept = []
    if current is not None:
        kept = [
            peer
            for peer in current.members
            if _is_alive(peer, alive) and peer.instance in eligible
        ]
    ranked = rendezvous.top(f"group/{zone}", eligible, len(eligible))
    added = [
        eligible[name].incarnation
        for name in ranked
        if eligible[name].incarnation not in kept
    ]
    return tuple((kept + added)[:MAX_MEMBERS])


def _witnesses(
    zone: str,
    me: data.Member,
    members: tuple[data.Incarnation, ...],
    current: groups.GroupConfig | None,
    alive: Mapping[str, data.Member],
) -> tuple[data.Incarnation, ...]:
    """Chooses one steward from each of a few other zones."""
    by_zone: dict[str, list[str]] = {}
    member_names = {member.instance for member in members}
    member_zones = {alive[name].zone for name in member_names if name in alive}
    for name, member in alive.items():
        if member.zone not in member_zones:
            by_zone.setdefault(member.zone, []).append(name)
    zones = rendezvous.top(f"witness/{zone}", by_zone, MAX_WITNESSES)
    chosen = []
    for other in zones:
        names = by_zone[other]
        current_witnesses = [
            peer.instance
            for peer in (current.witnesses if current else ())
            if peer.instance in names and _is_alive(peer, alive)
        ]
        pick = current_witnesses or rendezvous.top(f"witness/{zone}", names, 1)
        chosen.append(alive[pick[0]].incarnation)
    return tuple(chosen)
