"""Tests of upstreams that ask for a pause, or say that they leave."""

import asyncio
import dataclasses
import time

import pytest

from sesamecross.fakes import gateway_site
from sesamecross.fakes import platform_caller
from sesamecross.fakes import platform_site
from sesamecross.fakes import platform_upstream

WRITERS, DESK = platform_site.WRITERS, platform_site.DESK
PAUSE_S = 2.0
# The users' bounds: so long for what is under way, and so many after that.
UNDER_WAY_S = 0.5
MAX_DURING_PAUSE = 2
# How many callers ask without a break, and how long they wait if refused.
CALLERS = 6
CALL_INTERVAL_S = 0.05
# The first requests arrive long before this.
MAX_START_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Upstreams of one service, of which the first asks for a pause.

    Attributes:
      others: How many more there are.
    """

    service: str
    others: int


def call(front: tuple[str, int], service: str) -> int:
    """Sends one request; returns the status of its answer, 0 if it is cut."""
    one = platform_caller.Call(front, platform_site.PATHS[service])
    one.send(for_model=service == WRITERS)
    answer = one.finish()
    one.close()
    return 0 if answer.error else answer.status


class Callers:
    """Callers who ask without a break.

    Attributes:
      answers: When each answer came, and its status.
    """

    def __init__(self, front: tuple[str, int], service: str):
        self.answers: list[tuple[float, int]] = []
        self._front = front
        self._service = service
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Callers":
        self._tasks = [
            asyncio.create_task(self._call_often()) for _ in range(CALLERS)
        ]
        return self

    async def __aexit__(self, *_error) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call_often(self) -> None:
        while True:
            status = await asyncio.to_thread(call, self._front, self._service)
            self.answers.append((time.monotonic(), status))
            await asyncio.sleep(CALL_INTERVAL_S)

    def statuses(self, from_s: float) -> set[int]:
        """Returns the statuses of the answers since a time."""
        return {status for at_s, status in self.answers if at_s >= from_s}


def busiest(site: gateway_site.Site) -> platform_upstream.PlatformUpstream:
    return max(site.upstreams, key=lambda one: len(one.arrived_s))


async def wait_for_requests(site: gateway_site.Site) -> None:
    """Waits until requests have arrived, which takes longer on a busy machine.

    Before, no upstream is the busiest one.
    """
    for _ in range(int(MAX_START_S / CALL_INTERVAL_S)):
        if any(one.arrived_s for one in site.upstreams):
            return
        await asyncio.sleep(CALL_INTERVAL_S)


async def prepare(site: gateway_site.Site, case: Case) -> None:
    for _ in range(case.others):
        site.add_upstream(case.service).release_answers()
    await site.wait_ready()


CASES = [Case(WRITERS, 0), Case(WRITERS, 1), Case(DESK, 0), Case(DESK, 1)]


@pytest.mark.parametrize("case", CASES, ids=str)
def test_an_upstream_that_asks_for_a_pause_gets_one(case):
    """Guards against requests to an upstream that has asked for a pause."""

    async def scenario() -> None:
        async with gateway_site.running_site(gateways=1) as site:
            await prepare(site, case)
            front = site.gateways[0].front
            async with Callers(front, case.service) as callers:
                await wait_for_requests(site)
                await asyncio.sleep(0.3)
                upstream = busiest(site)
                upstream.pause_s = PAUSE_S
                began_s = time.monotonic()
                await asyncio.sleep(PAUSE_S - 0.1)
                upstream.pause_s = None
                await asyncio.sleep(0.7)
                ended_s = time.monotonic()
                await asyncio.sleep(0.3)
            paused_from_s = min(
                at_s for at_s in upstream.arrived_s if at_s >= began_s
            )
            during = [
                at_s - paused_from_s
                for at_s in upstream.arrived_s
                if UNDER_WAY_S <= at_s - paused_from_s < PAUSE_S
            ]
            assert len(during) <= MAX_DURING_PAUSE
            if case.others:
                assert callers.statuses(began_s + UNDER_WAY_S) == {200}
            # After the pause it is used again.
            assert max(upstream.arrived_s) >= paused_from_s + PAUSE_S
            assert callers.statuses(ended_s) == {200}

    asyncio.run(scenario())


@pytest.mark.parametrize("service", [WRITERS, DESK])
def test_an_upstream_that_says_it_leaves_gets_nothing_more(service):
    """Guards against requests to an upstream whose answers say it leaves."""

    async def scenario() -> None:
        async with gateway_site.running_site(gateways=1) as site:
            await prepare(site, Case(service, 1))
            front = site.gateways[0].front
            async with Callers(front, service) as callers:
                await wait_for_requests(site)
                await asyncio.sleep(0.3)
                upstream = busiest(site)
                upstream.says_leaving = True
                began_s = time.monotonic()
                await asyncio.sleep(1.0)
                # Its entry says for longer that it is ready.
                upstream.register()
                await asyncio.sleep(1.0)
            arrived_s = [at_s for at_s in upstream.arrived_s if at_s >= began_s]
            assert max(arrived_s) <= min(arrived_s) + UNDER_WAY_S
            assert callers.statuses(began_s) == {200}

    asyncio.run(scenario())
