"""HTTP server based on `cheroot`, with the limits that every port needs.

Each process serves HTTP (calls, metrics, health), and each port must limit
header size, body size, idle time and connections the same way.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import socket
import threading
import time
from typing import Any

from cheroot import errors as cheroot_errors
from cheroot import server
from cheroot import wsgi

from sesamecross.core import connection_limiter
from sesamecross.runtime import connection_reader
from sesamecross.runtime import http_shutdown
from sesamecross.runtime import logs

# A connection that takes longer to send its headers or body is closed.
DEFAULT_IDLE_S = 20
DEFAULT_RECEIVE_S = 30.0
_REAP_INTERVAL_S = 0.2
# If more of the threads wait for bodies, slow callers are closed sooner.
_WAITING_SHARE = 0.75
_SHORT_RECEIVE_S = 1.0
_JOIN_TIMEOUT_S = 5
_BODYLESS_STATUSES = frozenset((204, 304))

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
WsgiApp = Callable[[dict, StartResponse], Iterable[bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one server. Times in seconds, sizes in bytes.

    Attributes:
      idle_s: The longest pause within a request.
      receive_s: The time limit for the whole of the headers, and again for the
        whole of the body.
    """

    threads: int = 8
    max_connections: int = 1000
    max_head_bytes: int = 32_768
    max_body_bytes: int = 4 * 1024 * 1024
    idle_s: int = DEFAULT_IDLE_S
    receive_s: float = DEFAULT_RECEIVE_S


# Key of the `Connection` in a request's WSGI environment.
CONNECTION = "sesamecross.connection"


class Connection:
    """The caller's connection, for code that writes to it outside of WSGI."""

    __slots__ = ("_request",)

    def __init__(self, request: Any):
        self._request = request

    @property
    def socket(self) -> socket.socket:
        """The connection's socket."""
        return self._request.conn.socket

    @property
    def is_chunked(self) -> bool:
        """Whether the response is chunked; known once its headers are sent."""
        return self._request.chunked_write

    @contextlib.contextmanager
    def limit_receive_time(self) -> Iterator[None]:
        """Limits how long the caller may take to send the body."""
        reaper = self._request.conn.server.reaper
        reaper.begin(self._request.conn)
        try:
            yield
        finally:
            reaper.end(self._request.conn)

    def abort(self) -> None:
        """Makes the server close the connection without a final chunk."""
        self._request.close_connection = True
        self._request.chunked_write = False


class _Reaper:
    """Closes connections that take too long to send headers or a body.

    A caller that sends single bytes at intervals never exceeds the idle
    timeout and could occupy a thread without end; enough such callers would
    occupy all threads. While most threads wait for callers, these have less
    time.
    """

    def __init__(self, limits: Limits):
        self._receive_s = limits.receive_s
        self._max_waiting = int(limits.threads * _WAITING_SHARE)
        self._lock = threading.Lock()
        self._started_s: dict[Any, float] = {}

    def begin(self, connection: Any) -> None:
        with self._lock:
            self._started_s[connection] = time.monotonic()

    def end(self, connection: Any) -> None:
        with self._lock:
            self._started_s.pop(connection, None)

    def reap(self) -> None:
        """Shuts down overdue sockets; their threads then read an EOF."""
        now_s = time.monotonic()
        with self._lock:
            receive_s = self._receive_s
            if len(self._started_s) > self._max_waiting:
                receive_s = min(receive_s, _SHORT_RECEIVE_S)
            for connection, started_s in list(self._started_s.items()):
                if now_s - started_s < receive_s:
                    continue
                del self._started_s[connection]
                with contextlib.suppress(OSError):
                    connection.socket.shutdown(socket.SHUT_RDWR)


