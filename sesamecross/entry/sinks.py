"""Destinations of a response: the caller's socket or one whole document."""

import socket

from sesamecross.entry import openai_response
from sesamecross.ops import answer_validator

# At this many unsent bytes the relay stops reading the engine of this call;
# other calls are not affected.
MAX_PENDING_BYTES = 64 * 1024


class CallerDisconnectedError(Exception):
    """The caller closed its connection, or the connection failed."""


class CallerSink:
    """Writes events to a caller's connection without blocking."""

    __slots__ = ("_socket", "_is_chunked", "_wants_usage", "_buffer")

    def __init__(self, sock: socket.socket, chunked: bool, wants_usage: bool):
        # A duplicate, because the server's socket object waits up to its
        # timeout even if the descriptor is non-blocking.
        self._socket = sock.dup()
        self._socket.setblocking(False)
        self._is_chunked = chunked
        self._wants_usage = wants_usage
        self._buffer = b""

    def fileno(self) -> int:
        """Returns the file descriptor, for a selector."""
        return self._socket.fileno()

    @property
    def has_pending_bytes(self) -> bool:
        """Whether bytes are buffered that the caller has not taken."""
        return bool(self._buffer)

    @property
    def is_full(self) -> bool:
        """Whether the buffer has reached its limit."""
        return len(self._buffer) >= MAX_PENDING_BYTES

    def write(self, chunks: list[answer_validator.Chunk]) -> None:
        """Buffers events and sends as much as the socket accepts.

        Raises:
          CallerDisconnectedError: The connection is closed or failed.
        """
        data = openai_response.encode_events(chunks, self._wants_usage)
        if not data:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._buffer += data
        self.flush()

    def flush(self) -> bool:
        """Sends as much as the socket accepts; returns whether bytes were sent.

        Raises:
          CallerDisconnectedError: The connection is closed or failed.
        """
        if not self._buffer:
            return False
        try:
            sent = self._socket.send(self._buffer)
        except BlockingIOError:
            return False
        except OSError as error:
            raise CallerDisconnectedError(type(error).__name__) from error
        self._buffer = self._buffer[sent:]
        return sent > 0

    def check_alive(self) -> None:
        """Checks that the caller has not closed its connection.

        Raises:
          CallerDisconnectedError: It has, or the connection failed.
        """
        try:
            if self._socket.recv(1, socket.MSG_PEEK) == b"":
                raise CallerDisconnectedError("connection closed")
        except BlockingIOError:
            return
        except OSError as error:
            raise CallerDisconnectedError(type(error).__name__) from error

    def close(self) -> None:
        """Closes the duplicate; the connection itself stays open."""
        self._socket.close()


class DocumentSink:
    """Collects events for a response that is not streamed."""

    __slots__ = ("chunks",)

    has_pending_bytes = False
    is_full = False

    def __init__(self) -> None:
        self.chunks: list[answer_validator.Chunk] = []

    def write(self, chunks: list[answer_validator.Chunk]) -> None:
        """Appends the events."""
        self.chunks.extend(chunks)


Sink = CallerSink | DocumentSink
