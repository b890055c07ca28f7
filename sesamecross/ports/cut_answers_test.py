"""Tests of answers that end early, at each byte, for each that reads them."""

from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import json
import re
import socket
import struct
import threading

import pytest
from returns.result import Success

from sesamecross.core import data
from sesamecross.ports import engine_http
from sesamecross.ports import engine_stream
from sesamecross.ports import entry_http
from sesamecross.ports import http_client
from sesamecross.ports import instances_http
from sesamecross.ports import log_http
from sesamecross.ports import service_http

_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
TIMEOUT_S = 5.0
NAMED = b"X-Request-Id: call1\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + NAMED
BUSY = b"HTTP/1.1 429 Busy\r\nContent-Type: text/plain\r\n" + NAMED
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"


class Upstream:
    """An upstream that sends the same bytes on each connection, and ends it.

    Attributes:
      sent: The bytes.
      resets: Whether it resets the connection in place of closing it.
    """

    def __init__(self) -> None:
        self.sent = b""
        self.resets = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    @property
    def url(self) -> str:
        return f"http://{self.address}"

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                with contextlib.suppress(OSError), connection:
                    self._answer(connection)

    def _answer(self, connection: socket.socket) -> None:
        connection.settimeout(TIMEOUT_S)
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65_536)
        head, _, body = received.partition(b"\r\n\r\n")
        length = _LENGTH.search(head)
        # A close with unread bytes would reset the connection.
        while length is not None and len(body) < int(length.group(1)):
            body += connection.recv(65_536)
        connection.sendall(self.sent)
        if self.resets:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )

    def close(self) -> None:
        self._listener.close()


@pytest.fixture(name="upstream")
def _upstream():
    upstream = Upstream()
    yield upstream
    upstream.close()


def chunked(head: bytes, body: bytes) -> bytes:
    """Returns an answer in two chunks, with a trailer."""
    half = len(body) // 2
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(part), part)
        for part in (body[:half], body[half:])
        if part
    )
    coded = b"Transfer-Encoding: chunked\r\n\r\n"
    return head + coded + chunks + b"0\r\nX-Trailer: x\r\n\r\n"


def framed(head: bytes, body: bytes) -> bytes:
    """Returns an answer with a length."""
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def length_first(head: bytes, body: bytes) -> bytes:
    """Returns an answer whose length stands before all other fields."""
    status, _, rest = head.partition(b"\r\n")
    length = b"\r\nContent-Length: %d\r\n" % len(body)
    return status + length + rest + b"\r\n" + body


def unframed(head: bytes, body: bytes) -> bytes:
    """Returns an answer that ends with its connection."""
    return head + b"\r\n" + body


