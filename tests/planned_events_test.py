"""Tests of a gateway under planned events, as callers and upstreams see them.

Operators changed the settings files and sent each gateway in turn a SIGHUP
while answers were streamed. Each process ended within a millisecond, with code
129 and without a log line: it had no handler for the signal, whose default
action ends a process. Callers lost their answers in the middle, and upstreams
saw their requests cut off.

So each planned event happens to the real program while requests are in
progress. It must neither end the process nor cut off a request.
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

ADDED_ROUTES = 250
REFUSED = 503
# Socket receive buffer of a slow caller.
RECEIVE_BUFFER_BYTES = 4096
# How long requests are kept open while a process stops: longer than the 2.6 s
# that an idle process takes to stop. The wait ends when the process does, so
# that this value does not change the result of a correct process.
HOLD_S = 3.5


# -- events ---------------------------------------------------------------


def reload(site: platform_site.PlatformSite) -> None:
    """Sends SIGHUP; the settings file is unchanged."""

    def action() -> None:
        site.gateway.wait_new_log_line(
            "application: reload requested",
            lambda: site.gateway.signal(signal.SIGHUP),
        )

    site.gateway.wait_new_log_line("settings: reloaded", action)


def reload_ten_times(site: platform_site.PlatformSite) -> None:
    """Sends ten SIGHUPs in sequence."""
    for _ in range(10):
        reload(site)


def reload_half_written_settings(site: platform_site.PlatformSite) -> None:
    """Sends SIGHUP while the file is half written, and when it is complete."""
    gateway = site.gateway
    text = gateway.settings_text(drain_ms=2600)
    gateway.write_settings(text[: len(text) // 2])
    gateway.wait_new_log_line(
        "settings: not taken", lambda: gateway.signal(signal.SIGHUP)
    )

    def action() -> None:
        gateway.write_settings(text)
        gateway.signal(signal.SIGHUP)

    gateway.wait_new_log_line("settings: reloaded", action, in_force=["bounds"])


def replace_settings_file(site: platform_site.PlatformSite) -> None:
    """Replaces the file without a signal; the address needs a restart."""
    gateway = site.gateway
    text = gateway.settings_text(drain_ms=2700, front_port=8150)
    gateway.wait_new_log_line(
        "settings: reloaded",
        lambda: gateway.replace_settings(text),
        in_force=["bounds"],
        from_next_start=["front_address"],
    )


def publish_versions(
    *changes: dict[str, Any],
) -> Callable[[platform_site.PlatformSite], None]:
    """Returns a trigger that publishes versions in quick succession."""

    def trigger(site: platform_site.PlatformSite) -> None:
        for change in changes:
            site.publish(**change)
        site.gateway.wait_log_line(
            "configuration: in force", version=site.version
        )

    return trigger


TIMEOUTS = {"timeout_share": 0.9}
NO_ROUTE = {"without": (*platform_site.HELD_SERVICES, platform_site.ARCHIVE)}
ROUTES = {"more_routes": ADDED_ROUTES}
IDLE = {"idle_ms": 100_000}


def _replace_upstreams(
    site: platform_site.PlatformSite,
) -> list[platform_upstream.PlatformUpstream]:
    """Adds an upstream for each that has requests; returns the latter."""
    replaced = [
        site.add_upstream(service) for service in platform_site.HELD_SERVICES
    ]
    site.wait_until_known()
    return replaced


def drain_upstreams(site: platform_site.PlatformSite) -> None:
    """The upstreams that have requests in progress begin to drain."""
    leaving = _replace_upstreams(site)
    for upstream in leaving:
        upstream.register("draining")
    for upstream in leaving:
        site.gateway.wait_log_line(
            "upstreams: seen", id=upstream.instance_id, leaving=True
        )


def remove_upstreams(site: platform_site.PlatformSite) -> None:
    """The upstreams that have requests in progress are unregistered."""
    removed = _replace_upstreams(site)
    for upstream in removed:
        upstream.unregister()
    for upstream in removed:
        site.gateway.wait_log_line("upstreams: lapsed", id=upstream.instance_id)


def stop(site: platform_site.PlatformSite) -> None:
    """Sends SIGTERM."""
    site.gateway.wait_new_log_line(
        "gateway: draining", lambda: site.gateway.signal(signal.SIGTERM)
    )


def stop_then_reload(site: platform_site.PlatformSite) -> None:
    """Sends SIGTERM, and SIGHUP while the process stops."""
    stop(site)
    site.gateway.wait_new_log_line(
        "application: reload requested",
        lambda: site.gateway.signal(signal.SIGHUP),
    )


def reload_then_stop(site: platform_site.PlatformSite) -> None:
    """Sends SIGHUP, and SIGTERM immediately after it."""

    def action() -> None:
        site.gateway.signal(signal.SIGHUP)
        stop(site)

    site.gateway.wait_new_log_line("application: reload requested", action)


def stop_twice(site: platform_site.PlatformSite) -> None:
    """Sends SIGTERM, and again while the process stops."""
    stop(site)
    # Any line will do: each signal must be logged.
    site.gateway.wait_new_log_line(
        "application: ", lambda: site.gateway.signal(signal.SIGTERM)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A planned event.

    Attributes:
      trigger: Causes the event; returns when the gateway has logged it.
      ends: Whether the event ends the process, with code 0.
    """

    name: str
    trigger: Callable[[platform_site.PlatformSite], None]
    ends: bool = False


