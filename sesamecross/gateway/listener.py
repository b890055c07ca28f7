"""Component that listens for HTTP connections at one address."""

import asyncio
import socket

from sesamecross.core import connection_limiter
from sesamecross.gateway import request_handler
from sesamecross.gateway import server_connection
from sesamecross.ops.fleet import connection_shedder
from sesamecross.runtime import event_loop

# Interval at which a shutdown checks for remaining connections.
_POLL_INTERVAL_S = 0.02


class Listener:
    """Accepts connections whose requests go to a handler.

    Attributes:
      is_vital: Whether the process ends if it can't listen. True where callers
        depend on it.
      is_helper: The opposite: it is restarted however often it fails.
      connections: The open connections.
    """

    __slots__ = (
        "name",
        "is_vital",
        "is_helper",
        "_address",
        "_handler",
        "_server",
        "_shedder",
        "_limiter",
        "_backlog",
        "connections",
    )

    def __init__(
        self,
        name: str,
        address: str,
        handler: request_handler.RequestHandler,
        is_vital: bool = True,
        shedder: connection_shedder.ConnectionShedder | None = None,
        limits: connection_limiter.PortLimits = connection_limiter.UNLIMITED,
    ):
        """Initializes the listener.

        Args:
          name: Of the component.
          address: Where to listen.
          handler: Handles the requests.
          is_vital: See the class.
          shedder: Decides whether a new connection is read.
          limits: What the port takes.
        """
        self.name = name
        self.is_vital = is_vital
        self.is_helper = not is_vital
        self._address = address
        self._handler = handler
        self._shedder = shedder
        self._limiter = connection_limiter.ConnectionLimiter(limits.connections)
        self._backlog = limits.backlog
        self._server: asyncio.Server | None = None
        self.connections: set[server_connection.ServerConnection] = set()

    @property
    def address(self) -> str:
        """The bound address; empty until it listens."""
        if self._server is None or not self._server.sockets:
            return ""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or handled, or a response sent."""
        return any(connection.is_busy for connection in self.connections)

    async def run(self) -> None:
        """Listens until cancelled."""
        loop = event_loop.running()
        host, _, port = self._address.rpartition(":")
        self._server = await loop.create_server(
            lambda: server_connection.ServerConnection(
                self._handler,
                loop,
                self.connections,
                self._shedder,
                self._limiter,
            ),
            host,
            int(port),
            backlog=self._backlog,
            reuse_address=True,
            start_serving=False,
        )
        for listening in self._server.sockets:
            # Accepted connections inherit it.
            listening.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                connection_limiter.RECEIVE_BUFFER_BYTES,
            )
        await self._server.start_serving()
        await asyncio.Event().wait()

    async def shut_down(self, timeout_s: float) -> None:
        """Stops accepting, and waits for the connections to end.

        Requests already read are still passed to the handler, which refuses
        them; partially read ones are refused here. Responses in progress go
        on being sent meanwhile. A connection that the kernel accepts while
        the port closes is reset unread, which its caller can recognise.
        """
        loop = event_loop.running()
        deadline_s = loop.time() + timeout_s
        # Connections in the accept queue look established to their callers,
        # and would be reset if the port closed first.
        await _process_ready_events()
        if self._server is not None:
            self._server.close()
        for connection in self.connections:
            connection.reject_partial_request()
        self.close_idle()
        while self.connections and loop.time() < deadline_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
            self.close_idle()

    async def stop(self) -> None:
        """Stops accepting, and closes idle connections."""
        if self._server is not None:
            self._server.close()
        self.close_idle()
        await _process_ready_events()

    def close_idle(self) -> None:
        """Closes connections without a request, after one more read."""
        for connection in list(self.connections):
            connection.close_if_idle()


async def _process_ready_events() -> None:
    """Lets the event loop handle all data that is ready on the sockets.

    A task that yields once resumes before the events polled meanwhile are
    handled; after a second yield they have been.
    """
    await asyncio.sleep(0)
    await asyncio.sleep(0)
