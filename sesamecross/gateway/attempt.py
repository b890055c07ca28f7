"""Receives the response to one attempt at an upstream and classifies it.

Retries depend on what is known about the attempt, so every way in which a
response can succeed, fail or be invalid maps to one outcome type. A response
that is not a stream is buffered until it is complete, so that a truncated one
never looks complete to the caller. Stream events are forwarded as they
arrive, complete events only.
"""

import asyncio
from collections.abc import Callable

import msgspec

from sesamecross.core import serving
from sesamecross.gateway import event_relay
from sesamecross.ops.fleet import answer_bounds
from sesamecross.ops.fleet import retry_policy
from sesamecross.ports import http_codec as http_codec_lib

# Without any of these a body ends with its connection.
_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class CompleteResponse(msgspec.Struct, frozen=True):
    """A complete response; a 2xx one carries the upstream's signature."""

    status: int
    headers: tuple[serving.Header, ...]
    body: bytes


class StreamCompleted(msgspec.Struct, frozen=True):
    """A stream that ended normally; its events have been forwarded."""


Outcome = CompleteResponse | StreamCompleted | retry_policy.Failure


class Attempt:
    """Response receiver of one attempt.

    Attributes:
      outcome_future: Resolves to the attempt's outcome.
      on_response_head: Called with the head of the request's response.
      is_connection_reusable: Whether a second response on the connection could
        be told from that to its next request.
    """

    __slots__ = (
        "outcome_future",
        "on_response_head",
        "is_connection_reusable",
        "_http_codec",
        "_request_id",
        "_instance_id",
        "_is_connection_used",
        "_relay",
        "_status",
        "_headers",
        "_head_info",
        "_chunks",
        "_body_size",
        "_memory",
        "_is_stream",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        request_id: str,
        instance_id: str,
        relay: event_relay.EventRelay | None,
        http_codec: http_codec_lib.HttpCodec,
        is_connection_used: bool,
        memory: answer_bounds.AnswerMemory | None = None,
    ):
        """Initializes the attempt.

        Args:
          loop: Creates the future of the outcome.
          request_id: The id that the response must bear; may be empty.
          instance_id: The upstream that the request is sent to.
          relay: Forwards the events if the response is a stream.
          http_codec: Parses the head.
          is_connection_used: The connection has carried another request.
          memory: What the answers of all attempts may hold.
        """
        self._http_codec = http_codec
        self._is_connection_used = is_connection_used
        self.is_connection_reusable = True
        self.outcome_future: asyncio.Future[Outcome] = loop.create_future()
        self.on_response_head: (
            Callable[[http_codec_lib.ResponseHead], None] | None
        ) = None
        self._request_id = request_id
        self._instance_id = instance_id
        self._relay = relay
        self._status = 0
        self._headers: tuple[serving.Header, ...] = ()
        self._head_info: http_codec_lib.ResponseHead | None = None
        self._chunks: list[bytes] = []
        self._body_size = 0
        self._memory = memory or answer_bounds.AnswerMemory()
        self._is_stream = False

    @property
    def status(self) -> int:
        """Status of the answer; 0 before its head."""
        return self._status

    @property
    def answer_head(self) -> http_codec_lib.ResponseHead | None:
        """The head of the answer; None before it."""
        return self._head_info

    def on_head(self, status: int, headers: list[serving.Header]) -> bool:
        """Accepts the head, or returns False if it is for another request."""
        head_info = self._http_codec.parse_response_head(status, headers)
        is_unnamed = not head_info.request_id and (
            head_info.was_not_executed or not self._request_id
        )
        if head_info.request_id != self._request_id and not is_unnamed:
            return False
        self._status = status
        self._headers = tuple(headers)
        self._head_info = head_info
        if is_unnamed:
            self.is_connection_reusable = False
            if self._is_connection_used or head_info.was_not_executed:
                # Perhaps a second response to an earlier request, or a
                # refusal that was sent before this one came.
                self._set_outcome(
                    retry_policy.Lost("response names no request")
                )
                return True
        if self.on_response_head is not None:
            self.on_response_head(head_info)
        is_success = 200 <= status < 300
        if is_success and (head_info.is_encoded or not head_info.has_signature):
            self._set_outcome(
                retry_policy.Lost("success response encoded or unsigned")
            )
        elif (
            is_success and self._relay is not None and head_info.is_event_stream
        ):
            self._is_stream = True
            self._relay.begin_stream(status, headers)
        return True

    def on_body(self, data: bytes) -> None:
        """Buffers body data, or forwards the events of a stream."""
        if self.outcome_future.done():
            return
        if self._is_stream:
            try:
                self._relay.feed(data)
            except event_relay.InvalidEvent as error:
                self._set_outcome(retry_policy.Lost(str(error)))
            return
        excess = self._memory.grow(self._body_size, len(data))
        if excess is not None:
            self._set_outcome(retry_policy.Lost(excess.value))
            return
        self._body_size += len(data)
        self._chunks.append(data)

    def release(self) -> None:
        """Gives back the memory of the body; the attempt is over."""
        self._memory.release(self._body_size)
        self._body_size = 0
        self._chunks = []

    def on_end(self) -> None:
        """Handles the end of the response."""
        if self._is_stream:
            self._set_outcome(self._stream_outcome())
            return
        self._set_outcome(self._complete_outcome())

    def _stream_outcome(self) -> Outcome:
        if not self._relay.is_at_event_boundary:
            return retry_policy.Lost("stream ended within an event")
        is_framed = any(name in _FRAMING_HEADERS for name, _ in self._headers)
        if not is_framed and self._relay.attempt_first_event_s is None:
            # The end of the connection alone would make it an answer.
            return retry_policy.Lost("closed before the first event")
        return StreamCompleted()

    def _complete_outcome(self) -> Outcome:
        head_info = self._head_info
        if head_info.was_not_executed:
            is_here = head_info.instance_id in ("", self._instance_id)
            return retry_policy.NotRun(
                self._status,
                is_absent=head_info.is_misdirected and is_here,
                is_other=head_info.is_misdirected and not is_here,
            )
        return CompleteResponse(
            self._status, self._headers, b"".join(self._chunks)
        )

    def on_failure(self, reason: str) -> None:
        """Handles a response that will never be complete."""
        self._set_outcome(retry_policy.Lost(reason))

    def _set_outcome(self, outcome: Outcome) -> None:
        if not self.outcome_future.done():
            self.outcome_future.set_result(outcome)
