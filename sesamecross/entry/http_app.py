"""The entry's HTTP interface: authentication, routing and responses."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import re
import time
from typing import Any

from returns.result import Failure

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.core import refusal
from sesamecross.entry import http_request
from sesamecross.entry import model_call
from sesamecross.entry import model_dispatcher
from sesamecross.entry import model_request
from sesamecross.entry import openai_response
from sesamecross.entry import peer_relay
from sesamecross.entry import relay_handler
from sesamecross.entry import service_call
from sesamecross.entry import sinks
from sesamecross.entry import state as state_lib
from sesamecross.entry import stream_relay as stream_relay_lib
from sesamecross.ops import answer_validator
from sesamecross.ops import routing
from sesamecross.ops import timeline
from sesamecross.ops.fleet import request_ledger
from sesamecross.parser import settings as settings_lib
from sesamecross.ports import engine_http
from sesamecross.runtime import http_server
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.utils import digest

_SERVICE_PATH = re.compile(r"^/services/([^/]+)(/.*)?$")
_MAX_PRIORITY = 9


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
        self._relays = relay_handler.RelayHandler(
            links, metrics, self._send_refusal, self._timeout_ms
        )
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
        request = http_request.Request(environ)
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
        return http_request.AdmittedBody(
            self._handle_admitted(request, caller, snapshot, start_response),
            lambda: self._state.release_call(caller),
        )

    def _refusal_before_claim(
        self, request: http_request.Request, problem: refusal.Refusal
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
        request: http_request.Request,
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
        request: http_request.Request,
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
        self, request: http_request.Request, start_response: Any
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
            http_request.status_line(200 if ready else 503),
        )

    # -- callers -------------------------------------------------------------

    def _authenticate(
        self, request: http_request.Request, snapshot: state_lib.Snapshot
    ) -> data.Caller | None:
        scheme, _, key = request.header("HTTP_AUTHORIZATION").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        return snapshot.callers.get(digest.of_bearer_key(key.strip()))

    def _send_refusal(
        self,
        request: http_request.Request,
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
            (http_request.CORRELATION_HEADER, request.call_id),
        ]
        start_response(http_request.status_line(problem.status), headers)
        return [body]

    def _send_response(
        self,
        request: http_request.Request,
        status: int,
        content_type: str,
        body: bytes,
        start_response: Any,
    ) -> list[bytes]:
        headers = [
            ("Content-Type", content_type),
            *http_server.length_headers(request.method, status, body),
            (http_request.CORRELATION_HEADER, request.call_id),
        ]
        start_response(http_request.status_line(status), headers)
        return [body]

    def _timeout_ms(self, request: http_request.Request) -> int:
        max_timeout_ms = self._settings.default_deadline_ms
        requested_ms = request.int_header("HTTP_X_DEADLINE_MS")
        if not requested_ms:
            return max_timeout_ms
        return min(requested_ms, max_timeout_ms)

    def _deadline_ms(self, request: http_request.Request) -> int:
        return self._clock.monotonic_ms() + self._timeout_ms(request)

    # -- models --------------------------------------------------------------

    def _handle_model_list(
        self,
        request: http_request.Request,
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
        request: http_request.Request,
        caller: data.Caller,
        snapshot: state_lib.Snapshot,
        start_response: Any,
    ) -> Iterable[bytes]:
        body = http_server.read_body(request.environ)
        parsed = model_request.parse(request.path, body, caller, snapshot)
        if isinstance(parsed, Failure):
            return self._send_refusal(request, parsed.failure(), start_response)
        parsed_request = parsed.unwrap()
        relayed = self._relays.relay_if_cut_off(request, body, start_response)
        if relayed is not None:
            return relayed
        self._state.count_demand(parsed_request.target)
        call = self._routing_call(
            request, caller, parsed_request, snapshot, body
        )
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
        request: http_request.Request,
        caller: data.Caller,
        parsed_request: model_request.ModelRequest,
        snapshot: state_lib.Snapshot,
        body: bytes,
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
            request_ledger.fingerprint_of(
                caller.name.encode(), request.path.encode(), body
            ),
        )

    def _relay_model_call(
        self,
        request: http_request.Request,
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
            yield from self._relays.relay_or_refuse(
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
        request: http_request.Request,
        parsed_request: model_request.ModelRequest,
        active_call: model_call.ModelCall,
        first_chunks: list[answer_validator.Chunk],
        start_response: Any,
    ) -> Iterator[bytes]:
        headers = [
            ("Content-Type", openai_response.SSE_TYPE),
            ("Cache-Control", "no-store"),
            (http_request.CORRELATION_HEADER, request.call_id),
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
            yield http_request.error_event(request, error.problem)
        except model_call.EngineRejectedError as error:
            problem = refusal.upstream_failed(
                refusal.Executed.UNKNOWN,
                "The answer broke off and could not be resumed"
                f" ({error}); send the call again",
            )
            yield http_request.error_event(request, problem)
        finally:
            sink.close()

    def _record_call(
        self,
        request: http_request.Request,
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

    # -- services ------------------------------------------------------------

    def _handle_service_call(
        self,
        request: http_request.Request,
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
        relayed = self._relays.relay_if_cut_off(
            request, content, start_response
        )
        if relayed is not None:
            return relayed
        outcome = self._services.call(
            service_call.ServiceRequest(
                request.call_id,
                caller,
                service,
                request.method,
                _path_and_query(match, request),
                request.headers(http_request.FORWARDED_HEADERS),
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
            return self._relays.relay_or_refuse(
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


def _path_and_query(match: re.Match, request: http_request.Request) -> str:
    path = match.group(2) or "/"
    query = request.header("QUERY_STRING")
    return f"{path}?{query}" if query else path
