"""Chooses the peers that can relay a connection to an upstream.

Peers that report upstreams which they can't reach either come last. Among the
others the way over the peer to the upstream should be short, and the callers of
instances that are cut off should spread over all peers at that distance.
"""

from collections.abc import Iterable
import random

from sesamecross.core import fleet_messages as fm
from sesamecross.ops.fleet import service_choice


def ranked(
    peers: Iterable[fm.Member],
    upstream_zone: str,
    location: service_choice.Location,
    rng: random.Random,
) -> list[fm.Member]:
    """Returns the peers in the order in which they should be asked."""
    shuffled = list(peers)
    rng.shuffle(shuffled)
    return sorted(
        shuffled,
        key=lambda peer: (
            peer.unreachable > 0,
            location.round_trip_s(peer.zone)
            + location.between_s(peer.zone, upstream_zone),
            peer.unreachable,
        ),
    )
