"""Tests of what a plain service's bytes count as: its answer, or a failure."""

import concurrent.futures
import contextlib
import socket
import threading

import pytest

from sesamecross.core import data
from sesamecross.ports import http_client
from sesamecross.ports import service_http

HEAD = b"HTTP/1.1 200 OK\r\n"
NAMED = HEAD + b"X-Request-Id: call%d\r\n"


class Service:
    """A service whose bytes a test lists, one entry for each call.

    Attributes:
      connections: How many were opened to it.
    """

    def __init__(self, answers: list[bytes]):
        self.connections = 0
        self._answers = list(answers)
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def url(self) -> str:
        host, port = self._listener.getsockname()
        return f"http://{host}:{port}"

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            while self._answers and connection.recv(65_536):
                connection.sendall(self._answers.pop(0))

    def close(self) -> None:
        self._listener.close()


def call(client: service_http.HttpService, service: Service, number: int):
    return client.call(
        service_http.ServiceCall(
            service.url, "GET", "/", (), b"", 5.0, f"call{number}"
        ),
        idempotent=True,
    )


def test_an_answer_without_an_id_is_the_last_of_its_connection():
    """Guards against a second, late answer that another caller gets."""
    answer = HEAD + b"Content-Length: 2\r\n\r\nok"
    service = Service([answer, answer])
    client = service_http.HttpService()
    for number in range(2):
        assert call(client, service, number).body == b"ok"
    assert service.connections == 2
    service.close()


def test_an_answer_of_another_call_is_none():
    """Guards against a late answer that another caller gets."""
    answer = NAMED + b"Content-Length: 2\r\n\r\nok"
    service = Service([answer % 0, answer % 0 + answer % 1, answer % 2])
    client = service_http.HttpService()
    assert call(client, service, 0).body == b"ok"
    assert call(client, service, 1) == http_client.Failed(
        "answer of another call"
    )
    assert call(client, service, 2).body == b"ok"
    assert service.connections == 2
    service.close()


@pytest.mark.parametrize(
    ("rest", "body"),
    [
        (b"Content-Length: 2\r\n\r\nok", b"ok"),
        (b"Content-Length: 3\r\n\r\nok", None),
        (b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", b"ok"),
        (b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", None),
        (b"Transfer-Encoding: chunked\r\n\r\n2\r\no", None),
    ],
)
def test_an_answer_is_whole_or_none(rest, body):
    """Guards against half a body that its caller takes for the whole one."""
    service = Service([NAMED % 0 + rest])
    answer = call(service_http.HttpService(), service, 0)
    if body is None:
        assert isinstance(answer, http_client.Failed)
    else:
        assert answer == data.Answer(200, "application/octet-stream", body)
    service.close()


def test_answers_without_an_id_fail_no_call_of_another_thread():
    """Guards against a socket that is shut down while another call uses it."""
    threads, calls = 8, 400
    body = HEAD + b"Content-Length: 4\r\n\r\nbody"
    service = Service([body] * threads * calls)
    client = service_http.HttpService()

    def run(_: int) -> list[object]:
        return [call(client, service, number) for number in range(calls)]

    with concurrent.futures.ThreadPoolExecutor(threads) as pool:
        outcomes = [
            one for each in pool.map(run, range(threads)) for one in each
        ]
    service.close()
    assert {type(one) for one in outcomes} == {data.Answer}
