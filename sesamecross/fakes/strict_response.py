"""Answers as read by a caller that takes only what HTTP allows.

`http.client` accepts answers that other callers take for none: two framings,
two lengths, bytes after the end, a head that is cut. A test that reads such an
answer would pass although real callers were not served. So `h11` reads every
byte too, and what it leaves open is checked here.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import email.message
import http.client
import io
import select
import socket

import h11

_BODYLESS_STATUSES = frozenset((204, 304))


class InvalidAnswer(Exception):
    """The answer is no HTTP; look at what the server under test sent.

    Not one of the errors that callers come back after.
    """


class _Checker:
    """Follows the bytes of one answer.

    Attributes:
      error: Why it is no HTTP, or empty.
      is_cut: Whether the connection ended before the answer did.
    """

    def __init__(self, method: str):
        self.error = ""
        self.is_cut = False
        self._is_complete = False
        self._connection = h11.Connection(h11.CLIENT)
        request = h11.Request(method=method, target="/", headers=[("Host", "")])
        self._connection.send(request)
        self._connection.send(h11.EndOfMessage())

    def receive(self, data: bytes) -> None:
        """Takes bytes from the connection; empty ones are its end.

        Raises:
          InvalidAnswer: They are no HTTP.
        """
        if not self._is_complete:
            with self._noting_errors(is_end=not data):
                self._connection.receive_data(data)
                self._read_events()
        elif data:
            self.error = "bytes after the end"
        if self._is_complete and self._connection.trailing_data[0]:
            self.error = "bytes after the end"
        self.raise_error()

    def raise_error(self) -> None:
        """Raises `InvalidAnswer` if there was an error."""
        if self.error:
            raise InvalidAnswer(self.error)

    @contextlib.contextmanager
    def _noting_errors(self, is_end: bool) -> Iterator[None]:
        try:
            yield
        except h11.RemoteProtocolError as error:
            if is_end:
                self.is_cut = True
            else:
                self.error = str(error)

    def _read_events(self) -> None:
        while True:
            match self._connection.next_event():
                case h11.EndOfMessage():
                    self._is_complete = True
                    return
                case h11.NEED_DATA | h11.PAUSED | h11.ConnectionClosed():
                    return


class _CheckedSource(io.RawIOBase):
    """The receiving side of a socket, all of which a checker sees."""

    def __init__(self, sock: socket.socket, checker: _Checker):
        self._sock = sock
        # Keeps the socket open after the connection's own `close`.
        self._file = sock.makefile("rb", buffering=0)
        self._checker = checker

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int:
        count = self._file.readinto(buffer)
        self._checker.receive(bytes(buffer[:count]))
        return count

    def close(self) -> None:
        if not self.closed:
            self._look_after_end()
            self._file.close()
        super().close()

    def _look_after_end(self) -> None:
        if self._checker.error or self._file.closed:
            return
        # A caller may also close the connection in the middle of an answer.
        with contextlib.suppress(OSError, ValueError, InvalidAnswer):
            if select.select([self._sock], [], [], 0)[0]:
                self._checker.receive(self._sock.recv(1, socket.MSG_PEEK))


class _CheckedSocket:
    """What `http.client` needs of a socket to read an answer."""

    def __init__(self, sock: socket.socket, checker: _Checker):
        self._sock = sock
        self._checker = checker

    def makefile(self, _mode: str) -> io.BufferedReader:
        """Returns the file that the answer is read from."""
        return io.BufferedReader(_CheckedSource(self._sock, self._checker))


class StrictResponse(http.client.HTTPResponse):
    """An answer that must be HTTP; the `response_class` of a connection."""

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ):
        self._checker = _Checker(method or "GET")
        checked = _CheckedSocket(sock, self._checker)
        super().__init__(checked, debuglevel, method, url)

    def begin(self) -> None:
        """Reads the head.

        Raises:
          InvalidAnswer: It is no HTTP, or was cut.
        """
        super().begin()
        self._check(b"")
        error = _framing_error(self.status, self.headers)
        if error:
            raise InvalidAnswer(error)

    def read(self, amt: int | None = None) -> bytes:
        """Reads the body, or a part of it.

        Raises:
          InvalidAnswer: It is no HTTP.
          http.client.IncompleteRead: It was cut.
        """
        data = super().read(amt)
        self._check(data)
        return data

    def read1(self, n: int = -1) -> bytes:
        """Reads what has arrived of the body; raises as `read`."""
        data = super().read1(n)
        self._check(data)
        return data

    def _check(self, data: bytes) -> None:
        self._checker.raise_error()
        if self._checker.is_cut:
            raise http.client.IncompleteRead(data)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer; the names of headers are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def parse(sent: bytes, method: str = "GET") -> Answer:
    """Reads one answer from all bytes of a connection that then ends.

    Raises:
      InvalidAnswer: It is no HTTP.
      http.client.HTTPException: It was cut.
    """
    caller, server = socket.socketpair()
    with contextlib.closing(caller), contextlib.closing(server):
        server.sendall(sent)
        server.shutdown(socket.SHUT_WR)
        response = StrictResponse(caller, method=method)
        response.begin()
        body = b""
        while data := response.read1():
            body += data
    headers = tuple(
        (name.lower(), value) for name, value in response.getheaders()
    )
    return Answer(response.status, headers, body)


def _framing_error(status: int, headers: email.message.Message) -> str:
    """Returns what is wrong with a head that `h11` accepts, or nothing."""
    lengths = headers.get_all("Content-Length", [])
    codings = headers.get_all("Transfer-Encoding", [])
    if len(lengths) > 1:
        return "two lengths"
    if lengths and codings:
        return "a length beside a transfer coding"
    if status in _BODYLESS_STATUSES and codings:
        return "a transfer coding without a body"
    if status == http.HTTPStatus.NO_CONTENT and lengths:
        return "a length without a body"
    return ""