class _TimedConnection(server.HTTPConnection):
    """A connection that limits the time to receive headers.

    Attributes:
      began_s: When the head being read began; None without one.
      is_aborted: Whether it has made room for another.
    """

    RequestHandlerClass = http_shutdown.Request

    def __init__(self, http_server: Any, sock: socket.socket, *args: Any):
        super().__init__(http_server, sock, *args)
        self.rfile = connection_reader.ConnectionReader(
            sock, http_server.max_request_header_size
        )
        self.last_used = time.time()
        self.began_s: float | None = None
        self.is_aborted = False

    def abort(self) -> None:
        """Ends the connection; the loop that watches it then closes it."""
        self.is_aborted = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the socket."""
        self.server.forget_conn(self)
        super().close()

    def communicate(self) -> bool:
        if not self.server.begin_conn(self):
            return False
        reaper = self.server.reaper
        reaper.begin(self)
        try:
            return super().communicate()
        finally:
            reaper.end(self)


class _ConnectionGateway(wsgi.Gateway_10):
    """Adds the connection to the WSGI environment of each request."""

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ[CONNECTION] = Connection(self.req)
        # The headers are complete; the body has its own limit when read.
        self.req.conn.server.reaper.end(self.req.conn)
        return environ


class HttpServer:
    """Serves a WSGI application from its own threads."""

    __slots__ = ("_server", "_thread", "_name", "_stopped", "_reaper")

    def __init__(self, name: str, address: str, app: WsgiApp, limits: Limits):
        host, _, port = address.rpartition(":")
        self._name = name
        self._server = http_shutdown.Server(
            (host, int(port)),
            app,
            numthreads=limits.threads,
            max=limits.threads,
            request_queue_size=min(limits.max_connections, 1024),
            timeout=limits.idle_s,
            shutdown_timeout=_JOIN_TIMEOUT_S,
            accepted_queue_size=limits.max_connections,
            accepted_queue_timeout=1,
        )
        self._reaper = _Reaper(limits)
        self._server.reaper = self._reaper
        self._server.ConnectionClass = _TimedConnection
        self._server.max_request_header_size = limits.max_head_bytes
        self._server.max_request_body_size = limits.max_body_bytes
        self._server.keep_alive_conn_limit = limits.max_connections
        self._server.receive_s = limits.receive_s
        self._server.limiter = connection_limiter.ConnectionLimiter(
            limits.max_connections
        )
        self._server.error_log = self._on_error
        self._server.gateway = _ConnectionGateway
        self._thread: threading.Thread | None = None
        self._stopped = threading.Event()

    @property
    def name(self) -> str:
        """The prefix of its log lines."""
        return self._name

    @property
    def address(self) -> str:
        """The bound address; its port is known after `start`."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    def start(self) -> None:
        """Binds the address and serves until `shut_down`."""
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._serve, name=self._name, daemon=True
        )
        self._thread.start()
        threading.Thread(target=self._reap, daemon=True).start()

    def _reap(self) -> None:
        while not self._stopped.wait(_REAP_INTERVAL_S):
            self._reaper.reap()

    def disable_keep_alive(self) -> None:
        """Closes each connection after its next response."""
        self._server.is_keep_alive_disabled = True

    def shut_down(self) -> None:
        """Closes the port and stops the threads.

        Requests that are complete by then still reach the application.
        """
        self.disable_keep_alive()
        self._server.stop()
        if self._thread is not None:
            self._thread.join(_JOIN_TIMEOUT_S)

    async def run(self) -> None:
        """Serves requests until the server is shut down."""
        if self._thread is None:
            self.start()
        while not self._stopped.is_set():
            await asyncio.sleep(0.2)

    async def stop(self) -> None:
        """Shuts the server down."""
        await asyncio.to_thread(self.shut_down)

    def _serve(self) -> None:
        try:
            self._server.serve()
        finally:
            self._stopped.set()

    def _on_error(self, msg="", level=20, traceback=False) -> None:
        # The library reports connection resets by callers here, which are
        # normal.
        logs.get_logger(self._name).debug("server error", detail=str(msg)[:500])


class SlowBody(Exception):
    """The body was too slow or too large, or the caller disconnected."""


def read_body(environ: dict) -> bytes:
    """Returns the complete request body.

    Raises:
      SlowBody: The caller stalled, disconnected or sent too much.
    """
    try:
        with environ[CONNECTION].limit_receive_time():
            return _read_full_body(environ)
    except (
        OSError,
        ValueError,
        cheroot_errors.MaxSizeExceeded,
    ) as error:
        raise SlowBody(str(error)) from error


def _read_full_body(environ: dict) -> bytes:
    length = int(environ.get("CONTENT_LENGTH") or -1)
    stream = environ["wsgi.input"]
    if length >= 0:
        body = stream.read(length)
        if len(body) < length:
            raise SlowBody("the body ended early")
        return body
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return stream.read()
    return b""


def length_headers(
    method: str, status: int, body: bytes
) -> list[tuple[str, str]]:
    """Returns the length of a body, or nothing where there is none.

    The length of the body that HEAD asked about is not known from an empty one.
    """
    if status in _BODYLESS_STATUSES or (method == "HEAD" and not body):
        return []
    return [("Content-Length", str(len(body)))]


def send_response(
    start_response: StartResponse,
    status: str,
    body: bytes,
    content_type: str = "application/json",
) -> list[bytes]:
    """Sends a complete response."""
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
    ]
    start_response(status, headers)
    return [body]


def send_json(
    start_response: StartResponse, value: Any, status: str = "200 OK"
) -> list[bytes]:
    """Sends a complete response as JSON."""
    return send_response(start_response, status, json.dumps(value).encode())
