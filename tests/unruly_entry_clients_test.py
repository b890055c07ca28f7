"""Tests of real entries and stewards under clients that keep to no limit.

Each checks that the process lives, that its memory and descriptors stay under a
bound, and that one ordinary request is answered afterwards.
"""

import time

import pytest
import urllib3

from sesamecross.devtools import deployment as deployment_lib
from sesamecross.devtools import processes
from sesamecross.fakes import unruly_clients

THREADS = 8
MAX_CONNECTIONS = 50
MAX_BODY_BYTES = 1_000_000
ENTRY_SETTINGS = {
    "threads": THREADS,
    "max_connections": MAX_CONNECTIONS,
    "max_body_bytes": MAX_BODY_BYTES,
    # No client is cut off for its slowness while a test runs.
    "receive_ms": 120_000,
    "caller_idle_ms": 120_000,
}
MEMORY_BYTES = 130_000_000
CROWD = 20
BYTES_EACH = 32 * 1024 * 1024
# The kernel's buffers on both sides, and one request of the largest size.
TAKEN_BYTES = 16 * 1024 * 1024
CROWD_S = 8.0
OPEN_CROWD = 100
ROUNDS = 2
ROUND_S = 0.5
# Streams of steward and peers, upstreams, the port itself.
OTHER_SOCKETS = 40
# Only ends a request that is never answered.
HANG_TIMEOUT_S = 15.0

HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
KEY = f"Authorization: Bearer {deployment_lib.CALLER_KEY}\r\n".encode()
CHUNKED = HEAD + KEY + b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = CHUNKED + b"2\r\nok\r\n0\r\n"
FORMS = {
    "target": (b"GET /", b"t"),
    "empty lines": (b"", b"\r\n"),
    "field name": (HEAD, b"n"),
    "field value": (HEAD + b"X-Long: ", b"v"),
    "many fields": (HEAD, b"X-Field: value\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"e"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n"),
    "trailer value": (LAST_CHUNK + b"X-Long: ", b"v"),
    "many trailers": (LAST_CHUNK, b"X-Field: value\r\n"),
}
ENDLESS = [("entry", name) for name in FORMS] + [
    ("steward", name) for name in ("field value", "chunk size")
]
BEGINNINGS = {
    "silent": b"",
    "part of a request line": b"POST /v1/ch",
    "part of a head": HEAD + b"X-Field: ",
    "part of a body": HEAD + KEY + b"Content-Length: 9\r\n\r\nbody",
    "idle after an answer": b"GET /readyz HTTP/1.1\r\nHost: entry\r\n\r\n",
}
OPEN = [("entry", name) for name in BEGINNINGS] + [
    ("steward", name) for name in ("silent", "part of a head")
]


@pytest.fixture
def deployment(new_deployment):
    return new_deployment(entry_settings=ENTRY_SETTINGS)


def http_address(deployment, role):
    instance = deployment.instances[0]
    address = instance.entry_address
    if role == "steward":
        address = instance.steward_http_address
    host, _, port = address.rpartition(":")
    return host, int(port)


def process_of(deployment, role):
    return deployment.processes[f"{role}-{deployment.instances[0].name}"]


def assert_serves(deployment, role):
    """Checks that one ordinary request is answered, and the memory."""
    process = process_of(deployment, role)
    assert process.is_running()
    host, port = http_address(deployment, role)
    path = "/v1/models" if role == "entry" else "/metrics"
    answer = urllib3.request(
        "GET",
        f"http://{host}:{port}{path}",
        headers={
            "Authorization": f"Bearer {deployment_lib.CALLER_KEY}",
            "Connection": "close",
        },
        timeout=HANG_TIMEOUT_S,
        retries=False,
    )
    assert answer.status == 200
    assert processes.peak_memory_bytes(process.pid) < MEMORY_BYTES


@pytest.mark.parametrize(("role", "name"), ENDLESS)
def test_bytes_without_end_are_cut_off(deployment, role, name):
    """Guards against a process that reads what no client may send."""
    taken = unruly_clients.send_endless(
        http_address(deployment, role),
        unruly_clients.Endless(*FORMS[name]),
        CROWD,
        BYTES_EACH,
        CROWD_S,
    )
    assert_serves(deployment, role)
    assert max(taken) < TAKEN_BYTES


@pytest.mark.parametrize(("role", "name"), OPEN)
def test_open_connections_leave_threads_for_others(deployment, role, name):
    """Guards against slow clients that keep all threads of a process."""
    process = process_of(deployment, role)
    beginning = BEGINNINGS[name]
    address = http_address(deployment, role)
    with unruly_clients.OpenCrowd(address, beginning) as crowd:
        for _ in range(ROUNDS):
            crowd.open(OPEN_CROWD)
            time.sleep(ROUND_S)
            sockets = processes.open_sockets(process.pid)
            assert sockets <= MAX_CONNECTIONS + OTHER_SOCKETS
        assert_serves(deployment, role)
    assert_serves(deployment, role)
