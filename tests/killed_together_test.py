"""Tests of streams whose instances were all killed at the same moment.

Gateways as real processes; upstreams and the store live on. Nothing that the
gateways kept in memory is left.
"""

import concurrent.futures
import contextlib
import pathlib
import time

import pytest

from sesamecross.fakes import platform_caller
from sesamecross.fakes import platform_instance
from sesamecross.fakes import platform_site
from sesamecross.fakes import platform_store
from sesamecross.fakes import platform_upstream

GATEWAYS = 3
STREAMS = 4
# Until the gateways have recorded what serves, at the most.
SETTLE_S = 5.0
TRIES = 20
PAUSE_S = 0.25


class _Site:
    """A store, engines and gateways."""

    def __init__(self, directory: pathlib.Path):
        self.store = platform_store.PlatformStore("127.0.0.1:0")
        self.store.start()
        self.store.publish(
            platform_site.configuration(1, streams_resumable=True)
        )
        self.engines: list[platform_upstream.PlatformUpstream] = []
        self.gateways = []
        for number in range(GATEWAYS):
            path = directory / f"{number}"
            path.mkdir()
            self.gateways.append(
                platform_instance.PlatformInstance(
                    path, self.store.server.address, f"front-west-a-{number}"
                )
            )

    def add_engine(self, version: str) -> platform_upstream.PlatformUpstream:
        engine = platform_upstream.PlatformUpstream(
            self.store,
            f"i-{len(self.engines)}",
            platform_site.WRITERS,
            platform_instance.ZONE,
            (platform_caller.MODEL,),
            version=version,
        )
        engine.start()
        self.engines.append(engine)
        for gateway in self.gateways:
            if gateway.is_running:
                gateway.wait_log_line("upstreams: seen", id=engine.instance_id)
        return engine

    def start_gateways(self) -> None:
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready()

    def wait_recorded(self, *versions: str) -> None:
        """Waits until the versions are recorded, or for some time."""
        until_s = time.monotonic() + SETTLE_S
        while time.monotonic() < until_s:
            lines = [
                line
                for gateway in self.gateways
                for line in gateway.log_lines("versions: ")
            ]
            recorded = {line.get("version") for line in lines}
            is_complete = any("complete" in line["event"] for line in lines)
            if is_complete and recorded >= set(versions):
                return
            time.sleep(PAUSE_S)

    def kill_gateways(self) -> None:
        for gateway in self.gateways:
            gateway.kill()

    def stop(self) -> None:
        for gateway in self.gateways:
            gateway.kill()
        with concurrent.futures.ThreadPoolExecutor() as pool:
            for engine in self.engines:
                engine.release_answers()
                pool.submit(engine.shut_down)
            pool.submit(self.store.shut_down)


@contextlib.contextmanager
def running_site(directory: pathlib.Path):
    site = _Site(directory)
    try:
        yield site
    finally:
        site.stop()


def begin(site: _Site) -> list[platform_caller.Call]:
    """Begins streams of which the first events arrive."""
    calls = []
    for number in range(STREAMS):
        front = site.gateways[number % GATEWAYS].front
        path = platform_site.PATHS[platform_site.WRITERS]
        call = platform_caller.Call(front, path)
        call.send(for_model=True)
        assert call.read_first_events()
        calls.append(call)
    return calls


def resume(site: _Site, first: platform_caller.Call) -> tuple[int, bytes]:
    """Resumes a stream as its caller does; returns status and the rest."""
    status, body = 0, b""
    for tries in range(TRIES):
        front = site.gateways[tries % GATEWAYS].front
        path = platform_site.PATHS[platform_site.WRITERS]
        call = platform_caller.Call(front, path)
        last = str(platform_upstream.EVENTS_BEFORE_HOLD)
        headers = {"Last-Event-Id": last, "Resumes": first.request_id}
        call.send(for_model=True, headers=headers)
        answer = call.finish()
        call.close()
        status, body = answer.status, answer.body
        if status == 200:
            break
        time.sleep(PAUSE_S)
    return status, body


def versions_of(body: bytes) -> set[str]:
    lines = [line for line in body.split(b"\n") if line.startswith(b"data:")]
    return {line.split()[-1].decode() for line in lines}


def last_event(body: bytes) -> int:
    lines = [line for line in body.split(b"\n") if line.startswith(b"data:")]
    return int(lines[-1].split()[-2]) if lines else 0


def test_streams_end_whole_after_all_instances_were_killed(tmp_path):
    """Guards against streams that nobody can place, so that none ends."""
    with running_site(tmp_path) as site:
        engine = site.add_engine("1")
        site.start_gateways()
        site.wait_recorded("1")
        calls = begin(site)
        site.kill_gateways()
        engine.release_answers()
        site.start_gateways()
        for call in calls:
            status, body = resume(site, call)
            assert status == 200
            assert versions_of(body) == {"1"}
            assert last_event(body) == platform_upstream.EVENT_COUNT


@pytest.mark.parametrize(
    ("first_leaves", "restarts"), [(False, 1), (True, 1), (True, 2)]
)
def test_streams_of_either_version_are_refused_after_all_were_killed(
    tmp_path, first_leaves, restarts
):
    """Guards against the only version that is left, taken for that of all."""
    with running_site(tmp_path) as site:
        first = site.add_engine("1")
        site.start_gateways()
        site.wait_recorded("1")
        calls = begin(site)
        site.add_engine("2").release_answers()
        site.wait_recorded("1", "2")
        if first_leaves:
            first.unregister()
        for _ in range(restarts):
            site.kill_gateways()
            site.start_gateways()
        first.release_answers()
        status, body = resume(site, calls[0])
        assert (status, versions_of(body)) == (503, set())
