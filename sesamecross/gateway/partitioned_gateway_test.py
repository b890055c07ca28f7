"""Tests of gateways that can't reach the upstreams, while their peers can."""

import asyncio

import pytest

from sesamecross.fakes import gateway_site

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
