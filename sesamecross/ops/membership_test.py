"""Tests of membership: votes, partitions, flapping, incarnations."""

import pytest

from sesamecross.core import data
from sesamecross.ops import membership
from sesamecross.ops import overlay

SUSPECT_MS = 1000


def member(name, zone="z", started="1"):
    return data.Member(data.Incarnation(name, started), zone, "r", name)


def table(names, me="a"):
    membership_table = membership.Membership(member(me), SUSPECT_MS)
    for name in names:
        membership_table.add_member(member(name), 0)
    return membership_table


def send_heartbeats(membership_table, names, now_ms, *, excluded=()):
    for name in names:
        if name not in excluded:
            membership_table.on_heartbeat(member(name), False, now_ms)


def state(membership_table, name):
    return membership_table.state_of(name)[0]


def test_two_members_suspect_by_the_one_watcher():
    membership_table = table(["b"])
    membership_table.on_heartbeat(member("b"), False, 0)
    assert membership_table.tick(SUSPECT_MS) == []
    changes = membership_table.tick(SUSPECT_MS + 1)
    assert membership.Vote(member("b"), True) in changes
    assert state(membership_table, "b") is membership.PeerState.SUSPECT


def test_one_watchers_lost_link_does_not_make_a_member_dead():
    # M1: the link from d to a is cut one way. a votes against d, but the
    # other watchers still hear d, so d stays alive.
    names = ["b", "c", "d"]
    membership_table = table(names)
    watchers = overlay.watchers("d", ["a", *names])
    assert len(watchers) == 3
    for now_ms in range(0, 5000, 500):
        send_heartbeats(membership_table, names, now_ms, excluded=("d",))
        membership_table.tick(now_ms)
    assert state(membership_table, "d") is membership.PeerState.ALIVE
    other = [w for w in watchers if w != "a"][0]
    membership_table.on_vote(other, member("d").incarnation, True)
    membership_table.tick(5000)
    assert state(membership_table, "d") is membership.PeerState.SUSPECT


def test_a_flapping_member_is_not_believed_at_once_each_time():
    # M2: a member comes and goes every two seconds. Each return would make all
    # others replan; after some flaps it must stay longer to count as alive.
    membership_table = table(["b"])
    changes = 0
    for now_ms in range(0, 60_000, 100):
        if (now_ms // 2000) % 2 == 0:
            membership_table.on_heartbeat(member("b"), False, now_ms)
        actions = membership_table.tick(now_ms)
        changes += sum(isinstance(a, membership.BeliefChanged) for a in actions)
    assert changes <= 10


def test_a_new_incarnation_replaces_the_old_one():
    # L4: an instance comes back at its old address as another process.
    membership_table = table(["b"])
    membership_table.on_heartbeat(member("b"), True, 0)
    assert state(membership_table, "b") is membership.PeerState.LEAVING
    membership_table.on_heartbeat(member("b", started="2"), False, 10)
    assert state(membership_table, "b") is membership.PeerState.ALIVE
    membership_table.remove(member("b").incarnation)
    assert membership_table.state_of("b") is not None
    membership_table.remove(member("b", started="2").incarnation)
    assert membership_table.state_of("b") is None


def test_a_vote_on_an_earlier_incarnation_does_not_count():
    membership_table = table(["b"])
    membership_table.add_member(member("b", started="2"), 0)
    membership_table.on_vote("a", member("b").incarnation, True)
    membership_table.tick(1)
    assert state(membership_table, "b") is membership.PeerState.ALIVE


@pytest.mark.parametrize("size", [1, 2, 3, 8, 50, 273])
def test_the_overlay_is_connected_and_its_degree_bounded(size):
    members = {f"i{n}": member(f"i{n}") for n in range(size)}
    links = {name: set(overlay.stream_peers(name, members)) for name in members}
    degree = {name: len(out) for name, out in links.items()}
    for out in links.values():
        for other in out:
            degree[other] += 1
    reached = {"i0"}
    frontier = ["i0"]
    while frontier:
        current = frontier.pop()
        neighbours = links[current] | {
            n for n, out in links.items() if current in out
        }
        frontier.extend(neighbours - reached)
        reached |= neighbours
    assert len(reached) == size
    # Each instance watches others, so that none falls silent unnoticed.
    assert all(links.values()) or size == 1
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
