"""Tests of prompts that crash each engine, at gateways that share engines."""

import asyncio
import dataclasses

from sesamecross.fakes import gateway_site
from sesamecross.fakes import platform_caller
from sesamecross.fakes import platform_site
from sesamecross.ops.fleet import withheld_records

WRITERS = platform_site.WRITERS
# Shared by all prompts, by those of a caller, and by those that crash engines.
FIRST_PART, CALLER_PART, BAD_PART = "5c1e07a2", "91bd3f06", "e4402b7d"
ENGINES = 12
ROUNDS = 12
ROUND_S = 1.0
# The users' bound: so many after the fifth.
MAX_CRASHES = 5 + 3


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What the callers of one scenario received.

    Attributes:
      bad: Statuses of requests with the part that crashes engines.
      sound: Statuses of all others.
      crashes: Engines that crashed.
    """

    bad: list[int]
    sound: list[int]
    crashes: int


def status_of(front: tuple[str, int], *shared_parts: str) -> int:
    """Sends one request; returns the status of its answer, 0 if it is cut."""
    call = platform_caller.Call(front, platform_site.PATHS[WRITERS])
    call.shared_parts = shared_parts
    call.send(for_model=True)
    answer = call.finish()
    call.close()
    return 0 if answer.error else answer.status


async def play(rounds: int) -> Result:
    """Sends prompts with the bad part at all gateways, beside sound ones."""
    async with gateway_site.running_site(gateways=3) as site:
        engines = [
            site.upstreams[0],
            *(site.add_upstream(WRITERS) for _ in range(ENGINES - 1)),
        ]
        for engine in engines:
            engine.release_answers()
            engine.crashing_part = BAD_PART
        await site.wait_ready()
        bad, sound = [], []
        for number in range(rounds):
            fronts = [one.front for one in site.gateways]
            front = fronts[number % len(fronts)]
            bad.append(
                await asyncio.to_thread(
                    status_of, front, FIRST_PART, CALLER_PART, BAD_PART
                )
            )
            sound.extend(
                await asyncio.gather(
                    *(
                        asyncio.to_thread(
                            status_of, one, FIRST_PART, CALLER_PART
                        )
                        for one in fronts
                    )
                )
            )
            await asyncio.sleep(ROUND_S)
        return Result(bad, sound, sum(one.is_crashed for one in engines))


def test_a_part_that_crashes_engines_is_withheld():
    """Guards against one part of prompts that ends engine after engine."""
    result = asyncio.run(play(ROUNDS))
    assert result.crashes <= MAX_CRASHES
    # The last ones of each gateway are refused at once and served.
    assert result.bad[-3:] == [503] * 3
    assert result.sound[-9:] == [200] * 9


async def _restart_all_after_a_finding() -> int:
    """Returns the status of a bad prompt at the only instance, a new one."""
    async with gateway_site.running_site(gateways=1) as site:
        engine = site.upstreams[0]
        engine.release_answers()
        engine.crashing_part = BAD_PART
        first = site.gateways[0]
        guard = first.app.forwarder.search_context.crash_guard
        guard.restore(BAD_PART, left_s=60.0, hold_s=120.0)
        async with asyncio.timeout(gateway_site.TEST_TIMEOUT_S):
            while not site.store.has_key_with(withheld_records.KEY_PREFIX):
                await asyncio.sleep(0.05)
        first.kill()
        await first.tree.stop()
        site.gateways[0] = gateway_site.Gateway(
            "front-9", site.store.server.address
        )
        site.gateways[0].tree.start()
        await site.gateways[0].wait_ready(len(site.upstreams), 0)
        status = await asyncio.to_thread(
            status_of, site.gateways[0].front, FIRST_PART, BAD_PART
        )
        assert not engine.is_crashed
        return status


def test_what_is_withheld_outlives_all_instances():
    """Guards against a finding that ends with those who made it."""
    assert asyncio.run(_restart_all_after_a_finding()) == 503
