"""Tests of callers' keys from the caller to the upstream, over loopback.

The gateway, store and upstreams run in this process. The clock of freshness is
the test's where it matters.
"""

import asyncio
from typing import Any

import msgspec
import pytest

from sesamecross.fakes import gateway_site
from sesamecross.fakes import platform_caller
from sesamecross.fakes import platform_site
from sesamecross.ops.fleet import freshness as freshness_lib

WRITERS, DESK = platform_site.WRITERS, platform_site.DESK
KEY, OTHER_KEY = "asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"
WAIT_S = 10.0


def configuration(version: int, **tenants: list[str]) -> dict[str, Any]:
    changed = platform_site.configuration(version, streams_resumable=True)
    changed["tenants"] = [
        {"name": name, "apiKeys": keys, "priority": 3}
        for name, keys in tenants.items()
    ]
    changed["routes"].append(
        platform_site.route(DESK, 1.0, "/open/") | {"anonymous": True}
    )
    return changed


def call(
    front: tuple[str, int], path: str, headers: dict[str, str], service: str
) -> tuple[str, int]:
    """Sends one request; returns its id and the status of its answer."""
    one = platform_caller.Call(front, path)
    one.send(for_model=service == WRITERS, headers=headers)
    answer = one.finish()
    one.close()
    return one.request_id, answer.status


async def publish(site: gateway_site.Site, **tenants: list[str]) -> None:
    """Publishes a configuration and waits until it is in force."""
    states = [gateway.app.state for gateway in site.gateways]
    version = max(state.version for state in states) + 7
    site.store.publish(configuration(version, **tenants))
    async with asyncio.timeout(WAIT_S):
        while not all(
            state.version == version and state.is_fresh for state in states
        ):
            await asyncio.sleep(0.02)


def set_strict(site: gateway_site.Site, is_strict: bool) -> None:
    for gateway in site.gateways:
        state = gateway.app.state
        state.bounds = msgspec.structs.replace(
            state.bounds, is_revocation_strict=is_strict
        )


class _Deaf(freshness_lib.Freshness):
    """Hears of nothing."""

    def learn(self, as_of_s: float) -> None:
        """Takes no note."""


BEARER = {"Authorization": f"Bearer {KEY}"}
CASES = [
    (BEARER, 200, "a"),
    ({"Authorization": f"bearer  {KEY} "}, 200, "a"),
    (BEARER | {"Tenant": "b"}, 200, "a"),
    ({"Authorization": f"Bearer {OTHER_KEY}"}, 200, "b"),
    (BEARER | {"Connection": "tenant, authorization"}, 200, "a"),
    ({}, 401, None),
    ({"Tenant": "a"}, 401, None),
    ({"Authorization": "Bearer unknown"}, 401, None),
    ({"Authorization": "Bearer"}, 401, None),
    ({"Authorization": f"Basic {KEY}"}, 401, None),
    ({"Authorization": KEY}, 401, None),
    ({"Authorization": "Bearer " + "x" * 10_000}, 401, None),
    (BEARER | {"authorization": f"Bearer {OTHER_KEY}"}, 401, None),
]


@pytest.mark.parametrize("service", [WRITERS, DESK])
def test_upstreams_are_told_the_workspace_and_no_key(service, capfd):
    """Guards against keys passed on, and workspaces that callers claim."""

    async def scenario() -> None:
        async with gateway_site.running_site(gateways=1) as site:
            await publish(site, a=[KEY], b=[OTHER_KEY])
            front = site.gateways[0].front
            for headers, status, name in CASES:
                request_id, answered = await asyncio.to_thread(
                    call, front, platform_site.PATHS[service], headers, service
                )
                assert answered == status, headers
                runs = [
                    run
                    for upstream in site.upstreams
                    for run in upstream.runs_of(request_id)
                ]
                assert len(runs) == (status == 200)
                for run in runs:
                    assert run.headers.get("tenant") == name
                    assert "authorization" not in run.headers
                    if service == WRITERS:
                        assert run.headers["request-priority"] == "3"

    asyncio.run(scenario())
    written = "".join(capfd.readouterr())
    assert KEY not in written and OTHER_KEY not in written


