"""Tests of what a hub sends with many instances and upstreams.

The deployment: a zone of 15 instances, 87 instances in all and 68 upstreams, on
links of 5 Mbit/s that also carry answers to callers.
"""

import asyncio

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import report_totals
from sesamecross.ops.fleet import roster as roster_lib
from sesamecross.runtime import metrics as metrics_lib

LINK_BYTES_PER_S = 625_000
# The share of the link that a hub may use for its members.
MAX_LINK_SHARE = 0.25
# The longest pause between views. Requests last for seconds, so loads this old
# are still useful.
MAX_VIEW_PAUSE_S = 0.35
MEMBERS = 15
UPSTREAMS = 68
DURATION_S = 4.0


class _Transport:
    """Accepts datagrams, and records when each member got one."""

    def __init__(self) -> None:
        self.bytes = 0
        self.sent_at_s: dict[tuple, list[float]] = {}
        self.data: dict[tuple, bytes] = {}

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple) -> None:
        self.bytes += len(data)
        now_s = asyncio.get_running_loop().time()
        self.sent_at_s.setdefault(address, []).append(now_s)
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
    """Returns loads at upstreams with dissimilar ids."""
    return [
        fm.UpstreamLoad(f"i-{number * 2654435761 % 2**40:010x}", running, 790)
        for number in range(UPSTREAMS)
    ]


def demand(number: int) -> list[fm.TargetDemand]:
    return [
        fm.TargetDemand("writers", f"m{model}", 0.4, 0, 0.2, 1.7, 0.03)
        for model in range(number, number + 20)
    ]


def hub() -> tuple[mesh_lib.Mesh, _Transport]:
    """Returns a hub that knows only itself."""
    mesh = mesh_lib.Mesh(
        state_lib.State(samples.INSTANCE),
        lambda: fm.Report(member(1, 1), 0, loads(1)),
        metrics_lib.Metrics(),
    )
    mesh.join(member(1, 1), b"secret", ())
    transport = _Transport()
    mesh.transport = transport
    return mesh, transport


def deliver_all(mesh: mesh_lib.Mesh, number: int) -> None:
    """Takes in reports of all members and summaries of five other hubs."""
    now_s = asyncio.get_running_loop().time()
    for index in range(2, MEMBERS + 1):
        report = fm.Report(
            member(1, index), number, loads(1), [], demand(index)
        )
        mesh.roster.on_heartbeat(report.me, now_s)
        mesh._reports.take(report, now_s)
    for zone in range(2, 7):
        members = [member(zone, index) for index in range(1, MEMBERS + 1)]
        summary = fm.Summary(members[0], number, members, loads(3))
        for each in members:
            mesh.roster.on_heartbeat(each, now_s)
        mesh._summaries.take(summary, now_s)


def run_hub(monkeypatch) -> tuple[mesh_lib.Mesh, _Transport]:
    async def run() -> tuple[mesh_lib.Mesh, _Transport]:
        mesh, transport = hub()
        monkeypatch.setattr(mesh, "_is_hub", lambda now_s: True)
        monkeypatch.setattr(
            roster_lib.Roster, "hub_of", lambda *_: mesh.me.name
        )
        running = asyncio.create_task(mesh.run())
        for number in range(round(DURATION_S / 0.2)):
            deliver_all(mesh, number + 1)
            await asyncio.sleep(0.2)
        running.cancel()
        return mesh, transport

    with asyncio.Runner(
        loop_factory=virtual_time_loop.VirtualTimeLoop
    ) as runner:
        return runner.run(run())


def test_hub_leaves_most_of_a_slow_link_to_callers(monkeypatch):
    """Guards against views that fill a hub's link and are lost."""
    _, transport = run_hub(monkeypatch)
    assert transport.bytes <= DURATION_S * LINK_BYTES_PER_S * MAX_LINK_SHARE


