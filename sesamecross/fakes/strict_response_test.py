"""Tests of the strict reading of answers: what counts as one."""

import contextlib
import http.client
import socket

import pytest

from sesamecross.fakes import strict_response

HEAD = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 2\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
REFUSED = (strict_response.InvalidAnswer, http.client.HTTPException)
CHUNKS = b"2\r\nok\r\n0\r\n\r\n"


VALID = [
    pytest.param(HEAD + LENGTH + b"\r\nok", "GET", b"ok", id="length"),
    pytest.param(HEAD + CHUNKED + b"\r\n" + CHUNKS, "GET", b"ok", id="chunks"),
    pytest.param(HEAD + b"\r\nok", "GET", b"ok", id="until the close"),
    pytest.param(
        b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + LENGTH + b"\r\nok",
        "GET",
        b"ok",
        id="interim answer",
    ),
    pytest.param(HEAD + LENGTH + b"\r\n", "HEAD", b"", id="HEAD"),
    pytest.param(b"HTTP/1.1 204 No Content\r\n\r\n", "GET", b"", id="204"),
    pytest.param(
        b"HTTP/1.1 304 Not Modified\r\n" + LENGTH + b"\r\n",
        "GET",
        b"",
        id="304",
    ),
]
INVALID = [
    pytest.param(HEAD + CHUNKED * 2 + b"\r\n" + CHUNKS, "GET", id="codings"),
    pytest.param(
        HEAD + LENGTH + CHUNKED + b"\r\n" + CHUNKS, "GET", id="both framings"
    ),
    pytest.param(HEAD + LENGTH * 2 + b"\r\nok", "GET", id="lengths"),
    pytest.param(
        HEAD + LENGTH + b"Content-Length: 3\r\n\r\nok", "GET", id="two lengths"
    ),
    pytest.param(
        b"HTTP/1.1 204 No Content\r\n\r\nok", "GET", id="204 with a body"
    ),
    pytest.param(
        b"HTTP/1.1 204 No Content\r\n" + LENGTH + b"\r\n",
        "GET",
        id="204 with a length",
    ),
    pytest.param(
        b"HTTP/1.1 304 Not Modified\r\n" + LENGTH + b"\r\nok",
        "GET",
        id="304 with a body",
    ),
    pytest.param(HEAD + LENGTH + b"\r\nok", "HEAD", id="HEAD with a body"),
    pytest.param(HEAD + LENGTH + b"\r\nok\r\n", "GET", id="bytes after"),
    pytest.param(
        HEAD + CHUNKED + b"\r\n" + CHUNKS + HEAD, "GET", id="second answer"
    ),
    pytest.param(HEAD + LENGTH + b"\r\no", "GET", id="cut length"),
    pytest.param(HEAD + CHUNKED + b"\r\n2\r\nok\r\n", "GET", id="cut chunks"),
    pytest.param(HEAD + LENGTH, "GET", id="cut head"),
    pytest.param(HEAD + b"X : a\r\n" + LENGTH + b"\r\nok", "GET", id="name"),
    pytest.param(b"ok\r\n\r\n", "GET", id="no head"),
]


@pytest.mark.parametrize(("sent", "method", "body"), VALID)
def test_an_answer_by_the_rules_is_read(sent, method, body):
    assert strict_response.parse(sent, method).body == body


@pytest.mark.parametrize(("sent", "method"), INVALID)
def test_an_answer_that_is_no_http_is_refused(sent, method):
    """Guards against a stand-in that reads what real callers refuse."""
    with pytest.raises(REFUSED):
        strict_response.parse(sent, method)


def test_a_caller_may_leave_in_the_middle():
    """Guards against an error of the check itself at an early close."""
    caller, server = socket.socketpair()
    with contextlib.closing(caller), contextlib.closing(server):
        server.sendall(HEAD + CHUNKED + b"\r\n2\r\nok\r\n")
        response = strict_response.StrictResponse(caller, method="GET")
        response.begin()
        assert response.read(2) == b"ok"
        server.sendall(b"2\r\nno\r\n")
        response.close()
