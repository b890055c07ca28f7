"""Control calls: a request whose whole answer is awaited.

Why: calls to the store, reports and orders are small, each with a time-out
of its own, and must say whether a call without an answer may have been
carried out.
"""

import asyncio
import dataclasses

from sesamecross.core import serving
from sesamecross.gateway import client_connection

CONNECT_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    status: int
    headers: tuple[serving.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the call left this process."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """The call was sent and may have been carried out."""

    reason: str


Outcome = Answer | NotSent | NoAnswer


class _Collector:
    """Collects one answer."""

    __slots__ = ("_done", "_status", "_headers", "_pieces", "_size")

    def __init__(self, done: asyncio.Future):
        self._done = done
        self._status = 0
        self._headers: tuple[serving.Header, ...] = ()
        self._pieces: list[bytes] = []
        self._size = 0

    def on_head(self, status: int, headers: list[serving.Header]) -> bool:
        self._status = status
        self._headers = tuple(headers)
        return True

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size <= MAX_BODY_BYTES:
            self._pieces.append(data)

    def on_end(self) -> None:
        if self._size > MAX_BODY_BYTES:
            self._settle(NoAnswer("the answer is too large"))
            return
        body = b"".join(self._pieces)
        self._settle(Answer(self._status, self._headers, body))

    def on_broken(self, reason: str) -> None:
        self._settle(NoAnswer(reason))

    def _settle(self, outcome: Outcome) -> None:
        if not self._done.done():
            self._done.set_result(outcome)


class ControlClient:
    """Calls one address over kept connections."""

    __slots__ = ("_address", "_idle", "_idle_most_s")

    def __init__(self, address: str, idle_most_s: float = 4.0):
        self._address = address
        self._idle: list[client_connection.ClientConnection] = []
        self._idle_most_s = idle_most_s

    async def call(
        self,
        method: bytes,
        target: bytes,
        headers: list[serving.Header],
        body: bytes,
        timeout_s: float,
    ) -> Outcome:
        """Sends a call and waits for its answer.

        A call without an answer spoils its connection, and the idle ones
        with it: what silenced the one has probably silenced the others.
        """
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + timeout_s
        connection = self._take(loop.time())
        if connection is None:
            wait_s = min(CONNECT_TIMEOUT_S, timeout_s)
            try:
                connection = await client_connection.connect(
                    self._address, wait_s
                )
            except OSError as error:
                self.close_connections()
                return NotSent(str(error) or type(error).__name__)
        done = loop.create_future()
        host = [(b"host", self._address.encode())]
        connection.send(
            client_connection.encode_request(
                method, target, host + headers, body
            ),
            _Collector(done),
        )
        try:
            await asyncio.wait([done], timeout=ends_s - loop.time())
        except asyncio.CancelledError:
            connection.abort()
            raise
        outcome: Outcome = NoAnswer("no answer in time")
        if done.done():
            outcome = done.result()
        if isinstance(outcome, NoAnswer):
            connection.abort()
            self.close_connections()
        elif connection.is_open:
            self._idle.append(connection)
        return outcome

    def _take(self, now_s: float) -> client_connection.ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            age_s = now_s - connection.idle_since_s
            if connection.is_open and age_s < self._idle_most_s:
                return connection
            connection.close()
        return None

    def close_connections(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
