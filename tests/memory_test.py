"""Tests of the memory that requests and answers take, with a real gateway."""

import asyncio
import collections
import contextlib

import pytest

from sesamecross.fakes import body_callers
from sesamecross.fakes import platform_site

MEMORY_MB = 130
MAX_BODY_BYTES = 4 * 1024 * 1024
LARGE_BYTES = 4_100_000
BURST = 40
# Each leaves an answer of some megabytes unread.
SILENT_CALLERS = 40
UPLOADS = {
    "with a length": body_callers.Upload(LARGE_BYTES),
    "in chunks": body_callers.Upload(LARGE_BYTES, is_chunked=True),
    "in small chunks": body_callers.Upload(
        200_000, is_chunked=True, piece_bytes=50
    ),
    "slowly": body_callers.Upload(LARGE_BYTES, pause_s=0.02),
    "in part": body_callers.Upload(LARGE_BYTES, stops_at=3_000_000),
    "and leave": body_callers.Upload(
        LARGE_BYTES, stops_at=3_000_000, leaves=True
    ),
}


@pytest.fixture
def site(tmp_path):
    one = platform_site.PlatformSite(tmp_path, MEMORY_MB)
    try:
        one.publish(idle_ms=3000, max_body_bytes=MAX_BODY_BYTES)
        one.add_upstream(platform_site.DESK)
        one.add_upstream(platform_site.ARCHIVE)
        one.gateway.start()
        one.gateway.wait_ready()
        one.wait_until_known()
        yield one
    finally:
        one.stop()


@pytest.mark.parametrize("name", UPLOADS)
def test_a_burst_of_large_bodies_does_not_exceed_the_memory(site, name):
    """Guards against an instance that is killed for its memory."""
    path = platform_site.PATHS[platform_site.DESK]

    async def play() -> tuple[list, list]:
        burst = asyncio.create_task(
            body_callers.send_all(
                site.gateway.front, path, [UPLOADS[name]] * BURST
            )
        )
        small = []
        while not burst.done():
            one = body_callers.Upload(600)
            small.append(await body_callers.send(site.gateway.front, path, one))
            await asyncio.sleep(0.02)
        return small, await burst

    small, large = asyncio.run(play())
    assert site.gateway.is_running
    _, peak = site.gateway.memory_bytes()
    assert peak < MEMORY_MB * 1_000_000
    assert {one.status for one in small} == {200}
    statuses = collections.Counter(one.status for one in large)
    expected = {200, 503}
    if UPLOADS[name].leaves:
        expected = {0}
    elif UPLOADS[name].stops_at is not None:
        expected = {408, 503}
    assert set(statuses) <= expected, statuses
    for one in large:
        # A refusal says that the request has not run, and when to return.
        assert one.status != 503 or not site.runs_of(one.request_id)
        assert one.status != 503 or one.retry_after_s is not None
        assert one.status != 200 or len(site.runs_of(one.request_id)) == 1


def test_answers_that_nobody_reads_do_not_exceed_the_memory(site):
    """Guards against callers that leave large answers in the process."""
    with contextlib.ExitStack() as stack:
        for _ in range(SILENT_CALLERS):
            call = site.call(platform_site.ARCHIVE, receive_buffer=4096)
            stack.callback(call.close)
            call.send()
            site.gateway.wait_log_line("request: ", id=call.request_id)
        assert site.gateway.is_running
        _, peak = site.gateway.memory_bytes()
        assert peak < MEMORY_MB * 1_000_000
        call = site.call(platform_site.DESK)
        call.send()
        assert call.finish().status == 200
