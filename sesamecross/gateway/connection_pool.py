"""Pool of idle connections to upstreams.

A new connection costs a round trip, some of the upstream's time, and a slot
of the connection limit that all instances share. A pooled one may have been
closed or dropped by the peer unnoticed; a request sent on it is then lost,
and only an idempotent one can be sent again.
"""

from sesamecross.gateway import client_connection

# Covers the round trip between regions (40 ms) and a busy upstream. One that
# takes longer is down, unreachable, or has a full accept queue; nothing has
# been sent yet, so another upstream can be tried.
CONNECT_TIMEOUT_S = 0.35
# Idle connections are reused for this long, or less if the upstream's
# keep-alive header says less.
MAX_IDLE_S = 4.0
# Subtracted from the upstream's keep-alive time for the network latency.
KEEP_ALIVE_MARGIN_S = 0.5


class ConnectionPool:
    """Idle connections by address, reused last in, first out.

    Attributes:
      opened_count: Number of connections opened so far.
    """

    __slots__ = ("_idle", "opened_count")

    def __init__(self) -> None:
        self._idle: dict[str, list[client_connection.ClientConnection]] = {}
        self.opened_count = 0

    async def acquire(
        self, address: str, now_s: float, timeout_s: float
    ) -> client_connection.ClientConnection:
        """Returns an idle connection, or a new one.

        Raises:
          OSError: No connection could be opened in time.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_available and not _is_stale(connection, now_s):
                return connection
            connection.close()
        return await self.open(address, timeout_s)

    async def open(
        self, address: str, timeout_s: float
    ) -> client_connection.ClientConnection:
        """Returns a new connection.

        Raises:
          OSError: It could not be opened in time.
        """
        self.opened_count += 1
        return await client_connection.connect(
            address, min(timeout_s, CONNECT_TIMEOUT_S)
        )

    def release(
        self, address: str, connection: client_connection.ClientConnection
    ) -> None:
        """Returns a connection to the pool if it can be reused."""
        if connection.relayed_by:
            connection.close()
        elif connection.is_available:
            self._idle.setdefault(address, []).append(connection)

    def close_stale(self, now_s: float) -> None:
        """Closes connections that were idle too long."""
        for address in list(self._idle):
            fresh = []
            for connection in self._idle[address]:
                if connection.is_available and not _is_stale(connection, now_s):
                    fresh.append(connection)
                else:
                    connection.close()
            if fresh:
                self._idle[address] = fresh
            else:
                del self._idle[address]

    def close_idle(self, address: str) -> None:
        """Closes all idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()


def _is_stale(
    connection: client_connection.ClientConnection, now_s: float
) -> bool:
    limit_s = MAX_IDLE_S
    if connection.keep_alive_s is not None:
        limit_s = min(limit_s, connection.keep_alive_s - KEEP_ALIVE_MARGIN_S)
    return now_s - connection.idle_since_s >= limit_s
