"""Measures the processor time of an instance, by request step and activity.

Large deployments give each instance few requests, so that what it does without
them is most of its cost. Run by hand, on an idle machine:

    python -m sesamecross.devtools.instance_cost --instances 8 80 129 195

The idle cost is that of whole applications on virtual time: their timers and
datagrams, without system calls. The requests go through real sockets, and so
their steps include system calls. `--profile` prints the largest functions.
"""

import argparse
import asyncio
import collections
from collections.abc import Callable
import contextlib
import cProfile
import dataclasses
import functools
import os
import pstats
import random
import resource
import subprocess
import sys
import tempfile
import time
from typing import Any

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import gateway_site
from sesamecross.fakes import platform_site
from sesamecross.fakes import samples
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import app as app_lib
from sesamecross.gateway import follower
from sesamecross.gateway import forwarder
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.platform import program
from sesamecross.platform import settings
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib

ZONES = 6
REGIONS = {f"z{zone}": f"r{zone % 3}" for zone in range(ZONES)}
SETTLE_S = 4.0
DURATION_S = 3.0
ONE_WAY_S = 0.001
MODELS = 200
# Processor time of a fixed loop, to which the figures of a fleet are scaled:
# on a shared machine the speed of a core varies by a third.
# The loop runs between the slices of a measurement.
REFERENCE_S = 0.005
SLICES = 20
REQUEST_S = 1.5
# Components that call the store or listen on sockets.
_NOT_PERIODIC = frozenset(
    {"front", "ready", "metrics", "joiner", "sync", "reloader"}
)
# Methods whose processor time is reported, with the name of the activity. That
# of the methods they call which are also listed is included.
_ACTIVITIES = (
    (mesh_lib.Mesh, "on_datagram", "datagram received"),
    (mesh_lib.Mesh, "_on_view", "- a view applied"),
    (mesh_lib.Mesh, "_report_to_hub", "report to the hub"),
    (app_lib.GatewayApp, "_build_loads", "- loads"),
    (app_lib.GatewayApp, "_complete_report", "- the rest, if sent"),
    (mesh_lib.Mesh, "_send_summaries", "summaries between hubs"),
    (mesh_lib.Mesh, "_update_zone", "views to the zone"),
)
_STEPS = (
    (forwarder.Forwarder, "parse_request", "parse"),
    (forwarder._RequestTask, "_check_key", "key"),
    (forwarder._RequestTask, "_check_quota", "quota"),
    (forwarder._RequestTask, "_log_outcome", "log and metrics"),
    (metrics_lib.Metrics, "count", "- counters"),
    (metrics_lib.Metrics, "observe", "- histograms"),
)


def _reference_loop_s() -> float:
    """Returns the processor time of a fixed loop."""
    begun_s = time.thread_time()
    counts: dict[str, int] = {}
    for number in range(15_000):
        key = f"{number % 97}"
        counts[key] = max(number, counts.get(key, 0))
    return time.thread_time() - begun_s


class _Meter:
    """Adds up the processor time of methods."""

    def __init__(self) -> None:
        self.seconds: collections.Counter[str] = collections.Counter()
        self.calls: collections.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def measuring(self, methods: tuple[tuple[type, str, str], ...]):
        """Replaces methods by ones that are measured, within the context."""
        originals = [
            (cls, name, getattr(cls, name)) for cls, name, _ in methods
        ]
        for cls, name, label in methods:
            setattr(cls, name, self._measured(getattr(cls, name), label))
        try:
            yield
        finally:
            for cls, name, original in originals:
                setattr(cls, name, original)

    def _measured(self, method: Callable, label: str) -> Callable:
        @functools.wraps(method)
        def measured(*args: Any, **options: Any) -> Any:
            begun_s = time.thread_time()
            try:
                return method(*args, **options)
            finally:
                self.seconds[label] += time.thread_time() - begun_s
                self.calls[label] += 1

        return measured


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
class _Deployment:
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


class _Fleet:
    """The applications of a deployment, on virtual time."""

    def __init__(self, size: _Deployment):
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


