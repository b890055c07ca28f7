"""Relays one call to a model, with retries and resumption.

The caller must not notice an upstream that fails in the middle of a response.
Relayed tokens are counted and the next attempt resumes after them, so the
caller gets each token once and in order, or an error that says whether the
call may have run.
"""

import time

from sesamecross.core import refusal
from sesamecross.entry import model_dispatcher
from sesamecross.entry import model_request
from sesamecross.entry import peer_relay
from sesamecross.entry import sinks
from sesamecross.entry import stream_relay as stream_relay_lib
from sesamecross.ops import answer_validator
from sesamecross.ops import dispatch
from sesamecross.ops import estimates
from sesamecross.ops import routing
from sesamecross.ops import timeline
from sesamecross.ports import engine_http
from sesamecross.ports import engine_stream
from sesamecross.ports import http_client

# An attempt whose engine sends nothing for this long is abandoned, and the
# call is retried elsewhere.
ENGINE_IDLE_TIMEOUT_S = 10.0


class CallRefusedError(Exception):
    """The call ends with a refusal.

    Attributes:
      problem: The refusal for the caller.
    """

    def __init__(self, problem: refusal.Refusal):
        super().__init__(problem.title)
        self.problem = problem


class EngineRejectedError(Exception):
    """The call ends with an error response of the engine.

    Attributes:
      rejected: The engine's response.
    """

    def __init__(self, rejected: engine_stream.Rejected):
        super().__init__(f"HTTP {rejected.status}")
        self.rejected = rejected


class CallAbandonedError(Exception):
    """The caller disconnected or does not read the response."""


