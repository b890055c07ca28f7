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
import contextlib
import dataclasses
import signal
from typing import Any

import pytest

from sesamecross.devtools import processes
from sesamecross.fakes import platform_caller
from sesamecross.fakes import platform_instance
from sesamecross.fakes import platform_site
from sesamecross.fakes import platform_upstream

MORE_ROUTES = 250
REFUSED = 503
# What a slow caller's machine takes unread.
SMALL_BUFFER_BYTES = 4096
# For how long requests are held while a process stops: longer than the 2.6 s
# that a stop lasts where nothing is under way. One that ends sooner is not
# waited for, so how long this is decides no verdict of a sound process.
HELD_S = 3.5


# -- events ---------------------------------------------------------------


def hang_up(site: platform_site.PlatformSite) -> None:
    """SIGHUP; the file is as it was."""

    def act() -> None:
        site.gateway.wait_new_log_line(
            "application: reload requested",
            lambda: site.gateway.signal(signal.SIGHUP),
        )

    site.gateway.wait_new_log_line("settings: reloaded", act)


def hang_up_ten_times(site: platform_site.PlatformSite) -> None:
    """Ten SIGHUPs, one after the other."""
    for _ in range(10):
        hang_up(site)


def half_written_settings(site: platform_site.PlatformSite) -> None:
    """SIGHUP in the middle of writing the file, and one when it is whole."""
    gateway = site.gateway
    text = gateway.settings_text(drain_ms=2600)
    gateway.write_settings(text[: len(text) // 2])
    gateway.wait_new_log_line(
        "settings: not taken", lambda: gateway.signal(signal.SIGHUP)
    )

    def act() -> None:
        gateway.write_settings(text)
        gateway.signal(signal.SIGHUP)

    gateway.wait_new_log_line("settings: reloaded", act, in_force=["bounds"])


def replaced_settings(site: platform_site.PlatformSite) -> None:
    """A new file without a signal; the new address waits for a start."""
    gateway = site.gateway
    text = gateway.settings_text(drain_ms=2700, front_port=8150)
    gateway.wait_new_log_line(
        "settings: reloaded",
        lambda: gateway.replace_settings(text),
        in_force=["bounds"],
        from_next_start=["front_address"],
    )


def new_versions(
    *changes: dict[str, Any],
) -> Callable[[platform_site.PlatformSite], None]:
    """Returns the event of versions one right behind the other."""

    def happens(site: platform_site.PlatformSite) -> None:
        for one in changes:
            site.publish(**one)
        site.gateway.wait_log_line(
            "configuration: in force", version=site.version
        )

    return happens


TIMEOUTS = {"timeout_share": 0.9}
NO_ROUTE = {"without": (*platform_site.HELD_SERVICES, platform_site.ARCHIVE)}
ROUTES = {"more_routes": MORE_ROUTES}
IDLE = {"idle_ms": 100_000}


def _replaced_upstreams(
    site: platform_site.PlatformSite,
) -> list[platform_upstream.PlatformUpstream]:
    """Adds others for those at which requests are, and returns the latter."""
    replaced = [site.add_upstream(one) for one in platform_site.HELD_SERVICES]
    site.wait_until_known()
    return replaced


def upstreams_leave(site: platform_site.PlatformSite) -> None:
    """The upstreams at which requests are say that they leave."""
    leaving = _replaced_upstreams(site)
    for one in leaving:
        one.register("draining")
    for one in leaving:
        site.gateway.wait_log_line(
            "upstreams: seen", id=one.instance_id, leaving=True
        )


def upstreams_removed(site: platform_site.PlatformSite) -> None:
    """The entries of the upstreams at which requests are vanish."""
    removed = _replaced_upstreams(site)
    for one in removed:
        one.unregister()
    for one in removed:
        site.gateway.wait_log_line("upstreams: lapsed", id=one.instance_id)


def stop(site: platform_site.PlatformSite) -> None:
    """SIGTERM."""
    site.gateway.wait_new_log_line(
        "gateway: draining", lambda: site.gateway.signal(signal.SIGTERM)
    )


def stop_and_hang_up(site: platform_site.PlatformSite) -> None:
    """SIGTERM, and SIGHUP while the process stops."""
    stop(site)
    site.gateway.wait_new_log_line(
        "application: reload requested",
        lambda: site.gateway.signal(signal.SIGHUP),
    )


def hang_up_and_stop(site: platform_site.PlatformSite) -> None:
    """SIGHUP, and SIGTERM right behind it."""

    def act() -> None:
        site.gateway.signal(signal.SIGHUP)
        stop(site)

    site.gateway.wait_new_log_line("application: reload requested", act)


def stop_twice(site: platform_site.PlatformSite) -> None:
    """SIGTERM, and once more while the process stops."""
    stop(site)
    # Whatever it says of the second one: each signal leaves a line.
    site.gateway.wait_new_log_line(
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
    happens: Callable[[platform_site.PlatformSite], None]
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


def answered_unread(site: platform_site.PlatformSite) -> platform_caller.Call:
    """Returns a call whose large answer waits in the gateway, unread."""
    call = site.call(platform_site.ARCHIVE, receive_buffer=SMALL_BUFFER_BYTES)
    call.send()
    site.gateway.wait_log_line("request: status 200", id=call.request_id)
    return call


class UnderWay:
    """Requests at chosen points of their way."""

    def __init__(self, site: platform_site.PlatformSite):
        self._site = site
        self._stream = site.call(platform_site.WRITERS)
        processes.wait_for(self._begin_stream, "a stream is under way")
        self._unanswered = site.call(platform_site.LEDGER)
        self._unanswered.send()
        processes.wait_for(
            lambda: site.runs_of(self._unanswered.request_id),
            "the plain call runs",
            pause_s=0.01,
        )
        self._unread = answered_unread(site)
        self._half_sent = site.call(platform_site.DESK)
        self._half_sent.send_half()
        before = site.call(platform_site.DESK)
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
        self._stream = self._site.call(platform_site.WRITERS)
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
            "unread answer": self._seen(self._unread),
        }
        if ends:
            hold(self._site)
        for one in self._site.all_upstreams():
            one.release_answers()
        seen["unanswered call"] = self._seen(self._unanswered)
        seen["stream"] = self._seen(self._stream)
        return seen

    def _ask_on_kept(self, may_close: bool) -> Seen:
        call = self._site.call(platform_site.DESK, reused=self._kept)
        call.send()
        seen = self._seen(call)
        if may_close and not seen.answer.status and not seen.runs:
            # The request crossed the close, and nobody passed it on: its
            # caller asks again, on a new connection.
            call = self._site.call(platform_site.DESK)
            call.send()
            seen = self._seen(call)
        return seen

    def _seen(self, call: platform_caller.Call) -> Seen:
        answer = call.finish()
        call.close()
        return Seen(call.body, answer, self._site.runs_of(call.request_id))


UNDER_WAY = (
    "stream",
    "unanswered call",
    "unread answer",
    "half-sent body",
    "kept connection",
)


def hold(site: platform_site.PlatformSite) -> None:
    """Lets the time pass in which a stop ends, if nothing keeps it."""
    with contextlib.suppress(processes.NotReadyError):
        processes.wait_for(
            lambda: not site.gateway.is_running, "the process ends", HELD_S
        )


def play(site: platform_site.PlatformSite, event: Event) -> Played:
    """Lets an event happen while requests are under way."""
    site.prepare()
    under_way = UnderWay(site)
    not_noticed = ""
    try:
        event.happens(site)
    except (platform_instance.ProcessEnded, processes.NotReadyError) as error:
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
    site = platform_site.PlatformSite(tmp_path_factory.mktemp("lasting"))
    yield site
    site.stop()


@pytest.fixture
def own_site(tmp_path):
    """For one test."""
    site = platform_site.PlatformSite(tmp_path)
    yield site
    site.stop()


@pytest.fixture(scope="module", params=EVENTS, ids=lambda one: one.name)
def played(request, tmp_path_factory):
    """Each event, played once."""
    event = request.param
    if not event.ends:
        return play(request.getfixturevalue("lasting_site"), event)
    site = platform_site.PlatformSite(tmp_path_factory.mktemp("ending"))
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
    assert_own_whole_answer(seen.answer, run)


def assert_own_whole_answer(
    answer: platform_caller.Answer, run: platform_upstream.Run
) -> None:
    """Fails unless a caller got exactly what its upstream answered."""
    assert (answer.status, answer.signature) == (200, run.signature)
    # By length first: a difference of megabytes is not readable.
    assert len(answer.body) == len(run.answer)
    assert answer.body == run.answer


def test_slow_caller_gets_the_rest_from_a_process_that_stops(own_site):
    """A caller reads slowly, and the process gets SIGTERM.

    The upstream's answer is whole and the request done, but most of its bytes
    still wait in the process for the caller. If it ends then, they are lost.
    """
    own_site.prepare()
    call = answered_unread(own_site)
    stop(own_site)
    # It should not end: it still has bytes for its caller.
    hold(own_site)
    answer = call.finish()
    call.close()
    assert answer.error == ""
    (run,) = own_site.runs_of(call.request_id)
    assert_own_whole_answer(answer, run)
    assert own_site.gateway.exit_code() == 0
