"""Tests of the entry's planned stop."""

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


class Callers(dict):
    """Lets the whole drain pass while a call's caller is looked up."""

    def __init__(self, entry):
        super().__init__()
        self.entry = entry

    def get(self, _digest):
        asyncio.run(self.entry.drain())
        return CALLER


def test_a_call_is_counted_before_the_drain_ends_or_refused():
    """A call ran on while its entry was taken apart by a planned stop.

    Its thread had looked whether calls are refused just before they were, and
    was counted as open just after the drain had seen that no call is. The two
    looks were not one step; now the counting itself refuses.
    """
    entry = app_lib.EntryApp.from_settings(SETTINGS)
    entry._state._snapshot = state_lib.Snapshot(
        1,
        declarations.parse({}).declarations,
        Callers(entry),
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
    """A caller's next order met the end of a connection that it had kept.

    The entry went on keeping connections alive until it stopped, and closed
    them then. Whoever sent a request on one at that moment could not know
    whether it had run. From the drain's first moment an answer says that its
    connection ends.
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
