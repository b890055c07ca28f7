"""Relays one call to a model: attempts, resume, and what the caller sees.

Why: an upstream that dies in the middle of an answer must not show. Tokens
are counted as they are passed on; the next attempt goes on behind them, and
the caller gets each token once and in order, or a truthful end.
"""

from collections.abc import Iterator
import dataclasses
import time
from typing import Any

import msgspec
import urllib3

from sesamecross.core import refusal
from sesamecross.entry import model_desk
from sesamecross.entry import model_request
from sesamecross.ops import dispatch
from sesamecross.ops import estimates
from sesamecross.ops import routing
from sesamecross.ops import timeline
from sesamecross.ports import engine_http
from sesamecross.ports import http_client
from sesamecross.ports import sse

DONE = b"[DONE]"
# An engine that is silent for this long in the middle of an answer is given
# up, and the call goes on elsewhere.
STALL_S = 10.0


class Refused(Exception):
    """The call gets a refusal as its final answer."""

    def __init__(self, answer: refusal.Refusal):
        super().__init__(answer.title)
        self.answer = answer


class EngineError(Exception):
    """The engine's own error is the call's final answer."""

    def __init__(self, rejected: engine_http.Rejected):
        super().__init__(f"HTTP {rejected.status}")
        self.rejected = rejected


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """One event of the answer, checked to belong to this call.

    Attributes:
      data: The event's JSON as the engine sent it.
      fields: The same, decoded.
      text: The generated text in it, often one token.
    """

    data: bytes
    fields: dict[str, Any]
    text: str


class _Interrupted(Exception):
    """The attempt ended before its answer did."""


