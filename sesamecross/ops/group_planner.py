"""Who should be in a zone's claim group, and who proposes it.

Why: stewards come and go two thousand times a day. The group stays small
whatever the zone's size, keeps members that are alive, lets go of those that
are dead, silent or leaving, and never proposes an epoch that could not become
active.
"""

from collections.abc import Mapping
import dataclasses

from sesamecross.core import data
from sesamecross.core import records
from sesamecross.ops import groups
from sesamecross.utils import rendezvous

MEMBERS = 3
WITNESSES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterView:
    """What a steward believes of the others.

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
    around: ClusterView,
) -> records.GroupChanged | None:
    """Returns the epoch that this steward should propose, or None.

    Args:
      zone: Whose group.
      me: This steward.
      group: The zone's group as replayed.
      around: What is believed of the others.
    """
    current = group.current if group else None
    alive = {
        name: member
        for name, member in around.alive.items()
        if name not in around.leaving
    }
    if not _is_proposer(zone, me, current, alive, around):
        return None
    if current is not None and not _can_follow(current, around, alive):
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
    around: ClusterView,
) -> bool:
    """The zone's first live steward proposes; for a dead zone, another's.

    Proposals race harmlessly: the log takes one.
    """
    name = me.incarnation.instance
    in_zone = [n for n, m in alive.items() if m.zone == zone]
    if me.zone == zone:
        return rendezvous.top(f"group/{zone}", in_zone, 1) == [name]
    if in_zone or current is None:
        return False
    if any(member not in around.dead for member in current.members):
        # Perhaps only cut off, and deciding for its own callers.
        return False
    witnesses = [w.instance for w in current.witnesses if w.instance in alive]
    candidates = witnesses or list(alive)
    return rendezvous.top(f"group/{zone}", candidates, 1) == [name]


def _can_follow(
    current: groups.GroupConfig,
    around: ClusterView,
    alive: Mapping[str, data.Member],
) -> bool:
    """Tells whether all participants but one can be made to stop."""
    silent = [
        peer
        for peer in current.participants
        if peer not in around.dead
        and not _is_alive(peer, alive)
        and peer.instance not in around.leaving
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
    home = zone
    if not any(member.zone == zone for member in alive.values()):
        home = me.zone
    pool = {n: m for n, m in alive.items() if m.zone == home}
    kept = []
    if current is not None:
        kept = [
            peer
            for peer in current.members
            if _is_alive(peer, alive) and peer.instance in pool
        ]
    ranked = rendezvous.top(f"group/{zone}", pool, len(pool))
    added = [
        pool[name].incarnation
        for name in ranked
        if pool[name].incarnation not in kept
    ]
    return tuple((kept + added)[:MEMBERS])


def _witnesses(
    zone: str,
    me: data.Member,
    members: tuple[data.Incarnation, ...],
    current: groups.GroupConfig | None,
    alive: Mapping[str, data.Member],
) -> tuple[data.Incarnation, ...]:
    """Picks one steward from each of a few other zones."""
    by_zone: dict[str, list[str]] = {}
    taken = {member.instance for member in members}
    hosts = {alive[name].zone for name in taken if name in alive}
    for name, member in alive.items():
        if member.zone not in hosts:
            by_zone.setdefault(member.zone, []).append(name)
    zones = rendezvous.top(f"witness/{zone}", by_zone, WITNESSES)
    chosen = []
    for other in zones:
        names = by_zone[other]
        before = [
            peer.instance
            for peer in (current.witnesses if current else ())
            if peer.instance in names and _is_alive(peer, alive)
        ]
        pick = before or rendezvous.top(f"witness/{zone}", names, 1)
        chosen.append(alive[pick[0]].incarnation)
    return tuple(chosen)
