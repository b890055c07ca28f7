"""Tests of what all instances of a deployment send each other.

All instances run on virtual time, with a few requests each at some of the
upstreams. Their numbers are those of small and of large deployments.
"""

import asyncio
import collections
import contextlib
import dataclasses

import msgspec
import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import ticker as ticker_lib

ZONES = 6
REGIONS = {f"z{zone}": f"r{zone % 3}" for zone in range(ZONES)}
# At the start, instances that have sent nothing yet may be taken for hubs.
SETTLE_S = 4.0
DURATION_S = 3.0
ONE_WAY_S = 0.001
# What an instance may spend on control at the size to design for.
CONTROL_BYTES_PER_S = 11_000
# An eighth of the smallest links, 20 Mbit/s, which also carry callers' answers.
MAX_HUB_BYTES_PER_S = 2_500_000 // 8


@dataclasses.dataclass(slots=True)
class _Traffic:
    """Datagrams and bytes by the instance that sent or received them."""

    sent: collections.Counter
    sent_bytes: collections.Counter
    received_bytes: collections.Counter


class _Transport:
    """Delivers datagrams to the other instances after the way there."""

    def __init__(self, name: str, fleet: "_Fleet"):
        self._name = name
        self._fleet = fleet

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        receiver = self._fleet.meshes[f"{address[0]}:{address[1]}"]
        traffic = self._fleet.traffic
        traffic.sent[self._name] += 1
        traffic.sent_bytes[self._name] += len(data)
        traffic.received_bytes[receiver.me.name] += len(data)
        loop = asyncio.get_running_loop()
        loop.call_later(ONE_WAY_S, receiver.on_datagram, data)


class _Fleet:
    """All instances of a deployment."""

    def __init__(self, instances: int, upstreams: int):
        self.traffic = _Traffic(*(collections.Counter() for _ in range(3)))
        self.meshes: dict[str, mesh_lib.Mesh] = {}
        members = tuple(
            fm.Member(
                f"front-z{number % ZONES}-{number}",
                1000 + number,
                f"z{number % ZONES}",
                f"10.0.{number // 200}.{number % 200}:7380",
                1,
                1,
            )
            for number in range(instances)
        )
        self._members = members
        self._upstreams = [
            f"i-{number * 2654435761 % 2**40:010x}"
            for number in range(upstreams)
        ]
        for number, me in enumerate(members):
            self.meshes[me.address] = self._mesh(number, me)

    def _mesh(self, number: int, me: fm.Member) -> mesh_lib.Mesh:
        state = state_lib.State(
            msgspec.structs.replace(
                samples.INSTANCE, zone=me.zone, regions=REGIONS
            )
        )
        for name in self._upstreams:
            state.directory.update_entry(
                serving.Upstream(name, "s", "10.9.0.9:80", "z1", 16, False, 1)
            )

        def report() -> fm.Report:
            # Three upstreams at a time; others each second.
            second = int(asyncio.get_running_loop().time())
            first = number + second
            loads = [
                fm.UpstreamLoad(
                    self._upstreams[(first + i) % len(self._upstreams)], 1, 600
                )
                for i in range(3)
            ]
            return fm.Report(me, 0, loads)

        ticker = ticker_lib.Ticker(number * 0.0137)
        return mesh_lib.Mesh(state, report, metrics_lib.Metrics(), ticker)

    async def run(self) -> None:
        """Counts the traffic of `DURATION_S`."""
        tasks = []
        for me in self._members:
            mesh = self.meshes[me.address]
            mesh.join(me, b"secret", self._members)
            mesh.transport = _Transport(me.name, self)
            tasks.append(asyncio.create_task(mesh.run()))
        await asyncio.sleep(SETTLE_S)
        self.traffic = _Traffic(*(collections.Counter() for _ in range(3)))
        await asyncio.sleep(DURATION_S)
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def hubs(self) -> set[str]:
        now_s = asyncio.get_running_loop().time()
        return {
            one.roster.hub_of(zone, now_s)
            for one in self.meshes.values()
            for zone in REGIONS
        }


@pytest.mark.parametrize(("instances", "upstreams"), [(8, 15), (195, 84)])
def test_traffic_between_instances_is_bounded(instances, upstreams):
    """Guards against control traffic that grows with the number of instances.

    Members exchange datagrams with their hub only, so what one sends and gets
    does not grow; what a hub sends is paced.
    """

    async def scenario() -> tuple[_Fleet, set[str]]:
        fleet = _Fleet(instances, upstreams)
        await fleet.run()
        return fleet, fleet.hubs()

    with asyncio.Runner(
        loop_factory=virtual_time_loop.VirtualTimeLoop
    ) as runner:
        fleet, hubs = runner.run(scenario())
    traffic = fleet.traffic
    assert len(hubs) == ZONES
    for mesh in fleet.meshes.values():
        name = mesh.me.name
        sent = traffic.sent_bytes[name] / DURATION_S
        received = traffic.received_bytes[name] / DURATION_S
        if name in hubs:
            assert sent < MAX_HUB_BYTES_PER_S
            continue
        assert traffic.sent[name] / DURATION_S <= 1 / ticker_lib.GRID_S
        assert sent + received < CONTROL_BYTES_PER_S
