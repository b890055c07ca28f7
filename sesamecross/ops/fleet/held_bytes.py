"""Bounds what callers make an instance hold, over all their connections.

The limits on one connection don't bound the product of what it holds and the
number of connections. Each may hold a little without being counted; above that
they share a part of the process's memory. When that is full, the connection
that has held more than a little for longest is closed.
"""

from typing import Protocol


class Connection(Protocol):
    """A caller's connection."""

    def abort(self) -> None:
        """Closes the connection at once."""


class HeldBytes:
    """What connections hold above what is not counted. Deterministic."""

    __slots__ = ("cut", "_share", "_limit", "_held_bytes", "_sizes")

    def __init__(self, memory_bytes: int, share: float):
        """Initializes the books.

        Args:
          memory_bytes: What the process may use.
          share: The part of it that may be held.
        """
        # Connections that were cut so far.
        self.cut = 0
        self._share = share
        self._held_bytes = 0
        # By connection, in the order in which they passed what is not counted.
        self._sizes: dict[Connection, int] = {}
        self.set_memory(memory_bytes)

    @property
    def held_bytes(self) -> int:
        """What is held in sum."""
        return self._held_bytes

    def set_memory(self, memory_bytes: int) -> None:
        """Sets what the process may use."""
        self._limit = int(memory_bytes * self._share)

    def record(self, connection: Connection, size: int) -> int:
        """Records what a connection holds; 0 if it is nothing to count.

        May abort connections, this one too if it alone exceeds the limit.

        Returns:
          How many were aborted.
        """
        if not size:
            self.forget(connection)
            return 0
        self._held_bytes += size - self._sizes.get(connection, 0)
        self._sizes[connection] = size
        before = self.cut
        while self._held_bytes > self._limit:
            longest = next(iter(self._sizes))
            self.forget(longest)
            self.cut += 1
            longest.abort()
        return self.cut - before

    def forget(self, connection: Connection) -> None:
        """Records that a connection holds nothing to count any more."""
        self._held_bytes -= self._sizes.pop(connection, 0)
