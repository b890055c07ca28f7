"""Reads a caller's connection for `cheroot`, with a bound on each line.

The library reads some lines without a limit, and reads a head in a thread that
then waits for as long as its caller likes. So bytes that have arrived are
collected here without waiting, and a thread is given the connection when the
head is whole, or is no head any more.
"""

import socket

from cheroot import errors as cheroot_errors

_RECEIVE_BYTES = 64 * 1024
# Of a head; a bare line feed is for the library to reject.
_HEAD_ENDS = (b"\n\r\n", b"\n\n")
_LONGEST_END_BYTES = 3


class ConnectionReader:
    """The received bytes of one connection."""

    __slots__ = ("_socket", "_max_line_bytes", "_buffer", "_searched", "_ended")

    def __init__(self, sock: socket.socket, max_line_bytes: int):
        self._socket = sock
        self._max_line_bytes = max_line_bytes
        self._buffer = bytearray()
        # Where no head ends before.
        self._searched = 0
        self._ended = False

    @property
    def is_ready(self) -> bool:
        """Whether a request can be read, or rejected, without waiting."""
        if self._ended or len(self._buffer) > self._max_line_bytes:
            return True
        start = max(0, self._searched - _LONGEST_END_BYTES)
        self._searched = len(self._buffer)
        return any(self._buffer.find(end, start) >= 0 for end in _HEAD_ENDS)

    def has_data(self) -> bool:
        """Whether bytes have arrived that were not read yet."""
        return bool(self._buffer)

    def receive(self) -> None:
        """Collects what has arrived on a socket that is readable.

        Raises:
          OSError: The connection was reset.
        """
        data = self._socket.recv(_RECEIVE_BYTES)
        self._buffer += data
        self._ended = not data

    def read(self, size: int | None = None) -> bytes:
        """Returns `size` bytes; fewer if the caller closes before."""
        while (size is None or len(self._buffer) < size) and not self._ended:
            self.receive()
        return self._take(len(self._buffer) if size is None else size)

    def readline(self, size: int | None = None) -> bytes:
        """Returns a line, or its first `size` bytes.

        Raises:
          MaxSizeExceeded: The line is longer than any may be.
        """
        limit = self._max_line_bytes if size is None else size
        start = 0
        while True:
            end = self._buffer.find(b"\n", start, limit)
            if end >= 0:
                return self._take(end + 1)
            if len(self._buffer) >= limit:
                if size is None:
                    raise cheroot_errors.MaxSizeExceeded
                return self._take(size)
            if self._ended:
                return self._take(len(self._buffer))
            start = len(self._buffer)
            self.receive()

    def close(self) -> None:
        """Drops what was not read; the socket is the connection's."""
        self._buffer.clear()

    def _take(self, size: int) -> bytes:
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        self._searched = 0
        return data
