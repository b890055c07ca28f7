"""Tests of streams that are resumed while several software versions serve.

What two versions write does not fit together, and upstreams don't check it: the
stand-in writes its version into each event and resumes after any.
"""

import asyncio
import dataclasses

import pytest

from sesamecross.fakes import gateway_site
from sesamecross.fakes import platform_caller
from sesamecross.fakes import platform_site
from sesamecross.fakes import platform_upstream

WRITERS = platform_site.WRITERS
STREAMS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """What a caller received of a stream.

    Attributes:
      versions: The versions that sent its events.
      last_event: Number of the last event; 0 without any.
    """

    versions: frozenset[str]
    last_event: int

    def plus(self, other: "Received") -> "Received":
        """Returns what two tries received together."""
        return Received(
            self.versions | other.versions,
            max(self.last_event, other.last_event),
        )


def received(body: bytes) -> Received:
    lines = [line for line in body.split(b"\n") if line.startswith(b"data:")]
    return Received(
        frozenset(line.split()[-1].decode() for line in lines),
        int(lines[-1].split()[-2]) if lines else 0,
    )


def begin(front: tuple[str, int]) -> platform_caller.Call:
    """Returns a stream of which the first events have arrived."""
    call = platform_caller.Call(front, platform_site.PATHS[WRITERS])
    call.send(for_model=True)
    assert call.read_first_events()
    return call


def resume(
    front: tuple[str, int], first: platform_caller.Call, **headers: str
) -> tuple[int, Received]:
    """Resumes a stream of another call; returns its status and the rest."""
    call = platform_caller.Call(front, platform_site.PATHS[WRITERS])
    lines = {
        "Last-Event-Id": str(platform_upstream.EVENTS_BEFORE_HOLD),
        "Resumes": first.request_id,
    }
    call.send(for_model=True, headers=lines | headers)
    answer = call.finish()
    call.close()
    assert not answer.error
    return answer.status, received(answer.body)


async def begin_all(front: tuple[str, int]) -> list[platform_caller.Call]:
    return [await asyncio.to_thread(begin, front) for _ in range(STREAMS)]


async def add_versions(site: gateway_site.Site, *versions: str) -> None:
    """Adds engines that answer at once."""
    for version in versions:
        site.add_upstream(WRITERS, version).release_answers()
    await site.wait_ready()


ADDED = [
    pytest.param(("2", "2"), False, id="another version only"),
    pytest.param(("2",) * 5 + ("1",), True, id="both versions"),
]


@pytest.mark.parametrize(("added", "goes_on"), ADDED)
def test_an_answer_goes_on_only_at_the_version_that_began_it(added, goes_on):
    """Guards against one answer with events of two software versions."""

    async def scenario() -> None:
        async with gateway_site.running_site(1, streams_resumable=True) as site:
            engine = site.upstreams[0]
            engine.hold_answers()
            calls = await begin_all(site.gateways[0].front)
            await add_versions(site, *added)
            await asyncio.to_thread(engine.crash)
            for call in calls:
                answer = await asyncio.to_thread(call.finish)
                assert received(answer.body).versions == {"1"}
                assert bool(answer.error) is not goes_on
                call.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(("added", "goes_on"), ADDED)
def test_a_resumed_stream_goes_on_only_at_the_version_that_began_it(
    added, goes_on
):
    """Guards against a stream of two versions over a caller's tries."""

    async def scenario() -> None:
        async with gateway_site.running_site(2, streams_resumable=True) as site:
            first, second = site.gateways
            engine = site.upstreams[0]
            engine.hold_answers()
            calls = await begin_all(first.front)
            await add_versions(site, *added)
            for call in calls:
                call.close()
            await asyncio.to_thread(engine.crash)
            for call in calls:
                status, rest = await asyncio.to_thread(
                    resume, second.front, call
                )
                assert rest.versions <= {"1"}
                assert status == (200 if goes_on else 503)
                if goes_on:
                    assert rest.last_event == platform_upstream.EVENT_COUNT

    asyncio.run(scenario())


