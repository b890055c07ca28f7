"""A site of the platform whose gateways run in this process.

Tests of how gateways act together can cut one of them off from the upstreams,
and read what each of them knows. Store and upstreams are real servers on
loopback, and so are the gateways' ports.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

import msgspec
from returns.result import Success

from sesamecross.core import serving
from sesamecross.fakes import platform_caller
from sesamecross.fakes import platform_instance
from sesamecross.fakes import platform_site
from sesamecross.fakes import platform_store
from sesamecross.fakes import platform_upstream
from sesamecross.fakes import samples
from sesamecross.gateway import app as app_lib
from sesamecross.gateway import client_connection
from sesamecross.gateway import connection_pool
from sesamecross.platform import program
from sesamecross.runtime import supervisor

# Ends a test that hangs; no test waits this long.
TEST_TIMEOUT_S = 40.0
ZONE = platform_instance.ZONE
SERVICES = (platform_site.WRITERS, platform_site.DESK)


@dataclasses.dataclass(frozen=True, slots=True)
class UnchangedSettings:
    """Settings source whose settings never change."""

    instance: serving.Instance

    def read(self) -> Success[bytes]:
        """Returns no text, as it is not decoded."""
        return Success(b"")

    def decode(self, _data: bytes) -> Success[serving.Instance]:
        """Returns the settings of the start."""
        return Success(self.instance)


class PartitionedPool:
    """A connection pool behind a partition: no connection can be opened."""

    def __init__(self, pool: connection_pool.ConnectionPool, how: str):
        self._pool = pool
        self._how = how

    async def acquire(
        self,
        address: str,
        now_s: float,
        timeout_s: float,
        is_repeatable: bool = False,
    ) -> client_connection.ClientConnection:
        """Fails, at once or after the timeout.

        Raises:
          OSError: Always.
        """
        if self._how == "refused":
            raise ConnectionRefusedError("Connect call failed")
        await asyncio.sleep(min(timeout_s, connection_pool.CONNECT_TIMEOUT_S))
        raise TimeoutError

    def __getattr__(self, name: str):
        return getattr(self._pool, name)


class Gateway:
    """One gateway of this process."""

    def __init__(self, name: str, store_address: str):
        host = platform_instance.unused_loopback_host()
        self.instance = msgspec.structs.replace(
            samples.INSTANCE,
            name=name,
            zone=ZONE,
            region="west",
            regions={ZONE: "west"},
            ip=host,
            front_address=f"{host}:8149",
            ready_address=f"{host}:8141",
            store_address=store_address,
        )
        self.app = app_lib.GatewayApp.from_config(
            self.instance, program.adapter(), UnchangedSettings(self.instance)
        )
        self.tree = supervisor.Supervisor(self.app.components())

    @property
    def front(self) -> tuple[str, int]:
        """The address for callers."""
        host, _, port = self.instance.front_address.rpartition(":")
        return host, int(port)

    def partition(self, how: str) -> None:
        """Cuts the gateway off from all upstreams.

        Args:
          how: What happens to new connections: `silent` or `refused`.
        """
        self.app.forwarder.connector._connection_pool = PartitionedPool(
            self.app.connection_pool, how
        )
        # For connections that it would relay: nobody listens there.
        for known in self.app.state.directory:
            known.entry = msgspec.structs.replace(
                known.entry, address="127.0.0.1:1"
            )

    def kill(self) -> None:
        """Ends it without a word, as far as others can tell."""
        for connection in list(self.app.front.connections):
            connection.abort()
        self.app.mesh.transport.close()

    async def wait_ready(self, upstreams: int, peers: int) -> None:
        """Waits until it knows the configuration, upstreams and peers."""
        state = self.app.state
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not (
                state.is_ready
                and len(state.directory) == upstreams
                and state.instance_count == 1 + peers
            ):
                await asyncio.sleep(0.02)


class Site:
    """A store, one upstream per service, and gateways."""

    def __init__(
        self,
        gateways: int,
        slots: int,
        streams_resumable: bool,
        desk_is_safe: bool,
    ):
        self.store = platform_store.PlatformStore("127.0.0.1:0")
        self.store.start()
        self.store.publish(
            platform_site.configuration(
                1,
                streams_resumable=streams_resumable,
                desk_is_safe=desk_is_safe,
            )
        )
        self._slots = slots
        self.upstreams: list[platform_upstream.PlatformUpstream] = []
        for service in SERVICES:
            self.add_upstream(service).release_answers()
        self.gateways = [
            Gateway(f"front-{number}", self.store.server.address)
            for number in range(gateways)
        ]

    def add_upstream(
        self, service: str, version: str = platform_upstream.VERSION
    ) -> platform_upstream.PlatformUpstream:
        """Starts another upstream of a service; engines hold the model."""
        is_engine = service == platform_site.WRITERS
        name = f"i-{service}"
        if len(self.upstreams) >= len(SERVICES):
            name = f"{name}-{len(self.upstreams)}"
        upstream = platform_upstream.PlatformUpstream(
            self.store,
            name,
            service,
            ZONE,
            (platform_caller.MODEL,) if is_engine else (),
            slots=self._slots,
            version=version,
        )
        upstream.start()
        self.upstreams.append(upstream)
        return upstream

    async def wait_ready(self) -> None:
        """Waits until all gateways know all upstreams and each other."""
        for gateway in self.gateways:
            await gateway.wait_ready(
                len(self.upstreams), len(self.gateways) - 1
            )

    def shut_down(self) -> None:
        """Stops the upstreams and the store."""
        for upstream in self.upstreams:
            upstream.shut_down()
        self.store.shut_down()

    def runs_of(self, request_id: str) -> int:
        """Returns how often a request ran."""
        return sum(len(one.runs_of(request_id)) for one in self.upstreams)


@contextlib.asynccontextmanager
async def running_site(
    gateways: int = 2,
    slots: int = 16,
    streams_resumable: bool = False,
    desk_is_safe: bool = False,
) -> AsyncIterator[Site]:
    """Runs a site until the end of the context.

    Args:
      gateways: How many gateways it has.
      slots: How many requests each upstream runs at the same time.
      streams_resumable: Whether a stream may go on at another upstream.
      desk_is_safe: Whether requests to the plain service may be repeated.
    """
    site = Site(gateways, slots, streams_resumable, desk_is_safe)
    try:
        for gateway in site.gateways:
            gateway.tree.start()
        await site.wait_ready()
        yield site
        for gateway in site.gateways:
            for connection in list(gateway.app.front.connections):
                connection.abort()
            await gateway.tree.stop()
    finally:
        await asyncio.to_thread(site.shut_down)


def call(front: tuple[str, int], service: str) -> tuple[str, int, str]:
    """Sends one request; returns its id, and the answer's status and error."""
    one = platform_caller.Call(front, platform_site.PATHS[service])
    one.send(for_model=service == platform_site.WRITERS)
    answer = one.finish()
    one.close()
    return one.request_id, answer.status, answer.error
