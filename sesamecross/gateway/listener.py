"""Listens for HTTP connections at one address, as a component."""

import asyncio

from sesamecross.gateway import front

# Connections that wait to be accepted. The platform's balancer hands over
# all of a zone's callers at once when another instance stops.
BACKLOG = 1024


class Listener:
    """Accepts connections and gives them a handler."""

    is_vital = True

    __slots__ = ("name", "_address", "_handler", "_server", "connections")

    def __init__(self, name: str, address: str, handler: front.Handler):
        self.name = name
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.connections: set[front.FrontConnection] = set()

    @property
    def address(self) -> str:
        """Where it listens, once it does; empty before."""
        if self._server is None or not self._server.sockets:
            return ""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def run(self) -> None:
        """Listens until cancelled."""
        loop = asyncio.get_running_loop()
        host, _, port = self._address.rpartition(":")
        self._server = await loop.create_server(
            lambda: front.FrontConnection(
                self._handler, loop, self.connections
            ),
            host,
            int(port),
            backlog=BACKLOG,
            reuse_address=True,
        )
        await asyncio.Event().wait()

    async def stop(self) -> None:
        """Accepts no more, and closes what is idle."""
        if self._server is not None:
            self._server.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes connections on which nothing is asked."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()
