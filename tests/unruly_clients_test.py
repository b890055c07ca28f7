"""Tests of a real gateway under clients that keep to no limit.

Each checks that the process lives, that its memory and descriptors stay within
its settings, and that one ordinary request is answered afterwards.
"""

import time

import pytest

from sesamecross.fakes import platform_caller
from sesamecross.fakes import platform_instance
from sesamecross.fakes import platform_site
from sesamecross.fakes import unruly_clients

# -- bytes without end ---------------------------------------------------

CROWD = 20
MEMORY_MB = 130
BYTES_EACH = 32 * 1024 * 1024
# The kernel's buffers on both sides, and one request of the largest size.
TAKEN_BYTES = 16 * 1024 * 1024
# Ends a crowd that is not read any more.
CROWD_S = 8.0

DESK = platform_site.PATHS[platform_site.DESK].encode()
HELD = platform_site.PATHS[platform_site.LEDGER].encode()
HOST = platform_caller.HOST.encode()
HEAD = b"POST " + DESK + b" HTTP/1.1\r\nHost: " + HOST + b"\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = CHUNKED + b"2\r\nok\r\n0\r\n"
FORMS = {
    "method": (b"", b"G"),
    "target": (b"GET /", b"t"),
    "version": (b"GET / HTTP/1.", b"1"),
    "empty lines": (b"", b"\r\n"),
    "empty lines, line feeds": (b"", b"\n"),
    "empty lines after a request": (HEAD + b"\r\n", b"\r\n"),
    "field name": (HEAD, b"n"),
    "field value": (HEAD + b"X-Long: ", b"v"),
    "spaces before a value": (HEAD + b"X-Long:", b" "),
    "folded line": (HEAD + b"X-Long: a\r\n", b" b\r\n"),
    "many fields": (HEAD, b"X-Field: value\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"e"),
    "extensions of small chunks": (
        CHUNKED,
        b"1;" + b"e" * 2000 + b"\r\nx\r\n",
    ),
    "small chunks": (CHUNKED, b"1\r\nx\r\n"),
    "trailer name": (LAST_CHUNK, b"n"),
    "trailer value": (LAST_CHUNK + b"X-Long: ", b"v"),
    "many trailers": (LAST_CHUNK, b"X-Field: value\r\n"),
    "pipelined requests": (b"", HEAD + b"Content-Length: 0\r\n\r\n"),
    "bytes after a refusal": (HEAD + b"Content-Length: x\r\n\r\n", b"v"),
}
# The parser of readiness and metrics is that of the callers' port.
OTHER_PORT_FORMS = ("field value", "empty lines", "chunk size")
ENDLESS = [("front", name) for name in FORMS] + [
    (port, name) for port in ("ready", "metrics") for name in OTHER_PORT_FORMS
]


@pytest.fixture
def start_site(tmp_path):
    """Returns a function that starts a site, by its settings."""
    started = []

    def start(memory_mb=MEMORY_MB, max_fds=platform_instance.MAX_FDS, **limits):
        site = platform_site.PlatformSite(tmp_path, memory_mb, max_fds)
        started.append(site)
        site.publish(**limits)
        for service in (platform_site.DESK, platform_site.LEDGER):
            site.add_upstream(service)
        site.upstreams[platform_site.LEDGER].hold_answers()
        site.gateway.start()
        site.gateway.wait_ready()
        site.wait_until_known()
        return site

    yield start
    for site in started:
        site.stop()


def assert_serves(site):
    """Checks that one ordinary request is answered."""
    assert site.gateway.is_running
    call = site.call(platform_site.DESK)
    call.send()
    assert call.finish().status == 200
    call.close()


def assert_within_memory(site):
    """Checks the largest memory that the process has had."""
    _, peak = site.gateway.memory_bytes()
    assert peak < site.gateway.memory_mb * 1_000_000


@pytest.mark.parametrize(("port", "name"), ENDLESS)
def test_bytes_without_end_are_cut_off(start_site, port, name):
    """Guards against a process that reads what no client may send."""
    site = start_site()
    taken = unruly_clients.send_endless(
        getattr(site.gateway, port),
        unruly_clients.Endless(*FORMS[name]),
        CROWD,
        BYTES_EACH,
        CROWD_S,
    )
    assert_serves(site)
    assert_within_memory(site)
    assert max(taken) < TAKEN_BYTES


# -- connections without end ----------------------------------------------

MAX_FDS = 400
MAX_SOCKETS = MAX_FDS - platform_instance.FILE_FDS
OPEN_CROWD = 300
# A crowd comes back this often to connections that were closed.
ROUNDS = 4
ROUND_S = 0.5
ANSWERED = b"GET " + DESK + b" HTTP/1.1\r\nHost: " + HOST + b"\r\n\r\n"
BEGINNINGS = {
    "silent": ("front", b""),
    "part of a request line": ("front", b"POST /bo"),
    "part of a head": ("front", HEAD + b"X-Field: "),
    "part of a body": ("front", HEAD + b"Content-Length: 9\r\n\r\nbody"),
    "part of a head behind a request": ("front", ANSWERED + HEAD),
    "idle after an answer": ("front", ANSWERED),
    "refused": ("front", HEAD + b"Content-Length: x\r\n\r\n"),
    "silent, readiness": ("ready", b""),
    "silent, metrics": ("metrics", b""),
    "silent, peers": ("peers", b""),
    "part of a handshake, peers": ("peers", b"\x00\x00\x01\x00"),
}


@pytest.mark.parametrize("name", BEGINNINGS)
def test_open_connections_leave_descriptors_for_others(start_site, name):
    """Guards against a process that takes more descriptors than it has."""
    site = start_site(max_fds=MAX_FDS)
    port, beginning = BEGINNINGS[name]
    address = getattr(site.gateway, port)
    with unruly_clients.OpenCrowd(address, beginning) as crowd:
        for _ in range(ROUNDS):
            crowd.open(OPEN_CROWD)
            time.sleep(ROUND_S)
            assert site.gateway.open_sockets() <= MAX_SOCKETS
        assert_serves(site)
        assert_within_memory(site)
    assert_serves(site)


# -- memory in sum ---------------------------------------------------------

SMALL_MEMORY_MB = 64
LARGE_HEAD_BYTES = 262_144
LARGE_CROWD = 300
FIELDS = b"".join(b"X-Field-%d: %s\r\n" % (n, b"v" * 1000) for n in range(240))
HELD_HEAD = b"POST " + HELD + b" HTTP/1.1\r\nHost: " + HOST + b"\r\n"
LARGE_BEGINNINGS = {
    "heads that do not end": HEAD + FIELDS,
    "heads behind a request under way": HELD_HEAD + b"\r\n" + HEAD + FIELDS,
    "requests behind one under way": HELD_HEAD + b"\r\n" + ANSWERED * 3000,
    "requests with large heads under way": HELD_HEAD + FIELDS + b"\r\n",
}


@pytest.mark.parametrize("name", LARGE_BEGINNINGS)
def test_what_many_connections_hold_is_bounded_in_sum(start_site, name):
    """Guards against heads that are bounded each, but not together."""
    site = start_site(
        memory_mb=SMALL_MEMORY_MB, max_header_bytes=LARGE_HEAD_BYTES
    )
    beginning = LARGE_BEGINNINGS[name]
    with unruly_clients.OpenCrowd(site.gateway.front, beginning) as crowd:
        crowd.open(LARGE_CROWD)
        assert_serves(site)
        assert_within_memory(site)
    assert_serves(site)