def _measure_fleet(size: _Deployment, profile: cProfile.Profile | None) -> None:
    meter = _Meter()

    async def scenario() -> tuple[float, float]:
        fleet = _Fleet(size)
        await asyncio.sleep(SETTLE_S)
        meter.seconds.clear()
        meter.calls.clear()
        spent_s, loops_s = 0.0, 0.0
        for _ in range(SLICES):
            begun_s = time.process_time()
            with profile or contextlib.nullcontext():
                await asyncio.sleep(DURATION_S / SLICES)
            spent_s += time.process_time() - begun_s
            loops_s += _reference_loop_s()
        speed = SLICES * REFERENCE_S / loops_s
        await fleet.stop()
        return spent_s, speed

    with (
        asyncio.Runner(loop_factory=virtual_time_loop.VirtualTimeLoop) as one,
        meter.measuring(() if profile else _ACTIVITIES),
    ):
        spent_s, speed = one.run(scenario())
    second = size.instances * DURATION_S / speed
    print(
        f"{size.instances} instances, {size.engines} engines, {size.rate}"
        f" requests/s each: {spent_s / second * 1000:.2f} ms/s per instance"
    )
    for _, _, label in _ACTIVITIES if not profile else ():
        print(
            f"  {label:26} {meter.seconds[label] / second * 1000:8.3f} ms/s"
            f" {meter.calls[label] / second / speed:8.1f} /s"
        )


async def _measure_requests(
    count: int, profile: cProfile.Profile | None
) -> None:
    """Sends plain requests to one gateway, whose loop runs in this thread."""
    meter = _Meter()
    async with gateway_site.running_site(gateways=1) as site:
        front = site.gateways[0].front

        def send(number: int) -> None:
            for _ in range(number):
                gateway_site.call(front, platform_site.DESK)

        await asyncio.to_thread(send, 20)
        idle_s = -time.thread_time()
        await asyncio.sleep(1.0)
        idle_s += time.thread_time()
        with meter.measuring(() if profile else _STEPS):
            begun_s, wall_s = time.thread_time(), time.monotonic()
            with profile or contextlib.nullcontext():
                await asyncio.to_thread(send, count)
            spent_s = time.thread_time() - begun_s
            spent_s -= idle_s * (time.monotonic() - wall_s)
    print(f"a request to a plain service: {spent_s / count * 1000:.2f} ms")
    for _, _, label in _STEPS if not profile else ():
        print(f"  {label:26} {meter.seconds[label] / count * 1000:8.3f} ms")


def _measure_imports(starts: int) -> None:
    """Starts processes that find compiled modules, as those of a deployment."""
    command = [sys.executable, "-c", "import sesamecross.platform.program"]
    with tempfile.TemporaryDirectory() as directory:
        variables = dict(os.environ, PYTHONPYCACHEPREFIX=directory)
        variables.pop("PYTHONDONTWRITEBYTECODE", None)
        subprocess.run(command, check=True, env=variables)
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        for _ in range(starts):
            subprocess.run(command, check=True, env=variables)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
    spent_s = after.ru_utime + after.ru_stime
    spent_s -= before.ru_utime + before.ru_stime
    print(f"imports of a start: {spent_s / starts * 1000:.0f} ms")


def main() -> int:
    """Prints what imports, requests, and instances without them cost."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, nargs="+", default=[8, 129])
    parser.add_argument("--engines", type=int, default=56)
    parser.add_argument("--rate", type=float, nargs="+", default=[0.0, 3.0])
    parser.add_argument("--requests", type=int, default=500)
    parser.add_argument("--starts", type=int, default=5)
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    profile = cProfile.Profile() if arguments.profile else None
    with open(os.devnull, "w", encoding="utf-8") as nowhere:
        logs.configure("info", "json", nowhere)
        _measure(arguments, profile)
    return 0


def _measure(
    arguments: argparse.Namespace, profile: cProfile.Profile | None
) -> None:
    if arguments.starts:
        _measure_imports(arguments.starts)
    if arguments.requests:
        asyncio.run(_measure_requests(arguments.requests, profile))
    for instances in arguments.instances:
        for rate in arguments.rate:
            size = _Deployment(instances, arguments.engines, rate)
            _measure_fleet(size, profile)
    if profile is not None:
        pstats.Stats(profile).sort_stats("tottime").print_stats(40)


if __name__ == "__main__":
    sys.exit(main())
