"""Tests of gateways that can't reach the upstreams, while their peers can."""

import asyncio

import pytest

from sesamecross.fakes import gateway_site
from sesamecross.fakes import platform_site
from sesamecross.gateway import app

REQUESTS = 6


@pytest.mark.parametrize("how", ["silent", "refused"])
@pytest.mark.parametrize("service", gateway_site.SERVICES)
def test_a_gateway_cut_off_from_all_upstreams_serves_its_callers(how, service):
    """Guards against refusals while peers reach the upstreams (RECOVER)."""

    async def scenario() -> None:
        async with gateway_site.running_site() as site:
            cut_off, _ = site.gateways
            cut_off.partition(how)
            results = [
                await asyncio.to_thread(
                    gateway_site.call, cut_off.front, service
                )
                for _ in range(REQUESTS)
            ]
            assert [result[1:] for result in results] == [(200, "")] * REQUESTS
            runs = [site.runs_of(request_id) for request_id, *_ in results]
            assert runs == [1] * REQUESTS

    asyncio.run(scenario())


@pytest.mark.parametrize("service", gateway_site.SERVICES)
def test_requests_are_refused_truthfully_if_all_gateways_are_cut_off(service):
    """Guards against requests that circulate, or wait, among cut-off peers."""

    async def scenario() -> None:
        async with gateway_site.running_site() as site:
            for gateway in site.gateways:
                gateway.partition("refused")
            request_id, status, _ = await asyncio.to_thread(
                gateway_site.call, site.gateways[0].front, service
            )
            assert status == 503
            assert site.runs_of(request_id) == 0

    asyncio.run(scenario())


def test_a_draining_peer_ends_what_it_relays_and_takes_nothing_new():
    """Guards against a planned stop that cuts another instance's request."""

    async def scenario() -> None:
        async with gateway_site.running_site(gateways=3) as site:
            cut_off, *peers = site.gateways
            cut_off.partition("refused")
            desk = site.upstreams[-1]
            desk.hold_answers()
            held = asyncio.create_task(
                asyncio.to_thread(
                    gateway_site.call, cut_off.front, platform_site.DESK
                )
            )
            while not any(
                one.app.relay_server.open_connections for one in peers
            ):
                await asyncio.sleep(0.01)
            relaying = next(
                one for one in peers if one.app.relay_server.open_connections
            )
            drain = asyncio.create_task(relaying.app.drain())
            # Longer than a drain that has nothing to wait for.
            await asyncio.sleep(app.BALANCER_LAG_S + 0.5)
            assert not drain.done()
            later = asyncio.create_task(
                asyncio.to_thread(
                    gateway_site.call, cut_off.front, platform_site.DESK
                )
            )
            other = next(one for one in peers if one is not relaying)
            while not other.app.relay_server.open_connections:
                await asyncio.sleep(0.01)
            assert relaying.app.relay_server.open_connections == 1
            desk.release_answers()
            for answered in (await held, await later):
                assert answered[1:] == (200, "")
                assert site.runs_of(answered[0]) == 1
            await drain

    asyncio.run(scenario())
