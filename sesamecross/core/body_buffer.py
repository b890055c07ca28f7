"""Holds one large body in memory that returns to the system when it is freed.

The memory of freed `bytes` mostly stays with the process, so that a burst of
large bodies would count long after it is over. A mapping of its own becomes
resident as the body arrives, is never copied as it grows, and is gone with it.
"""

from collections.abc import Callable
from collections.abc import Iterator
import mmap

# What is read of a large body at a time.
PIECE_BYTES = 64 * 1024


class BodyBuffer:
    """A body of up to `capacity` bytes.

    Attributes:
      capacity: Bytes that it may grow to.
      on_closed: Called once when the memory has been returned.
    """

    __slots__ = ("capacity", "on_closed", "_map", "_size")

    def __init__(self, capacity: int):
        """Maps the memory, none of which is resident yet.

        Raises:
          OSError: The system has no memory to map.
        """
        self.capacity = capacity
        self.on_closed: Callable[[], None] | None = None
        self._size = 0
        self._map = mmap.mmap(
            -1, max(1, capacity), flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        )

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Adds bytes at the end.

        Raises:
          ValueError: The capacity would be exceeded.
        """
        if self._size + len(data) > self.capacity:
            raise ValueError(f"body exceeds {self.capacity} bytes")
        self._map[self._size : self._size + len(data)] = data
        self._size += len(data)

    def read(self, start: int, size: int) -> bytes:
        """Returns up to `size` bytes from `start` on."""
        return self._map[start : min(start + size, self._size)]

    def close(self) -> None:
        """Returns the memory; the body can't be read any more."""
        self._map.close()
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed()


def buffer_of(body: bytes | BodyBuffer) -> BodyBuffer | None:
    """Returns a body's buffer; None if it is too small for one."""
    return body if isinstance(body, BodyBuffer) else None


def pieces(body: bytes | BodyBuffer) -> Iterator[bytes]:
    """Returns a body in pieces, so that a large one is not copied whole."""
    if not isinstance(body, BodyBuffer):
        yield body
        return
    for start in range(0, len(body), PIECE_BYTES):
        yield body.read(start, PIECE_BYTES)


def close(body: bytes | BodyBuffer) -> None:
    """Returns the memory of a body that has a buffer of its own."""
    if isinstance(body, BodyBuffer):
        body.close()
