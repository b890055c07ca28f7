"""Tests of gateways whose upstreams fail if they reject too many requests."""

import asyncio

import pytest

from sesamecross.fakes import gateway_site
from sesamecross.fakes import platform_site

SLOTS = 3
REQUESTS = 8
# Longer than the requests may wait for a slot.
HELD_S = 1.0


@pytest.mark.parametrize("has_rejection_limit", [True, False])
def test_an_upstream_with_a_limit_gets_no_more_than_it_has_slots(
    has_rejection_limit,
):
    """Guards against rejections that make an upstream fail (LIMIT).

    The upstream holds its answers while both gateways have more requests for it
    than it has slots.
    """

    async def scenario() -> tuple[int, list[tuple[str, int, str]]]:
        async with gateway_site.running_site(slots=SLOTS) as site:
            desk = site.upstreams[-1]
            desk.rejection_limit = 2 if has_rejection_limit else None
            for gateway in site.gateways:
                # The first answer states the limit.
                _, status, _ = await asyncio.to_thread(
                    gateway_site.call, gateway.front, platform_site.DESK
                )
                assert status == 200
            desk.hold_answers()
            calls = [
                asyncio.create_task(
                    asyncio.to_thread(
                        gateway_site.call,
                        site.gateways[number % 2].front,
                        platform_site.DESK,
                    )
                )
                for number in range(REQUESTS)
            ]
            await asyncio.sleep(HELD_S)
            desk.release_answers()
            results = await asyncio.gather(*calls)
            for request_id, status, _ in results:
                runs = site.runs_of(request_id)
                assert runs == (1 if status == 200 else 0)
            return desk.most_running, results

    most_running, results = asyncio.run(scenario())
    statuses = [status for _, status, _ in results]
    if has_rejection_limit:
        assert most_running == SLOTS
        assert statuses.count(200) == SLOTS
        assert statuses.count(503) == REQUESTS - SLOTS
    else:
        assert most_running == REQUESTS
