"""Bounds what callers who read slowly leave in memory, over all.

An answer that its caller does not read stays in the process, and callers choose
how many they leave unread. Each connection may hold a little; above that they
share a part of the process's memory. When that is full, the connection that has
been behind for longest is cut: its caller is the least likely to read on.
"""

from typing import Protocol

# What one connection may hold without being counted.
UNCOUNTED_BYTES = 16 * 1024
MEMORY_SHARE = 0.1


class Connection(Protocol):
    """A caller's connection."""

    def abort(self) -> None:
        """Closes the connection without ending the response."""


class UnreadAnswers:
    """What the callers of one instance have not read yet."""

    __slots__ = ("cut", "_limit", "_held_bytes", "_sizes")

    def __init__(self, memory_bytes: int):
        """Initializes the books.

        Args:
          memory_bytes: What the process may use.
        """
        # Connections that were cut so far.
        self.cut = 0
        self._held_bytes = 0
        # By connection, in the order in which they fell behind.
        self._sizes: dict[Connection, int] = {}
        self.set_memory(memory_bytes)

    def set_memory(self, memory_bytes: int) -> None:
        """Sets what the process may use."""
        self._limit = int(memory_bytes * MEMORY_SHARE)

    @property
    def held_bytes(self) -> int:
        """What is held for callers that are behind."""
        return self._held_bytes

    def record(self, connection: Connection, size: int) -> None:
        """Records that a caller has left `size` bytes unread.

        May abort connections, this one too if it alone exceeds the limit.
        """
        self.forget(connection)
        self._sizes[connection] = size
        self._held_bytes += size
        while self._held_bytes > self._limit:
            longest = next(iter(self._sizes))
            self.forget(longest)
            self.cut += 1
            longest.abort()

    def forget(self, connection: Connection) -> None:
        """Records that a caller has caught up, or left."""
        self._held_bytes -= self._sizes.pop(connection, 0)
