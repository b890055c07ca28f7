"""Tests of which peers are asked to relay a connection."""

import collections
import random

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.ops.fleet import relay_choice
from sesamecross.ops.fleet import service_choice

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
LOCATION = service_choice.Location("a1", REGIONS)


def peer(name: str, zone: str, unreachable: int = 0) -> fm.Member:
    return fm.Member(name, 1, zone, "h:1", -1, -1, unreachable)


@pytest.mark.parametrize(
    ("peers", "upstream_zone", "first"),
    [
        ([peer("p1", "a1"), peer("p2", "a2"), peer("p3", "b1")], "a1", "p1"),
        # The whole way counts: over the peer, to the upstream.
        ([peer("p2", "a2"), peer("p3", "b1")], "a1", "p2"),
        # A peer that is cut off itself is the last one asked.
        ([peer("p1", "a1", 3), peer("p3", "b1")], "a1", "p3"),
        ([peer("p1", "a1", 3), peer("p2", "a1", 1)], "a1", "p2"),
    ],
)
def test_the_nearest_peer_that_reaches_its_upstreams_is_first(
    peers, upstream_zone, first
):
    ranked = relay_choice.ranked(
        peers, upstream_zone, LOCATION, random.Random(1)
    )
    assert ranked[0].name == first
    assert len(ranked) == len(peers)


@pytest.mark.parametrize("instances", [8, 195])
def test_relayed_requests_spread_over_equally_near_peers(instances):
    """Guards against one peer that relays for all that are cut off."""
    peers = [peer(f"p{number}", "a1") for number in range(instances)]
    rng = random.Random(1)
    requests = 40 * instances
    firsts = collections.Counter(
        relay_choice.ranked(peers, "a1", LOCATION, rng)[0].name
        for _ in range(requests)
    )
    assert max(firsts.values()) <= 3 * requests / instances
