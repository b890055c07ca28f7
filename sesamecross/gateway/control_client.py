"""HTTP client for control calls: store calls, engine reports, engine orders.

These calls are small and have a timeout each. The outcome of a call without a
response must say whether it may have been executed.
"""

import asyncio
from collections.abc import Callable

import msgspec

from sesamecross.core import serving
from sesamecross.gateway import client_connection
from sesamecross.ops.fleet import answer_bounds
from sesamecross.runtime import event_loop

CONNECT_TIMEOUT_S = 1.0
# A page of the store has 1 MB, in base64.
MAX_BODY_BYTES = 4 * 1024 * 1024


class Answer(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    headers: tuple[serving.Header, ...]
    body: bytes


class NotSent(msgspec.Struct, frozen=True):
    """No byte of the call was sent."""

    reason: str


class NoAnswer(msgspec.Struct, frozen=True):
    """The call was sent and may have been executed."""

    reason: str


Outcome = Answer | NotSent | NoAnswer


class _ResponseCollector:
    """Buffers one response."""

    __slots__ = (
        "_outcome_future",
        "_status",
        "_headers",
        "_chunks",
        "_body_size",
        "_max_bytes",
    )

    def __init__(self, outcome_future: asyncio.Future, max_bytes: int):
        self._outcome_future = outcome_future
        self._max_bytes = max_bytes
        self._status = 0
        self._headers: tuple[serving.Header, ...] = ()
        self._chunks: list[bytes] = []
        self._body_size = 0

    def on_head(self, status: int, headers: list[serving.Header]) -> bool:
        self._status = status
        self._headers = tuple(headers)
        return True

    def on_body(self, data: bytes) -> None:
        self._body_size += len(data)
        if self._body_size <= self._max_bytes:
            self._chunks.append(data)
        else:
            # The call closes the connection.
            self._chunks.clear()
            self._set_outcome(NoAnswer(answer_bounds.Excess.BODY.value))

    def on_end(self) -> None:
        body = b"".join(self._chunks)
        self._set_outcome(Answer(self._status, self._headers, body))

    def on_failure(self, reason: str) -> None:
        self._set_outcome(NoAnswer(reason))

    def _set_outcome(self, outcome: Outcome) -> None:
        if not self._outcome_future.done():
            self._outcome_future.set_result(outcome)


class ControlClient:
    """Calls one address over keep-alive connections.

    Connections that were idle for `max_idle_s` are not reused. An answer with
    a body of over `max_bytes` counts as none.
    """

    __slots__ = ("_address", "_idle", "_max_idle_s", "_max_bytes")

    def __init__(
        self,
        address: str,
        max_idle_s: float = 4.0,
        max_bytes: int | None = None,
    ):
        self._address = address
        self._idle: list[client_connection.ClientConnection] = []
        self._max_idle_s = max_idle_s
        self._max_bytes = max_bytes or MAX_BODY_BYTES

    async def call(
        self,
        method: bytes,
        target: bytes,
        headers: list[serving.Header],
        body: bytes,
        timeout_s: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Outcome:
        """Sends a call and waits for its response.

        If none arrives, the idle connections are closed together with the
        call's own: they have probably failed for the same reason.

        Args:
          method: HTTP method.
          target: Path and query.
          headers: Further headers.
          body: Body of the call.
          timeout_s: For the connection and the response together.
          may_send: Asked when the connection is open, just before the call is
            sent.
        """
        loop = event_loop.running()
        deadline_s = loop.time() + timeout_s
        connection = self._take_idle(loop.time())
        if connection is None:
            wait_s = min(CONNECT_TIMEOUT_S, timeout_s)
            try:
                connection = await client_connection.connect(
                    self._address, wait_s
                )
            except OSError as error:
                self.close_connections()
                return NotSent(str(error) or type(error).__name__)
        if not may_send():
            self._idle.append(connection)
            return NotSent("no longer to be sent")
        outcome_future = loop.create_future()
        host = [(b"host", self._address.encode())]
        connection.send(
            client_connection.encode_request(
                method, target, host + headers, body
            ),
            _ResponseCollector(outcome_future, self._max_bytes),
        )
        try:
            await asyncio.wait(
                [outcome_future], timeout=deadline_s - loop.time()
            )
        except asyncio.CancelledError:
            connection.abort()
            raise
        outcome: Outcome = NoAnswer("response timed out")
        if outcome_future.done():
            outcome = outcome_future.result()
        if isinstance(outcome, NoAnswer):
            connection.abort()
            self.close_connections()
        elif connection.is_available:
            self._idle.append(connection)
        return outcome

    def _take_idle(
        self, now_s: float
    ) -> client_connection.ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            age_s = now_s - connection.idle_since_s
            if connection.is_available and age_s < self._max_idle_s:
                return connection
            connection.close()
        return None

    def close_connections(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
