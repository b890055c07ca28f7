"""The entry's HTTP interface: authentication, routing and responses."""

from collections.abc import Callable
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
from sesamecross.entry import peer_relay
from sesamecross.entry import service_call
from sesamecross.entry import sinks
from sesamecross.entry import state as state_lib
from sesamecross.entry import stream_relay as stream_relay_lib
from sesamecross.ops import answer_validator
from sesamecross.ops import routing
from sesamecross.ops import timeline
from sesamecross.parser import settings as settings_lib
from sesamecross.ports import engine_http
from sesamecross.ports import entry_http
from sesamecross.runtime import http_server
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.utils import digest

_REASON_PHRASES = {
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
_FORWARDED_HEADERS = ("CONTENT_TYPE", "HTTP_ACCEPT", "HTTP_IDEMPOTENCY_KEY")
# Headers of a call that another entry needs to serve it.
_RELAYED_HEADERS = (
    *_FORWARDED_HEADERS,
    "HTTP_AUTHORIZATION",
    "HTTP_X_PRIORITY",
)
_MAX_PRIORITY = 9
CORRELATION_HEADER = "X-Correlation-Id"


def _status_line(status: int) -> str:
    return f"{status} {_REASON_PHRASES.get(status, 'Status')}"


class _Request:
    """The request line and headers of a caller's request."""

    __slots__ = ("environ", "call_id", "path", "method", "started_s")

    def __init__(self, environ: dict):
        self.environ = environ
        self.call_id = uuid.uuid4().hex
        self.path = environ.get("PATH_INFO", "/")
        self.method = environ["REQUEST_METHOD"]
        self.started_s = time.monotonic()

    def header(self, name: str) -> str:
        return self.environ.get(name, "")

    def int_header(self, name: str) -> int | None:
        text = self.header(name)
        return int(text) if text.isdecimal() and len(text) < 12 else None


class _AdmittedBody:
    """The body of an admitted call, which is open until its last byte.

    A server that finds its caller gone closes a body without reading any of it,
    and a generator that was never started runs none of its code.
    """

    __slots__ = ("_body", "_release")

    def __init__(self, body: Iterator[bytes], release: Callable[[], None]):
        self._body = body
        self._release: Callable[[], None] | None = release

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._body)
        except BaseException:
            self._release_once()
            raise

    def close(self) -> None:
        """Ends the call."""
        try:
            self._body.close()
        finally:
            self._release_once()

    def _release_once(self) -> None:
        release, self._release = self._release, None
        if release is not None:
            release()


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
        links: peer_relay.PeerRelay,
    ):
        self._links = links
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
        """Handles one request."""
        request = _Request(environ)
        if request.path in ("/healthz", "/readyz", "/metrics"):
            return self._handle_operations(request, start_response)
        snapshot = self._state.snapshot
        if snapshot is None:
            # Before the first view there are no callers or limits to check.
            problem = self._refusal_before_claim(
                request, refusal.no_upstream("any call")
            )
            return self._send_refusal(request, problem, start_response)
        caller = self._authenticate(request, snapshot)
        if caller is None:
            problem = refusal.unauthorized()
            return self._send_refusal(request, problem, start_response)
        problem = self._state.admit_call(caller)
        if problem is not None:
            problem = self._refusal_before_claim(request, problem)
            return self._send_refusal(request, problem, start_response)
        return _AdmittedBody(
            self._handle_admitted(request, caller, snapshot, start_response),
            lambda: self._state.release_call(caller),
        )

    def _refusal_before_claim(
        self, request: _Request, problem: refusal.Refusal
    ) -> refusal.Refusal:
        """Returns the refusal of a call before its claim is looked up.

        With an idempotency key, `executed` is unknown: this request was not
        run, but an earlier one with the same key may have been.
        """
        if request.header("HTTP_IDEMPOTENCY_KEY"):
            unknown = refusal.Executed.UNKNOWN
            return dataclasses.replace(problem, executed=unknown)
        return problem

    def _handle_admitted(
        self,
        request: _Request,
        caller: data.Caller,
        snapshot: state_lib.Snapshot,
        start_response: Any,
    ) -> Iterator[bytes]:
        """Handles an admitted call."""
        try:
            yield from self._route(request, caller, snapshot, start_response)
        except http_server.SlowBody as error:
            problem = refusal.Refusal(
                408,
                "body-not-received",
                f"The body was not received ({error})",
                "Send the whole body without pauses",
            )
            yield from self._send_refusal(request, problem, start_response)

    def _route(
        self,
        request: _Request,
        caller: data.Caller,
        snapshot: state_lib.Snapshot,
        start_response: Any,
    ) -> Iterable[bytes]:
        if request.path == "/v1/models" and request.method == "GET":
            return self._handle_model_list(
                request, caller, snapshot, start_response
            )
        paths = (model_request.CHAT_PATH, model_request.COMPLETIONS_PATH)
        if request.path in paths and request.method == "POST":
            return self._handle_model_call(
                request, caller, snapshot, start_response
            )
        match = _SERVICE_PATH.match(request.path)
        if match:
            return self._handle_service_call(
                request, caller, snapshot, match, start_response
            )
        problem = refusal.Refusal(
            404, "no-such-path", "There is no such path", "See /v1/models"
        )
        return self._send_refusal(request, problem, start_response)

    # -- health and metrics ------------------------------------------------

    def _handle_operations(
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

    def _authenticate(
        self, request: _Request, snapshot: state_lib.Snapshot
    ) -> data.Caller | None:
        scheme, _, key = request.header("HTTP_AUTHORIZATION").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        return snapshot.callers.get(digest.of_bearer_key(key.strip()))

    def _send_refusal(
        self,
        request: _Request,
        problem: refusal.Refusal,
        start_response: Any,
        more_headers: tuple[tuple[str, str], ...] = (),
    ) -> list[bytes]:
        self._metrics.count(
            "sesamecross_refusals_total",
            "Refusals by kind.",
            {"kind": problem.slug, "executed": problem.executed.value},
        )
        body = problem.body(request.call_id)
        headers = [
            *problem.headers(),
            *more_headers,
            ("Content-Length", str(len(body))),
            (CORRELATION_HEADER, request.call_id),
        ]
        start_response(_status_line(problem.status), headers)
        return [body]

    def _send_response(
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
        max_timeout_ms = self._settings.default_deadline_ms
        requested_ms = request.int_header("HTTP_X_DEADLINE_MS")
        timeout_ms = (
            min(requested_ms, max_timeout_ms)
            if requested_ms
            else max_timeout_ms
        )
        return self._clock.monotonic_ms() + timeout_ms

    # -- models --------------------------------------------------------------

    def _handle_model_list(
        self,
        request: _Request,
        caller: data.Caller,
        snapshot: state_lib.Snapshot,
        start_response: Any,
    ) -> list[bytes]:
        declarations = snapshot.declarations
        names = [
            n
            for n in declarations.models
            if model_request.is_allowed(caller, n)
        ]
        names += [
            adapter.name
            for adapter in declarations.adapters.values()
            if model_request.is_allowed(caller, adapter.name)
            or model_request.is_allowed(caller, adapter.model)
        ]
        return http_server.send_json(
            start_response, openai_response.model_list(sorted(names))
        )

    def _handle_model_call(
        self,
        request: _Request,
        caller: data.Caller,
        snapshot: state_lib.Snapshot,
        start_response: Any,
    ) -> Iterable[bytes]:
        body = http_server.read_body(request.environ)
        parsed = model_request.parse(request.path, body, caller, snapshot)
        if isinstance(parsed, Failure):
            return self._send_refusal(request, parsed.failure(), start_response)
        parsed_request = parsed.unwrap()
        relayed = self._relay_if_cut_off(request, body, start_response)
        if relayed is not None:
            return relayed
        self._state.count_demand(parsed_request.target)
        call = self._routing_call(request, caller, parsed_request, snapshot)
        active_call = model_call.ModelCall(
            call,
            parsed_request,
            self._dispatcher,
            self._stream_relay,
            self._engines,
            self._recorder,
            self._settings.caller_idle_ms / 1000,
            self._links,
        )
        return self._relay_model_call(
            request, parsed_request, active_call, body, start_response
        )

    def _routing_call(
        self,
        request: _Request,
        caller: data.Caller,
        parsed_request: model_request.ModelRequest,
        snapshot: state_lib.Snapshot,
    ) -> routing.Call:
        promise = snapshot.declarations.promises[parsed_request.model.promise]
        requested_priority = request.int_header("HTTP_X_PRIORITY")
        priority = promise.priority
        if requested_priority is not None:
            # A caller may lower its priority, never raise it.
            priority = min(_MAX_PRIORITY, max(priority, requested_priority))
        return routing.Call(
            request.call_id,
            caller.name,
            parsed_request.target,
            promise,
            parsed_request.estimate_prompt_tokens(),
            parsed_request.prompt_block_hashes(),
            self._clock.monotonic_ms(),
            self._deadline_ms(request),
            priority,
        )

    def _relay_model_call(
        self,
        request: _Request,
        parsed_request: model_request.ModelRequest,
        active_call: model_call.ModelCall,
        body: bytes,
        start_response: Any,
    ) -> Iterator[bytes]:
        try:
            # The status is sent with the first events, so that a refusal
            # before them still has its own status.
            first_chunks = active_call.read_first_chunks()
            if parsed_request.stream:
                yield from self._stream_response(
                    request,
                    parsed_request,
                    active_call,
                    first_chunks,
                    start_response,
                )
            else:
                document = sinks.DocumentSink()
                document.write(first_chunks)
                active_call.relay_rest(document)
                body = openai_response.encode_document(
                    request.call_id, parsed_request, document.chunks
                )
                yield from self._send_response(
                    request, 200, "application/json", body, start_response
                )
        except model_call.CallRefusedError as error:
            yield from self._relay_or_refuse(
                request, body, error.problem, start_response
            )
        except model_call.EngineRejectedError as error:
            rejected = error.rejected
            yield from self._send_response(
                request,
                rejected.status,
                rejected.content_type,
                rejected.body,
                start_response,
            )
        finally:
            active_call.close()
            self._record_call(request, parsed_request, active_call)

    def _stream_response(
        self,
        request: _Request,
        parsed_request: model_request.ModelRequest,
        active_call: model_call.ModelCall,
        first_chunks: list[answer_validator.Chunk],
        start_response: Any,
    ) -> Iterator[bytes]:
        headers = [
            ("Content-Type", openai_response.SSE_TYPE),
            ("Cache-Control", "no-store"),
            (CORRELATION_HEADER, request.call_id),
        ]
        start_response("200 OK", headers)
        connection = request.environ[http_server.CONNECTION]
        yield openai_response.encode_events(
            first_chunks, parsed_request.wants_usage
        )
        # The framing is only known once the headers are sent.
        sink = sinks.CallerSink(
            connection.socket, connection.is_chunked, parsed_request.wants_usage
        )
        try:
            active_call.relay_rest(sink)
            yield openai_response.DONE_EVENT
        except model_call.CallAbandonedError:
            # Nothing more can be sent on this connection.
            connection.abort()
        except model_call.CallRefusedError as error:
            yield _error_event(request, error.problem)
        except model_call.EngineRejectedError as error:
            problem = refusal.upstream_failed(
                refusal.Executed.UNKNOWN,
                "The answer broke off and could not be resumed"
                f" ({error}); send the call again",
            )
            yield _error_event(request, problem)
        finally:
            sink.close()

    def _record_call(
        self,
        request: _Request,
        parsed_request: model_request.ModelRequest,
        active_call: model_call.ModelCall,
    ) -> None:
        labels = {"model": parsed_request.model.name}
        self._logger.info(
            "call ended",
            correlation_id=request.call_id,
            target=parsed_request.target,
            tokens=active_call.tokens,
            attempts=active_call.attempts,
            seconds=round(time.monotonic() - request.started_s, 3),
        )
        self._metrics.count(
            "sesamecross_model_calls_total", "Calls to models.", labels
        )
        self._metrics.count(
            "sesamecross_tokens_total",
            "Tokens relayed to callers.",
            labels,
            active_call.tokens,
        )
        if active_call.first_token_s is not None:
            self._metrics.observe(
                "sesamecross_first_token_seconds",
                "From the request's head to the first token.",
                labels,
                active_call.first_token_s - request.started_s,
            )

    # -- by way of another entry ---------------------------------------------

    def _relay_if_cut_off(
        self, request: _Request, body: bytes, start_response: Any
    ) -> Iterable[bytes] | None:
        """Serves a call by way of a peer if the own links fail, else None."""
        if _is_relayed(request) or not self._links.must_relay():
            return None
        return self._send_relayed(request, body, start_response)

    def _relay_or_refuse(
        self,
        request: _Request,
        body: bytes,
        problem: refusal.Refusal,
        start_response: Any,
    ) -> Iterable[bytes]:
        """Serves a call by way of a peer if no upstream could be reached."""
        if not self._links.may_relay(problem):
            return self._send_refusal(request, problem, start_response)
        if _is_relayed(request):
            return self._send_refusal(
                request,
                problem,
                start_response,
                ((entry_http.UNREACHABLE_HEADER, "1"),),
            )
        relayed = self._send_relayed(request, body, start_response)
        if relayed is not None:
            return relayed
        return self._send_refusal(request, problem, start_response)

    def _send_relayed(
        self, request: _Request, body: bytes, start_response: Any
    ) -> Iterable[bytes] | None:
        left_ms = max(
            1, self._deadline_ms(request) - self._clock.monotonic_ms()
        )
        query = request.header("QUERY_STRING")
        answer = self._links.send(
            request.call_id,
            entry_http.RelayedCall(
                request.method,
                f"{request.path}?{query}" if query else request.path,
                (
                    *_forwarded_headers(request, _RELAYED_HEADERS),
                    ("X-Deadline-Ms", str(left_ms)),
                ),
                body,
                left_ms / 1000,
            ),
        )
        if isinstance(answer, refusal.Refusal):
            return self._send_refusal(request, answer, start_response)
        if answer is None:
            return None
        self._metrics.count(
            "sesamecross_relayed_calls_total",
            "Calls served by way of another entry.",
            {},
        )
        return self._pass_on(request, answer, start_response)

    def _pass_on(
        self,
        request: _Request,
        answer: entry_http.RelayedAnswer,
        start_response: Any,
    ) -> Iterable[bytes]:
        """Passes a peer's answer on; only a stream before it is complete."""
        problem = refusal.upstream_failed(
            refusal.Executed.UNKNOWN,
            "The answer broke off; look the result up before calling again",
        )
        headers = [*answer.headers, (CORRELATION_HEADER, request.call_id)]
        if dict(answer.headers).get("Content-Type") == openai_response.SSE_TYPE:
            start_response(_status_line(answer.status), headers)
            return peer_relay.body_of(answer, _error_event(request, problem))
        try:
            body = b"".join(answer.chunks())
        except entry_http.BrokenError:
            return self._send_refusal(request, problem, start_response)
        finally:
            answer.close()
        start_response(
            _status_line(answer.status),
            [*headers, ("Content-Length", str(len(body)))],
        )
        return [body]

    # -- services ------------------------------------------------------------

    def _handle_service_call(
        self,
        request: _Request,
        caller: data.Caller,
        snapshot: state_lib.Snapshot,
        match: re.Match,
        start_response: Any,
    ) -> Iterable[bytes]:
        name = match.group(1)
        service = snapshot.declarations.services.get(name)
        is_permitted = (
            data.WILDCARD in caller.services or name in caller.services
        )
        if service is None or not is_permitted:
            problem = refusal.forbidden(f"Service {name}")
            return self._send_refusal(request, problem, start_response)
        key = request.header("HTTP_IDEMPOTENCY_KEY")
        if len(key) > service_call.MAX_KEY_CHARS:
            problem = refusal.bad_request(
                "The Idempotency-Key is too long",
                f"Use at most {service_call.MAX_KEY_CHARS} characters",
            )
            return self._send_refusal(request, problem, start_response)
        content = http_server.read_body(request.environ)
        relayed = self._relay_if_cut_off(request, content, start_response)
        if relayed is not None:
            return relayed
        outcome = self._services.call(
            service_call.ServiceRequest(
                request.call_id,
                caller,
                service,
                request.method,
                _path_and_query(match, request),
                _forwarded_headers(request, _FORWARDED_HEADERS),
                content,
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
            return self._relay_or_refuse(
                request, content, outcome, start_response
            )
        self._recorder.add(
            timeline.EventKind.CALL,
            f"{request.method} answered {outcome.status}",
            call_id=request.call_id,
            model=name,
        )
        return self._send_response(
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


def _forwarded_headers(
    request: _Request, names: Iterable[str]
) -> tuple[tuple[str, str], ...]:
    forwarded = []
    for name in names:
        value = request.header(name)
        if value:
            title = name.removeprefix("HTTP_").replace("_", "-").title()
            forwarded.append((title, value))
    return tuple(forwarded)


def _is_relayed(request: _Request) -> bool:
    return bool(request.header("HTTP_X_SESAMECROSS_RELAYED"))


def _error_event(request: _Request, problem: refusal.Refusal) -> bytes:
    """Returns a refusal as an event of a stream whose status is sent.

    Without the final `[DONE]` no client takes the response for complete.
    """
    body = problem.body(request.call_id)
    return b"event: error\ndata: " + body + b"\n\n"
