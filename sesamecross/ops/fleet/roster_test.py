"""Tests of the roster, against a model that keeps nothing."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.fakes import call_count
from sesamecross.ops.fleet import roster as roster_lib
from sesamecross.utils import rendezvous

ZONES = ("west", "south", "east")


def member(name: str, incarnation: int = 1, zone: str = "") -> fm.Member:
    zone = zone or ZONES[sum(name.encode()) % len(ZONES)]
    return fm.Member(name, incarnation, zone, "127.0.0.1:1", 1, 1)


class _PlainRoster:
    """Computes each answer from all messages so far."""

    def __init__(self, me: fm.Member, now_s: float):
        self.me = me
        self.started_s = now_s
        self.members: dict[str, fm.Member] = {}
        self.heard_s: dict[str, float | None] = {}

    def hear(self, one: fm.Member, now_s: float | None) -> None:
        known = self.members.get(one.name)
        if one.name == self.me.name:
            return
        if known is not None and one.incarnation < known.incarnation:
            return
        if known is None or one.incarnation > known.incarnation:
            self.heard_s[one.name] = None
        self.members[one.name] = one
        if now_s is not None:
            self.heard_s[one.name] = now_s

    def forget(self, name: str) -> None:
        self.members.pop(name, None)
        self.heard_s.pop(name, None)

    def alive(self, now_s: float) -> list[fm.Member]:
        return [
            self.members[name]
            for name in sorted(self.members)
            if self.heard_s[name] is not None
            and now_s - self.heard_s[name] < roster_lib.LIVENESS_TIMEOUT_S
        ]

    def hub_of(self, zone: str, now_s: float) -> str | None:
        is_early = now_s - self.started_s < roster_lib.STARTUP_GRACE_S
        names = {one.name for one in self.alive(now_s) if one.zone == zone}
        names |= {
            name
            for name, heard_s in self.heard_s.items()
            if is_early and heard_s is None and self.members[name].zone == zone
        }
        if zone == self.me.zone:
            names.add(self.me.name)
        return next(iter(rendezvous.top(f"hub/{zone}", names, 1)), None)


_NAMES = st.sampled_from([f"front-{number}" for number in range(8)])
_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["heartbeat", "registered", "forget", "nothing"]),
        _NAMES,
        st.integers(1, 3),
        st.sampled_from(["", *ZONES]),
        st.sampled_from([0.0, 0.1, 0.4, 0.8, 1.6, 3.0]),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(steps=_STEPS)
def test_what_is_kept_never_differs_from_what_messages_say(steps):
    """Guards against a dead hub, or a live one left out, by old results."""
    me = member("front-0")
    roster = roster_lib.Roster(me, 0.0)
    plain = _PlainRoster(me, 0.0)
    now_s = 0.0
    versions: dict[int, list] = {}
    for kind, name, incarnation, zone, pause_s in steps:
        now_s += pause_s
        one = member(name, incarnation, zone)
        if kind == "heartbeat":
            roster.on_heartbeat(one, now_s)
            plain.hear(one, now_s)
        elif kind == "registered":
            roster.registered([one])
            plain.hear(one, None)
        elif kind == "forget":
            roster.forget(name)
            plain.forget(name)
        alive = plain.alive(now_s)
        assert roster.alive(now_s) == alive
        assert roster.count_alive(now_s) == len(alive)
        silent = {one.name for one in roster.silent(now_s)}
        assert silent == set(plain.members) - {one.name for one in alive}
        for one_zone in ZONES:
            assert roster.hub_of(one_zone, now_s) == plain.hub_of(
                one_zone, now_s
            )
        identities = [(one.name, one.incarnation, one.zone) for one in alive]
        version = roster.version(now_s)
        assert versions.setdefault(version, identities) == identities


@pytest.mark.parametrize("count", [8, 195, 273])
def test_asking_costs_no_hashes_while_nobody_starts_or_stops(
    count, monkeypatch
):
    """Guards against work for each peer in each round of a large deployment."""
    hashed = []
    real = rendezvous.weight
    monkeypatch.setattr(
        rendezvous, "weight", lambda *key: hashed.append(key) or real(*key)
    )
    members = [member(f"front-{number}") for number in range(count)]
    roster = roster_lib.Roster(members[0], 0.0)
    for one in members:
        roster.on_heartbeat(one, 4.0)
    for zone in ZONES:
        roster.hub_of(zone, 4.0)
    assert hashed
    hashed.clear()
    for round_number in range(100):
        now_s = 4.0 + 0.1 * round_number
        if round_number % 4 == 0:
            for one in members:
                roster.on_heartbeat(one, now_s)
        for zone in ZONES:
            roster.hub_of(zone, now_s)
    assert not hashed


def test_a_list_of_heartbeats_is_the_same_as_single_ones():
    """Guards against a short cut that misses a new, changed or silent one."""
    rng = random.Random(5)
    me = member("front-1", zone="z1")
    single = roster_lib.Roster(me, 0.0)
    listed = roster_lib.Roster(me, 0.0)
    for step in range(400):
        now_s = step * 0.3
        members = [
            fm.Member(
                f"front-{rng.randrange(1, 6)}",
                1 + rng.randrange(1 + step // 100),
                f"z{rng.randrange(10) // 9}",
                "h:1",
                rng.randrange(step + 1),
                rng.randrange(step + 1),
            )
            for _ in range(rng.randrange(4))
        ]
        for each in members:
            single.on_heartbeat(each, now_s)
        listed.on_heartbeats(members, now_s)
        for one in ("z0", "z1"):
            assert single.hub_of(one, now_s) == listed.hub_of(one, now_s)
        assert single.alive(now_s) == listed.alive(now_s)
        assert single.version(now_s) == listed.version(now_s)
        assert single.furthest_upstreams == listed.furthest_upstreams
        assert single.furthest_configuration == listed.furthest_configuration


def test_instances_that_live_on_cost_no_call_each():
    """Guards against views whose cost grows with the number of instances."""
    roster = roster_lib.Roster(member("front-0"), 0.0)
    members = [member(f"front-{number}") for number in range(1, 195)]
    roster.on_heartbeats(members, 1.0)
    assert roster.count_alive(1.0) == 194
    calls = call_count.calls_of(lambda: roster.on_heartbeats(members, 1.4))
    assert calls <= 2
    assert roster.count_alive(2.9) == 194
