"""The entry's HTTP face: who calls, what is asked, and the answer's form."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import re
import time
from typing import Any
import uuid

from returns.result import Failure

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.core import refusal
from sesamecross.entry import model_call
from sesamecross.entry import model_dispatcher
from sesamecross.entry import model_request
from sesamecross.entry import openai_response
from sesamecross.entry import service_call
from sesamecross.entry import sinks
from sesamecross.entry import state as state_lib
from sesamecross.entry import stream_relay as stream_relay_lib
from sesamecross.ops import answer_validator
from sesamecross.ops import routing
from sesamecross.ops import timeline
from sesamecross.parser import settings as settings_lib
from sesamecross.ports import engine_http
from sesamecross.runtime import http_server
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.utils import digest

_REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
_SERVICE_PATH = re.compile(r"^/services/([^/]+)(/.*)?$")
_HEADERS_PASSED = ("CONTENT_TYPE", "HTTP_ACCEPT", "HTTP_IDEMPOTENCY_KEY")
_MOST_PRIORITY = 9
CORRELATION_HEADER = "X-Correlation-Id"


def _status_line(status: int) -> str:
    return f"{status} {_REASONS.get(status, 'Status')}"


class _Request:
    """One caller's request, as far as its head tells."""

    __slots__ = ("environ", "call_id", "path", "method", "began_s")

    def __init__(self, environ: dict):
        self.environ = environ
        self.call_id = uuid.uuid4().hex
        self.path = environ.get("PATH_INFO", "/")
        self.method = environ["REQUEST_METHOD"]
        self.began_s = time.monotonic()

    def header(self, name: str) -> str:
        return self.environ.get(name, "")

    def number(self, name: str) -> int | None:
        text = self.header(name)
        return int(text) if text.isdecimal() and len(text) < 12 else None


