"""What is known of one request while it is served."""

import msgspec

from sesamecross.core import body_buffer
from sesamecross.core import serving
from sesamecross.gateway import client_connection
from sesamecross.gateway import engine_search
from sesamecross.gateway import event_relay
from sesamecross.gateway import origin_registry
from sesamecross.gateway import service_search as service_search_lib
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import request_ledger
from sesamecross.ops.fleet import retry_policy
from sesamecross.ops.fleet import stream_origins

# Retry-after of a refusal when no better estimate is known.
DEFAULT_RETRY_AFTER_S = 0.5


class RequestProgress(msgspec.Struct):
    """A request and how far it has come.

    Attributes:
      request: With its workspace, once its key is known.
      arrived_s: Loop time of its arrival.
      route: Set once it is found.
      route_version: The configuration's version by which it was found; -1
        before.
      deadline_s: Loop time until which it may be answered; 0 before its route
        is known.
      history: What its attempts have come to.
      search: Set if the request is for a model.
      service_search: Set if it is not.
      relay: Set if the answer is a stream.
      origin: Where the stream began, once that is known.
      lookup: Set if the caller resumes a stream.
      upstream: That of the current or last attempt.
      connection: That of the current attempt; None when nothing is sent.
      relayed_by: The peer that relays the current attempt's connection, or
        empty.
      retry_after_s: When a refused caller should retry.
      note: What happened, for the log.
    """

    request: serving.Request
    arrived_s: float
    route: serving.Route | None = None
    route_version: int = -1
    deadline_s: float = 0.0
    history: retry_policy.AttemptHistory = msgspec.field(
        default_factory=retry_policy.AttemptHistory
    )
    search: engine_search.EngineSearch | None = None
    service_search: service_search_lib.ServiceSearch | None = None
    relay: event_relay.EventRelay | None = None
    origin: stream_origins.StreamOrigin | None = None
    lookup: origin_registry.Lookup | None = None
    upstream: directory.KnownUpstream | None = None
    connection: client_connection.ClientConnection | None = None
    relayed_by: str = ""
    retry_after_s: float = DEFAULT_RETRY_AFTER_S
    note: str = ""
    _fingerprint: bytes = b""

    @property
    def fingerprint(self) -> bytes:
        """What all attempts at the same work have in common."""
        if not self._fingerprint:
            self._fingerprint = request_ledger.fingerprint(self.request)
        return self._fingerprint

    def keep_fingerprint(self) -> None:
        """Computes the fingerprint while the body can still be read."""
        if isinstance(self.request.body, body_buffer.BodyBuffer):
            _ = self.fingerprint

    @property
    def is_resumed(self) -> bool:
        """Whether the caller has received a part of the stream before."""
        request = self.request
        return bool(request.last_event_id or request.first_attempt_id)

    @property
    def urgency(self) -> int:
        """The priority, in which a workspace's goes before the route's."""
        workspace = self.request.workspace
        if workspace is not None and workspace.urgency is not None:
            return workspace.urgency
        return self.route.urgency

    @property
    def workspace_name(self) -> str:
        """Name of the caller's workspace; empty without one."""
        workspace = self.request.workspace
        return workspace.name if workspace is not None else ""

    @property
    def stream_life_s(self) -> float:
        """For how long a caller may resume the stream."""
        return stream_origins.life_s(self.route)

    def add_note(self, text: str) -> None:
        """Appends to the note."""
        self.note = f"{self.note} {text}".strip()
