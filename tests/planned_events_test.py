"""A gateway under planned events, as callers and upstreams see it.

Operators changed the settings files and sent each gateway a SIGHUP, one after
the other, while streams were under way. Each process ended within a
millisecond, with code 129 and without a line; its callers lost their answers
in the middle, and its upstreams saw the requests cut. The process had no
handler for the signal, whose default action ends it.

So here the real program runs, and each planned event happens while requests
are in the middle: it must neither end the process nor cut off a request.
"""

from collections.abc import Callable
import concurrent.futures
import contextlib
import dataclasses
import pathlib
import signal
from typing import Any

import pytest

from sesamecross.devtools import processes
from sesamecross.fakes import platform_caller
from sesamecross.fakes import platform_instance
from sesamecross.fakes import platform_store
from sesamecross.fakes import platform_upstream

WRITERS, LEDGER, DESK = "writers", "ledger", "desk"
# Routes by the service that they lead to; one path for each.
PATHS = {WRITERS: "/reports/today", LEDGER: "/passes/new", DESK: "/book/new"}
KINDS = {WRITERS: "streaming", LEDGER: "unsafe", DESK: "unsafe"}
# Longer than any play: no request may end by its time. Requests to the desk
# come while a process stops, and would be refused if they could outlast it.
TIMEOUTS_MS = {WRITERS: 120_000, LEDGER: 120_000, DESK: 10_000}
IDLE_MS = 120_000
MORE_ROUTES = 250
REFUSED = 503
# Versions go up in uneven steps.
VERSION_STEP = 7
# More than the kernel holds for a caller whose machine takes 4 KB unread.
LARGE_BYTES = 6 * 1024 * 1024
SMALL_BUFFER_BYTES = 4096
# For how long requests are held while a process stops: longer than the 2.6 s
# that a stop lasts where nothing is under way. One that ends sooner is not
# waited for, so how long this is decides no verdict of a sound process.
HELD_S = 3.5


def route(
    service: str, timeout_share: float, path_prefix: str = ""
) -> dict[str, Any]:
    """Returns a route to a service, by its own path or another one."""
    return {
        "name": f"route {path_prefix or service}",
        "hostname": platform_caller.HOST,
        "pathPrefix": path_prefix or PATHS[service].rpartition("/")[0] + "/",
        "kind": KINDS[service],
        "service": service,
        "maxAttempts": 1,
        "timeoutMs": TIMEOUTS_MS[service] * timeout_share,
        "targetLatencyMs": 500,
        "targetGapMs": 250 if service == WRITERS else 0,
        "priority": 1,
        "sessionAffinity": service == WRITERS,
    }


def configuration(
    version: int,
    timeout_share: float = 1.0,
    idle_ms: int = IDLE_MS,
    without: tuple[str, ...] = (),
    more_routes: int = 0,
) -> dict[str, Any]:
    """Returns a configuration in full, as operators write it."""
    routes = [route(one, timeout_share) for one in PATHS if one not in without]
    routes.extend(
        route(DESK, timeout_share, f"/more/{number}/")
        for number in range(more_routes)
    )
    model = {
        "name": platform_caller.MODEL,
        "weightsMb": 1000,
        "loadS": 0.1,
        "adapters": 0,
        "adapterMb": 0,
    }
    engine = {
        "slots": 16,
        "kvCapacity": 100_000,
        "weightsMb": 8000,
        "adapterSlots": 0,
        "loadsPerS": 10,
        "stride": 5,
        "models": [model],
    }
    services = [
        {"name": one, "healthPath": "/health", "maxConnections": 100}
        for one in PATHS
    ]
    services[0]["engine"] = engine
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": IDLE_MS,
            "idleTimeoutMs": idle_ms,
        },
    }


