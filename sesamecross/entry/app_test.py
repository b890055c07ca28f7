"""Tests of the entry's drain."""

import asyncio
import http.client
import json

from sesamecross.core import data
from sesamecross.entry import app as app_lib
from sesamecross.entry import state as state_lib
from sesamecross.parser import declarations
from sesamecross.parser import settings as settings_lib

CALLER = data.Caller("shop", "", "z", ("*",), ("*",), 5)
SETTINGS = settings_lib.EntrySettings(
    instance="i",
    zone="z",
    region="r",
    listen="127.0.0.1:0",
    steward="127.0.0.1:1",
    shared_key="0123456789abcdef",
    threads=2,
    balancer_lag_ms=0,
)


class DrainingCallers(dict):
    """Runs the whole drain while the caller of a call is looked up."""

    def __init__(self, entry):
        super().__init__()
        self.entry = entry

    def get(self, _digest):
        asyncio.run(self.entry.drain())
        return CALLER


def test_a_call_is_counted_before_the_drain_ends_or_refused():
    """A call kept running while a drained entry shut down its components.

    Its thread checked for refusal just before admission stopped, and counted
    the call just after the drain saw none open. The check and the count must
    be one atomic step.
    """
    entry = app_lib.EntryApp.from_settings(SETTINGS)
    entry._state._snapshot = state_lib.Snapshot(
        1,
        declarations.parse({}).declarations,
        DrainingCallers(entry),
        frozenset(),
        True,
    )
    environ = {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": "/v1/models",
        "HTTP_AUTHORIZATION": "Bearer key",
    }
    statuses = []
    body = entry._http._server.wsgi_app(
        environ, lambda status, _headers: statuses.append(status)
    )
    document = json.loads(b"".join(body))
    assert statuses == ["503 Service Unavailable"]
    assert document["type"].endswith(":stopping")
    assert document["executed"] == "no"


def test_answers_in_a_drain_end_their_connections():
    """A caller sent a request on a kept connection just as it was closed.

    If the entry keeps connections alive until it stops, a caller that sends a
    request at that moment can't know whether it ran. From the start of a drain
    each response must close its connection.
    """
    entry = app_lib.EntryApp.from_settings(SETTINGS)
    entry._http.start()
    try:
        caller = http.client.HTTPConnection(entry._http.address, timeout=10)
        connection_headers = []
        for is_draining in (False, True):
            if is_draining:
                asyncio.run(entry.drain())
            caller.request("GET", "/healthz")
            answer = caller.getresponse()
            answer.read()
            connection_headers.append(answer.getheader("Connection"))
        caller.close()
    finally:
        entry._http.shut_down()
    assert connection_headers == [None, "close"]
