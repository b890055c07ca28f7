"""Serves calls by way of another entry, for the entry's HTTP interface.

A call goes there at once while this entry's own links fail, or after it was
refused because no upstream could be connected to. It goes one hop only.
"""

from collections.abc import Callable
from collections.abc import Iterable
import time
from typing import Any

from sesamecross.core import refusal
from sesamecross.entry import http_request
from sesamecross.entry import openai_response
from sesamecross.entry import peer_relay
from sesamecross.ports import entry_http
from sesamecross.runtime import http_server
from sesamecross.runtime import metrics as metrics_lib

# Headers of a call that another entry needs to serve it.
_RELAYED_HEADERS = (
    *http_request.FORWARDED_HEADERS,
    "HTTP_AUTHORIZATION",
    "HTTP_X_PRIORITY",
)

# Sends a refusal: request, refusal, `start_response` and further headers.
SendRefusal = Callable[..., list[bytes]]


class RelayHandler:
    """Decides for each call whether it goes by way of a peer."""

    __slots__ = ("_links", "_metrics", "_send_refusal", "_timeout_ms")

    def __init__(
        self,
        links: peer_relay.PeerRelay,
        metrics: metrics_lib.Metrics,
        send_refusal: SendRefusal,
        timeout_ms: Callable[[http_request.Request], int],
    ):
        """Initializes the handler.

        Args:
          links: Knows whether the own links fail, and the peers.
          metrics: Counts the calls.
          send_refusal: Answers a call with a refusal.
          timeout_ms: Returns how long a caller waits from its arrival.
        """
        self._links = links
        self._metrics = metrics
        self._send_refusal = send_refusal
        self._timeout_ms = timeout_ms

    def relay_if_cut_off(
        self, request: http_request.Request, body: bytes, start_response: Any
    ) -> Iterable[bytes] | None:
        """Serves a call by way of a peer if the own links fail, else None."""
        if _is_relayed(request) or not self._links.must_relay():
            return None
        return self._send_relayed(request, body, start_response)

    def relay_or_refuse(
        self,
        request: http_request.Request,
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
        self, request: http_request.Request, body: bytes, start_response: Any
    ) -> Iterable[bytes] | None:
        spent_ms = int((time.monotonic() - request.started_s) * 1000)
        left_ms = max(1, self._timeout_ms(request) - spent_ms)
        answer = self._links.send(
            request.call_id,
            entry_http.RelayedCall(
                request.method,
                request.target,
                (
                    *request.headers(_RELAYED_HEADERS),
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
        request: http_request.Request,
        answer: entry_http.RelayedAnswer,
        start_response: Any,
    ) -> Iterable[bytes]:
        """Passes a peer's answer on; only a stream before it is complete."""
        problem = refusal.upstream_failed(
            refusal.Executed.UNKNOWN,
            "The answer broke off; look the result up before calling again",
        )
        headers = [
            *answer.headers,
            (http_request.CORRELATION_HEADER, request.call_id),
        ]
        if dict(answer.headers).get("Content-Type") == openai_response.SSE_TYPE:
            start_response(http_request.status_line(answer.status), headers)
            return peer_relay.body_of(
                answer, http_request.error_event(request, problem)
            )
        try:
            body = b"".join(answer.chunks())
        except entry_http.BrokenError:
            return self._send_refusal(request, problem, start_response)
        finally:
            answer.close()
        start_response(
            http_request.status_line(answer.status),
            [
                *headers,
                *http_server.length_headers(
                    request.method, answer.status, body
                ),
            ],
        )
        return [body]


def _is_relayed(request: http_request.Request) -> bool:
    return bool(request.header("HTTP_X_SESAMECROSS_RELAYED"))