class HttpApp:
    """The WSGI application of an entry."""

    def __init__(
        self,
        settings: settings_lib.EntrySettings,
        state: state_lib.EntryState,
        dispatcher: model_dispatcher.ModelDispatcher,
        stream_relay: stream_relay_lib.StreamRelay,
        services: service_call.ServiceDispatcher,
        engines: engine_http.HttpEngine,
        clock: clock_lib.Clock,
        recorder: timeline.Recorder,
        metrics: metrics_lib.Metrics,
    ):
        self._settings = settings
        self._state = state
        self._dispatcher = dispatcher
        self._stream_relay = stream_relay
        self._services = services
        self._engines = engines
        self._clock = clock
        self._recorder = recorder
        self._metrics = metrics
        self._logger = logs.get_logger("http")

    def __call__(self, environ: dict, start_response: Any) -> Iterable[bytes]:
        """Answers one request."""
        request = _Request(environ)
        if request.path in ("/healthz", "/readyz", "/metrics"):
            return self._platform(request, start_response)
        snapshot = self._state.snapshot
        if snapshot is None:
            # Nothing is known yet, so nothing can be promised or checked.
            answer = self._unclaimed(request, refusal.no_upstream("any call"))
            return self._refuse(request, answer, start_response)
        caller = self._caller(request, snapshot)
        if caller is None:
            answer = refusal.unauthorized()
            return self._refuse(request, answer, start_response)
        refused = self._state.admit_call(caller)
        if refused is not None:
            answer = self._unclaimed(request, refused)
            return self._refuse(request, answer, start_response)
        return self._counted(request, caller, snapshot, start_response)

    def _unclaimed(
        self, request: _Request, answer: refusal.Refusal
    ) -> refusal.Refusal:
        """Returns a refusal that is true for a call with a key too.

        This arrival was not run, but an earlier one under the same key may
        have been, and nobody has been asked.
        """
        if request.header("HTTP_IDEMPOTENCY_KEY"):
            unknown = refusal.Executed.UNKNOWN
            return dataclasses.replace(answer, executed=unknown)
        return answer

    def _counted(
        self,
        request: _Request,
        caller: data.Caller,
        snapshot: state_lib.Snapshot,
        start_response: Any,
    ) -> Iterator[bytes]:
        """Answers a call that is counted as open until its last byte."""
        try:
            yield from self._route(request, caller, snapshot, start_response)
        except http_server.SlowBody as error:
            answer = refusal.Refusal(
                408,
                "body-not-received",
                f"The body was not received ({error})",
                "Send the whole body without pauses",
            )
            yield from self._refuse(request, answer, start_response)
        finally:
            self._state.release_call(caller)

    def _route(
        self,
        request: _Request,
        caller: data.Caller,
        snapshot: state_lib.Snapshot,
        start_response: Any,
    ) -> Iterable[bytes]:
        if request.path == "/v1/models" and request.method == "GET":
            return self._models(request, caller, snapshot, start_response)
        paths = (model_request.CHAT_PATH, model_request.COMPLETIONS_PATH)
        if request.path in paths and request.method == "POST":
            return self._model(request, caller, snapshot, start_response)
        match = _SERVICE_PATH.match(request.path)
        if match:
            return self._service(
                request, caller, snapshot, match, start_response
            )
        answer = refusal.Refusal(
            404, "no-such-path", "There is no such path", "See /v1/models"
        )
        return self._refuse(request, answer, start_response)

    # -- for the platform --------------------------------------------------

    def _platform(
        self, request: _Request, start_response: Any
    ) -> Iterable[bytes]:
        if request.path == "/metrics":
            self._metrics.set(
                "sesamecross_open_calls",
                "Calls open at this entry.",
                {},
                self._state.active_calls,
            )
            body, content_type = self._metrics.render()
            return http_server.send_response(
                start_response, "200 OK", body, content_type
            )
        if request.path == "/healthz":
            return http_server.send_json(start_response, {"ok": True})
        snapshot = self._state.snapshot
        ready = snapshot is not None and not self._state.stopping
        return http_server.send_json(
            start_response,
            {"ready": ready, "version": snapshot.version if snapshot else 0},
            _status_line(200 if ready else 503),
        )

    # -- callers -------------------------------------------------------------

    def _caller(
        self, request: _Request, snapshot: state_lib.Snapshot
    ) -> data.Caller | None:
        scheme, _, key = request.header("HTTP_AUTHORIZATION").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        return snapshot.callers.get(digest.of_bearer_key(key.strip()))

    def _refuse(
        self,
        request: _Request,
        answer: refusal.Refusal,
        start_response: Any,
    ) -> list[bytes]:
        self._metrics.count(
            "sesamecross_refusals_total",
            "Refusals by kind.",
            {"kind": answer.slug, "executed": answer.executed.value},
        )
        body = answer.body(request.call_id)
        headers = [
            *answer.headers(),
            ("Content-Length", str(len(body))),
            (CORRELATION_HEADER, request.call_id),
        ]
        start_response(_status_line(answer.status), headers)
        return [body]

    def _whole(
        self,
        request: _Request,
        status: int,
        content_type: str,
        body: bytes,
        start_response: Any,
    ) -> list[bytes]:
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            (CORRELATION_HEADER, request.call_id),
        ]
        start_response(_status_line(status), headers)
        return [body]

    def _deadline_ms(self, request: _Request) -> int:
        longest = self._settings.default_deadline_ms
        wanted = request.number("HTTP_X_DEADLINE_MS")
        allowed = min(wanted, longest) if wanted else longest
        return self._clock.monotonic_ms() + allowed

    # -- models --------------------------------------------------------------

    def _models(
        self,
        request: _Request,
        caller: data.Caller,
        snapshot: state_lib.Snapshot,
        start_response: Any,
    ) -> list[bytes]:
        declared = snapshot.declarations
        names = [
            n for n in declared.models if model_request.is_allowed(caller, n)
        ]
        names += [
            adapter.name
            for adapter in declared.adapters.values()
            if model_request.is_allowed(caller, adapter.name)
            or model_request.is_allowed(caller, adapter.model)
        ]
        return http_server.send_json(
            start_response, openai_response.model_list(sorted(names))
        )

    def _model(
        self,
        request: _Request,
        caller: data.Caller,
        snapshot: state_lib.Snapshot,
        start_response: Any,
    ) -> Iterable[bytes]:
        body = http_server.read_body(request.environ)
        parsed = model_request.parse(request.path, body, caller, snapshot)
        if isinstance(parsed, Failure):
            return self._refuse(request, parsed.failure(), start_response)
        wanted = parsed.unwrap()
        self._state.count_demand(wanted.target)
        call = self._routing_call(request, caller, wanted, snapshot)
        relayed = model_call.ModelCall(
            call,
            wanted,
            self._dispatcher,
            self._stream_relay,
            self._engines,
            self._recorder,
            self._settings.caller_idle_ms / 1000,
        )
        return self._relay(request, wanted, relayed, start_response)

    def _routing_call(
        self,
        request: _Request,
        caller: data.Caller,
        wanted: model_request.ModelRequest,
        snapshot: state_lib.Snapshot,
    ) -> routing.Call:
        promise = snapshot.declarations.promises[wanted.model.promise]
        asked = request.number("HTTP_X_PRIORITY")
        priority = promise.priority
        if asked is not None:
            # A caller may step back behind its class, never before it.
            priority = min(_MOST_PRIORITY, max(priority, asked))
        return routing.Call(
            request.call_id,
            caller.name,
            wanted.target,
            promise,
            wanted.prompt_tokens(),
            wanted.prompt_block_hashes(),
            self._clock.monotonic_ms(),
            self._deadline_ms(request),
            priority,
        )

    def _relay(
        self,
        request: _Request,
        wanted: model_request.ModelRequest,
        relayed: model_call.ModelCall,
        start_response: Any,
    ) -> Iterator[bytes]:
        try:
            # The head of the answer is sent with the first events, so that
            # a refusal before them still has its own status.
            first = relayed.first()
            if wanted.stream:
                yield from self._streamed(
                    request, wanted, relayed, first, start_response
                )
            else:
                document = sinks.DocumentSink()
                document.accept(first)
                relayed.rest(document)
                body = openai_response.encode_document(
                    request.call_id, wanted, document.chunks
                )
                yield from self._whole(
                    request, 200, "application/json", body, start_response
                )
        except model_call.CallRefusedError as refused:
            yield from self._refuse(request, refused.answer, start_response)
        except model_call.EngineRejectedError as error:
            rejected = error.rejected
            yield from self._whole(
                request,
                rejected.status,
                rejected.content_type,
                rejected.body,
                start_response,
            )
        finally:
            relayed.close()
            self._observe(request, wanted, relayed)

    def _streamed(
        self,
        request: _Request,
        wanted: model_request.ModelRequest,
        relayed: model_call.ModelCall,
        first: list[answer_validator.Chunk],
        start_response: Any,
    ) -> Iterator[bytes]:
        headers = [
            ("Content-Type", openai_response.SSE_TYPE),
            ("Cache-Control", "no-store"),
            (CORRELATION_HEADER, request.call_id),
        ]
        start_response("200 OK", headers)
        connection = request.environ[http_server.CONNECTION]
        yield openai_response.encode_events(first, wanted.wants_usage)
        # How the answer is framed is known only now that its head is sent.
        sink = sinks.CallerSink(
            connection.socket, connection.is_chunked, wanted.wants_usage
        )
        try:
            relayed.rest(sink)
            yield openai_response.DONE_EVENT
        except model_call.CallerLeft:
            # Nothing more can be sent on this connection.
            connection.abort()
        except model_call.CallRefusedError as refused:
            # The head is gone, so the refusal comes as an event, without
            # the closing mark: no client takes the answer for whole.
            body = refused.answer.body(request.call_id)
            yield b"event: error\ndata: " + body + b"\n\n"
        finally:
            sink.close()

    def _observe(
        self,
        request: _Request,
        wanted: model_request.ModelRequest,
        relayed: model_call.ModelCall,
    ) -> None:
        labels = {"model": wanted.model.name}
        self._logger.info(
            "call ended",
            correlation_id=request.call_id,
            target=wanted.target,
            tokens=relayed.tokens,
            attempts=relayed.attempts,
            seconds=round(time.monotonic() - request.began_s, 3),
        )
        self._metrics.count(
            "sesamecross_model_calls_total", "Calls to models.", labels
        )
        self._metrics.count(
            "sesamecross_tokens_total",
            "Tokens relayed to callers.",
            labels,
            relayed.tokens,
        )
        if relayed.first_s is not None:
            self._metrics.observe(
                "sesamecross_first_token_seconds",
                "From the request's head to the first token.",
                labels,
                relayed.first_s - request.began_s,
            )

    # -- services ------------------------------------------------------------

    def _service(
        self,
        request: _Request,
        caller: data.Caller,
        snapshot: state_lib.Snapshot,
        match: re.Match,
        start_response: Any,
    ) -> list[bytes]:
        name = match.group(1)
        service = snapshot.declarations.services.get(name)
        allowed = data.WILDCARD in caller.services or name in caller.services
        if service is None or not allowed:
            answer = refusal.forbidden(f"Service {name}")
            return self._refuse(request, answer, start_response)
        key = request.header("HTTP_IDEMPOTENCY_KEY")
        if len(key) > service_call.MAX_KEY_CHARS:
            answer = refusal.bad_request(
                "The Idempotency-Key is too long",
                f"Use at most {service_call.MAX_KEY_CHARS} characters",
            )
            return self._refuse(request, answer, start_response)
        outcome = self._services.call(
            service_call.ServiceRequest(
                request.call_id,
                caller,
                service,
                request.method,
                _path_and_query(match, request),
                _passed_headers(request),
                http_server.read_body(request.environ),
                key,
                self._deadline_ms(request),
            )
        )
        self._metrics.count(
            "sesamecross_service_calls_total",
            "Calls to plain services.",
            {"service": name},
        )
        self._logger.info(
            "service call ended",
            correlation_id=request.call_id,
            service=name,
            status=outcome.status,
        )
        if isinstance(outcome, refusal.Refusal):
            self._recorder.add(
                timeline.EventKind.REFUSAL,
                f"{outcome.slug}, executed {outcome.executed.value}",
                call_id=request.call_id,
                model=name,
            )
            return self._refuse(request, outcome, start_response)
        self._recorder.add(
            timeline.EventKind.CALL,
            f"{request.method} answered {outcome.status}",
            call_id=request.call_id,
            model=name,
        )
        return self._whole(
            request,
            outcome.status,
            outcome.content_type,
            outcome.body,
            start_response,
        )


def _path_and_query(match: re.Match, request: _Request) -> str:
    path = match.group(2) or "/"
    query = request.header("QUERY_STRING")
    return f"{path}?{query}" if query else path


def _passed_headers(request: _Request) -> tuple[tuple[str, str], ...]:
    passed = []
    for name in _HEADERS_PASSED:
        value = request.header(name)
        if value:
            title = name.removeprefix("HTTP_").replace("_", "-").title()
            passed.append((title, value))
    return tuple(passed)
