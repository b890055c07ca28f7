"""A small site of the platform: a store, upstreams and one gateway process.

Tests of a gateway during planned events need upstreams whose answers they hold,
others that answer at once, and operators' configurations in the platform's
format.
"""

import concurrent.futures
import pathlib
from typing import Any

from sesamecross.fakes import platform_caller
from sesamecross.fakes import platform_instance
from sesamecross.fakes import platform_store
from sesamecross.fakes import platform_upstream

WRITERS, LEDGER, DESK, ARCHIVE = "writers", "ledger", "desk", "archive"
# A path on the route of each service.
PATHS = {
    WRITERS: "/reports/today",
    LEDGER: "/passes/new",
    DESK: "/book/new",
    ARCHIVE: "/old/all",
}
KINDS = {
    WRITERS: "streaming",
    LEDGER: "unsafe",
    DESK: "unsafe",
    ARCHIVE: "unsafe",
}
# The answers of these are held until the test releases them; the other
# services answer at once.
HELD_SERVICES = (WRITERS, LEDGER)
# Longer than any test, so that no request times out. Requests to the desk
# arrive while a process stops, and would be refused if their timeout were
# longer than the stop may take.
TIMEOUTS_MS = {
    WRITERS: 120_000,
    LEDGER: 120_000,
    DESK: 10_000,
    ARCHIVE: 120_000,
}
IDLE_MS = 120_000
MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_384
# Configuration versions may skip numbers.
VERSION_STEP = 7
ANSWER_BYTES = 200
# More than the kernel buffers for a caller with a receive buffer of 4 KB.
ARCHIVE_BYTES = 6 * 1024 * 1024


def route(
    service: str,
    timeout_share: float,
    path_prefix: str = "",
    is_resumable: bool = False,
    is_safe: bool = False,
) -> dict[str, Any]:
    """Returns a route to a service, on its usual path or another prefix."""
    return {
        "name": f"route {path_prefix or service}",
        "hostname": platform_caller.HOST,
        "pathPrefix": path_prefix or PATHS[service].rpartition("/")[0] + "/",
        "kind": "safe" if is_safe else KINDS[service],
        "service": service,
        "maxAttempts": 2 if is_resumable or is_safe else 1,
        "resumable": is_resumable,
        "timeoutMs": TIMEOUTS_MS[service] * timeout_share,
        "targetLatencyMs": 500,
        "targetGapMs": 250 if service == WRITERS else 0,
        "priority": 1,
        "sessionAffinity": service == WRITERS,
    }


def configuration(
    version: int,
    timeout_share: float = 1.0,
    idle_ms: int = IDLE_MS,
    without: tuple[str, ...] = (),
    more_routes: int = 0,
    streams_resumable: bool = False,
    desk_is_safe: bool = False,
    max_body_bytes: int = MAX_BODY_BYTES,
    max_header_bytes: int = MAX_HEADER_BYTES,
) -> dict[str, Any]:
    """Returns a complete configuration, as operators write it."""
    routes = [
        route(
            one,
            timeout_share,
            is_resumable=streams_resumable and one == WRITERS,
            is_safe=desk_is_safe and one == DESK,
        )
        for one in PATHS
        if one not in without
    ]
    routes.extend(
        route(DESK, timeout_share, f"/more/{number}/")
        for number in range(more_routes)
    )
    model = {
        "name": platform_caller.MODEL,
        "weightsMb": 1000,
        "loadS": 0.1,
        "adapters": 0,
        "adapterMb": 0,
    }
    engine = {
        "slots": 16,
        "kvCapacity": 100_000,
        "weightsMb": 8000,
        "adapterSlots": 0,
        "loadsPerS": 10,
        "stride": 5,
        "models": [model],
    }
    services = [
        {"name": one, "healthPath": "/health", "maxConnections": 100}
        for one in PATHS
    ]
    services[0]["engine"] = engine
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": max_header_bytes,
            "maxBodyBytes": max_body_bytes,
            "headerTimeoutMs": IDLE_MS,
            "idleTimeoutMs": idle_ms,
        },
    }


class PlatformSite:
    """A store, upstreams and one gateway process."""

    def __init__(
        self,
        directory: pathlib.Path,
        memory_mb: int = platform_instance.MEMORY_MB,
        max_fds: int = platform_instance.MAX_FDS,
    ):
        self.store = platform_store.PlatformStore("127.0.0.1:0")
        self.store.start()
        self.gateway = platform_instance.PlatformInstance(
            directory,
            self.store.server.address,
            memory_mb=memory_mb,
            max_fds=max_fds,
        )
        # The newest upstream of each service, and those that were replaced.
        self.upstreams: dict[str, platform_upstream.PlatformUpstream] = {}
        self._replaced: list[platform_upstream.PlatformUpstream] = []
        self.version = 0

    def stop(self) -> None:
        """Stops the gateway, the upstreams and the store."""
        self.gateway.kill()
        # In parallel: each takes half a second to stop.
        with concurrent.futures.ThreadPoolExecutor() as pool:
            stops = [pool.submit(one.shut_down) for one in self.all_upstreams()]
            stops.append(pool.submit(self.store.shut_down))
        for stop in stops:
            stop.result()

    def prepare(self) -> None:
        """Brings everything into the state before an event."""
        self.publish()
        for service in PATHS:
            if service not in self.upstreams:
                self.add_upstream(service)
            if service in HELD_SERVICES:
                self.upstreams[service].hold_answers()
        if not self.gateway.is_running:
            self.gateway.start()
            self.gateway.wait_ready()
        self.wait_until_known()

    def publish(self, **changes: Any) -> None:
        """Publishes the next version of the configuration."""
        self.version += VERSION_STEP
        self.store.publish(configuration(self.version, **changes))

    def add_upstream(
        self, service: str
    ) -> platform_upstream.PlatformUpstream | None:
        """Starts a new upstream of a service; returns the previous one."""
        previous = self.upstreams.get(service)
        if previous is not None:
            self._replaced.append(previous)
        one = platform_upstream.PlatformUpstream(
            self.store,
            f"i-{service}-{len(self._replaced)}",
            service,
            platform_instance.ZONE,
            (platform_caller.MODEL,) if service == WRITERS else (),
            ARCHIVE_BYTES if service == ARCHIVE else ANSWER_BYTES,
        )
        one.start()
        if service not in HELD_SERVICES:
            one.release_answers()
        self.upstreams[service] = one
        return previous

    def wait_until_known(self) -> None:
        """Waits until the gateway has applied all that the store holds."""
        self.gateway.wait_log_line(
            "configuration: in force", version=self.version
        )
        for one in self.upstreams.values():
            self.gateway.wait_log_line("upstreams: seen", id=one.instance_id)

    def all_upstreams(self) -> list[platform_upstream.PlatformUpstream]:
        """Returns the upstreams of all services, with those replaced."""
        return [*self.upstreams.values(), *self._replaced]

    def runs_of(self, request_id: str) -> list[platform_upstream.Run]:
        """Returns all runs of one request."""
        return [
            run
            for one in self.all_upstreams()
            for run in one.runs_of(request_id)
        ]

    def call(self, service: str, **options: Any) -> platform_caller.Call:
        """Returns a call on the route of a service."""
        return platform_caller.Call(
            self.gateway.front, PATHS[service], **options
        )