@pytest.mark.parametrize("how", ["killed", "stopped"])
def test_a_stream_outlives_the_instance_that_began_it(how):
    """Guards against streams that nobody can place once an instance is gone."""

    async def scenario() -> None:
        async with gateway_site.running_site(3, streams_resumable=True) as site:
            first, second, third = site.gateways
            engine = site.upstreams[0]
            engine.hold_answers()
            calls = await begin_all(first.front)
            await add_versions(site, *("2",) * 5, "1")
            for call in calls:
                call.close()
            if how == "killed":
                first.kill()
            else:
                await first.tree.stop()
            await asyncio.to_thread(engine.crash)
            for call, front in zip(
                calls, [second.front, third.front] * 2, strict=True
            ):
                status, rest = await asyncio.to_thread(resume, front, call)
                assert (status, rest.versions) == (200, {"1"})

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        pytest.param({"Resumes": ""}, 503, id="names no attempt"),
        pytest.param({"Resumes": "never-seen"}, 503, id="never seen"),
        pytest.param({"Resumes": "x" * 4000}, 503, id="overlong"),
        pytest.param({}, 200, id="the attempt that began it"),
    ],
)
def test_a_stream_of_which_nobody_knows_the_version_is_refused(headers, status):
    """Guards against a guess of the version while several serve."""

    async def scenario() -> None:
        async with gateway_site.running_site(2, streams_resumable=True) as site:
            engine = site.upstreams[0]
            engine.hold_answers()
            call = await asyncio.to_thread(begin, site.gateways[0].front)
            await add_versions(site, "2")
            engine.release_answers()
            result, rest = await asyncio.to_thread(
                resume, site.gateways[1].front, call, **headers
            )
            assert result == status
            assert rest.versions <= {"1"}
            call.close()

    asyncio.run(scenario())


def test_a_stream_of_the_only_version_is_resumed_without_its_attempt():
    """Guards against refusals where no other version can have begun it."""

    async def scenario() -> None:
        async with gateway_site.running_site(2, streams_resumable=True) as site:
            call = await asyncio.to_thread(begin, site.gateways[0].front)
            call.close()
            status, rest = await asyncio.to_thread(
                resume, site.gateways[1].front, call, Resumes=""
            )
            assert (status, rest.versions) == (200, {"1"})

    asyncio.run(scenario())


def test_a_stream_that_is_resumed_after_its_last_event_ends_at_once():
    """Guards against a head with two framings, which a caller waits behind.

    A caller may have all events, but not the end.
    """

    async def scenario() -> None:
        async with gateway_site.running_site(1, streams_resumable=True) as site:
            front = site.gateways[0].front
            call = await asyncio.to_thread(begin, front)
            call.close()
            last = str(platform_upstream.EVENT_COUNT)
            async with asyncio.timeout(gateway_site.TEST_TIMEOUT_S):
                status, rest = await asyncio.to_thread(
                    resume, front, call, **{"Last-Event-Id": last}
                )
            assert (status, rest.last_event) == (200, 0)

    asyncio.run(scenario())


@pytest.mark.parametrize("after", ["", str(platform_upstream.EVENT_COUNT)])
def test_a_stream_has_one_framing(after):
    """Guards against headers of the upstream's connection in an answer."""

    def call(front: tuple[str, int]) -> list[str]:
        one = platform_caller.Call(front, platform_site.PATHS[WRITERS])
        headers = {"Last-Event-Id": after} if after else {}
        one.send(for_model=True, headers=headers)
        response = one.connection.getresponse()
        names = [name.lower() for name, _ in response.getheaders()]
        one.close()
        return names

    async def scenario() -> None:
        async with gateway_site.running_site(1, streams_resumable=True) as site:
            names = await asyncio.to_thread(call, site.gateways[0].front)
            framing = {"transfer-encoding", "content-length"}
            assert len([name for name in names if name in framing]) == 1
            assert names.count("connection") <= 1

    asyncio.run(scenario())