EVENTS = (
    Event("sighup", reload),
    Event("ten sighups", reload_ten_times),
    Event("sighup with half a file", reload_half_written_settings),
    Event("file replaced", replace_settings_file),
    Event("timeouts changed", publish_versions(TIMEOUTS)),
    Event("route removed", publish_versions(NO_ROUTE)),
    Event("250 routes more", publish_versions(ROUTES)),
    Event("idle limit changed", publish_versions(IDLE)),
    Event(
        "versions in succession",
        publish_versions(TIMEOUTS, NO_ROUTE, ROUTES, IDLE),
    ),
    Event("upstreams leave", drain_upstreams),
    Event("upstreams removed", remove_upstreams),
    Event("sigterm", stop, ends=True),
    Event("sigterm then sighup", stop_then_reload, ends=True),
    Event("sighup then sigterm", reload_then_stop, ends=True),
    Event("sigterm twice", stop_twice, ends=True),
)

# -- requests in progress ---------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOutcome:
    """The outcome of a request, as its caller and its upstream saw it."""

    sent: bytes
    answer: platform_caller.Answer
    runs: list[platform_upstream.Run]


@dataclasses.dataclass(frozen=True, slots=True)
class EventOutcome:
    """The outcome of an event.

    Attributes:
      not_observed: Why the wait for the gateway's log lines failed; empty if
        all of them came.
      exit_code: None if the process still runs.
      outcomes: By kind of request.
    """

    event: Event
    not_observed: str
    exit_code: int | None
    outcomes: dict[str, RequestOutcome]


def send_unread_call(site: platform_site.PlatformSite) -> platform_caller.Call:
    """Returns a call whose large answer is buffered in the gateway, unread."""
    call = site.call(platform_site.ARCHIVE, receive_buffer=RECEIVE_BUFFER_BYTES)
    call.send()
    site.gateway.wait_log_line("request: status 200", id=call.request_id)
    return call


class OpenRequests:
    """Requests that are in progress, each at a different point."""

    def __init__(self, site: platform_site.PlatformSite):
        self._site = site
        self._stream = site.call(platform_site.WRITERS)
        processes.wait_for(self._begin_stream, "a stream is in progress")
        self._unanswered = site.call(platform_site.LEDGER)
        self._unanswered.send()
        processes.wait_for(
            lambda: site.runs_of(self._unanswered.request_id),
            "the plain call runs",
            pause_s=0.01,
        )
        self._unread = send_unread_call(site)
        self._half_sent = site.call(platform_site.DESK)
        self._half_sent.send_half()
        before = site.call(platform_site.DESK)
        before.send()
        assert before.finish().status == 200
        self._idle_connection = before.connection

    def _begin_stream(self) -> bool:
        """Returns whether a stream has begun and is not complete.

        A new engine may count as empty for a moment. Calls are then refused
        with the advice to retry, which this does.
        """
        self._stream.send(for_model=True)
        if self._stream.read_first_events():
            return True
        assert self._stream.finish().status == REFUSED
        self._stream.close()
        self._stream = self._site.call(platform_site.WRITERS)
        return False

    def finish(self, ends: bool) -> dict[str, RequestOutcome]:
        """Completes all requests.

        Args:
          ends: Whether the event ends the process. It may then close idle
            connections, but has to wait for requests in progress.
        """
        self._half_sent.send_rest()
        outcomes = {
            "half-sent body": self._finish_call(self._half_sent),
            "kept connection": self._call_on_idle_connection(may_close=ends),
            "unread answer": self._finish_call(self._unread),
        }
        if ends:
            wait_for_early_end(self._site)
        for upstream in self._site.all_upstreams():
            upstream.release_answers()
        outcomes["unanswered call"] = self._finish_call(self._unanswered)
        outcomes["stream"] = self._finish_call(self._stream)
        return outcomes

    def _call_on_idle_connection(self, may_close: bool) -> RequestOutcome:
        call = self._site.call(platform_site.DESK, reused=self._idle_connection)
        call.send()
        outcome = self._finish_call(call)
        if may_close and not outcome.answer.status and not outcome.runs:
            # The request crossed the close of the connection and was not
            # forwarded. The caller retries on a new connection.
            call = self._site.call(platform_site.DESK)
            call.send()
            outcome = self._finish_call(call)
        return outcome

    def _finish_call(self, call: platform_caller.Call) -> RequestOutcome:
        answer = call.finish()
        call.close()
        return RequestOutcome(
            call.body, answer, self._site.runs_of(call.request_id)
        )


