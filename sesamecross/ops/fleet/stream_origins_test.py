"""Tests of where streams began, and of which instances keep it."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.ops.fleet import stream_origins

V1 = stream_origins.StreamOrigin("s", "v1")
V2 = stream_origins.StreamOrigin("s", "v2")


def key(number: int) -> bytes:
    return stream_origins.stream_key("a.example", f"{number:x}")


def members(count: int, zones: int = 3) -> list[fm.Member]:
    return [
        fm.Member(f"front-{n}", 1, f"z{n % zones}", f"10.0.0.{n}:1", -1, -1)
        for n in range(count)
    ]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    events=st.lists(
        st.tuples(
            st.floats(0, 5), st.integers(0, 3), st.sampled_from((V1, V2))
        ),
        max_size=40,
    )
)
def test_a_stream_never_has_two_versions(events):
    """Guards against an id that stands for streams of two versions."""
    table = stream_origins.OriginTable()
    now_s = 0.0
    # By number, what was recorded since it was last unknown.
    recorded: dict[int, tuple[set, float]] = {}
    for pause_s, number, origin in events:
        now_s += pause_s
        found = table.find(key(number), now_s)
        origins, expires_s = recorded.get(number, (set(), 0.0))
        if found is None:
            assert expires_s <= now_s
            origins = set()
        else:
            assert {found.origin} == (origins if len(origins) == 1 else {None})
        table.record(key(number), origin, now_s, 10.0)
        recorded[number] = (origins | {origin}, now_s + 10.0)


def test_origins_are_bounded(monkeypatch):
    """Guards against callers that fill the memory of an instance."""
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 10)
    table = stream_origins.OriginTable()
    for number in range(25):
        table.record(key(number), V1, 0.0, 30.0)
    assert len(table) == 10
    assert table.dropped == 15
    assert table.find(key(24), 1.0).origin == V1
    assert list(table.live(31.0)) == []
    assert len(table) == 0


def test_ids_of_any_length_and_host_have_keys_of_their_own():
    """Guards against a caller that reaches a stream of another host."""
    keys = {
        stream_origins.stream_key(host, attempt_id)
        for host in ("a.example", "b.example")
        for attempt_id in ("1", "x" * 100_000, "é")
    }
    assert len(keys) == 6
    assert {len(one) for one in keys} == {16}


@pytest.mark.parametrize("count", [8, 87, 195])
def test_keepers_stand_in_several_zones_and_move_little(count):
    """Guards against keepers that are lost with one zone, or all at once."""
    ring = stream_origins.KeeperRing(members(count))
    smaller = stream_origins.KeeperRing(members(count)[:-1])
    moved = 0
    for number in range(500):
        found = ring.keepers(key(number), "front-0")
        assert len({member.zone for member in found}) >= 2
        assert len({member.name for member in found}) == 4
        later = smaller.keepers(key(number), "front-0")
        lost = {one.name for one in found} - {one.name for one in later}
        # Only the instance that is gone is replaced.
        assert lost <= {f"front-{count - 1}"}
        moved += len(lost)
    assert moved / (500 * stream_origins.KEEPERS) < 4 / count


@pytest.mark.parametrize("count", [1, 2, 3])
def test_a_small_deployment_uses_all_it_has(count):
    ring = stream_origins.KeeperRing(members(count, zones=1))
    assert len(ring.keepers(key(1), "front-0")) == count - 1


@pytest.mark.parametrize("count", [8, 87, 195])
def test_most_origins_survive_the_death_of_half_of_the_instances(count):
    """Guards against streams that nobody can place after many kills."""
    rng = random.Random(count)
    everybody = members(count)
    ring = stream_origins.KeeperRing(everybody)
    known = 0
    streams = 2000
    for number in range(streams):
        began = rng.choice(everybody)
        dead = {one.name for one in rng.sample(everybody, count // 2)}
        living = [one for one in everybody if one.name not in dead]
        has = {one.name for one in ring.keepers(key(number), began.name)}
        asker = rng.choice(living)
        after = stream_origins.KeeperRing(living)
        asked = {
            one.name
            for one in after.keepers(
                key(number), asker.name, stream_origins.ASKED_KEEPERS
            )
        }
        known += bool((has | {began.name}) & (asked | {asker.name}) - dead)
    assert known / streams > 0.92
