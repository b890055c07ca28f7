"""How callers and upstreams of a platform say things over HTTP.

Why: the gateway relays requests without knowing the names of headers, paths
or fields. This file holds what it needs to know of a head, and the interface
of the adapter that reads and writes them.
"""

from collections.abc import Iterable
import dataclasses
from typing import Protocol

from sesamecross.core import serving


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """What a caller's headers say of its request.

    Attributes:
      deadline_s: How long the caller waits, from now; None if it says none.
      last_event_id: Where it resumes a stream, or empty.
      call: Set where the request names a model.
    """

    request_id: str
    deadline_s: float | None
    last_event_id: str
    call: serving.ModelCall | None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """What the head of an upstream's answer says.

    Attributes:
      has_signature: The upstream vouches for the answer.
      was_not_run: The upstream's word that it did not run the request.
      is_misdirected: It is not the upstream that was meant, or it does not
        hold the model.
      is_encoded: The body is not the upstream's own bytes.
      is_event_stream: The body is a stream of events.
      instance_id: Which upstream answered, where it says so.
    """

    request_id: str
    has_signature: bool
    was_not_executed: bool
    is_misdirected: bool
    is_encoded: bool
    is_event_stream: bool
    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardContext:
    """What the system adds when it passes a request on.

    Attributes:
      instance_id: The life of the upstream that is meant.
      left_s: What is left of the caller's time.
      urgency: 0 to 9 for engines, or None.
      last_event_id: Behind which event a stream goes on, or empty.
    """

    instance_id: str
    left_s: float
    urgency: int | None
    last_event_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ControlCall:
    """A call to an engine's own interface."""

    method: bytes
    target: bytes
    headers: tuple[serving.Header, ...]
    body: bytes = b""


class HttpCodec(Protocol):
    """Reads and writes the platform's HTTP."""

    def parse_request_head(
        self, headers: Iterable[serving.Header]
    ) -> RequestHead:
        """Reads a caller's headers; names are in lower case."""

    def upstream_request_headers(
        self, request: serving.Request, passing: ForwardContext
    ) -> list[serving.Header]:
        """Returns the headers under which a request is passed on."""

    def parse_response_head(
        self, status: int, headers: Iterable[serving.Header]
    ) -> ResponseHead:
        """Reads the head of an upstream's answer."""

    def caller_response_headers(
        self, headers: Iterable[serving.Header]
    ) -> list[serving.Header]:
        """Returns the headers of an answer that are passed on."""

    def refusal(
        self, request_id: str, retry_after_s: float | None
    ) -> list[serving.Header]:
        """Returns the headers of an answer of the system's own."""

    def report_call(self, instance_id: str) -> ControlCall:
        """Returns the call that asks an engine for its state."""

    def report(self, body: bytes) -> serving.EngineReport | None:
        """Reads an engine's state; None where the body holds none."""

    def order_call(self, order: serving.EngineOrder) -> ControlCall:
        """Returns the call that gives an engine an order."""

    def parse_order_answer(self, status: int) -> serving.OrderAnswer:
        """Reads what an engine's status says of an order."""
