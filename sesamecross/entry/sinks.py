"""Where an answer's events go: to the caller's socket or into a document."""

import socket

from sesamecross.entry import openai_response
from sesamecross.ops import answer_validator

# A caller that is this far behind makes the relay stop reading its engine;
# others are not touched.
MAX_PENDING_BYTES = 64 * 1024


class CallerDisconnectedError(Exception):
    """The caller closed its connection or does not read."""


class CallerSink:
    """Writes events to a caller's connection without waiting for it."""

    __slots__ = ("_socket", "_is_chunked", "_wants_usage", "_buffer")

    def __init__(self, sock: socket.socket, chunked: bool, wants_usage: bool):
        # A duplicate with its own blocking mode: the server's object waits
        # up to its timeout even where the descriptor itself would not.
        self._socket = sock.dup()
        self._socket.setblocking(False)
        self._is_chunked = chunked
        self._wants_usage = wants_usage
        self._buffer = b""

    def fileno(self) -> int:
        """Returns the descriptor of the caller's connection."""
        return self._socket.fileno()

    @property
    def has_pending_bytes(self) -> bool:
        """Whether bytes wait for the caller to read."""
        return bool(self._buffer)

    @property
    def is_full(self) -> bool:
        """Whether the caller is too far behind to take more."""
        return len(self._buffer) >= MAX_PENDING_BYTES

    def write(self, chunks: list[answer_validator.Chunk]) -> None:
        """Takes events and sends what the caller will take.

        Raises:
          CallerGone: The caller is not there any more.
        """
        data = openai_response.encode_events(chunks, self._wants_usage)
        if not data:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._buffer += data
        self.flush()

    def flush(self) -> bool:
        """Sends what the caller will take; tells whether anything went.

        Raises:
          CallerGone: The caller is not there any more.
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
        """Looks whether the caller hung up.

        Raises:
          CallerGone: It did.
        """
        try:
            if self._socket.recv(1, socket.MSG_PEEK) == b"":
                raise CallerDisconnectedError("hung up")
        except BlockingIOError:
            return
        except OSError as error:
            raise CallerDisconnectedError(type(error).__name__) from error

    def close(self) -> None:
        """Lets go of the duplicate; the connection itself stays open."""
        self._socket.close()


class DocumentSink:
    """Collects events for a caller that wants one whole document."""

    __slots__ = ("chunks",)

    has_pending_bytes = False
    is_full = False

    def __init__(self) -> None:
        self.chunks: list[answer_validator.Chunk] = []

    def write(self, chunks: list[answer_validator.Chunk]) -> None:
        """Keeps the events."""
        self.chunks.extend(chunks)


Sink = CallerSink | DocumentSink
