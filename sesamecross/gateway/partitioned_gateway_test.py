"""Tests of gateways that can't reach the upstreams, while their peers can.

Two gateways run in this process, on a store and upstreams on loopback. The
connections that one of them opens to upstreams fail as they do behind a
partition.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

import pytest
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
REQUESTS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class UnchangedSettings:
    """Settings source whose settings never change."""

    instance: serving.Instance

    def read(self) -> Success[bytes]:
        return Success(b"")

    def decode(self, _data: bytes) -> Success[serving.Instance]:
        return Success(self.instance)


class PartitionedPool:
    """A connection pool behind a partition: no connection can be opened."""

    def __init__(self, pool: connection_pool.ConnectionPool, how: str):
        self._pool = pool
        self._how = how

    async def acquire(
        self, address: str, now_s: float, timeout_s: float
    ) -> client_connection.ClientConnection:
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
        self.instance = dataclasses.replace(
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
        host, _, port = self.instance.front_address.rpartition(":")
        return host, int(port)

    def partition(self, how: str) -> None:
        """Cuts the gateway off from all upstreams."""
        forwarder = self.app.forwarder
        forwarder._connection_pool = PartitionedPool(
            self.app.connection_pool, how
        )

    async def wait_ready(self, peers: int) -> None:
        state = self.app.state
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not (
                state.is_ready
                and len(state.directory) == len(SERVICES)
                and state.instance_count == 1 + peers
            ):
                await asyncio.sleep(0.02)


class Site:
    """A store, one upstream per service, and gateways."""

    def __init__(self, gateways: int):
        self.store = platform_store.PlatformStore("127.0.0.1:0")
        self.store.start()
        self.store.publish(platform_site.configuration(1))
        self.upstreams = [
            platform_upstream.PlatformUpstream(
                self.store,
                f"i-{service}",
                service,
                ZONE,
                (platform_caller.MODEL,)
                if service == platform_site.WRITERS
                else (),
            )
            for service in SERVICES
        ]
        for upstream in self.upstreams:
            upstream.release_answers()
            upstream.start()
        self.gateways = [
            Gateway(f"front-{number}", self.store.server.address)
            for number in range(gateways)
        ]

    def shut_down(self) -> None:
        for upstream in self.upstreams:
            upstream.shut_down()
        self.store.shut_down()

    def runs_of(self, request_id: str) -> int:
        return sum(len(one.runs_of(request_id)) for one in self.upstreams)


@contextlib.asynccontextmanager
async def running_site(gateways: int = 2) -> AsyncIterator[Site]:
    site = Site(gateways)
    try:
        for gateway in site.gateways:
            gateway.tree.start()
        for gateway in site.gateways:
            await gateway.wait_ready(gateways - 1)
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


@pytest.mark.parametrize("how", ["silent", "refused"])
@pytest.mark.parametrize("service", SERVICES)
def test_a_gateway_cut_off_from_all_upstreams_serves_its_callers(how, service):
    """Guards against refusals while peers reach the upstreams (RECOVER)."""

    async def scenario() -> None:
        async with running_site() as site:
            cut_off, _ = site.gateways
            cut_off.partition(how)
            results = [
                await asyncio.to_thread(call, cut_off.front, service)
                for _ in range(REQUESTS)
            ]
            assert [result[1:] for result in results] == [(200, "")] * REQUESTS
            runs = [site.runs_of(request_id) for request_id, *_ in results]
            assert runs == [1] * REQUESTS

    asyncio.run(scenario())
