"""All applications of a deployment in one process, on virtual time.

Store and upstreams are left out: the upstreams are known from the start, and
requests only change what instances report. What remains is what instances do
for each other.
"""

import asyncio
import dataclasses
import random

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.gateway import app as app_lib
from sesamecross.gateway import follower
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.platform import program
from sesamecross.platform import settings

ZONES = 6
REGIONS = {f"z{zone}": f"r{zone % 3}" for zone in range(ZONES)}
ONE_WAY_S = 0.001
MODELS = 200
REQUEST_S = 1.5
# Components that call the store or listen on sockets.
_NOT_PERIODIC = frozenset(
    {"front", "ready", "metrics", "joiner", "sync", "reloader"}
)


class _Transport:
    """Delivers datagrams to the other instances."""

    def __init__(self, meshes: dict[str, mesh_lib.Mesh]):
        self._meshes = meshes

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        receiver = self._meshes[f"{address[0]}:{address[1]}"]
        loop = asyncio.get_running_loop()
        loop.call_later(ONE_WAY_S, receiver.on_datagram, data)


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The size of a deployment; `rate` is in requests/s per instance."""

    instances: int
    engines: int
    rate: float


def _member(number: int) -> fm.Member:
    zone = f"z{number % ZONES}"
    address = f"10.0.{number // 200}.{number % 200}:7380"
    return fm.Member(f"front-{number}", 1000 + number, zone, address, -1, -1)


def _upstream(number: int) -> serving.Upstream:
    name = f"i-{number * 2654435761 % 2**40:010x}"
    zone = f"z{number % ZONES}"
    return serving.Upstream(name, "s", "10.9.0.9:80", zone, 16, False, 1)


class Fleet:
    """The applications of a deployment, on virtual time."""

    def __init__(self, size: Deployment):
        self._size = size
        self._rng = random.Random(1)
        self._meshes: dict[str, mesh_lib.Mesh] = {}
        self._tasks: list[asyncio.Task] = []
        members = tuple(_member(number) for number in range(size.instances))
        for me in members:
            self._start(me, members)

    def _start(self, me: fm.Member, members: tuple[fm.Member, ...]) -> None:
        gateway = app_lib.GatewayApp.from_config(
            msgspec.structs.replace(
                samples.INSTANCE, name=me.name, zone=me.zone, regions=REGIONS
            ),
            program.adapter(),
            settings.SettingsFile(""),
        )
        for number in range(self._size.engines):
            gateway.state.directory.update_entry(_upstream(number))
        components = gateway.components()
        gateway.mesh.join(me, b"secret", members)
        gateway.mesh.transport = _Transport(self._meshes)
        # Else all hubs would exchange what only a lease's holder needs.
        holder = fm.LeaseAnnouncement(members[0].name, 1000, 1, 1e6)
        gateway.mesh.update_lease(holder, 0.0)
        self._meshes[me.address] = gateway.mesh
        gateway.lease._step = _do_nothing
        for one in components:
            if isinstance(one, follower.Follower):
                one._offset = 1
                one._should_read = lambda: False
            if one.name not in _NOT_PERIODIC:
                self._tasks.append(asyncio.create_task(one.run()))
        if self._size.rate:
            self._tasks.append(asyncio.create_task(self._serve(gateway)))

    async def _serve(self, gateway: app_lib.GatewayApp) -> None:
        """Changes what an instance reports as its requests would."""
        loop = asyncio.get_running_loop()
        upstreams = list(gateway.state.directory)
        while True:
            await asyncio.sleep(self._rng.expovariate(self._size.rate))
            known = self._rng.choice(upstreams)
            model = f"m-{self._rng.randrange(MODELS):03}"
            call = serving.ModelCall(model, "", 800, 300, ())
            demand = gateway.forwarder.search_context.demand
            demand.record_request(("s", model), loop.time(), 0.03)
            self._begin(gateway, known, call)
            loop.call_later(REQUEST_S, self._end, gateway, known, call)

    def _begin(self, gateway, known, call) -> None:
        known.own_running += 1
        gateway.forwarder.uses.begin(known.entry.instance_id, call)
        known.reachability.record_contact(asyncio.get_running_loop().time())

    def _end(self, gateway, known, call) -> None:
        known.own_running -= 1
        gateway.forwarder.uses.end(known.entry.instance_id, call)
        now_s = asyncio.get_running_loop().time()
        known.reachability.record_contact(now_s)
        known.health.record_success(now_s)

    async def stop(self) -> None:
        """Ends all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _do_nothing() -> None:
    """Takes the place of the lease's steps, which call the store."""
