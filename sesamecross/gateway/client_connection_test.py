"""Tests of what an upstream's bytes count as: one answer, or a failure."""

import asyncio

import pytest

from sesamecross.core import body_buffer
from sesamecross.gateway import client_connection

HEAD = b"HTTP/1.1 200 OK\r\n"
ANSWER = HEAD + b"Content-Length: 2\r\n\r\nok"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"


class _Transport(asyncio.Transport):
    """Records whether the connection was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.is_closed = False

    def write(self, data) -> None:
        """Nothing is sent."""

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = True

    def is_closing(self) -> bool:
        return self.is_closed

    def pause_reading(self) -> None:
        """Nothing is read from here."""

    def resume_reading(self) -> None:
        """Nothing is read from here."""

    def get_write_buffer_size(self) -> int:
        return 0


class _Receiver:
    """Records one response.

    Attributes:
      body: The body so far.
      status: Of its head; 0 before.
      outcome: How it ended: "complete", "failed", or "open".
    """

    def __init__(self) -> None:
        self.body = b""
        self.status = 0
        self.outcome = "open"

    def on_head(self, status, headers) -> bool:
        self.status = status
        return True

    def on_body(self, data) -> None:
        self.body += data

    def on_end(self) -> None:
        assert self.outcome == "open"
        self.outcome = "complete"

    def on_failure(self, reason) -> None:
        assert self.outcome == "open"
        self.outcome = "failed"


class _Upstream:
    """An upstream whose bytes the test sends over a connection."""

    def __init__(self) -> None:
        self.connection = client_connection.ClientConnection(_Loop())
        self.connection.connection_made(_Transport())

    def ask(self, method: bytes = b"GET") -> _Receiver:
        """Sends a request; returns what receives its response."""
        receiver = _Receiver()
        request = client_connection.encode_request(method, b"/", [], b"")
        self.connection.send(request, receiver, method == b"HEAD")
        return receiver

    def answer(self, sent: bytes, size: int) -> None:
        """Sends bytes, `size` at a time."""
        for start in range(0, len(sent), size):
            self.connection.data_received(sent[start : start + size])


class _Loop:
    def __init__(self) -> None:
        self.soon = []

    def time(self) -> float:
        return 0.0

    def call_soon(self, call) -> None:
        self.soon.append(call)


SIZES = [pytest.param(1, id="bytes"), pytest.param(10_000, id="at once")]


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("answer", [ANSWER, CHUNKED + b"\r\n"])
@pytest.mark.parametrize(
    "extra",
    [
        b"????",
        b"ok",
        ANSWER,
        ANSWER[:20],
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
        b"Connection: upgrade\r\n\r\n",
    ],
)
def test_bytes_after_a_complete_response_do_not_undo_it(extra, answer, size):
    """Guards against a whole answer that its caller never gets."""
    upstream = _Upstream()
    receiver = upstream.ask()
    upstream.answer(answer + extra, size)
    assert (receiver.outcome, receiver.body) == ("complete", b"ok")
    assert not upstream.connection.is_available


@pytest.mark.parametrize("size", SIZES)
def test_bytes_after_a_response_that_closes_do_not_undo_it(size):
    """Guards against a whole answer that its caller never gets."""
    upstream = _Upstream()
    receiver = upstream.ask()
    head = HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\n"
    upstream.answer(head + b"ok????", size)
    assert (receiver.outcome, receiver.body) == ("complete", b"ok")
    assert not upstream.connection.is_available


def test_a_response_to_head_ends_with_its_head():
    """Guards against a wait for a body that HEAD does not have."""
    upstream = _Upstream()
    receiver = upstream.ask(b"HEAD")
    upstream.answer(HEAD + b"Content-Length: 2\r\n\r\n", 10_000)
    assert (receiver.outcome, receiver.body) == ("complete", b"")


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize(
    "framing", [b"Content-Length: 2\r\n", b"Transfer-Encoding: chunked\r\n"]
)
def test_nothing_follows_a_response_to_head(framing, size):
    """Guards against a body that is taken for the next response."""
    upstream = _Upstream()
    receiver = upstream.ask(b"HEAD")
    upstream.answer(HEAD + framing + b"\r\n" + ANSWER, size)
    assert (receiver.outcome, receiver.body) == ("complete", b"")
    assert not upstream.connection.is_available


INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 9\r\n\r\n"


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize(
    ("sent", "outcome", "body"),
    [
        (b"HTTP/1.1 100 Continue\r\n\r\n" + ANSWER, "complete", b"ok"),
        (INTERIM * 2 + ANSWER, "complete", b"ok"),
        (INTERIM, "open", b""),
        (CHUNKED + b"X-Sum: 1\r\n\r\n", "complete", b"ok"),
        (CHUNKED, "open", b"ok"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", "complete", b""),
        (
            b"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n",
            "complete",
            b"",
        ),
        (HEAD + b"\r\nok", "open", b"ok"),
        (
            HEAD
            + b"Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "failed",
            b"",
        ),
        (
            HEAD
            # Stated twice, applied once.
            + b"Transfer-Encoding: chunked\r\n"
            + CHUNKED[len(HEAD) :]
            + b"\r\n",
            "complete",
            b"ok",
        ),
        (HEAD + b"Transfer-Encoding: gzip\r\n\r\nok", "failed", b""),
        (
            HEAD + b"Content-Length: 2\r\n" + CHUNKED[len(HEAD) :] + b"\r\n",
            "failed",
            b"",
        ),
        (
            HEAD + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
            "failed",
            b"",
        ),
        (HEAD + b"Content-Length: 2, 2\r\n\r\nok", "failed", b""),
        (
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
            b"Connection: upgrade\r\n\r\n" + ANSWER,
            "failed",
            b"",
        ),
    ],
)
def test_a_response_is_whole_or_fails(sent, outcome, body, closes, size):
    """Guards against a body that isn't the upstream's own whole one."""
    upstream = _Upstream()
    receiver = upstream.ask()
    upstream.answer(sent, size)
    if closes:
        upstream.connection.eof_received()
        if outcome == "open":
            outcome = "complete" if sent == HEAD + b"\r\nok" else "failed"
    assert (receiver.outcome, receiver.body) == (outcome, body)
    if receiver.outcome != "complete":
        assert not upstream.connection.is_available


class _SlowUpstream:
    """An upstream that takes what is sent only when the test says so."""

    def __init__(self) -> None:
        self.loop = _Loop()
        self.connection = client_connection.ClientConnection(self.loop)
        self.transport = _Transport()
        self.sent = b""
        self.most_buffered = 0
        self._buffered = 0
        self.transport.write = self._write
        self.transport.get_write_buffer_size = lambda: self._buffered
        self.connection.connection_made(self.transport)

    def _write(self, data: bytes) -> None:
        self.sent += data
        self._buffered += len(data)
        self.most_buffered = max(self.most_buffered, self._buffered)
        if self._buffered > 64 * 1024:
            self.connection.pause_writing()

    def take(self) -> None:
        """Reads all that is buffered."""
        self._buffered = 0
        self.connection.resume_writing()
        while self.loop.soon:
            self.loop.soon.pop()()


def _buffer(size: int) -> body_buffer.BodyBuffer:
    buffer = body_buffer.BodyBuffer(size)
    buffer.append(bytes(index % 251 for index in range(size)))
    return buffer


def test_a_large_body_is_sent_as_the_upstream_takes_it():
    """Guards against a second copy of a body that an upstream reads slowly."""
    upstream = _SlowUpstream()
    receiver = _Receiver()
    body = _buffer(1_000_000)
    head = client_connection.encode_request(b"POST", b"/", [], body)
    upstream.connection.send(head, receiver, body=body)
    assert not upstream.connection.is_request_sent
    while not upstream.connection.is_request_sent:
        upstream.take()
    upstream.take()
    assert upstream.sent == head + body.read(0, len(body))
    assert upstream.most_buffered < 256 * 1024
    upstream.connection.data_received(ANSWER)
    assert receiver.outcome == "complete"
    assert upstream.connection.is_available


def test_an_answer_before_the_end_of_a_body_ends_the_connection():
    """Guards against an upstream that reads a body's rest as a request."""
    upstream = _SlowUpstream()
    receiver = _Receiver()
    body = _buffer(1_000_000)
    head = client_connection.encode_request(b"POST", b"/", [], body)
    upstream.connection.send(head, receiver, body=body)
    upstream.connection.data_received(ANSWER)
    assert receiver.outcome == "complete"
    assert not upstream.connection.is_available
    sent = upstream.sent
    body.close()
    upstream.take()
    assert upstream.sent == sent
