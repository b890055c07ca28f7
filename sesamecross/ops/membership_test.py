"""Tests of membership: votes, partitions, flapping, incarnations."""

import pytest

from sesamecross.core import data
from sesamecross.ops import membership
from sesamecross.ops import overlay

SUSPECT_MS = 1000


def member(name, zone="z", started="1"):
    return data.Member(data.Incarnation(name, started), zone, "r", name)


def table(names, me="a"):
    one = membership.Membership(member(me), SUSPECT_MS)
    for name in names:
        one.add_member(member(name), 0)
    return one


def hear_all(one, names, now_ms, *, but=()):
    for name in names:
        if name not in but:
            one.on_heartbeat(member(name), False, now_ms)


def state(one, name):
    return one.state_of(name)[0]


def test_two_members_suspect_by_the_one_watcher():
    one = table(["b"])
    one.on_heartbeat(member("b"), False, 0)
    assert one.tick(SUSPECT_MS) == []
    changes = one.tick(SUSPECT_MS + 1)
    assert membership.Vote(member("b"), True) in changes
    assert state(one, "b") is membership.PeerState.SUSPECT


def test_one_watchers_lost_link_does_not_make_a_member_dead():
    # M1: the link from d to a is cut one way. a votes against d, but the
    # other watchers still hear d, so nobody believes d dead.
    names = ["b", "c", "d"]
    one = table(names)
    watchers = overlay.watchers("d", ["a", *names])
    assert len(watchers) == 3
    for now_ms in range(0, 5000, 500):
        hear_all(one, names, now_ms, but=("d",))
        one.tick(now_ms)
    assert state(one, "d") is membership.PeerState.ALIVE
    other = [w for w in watchers if w != "a"][0]
    one.on_vote(other, member("d").incarnation, True)
    one.tick(5000)
    assert state(one, "d") is membership.PeerState.SUSPECT


def test_a_flapping_member_is_not_believed_at_once_each_time():
    # M2: a member comes and goes every two seconds. Each return would make
    # all others plan anew; after some flaps it has to stay for longer.
    one = table(["b"])
    changes = 0
    for now_ms in range(0, 60_000, 100):
        if (now_ms // 2000) % 2 == 0:
            one.on_heartbeat(member("b"), False, now_ms)
        actions = one.tick(now_ms)
        changes += sum(isinstance(a, membership.BeliefChanged) for a in actions)
    assert changes <= 10


def test_a_new_incarnation_replaces_the_old_one():
    # L4: an instance comes back with its old address as another process.
    one = table(["b"])
    one.on_heartbeat(member("b"), True, 0)
    assert state(one, "b") is membership.PeerState.LEAVING
    one.on_heartbeat(member("b", started="2"), False, 10)
    assert state(one, "b") is membership.PeerState.ALIVE
    one.remove(member("b").incarnation)
    assert one.state_of("b") is not None
    one.remove(member("b", started="2").incarnation)
    assert one.state_of("b") is None


def test_a_vote_on_an_earlier_incarnation_does_not_count():
    one = table(["b"])
    one.add_member(member("b", started="2"), 0)
    one.on_vote("a", member("b").incarnation, True)
    one.tick(1)
    assert state(one, "b") is membership.PeerState.ALIVE


@pytest.mark.parametrize("size", [1, 2, 3, 8, 50, 273])
def test_the_overlay_is_connected_and_its_degree_bounded(size):
    members = {f"i{n}": member(f"i{n}") for n in range(size)}
    links = {name: set(overlay.stream_peers(name, members)) for name in members}
    degree = {name: len(out) for name, out in links.items()}
    for out in links.values():
        for other in out:
            degree[other] += 1
    reached = {"i0"}
    front = ["i0"]
    while front:
        at = front.pop()
        near = links[at] | {n for n, out in links.items() if at in out}
        front.extend(near - reached)
        reached |= near
    assert len(reached) == size
    assert max(links.values(), key=len, default=set()) is not None
    assert all(len(out) <= overlay.WATCHERS for out in links.values())
    assert max(degree.values()) <= 4 * overlay.WATCHERS + 4


def test_zones_are_joined_by_delegates_only():
    members = {
        f"{zone}{n}": member(f"{zone}{n}", zone)
        for zone in "abc"
        for n in range(10)
    }
    crossing = [
        (name, other)
        for name in members
        for other in overlay.stream_peers(name, members)
        if members[name].zone != members[other].zone
    ]
    assert len(crossing) == 3 * overlay.DELEGATES**2