def test_members_get_loads_every_few_tenths_of_a_second(monkeypatch):
    """Guards against routing by an outdated view in which engines seem idle."""
    _, transport = run_hub(monkeypatch)
    assert len(transport.sent_at_s) == MEMBERS - 1
    for sent_at_s in transport.sent_at_s.values():
        pauses = [b - a for a, b in zip(sent_at_s, sent_at_s[1:], strict=False)]
        assert max(pauses) <= MAX_VIEW_PAUSE_S


def test_view_survives_encoding(monkeypatch):
    hub_mesh, transport = run_hub(monkeypatch)

    async def receive() -> mesh_lib.Mesh:
        mesh = mesh_lib.Mesh(
            state_lib.State(samples.INSTANCE),
            lambda: fm.Report(member(1, 2), 0, loads(1)),
            metrics_lib.Metrics(),
        )
        mesh.join(member(1, 2), b"secret", ())
        mesh.on_datagram(transport.data["10.1.0.2", 7380])
        return mesh

    receiver = asyncio.run(receive())
    assert receiver.roster.get(hub_mesh.me.name) == hub_mesh.me


@pytest.mark.parametrize("skipped_numbers", [0, 20, 1000])
def test_own_requests_are_not_counted_as_those_of_others(
    monkeypatch, skipped_numbers
):
    """Guards against own requests that are counted twice on a busy instance."""
    name = loads(1)[0].upstream

    async def run() -> float:
        state = state_lib.State(samples.INSTANCE)
        state.directory.update_entry(
            serving.Upstream(name, "s", "10.0.0.9:80", "z1", 8, False, 1)
        )
        mesh = mesh_lib.Mesh(
            state,
            lambda: fm.Report(member(1, 2), 0, loads(3)),
            metrics_lib.Metrics(),
        )
        mesh.join(member(1, 2), b"secret", (member(1, 1),))
        mesh.transport = _Transport()
        now_s = asyncio.get_running_loop().time()
        mesh.roster.on_heartbeat(member(1, 1), now_s)
        monkeypatch.setattr(
            roster_lib.Roster, "hub_of", lambda *_: member(1, 1).name
        )
        mesh._report_to_hub(now_s)
        number = mesh._last_report.number
        for _ in range(skipped_numbers):
            mesh.next_number()
        mesh._last_report = None
        mesh._report_to_hub(now_s)
        taken = {member(1, 2).name: number}
        view = fm.View(member(1, 1), 9, taken, [], loads(5))
        mesh._on_view(view, now_s)
        return state.directory.get(name).others_running

    assert asyncio.run(run()) == 2


def test_bytes_sent_are_counted(monkeypatch):
    """Guards against a hub whose link fills while its metrics show nothing."""
    mesh, transport = run_hub(monkeypatch)
    text, _ = mesh._metrics.render()
    counted = [
        float(line.split()[-1])
        for line in text.decode().splitlines()
        if line.startswith("sesamecross_datagram_bytes_sent_total")
    ]
    assert counted == [transport.bytes]


def test_views_need_no_demand_if_the_holder_is_in_another_zone(monkeypatch):
    """Guards against work whose result no instance of the zone uses."""
    added = []
    monkeypatch.setattr(
        report_totals, "_add_demand", lambda *entry: added.append(entry)
    )

    async def run() -> None:
        mesh, _ = hub()
        deliver_all(mesh, 1)
        holder = member(2, 1)
        lease = fm.LeaseAnnouncement(holder.name, holder.incarnation, 1, 9.0)
        mesh.update_lease(lease, asyncio.get_running_loop().time())
        for _ in range(5):
            now_s = asyncio.get_running_loop().time()
            mesh._update_zone(now_s)
            await asyncio.sleep(mesh_lib.MAX_VIEW_INTERVAL_S)
        assert mesh._state.fleet_totals.running

    with asyncio.Runner(
        loop_factory=virtual_time_loop.VirtualTimeLoop
    ) as runner:
        runner.run(run())
    assert not added