FORMS = {
    "length": framed,
    "length first": length_first,
    "chunked": chunked,
    "after 100": lambda head, body: CONTINUE + framed(head, body),
    "after 103": lambda head, body: HINTS + chunked(head, body),
    "unframed": unframed,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """One way of calling an upstream.

    Attributes:
      read: Calls it; returns whether an answer was believed.
      body: Of its answers.
    """

    read: Callable[[Upstream], bool]
    body: bytes


def _call_service(method: str, idempotent: bool) -> Callable[[Upstream], bool]:
    def call(upstream: Upstream) -> bool:
        request = service_http.ServiceCall(
            upstream.url, method, "/", (), b"", TIMEOUT_S, "call1"
        )
        answer = service_http.HttpService().call(request, idempotent)
        return isinstance(answer, data.Answer)

    return call


def _call_entry(upstream: Upstream) -> bool:
    call = entry_http.RelayedCall("POST", "/", (), b"x", TIMEOUT_S)
    answer = entry_http.send(upstream.address, call)
    if isinstance(answer, http_client.Failed):
        return False
    try:
        list(answer.chunks())
    except entry_http.BrokenError:
        return False
    finally:
        answer.close()
    return True


def _open_stream(upstream: Upstream) -> bool:
    """Returns whether a rejection was believed; its body is not a stream."""
    answer = engine_stream.EngineStream.open(
        engine_stream.CallRequest(
            upstream.url, "/", b"{}", "call1", 5, TIMEOUT_S
        )
    )
    return isinstance(answer, engine_stream.Rejected)


def _send_order(upstream: Upstream) -> bool:
    order = data.Order("o", "u", "e", data.OrderAction.LOAD_MODEL, "t", "1", 1)
    sent = engine_http.HttpEngine().send_order(upstream.url, order, 1)
    return isinstance(sent, Success)


STATUS = {
    "epoch": "e",
    "sequence": 1,
    "leaving": False,
    "running": 0,
    "waiting": 0,
    "resident": [],
    "used_mib": 0,
    "capacity_mib": 1,
    "orders": {},
    "fence": 1,
}
READERS = {
    "service, repeatable": Reader(_call_service("GET", True), b"the answer"),
    "service, once": Reader(_call_service("POST", False), b"the answer"),
    "other entry": Reader(_call_entry, b"the answer"),
    "engine's status": Reader(
        lambda upstream: isinstance(
            engine_http.HttpEngine().status("u", upstream.url), Success
        ),
        json.dumps(STATUS).encode(),
    ),
    "engine's order": Reader(_send_order, b'{"state": "applied"}'),
    "instances": Reader(
        lambda upstream: isinstance(
            instances_http.HttpInstances(upstream.url).read(), Success
        ),
        b"[]",
    ),
    "log, append": Reader(
        lambda upstream: isinstance(
            log_http.HttpLog(upstream.url).append(b"x"), Success
        ),
        b'{"offset": 12}',
    ),
    "log, read": Reader(
        lambda upstream: isinstance(
            log_http.HttpLog(upstream.url).read(0, 0), Success
        ),
        b'{"first": 0, "next": 0, "records": []}',
    ),
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("reader", READERS)
def test_an_answer_that_ends_early_is_none(upstream, reader, form):
    """Guards against a cut answer that passes for a whole one."""
    read, body = READERS[reader].read, READERS[reader].body
    whole = FORMS[form](OK, body)
    believed = []
    for cut, resets in itertools.product(range(len(whole)), (False, True)):
        upstream.sent, upstream.resets = whole[:cut], resets
        if read(upstream):
            believed.append((cut, resets))
    assert believed == []
    upstream.sent, upstream.resets = whole, False
    assert read(upstream) == (form != "unframed")


@pytest.mark.parametrize("form", FORMS)
def test_an_engines_rejection_that_ends_early_is_none(upstream, form):
    """Guards against a cut rejection that passes for a whole one."""
    whole = FORMS[form](BUSY, b"busy")
    for cut, resets in itertools.product(range(len(whole)), (False, True)):
        upstream.sent, upstream.resets = whole[:cut], resets
        assert not _open_stream(upstream), (cut, resets)
    upstream.sent, upstream.resets = whole, False
    assert _open_stream(upstream) == (form != "unframed")


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", b"200 OK"), ("GET", b"204 Nothing")]
)
def test_an_answer_without_a_body_ends_with_its_head(upstream, method, status):
    """Guards against a cut head that passes for an answer without a body."""
    read = _call_service(method, True)
    whole = b"HTTP/1.1 " + status + b"\r\n" + NAMED + b"X-A: b\r\n\r\n"
    for cut, resets in itertools.product(range(len(whole)), (False, True)):
        upstream.sent, upstream.resets = whole[:cut], resets
        assert not read(upstream), (cut, resets)
    upstream.sent, upstream.resets = whole, False
    assert read(upstream)


@pytest.mark.parametrize(
    "sent",
    [
        b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n",
        OK + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nab",
        OK + b"Content-Length: -2\r\n\r\nab",
        OK + b"Transfer-Encoding: gzip\r\n\r\nab",
        CONTINUE * 100 + framed(OK, b"ab"),
    ],
)
def test_an_answer_of_unclear_length_is_none(upstream, sent):
    """Guards against a body whose end was guessed."""
    upstream.sent = sent
    assert not _call_service("GET", True)(upstream)


def test_an_informational_head_is_not_the_answer(upstream):
    """Guards against an answer that the next call on the connection gets."""
    upstream.sent = HINTS + framed(OK, b"the answer")
    request = service_http.ServiceCall(
        upstream.url, "GET", "/", (), b"", TIMEOUT_S, "call1"
    )
    answer = service_http.HttpService().call(request, True)
    assert (answer.status, answer.body) == (200, b"the answer")
