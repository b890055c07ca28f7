"""A stand-in for a caller of the platform, one step at a time.

Why: a test stops a call at a chosen point (half the body sent, half the
stream read, nothing read), lets something happen, and goes on. What the
caller has got in the end is one record: a whole answer, or what went wrong.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import http.client
import itertools
import os
import socket

from sesamecross.fakes import platform_upstream

HOST = "reports.example"
MODEL = "trail-writer"
# Only a guard against hanging.
HANG_S = 60.0
DEADLINE_MS = 100_000
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller has got.

    Attributes:
      error: Why the answer is not whole; empty where it is.
    """

    status: int
    signature: str
    body: bytes
    error: str = ""


def request_id() -> str:
    """Returns an id that no other request bears."""
    return f"{os.getpid():08x}{next(_numbers):08x}"


class Call:
    """One request on a connection of its own, or on a kept one."""

    def __init__(
        self,
        front: tuple[str, int],
        path: str,
        reused: http.client.HTTPConnection | None = None,
        receive_buffer: int | None = None,
    ):
        """Opens the connection; nothing is sent.

        Args:
          front: The gateway's address.
          path: Decides the route.
          kept: A connection with an answer behind it.
          receive_buffer: Bytes that the caller's machine takes unread.
        """
        self.request_id = request_id()
        self.body = f"body of {self.request_id}".encode()
        self._path = path
        self._front = front
        self.connection = reused or self._connect(receive_buffer)
        self._response: http.client.HTTPResponse | None = None
        self._read = b""

    def _connect(
        self, receive_buffer: int | None
    ) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(*self._front, timeout=HANG_S)
        # A closed connection must show, and not be opened again unseen.
        connection.auto_open = 0
        sock = socket.socket()
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.settimeout(HANG_S)
        # Who is refused here has no connection, and is told so as a caller is
        # whose connection ends: when it asks for its answer.
        with contextlib.suppress(OSError):
            sock.connect(self._front)
        connection.sock = sock
        return connection

    def send_head(self, for_model: bool = False, waits: bool = False) -> None:
        """Sends the head.

        Args:
          for_model: The request is one to a model.
          waits: Waits until the gateway has read the head.
        """
        send = self.connection.putheader
        self.connection.putrequest(
            "POST", self._path, skip_host=True, skip_accept_encoding=True
        )
        send("Host", HOST)
        send("Request-Id", self.request_id)
        send("Deadline-Ms", str(DEADLINE_MS))
        send("Content-Length", str(len(self.body)))
        if for_model:
            send("Model", MODEL)
            send("Token-Usage", "60,50")
            send("Prompt-Prefix", f"5c1e07a2:40,{self.request_id}:20")
        if waits:
            send("Expect", "100-continue")
        self.connection.endheaders()
        if waits:
            self._take_continue()

    def _take_continue(self) -> None:
        taken = b""
        while len(taken) < len(_CONTINUE):
            piece = self.connection.sock.recv(len(_CONTINUE) - len(taken))
            if not piece:
                raise ConnectionError("closed before the body was asked for")
            taken += piece

    def send(self, for_model: bool = False) -> None:
        """Sends the whole request."""
        with self._sending():
            self.send_head(for_model)
            self.connection.send(self.body)

    def send_half(self) -> None:
        """Sends the head and half the body; the head is read by then."""
        self.send_head(waits=True)
        self.connection.send(self.body[: len(self.body) // 2])

    def send_rest(self) -> None:
        """Sends the other half of the body."""
        with self._sending():
            self.connection.send(self.body[len(self.body) // 2 :])

    @contextlib.contextmanager
    def _sending(self) -> Iterator[None]:
        # A connection that was closed meanwhile may still bear an answer:
        # what reading brings is told, and not that sending failed.
        with contextlib.suppress(OSError, http.client.HTTPException):
            yield

    def read_first_events(self) -> bool:
        """Reads what the upstream sends of a stream before it is let go.

        Returns:
          Whether that is there: False where the call was refused.
        """
        first = platform_upstream.first_events(self.request_id)
        self._response = self.connection.getresponse()
        self._read = self._response.read(len(first))
        return self._read == first

    def finish(self) -> Answer:
        """Reads the rest, up to the answer's proper end."""
        try:
            if self._response is None:
                self._response = self.connection.getresponse()
            self._read += self._response.read()
        except http.client.IncompleteRead as error:
            self._read += error.partial
            return self._answer(f"cut after {len(self._read)} bytes")
        except (OSError, http.client.HTTPException) as error:
            return self._answer(f"{type(error).__name__}: {error}")
        return self._answer("")

    def _answer(self, error: str) -> Answer:
        if self._response is None:
            return Answer(0, "", b"", error)
        signature = self._response.getheader("Response-Signature", "")
        return Answer(self._response.status, signature, self._read, error)

    def close(self) -> None:
        """Closes the connection."""
        self.connection.close()
