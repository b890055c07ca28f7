"""One send of a request to one upstream, and how it ended.

Why: what may follow depends on exactly what is known of the attempt, so each
way in which an answer can come, fail to come, or come wrong ends in one typed
outcome. A whole answer is held until it is complete: one that is cut short
must not look complete to the caller. Events of a stream are passed on one by
one as they arrive, and only whole ones.
"""

import asyncio
import dataclasses

from sesamecross.core import serving
from sesamecross.gateway import event_relay
from sesamecross.ops.fleet import retry_policy
from sesamecross.ports import http_codec as http_codec_lib

# An answer that is held whole; services answer with kilobytes.
ANSWER_MOST_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A whole answer, proved to be the upstream's own."""

    status: int
    headers: tuple[serving.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamCompleted:
    """A stream that came to its end and was passed on."""


Outcome = CompleteResponse | StreamCompleted | retry_policy.Failure


class Attempt:
    """Receives the answer of one send. `ended` bears the outcome."""

    __slots__ = (
        "ended",
        "_http_codec",
        "_request_id",
        "_instance_id",
        "_relay",
        "_status",
        "_headers",
        "_said",
        "_pieces",
        "_size",
        "_is_stream",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        request_id: str,
        instance_id: str,
        relay: event_relay.EventRelay | None,
        http_codec: http_codec_lib.HttpCodec,
    ):
        self._http_codec = http_codec
        self.ended: asyncio.Future[Outcome] = loop.create_future()
        self._request_id = request_id
        self._instance_id = instance_id
        self._relay = relay
        self._status = 0
        self._headers: tuple[serving.Header, ...] = ()
        self._said: http_codec_lib.ResponseHead | None = None
        self._pieces: list[bytes] = []
        self._size = 0
        self._is_stream = False

    def on_head(self, status: int, headers: list[serving.Header]) -> bool:
        """Takes the head, unless it belongs to another request."""
        said = self._http_codec.parse_response_head(status, headers)
        is_nameless = not said.request_id and said.was_not_executed
        if said.request_id != self._request_id and not is_nameless:
            return False
        self._status = status
        self._headers = tuple(headers)
        self._said = said
        is_good = 200 <= status < 300
        if is_good and (said.is_encoded or not said.has_signature):
            self._settle(retry_policy.Lost("a success without its proof"))
        elif is_good and self._relay is not None and said.is_event_stream:
            self._is_stream = True
            self._relay.begin_run(status, self._headers)
        return True

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the answer."""
        if self.ended.done():
            return
        if self._is_stream:
            try:
                self._relay.feed(data)
            except event_relay.InvalidEvent as error:
                self._settle(retry_policy.Lost(str(error)))
            return
        self._size += len(data)
        if self._size > ANSWER_MOST_BYTES:
            self._settle(retry_policy.Lost("the answer is too large"))
        else:
            self._pieces.append(data)

    def on_end(self) -> None:
        """The answer is complete."""
        if self._is_stream:
            if self._relay.is_between_events:
                self._settle(StreamCompleted())
            else:
                self._settle(retry_policy.Lost("the stream ended in an event"))
            return
        self._settle(self._whole())

    def _whole(self) -> Outcome:
        said = self._said
        if said.was_not_executed:
            is_here = said.instance_id in ("", self._instance_id)
            return retry_policy.NotRun(
                self._status,
                is_absent=said.is_misdirected and is_here,
                is_other=said.is_misdirected and not is_here,
            )
        return CompleteResponse(
            self._status, self._headers, b"".join(self._pieces)
        )

    def on_broken(self, reason: str) -> None:
        """The answer will never be complete."""
        self._settle(retry_policy.Lost(reason))

    def _settle(self, outcome: Outcome) -> None:
        if not self.ended.done():
            self.ended.set_result(outcome)