class Site:
    """A store, upstreams, and one gateway as a process."""

    def __init__(self, work: pathlib.Path):
        self.store = platform_store.PlatformStore("127.0.0.1:0")
        self.store.start()
        self.gateway = platform_instance.PlatformInstance(
            work, self.store.server.address
        )
        # The newest of each service, and those that they replaced.
        self.upstreams: dict[str, platform_upstream.PlatformUpstream] = {}
        self._replaced: list[platform_upstream.PlatformUpstream] = []
        self.version = 0

    def stop(self) -> None:
        """Ends all."""
        self.gateway.kill()
        # Each takes half a second to end.
        with concurrent.futures.ThreadPoolExecutor() as pool:
            ended = [pool.submit(one.shut_down) for one in self.all_upstreams()]
            ended.append(pool.submit(self.store.shut_down))
        for one in ended:
            one.result()

    def begin(self, answer_bytes: int = 200) -> None:
        """Puts everything as it is before an event."""
        self.publish()
        for service in PATHS:
            if service not in self.upstreams:
                self.add_upstream(service, answer_bytes)
            # The desk answers at once, the others when the test lets go.
            if service != DESK:
                self.upstreams[service].hold()
        if not self.gateway.is_running:
            self.gateway.start()
            self.gateway.wait_ready()
        self.wait_known()

    def publish(self, **changes: Any) -> None:
        """Writes the next version of the configuration."""
        self.version += VERSION_STEP
        self.store.publish(configuration(self.version, **changes))

    def add_upstream(
        self, service: str, answer_bytes: int = 200
    ) -> platform_upstream.PlatformUpstream | None:
        """Starts the next upstream of a service; returns the one before."""
        before = self.upstreams.get(service)
        if before is not None:
            self._replaced.append(before)
        one = platform_upstream.PlatformUpstream(
            self.store,
            f"i-{service}-{len(self._replaced)}",
            service,
            platform_instance.ZONE,
            (platform_caller.MODEL,) if service == WRITERS else (),
            answer_bytes,
        )
        one.start()
        if service == DESK:
            one.let_go()
        self.upstreams[service] = one
        return before

    def wait_known(self) -> None:
        """Waits until the gateway knows all that the store holds."""
        self.gateway.wait_line("configuration: in force", version=self.version)
        for one in self.upstreams.values():
            self.gateway.wait_line("upstreams: seen", id=one.instance_id)

    def all_upstreams(self) -> list[platform_upstream.PlatformUpstream]:
        """Returns the upstreams of all services, also those replaced."""
        return [*self.upstreams.values(), *self._replaced]

    def runs_of(self, request_id: str) -> list[platform_upstream.Run]:
        """Returns all runs of one request."""
        return [
            run
            for one in self.all_upstreams()
            for run in one.runs_of(request_id)
        ]

    def call(self, service: str, **how: Any) -> platform_caller.Call:
        """Returns a call on the route of a service."""
        return platform_caller.Call(self.gateway.front, PATHS[service], **how)


# -- events ---------------------------------------------------------------


def hang_up(site: Site) -> None:
    """SIGHUP; the file is as it was."""

    def act() -> None:
        site.gateway.wait_new_line(
            "application: reload requested",
            lambda: site.gateway.signal(signal.SIGHUP),
        )

    site.gateway.wait_new_line("settings: reloaded", act)


def hang_up_ten_times(site: Site) -> None:
    """Ten SIGHUPs, one after the other."""
    for _ in range(10):
        hang_up(site)


