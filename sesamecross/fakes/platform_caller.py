"""A fake caller of the platform, driven step by step.

A test stops a call at a chosen point (half the body sent, half the stream read,
nothing read), triggers an event, and continues. The result is one record: a
complete answer, or the error.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import http.client
import itertools
import os
import socket
import types

from sesamecross.fakes import platform_upstream
from sesamecross.fakes import strict_response

HOST = "reports.example"
MODEL = "trail-writer"
# Only ends tests that hang.
HANG_TIMEOUT_S = 60.0
DEADLINE_MS = 100_000
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_request_numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller received.

    Attributes:
      error: Why the answer is incomplete; empty for a complete one.
    """

    status: int
    signature: str
    body: bytes
    error: str = ""


def request_id() -> str:
    """Returns a unique request id."""
    return f"{os.getpid():08x}{next(_request_numbers):08x}"


class Call:
    """One request on a new connection, or on a reused one.

    Attributes:
      body: The request's body.
      shared_parts: The parts of a prompt but for the last, which is its own.
      own_part: The last part.
    """

    def __init__(
        self,
        front: tuple[str, int],
        path: str,
        reused: http.client.HTTPConnection | None = None,
        receive_buffer: int | None = None,
    ):
        """Opens the connection; sends nothing.

        Args:
          front: The gateway's address.
          path: Selects the route.
          reused: A connection on which a request was answered before.
          receive_buffer: The socket's receive buffer, in bytes.
        """
        self.request_id = request_id()
        self.body = f"body of {self.request_id}".encode()
        self.shared_parts = ("5c1e07a2",)
        self.own_part = self.request_id
        self._path = path
        self._front = front
        self.connection = reused or self._connect(receive_buffer)
        self._response: http.client.HTTPResponse | None = None
        self._received = b""

    def _connect(
        self, receive_buffer: int | None
    ) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(
            *self._front, timeout=HANG_TIMEOUT_S
        )
        # A closed connection must raise an error, not be reopened silently.
        connection.auto_open = 0
        connection.response_class = strict_response.StrictResponse
        sock = socket.socket()
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.settimeout(HANG_TIMEOUT_S)
        # A refused connection shows when the answer is read, like one that is
        # closed later.
        with contextlib.suppress(OSError):
            sock.connect(self._front)
        connection.sock = sock
        return connection

    def send_head(
        self,
        for_model: bool = False,
        wait_for_continue: bool = False,
        headers: Mapping[str, str] = types.MappingProxyType({}),
    ) -> None:
        """Sends the head.

        Args:
          for_model: Whether the request is for a model.
          wait_for_continue: Whether to wait until the gateway has read it.
          headers: Further headers.
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
            parts = [f"{part}:40" for part in self.shared_parts]
            send("Prompt-Prefix", ",".join([*parts, f"{self.own_part}:20"]))
        for name, value in headers.items():
            send(name, value)
        if wait_for_continue:
            send("Expect", "100-continue")
        self.connection.endheaders()
        if wait_for_continue:
            self._read_continue()

    def _read_continue(self) -> None:
        received = b""
        while len(received) < len(_CONTINUE):
            chunk = self.connection.sock.recv(len(_CONTINUE) - len(received))
            if not chunk:
                raise ConnectionError("closed before 100 Continue")
            received += chunk

    def send(
        self,
        for_model: bool = False,
        headers: Mapping[str, str] = types.MappingProxyType({}),
    ) -> None:
        """Sends the complete request."""
        with self._ignore_send_errors():
            self.send_head(for_model, headers=headers)
            self.connection.send(self.body)

    def send_half(self) -> None:
        """Sends the head, waits until it is read, and sends half the body."""
        self.send_head(wait_for_continue=True)
        self.connection.send(self.body[: len(self.body) // 2])

    def send_rest(self) -> None:
        """Sends the other half of the body."""
        with self._ignore_send_errors():
            self.connection.send(self.body[len(self.body) // 2 :])

    @contextlib.contextmanager
    def _ignore_send_errors(self) -> Iterator[None]:
        # A connection that was closed meanwhile may still hold an answer: the
        # result is that of reading, not that of sending.
        with contextlib.suppress(OSError, http.client.HTTPException):
            yield

    def read_first_events(self) -> bool:
        """Reads the events that the upstream sends before it holds the rest.

        Returns:
          Whether they arrived; False for a call that was refused.
        """
        first = platform_upstream.first_events(self.request_id)
        self._response = self.connection.getresponse()
        self._received = self._response.read(len(first))
        return self._received == first

    def finish(self) -> Answer:
        """Reads the rest of the answer; returns the result.

        Raises:
          strict_response.InvalidAnswer: It is no HTTP, or another request's.
        """
        try:
            if self._response is None:
                self._response = self.connection.getresponse()
            self._received += self._response.read()
        except http.client.IncompleteRead as error:
            self._received += error.partial
            return self._answer(f"cut after {len(self._received)} bytes")
        except (OSError, http.client.HTTPException) as error:
            return self._answer(f"{type(error).__name__}: {error}")
        return self._answer("")

    def _answer(self, error: str) -> Answer:
        if self._response is None:
            return Answer(0, "", b"", error)
        answered = self._response.getheader("Request-Id", self.request_id)
        if answered != self.request_id:
            raise strict_response.InvalidAnswer(f"answer to {answered}")
        signature = self._response.getheader("Response-Signature", "")
        return Answer(self._response.status, signature, self._received, error)

    def close(self) -> None:
        """Closes the connection."""
        self.connection.close()
