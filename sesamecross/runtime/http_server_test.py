"""Tests of the HTTP server's bounds on what callers send."""

import socket
import time

import pytest

from sesamecross.runtime import http_server


def app(environ, start_response):
    try:
        body = http_server.read_body(environ)
    except http_server.SlowBody:
        body = b"slow"
    return http_server.answer(start_response, "200 OK", body, "text/plain")


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
