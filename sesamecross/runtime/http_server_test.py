"""Tests of the HTTP server's bounds on what callers send."""

import socket
import threading
import time

from cheroot import connections
import pytest

from sesamecross.runtime import http_server
from sesamecross.runtime import http_shutdown


def app(environ, start_response):
    try:
        body = http_server.read_body(environ)
    except http_server.SlowBody:
        body = b"slow"
    return http_server.send_response(
        start_response, "200 OK", body, "text/plain"
    )


@pytest.fixture
def server():
    limits = http_server.Limits(threads=2, receive_s=0.5)
    one = http_server.HttpServer("test", "127.0.0.1:0", app, limits)
    one.start()
    yield one
    one.shut_down()


def connect(server):
    host, port = server.address.split(":")
    return socket.create_connection((host, int(port)), timeout=10)


HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n"


@pytest.mark.parametrize("before", [b"", HEAD])
def test_trickling_callers_do_not_hold_the_threads(server, before):
    # R13: two callers send a byte now and then, each within the allowed
    # pause, and would hold both threads. They are cut off, and a third
    # caller is answered.
    slow = [connect(server) for _ in range(2)]
    for raw in slow:
        raw.sendall(before or b"POST / HTTP/1.1\r\n")
    ended = 0
    for _ in range(200):
        time.sleep(0.05)
        for raw in list(slow):
            try:
                raw.sendall(b"X")
            except OSError:
                slow.remove(raw)
                ended += 1
        if not slow:
            break
    assert ended == 2
    with connect(server) as third:
        third.sendall(HEAD + b"y" * 50)
        answer = b""
        while b"y" * 50 not in answer:
            piece = third.recv(4096)
            assert piece, answer
            answer += piece


def busy(environ, start_response):
    """Refuses without a look at the body, as a process that stops does."""
    return http_server.send_response(
        start_response, "503 Service Unavailable", b"no"
    )


class Held(list):
    """A body after which the server's thread waits before it goes on."""

    gate = threading.Event()

    def close(self):
        assert self.gate.wait(10)


def busy_held(environ, start_response):
    return Held(busy(environ, start_response))


def answers_at_stop(monkeypatch, app, before):
    """Stops a server; `before` acts when it has looked for work at last.

    Returns:
      What `before` returned.
    """
    limits = http_server.Limits(threads=2)
    one = http_server.HttpServer("test", "127.0.0.1:0", app, limits)
    one.start()
    found = []
    library_stop = connections.ConnectionManager.stop

    def stop(manager):
        library_stop(manager)
        found.append(before(one, kept))

    try:
        kept = connect(one)
        kept.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = b""
        while not answer.endswith(b"no"):
            answer += kept.recv(4096)
        while app is busy and not one._server._connections._num_connections:
            time.sleep(0.01)
        monkeypatch.setattr(connections.ConnectionManager, "stop", stop)
    finally:
        one.shut_down()
    return found[0]


def on_kept(_server, kept):
    kept.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    return kept


def on_new(server, _kept):
    new = connect(server)
    new.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    return new


def on_answered(_server, kept):
    kept.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    Held.gate.set()
    return kept


@pytest.mark.parametrize(
    ("app", "before"),
    [(busy, on_kept), (busy, on_new), (busy_held, on_answered)],
)
def test_a_request_that_came_before_the_port_closed_is_answered(
    monkeypatch, app, before
):
    """A caller's order was reset at an instance that stopped by plan.

    The order stood in the instance's buffers when it last looked for work.
    Its connection was closed with the order unread, so that its caller could
    not know whether it had run. `http_ending` looks once more, at the port,
    at kept connections, and at those whose answer has just been written.
    """
    caller = answers_at_stop(monkeypatch, app, before)
    answer = b""
    while piece := caller.recv(4096):
        answer += piece
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Connection: close" in answer
    assert answer.endswith(b"no")


@pytest.mark.parametrize("connection", ["keep-alive", "close"])
def test_a_refusal_reaches_a_caller_that_still_sends_its_body(connection):
    """A caller got a reset in place of its refusal.

    The refusal was written before the body was read. Where the connection
    ended with it, it was closed with the body unread, and the caller's
    system met a reset while it still sent. The body is read to its end now.
    """
    limits = http_server.Limits(threads=2)
    one = http_server.HttpServer("test", "127.0.0.1:0", busy, limits)
    one.start()
    length = limits.max_body_bytes
    head = f"Connection: {connection}\r\nContent-Length: {length}\r\n\r\n"
    try:
        with connect(one) as caller:
            caller.sendall(b"POST / HTTP/1.1\r\nHost: x\r\n" + head.encode())
            caller.sendall(b"x" * length)
            assert caller.recv(4096).startswith(b"HTTP/1.1 503")
    finally:
        one.shut_down()


def is_connected(caller):
    try:
        caller.getpeername()
    except OSError:
        return False
    return True


def test_callers_that_connect_while_the_port_closes_are_not_taken(monkeypatch):
    """Callers were reset that had connected while an instance's port closed.

    Between the last look at the port and its closing other threads may hold
    the interpreter for milliseconds, and the kernel went on accepting: at
    24 callers up to 18 were reset at one stop. It has no room for them now.
    """
    callers = []
    look = http_shutdown.Connections._from_server_socket

    def look_and_connect(manager, listener):
        found = look(manager, listener)
        if found is None and manager._stop_requested:
            for _ in range(8):
                caller = socket.socket()
                caller.setblocking(False)
                caller.connect_ex(listener.getsockname())
                callers.append(caller)
            told.append(sum(map(is_connected, callers)))
        return found

    told = []
    monkeypatch.setattr(
        http_shutdown.Connections, "_from_server_socket", look_and_connect
    )
    one = http_server.HttpServer(
        "test", "127.0.0.1:0", busy, http_server.Limits(threads=2)
    )
    one.start()
    one.shut_down()
    for caller in callers:
        caller.close()
    # The kernel always has room for one.
    assert len(callers) == 8
    assert told[0] <= 1
