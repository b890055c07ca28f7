"""Tests of which idle connections a request gets."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from sesamecross.fakes import gateway_site
from sesamecross.fakes import platform_site
from sesamecross.gateway import client_connection
from sesamecross.gateway import connection_pool
from sesamecross.ops.fleet import idle_limits

TIMEOUT_S = 1.0
LONG_S = idle_limits.MAX_IDLE_S + 2.0
FAR_TOO_LONG_S = idle_limits.MAX_REPEATABLE_IDLE_S + 1.0


@contextlib.asynccontextmanager
async def listening() -> AsyncIterator[tuple[str, list[asyncio.StreamWriter]]]:
    """Accepts connections; yields the address and their writers."""
    writers: list[asyncio.StreamWriter] = []

    async def accept(_reader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}", writers
    for writer in writers:
        writer.close()
    server.close()


async def idle_connection(
    pool: connection_pool.ConnectionPool, address: str, age_s: float
) -> client_connection.ClientConnection:
    """Returns a connection that has been in the pool for some time."""
    connection = await pool.open(address, TIMEOUT_S)
    connection.idle_since_s -= age_s
    pool.release(address, connection)
    return connection


@pytest.mark.parametrize(
    ("age_s", "announced_s", "is_repeatable", "is_reused"),
    [
        (1.0, None, False, True),
        (LONG_S, None, False, False),
        (LONG_S, None, True, True),
        (FAR_TOO_LONG_S, None, True, False),
        (LONG_S, LONG_S, True, False),
        (LONG_S, LONG_S + 1.0, True, True),
        (LONG_S, LONG_S + 1.0, False, False),
        (2.0, 2.0, True, False),
    ],
)
def test_only_requests_that_may_be_repeated_get_old_connections(
    age_s, announced_s, is_repeatable, is_reused
):
    """Guards against a lost request on a connection that is being closed."""

    async def scenario() -> bool:
        async with listening() as (address, _):
            pool = connection_pool.ConnectionPool()
            pool.configure(address, 1, is_scarce=True)
            old = await idle_connection(pool, address, age_s)
            old.keep_alive_s = announced_s
            now_s = asyncio.get_running_loop().time()
            found = await pool.acquire(address, now_s, TIMEOUT_S, is_repeatable)
            return found is old

    assert asyncio.run(scenario()) is is_reused


def test_an_old_connection_stays_for_a_request_that_may_be_repeated():
    """Guards against closing what the next request could have used."""

    async def scenario() -> bool:
        async with listening() as (address, _):
            pool = connection_pool.ConnectionPool()
            pool.configure(address, 1, is_scarce=True)
            old = await idle_connection(pool, address, LONG_S)
            now_s = asyncio.get_running_loop().time()
            await pool.acquire(address, now_s, TIMEOUT_S)
            pool.close_stale(now_s)
            found = await pool.acquire(address, now_s, TIMEOUT_S, True)
            return found is old

    assert asyncio.run(scenario())


@pytest.mark.parametrize(
    ("is_scarce", "kept"), [(True, idle_limits.MAX_LONG_IDLE), (False, 0)]
)
def test_few_old_connections_are_kept_and_only_where_scarce(is_scarce, kept):
    """Guards against an upstream whose connections are all taken by idlers."""

    async def scenario() -> int:
        async with listening() as (address, _):
            pool = connection_pool.ConnectionPool()
            idle = pool.configure(address, 1, is_scarce)
            for _ in range(idle_limits.MAX_LONG_IDLE + 2):
                await idle_connection(pool, address, LONG_S)
            pool.close_stale(asyncio.get_running_loop().time())
            return len(idle)

    assert asyncio.run(scenario()) == kept


def test_connections_to_an_earlier_incarnation_are_closed():
    """Guards against a request sent to a process that has ended."""

    async def scenario() -> int:
        async with listening() as (address, _):
            pool = connection_pool.ConnectionPool()
            pool.configure(address, 1, is_scarce=True)
            await idle_connection(pool, address, 1.0)
            # A late entry of an earlier incarnation changes nothing.
            assert len(pool.configure(address, 0, is_scarce=True)) == 1
            return len(pool.configure(address, 2, is_scarce=True))

    assert asyncio.run(scenario()) == 0


def test_what_upstreams_close_is_not_reused_at_that_age_again():
    """Guards against one lost request after the other at the same idle time."""

    async def scenario() -> tuple[bool, bool]:
        async with listening() as (address, writers):
            pool = connection_pool.ConnectionPool()
            pool.configure(address, 1, is_scarce=True)
            await idle_connection(pool, address, LONG_S)
            await asyncio.sleep(0.05)
            writers[0].close()
            await asyncio.sleep(0.05)
            now_s = asyncio.get_running_loop().time()
            pool.close_stale(now_s)
            found = []
            for age_s in (LONG_S, LONG_S - 1.0):
                old = await idle_connection(pool, address, age_s)
                new = await pool.acquire(address, now_s, TIMEOUT_S, True)
                found.append(new is old)
            return tuple(found)

    assert asyncio.run(scenario()) == (False, True)


@pytest.mark.parametrize(
    ("instances", "zone_fails", "is_reused"),
    [(100, False, True), (2, False, False), (100, True, False)],
)
def test_old_connections_are_reused_where_many_share_few_upstreams(
    instances, zone_fails, is_reused
):
    """Guards against old connections in small fleets and into a cut zone."""

    async def scenario() -> bool:
        async with gateway_site.running_site(gateways=1) as site:
            site.add_upstream(platform_site.DESK)
            await site.wait_ready()
            app = site.gateways[0].app
            app.state.instance_count = instances
            known = app.state.directory.get(f"i-{platform_site.DESK}")
            connector = app.forwarder.connector
            first = await connector.connect(known, TIMEOUT_S)
            first.idle_since_s -= LONG_S
            app.connection_pool.release(known.entry.address, first)
            if zone_fails:
                now_s = asyncio.get_running_loop().time()
                other = app.state.directory.get(f"i-{platform_site.WRITERS}")
                other.reachability.record_timeout(now_s)
            found = await connector.connect(
                known, TIMEOUT_S, is_repeatable=True
            )
            return found is first

    assert asyncio.run(scenario()) is is_reused
