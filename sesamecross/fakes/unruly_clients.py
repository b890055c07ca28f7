"""Fake clients that ignore every limit: endless bytes, silent connections.

They drive plain sockets, as no HTTP library sends what they send.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import selectors
import socket
import time

_PIECE_BYTES = 64 * 1024
# Keeps the kernel from taking megabytes that the server has not read.
_SEND_BUFFER_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Endless:
    """Bytes that never end: a beginning, and what is repeated after it."""

    beginning: bytes
    repeated: bytes

    def pieces(self) -> Iterator[bytes]:
        """Yields the bytes in pieces of at least some kilobytes."""
        yield self.beginning
        piece = self.repeated * max(1, _PIECE_BYTES // len(self.repeated))
        while True:
            yield piece


class _Sender:
    """One connection that sends endless bytes and reads nothing."""

    def __init__(self, address: tuple[str, int], form: Endless):
        self.sent = 0
        self._pieces = form.pieces()
        self._unsent = b""
        self.socket = _connect(address)

    def send_some(self) -> bool:
        """Sends what the kernel takes; returns False once it is closed."""
        if not self._unsent:
            self._unsent = next(self._pieces)
        try:
            size = self.socket.send(self._unsent)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.sent += size
        self._unsent = self._unsent[size:]
        return True


def _connect(address: tuple[str, int]) -> socket.socket:
    one = socket.socket()
    one.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
    one.settimeout(10.0)
    # A refused connection shows when it is used, like one closed later.
    with contextlib.suppress(OSError):
        one.connect(address)
    one.setblocking(False)
    return one


def send_endless(
    address: tuple[str, int],
    form: Endless,
    connections: int,
    bytes_each: int,
    max_s: float,
) -> list[int]:
    """Sends endless bytes on many connections, as fast as they are taken.

    Args:
      address: Where to connect.
      form: What to send.
      connections: How many, at the same time.
      bytes_each: What one sends at most.
      max_s: Ends a crowd that is not read any more.

    Returns:
      How many bytes were taken from each, the kernel's buffers included.
    """
    until_s = time.monotonic() + max_s
    senders = [_Sender(address, form) for _ in range(connections)]
    with selectors.DefaultSelector() as selector, contextlib.ExitStack() as all:
        for one in senders:
            all.callback(one.socket.close)
            selector.register(one.socket, selectors.EVENT_WRITE, one)
        while selector.get_map() and time.monotonic() < until_s:
            for key, _ in selector.select(0.1):
                one = key.data
                if not one.send_some() or one.sent >= bytes_each:
                    selector.unregister(one.socket)
    return [one.sent for one in senders]


class OpenCrowd:
    """Connections that send a beginning and then nothing, and stay open."""

    def __init__(self, address: tuple[str, int], beginning: bytes):
        """Creates the crowd; `open` connects it.

        Args:
          address: Where to connect.
          beginning: What each connection sends.
        """
        self._address = address
        self._beginning = beginning
        self._open: list[socket.socket] = []

    def __enter__(self) -> "OpenCrowd":
        return self

    def __exit__(self, *_: object) -> None:
        for one in self._open:
            one.close()

    def open(self, connections: int) -> None:
        """Closes what the server has closed, and opens the rest again."""
        alive = []
        for one in self._open:
            if _is_open(one):
                alive.append(one)
            else:
                one.close()
        self._open = alive
        while len(self._open) < connections:
            one = _connect(self._address)
            self._open.append(one)
            _send_all(one, self._beginning)


def _is_open(one: socket.socket) -> bool:
    try:
        while data := one.recv(_PIECE_BYTES):
            del data
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _send_all(one: socket.socket, data: bytes) -> None:
    one.settimeout(2.0)
    # The server may close the connection, or stop reading it, at any byte.
    with contextlib.suppress(OSError):
        one.sendall(data)
    one.setblocking(False)
