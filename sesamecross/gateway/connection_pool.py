"""Pool of idle connections to upstreams.

A new connection costs a round trip, some of the upstream's time, and a slot
of the connection limit that all instances share. A pooled one may have been
closed or dropped by the peer unnoticed; a request sent on it is then lost,
and only an idempotent one can be sent again.
"""

from collections.abc import Sized

from sesamecross.gateway import client_connection
from sesamecross.ops.fleet import idle_limits

# Covers the round trip between regions (40 ms) and a busy upstream. One that
# takes longer is down, unreachable, or has a full accept queue; nothing has
# been sent yet, so another upstream can be tried.
CONNECT_TIMEOUT_S = 0.35


class ConnectionPool:
    """Idle connections by address, reused last in, first out.

    Attributes:
      opened_count: Number of connections opened so far.
      reused_count: Number of requests that got an idle connection.
    """

    __slots__ = (
        "_idle",
        "_limits",
        "_born_ms",
        "_scarce",
        "opened_count",
        "reused_count",
    )

    def __init__(self) -> None:
        self._idle: dict[str, list[client_connection.ClientConnection]] = {}
        self._limits = idle_limits.IdleLimits()
        # By address, the incarnation of the upstream that has it.
        self._born_ms: dict[str, int] = {}
        # Addresses to which connections are kept for longer.
        self._scarce: set[str] = set()
        self.opened_count = 0
        self.reused_count = 0

    def configure(self, address: str, born_ms: int, is_scarce: bool) -> Sized:
        """Sets what is known of the upstream at an address.

        Idle connections to an earlier incarnation are closed.

        Args:
          address: The upstream's.
          born_ms: Its incarnation's start.
          is_scarce: Whether connections to it are kept for longer.

        Returns:
          The idle connections to it; they change.
        """
        known_ms = self._born_ms.get(address, born_ms)
        if known_ms < born_ms:
            self.close_idle(address)
        self._born_ms[address] = max(known_ms, born_ms)
        if is_scarce:
            self._scarce.add(address)
        else:
            self._scarce.discard(address)
        return self._idle.setdefault(address, [])

    async def acquire(
        self,
        address: str,
        now_s: float,
        timeout_s: float,
        is_repeatable: bool = False,
    ) -> client_connection.ClientConnection:
        """Returns an idle connection, or a new one.

        Args:
          address: Where to.
          now_s: Loop time.
          timeout_s: How long opening a connection may take.
          is_repeatable: The request may be sent again if it is lost, so that
            connections may be reused that have been idle for longer.

        Raises:
          OSError: No connection could be opened in time.
        """
        idle = self._idle.get(address, [])
        while idle:
            # The others have been idle for longer.
            connection = idle[-1]
            if self._is_fresh(address, connection, is_repeatable, now_s):
                self.reused_count += 1
                return idle.pop()
            is_kept = address in self._scarce
            if self._is_fresh(address, connection, is_kept, now_s):
                break
            self._drop(address, idle.pop(), now_s)
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
        self._limits.remove_expired(now_s)
        for address, idle in self._idle.items():
            fresh = []
            # The last ones have been idle for the shortest time.
            for connection in reversed(idle):
                is_kept = (
                    address in self._scarce
                    and len(fresh) < idle_limits.MAX_LONG_IDLE
                )
                if self._is_fresh(address, connection, is_kept, now_s):
                    fresh.append(connection)
                else:
                    self._drop(address, connection, now_s)
            idle[:] = reversed(fresh)

    def close_idle(self, address: str) -> None:
        """Closes all idle connections to an address."""
        idle = self._idle.get(address, [])
        while idle:
            idle.pop().close()

    def forget(self, address: str) -> None:
        """Closes all idle connections to an address that is gone."""
        self.close_idle(address)
        self._idle.pop(address, None)
        self._born_ms.pop(address, None)
        self._scarce.discard(address)

    def _is_fresh(
        self,
        address: str,
        connection: client_connection.ClientConnection,
        is_repeatable: bool,
        now_s: float,
    ) -> bool:
        if not connection.is_available:
            return False
        limit_s = self._limits.limit_s(
            address, connection.keep_alive_s, is_repeatable, now_s
        )
        return now_s - connection.idle_since_s < limit_s

    def _drop(
        self,
        address: str,
        connection: client_connection.ClientConnection,
        now_s: float,
    ) -> None:
        if not connection.is_available and connection.closed_s is not None:
            self._limits.record_closed(
                address, connection.closed_s - connection.idle_since_s, now_s
            )
        connection.close()
