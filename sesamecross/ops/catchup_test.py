"""Tests of a replica that catches up: gaps, snapshots, reference replay."""

import random

import pytest

from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.core import records
from sesamecross.ops import catchup
from sesamecross.ops import replay
from sesamecross.utils import digest


def envelope(number, *entries):
    plain = tuple(codec.to_plain(entry) for entry in entries)
    return codec.encode(records.Envelope(f"a{number}", "w", plain))


def random_record(rng, number):
    me = data.Incarnation(f"i{rng.randrange(4)}", str(rng.randrange(3)))
    match rng.randrange(6):
        case 0:
            return records.LeaseTaken("z", me, rng.randrange(number + 1))
        case 1:
            return records.ClaimMade(
                f"c{number}",
                "caller",
                f"k{rng.randrange(5)}",
                "s",
                "d",
                me,
                counted=True,
            )
        case 2:
            answer = data.Answer(200, "t", b"x")
            claim = f"c{rng.randrange(number + 1)}"
            return records.ClaimSettled(claim, True, answer)
        case 3:
            return records.MemberJoined(data.Member(me, "z", "r", "a"))
        case 4:
            return records.DrainMarked("e", rng.random() < 0.5, "me")
    tree = {"regions": {f"r{rng.randrange(3)}": {}}}
    return records.ConfigPublished(
        f"p{number}", rng.randrange(3), "me", 1, tree, digest.of_tree(tree)
    )


def history(seed, length=120):
    """Returns payloads with snapshots, duplicate appends and invalid bytes."""
    rng = random.Random(seed)
    reference = replay.SharedState()
    payloads = []
    for number in range(length):
        kind = rng.random()
        if kind < 0.05 and reference.next_offset:
            payload = envelope(number, replay.snapshot(reference))
        elif kind < 0.1:
            payload = b"\x00 not an envelope"
        elif kind < 0.2 and payloads:
            payload = rng.choice(payloads)
        else:
            payload = envelope(number, random_record(rng, number))
        payloads.append(payload)
        reference.apply(number, payload)
    return payloads, reference


@pytest.mark.parametrize("seed", range(20))
def test_any_pages_and_any_start_reach_the_reference_state(seed):
    # An instance reads pages of any size, reads some records twice, and may
    # start after the first records have expired. It must reach the state of a
    # replay from the beginning, or report that it still needs a snapshot.
    payloads, reference = history(seed)
    rng = random.Random(seed)
    first = rng.choice((0, 0, rng.randrange(len(payloads))))
    replica = catchup.Replica(lambda applied_records: None)
    while True:
        start = max(first, replica.read_offset - rng.randrange(3))
        if replica.read_offset >= len(payloads):
            break
        size = rng.randrange(1, 20)
        replica.feed(start, tuple(payloads[start : start + size]))
    if replica.progress is catchup.CatchupState.FOLLOWING:
        assert replica.state.dump() == reference.dump()
    else:
        assert first > 0


def test_an_older_offer_changes_nothing():
    # C5: a peer offers a state that is older than the replica's own.
    payloads, reference = history(3)
    older = replay.SharedState()
    for offset, payload in enumerate(payloads[:50]):
        older.apply(offset, payload)
    replica = catchup.Replica(lambda applied_records: None)
    replica.feed(0, tuple(payloads))
    assert not replica.install_snapshot(replay.snapshot(older))
    assert replica.state.dump() == reference.dump()


def test_a_peers_state_crosses_a_gap():
    # C4: the records that this replica needs have expired and the log holds no
    # snapshot. A peer's state reaches up to what was read after the gap.
    payloads, reference = history(4)
    plain = [p for p in payloads if catchup.decode_snapshot(p) is None]
    peer = replay.SharedState()
    whole = replay.SharedState()
    for offset, payload in enumerate(plain):
        whole.apply(offset, payload)
        if offset < 60:
            peer.apply(offset, payload)
    replica = catchup.Replica(lambda applied_records: None)
    replica.feed(40, tuple(plain[40:]))
    assert replica.progress is catchup.CatchupState.SEEKING_SNAPSHOT
    assert replica.install_snapshot(replay.snapshot(peer))
    assert replica.state.dump() == whole.dump()


@pytest.mark.parametrize("place", [0, 10, -1])
def test_a_damaged_snapshot_is_refused(place):
    _, reference = history(5)
    snapshot = replay.snapshot(reference)
    broken = bytearray(snapshot.data)
    broken[place] ^= 0xFF
    replica = catchup.Replica(lambda applied_records: None)
    bad = records.StateSnapshot(snapshot.upto, snapshot.digest, bytes(broken))
    assert not replica.install_snapshot(bad)
    misnumbered = records.StateSnapshot(
        snapshot.upto + 5, snapshot.digest, snapshot.data
    )
    assert not replica.install_snapshot(misnumbered)
