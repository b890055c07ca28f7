"""Tests of a steward that is cut off from the engines of its zone."""

import asyncio
import types

import pytest
from returns.result import Failure
from returns.result import Success

from sesamecross.core import clock
from sesamecross.core import data
from sesamecross.core import messages
from sesamecross.core import records
from sesamecross.ops import gossip
from sesamecross.ops import timeline
from sesamecross.ports import engine_http
from sesamecross.steward import engine_poller
from sesamecross.steward import lease_manager
from sesamecross.steward import peer_links as peer_links_lib

ZONE = "z1"
NAMES = ("s1", "s2", "s3")


def member(name: str) -> data.Member:
    return data.Member(data.Incarnation(name, "x"), ZONE, "r1", "127.0.0.1:1")


def engine(name: str) -> data.Upstream:
    return data.Upstream(
        name, data.UpstreamKind.ENGINE, ZONE, "http://e", 1000, 1, False, 4
    )


class Zone:
    """Stewards of a zone, of which some are cut off from all engines."""

    def __init__(self, names=NAMES, engines=("e1", "e2", "e3", "e4")):
        self.cut_off: set[str] = set()
        self.dead: set[str] = set()
        self.store = gossip.ItemStore(ZONE)
        self.links = {name: self._peer_links(name, names) for name in names}
        declared = types.SimpleNamespace(
            engines=lambda: [engine(name) for name in engines]
        )
        state = types.SimpleNamespace(
            config=types.SimpleNamespace(declarations=declared)
        )
        self.pollers = {
            name: engine_poller.EnginePoller(
                member(name),
                types.SimpleNamespace(state=state),
                self.store,
                self.links[name]._membership,
                types.SimpleNamespace(
                    status=lambda upstream, _url, name=name: self._status(
                        name, upstream
                    )
                ),
                timeline.Recorder(name, ZONE, clock.SystemClock()),
                1000,
                self.links[name],
            )
            for name in names
        }

    def _peer_links(self, name, names) -> peer_links_lib.PeerLinks:
        links = object.__new__(peer_links_lib.PeerLinks)
        links._me = member(name)
        links._membership = types.SimpleNamespace(
            alive_in_zone=lambda: sorted(names)
        )
        links._last_heartbeats = {}
        links.reaches_engines = True
        return links

    def _status(self, steward, upstream):
        if steward in self.cut_off or upstream in self.dead:
            return Failure(None)
        report = data.UpstreamReport(upstream, "ep", 1, True, False)
        return Success(engine_http.EngineStatus(report, {}, 0))

    def run(self, rounds: int) -> None:
        """Lets all stewards poll, and tell each other, some times."""

        async def poll_all() -> None:
            for poller in self.pollers.values():
                polled = poller._assigned_upstreams()
                for upstream in polled:
                    await poller.poll(upstream)
                poller._update_reach(polled)

        for _ in range(rounds):
            asyncio.run(poll_all())
            for name, links in self.links.items():
                for other in self.links.values():
                    other._last_heartbeats[name] = messages.Heartbeat(
                        member(name),
                        1,
                        0,
                        0,
                        True,
                        False,
                        reaches_engines=links.reaches_engines,
                    )
                links._last_heartbeats.pop(name)

    def reachable(self) -> dict[str, bool]:
        """Returns what the zone's reports say of each engine."""
        poller = self.pollers[NAMES[0]]
        return {one.upstream: one.reachable for one in poller.reports()}


@pytest.mark.parametrize("cut_off", [{"s1"}, {"s2", "s3"}])
def test_a_cut_off_steward_does_not_make_sound_engines_unreachable(cut_off):
    """Guards against one steward's cut that stops calls to engines for all."""
    zone = Zone()
    zone.run(2)
    zone.cut_off = cut_off
    # Those that poll in the place of others may turn out to be cut off too.
    zone.run(len(cut_off) * engine_poller.UNREACHABLE_AFTER_FAILURES + 2)
    assert set(zone.reachable().values()) == {True}
    polls = [name for name in cut_off if not zone.links[name].reaches_engines]
    assert polls
    zone.cut_off = set()
    zone.run(2)
    assert all(links.reaches_engines for links in zone.links.values())


def test_a_dead_engine_is_unreachable_and_no_steward_takes_itself_for_cut_off():
    zone = Zone()
    zone.run(1)
    zone.dead = {"e1"}
    zone.run(2 * engine_poller.UNREACHABLE_AFTER_FAILURES)
    assert zone.reachable() == {
        "e1": False,
        "e2": True,
        "e3": True,
        "e4": True,
    }


def test_engines_that_nobody_reaches_are_unreachable():
    """Guards against stewards that all wait for another one's word."""
    zone = Zone()
    zone.run(1)
    zone.dead = {"e1", "e2", "e3", "e4"}
    zone.run(3 * engine_poller.UNREACHABLE_AFTER_FAILURES)
    assert set(zone.reachable().values()) == {False}


@pytest.mark.parametrize(
    ("reaches", "others_reach", "released"),
    [
        pytest.param(True, True, False, id="sound"),
        pytest.param(False, True, True, id="cut off"),
        pytest.param(False, False, False, id="nobody reaches the engines"),
    ],
)
def test_a_cut_off_steward_gives_up_the_lease(reaches, others_reach, released):
    """Guards against a lease whose holder's orders reach no engine."""
    zone = Zone()
    links = zone.links["s1"]
    links.reaches_engines = reaches
    for name in ("s2", "s3"):
        links._last_heartbeats[name] = messages.Heartbeat(
            member(name), 1, 0, 0, True, False, reaches_engines=others_reach
        )
    lease = types.SimpleNamespace(
        zone=ZONE, holder=member("s1").incarnation, offset=7
    )
    submitted = []
    manager = object.__new__(lease_manager.LeaseManager)
    manager._me = member("s1")
    manager._peer_links = links
    manager._membership = links._membership
    manager._replica = types.SimpleNamespace(
        state=types.SimpleNamespace(
            leases=types.SimpleNamespace(leases={ZONE: lease})
        )
    )
    manager._writer = types.SimpleNamespace(
        reachable=True, submit=submitted.append
    )
    manager._logger = types.SimpleNamespace(warning=lambda *_, **__: None)
    manager._renewed_ms = 0
    manager._renew_interval_ms = 100
    manager._yielded_offset = -1
    manager._tick(1000)
    expected = records.LeaseReleased if released else records.LeaseRenewed
    assert [type(record) for record in submitted] == [expected]
