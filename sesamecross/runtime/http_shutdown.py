"""Ends connections of `cheroot` in order: whole answers first, then the end.

Why: a request that is whole when a process closes its port must be answered,
be it by a refusal. A connection that is closed with bytes unread is reset,
and its caller can't know whether its request has run.
"""

from collections.abc import Iterator
import contextlib
import select
from typing import Any

from cheroot import connections
from cheroot import errors as cheroot_errors
from cheroot import server
from cheroot import wsgi

_PIECE_BYTES = 65_536


class Request(server.HTTPRequest):
    """A request whose body is read to its end before it is answered.

    The library does so only where the connection is kept. Elsewhere a caller
    that still sends its body would get a reset and not the answer.
    """

    def send_headers(self) -> None:
        """Sends the head of the answer."""
        if self.server.is_keep_alive_disabled:
            # Whoever has this answer shall send its next request elsewhere.
            self.close_connection = True
        self._read_rest()
        super().send_headers()

    def _read_rest(self) -> None:
        reaper = self.server.reaper
        reaper.begin(self.conn)
        try:
            for _ in self._pieces():
                pass
        except (OSError, ValueError, cheroot_errors.MaxSizeExceeded):
            # The rest does not come; whoever sent this much may still read.
            self.close_connection = True
        finally:
            reaper.end(self.conn)

    def _pieces(self) -> Iterator[bytes]:
        if self.chunked_read:
            while piece := self.rfile.read(_PIECE_BYTES):
                yield piece
            return
        while left := getattr(self.rfile, "remaining", 0):
            piece = self.rfile.read(min(left, _PIECE_BYTES))
            if not piece:
                raise ValueError("the body ended early")
            yield piece


class Connections(connections.ConnectionManager):
    """The library's idle connections and listener, with a last look.

    Between the library's last look for work and the closing of the port,
    requests go on arriving. They are taken in here. What is left is a
    connection that the kernel takes in between the last `accept` and the
    `close`: it is reset unread, and its caller can tell that.
    """

    def __init__(self, http_server: Any):
        super().__init__(http_server)
        self._listener = http_server.socket

    def stop(self) -> None:
        """Ends the loop, takes what waits, and closes the port."""
        super().stop()
        self._selector.unregister(self._listener.fileno())
        # No room for more: who comes now asks the kernel again a second later
        # and is refused then. Else callers that connect between the last
        # `accept` and the `close` would be reset, in whose time other threads
        # may hold the interpreter for milliseconds.
        self._listener.listen(0)
        self._listener.setblocking(False)
        for _ in range(self.server.request_queue_size):
            connection = self._from_server_socket(self._listener)
            if connection is None:
                break
            self.server.process_conn(connection)
        with contextlib.suppress(OSError):
            self._listener.close()
        # The library would open a connection to it, to wake its loop.
        self.server.socket = None
        for descriptor, connection in list(self._selector.select(timeout=0)):
            self._selector.unregister(descriptor)
            self.server.process_conn(connection)


class Server(wsgi.Server):
    """The library's server with these requests and connections.

    Attributes:
      leaving: Whether each connection ends with the next answer on it.
    """

    is_keep_alive_disabled = False

    def prepare(self) -> None:
        """Binds the address."""
        super().prepare()
        # The library has no setting for it, and has just made its own.
        self._connections.close()
        self._connections = Connections(self)

    def put_conn(self, conn: Any) -> None:
        """Keeps a connection whose request has been answered.

        Where the server stops, the library would close it, also when the
        next request has come meanwhile.
        """
        if not self.ready and _has_request(conn):
            with contextlib.suppress(OSError):
                conn.communicate()
        try:
            super().put_conn(conn)
        except (ValueError, KeyError, OSError, RuntimeError):
            # The server stopped since the library looked whether it does.
            conn.close()


def _has_request(connection: Any) -> bool:
    if connection.rfile.has_data():
        return True
    waiting = select.poll()
    waiting.register(connection.socket, select.POLLIN)
    return bool(waiting.poll(0))