def test_an_anonymous_route_needs_no_key():
    async def scenario() -> None:
        async with gateway_site.running_site(gateways=1) as site:
            await publish(site, a=[KEY])
            front = site.gateways[0].front
            for headers in ({}, BEARER, {"Authorization": "Bearer unknown"}):
                request_id, status = await asyncio.to_thread(
                    call, front, "/open/x", headers, DESK
                )
                assert status == 200
                (run,) = site.upstreams[1].runs_of(request_id)
                assert "authorization" not in run.headers
                assert "tenant" not in run.headers

    asyncio.run(scenario())


def test_a_key_is_served_by_the_newest_configuration():
    """Guards against keys that are added, revoked or moved without effect."""

    async def scenario() -> None:
        async with gateway_site.running_site(gateways=2) as site:
            path = platform_site.PATHS[DESK]
            for tenants, status, name in (
                ({"a": [KEY]}, 200, "a"),
                ({"a": []}, 401, None),
                ({"b": [KEY], "a": [OTHER_KEY]}, 200, "b"),
            ):
                await publish(site, **tenants)
                for gateway in site.gateways:
                    request_id, answered = await asyncio.to_thread(
                        call, gateway.front, path, BEARER, DESK
                    )
                    assert answered == status
                    for run in site.upstreams[1].runs_of(request_id):
                        assert run.headers["tenant"] == name

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "is_strict, status", [(True, 503), (False, 200)], ids=str
)
def test_keys_lapse_with_the_configurations_freshness(is_strict, status):
    """Guards against revoked keys at an instance that hears nothing new."""

    async def scenario() -> None:
        async with gateway_site.running_site(gateways=1) as site:
            set_strict(site, is_strict)
            await publish(site, a=[KEY])
            state = site.gateways[0].app.state
            now_s = state.freshness.now_s()
            # As after a freeze: nothing was learned for a long time.
            state.freshness = _Deaf(lambda: now_s + 60.0)
            front, path = site.gateways[0].front, platform_site.PATHS[DESK]
            request_id, answered = await asyncio.to_thread(
                call, front, path, BEARER, DESK
            )
            assert answered == status
            assert site.runs_of(request_id) == (status == 200)
            _, answered = await asyncio.to_thread(
                call, front, "/open/x", {}, DESK
            )
            assert answered == 200

    asyncio.run(scenario())


def test_an_unreadable_configuration_vouches_for_nothing():
    """Guards against keys revoked by a version that can't be decoded."""

    async def scenario() -> None:
        async with gateway_site.running_site(gateways=1) as site:
            set_strict(site, True)
            await publish(site, a=[KEY])
            state = site.gateways[0].app.state
            site.store.write("keyed.op", "config", {"version": 1000})
            await asyncio.sleep(1.0)
            as_of_s = state.freshness.as_of_s
            await asyncio.sleep(1.0)
            assert state.freshness.as_of_s == as_of_s
            await publish(site, a=[KEY])
            async with asyncio.timeout(WAIT_S):
                while state.freshness.as_of_s == as_of_s:
                    await asyncio.sleep(0.02)

    asyncio.run(scenario())


def test_requests_over_the_quota_hear_when_to_return():
    """Guards against a workspace that takes more than its quota."""

    async def scenario() -> None:
        async with gateway_site.running_site(gateways=1) as site:
            limited = configuration(100, a=[KEY], b=[OTHER_KEY])
            limited["tenants"][0] |= {
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 100,
                "burst": 0,
            }
            site.store.publish(limited)
            state = site.gateways[0].app.state
            async with asyncio.timeout(WAIT_S):
                while state.version != 100:
                    await asyncio.sleep(0.02)
            front, path = site.gateways[0].front, platform_site.PATHS[DESK]
            statuses = [
                await asyncio.to_thread(call, front, path, BEARER, DESK)
                for _ in range(8)
            ]
            refused = [one for one, status in statuses if status == 429]
            assert 2 <= len(refused) <= 6
            assert not any(site.runs_of(one) for one in refused)
            other = {"Authorization": f"Bearer {OTHER_KEY}"}
            _, status = await asyncio.to_thread(call, front, path, other, DESK)
            assert status == 200

    asyncio.run(scenario())
