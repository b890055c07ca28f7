"""A model engine over HTTP: calls, orders and reports.

Why: the one place that knows the engine's wire form.

Wire form: calls in the OpenAI style, streamed by server-sent events whose
`id:` counts the tokens so far. `X-Request-Id` names the call and comes back
in each chunk's `id`; `Last-Event-ID` resumes behind a token; `X-Priority`
orders the engine's queue; `X-Not-Run` on an error says that the call was not
begun. `POST /admin/orders` takes an order; an order id that was seen before
changes nothing. `GET /admin/status` reports, `DELETE /v1/calls/ID` cancels.
"""

from collections.abc import Iterator
import dataclasses
import enum
import json

from returns.result import Failure
from returns.result import Result
from returns.result import Success
import urllib3

from sesamecross.core import data
from sesamecross.core import errors
from sesamecross.ports import http_client
from sesamecross.ports import sse

_READ_BYTES = 65_536


class OrderState(enum.Enum):
    """What an engine says of one order."""

    APPLIED = "applied"
    LOADING = "loading"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """An engine's report with the orders that it remembers.

    Attributes:
      fence: The highest fencing number that the engine has seen.
    """

    report: data.UpstreamReport
    orders: dict[str, OrderState]
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """One call to dispatch to an engine.

    Attributes:
      resume_after: Tokens that the caller has already; the engine goes on
        behind them.
    """

    url: str
    path: str
    body: bytes
    request_id: str
    priority: int
    read_s: float
    resume_after: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The engine answered with an error of its own.

    Attributes:
      not_run: The engine's word that it did not begin: "leaving",
        "not-resident", or empty where it says nothing.
    """

    status: int
    content_type: str
    body: bytes
    not_run: str = ""


class CallStream:
    """An engine's streamed answer. Must be closed by its owner."""

    __slots__ = ("_response", "_finished")

    def __init__(self, response: urllib3.BaseHTTPResponse):
        self._response = response
        self._finished = False

    def events(self) -> Iterator[sse.Event]:
        """Yields events as they come.

        Raises:
          urllib3.exceptions.HTTPError: The connection failed; what was
            yielded before stands.
        """
        splitter = sse.Splitter()
        while chunk := self._response.read1(_READ_BYTES):
            yield from splitter.feed(chunk)
        self._finished = True

    def close(self) -> None:
        """Gives the connection back, or drops it if the answer is unread.

        A connection with an unread answer must never be used again: the
        next call on it would receive this call's late answer.
        """
        if self._finished:
            self._response.release_conn()
        else:
            self._response.close()


class HttpEngine:
    """All engines; each method names the one it speaks to."""

    __slots__ = ("_calls", "_admin")

    def __init__(self, connections: int = 64):
        self._calls = http_client.pool(connections, 0.5, 30.0)
        self._admin = http_client.pool(2, 0.5, 2.0)

    def call(
        self, request: CallRequest
    ) -> CallStream | Rejected | http_client.NotSent | http_client.Failed:
        """Dispatches a call and returns when the answer's head is there."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.request_id,
            "X-Priority": str(request.priority),
        }
        if request.resume_after:
            headers["Last-Event-ID"] = str(request.resume_after)
        try:
            response = self._calls.request(
                "POST",
                request.url + request.path,
                body=request.body,
                headers=headers,
                preload_content=False,
                timeout=urllib3.Timeout(connect=0.5, read=request.read_s),
            )
        except urllib3.exceptions.HTTPError as error:
            return http_client.classify(error)
        return self._checked(request, response)

    def _checked(self, request, response):
        answered = response.headers.get("X-Request-Id")
        if response.status == 200 and answered == request.request_id:
            return CallStream(response)
        if response.status == 200 or answered not in (
            None,
            request.request_id,
        ):
            # An answer to some other call on this connection: neither the
            # answer nor the connection can be trusted.
            response.close()
            return http_client.Failed("answer of another call")
        return self._rejected(response)

    def _rejected(self, response):
        try:
            body = response.read()
        except urllib3.exceptions.HTTPError as error:
            response.close()
            return http_client.Failed(type(error).__name__)
        content_type = response.headers.get("Content-Type", "")
        not_run = response.headers.get("X-Not-Run", "")
        response.release_conn()
        return Rejected(response.status, content_type, body, not_run)

    def cancel(self, url: str, request_id: str) -> None:
        """Tells the engine that nobody waits for the call any more."""
        try:
            self._admin.request("DELETE", f"{url}/v1/calls/{request_id}")
        except urllib3.exceptions.HTTPError:
            # The engine also notices the closed connection; the order to
            # cancel only makes it sooner.
            return

    def send_order(
        self, url: str, order: data.Order, fence: int
    ) -> Result[OrderState, errors.Problem]:
        """Sends an order once and returns the engine's first word on it."""
        body = {
            "order_id": order.order_id,
            "fence": fence,
            "epoch": order.epoch,
            "action": order.action.value,
            "target": order.target,
            "version": order.version,
            "memory_mib": order.memory_mib,
        }
        try:
            response = self._admin.request(
                "POST", f"{url}/admin/orders", json=body
            )
            return Success(OrderState(json.loads(response.data)["state"]))
        except (
            urllib3.exceptions.HTTPError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            return Failure(_problem(url, type(error).__name__))

    def status(
        self, upstream: str, url: str
    ) -> Result[EngineStatus, errors.Problem]:
        """Asks an engine what it holds and what it works on."""
        try:
            response = self._admin.request("GET", f"{url}/admin/status")
            if response.status != 200:
                return Failure(_problem(url, f"HTTP {response.status}"))
            return Success(_status(upstream, json.loads(response.data)))
        except (
            urllib3.exceptions.HTTPError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            return Failure(_problem(url, type(error).__name__))


def _status(upstream: str, body: dict) -> EngineStatus:
    report = data.UpstreamReport(
        upstream=upstream,
        epoch=str(body["epoch"]),
        sequence=int(body["sequence"]),
        reachable=True,
        leaving=bool(body["leaving"]),
        running=int(body["running"]),
        waiting=int(body["waiting"]),
        resident=tuple(sorted(str(name) for name in body["resident"])),
        used_mib=int(body["used_mib"]),
        capacity_mib=int(body["capacity_mib"]),
    )
    orders = {
        str(key): OrderState(value) for key, value in body["orders"].items()
    }
    return EngineStatus(report, orders, int(body["fence"]))


def _problem(url: str, reason: str) -> errors.Problem:
    return errors.Problem(
        url,
        "",
        f"the engine does not answer ({reason})",
        "check the engine; its memory stays counted as it was",
        errors.Kind.UNREACHABLE,
    )