REQUEST_KINDS = (
    "stream",
    "unanswered call",
    "unread answer",
    "half-sent body",
    "kept connection",
)


def wait_for_early_end(site: platform_site.PlatformSite) -> None:
    """Waits as long as a stop would take if no request were in progress."""
    with contextlib.suppress(processes.NotReadyError):
        processes.wait_for(
            lambda: not site.gateway.is_running, "the process ends", HOLD_S
        )


def run_event(site: platform_site.PlatformSite, event: Event) -> EventOutcome:
    """Triggers an event while requests are in progress."""
    site.prepare()
    open_requests = OpenRequests(site)
    not_observed = ""
    try:
        event.trigger(site)
    except (platform_instance.ProcessEnded, processes.NotReadyError) as error:
        not_observed = str(error)
    outcomes = open_requests.finish(event.ends)
    exit_code = None
    if event.ends or not site.gateway.is_running:
        exit_code = site.gateway.exit_code()
    return EventOutcome(event, not_observed, exit_code, outcomes)


# -- tests ------------------------------------------------------------------


@pytest.fixture(scope="module")
def shared_site(tmp_path_factory):
    """A site for the events that do not end the gateway."""
    site = platform_site.PlatformSite(tmp_path_factory.mktemp("lasting"))
    yield site
    site.stop()


@pytest.fixture
def own_site(tmp_path):
    """A site for one test."""
    site = platform_site.PlatformSite(tmp_path)
    yield site
    site.stop()


@pytest.fixture(scope="module", params=EVENTS, ids=lambda event: event.name)
def event_outcome(request, tmp_path_factory):
    """The outcome of each event, which is triggered once."""
    event = request.param
    if not event.ends:
        return run_event(request.getfixturevalue("shared_site"), event)
    site = platform_site.PlatformSite(tmp_path_factory.mktemp("ending"))
    try:
        return run_event(site, event)
    finally:
        site.stop()


def test_process_ends_only_where_it_should(event_outcome):
    expected = 0 if event_outcome.event.ends else None
    assert (event_outcome.not_observed, event_outcome.exit_code) == (
        "",
        expected,
    )


@pytest.mark.parametrize("request_kind", REQUEST_KINDS)
def test_request_runs_once_and_gets_its_whole_answer(
    event_outcome, request_kind
):
    outcome = event_outcome.outcomes[request_kind]
    assert (outcome.answer.error, [run.is_cut for run in outcome.runs]) == (
        "",
        [False],
    )
    run = outcome.runs[0]
    assert run.body == outcome.sent
    assert_complete_answer(outcome.answer, run)


def assert_complete_answer(
    answer: platform_caller.Answer, run: platform_upstream.Run
) -> None:
    """Checks that a caller got exactly the answer of its upstream."""
    assert (answer.status, answer.signature) == (200, run.signature)
    # Lengths first: the diff of two bodies of megabytes is unreadable.
    assert len(answer.body) == len(run.answer)
    assert answer.body == run.answer


def test_slow_caller_gets_the_rest_from_a_process_that_stops(own_site):
    """A process that stopped early would lose an answer that it has buffered.

    The caller reads slowly when the process gets SIGTERM. The upstream has sent
    its whole answer and the request is done, but most of the bytes are still in
    the process. They are lost if it ends then.
    """
    own_site.prepare()
    call = send_unread_call(own_site)
    stop(own_site)
    # The process should not end: it still has bytes for its caller.
    wait_for_early_end(own_site)
    answer = call.finish()
    call.close()
    assert answer.error == ""
    (run,) = own_site.runs_of(call.request_id)
    assert_complete_answer(answer, run)
    assert own_site.gateway.exit_code() == 0
