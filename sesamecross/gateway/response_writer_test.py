"""Tests of the framing of responses, as strict callers read them."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.fakes import strict_response
from sesamecross.gateway import response_writer as response_writer_lib


class _Connection:
    """Records what is written and whether the response ended."""

    closes_after_response = False
    keep_alive_header = b"keep-alive: timeout=15\r\n"

    def __init__(self) -> None:
        self.written = b""
        self.has_ended = False

    def write(self, data) -> None:
        self.written += data

    def abort(self) -> None:
        """No response is aborted here."""

    def on_response_sent(self, closes, may_follow) -> None:
        self.has_ended = True


def send_whole(writer, status, headers) -> None:
    writer.send_response(status, headers, b"ok")


def send_chunked(writer, status, headers) -> None:
    writer.begin_chunked(status, headers, b"o")
    writer.send_chunk(b"k")
    writer.end_chunked()


SENDERS = [
    pytest.param(send_whole, id="whole"),
    pytest.param(send_chunked, id="chunked"),
]


def respond(
    send, headers, status: int = 200, method: str = "GET"
) -> strict_response.Answer:
    """Returns what a strict caller reads of a response."""
    connection = _Connection()
    writer = response_writer_lib.ResponseWriter(
        connection, True, method == "HEAD"
    )
    send(writer, status, headers)
    assert connection.has_ended
    return strict_response.parse(connection.written, method)


OF_THE_CONNECTION = [
    (b"connection", b"close"),
    (b"Connection", b"upgrade"),
    (b"keep-alive", b"timeout=1"),
    (b"te", b"trailers"),
    (b"trailer", b"x-sum"),
    (b"transfer-encoding", b"chunked"),
    (b"transfer-encoding", b"gzip"),
    (b"upgrade", b"h2c"),
    (b"content-length", b"7"),
    (b"Content-Length", b"2"),
    (b"proxy-connection", b"keep-alive"),
    (b"proxy-authenticate", b"basic"),
    (b"proxy-authentication-info", b"x"),
]


@pytest.mark.parametrize("send", SENDERS)
@given(
    headers=st.lists(st.sampled_from(OF_THE_CONNECTION), max_size=4),
    status=st.sampled_from((200, 204, 304, 503)),
    method=st.sampled_from(("GET", "HEAD")),
)
@settings(derandomize=True, deadline=None, max_examples=60)
def test_a_response_has_the_framing_of_its_writer_alone(
    send, headers, status, method
):
    """Guards against an answer with two framings, which is no HTTP."""
    expected = respond(send, [], status, method)
    named = [(b"connection", b"X-Hop , close"), (b"x-hop", b"1")]
    kept = [(b"x-kept", b"yes")]
    answer = respond(send, headers + named + kept, status, method)
    assert answer.headers == (("x-kept", "yes"), *expected.headers)
    assert answer.body == expected.body


@pytest.mark.parametrize("send", SENDERS)
@pytest.mark.parametrize(
    ("status", "method"),
    [
        *itertools.product((200, 503), ("GET", "HEAD")),
        *itertools.product((204, 304), ("GET", "HEAD")),
    ],
)
def test_a_response_has_a_body_only_where_http_has_one(send, status, method):
    """Guards against a body that a caller takes for the next answer."""
    has_body = status in (200, 503) and method == "GET"
    answer = respond(send, [], status, method)
    assert answer.body == (b"ok" if has_body else b"")


def test_the_length_of_a_body_that_is_not_known_is_not_stated():
    """Guards against a length of 0 for a body that HEAD asked about."""
    answer = respond(
        lambda writer, status, headers: writer.send_response(
            status, headers, b""
        ),
        [],
        method="HEAD",
    )
    assert "content-length" not in dict(answer.headers)
