"""Bounds what requests that are not whole yet hold in memory, over all.

The limits on one request don't bound the product of its size and the number of
connections. Each may hold a little; above that, heads that have not ended and
requests that were sent behind others share a part of the process's memory. When
that is full, the connection that has held more than a little for longest goes.
"""

from typing import Protocol

# What one connection may hold without being counted: several ordinary heads.
UNCOUNTED_BYTES = 8 * 1024
MEMORY_SHARE = 0.05
# What a field takes beside its bytes.
FIELD_BYTES = 160


class Connection(Protocol):
    """A caller's connection."""

    def abort(self) -> None:
        """Closes the connection at once."""


class UnfinishedRequests:
    """What the requests being read by one instance hold. Deterministic."""

    __slots__ = ("cut", "_limit", "_held_bytes", "_sizes")

    def __init__(self, memory_bytes: int):
        """Initializes the books.

        Args:
          memory_bytes: What the process may use.
        """
        # Connections that were cut so far.
        self.cut = 0
        self._held_bytes = 0
        # By connection, in the order in which they passed what is not counted.
        self._sizes: dict[Connection, int] = {}
        self.set_memory(memory_bytes)

    @property
    def held_bytes(self) -> int:
        """What is held above what is not counted."""
        return self._held_bytes

    def set_memory(self, memory_bytes: int) -> None:
        """Sets what the process may use."""
        self._limit = int(memory_bytes * MEMORY_SHARE)

    def record(self, connection: Connection, size: int) -> None:
        """Records what a connection holds; 0 if it is nothing to count.

        May abort connections, this one too if it alone exceeds the limit.
        """
        if not size:
            self._held_bytes -= self._sizes.pop(connection, 0)
            return
        self._held_bytes += size - self._sizes.get(connection, 0)
        self._sizes[connection] = size
        while self._held_bytes > self._limit:
            longest = next(iter(self._sizes))
            self._held_bytes -= self._sizes.pop(longest)
            self.cut += 1
            longest.abort()
