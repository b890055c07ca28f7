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
import functools
import os
import pstats
import resource
import subprocess
import sys
import tempfile
import time
from typing import Any

from sesamecross.fakes import gateway_site
from sesamecross.fakes import simulated_fleet
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import app as app_lib
from sesamecross.gateway import client_connection
from sesamecross.gateway import engine_search
from sesamecross.gateway import event_relay
from sesamecross.gateway import forwarder
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import request_admission
from sesamecross.gateway import request_log
from sesamecross.gateway import server_connection
from sesamecross.gateway import service_search
from sesamecross.ops.fleet import route_table
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib

SETTLE_S = 4.0
DURATION_S = 3.0
# Processor time of a fixed loop, to which the figures of a fleet are scaled:
# on a shared machine the speed of a core varies by a third.
# The loop runs between the slices of a measurement.
REFERENCE_S = 0.005
SLICES = 20
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
# The other steps of a request wait, so that their time can't be told from that
# of others; `--profile` shows their functions.
_STEPS = (
    (server_connection.ServerConnection, "data_received", "received"),
    (forwarder.Forwarder, "parse_request", "- parsed"),
    (route_table.RouteTable, "find", "route"),
    (request_admission.RequestAdmission, "_check_quota", "quota"),
    (engine_search.EngineSearch, "_choose_engine", "choice of an engine"),
    (service_search.ServiceSearch, "_choose", "choice of a service"),
    (client_connection.ClientConnection, "send", "sent"),
    (client_connection.ClientConnection, "data_received", "answer received"),
    (event_relay.EventRelay, "feed", "- events relayed"),
    (request_log, "log_outcome", "log and metrics"),
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
    def measuring(self, methods: tuple[tuple[Any, str, str], ...]):
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


def _measure_fleet(
    size: simulated_fleet.Deployment, profile: cProfile.Profile | None
) -> None:
    meter = _Meter()

    async def scenario() -> tuple[float, float]:
        fleet = simulated_fleet.Fleet(size)
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
    service: str, count: int, profile: cProfile.Profile | None
) -> None:
    """Sends requests to one gateway, whose loop runs in this thread."""
    meter = _Meter()
    async with gateway_site.running_site(gateways=1) as site:
        front = site.gateways[0].front

        def send(number: int) -> None:
            for _ in range(number):
                gateway_site.call(front, service)

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
    print(f"a request to {service}: {spent_s / count * 1000:.2f} ms")
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
        for service in gateway_site.SERVICES:
            asyncio.run(_measure_requests(service, arguments.requests, profile))
    for instances in arguments.instances:
        for rate in arguments.rate:
            size = simulated_fleet.Deployment(
                instances, arguments.engines, rate
            )
            _measure_fleet(size, profile)
    if profile is not None:
        pstats.Stats(profile).sort_stats("tottime").print_stats(40)


if __name__ == "__main__":
    sys.exit(main())
