"""Tests of gossip: the newest version wins, arrives, and is sent once."""

import random

import pytest

from sesamecross.ops import gossip


def item(key, wall, value, zone="z", everywhere=True):
    return gossip.Item(key, wall, 0, value, zone, everywhere)


@pytest.mark.parametrize(
    ("first", "second", "kept"), [(1, 2, 2), (2, 1, 2), (1, 1, 1)]
)
def test_the_newer_version_is_kept(first, second, kept):
    store = gossip.ItemStore("z")
    store.put(item("k", first, first))
    store.put(item("k", second, second))
    assert store.get("k") == kept


def test_an_item_is_sent_once_to_each_link():
    store = gossip.ItemStore("z")
    peer = gossip.PeerVersions("b", "z")
    store.put(item("k", 1, 1))
    assert [i.key for i in store.delta_for(peer, 10)] == ["k"]
    assert store.delta_for(peer, 10) == []
    store.put(item("k", 2, 2))
    assert [i.value for i in store.delta_for(peer, 10)] == [2]


def test_what_stays_in_a_zone_does_not_cross():
    store = gossip.ItemStore("z")
    store.put(item("in", 1, 1, everywhere=False))
    store.put(item("out", 1, 1))
    crossing = gossip.PeerVersions("b", "other")
    assert [i.key for i in store.delta_for(crossing, 10)] == ["out"]


@pytest.mark.parametrize("seed", range(5))
def test_all_stores_agree_after_random_exchanges(seed):
    rng = random.Random(seed)
    stores = [gossip.ItemStore("z") for _ in range(6)]
    peers = {
        (a, b): gossip.PeerVersions(str(b), "z")
        for a in range(6)
        for b in ((a + 1) % 6, (a + 2) % 6)
    }
    for step in range(200):
        index = rng.randrange(6)
        key = f"k{rng.randrange(10)}"
        stores[index].put(item(key, step, step))
        a, b = rng.choice(list(peers))
        for sent in stores[a].delta_for(peers[a, b], 3):
            stores[b].put(sent)
    for _ in range(12):
        for (a, b), peer in peers.items():
            for sent in stores[a].delta_for(peer, 100):
                stores[b].put(sent)
    views = [
        {i.key: i.value for i in store.with_prefix("k")} for store in stores
    ]
    assert all(view == views[0] for view in views)
