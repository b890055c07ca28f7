"""Graceful shutdown of `cheroot` connections: responses first, then close.

A request that is complete when a process closes its port must be answered,
even if with a refusal. A connection closed with unread bytes is reset, and its
caller can't know whether the request was executed.

The same classes decide when a thread gets a connection, and which connection
makes room for others, as the library's loop and stop share both.
"""

from collections.abc import Iterator
import contextlib
import select
import selectors
import socket
import threading
import time
from typing import Any

from cheroot import connections
from cheroot import errors as cheroot_errors
from cheroot import server
from cheroot import wsgi

from sesamecross.core import connection_limiter

_CHUNK_BYTES = 65_536


class Request(server.HTTPRequest):
    """A request whose body is read completely before the response is sent.

    The library does so only on connections that are kept alive. On others, a
    caller that is still sending its body would get a reset instead of the
    response.
    """

    def send_headers(self) -> None:
        """Sends the status line and headers of the response."""
        if self.server.is_keep_alive_disabled:
            # The caller must send its next request to another instance.
            self.close_connection = True
        self._read_remaining_body()
        super().send_headers()

    def _read_remaining_body(self) -> None:
        reaper = self.server.reaper
        reaper.begin(self.conn)
        try:
            for _ in self._body_chunks():
                pass
        except (OSError, ValueError, cheroot_errors.MaxSizeExceeded):
            # The rest of the body won't arrive, but the caller may still read
            # the response.
            self.close_connection = True
        finally:
            reaper.end(self.conn)

    def _body_chunks(self) -> Iterator[bytes]:
        if self.chunked_read:
            while chunk := self.rfile.read(_CHUNK_BYTES):
                yield chunk
            # Else they would be taken for the next request.
            for _ in self.rfile.read_trailer_lines():
                pass
            return
        while remaining := getattr(self.rfile, "remaining", 0):
            chunk = self.rfile.read(min(remaining, _CHUNK_BYTES))
            if not chunk:
                raise ValueError("the body ended early")
            yield chunk


class Connections(connections.ConnectionManager):
    """Connection manager that serves late requests while it stops.

    Requests keep arriving between the library's last poll and the closing of
    the port; these are served here. What remains is a connection that the
    kernel accepts between the last `accept` and the `close`: it is reset
    unread, which its caller can detect.
    """

    def __init__(self, http_server: Any):
        super().__init__(http_server)
        self._listener = http_server.socket

    def watch(self, conn: Any) -> None:
        """Waits until more arrives on a connection."""
        self._selector.register(
            conn.socket.fileno(), selectors.EVENT_READ, data=conn
        )

    def put(self, conn: Any) -> None:
        """Takes a connection back after a response."""
        conn.last_used = time.time()
        conn.began_s = None
        self.server.read_conn(conn, connection_limiter.Use.IDLE)

    def _expire(self, threshold: float) -> None:
        """Closes idle connections, and those whose head does not end."""
        super()._expire(threshold)
        overdue_s = time.time() - self.server.receive_s
        for _, conn in list(self._selector.connections):
            if conn is self.server or conn.began_s is None:
                continue
            if conn.began_s < overdue_s:
                conn.abort()

    def stop(self) -> None:
        """Stops the loop, serves pending requests and closes the port."""
        super().stop()
        self._selector.unregister(self._listener.fileno())
        # Shrinks the backlog: a caller that connects now retries its SYN a
        # second later and is refused then. Otherwise callers that connect
        # between the last `accept` and the `close` would be reset; other
        # threads may hold the interpreter for milliseconds in that window.
        self._listener.listen(0)
        self._listener.setblocking(False)
        for _ in range(self.server.request_queue_size):
            connection = self._from_server_socket(self._listener)
            if connection is None:
                break
            self.server.process_conn(connection)
        with contextlib.suppress(OSError):
            self._listener.close()
        # Else the library would connect to the socket to wake its loop.
        self.server.socket = None
        for descriptor, connection in list(self._selector.select(timeout=0)):
            self._selector.unregister(descriptor)
            self.server.process_conn(connection)


class Server(wsgi.Server):
    """A `cheroot` server with graceful shutdown.

    Attributes:
      is_keep_alive_disabled: Whether each connection is closed after its next
        response.
    """

    is_keep_alive_disabled = False
    # Set by `HttpServer`.
    limiter: connection_limiter.ConnectionLimiter
    receive_s = 0.0

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        # Of the limiter, which threads share.
        self._lock = threading.Lock()

    def prepare(self) -> None:
        """Binds the address."""
        super().prepare()
        # Accepted connections inherit it.
        self.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            connection_limiter.RECEIVE_BUFFER_BYTES,
        )
        # The library has no setting for the connection manager and has just
        # created its own.
        self._connections.close()
        self._connections = Connections(self)

    def process_conn(self, conn: Any) -> None:
        """Handles a connection that is new, or on which more has arrived."""
        if not self.ready:
            super().process_conn(conn)
            return
        if conn.is_aborted:
            conn.close()
            return
        with self._lock:
            is_new = conn not in self.limiter
            has_room = not is_new or self.limiter.admit(conn)
        if not has_room:
            conn.close()
            return
        if not is_new:
            try:
                conn.rfile.receive()
            except OSError:
                conn.close()
                return
        self.read_conn(conn, connection_limiter.Use.UNFINISHED)

    def read_conn(self, conn: Any, use: connection_limiter.Use) -> None:
        """Gives a connection to a thread once its head is whole.

        Args:
          conn: The connection.
          use: What it is of use for until then.
        """
        if conn.rfile.is_ready:
            # It can still make room until a thread begins with it.
            with self._lock:
                self.limiter.set_use(conn, connection_limiter.Use.IDLE)
            if conn.rfile.has_data():
                super().process_conn(conn)
            else:
                conn.close()
            return
        if conn.rfile.has_data():
            use = connection_limiter.Use.UNFINISHED
            conn.began_s = conn.began_s or time.time()
        self._connections.watch(conn)
        with self._lock:
            self.limiter.set_use(conn, use)

    def begin_conn(self, conn: Any) -> bool:
        """Returns whether a thread handles a connection, or it made room."""
        with self._lock:
            self.limiter.set_use(conn, connection_limiter.Use.BUSY)
            return not conn.is_aborted

    def forget_conn(self, conn: Any) -> None:
        """Forgets a connection that is closed."""
        with self._lock:
            self.limiter.remove(conn)

    def put_conn(self, conn: Any) -> None:
        """Returns a connection to the pool after a response.

        While the server stops, the library would close the connection even if
        the next request has already arrived.
        """
        if not self.ready and _has_request(conn):
            with contextlib.suppress(OSError):
                conn.communicate()
        try:
            super().put_conn(conn)
        except (ValueError, KeyError, OSError, RuntimeError):
            # The server stopped after the library checked its state.
            conn.close()


def _has_request(connection: Any) -> bool:
    if connection.rfile.has_data():
        return True
    poller = select.poll()
    poller.register(connection.socket, select.POLLIN)
    return bool(poller.poll(0))
