"""Tests of gateways whose upstreams fail if they reject too many requests."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import functools

import pytest

from sesamecross.fakes import gateway_site
from sesamecross.fakes import platform_site
from sesamecross.fakes import platform_upstream

SLOTS = 3
REQUESTS = 8
# All requests reach the gateways, and are refused or sent, long before this.
MAX_HELD_S = 30.0
POLL_INTERVAL_S = 0.05


async def _wait_until(is_true: Callable[[], bool]) -> None:
    """Waits until a condition holds, for a limited time."""
    for _ in range(int(MAX_HELD_S / POLL_INTERVAL_S)):
        if is_true():
            return
        await asyncio.sleep(POLL_INTERVAL_S)


def _are_settled(
    calls: Iterable[asyncio.Task],
    upstream: platform_upstream.PlatformUpstream,
    has_rejection_limit: bool,
) -> bool:
    """Whether each request has been refused or has reached the upstream."""
    refused = sum(call.done() for call in calls)
    sent = SLOTS if has_rejection_limit else REQUESTS
    return refused + sent >= REQUESTS and upstream.most_running >= sent


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
            # The answers are held until no request waits for a slot any more.
            settled = functools.partial(
                _are_settled, calls, desk, has_rejection_limit
            )
            await _wait_until(settled)
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