class ModelCall:
    """One call, from submission to its end. Used by one thread."""

    def __init__(
        self,
        call: routing.Call,
        request: model_request.ModelRequest,
        desk: model_desk.ModelDesk,
        engines: engine_http.HttpEngine,
        recorder: timeline.Recorder,
    ):
        self._call = call
        self._request = request
        self._desk = desk
        self._engines = engines
        self._recorder = recorder
        self._tokens = 0
        self._text: list[str] = []
        self._first_s: float | None = None
        self._last_s = 0.0
        self._resume_refused = False
        self._dispatch: dispatch.Dispatch | None = None
        self._stream: engine_http.CallStream | None = None
        self.attempts = 0

    @property
    def tokens(self) -> int:
        """Tokens passed on so far."""
        return self._tokens

    @property
    def first_s(self) -> float | None:
        """Monotonic seconds at the first token, if there was one."""
        return self._first_s

    def chunks(self) -> Iterator[Chunk]:
        """Yields the answer's events.

        Raises:
          Refused: No answer, or no further answer, can be had.
          EngineError: The engine refuses the call as such.
        """
        self._desk.submit(self._call)
        ended = False
        try:
            while not ended:
                action = self._desk.next_action(self._call.call_id)
                if isinstance(action, dispatch.Refuse):
                    ended = True
                    self._desk.forget(self._call.call_id)
                    self._note_refusal(action.refusal)
                    raise Refused(action.refusal)
                self._dispatch = action
                self._pause_before(action)
                try:
                    yield from self._attempt(action)
                    ended = True
                    self._finish(complete=True)
                except _Interrupted:
                    continue
                except EngineError:
                    ended = True
                    self._finish(complete=False)
                    raise
        finally:
            if not ended:
                self._caller_left()

    def _pause_before(self, action: dispatch.Dispatch) -> None:
        if action.pause_ms:
            time.sleep(action.pause_ms / 1000)

    def _attempt(self, action: dispatch.Dispatch) -> Iterator[Chunk]:
        self.attempts = action.attempt
        self._note_route(action)
        began_s = time.monotonic()
        stream = self._open(action)
        self._stream = stream
        done = False
        try:
            for event in stream.events():
                if event.data == DONE:
                    done = True
                    continue
                chunk = self._checked(event)
                if chunk is not None:
                    self._observe(chunk, began_s)
                    yield chunk
        except (urllib3.exceptions.HTTPError, sse.EventTooLarge) as error:
            self._interrupted(type(error).__name__)
        finally:
            stream.close()
            self._stream = None
        if not done:
            self._interrupted("the answer ended early")

    def _open(self, action: dispatch.Dispatch) -> engine_http.CallStream:
        opened = self._engines.call(self._engine_request(action))
        match opened:
            case engine_http.CallStream():
                return opened
            case http_client.NotSent(reason=reason):
                self._failed(dispatch.NotRun(), reason)
            case http_client.Failed(reason=reason):
                self._failed(dispatch.Broken(), reason)
            case engine_http.Rejected() as rejected:
                self._rejected(rejected)
        raise _Interrupted

    def _engine_request(
        self, action: dispatch.Dispatch
    ) -> engine_http.CallRequest:
        generated = ""
        resume_after = self._tokens
        if self._resume_refused and self._tokens:
            generated = "".join(self._text)
            resume_after = 0
        return engine_http.CallRequest(
            action.url,
            self._request.path,
            self._request.engine_body(generated, self._tokens),
            self._call.call_id,
            self._call.priority,
            STALL_S,
            resume_after,
        )

    def _rejected(self, rejected: engine_http.Rejected) -> None:
        if rejected.not_run == "leaving":
            self._failed(dispatch.NotRun(leaving=True), "leaving")
        elif rejected.not_run == "not-resident":
            self._failed(dispatch.NotRun(absent=True), "not resident")
        elif rejected.status == 400 and self._tokens:
            # This engine can't resume: the next attempt repeats the prompt
            # with the text that the caller has.
            self._resume_refused = True
            self._failed(dispatch.Broken(), "can't resume")
        elif rejected.status in (429, 503) or rejected.status >= 500:
            self._failed(dispatch.Broken(), f"HTTP {rejected.status}")
        else:
            raise EngineError(rejected)

    def _failed(self, failure: dispatch.FailureKind, reason: str) -> None:
        self._recorder.add(
            timeline.EventKind.RETRY,
            f"attempt {self.attempts} failed: {reason}",
            call_id=self._call.call_id,
            model=self._call.target,
            upstream=self._dispatch.upstream,
        )
        self._desk.failed(self._call.call_id, failure)

    def _interrupted(self, reason: str) -> None:
        self._failed(dispatch.Broken(), reason)
        raise _Interrupted

    def _checked(self, event: sse.Event) -> Chunk | None:
        """Returns the event if it continues this call's answer.

        An event of another call would be another caller's answer; one whose
        number is not the next would be a token lost or doubled.
        """
        try:
            fields = msgspec.json.decode(event.data)
        except msgspec.DecodeError:
            self._interrupted("event is not JSON")
        if fields.get("id") != self._call.call_id:
            self._interrupted("event of another call")
        text = _text_of(fields, self._request.is_chat)
        if not text:
            return Chunk(event.data, fields, "")
        number = int(event.event_id or 0)
        if self._resume_refused:
            number = self._tokens + 1
        if number and number <= self._tokens:
            return None
        if number and number != self._tokens + 1:
            self._interrupted("a token is missing")
        return Chunk(event.data, fields, text)

    def _observe(self, chunk: Chunk, began_s: float) -> None:
        if not chunk.text:
            return
        now_s = time.monotonic()
        if self._first_s is None:
            self._first_s = now_s
        self._last_s = now_s
        self._tokens += 1
        self._text.append(chunk.text)

    def _finish(self, complete: bool) -> None:
        now_s = time.monotonic()
        began_s = now_s
        if self._dispatch is not None:
            began_s = self._call.arrived_ms / 1000
        between_ms = None
        if self._tokens > 1 and self._first_s is not None:
            span_s = self._last_s - self._first_s
            between_ms = span_s * 1000 / (self._tokens - 1)
        first_ms = None
        if self._first_s is not None and self.attempts == 1:
            first_ms = (self._first_s - began_s) * 1000
        seen = estimates.Observation(
            0.0, 0.0, first_ms, between_ms, (now_s - began_s) * 1000
        )
        self._desk.finished(self._call.call_id, seen, complete)
        self._recorder.add(
            timeline.EventKind.CALL,
            f"answered, {self._tokens} tokens, {self.attempts} attempts"
            if complete
            else "ended by the engine's error",
            call_id=self._call.call_id,
            model=self._call.target,
            upstream=self._dispatch.upstream,
        )

    def _caller_left(self) -> None:
        upstream = ""
        if self._stream is not None:
            self._stream.close()
        if self._dispatch is not None:
            upstream = self._dispatch.upstream
            self._engines.cancel(self._dispatch.url, self._call.call_id)
        self._desk.abandoned(self._call.call_id)
        self._recorder.add(
            timeline.EventKind.CALL,
            f"caller left after {self._tokens} tokens, engine is told",
            call_id=self._call.call_id,
            model=self._call.target,
            upstream=upstream,
        )

    def _note_route(self, action: dispatch.Dispatch) -> None:
        chosen = action.chosen
        self._recorder.add(
            timeline.EventKind.ROUTE,
            f"attempt {action.attempt}, estimates first"
            f" {chosen.first_ms:.0f} ms, between {chosen.between_ms:.0f} ms,"
            f" uncached {chosen.uncached_tokens:.0f}",
            call_id=self._call.call_id,
            model=self._call.target,
            upstream=action.upstream,
        )

    def _note_refusal(self, answer: refusal.Refusal) -> None:
        self._recorder.add(
            timeline.EventKind.REFUSAL,
            f"{answer.slug}, executed {answer.executed.value}",
            call_id=self._call.call_id,
            model=self._call.target,
        )


def _text_of(fields: dict[str, Any], is_chat: bool) -> str:
    choices = fields.get("choices")
    if not choices:
        return ""
    if is_chat:
        delta = choices[0].get("delta") or {}
        return delta.get("content") or ""
    return choices[0].get("text") or ""
