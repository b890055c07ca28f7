"""The overlay: to which peers a steward opens streams.

With 273 stewards in a zone a full mesh is impossible. A few others watch each
member, chosen alike by all through rendezvous hashing; the same streams carry
gossip. A few delegates of each zone keep streams to delegates of the other
zones.

Each steward opens streams to its own watchers, so a member has about twice as
many streams as watchers, whatever the zone's size.
"""

from collections.abc import Mapping

from sesamecross.core import data
from sesamecross.utils import rendezvous

WATCHERS = 3
DELEGATES = 2


def watchers(
    instance: str, zone_members: list[str], count: int = WATCHERS
) -> list[str]:
    """Returns the watchers of `instance` among its zone's members."""
    others = [name for name in zone_members if name != instance]
    return rendezvous.top(f"watch/{instance}", others, count)


def delegates(zone: str, zone_members: list[str]) -> list[str]:
    """Returns the members that connect a zone to the other zones."""
    return rendezvous.top(f"delegate/{zone}", zone_members, DELEGATES)


def stream_peers(
    instance: str, members: Mapping[str, data.Member]
) -> dict[str, data.Member]:
    """Returns the peers to which `instance` opens streams.

    Args:
      instance: This steward's own name.
      members: All members believed alive, including this steward.
    """
    own = members[instance]
    by_zone: dict[str, list[str]] = {}
    for name, member in sorted(members.items()):
        by_zone.setdefault(member.zone, []).append(name)
    chosen = set(watchers(instance, by_zone[own.zone]))
    if instance in delegates(own.zone, by_zone[own.zone]):
        for zone, names in by_zone.items():
            # The zone with the smaller name opens the stream, so that two
            # delegates don't hold two streams.
            if zone > own.zone:
                chosen.update(delegates(zone, names))
    return {name: members[name] for name in sorted(chosen)}
