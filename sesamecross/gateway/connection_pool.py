"""Kept connections to upstreams.

Why: a new connection costs a round trip, a little of the upstream's time,
and a place under the cap that all instances share. A kept one may have been
closed or dropped by the other side unnoticed; what is sent on it then is
lost, and only a request that may be repeated can be sent again.
"""

from sesamecross.gateway import client_connection

# A connection to an upstream that accepts is there within the round trip
# between regions (40 ms) and some time of a busy upstream. One that takes
# longer goes to an upstream that is gone or cut off, or whose queue of
# connections is full; nothing was sent yet, so another one can be asked.
CONNECT_TIMEOUT_S = 0.35
# Idle connections are reused this long, or shorter where the upstream names
# a shorter time.
IDLE_MOST_S = 4.0
# Off the time that the upstream names, for the way there.
KEEP_MARGIN_S = 0.5


class ConnectionPool:
    """Idle connections by address; the last one used is used first."""

    __slots__ = ("_idle", "opened")

    def __init__(self) -> None:
        self._idle: dict[str, list[client_connection.ClientConnection]] = {}
        self.opened = 0

    async def take(
        self, address: str, now_s: float, timeout_s: float
    ) -> client_connection.ClientConnection:
        """Returns an idle connection, or a new one.

        Raises:
          OSError: No connection could be made in time.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_open and not _is_stale(connection, now_s):
                return connection
            connection.close()
        self.opened += 1
        return await client_connection.connect(
            address, min(timeout_s, CONNECT_TIMEOUT_S)
        )

    def give(
        self, address: str, connection: client_connection.ClientConnection
    ) -> None:
        """Takes a connection back, if another request may follow on it."""
        if connection.is_open:
            self._idle.setdefault(address, []).append(connection)

    def sweep(self, now_s: float) -> None:
        """Closes what was idle too long."""
        for address in list(self._idle):
            kept = []
            for connection in self._idle[address]:
                if connection.is_open and not _is_stale(connection, now_s):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def drop(self, address: str) -> None:
        """Closes all idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()


def _is_stale(
    connection: client_connection.ClientConnection, now_s: float
) -> bool:
    limit_s = IDLE_MOST_S
    if connection.keep_s is not None:
        limit_s = min(limit_s, connection.keep_s - KEEP_MARGIN_S)
    return now_s - connection.idle_since_s >= limit_s
