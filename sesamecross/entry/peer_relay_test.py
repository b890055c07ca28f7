"""Tests of an entry that can't reach the upstreams, while another one can."""

import contextlib
import dataclasses
import http.client
import json
import socket
import types

import pytest

from sesamecross.core import data
from sesamecross.entry import app as app_lib
from sesamecross.entry import state as state_lib
from sesamecross.fakes import base
from sesamecross.ops import timeline
from sesamecross.parser import declarations
from sesamecross.parser import settings as settings_lib
from sesamecross.utils import digest

KEY = "caller-key"
MODEL = "m"
SERVICE = "orders"


def closed_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Upstreams(base.FakeServer):
    """An engine and a plain service; counts what ran.

    Attributes:
      breaks: Whether streams break off after their first event.
    """

    def __init__(self):
        super().__init__("upstreams", "127.0.0.1:0", threads=8)
        self.ran: list[str] = []
        self.breaks = False
        self.route("POST", "/v1/chat/completions", self._call)
        self.route("ANY", "/.*", self._service)

    def _call(self, request: base.Request) -> base.Response:
        self.ran.append(request.path)
        call_id = request.header("X-Request-Id")
        headers = {
            "Content-Type": "text/event-stream",
            "X-Request-Id": call_id,
        }
        return base.Response(self._events(call_id), headers=headers)

    def _events(self, call_id: str):
        for number in range(1, 4):
            choice = {"index": 0, "delta": {"content": f"{number} "}}
            chunk = {"id": call_id, "model": MODEL, "choices": [choice]}
            yield f"id: {number}\ndata: {json.dumps(chunk)}\n\n".encode()
            if self.breaks:
                raise ConnectionAbortedError
        last = {
            "id": call_id,
            "model": MODEL,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        }
        yield f"id: 3\ndata: {json.dumps(last)}\n\n".encode()
        yield b"data: [DONE]\n\n"

    def _service(self, request: base.Request) -> base.Response:
        self.ran.append(request.path)
        return base.Response({"done": request.method})


def snapshot(url: str) -> state_lib.Snapshot:
    tree = {
        "regions": {"r": {}},
        "zones": {"z": {"region": "r"}},
        "upstreams": {
            "engine": {
                "kind": "engine",
                "zone": "z",
                "url": url,
                "memory_mib": 1000,
                "concurrency": 4,
            },
            "app": {"kind": "service", "zone": "z", "url": url},
        },
        "promises": {"p": {"first_token_ms": 5000, "queue_ms": 5000}},
        "models": {MODEL: {"memory_mib": 10, "promise": "p"}},
        "services": {SERVICE: {"upstreams": ["app"]}},
        "callers": {
            "shop": {
                "key_digest": digest.of_bearer_key(KEY),
                "home_zone": "z",
                "models": ["*"],
                "services": ["*"],
                "concurrency": 10,
            }
        },
    }
    parsed = declarations.parse(tree)
    assert parsed.declarations is not None, parsed.errors
    callers = {
        caller.key_digest: caller
        for caller in parsed.declarations.callers.values()
    }
    return state_lib.Snapshot(
        1, parsed.declarations, callers, frozenset(), True
    )


class Entry:
    """An entry of this process."""

    def __init__(self, name: str, upstream_url: str):
        self.app = app_lib.EntryApp.from_settings(
            settings_lib.EntrySettings(
                instance=name,
                zone="z",
                region="r",
                listen="127.0.0.1:0",
                steward="127.0.0.1:1",
                shared_key="0123456789abcdef",
                threads=8,
                balancer_lag_ms=0,
            )
        )
        self.snapshot = snapshot(upstream_url)
        self.app._state._snapshot = self.snapshot
        self.app._dispatcher.configure(
            self.snapshot.declarations, frozenset(), 1
        )
        self.app._dispatcher.update_reports(
            [
                data.UpstreamReport(
                    "engine", "e", 1, True, False, 0, 0, (MODEL,), 0, 1000
                )
            ],
            frozenset(),
        )
        self.app.components()
        self.app._http.start()

    @property
    def address(self) -> str:
        return self.app._http.address

    def know(self, *peers: "Entry | str") -> None:
        addresses = [
            one if isinstance(one, str) else one.address for one in peers
        ]
        self.app._state._snapshot = dataclasses.replace(
            self.snapshot,
            peers=tuple(
                data.EntryPeer(f"peer-{number}", "z", address)
                for number, address in enumerate(addresses)
            ),
        )

    def call(self, what: str) -> tuple[int, bytes]:
        caller = http.client.HTTPConnection(self.address, timeout=20)
        body = json.dumps(
            {
                "model": MODEL,
                "messages": [{"role": "user", "content": "hi"}],
                "stream": what == "stream",
            }
        )
        method, path = {
            "read": ("GET", f"/services/{SERVICE}/stock?item=7"),
            "write": ("POST", f"/services/{SERVICE}/orders"),
        }.get(what, ("POST", "/v1/chat/completions"))
        caller.request(
            method,
            path,
            body if method == "POST" else None,
            {"Authorization": f"Bearer {KEY}"},
        )
        answer = caller.getresponse()
        content = answer.read()
        caller.close()
        return answer.status, content


