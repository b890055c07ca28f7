"""Client of model engines over HTTP: orders and status reports.

Only this module and `engine_stream` know the engines' wire format.

Calls are OpenAI-style requests, answered by server-sent events whose `id:` is
the number of tokens so far. `X-Request-Id` identifies the call and is returned
in the `id` of each chunk. `Last-Event-ID` resumes after a token, `X-Priority`
orders the engine's queue, and `X-Not-Run` on an error means that the call was
not started. `X-Version` on an answer is the version of the engine's software.
`POST /admin/orders` accepts an order, idempotently by order id. `GET
/admin/status` returns a report, and `DELETE /v1/calls/ID` cancels a call.
"""

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

# What a call can raise: it fails, or the answer is no JSON, or not of the form
# that is read. JSON may be nested too deeply, or have infinite numbers.
_CALL_ERRORS = (
    urllib3.exceptions.HTTPError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
    OverflowError,
)


class OrderState(enum.Enum):
    """State of an order, as reported by an engine."""

    APPLIED = "applied"
    LOADING = "loading"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """An engine's report with the states of its recent orders.

    Attributes:
      fence: The highest fencing token that the engine has seen.
    """

    report: data.UpstreamReport
    orders: dict[str, OrderState]
    fence: int


class HttpEngine:
    """Client of all engines; each method takes the engine's URL."""

    __slots__ = ("_admin_pool",)

    def __init__(self) -> None:
        self._admin_pool = http_client.pool(2, 0.5, 2.0)

    def cancel(self, url: str, request_id: str) -> None:
        """Tells the engine that the call's caller is gone."""
        try:
            self._admin_pool.request("DELETE", f"{url}/v1/calls/{request_id}")
        except urllib3.exceptions.HTTPError:
            # The engine also detects the closed connection; cancelling only
            # makes it stop sooner.
            return

    def send_order(
        self, url: str, order: data.Order, fence: int
    ) -> Result[OrderState, errors.Problem]:
        """Sends an order once and returns its initial state."""
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
            response = self._admin_pool.request(
                "POST", f"{url}/admin/orders", json=body
            )
            return Success(OrderState(json.loads(response.data)["state"]))
        except _CALL_ERRORS as error:
            return Failure(_unreachable(url, type(error).__name__))

    def status(
        self, upstream: str, url: str
    ) -> Result[EngineStatus, errors.Problem]:
        """Requests an engine's report and the states of its orders."""
        try:
            response = self._admin_pool.request("GET", f"{url}/admin/status")
            if response.status != 200:
                return Failure(_unreachable(url, f"HTTP {response.status}"))
            return Success(_parse_status(upstream, json.loads(response.data)))
        except _CALL_ERRORS as error:
            return Failure(_unreachable(url, type(error).__name__))


def _parse_status(upstream: str, body: dict) -> EngineStatus:
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
        version=str(body.get("version", "")),
    )
    orders = {
        str(key): OrderState(value) for key, value in body["orders"].items()
    }
    return EngineStatus(report, orders, int(body["fence"]))


def _unreachable(url: str, reason: str) -> errors.Problem:
    return errors.Problem(
        url,
        "",
        f"the engine does not answer ({reason})",
        "check the engine; its memory stays counted as it was",
        errors.Kind.UNREACHABLE,
    )
