"""Tests of how an upstream that others suspect is verified."""

import asyncio

import msgspec
import pytest

from sesamecross.core import serving
from sesamecross.fakes import gateway_site
from sesamecross.fakes import platform_site
from sesamecross.ops.fleet import reachability

SUSPECTED = reachability.ReachabilityCounts(silent=3)


@pytest.mark.parametrize(
    ("service", "is_standing_still", "is_heard"),
    [
        (platform_site.WRITERS, False, True),
        # Its kernel still accepts connections.
        (platform_site.WRITERS, True, False),
        (platform_site.DESK, False, True),
    ],
)
def test_a_suspected_upstream_is_verified_by_what_it_answers(
    service, is_standing_still, is_heard
):
    """Guards against a false suspicion that stays, and a stuck engine used."""

    async def no_answer(_entry: serving.Upstream) -> None:
        return None

    async def scenario() -> bool:
        async with gateway_site.running_site(gateways=1) as site:
            app = site.gateways[0].app
            connector = app.forwarder.connector
            if is_standing_still:
                connector._ask_engine = no_answer
            known = app.state.directory.get(f"i-{service}")
            known.reachability = msgspec.structs.replace(
                known.reachability, streaming=0
            )
            known.others_reachability = SUSPECTED
            me = app.mesh.me.name
            connector.verify_suspected([me], me)
            while connector._probes:
                await asyncio.sleep(0.01)
            now_s = asyncio.get_running_loop().time()
            return known.reachability.state(now_s) is reachability.State.HEARS

    assert asyncio.run(scenario()) is is_heard