@contextlib.contextmanager
def site(others: int = 1):
    """Runs an entry that is cut off, and others that are not."""
    upstreams = Upstreams()
    upstreams.server.start()
    url = f"http://{upstreams.server.address}"
    entries = [Entry("cut", f"http://127.0.0.1:{closed_port()}")]
    entries += [Entry(f"other-{number}", url) for number in range(others)]
    try:
        yield types.SimpleNamespace(
            upstreams=upstreams, cut=entries[0], others=entries[1:], url=url
        )
    finally:
        for entry in entries:
            entry.app._http.shut_down()
            entry.app._dispatcher.shut_down()
        upstreams.server.shut_down()


CALLS = ["read", "write", "document", "stream"]


@pytest.mark.parametrize("what", CALLS)
def test_an_entry_that_is_cut_off_serves_its_callers(what):
    """Guards against refusals while another entry reaches the upstreams."""
    with site() as running:
        running.cut.know(*running.others)
        for number in range(1, 4):
            status, body = running.cut.call(what)
            assert status == 200, body
            assert len(running.upstreams.ran) == number
            if what == "stream":
                assert body.endswith(b"data: [DONE]\n\n")


@pytest.mark.parametrize("what", CALLS)
def test_calls_are_refused_truthfully_if_all_entries_are_cut_off(what):
    """Guards against calls that circulate among entries."""
    with site(0) as running:
        dead = f"http://127.0.0.1:{closed_port()}"
        peers = [Entry(f"peer-{number}", dead) for number in range(2)]
        try:
            for entry in (running.cut, *peers):
                entry.know(
                    *(one for one in (running.cut, *peers) if one is not entry)
                )
            status, body = running.cut.call(what)
            assert status >= 500
            assert json.loads(body)["executed"] == "no"
        finally:
            for entry in peers:
                entry.app._http.shut_down()
                entry.app._dispatcher.shut_down()


def test_a_dead_peer_and_one_that_is_cut_off_are_passed_over():
    """Guards against calls that fail with the first peer that is tried."""
    with site() as running:
        cut_too = Entry("cut-too", f"http://127.0.0.1:{closed_port()}")
        try:
            running.cut.know(
                f"127.0.0.1:{closed_port()}", cut_too, *running.others
            )
            for _ in range(4):
                assert running.cut.call("write")[0] == 200
            assert len(running.upstreams.ran) == 4
        finally:
            cut_too.app._http.shut_down()
            cut_too.app._dispatcher.shut_down()


def test_a_relayed_stream_that_breaks_off_does_not_look_complete():
    """Guards against half an answer that a caller takes for the whole."""
    with site() as running:
        running.cut.know(*running.others)
        running.upstreams.breaks = True
        _, body = running.cut.call("stream")
        assert b"event: error" in body
        assert b"[DONE]" not in body


def test_the_own_links_are_used_again_once_they_work():
    """Guards against an entry that relays for ever."""
    with site() as running:
        running.cut.know(*running.others)
        assert running.cut.call("read")[0] == 200
        links = running.cut.app._http._server.wsgi_app._links
        assert links.must_relay()
        links.record_contact("app")
        assert not links.must_relay()


def test_events_name_the_peer():
    with site() as running:
        running.cut.know(*running.others)
        running.cut.call("read")
        events = running.cut.app.recorder.events(100, "")
        routes = [
            one.what for one in events if one.kind is timeline.EventKind.ROUTE
        ]
        assert "relayed by peer-0" in routes
