"""Interface of a platform's HTTP codec.

The gateway relays requests without knowing the platform's names of headers,
paths or fields. This module defines the parsed heads and the interface of the
adapter that parses and creates them.
"""

from collections.abc import Iterable
from typing import Protocol

import msgspec

from sesamecross.core import serving


class RequestHead(msgspec.Struct, frozen=True):
    """The parsed headers of a caller's request.

    Attributes:
      deadline_s: How long the caller waits from now, in seconds; None if it
        did not say.
      last_event_id: Event after which it resumes a stream, or empty.
      call: Set if the request names a model.
      first_attempt_id: Id of the caller's attempt that brought the first event
        of the stream that it resumes, or empty.
      key_digest: Of the caller's key; empty if it bears none, or several.
      tokens: Those of the prompt and the most of the answer together; None if
        the caller did not say.
    """

    request_id: str
    deadline_s: float | None
    last_event_id: str
    call: serving.ModelCall | None
    first_attempt_id: str = ""
    key_digest: bytes = b""
    tokens: int | None = None


class ResponseHead(msgspec.Struct, frozen=True):
    """The parsed head of an upstream's response.

    Attributes:
      has_signature: The upstream signed the response.
      was_not_executed: The upstream states that it did not run the request.
      is_misdirected: It is not the intended upstream, or it does not hold the
        model.
      is_encoded: The body has a content encoding, so its bytes are not the
        upstream's own.
      is_event_stream: The body is a stream of events.
      instance_id: The upstream that answered, or empty if it does not say.
      rejection_limit: Requests that it can reject in a second without failing;
        None if it states no limit.
      backoff_s: For how long the upstream wants no requests from this instance,
        in seconds; None if it does not say.
      is_leaving: The upstream says that it leaves.
    """

    request_id: str
    has_signature: bool
    was_not_executed: bool
    is_misdirected: bool
    is_encoded: bool
    is_event_stream: bool
    instance_id: str
    rejection_limit: int | None = None
    backoff_s: float | None = None
    is_leaving: bool = False


class ForwardContext(msgspec.Struct, frozen=True):
    """What the gateway adds when it forwards a request.

    Attributes:
      instance_id: The instance id that the upstream must have.
      left_s: Time until the caller's deadline, in seconds.
      urgency: Priority from 0 to 9 for engines, or None.
      last_event_id: Event after which a stream continues, or empty.
      takes_keys: Whether callers' keys are meant for the gateway, which does
        not pass them on.
    """

    instance_id: str
    left_s: float
    urgency: int | None
    last_event_id: str
    takes_keys: bool = False


class ControlCall(msgspec.Struct, frozen=True):
    """A call to an engine's control API."""

    method: bytes
    target: bytes
    headers: tuple[serving.Header, ...]
    body: bytes = b""


class HttpCodec(Protocol):
    """Parses and creates the platform's HTTP heads and control calls."""

    def parse_request_head(
        self, headers: Iterable[serving.Header]
    ) -> RequestHead:
        """Parses a caller's request headers; names are in lower case."""

    def upstream_request_headers(
        self, request: serving.Request, context: ForwardContext
    ) -> list[serving.Header]:
        """Returns the headers for forwarding a request to an upstream."""

    def parse_response_head(
        self, status: int, headers: Iterable[serving.Header]
    ) -> ResponseHead:
        """Parses the head of an upstream's response."""

    def refusal(
        self, request_id: str, retry_after_s: float | None
    ) -> list[serving.Header]:
        """Returns the headers of a response that the gateway itself creates."""

    def report_call(self, instance_id: str) -> ControlCall:
        """Returns the call that requests an engine's report."""

    def report(self, body: bytes) -> serving.EngineReport | None:
        """Decodes an engine's report; returns None if it is invalid."""

    def order_call(self, order: serving.EngineOrder) -> ControlCall:
        """Returns the call that sends an order to an engine."""

    def parse_order_answer(self, status: int) -> serving.OrderAnswer:
        """Maps the status of an engine's response to an order answer."""
