"""Tests of datagrams that come from anyone on the network."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.fakes import samples
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.runtime import metrics as metrics_lib

SECRET = b"s" * 32
PEER = fm.Member("front-2", 5, "z1", "10.0.0.2:7380", 3, 104)
LEASE = fm.LeaseAnnouncement("front-2", 5, 9, 2.0)
MESSAGES = [
    fm.Report(PEER, 1, [fm.UpstreamLoad("u1", 2, 30)], lease=LEASE),
    fm.Summary(PEER, 1, [PEER], [fm.UpstreamLoad("u1", 2, 30)], lease=LEASE),
    fm.View(PEER, 1, {"front-1": 1}, [PEER], lease=LEASE),
    fm.Placement(PEER, 1, 9, [fm.EnginePlacement("u1", 7, 3, ["m"], [], [])]),
    fm.PlacementRequest(PEER, 1, "s", "m", ""),
    fm.AdmissionRequest(PEER, 1, "u1", 300, 0.1, 2.0),
    fm.AdmissionReply(PEER, 1, fm.AdmissionDecision.SEND),
    fm.AdmissionRelease(PEER, 1, "u1"),
    fm.LeaseRelease(PEER, 1, LEASE),
    fm.OriginRecord(PEER, 1, [fm.Origin(b"k" * 16, "s", "v1", 30.0)]),
    fm.OriginQuery(PEER, 1, b"k" * 16, ["s"], 30.0),
    fm.OriginReply(PEER, 1, True, "s", "v1", 0.5),
]


class Door:
    """A mesh, and all that a datagram can change in it."""

    def __init__(self):
        self.mesh = mesh_lib.Mesh(
            state_lib.State(samples.INSTANCE),
            lambda: fm.Report(samples.MEMBER, 0),
            metrics_lib.Metrics(),
        )
        self.mesh.join(samples.MEMBER, SECRET, ())
        self.heard = []
        self.mesh.add_listener(self.heard.append)

    def datagram(self, message: fm.Message, secret: bytes = SECRET) -> bytes:
        own, self.mesh._secret = self.mesh._secret, secret
        data = self.mesh._encode(message)
        self.mesh._secret = own
        return data

    def changed(self) -> tuple:
        """Returns what a message of a peer would change."""
        return (
            self.mesh.roster.get(PEER.name),
            self.mesh.lease,
            list(self.heard),
        )


def run(scenario) -> None:
    async def inside() -> None:
        scenario(Door())

    asyncio.run(inside())


NOTHING = (None, None, [])


def ids(message: fm.Message) -> str:
    return type(message).__name__


@pytest.mark.parametrize("message", MESSAGES, ids=ids)
def test_a_datagram_under_another_key_changes_nothing(message):
    """Guards against forged views, leases and placements."""

    def scenario(door: Door) -> None:
        for secret in (b"", b"t" * 32, SECRET[:-1]):
            door.mesh.on_datagram(door.datagram(message, secret))
        assert door.changed() == NOTHING
        door.mesh.on_datagram(door.datagram(message))
        assert door.changed() != NOTHING

    run(scenario)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    message=st.sampled_from(MESSAGES),
    cut=st.integers(0, 400),
    flipped=st.integers(0, 4000),
    added=st.binary(max_size=20),
)
def test_a_datagram_that_was_changed_on_the_way_changes_nothing(
    message, cut, flipped, added
):
    """Guards against cut, altered and lengthened datagrams."""

    def scenario(door: Door) -> None:
        whole = door.datagram(message)
        altered = bytearray(whole)
        altered[flipped // 8 % len(whole)] ^= 1 << flipped % 8
        for data in (whole[:cut], bytes(altered), whole + added, added):
            if data != whole:
                door.mesh.on_datagram(data)
        assert door.changed() == NOTHING

    run(scenario)


@pytest.mark.parametrize("message", MESSAGES[:4], ids=ids)
def test_a_replayed_datagram_of_an_earlier_start_changes_nothing(message):
    """Guards against a captured datagram that brings a dead instance back."""

    def scenario(door: Door) -> None:
        old = door.datagram(message)
        later = msgspec.structs.replace(PEER, incarnation=6)
        news = fm.Report(later, 1)
        door.mesh.on_datagram(door.datagram(news))
        before = door.changed()
        for _ in range(3):
            door.mesh.on_datagram(old)
        assert door.changed() == before

    run(scenario)


def test_a_replayed_placement_is_passed_on_once():
    """Guards against one captured datagram that a hub multiplies."""

    def scenario(door: Door) -> None:
        data = door.datagram(MESSAGES[3])
        for _ in range(10):
            door.mesh.on_datagram(data)
        assert len(door.heard) == 1

    run(scenario)
