"""Tests of what a hub sends where there are many instances and upstreams.

The pattern: a zone of 15 instances, 87 in all before 68 upstreams, on links of
5 Mbit/s that carry callers' answers as well.
"""

import asyncio

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import jumping_loop
from sesamecross.fakes import samples
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import roster as roster_lib
from sesamecross.runtime import metrics as metrics_lib

LINK_BYTES_PER_S = 625_000
# Of the link, for all that a hub tells its members.
MOST_SHARE = 0.25
# Requests last seconds: what runs at an upstream is told at least so often.
TOLD_S = 0.35
MEMBERS = 15
UPSTREAMS = 68
PLAYED_S = 4.0


class _Transport:
    """Takes datagrams, and remembers when each member got one."""

    def __init__(self) -> None:
        self.bytes = 0
        self.told_s: dict[tuple, list[float]] = {}
        self.data: dict[tuple, bytes] = {}

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple) -> None:
        self.bytes += len(data)
        now_s = asyncio.get_running_loop().time()
        self.told_s.setdefault(address, []).append(now_s)
        self.data[address] = data


def member(zone: int, number: int) -> fm.Member:
    return fm.Member(
        f"front-z{zone}-a-{number}",
        1000 + number,
        f"z{zone}",
        f"10.{zone}.0.{number}:7380",
        12,
        104_211 + number,
    )


def loads(running: int) -> list[fm.UpstreamLoad]:
    """Returns loads at upstreams whose ids have nothing in common."""
    return [
        fm.UpstreamLoad(f"i-{number * 2654435761 % 2**40:010x}", running, 790)
        for number in range(UPSTREAMS)
    ]


def demand(number: int) -> list[fm.TargetDemand]:
    return [
        fm.TargetDemand("writers", f"m{one}", 0.4, 0, 0.2, 1.7, 0.03)
        for one in range(number, number + 20)
    ]


def hub() -> tuple[mesh_lib.Mesh, _Transport]:
    """Returns a hub that has heard all others once."""
    mesh = mesh_lib.Mesh(
        state_lib.State(samples.INSTANCE),
        lambda: fm.Report(member(1, 1), 0, loads(1)),
        metrics_lib.Metrics(),
    )
    mesh.join(member(1, 1), b"secret", ())
    transport = _Transport()
    mesh.transport = transport
    return mesh, transport


def hear_all(mesh: mesh_lib.Mesh, number: int) -> None:
    """All members report, and the hubs of five other zones."""
    now_s = asyncio.get_running_loop().time()
    for one in range(2, MEMBERS + 1):
        report = fm.Report(member(1, one), number, loads(1), [], demand(one))
        mesh.roster.heard(report.me, now_s)
        mesh._reports.take(report, now_s)
    for zone in range(2, 7):
        members = [member(zone, one) for one in range(1, MEMBERS + 1)]
        summary = fm.Summary(members[0], number, members, loads(3))
        for one in members:
            mesh.roster.heard(one, now_s)
        mesh._summaries.take(summary, now_s)


def play(monkeypatch) -> tuple[mesh_lib.Mesh, _Transport]:
    async def run() -> tuple[mesh_lib.Mesh, _Transport]:
        mesh, transport = hub()
        monkeypatch.setattr(mesh, "_is_hub", lambda now_s: True)
        monkeypatch.setattr(
            roster_lib.Roster, "hub_of", lambda *_: mesh.me.name
        )
        running = asyncio.create_task(mesh.run())
        for number in range(round(PLAYED_S / 0.2)):
            hear_all(mesh, number + 1)
            await asyncio.sleep(0.2)
        running.cancel()
        return mesh, transport

    with asyncio.Runner(loop_factory=jumping_loop.JumpingLoop) as runner:
        return runner.run(run())


def test_a_hub_leaves_a_slow_link_to_callers(monkeypatch):
    """Guards against views that fill a hub's link and are lost."""
    _, transport = play(monkeypatch)
    assert transport.bytes <= PLAYED_S * LINK_BYTES_PER_S * MOST_SHARE


def test_members_hear_of_loads_every_few_tenths(monkeypatch):
    """Guards against requests sent by a view in which engines seem idle."""
    _, transport = play(monkeypatch)
    assert len(transport.told_s) == MEMBERS - 1
    for told_s in transport.told_s.values():
        pauses = [b - a for a, b in zip(told_s, told_s[1:], strict=False)]
        assert max(pauses) <= TOLD_S


def test_a_view_says_what_it_said_before_it_was_packed(monkeypatch):
    hub_mesh, transport = play(monkeypatch)

    async def hear() -> mesh_lib.Mesh:
        mesh = mesh_lib.Mesh(
            state_lib.State(samples.INSTANCE),
            lambda: fm.Report(member(1, 2), 0, loads(1)),
            metrics_lib.Metrics(),
        )
        mesh.join(member(1, 2), b"secret", ())
        mesh.received(transport.data["10.1.0.2", 7380])
        return mesh

    heard = asyncio.run(hear())
    assert heard.roster.get(hub_mesh.me.name) == hub_mesh.me


@pytest.mark.parametrize("asks", [0, 20, 1000])
def test_own_requests_are_not_counted_as_the_others(monkeypatch, asks):
    """Guards against own requests counted twice at a busy instance."""
    name = loads(1)[0].upstream

    async def run() -> float:
        state = state_lib.State(samples.INSTANCE)
        state.directory.update_entry(
            serving.Upstream(name, "s", "10.0.0.9:80", "z1", 8, False, 1), 0.0
        )
        mesh = mesh_lib.Mesh(
            state,
            lambda: fm.Report(member(1, 2), 0, loads(3)),
            metrics_lib.Metrics(),
        )
        mesh.join(member(1, 2), b"secret", (member(1, 1),))
        mesh.transport = _Transport()
        now_s = asyncio.get_running_loop().time()
        mesh.roster.heard(member(1, 1), now_s)
        monkeypatch.setattr(
            roster_lib.Roster, "hub_of", lambda *_: member(1, 1).name
        )
        mesh._tell_hub(now_s)
        number = mesh._last_report.number
        for _ in range(asks):
            mesh.next_number()
        mesh._last_report = None
        mesh._tell_hub(now_s)
        taken = {member(1, 2).name: number}
        view = fm.View(member(1, 1), 9, taken, [], loads(5))
        mesh._on_view(view, now_s)
        return state.directory.get(name).others_running

    assert asyncio.run(run()) == 2