def half_written_settings(site: Site) -> None:
    """SIGHUP in the middle of writing the file, and one when it is whole."""
    gateway = site.gateway
    text = gateway.settings_text(drain_ms=2600)
    gateway.write_settings(text[: len(text) // 2])
    gateway.wait_new_line(
        "settings: not taken", lambda: gateway.signal(signal.SIGHUP)
    )

    def act() -> None:
        gateway.write_settings(text)
        gateway.signal(signal.SIGHUP)

    gateway.wait_new_line("settings: reloaded", act, in_force=["bounds"])


def replaced_settings(site: Site) -> None:
    """A new file without a signal; the new address waits for a start."""
    gateway = site.gateway
    text = gateway.settings_text(drain_ms=2700, front_port=8150)
    gateway.wait_new_line(
        "settings: reloaded",
        lambda: gateway.replace_settings(text),
        in_force=["bounds"],
        from_next_start=["front_address"],
    )


def new_versions(*changes: dict[str, Any]) -> Callable[[Site], None]:
    """Returns the event of versions one right behind the other."""

    def happens(site: Site) -> None:
        for one in changes:
            site.publish(**one)
        site.gateway.wait_line("configuration: in force", version=site.version)

    return happens


TIMEOUTS = {"timeout_share": 0.9}
NO_ROUTE = {"without": (WRITERS, LEDGER)}
ROUTES = {"more_routes": MORE_ROUTES}
IDLE = {"idle_ms": 100_000}


def _replaced_upstreams(
    site: Site,
) -> list[platform_upstream.PlatformUpstream]:
    """Adds others for those at which requests are, and returns the latter."""
    replaced = [site.add_upstream(one) for one in (WRITERS, LEDGER)]
    site.wait_known()
    return replaced


def upstreams_leave(site: Site) -> None:
    """The upstreams at which requests are say that they leave."""
    leaving = _replaced_upstreams(site)
    for one in leaving:
        one.register("draining")
    for one in leaving:
        site.gateway.wait_line(
            "upstreams: seen", id=one.instance_id, leaving=True
        )


def upstreams_removed(site: Site) -> None:
    """The entries of the upstreams at which requests are vanish."""
    removed = _replaced_upstreams(site)
    for one in removed:
        one.unregister()
    for one in removed:
        site.gateway.wait_line("upstreams: lapsed", id=one.instance_id)


def stop(site: Site) -> None:
    """SIGTERM."""
    site.gateway.wait_new_line(
        "gateway: draining", lambda: site.gateway.signal(signal.SIGTERM)
    )


def stop_and_hang_up(site: Site) -> None:
    """SIGTERM, and SIGHUP while the process stops."""
    stop(site)
    site.gateway.wait_new_line(
        "application: reload requested",
        lambda: site.gateway.signal(signal.SIGHUP),
    )


def hang_up_and_stop(site: Site) -> None:
    """SIGHUP, and SIGTERM right behind it."""

    def act() -> None:
        site.gateway.signal(signal.SIGHUP)
        stop(site)

    site.gateway.wait_new_line("application: reload requested", act)


def stop_twice(site: Site) -> None:
    """SIGTERM, and once more while the process stops."""
    stop(site)
    # Whatever it says of the second one: each signal leaves a line.
    site.gateway.wait_new_line(
        "application: ", lambda: site.gateway.signal(signal.SIGTERM)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Something planned.

    Attributes:
      happens: Makes it happen; returns when the gateway has taken notice.
      ends: Whether the process ends by it, with code 0.
    """

    name: str
    happens: Callable[[Site], None]
    ends: bool = False


EVENTS = (
    Event("sighup", hang_up),
    Event("ten sighups", hang_up_ten_times),
    Event("sighup with half a file", half_written_settings),
    Event("file replaced", replaced_settings),
    Event("timeouts changed", new_versions(TIMEOUTS)),
    Event("route removed", new_versions(NO_ROUTE)),
    Event("250 routes more", new_versions(ROUTES)),
    Event("idle limit changed", new_versions(IDLE)),
    Event(
        "versions in succession", new_versions(TIMEOUTS, NO_ROUTE, ROUTES, IDLE)
    ),
    Event("upstreams leave", upstreams_leave),
    Event("upstreams removed", upstreams_removed),
    Event("sigterm", stop, ends=True),
    Event("sigterm then sighup", stop_and_hang_up, ends=True),
    Event("sighup then sigterm", hang_up_and_stop, ends=True),
    Event("sigterm twice", stop_twice, ends=True),
)

# -- what is under way ------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What became of one request, on both sides."""

    sent: bytes
    answer: platform_caller.Answer
    runs: list[platform_upstream.Run]


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """An event, and what came of it.

    Attributes:
      not_noticed: What the gateway did not take notice of; empty where it
        did of all.
      exit_code: None where the process still runs.
      seen: By what was under way.
    """

    event: Event
    not_noticed: str
    exit_code: int | None
    seen: dict[str, Seen]


class UnderWay:
    """Requests at chosen points of their way."""

    def __init__(self, site: Site):
        self._site = site
        self._stream = site.call(WRITERS)
        processes.wait_for(self._begin_stream, "a stream is under way")
        self._unanswered = site.call(LEDGER)
        self._unanswered.send()
        processes.wait_for(
            lambda: site.runs_of(self._unanswered.request_id),
            "the plain call runs",
            pause_s=0.01,
        )
        self._half_sent = site.call(DESK)
        self._half_sent.send_half()
        before = site.call(DESK)
        before.send()
        assert before.finish().status == 200
        self._kept = before.connection

    def _begin_stream(self) -> bool:
        """Returns whether a stream is in its middle.

        An engine that has just come may count as empty for a moment. Its
        callers are told to come back then, and do.
        """
        self._stream.send(for_model=True)
        if self._stream.read_first_events():
            return True
        assert self._stream.finish().status == REFUSED
        self._stream.close()
        self._stream = self._site.call(WRITERS)
        return False

    def finish(self, ends: bool) -> dict[str, Seen]:
        """Goes on with all requests, to their ends.

        Args:
          ends: Whether the process ends by the event. It may close idle
            connections then, and has to stay for requests under way.
        """
        self._half_sent.send_rest()
        seen = {
            "half-sent body": self._seen(self._half_sent),
            "kept connection": self._ask_on_kept(may_close=ends),
        }
        if ends:
            hold(self._site)
        for one in self._site.all_upstreams():
            one.let_go()
        seen["unanswered call"] = self._seen(self._unanswered)
        seen["stream"] = self._seen(self._stream)
        return seen

    def _ask_on_kept(self, may_close: bool) -> Seen:
        call = self._site.call(DESK, kept=self._kept)
        call.send()
        seen = self._seen(call)
        if may_close and not seen.answer.status and not seen.runs:
            # The request crossed the close, and nobody passed it on: its
            # caller asks again, on a new connection.
            call = self._site.call(DESK)
            call.send()
            seen = self._seen(call)
        return seen

    def _seen(self, call: platform_caller.Call) -> Seen:
        answer = call.finish()
        call.close()
        return Seen(call.body, answer, self._site.runs_of(call.request_id))


UNDER_WAY = ("stream", "unanswered call", "half-sent body", "kept connection")


def hold(site: Site) -> None:
    """Lets the time pass in which a stop ends, if nothing keeps it."""
    with contextlib.suppress(processes.NotReady):
        processes.wait_for(
            lambda: not site.gateway.is_running, "the process ends", HELD_S
        )


def play(site: Site, event: Event) -> Played:
    """Lets an event happen while requests are under way."""
    site.begin()
    under_way = UnderWay(site)
    not_noticed = ""
    try:
        event.happens(site)
    except (platform_instance.Ended, processes.NotReady) as error:
        not_noticed = str(error)
    seen = under_way.finish(event.ends)
    exit_code = None
    if event.ends or not site.gateway.is_running:
        exit_code = site.gateway.exit_code()
    return Played(event, not_noticed, exit_code, seen)


# -- tests ------------------------------------------------------------------


@pytest.fixture(scope="module")
def lasting_site(tmp_path_factory):
    """For the events that end nothing."""
    site = Site(tmp_path_factory.mktemp("lasting"))
    yield site
    site.stop()


@pytest.fixture
def own_site(tmp_path):
    """For one test."""
    site = Site(tmp_path)
    yield site
    site.stop()


@pytest.fixture(scope="module", params=EVENTS, ids=lambda one: one.name)
def played(request, tmp_path_factory):
    """Each event, played once."""
    event = request.param
    if not event.ends:
        return play(request.getfixturevalue("lasting_site"), event)
    site = Site(tmp_path_factory.mktemp("ending"))
    try:
        return play(site, event)
    finally:
        site.stop()


def test_process_ends_only_where_it_should(played):
    expected = 0 if played.event.ends else None
    assert (played.not_noticed, played.exit_code) == ("", expected)


@pytest.mark.parametrize("under_way", UNDER_WAY)
def test_request_runs_once_and_gets_its_whole_answer(played, under_way):
    seen = played.seen[under_way]
    assert (seen.answer.error, [one.is_cut for one in seen.runs]) == (
        "",
        [False],
    )
    run = seen.runs[0]
    assert run.body == seen.sent
    assert seen.answer == platform_caller.Answer(200, run.signature, run.answer)


def test_slow_caller_gets_the_rest_from_a_process_that_stops(own_site):
    """A caller reads slowly, and the process gets SIGTERM.

    The upstream's answer is whole and the request done, but most of its bytes
    still wait in the process for the caller. If it ends then, they are lost.
    """
    own_site.begin(answer_bytes=LARGE_BYTES)
    call = own_site.call(LEDGER, receive_buffer=SMALL_BUFFER_BYTES)
    call.send()
    own_site.upstreams[LEDGER].let_go()
    own_site.gateway.wait_line("request: status 200", id=call.request_id)
    stop(own_site)
    # It should not end: it still has bytes for its caller.
    hold(own_site)
    answer = call.finish()
    call.close()
    assert answer.error == ""
    (run,) = own_site.runs_of(call.request_id)
    assert (answer.status, answer.signature) == (200, run.signature)
    # Compared by length first: a difference of megabytes is not readable.
    assert len(answer.body) == len(run.answer)
    assert answer.body == run.answer
    assert own_site.gateway.exit_code() == 0
