"""Tests of what an instance says of itself to scrapes."""

import asyncio

from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import catalog
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import status
from sesamecross.runtime import metrics as metrics_lib

REQUEST = serving.Request(b"GET", b"/metrics", "", (), b"", "", None, "", None)


class _Writer:
    """Keeps the body of the response."""

    def __init__(self) -> None:
        self.body = b""

    def send_response(self, status, headers, body) -> None:
        self.body = body


def test_the_age_of_the_list_of_upstreams_grows_until_it_is_read():
    state = state_lib.State(samples.INSTANCE)
    sink = catalog.UpstreamSink(state, lambda key, value: None)
    handler = status.StatusHandler(state, metrics_lib.Metrics())

    async def scrape() -> float | None:
        writer = _Writer()
        handler.handle(REQUEST, writer)
        for line in writer.body.decode().splitlines():
            if line.startswith("sesamecross_upstreams_age_seconds"):
                return float(line.split()[-1])
        return None

    async def scenario() -> list[float | None]:
        ages = [await scrape()]
        for wait_s in (0.0, 3.0):
            sink.on_progress(5)
            await asyncio.sleep(wait_s)
            ages.append(await scrape())
        return ages

    loop = virtual_time_loop.VirtualTimeLoop()
    before, at_once, later = loop.run_until_complete(scenario())
    assert before is None
    assert round(at_once, 3) == 0.0
    assert round(later, 3) == 3.0


def test_scrapes_tell_when_a_start_could_serve():
    """Guards against a herd of starts that only logs could compare."""
    state = state_lib.State(samples.INSTANCE)
    handler = status.StatusHandler(state, metrics_lib.Metrics())

    async def scenario() -> list[str]:
        writer = _Writer()
        state.mark_upstreams_listed()
        state.offer_configuration(
            serving.Configuration(1, (), (), serving.CallerLimits())
        )
        handler.handle(REQUEST, writer)
        return writer.body.decode().splitlines()

    lines = virtual_time_loop.VirtualTimeLoop().run_until_complete(scenario())
    name = "sesamecross_start_step_seconds"
    assert [line.split()[0] for line in lines if line.startswith(name)] == [
        f'{name}{{step="{step}"}}'
        for step in ("upstreams", "configuration", "ready")
    ]


def test_a_slow_scrape_is_not_cut():
    """Guards against metrics that a slow link can't fetch."""
    handler = status.StatusHandler(
        state_lib.State(samples.INSTANCE), metrics_lib.Metrics()
    )
    cut = []

    class Connection:
        def abort(self) -> None:
            cut.append(self)

    slow = Connection()
    handler.on_unread(slow, 300_000)
    handler.on_unread(slow, 0)
    assert not cut
    for _ in range(100):
        handler.on_unread(Connection(), 300_000)
    assert cut
