"""Listens for HTTP connections at one address, as a component."""

import asyncio

from sesamecross.gateway import server_connection

# Connections that wait to be accepted. The platform's balancer hands over
# all of a zone's callers at once when another instance stops.
BACKLOG = 1024
# How often an end looks whether all connections are gone.
_POLL_S = 0.02


class Listener:
    """Accepts connections and gives them a handler.

    Attributes:
      is_vital: Whether the process ends where it can't listen. One that
        callers need is vital.
      is_helper: The opposite; it is tried again for ever.
    """

    __slots__ = (
        "name",
        "is_vital",
        "is_helper",
        "_address",
        "_handler",
        "_server",
        "connections",
    )

    def __init__(
        self,
        name: str,
        address: str,
        handler: server_connection.Handler,
        is_vital: bool = True,
    ):
        self.name = name
        self.is_vital = is_vital
        self.is_helper = not is_vital
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.connections: set[server_connection.FrontConnection] = set()

    @property
    def address(self) -> str:
        """Where it listens, once it does; empty before."""
        if self._server is None or not self._server.sockets:
            return ""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered, or an answer leaves."""
        return any(connection.is_busy for connection in self.connections)

    async def run(self) -> None:
        """Listens until cancelled."""
        loop = asyncio.get_running_loop()
        host, _, port = self._address.rpartition(":")
        self._server = await loop.create_server(
            lambda: server_connection.FrontConnection(
                self._handler, loop, self.connections
            ),
            host,
            int(port),
            backlog=BACKLOG,
            reuse_address=True,
        )
        await asyncio.Event().wait()

    async def end(self, within_s: float) -> None:
        """Accepts no more, and lets the connections come to their end.

        Requests that are read by now are still answered, by a handler that
        refuses; those that are half there are refused here. Answers under way
        go out meanwhile. A connection that the kernel takes in as the port
        closes is reset unread, and its caller can tell that.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + within_s
        # Who was told that it is connected waits in a queue, and would be
        # reset if the port closed first.
        await _turn()
        if self._server is not None:
            self._server.close()
        for connection in self.connections:
            connection.refuse_half()
        self.close_idle()
        while self.connections and loop.time() < until_s:
            await asyncio.sleep(_POLL_S)
            self.close_idle()

    async def stop(self) -> None:
        """Accepts no more, and closes what is idle."""
        if self._server is not None:
            self._server.close()
        self.close_idle()
        await _turn()

    def close_idle(self) -> None:
        """Closes connections on which nothing is asked, behind one turn."""
        for connection in list(self.connections):
            connection.close_if_idle()


async def _turn() -> None:
    """Lets the loop handle whatever the sockets hold at this moment.

    A task that yields once goes on before the events that were found
    meanwhile; only the second time they have been handled.
    """
    await asyncio.sleep(0)
    await asyncio.sleep(0)