class ModelCall:
    """One call, from submission to its end. Used by one thread.

    `read_first_chunks` returns the first events, `relay_rest` writes all
    further events to a sink. `close` must be called in every case.
    """

    def __init__(
        self,
        call: routing.Call,
        request: model_request.ModelRequest,
        dispatcher: model_dispatcher.ModelDispatcher,
        stream_relay: stream_relay_lib.StreamRelay,
        engines: engine_http.HttpEngine,
        recorder: timeline.Recorder,
        caller_idle_timeout_s: float,
        links: peer_relay.PeerRelay,
    ):
        self._call = call
        self._request = request
        self._dispatcher = dispatcher
        self._stream_relay = stream_relay
        self._engines = engines
        self._recorder = recorder
        self._caller_idle_timeout_s = caller_idle_timeout_s
        self._links = links
        self._validator = answer_validator.AnswerValidator(call.call_id)
        self._started_s = time.monotonic()
        self._dispatch: dispatch.Dispatch | None = None
        self._stream: engine_stream.EngineStream | None = None
        # The software version that sent the part that the caller has.
        self._version: str | None = None
        self._first_token_s: float | None = None
        self._last_token_s = 0.0
        self._is_ended = False
        self.attempts = 0

    @property
    def tokens(self) -> int:
        """Number of tokens relayed so far."""
        return self._validator.tokens

    @property
    def first_token_s(self) -> float | None:
        """Monotonic time of the first token in seconds; None before it."""
        return self._first_token_s

    def read_first_chunks(self) -> list[answer_validator.Chunk]:
        """Returns the first events of the response.

        Raises:
          CallRefusedError: The call was refused or all attempts failed.
          EngineRejectedError: The engine rejected the call itself.
        """
        self._dispatcher.submit(self._call)
        while True:
            self._stream = self._next_stream()
            chunks = self._read_first_chunks(self._stream)
            if chunks:
                self._version = self._stream.version
                self._dispatcher.first_token(self._call.call_id, self._version)
                return chunks

    def relay_rest(self, sink: sinks.Sink) -> None:
        """Writes all further events to `sink`.

        Raises:
          CallRefusedError: The response can't be completed.
          CallAbandonedError: The caller disconnected; `close` cancels the
            call at the engine.
        """
        while True:
            if self._stream is None:
                self._stream = self._next_stream()
            transfer = stream_relay_lib.Transfer(
                self._stream,
                self._validator,
                sink,
                ENGINE_IDLE_TIMEOUT_S,
                self._caller_idle_timeout_s,
                self._call.deadline_ms / 1000,
            )
            result = self._stream_relay.run_transfer(transfer)
            self._first_token_s = self._first_token_s or transfer.first_token_s
            self._last_token_s = max(self._last_token_s, transfer.last_token_s)
            self._stream.close()
            self._stream = None
            match result:
                case stream_relay_lib.Completed():
                    self._complete()
                    return
                case stream_relay_lib.CallerDisconnected(reason=reason):
                    raise CallAbandonedError(reason)
                case stream_relay_lib.Interrupted(reason=reason):
                    self._report_failure(dispatch.MayHaveRun(), reason)

    def close(self) -> None:
        """Cancels the call at the engine, unless the call has ended."""
        if self._is_ended:
            return
        self._is_ended = True
        if self._stream is not None:
            self._stream.close()
        upstream = ""
        if self._dispatch is not None:
            upstream = self._dispatch.upstream
            self._engines.cancel(self._dispatch.url, self._call.call_id)
        self._dispatcher.abandoned(self._call.call_id)
        self._record_event(
            timeline.EventKind.CALL,
            f"caller left after {self.tokens} tokens, engine is told",
            upstream,
        )

    # -- attempts --------------------------------------------------------

    def _next_stream(self) -> engine_stream.EngineStream:
        """Waits for dispatches until the stream of one can be opened."""
        while True:
            action = self._dispatcher.next_action(self._call.call_id)
            if isinstance(action, dispatch.Refuse):
                self._raise_refusal(action.refusal)
            self._dispatch = action
            self.attempts = action.attempt
            self._record_route(action)
            if action.backoff_ms:
                time.sleep(action.backoff_ms / 1000)
            stream = self._open_stream(action)
            if stream is not None:
                return stream

    def _raise_refusal(self, problem: refusal.Refusal) -> None:
        self._is_ended = True
        self._dispatcher.discard_mailbox(self._call.call_id)
        self._record_event(
            timeline.EventKind.REFUSAL,
            f"{problem.slug}, executed {problem.executed.value}",
            "",
        )
        raise CallRefusedError(problem)

    def _open_stream(
        self, action: dispatch.Dispatch
    ) -> engine_stream.EngineStream | None:
        opened = engine_stream.EngineStream.open(self._engine_request(action))
        match opened:
            case engine_stream.EngineStream():
                self._links.record_contact(action.upstream)
                if self._version in (None, opened.version):
                    return opened
                # The engine has started again at another version.
                opened.close()
                self._report_failure(
                    dispatch.MayHaveRun(),
                    f"version {opened.version}, not {self._version}",
                )
            case http_client.NotSent(reason=reason):
                self._links.record_failure(action.upstream)
                self._report_failure(dispatch.NotRun(), reason)
            case http_client.Failed(reason=reason):
                self._report_failure(dispatch.MayHaveRun(), reason)
            case engine_stream.Rejected() as rejected:
                self._handle_rejection(rejected)
        return None

    def _engine_request(
        self, action: dispatch.Dispatch
    ) -> engine_stream.CallRequest:
        generated = ""
        resume_after = self.tokens
        if self._validator.ignores_event_ids and self.tokens:
            generated = self._validator.text
            resume_after = 0
        left_s = self._call.deadline_ms / 1000 - time.monotonic()
        return engine_stream.CallRequest(
            action.url,
            self._request.path,
            self._request.engine_body(generated, self.tokens),
            self._call.call_id,
            self._call.priority,
            max(0.05, min(ENGINE_IDLE_TIMEOUT_S, left_s)),
            resume_after,
        )

    def _read_first_chunks(
        self, stream: engine_stream.EngineStream
    ) -> list[answer_validator.Chunk]:
        """Waits for the attempt's first events; empty if it failed."""
        try:
            while True:
                # The whole answer may have arrived together with its head.
                is_last = stream.ended
                left_s = self._call.deadline_ms / 1000 - time.monotonic()
                events = stream.read(
                    max(0.05, min(ENGINE_IDLE_TIMEOUT_S, left_s))
                )
                validated = [
                    self._validator.process_event(event) for event in events
                ]
                chunks = [chunk for chunk in validated if chunk is not None]
                if chunks:
                    if self.tokens:
                        self._first_token_s = self._last_token_s = (
                            time.monotonic()
                        )
                    return chunks
                if is_last:
                    break
            reason = "the answer ended early"
        except (
            engine_stream.StreamBroken,
            answer_validator.InvalidEventError,
        ) as error:
            reason = str(error)
        stream.close()
        self._stream = None
        self._report_failure(dispatch.MayHaveRun(), reason)
        return []

    def _handle_rejection(self, rejected: engine_stream.Rejected) -> None:
        if rejected.not_run == "leaving":
            self._report_failure(dispatch.NotRun(leaving=True), "leaving")
        elif rejected.not_run == "not-resident":
            self._report_failure(dispatch.NotRun(absent=True), "not resident")
        elif rejected.status == 400 and self.tokens:
            # The engine can't resume by event id: the next attempt appends
            # the text that the caller already has to the prompt.
            self._validator.ignores_event_ids = True
            self._report_failure(dispatch.MayHaveRun(), "can't resume")
        elif rejected.status == 429 or rejected.status >= 500:
            self._report_failure(
                dispatch.MayHaveRun(rejected.backoff_s),
                f"HTTP {rejected.status}",
            )
        else:
            self._end_call(False, "ended by the engine's error")
            raise EngineRejectedError(rejected)

    def _report_failure(
        self, failure: dispatch.FailureKind, reason: str
    ) -> None:
        self._record_event(
            timeline.EventKind.RETRY,
            f"attempt {self.attempts} failed: {reason}",
            self._dispatch.upstream,
        )
        self._dispatcher.failed(self._call.call_id, failure)

    # -- end of the call and events --------------------------------------

    def _complete(self) -> None:
        self._end_call(
            True, f"answered, {self.tokens} tokens, {self.attempts} attempts"
        )

    def _end_call(self, complete: bool, what: str) -> None:
        self._is_ended = True
        self._dispatcher.finished(
            self._call.call_id, self._observation(), complete
        )
        self._record_event(
            timeline.EventKind.CALL, what, self._dispatch.upstream
        )

    def _observation(self) -> estimates.Observation:
        between_ms = None
        first_ms = None
        if self._first_token_s is not None:
            if self.tokens > 1:
                span_ms = (self._last_token_s - self._first_token_s) * 1000
                between_ms = span_ms / (self.tokens - 1)
            if self.attempts == 1:
                first_ms = (self._first_token_s - self._started_s) * 1000
        whole_ms = (time.monotonic() - self._started_s) * 1000
        return estimates.Observation(
            0.0,
            0.0,
            first_ms,
            between_ms,
            whole_ms,
            self._validator.cached_tokens,
        )

    def _record_event(
        self, kind: timeline.EventKind, what: str, upstream: str
    ) -> None:
        self._recorder.add(
            kind, what, self._call.call_id, self._call.target, upstream
        )

    def _record_route(self, action: dispatch.Dispatch) -> None:
        chosen = action.chosen
        self._record_event(
            timeline.EventKind.ROUTE,
            f"attempt {action.attempt}, estimates first"
            f" {chosen.first_ms:.0f} ms, between {chosen.between_ms:.0f} ms,"
            f" uncached {chosen.uncached_tokens:.0f}",
            action.upstream,
        )
