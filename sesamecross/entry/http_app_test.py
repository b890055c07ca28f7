"""Tests of streamed responses whose status has been sent."""

import socket
import types

import pytest

from sesamecross.core import clock
from sesamecross.core import data
from sesamecross.core import refusal
from sesamecross.entry import http_app
from sesamecross.entry import model_call
from sesamecross.entry import state as state_lib
from sesamecross.fakes import strict_response
from sesamecross.ops import timeline
from sesamecross.ports import engine_stream
from sesamecross.runtime import http_server


class _Call:
    """A call whose relay ends with an error."""

    def __init__(self, error: Exception):
        self._error = error

    def relay_rest(self, sink) -> None:
        raise self._error


def stream(error: Exception) -> tuple[list[str], bytes]:
    """Returns the statuses sent and the response's bytes."""
    ours, theirs = socket.socketpair()
    connection = types.SimpleNamespace(socket=ours, is_chunked=False)
    request = types.SimpleNamespace(
        call_id="call1", environ={http_server.CONNECTION: connection}
    )
    statuses: list[str] = []
    try:
        pieces = http_app.HttpApp._stream_response(
            None,
            request,
            types.SimpleNamespace(wants_usage=False),
            _Call(error),
            [],
            lambda status, headers: statuses.append(status),
        )
        return statuses, b"".join(pieces)
    finally:
        ours.close()
        theirs.close()


@pytest.mark.parametrize(
    "error",
    [
        model_call.CallRefusedError(refusal.no_upstream("m")),
        model_call.EngineRejectedError(
            engine_stream.Rejected(422, "text/plain", b"no")
        ),
    ],
    ids=["refused", "rejected by the next engine"],
)
def test_an_error_after_the_status_is_an_event_of_the_stream(error):
    """Guards against a second status, or an answer that looks complete.

    An engine failed in mid-stream, and the next one rejected the rest.
    """
    statuses, body = stream(error)
    assert statuses == ["200 OK"]
    assert b"event: error\n" in body
    assert b"call1" in body
    assert b"[DONE]" not in body


def models_call(state) -> tuple[http_app.HttpApp, dict]:
    app = object.__new__(http_app.HttpApp)
    app._state = state
    app._authenticate = lambda *_: data.Caller("shop", "", "z", (), (), 5)
    app._metrics = types.SimpleNamespace(count=lambda *_: None)
    return app, {"PATH_INFO": "/v1/models", "REQUEST_METHOD": "GET"}


@pytest.mark.parametrize("how", ["unread", "begun", "whole", "failed"])
def test_an_admitted_call_is_released_however_its_body_ends(how):
    """Guards against a caller's places that gone connections keep for ever."""
    state = state_lib.EntryState(
        timeline.Recorder("e", "z", clock.ManualClock(0))
    )
    state._snapshot = state_lib.Snapshot(1, None, {}, frozenset(), True)
    app, environ = models_call(state)

    def pieces(*_):
        yield b"a"
        if how == "failed":
            raise ZeroDivisionError
        yield b"b"

    app._route = pieces
    body = app(environ, lambda *_: None)
    assert state.active_calls == 1
    match how:
        case "begun":
            assert next(iter(body)) == b"a"
        case "whole":
            assert b"".join(body) == b"ab"
        case "failed":
            with pytest.raises(ZeroDivisionError):
                list(body)
    body.close()
    body.close()
    assert state.active_calls == 0


def answered(method: str, status: int, body: bytes) -> strict_response.Answer:
    """Returns what a strict caller reads of a service's answer."""

    def app(environ: dict, start_response):
        return http_app.HttpApp._send_response(
            None,
            types.SimpleNamespace(call_id="call1", method=method),
            status,
            "text/plain",
            body,
            start_response,
        )

    server = http_server.HttpServer(
        "test", "127.0.0.1:0", app, http_server.Limits()
    )
    server.start()
    try:
        with socket.create_connection(server.address.split(":")) as caller:
            caller.sendall(
                f"{method} / HTTP/1.1\r\nHost: h\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            received = b""
            while data := caller.recv(65_536):
                received += data
        return strict_response.parse(received, method)
    finally:
        server.shut_down()


@pytest.mark.parametrize(
    ("method", "status", "body", "length"),
    [
        ("GET", 200, b"ok", "2"),
        ("GET", 200, b"", "0"),
        ("GET", 204, b"", None),
        ("GET", 304, b"", None),
        ("HEAD", 200, b"", None),
        ("HEAD", 204, b"", None),
    ],
)
def test_an_answer_states_a_length_only_where_it_is_that_of_a_body(
    method, status, body, length
):
    """Guards against a length on 204, and one of 0 that HEAD did not ask."""
    answer = answered(method, status, body)
    assert answer.body == body
    assert dict(answer.headers).get("content-length") == length
