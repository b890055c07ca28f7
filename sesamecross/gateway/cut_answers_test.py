"""Tests of an upstream's answer that ends early, at each byte, on each way."""

import asyncio

import pytest

from sesamecross.fakes import scripted_gateway
from sesamecross.fakes import strict_response
from sesamecross.gateway import client_connection
from sesamecross.gateway import relay_client

MAX_SENDS = 10
OK = b"HTTP/1.1 200 OK\r\nRequest-Id: aaaa\r\nResponse-Signature: s\r\n"
NO_BODY = OK.replace(b"200 OK", b"204 Nothing")
LENGTH = b"Content-Length: 10\r\n"
BODY = b"the answer"
CODED = (
    b"Transfer-Encoding: chunked\r\n\r\n4\r\nthe \r\n6\r\nanswer\r\n"
    b"0\r\nX-Trailer: x\r\n\r\n"
)
EVENTS = OK + b"Content-Type: text/event-stream\r\n"
EVENT = b"id: 1\ndata: x\n\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
FORMS = {
    "length": OK + LENGTH + b"\r\n" + BODY,
    "length first": OK.replace(b"OK\r\n", b"OK\r\n" + LENGTH) + b"\r\n" + BODY,
    "chunked": OK + CODED,
    "after 103": HINTS + OK + CODED,
    "no body": NO_BODY + b"\r\n",
    "unframed": OK + b"\r\n" + BODY,
}


class _Transport(asyncio.Transport):
    def write(self, data) -> None:
        pass

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def close(self) -> None:
        pass

    def abort(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


class _Loop:
    def time(self) -> float:
        return 0.0


class _Receiver:
    """Takes one answer.

    Attributes:
      is_whole: Whether it ended; None while it goes on.
    """

    def __init__(self) -> None:
        self.is_whole: bool | None = None

    def on_head(self, _status, _headers) -> bool:
        return True

    def on_body(self, data: bytes) -> None:
        pass

    def on_end(self) -> None:
        self.is_whole = True

    def on_failure(self, _reason: str) -> None:
        self.is_whole = False


def _asked() -> tuple[client_connection.ClientConnection, _Receiver]:
    connection = client_connection.ClientConnection(_Loop())
    connection.connection_made(_Transport())
    receiver = _Receiver()
    connection.send(b"GET / HTTP/1.1\r\n\r\n", receiver)
    return connection, receiver


def _close(connection: client_connection.ClientConnection) -> None:
    connection.eof_received()
    connection.connection_lost(None)


def _reset(connection: client_connection.ClientConnection) -> None:
    connection.connection_lost(ConnectionResetError())


def _is_ended_by_close(whole: bytes, cut: int) -> bool:
    """Whether the pages let the end of the connection end the answer here."""
    return whole == FORMS["unframed"] and cut >= len(OK) + 2


@pytest.mark.parametrize("end", [_close, _reset])
@pytest.mark.parametrize("form", FORMS)
def test_a_cut_answer_is_not_whole(form, end):
    """Guards against a cut answer that passes for a whole one."""
    whole = FORMS[form]
    for cut in range(len(whole) + 1):
        connection, receiver = _asked()
        if cut:
            connection.data_received(whole[:cut])
        end(connection)
        expected = cut == len(whole) and form != "unframed"
        if end is _close:
            expected = expected or _is_ended_by_close(whole, cut)
        assert receiver.is_whole == expected, cut


class _Stream:
    transport = _Transport()

    def set_protocol(self, _protocol) -> None:
        pass


@pytest.mark.parametrize("form", FORMS)
def test_an_answer_whose_relay_is_cut_is_not_whole(form):
    """Guards against a peer's end that passes for that of the answer."""
    whole = FORMS[form]
    pieces = (whole[:50], whole[50:])
    marked = b"".join(len(one).to_bytes(4, "big") + one for one in pieces)
    for cut in range(len(marked) + 1):
        connection, receiver = _asked()
        side = relay_client._RelayedSide(connection)
        side.start(_Stream())
        side.data_received(marked[:cut])
        side.eof_received()
        side.connection_lost(None)
        expected = cut == len(marked) and form != "unframed"
        assert receiver.is_whole == expected, cut


def _served(route: str, sent: bytes) -> strict_response.Answer:
    """Returns what a caller gets if the upstream sends this and closes."""

    async def scenario() -> bytes:
        scripts = [scripted_gateway.Script(sent, ends=True)] * MAX_SENDS
        gateway = scripted_gateway.ScriptedGateway(scripts)
        caller = gateway.caller()
        received = await caller.ask("POST", route, "aaaa")
        caller.leave()
        return received

    return strict_response.parse(asyncio.run(scenario()))


@pytest.mark.parametrize("form", FORMS)
def test_a_caller_gets_no_part_of_a_cut_answer(form):
    """Guards against a 200 with half a body, framed as whole."""
    whole = FORMS[form]
    for cut in range(len(whole)):
        if not _is_ended_by_close(whole, cut):
            assert _served("once", whole[:cut]).status == 502, cut
    assert _served("once", whole).status in (200, 204)


@pytest.mark.parametrize(
    "head", [EVENTS + b"\r\n", EVENTS + b"Content-Length: 30\r\n\r\n"]
)
def test_a_stream_that_is_cut_before_its_first_event_is_none(head):
    """Guards against a cut head that passes for an empty stream."""
    for cut in range(len(head) + len(EVENT)):
        answer = _served("stream", (head + EVENT)[:cut])
        assert answer.status == 502, cut


def test_a_cut_refusal_does_not_say_that_nothing_ran():
    """Guards against a second send of a request whose refusal was cut."""
    refusal = (
        b"HTTP/1.1 503 Busy\r\nRequest-Id: aaaa\r\nNot-Executed: 1\r\n"
        b"Content-Length: 4\r\n\r\nbusy"
    )
    for cut in range(len(refusal)):
        assert _served("once", refusal[:cut]).status == 502, cut
    assert _served("once", refusal).status == 503
