"""What a caller's connection needs of whoever handles its requests."""

from collections.abc import Callable
from typing import Protocol

from sesamecross.core import body_buffer
from sesamecross.core import serving
from sesamecross.gateway import incoming_body
from sesamecross.gateway import response_writer as response_writer_lib
from sesamecross.ops.fleet import body_budget
from sesamecross.ops.fleet import held_bytes
from sesamecross.ops.fleet import unfinished_requests


class RequestHandler(Protocol):
    """Handles requests of a connection."""

    @property
    def limits(self) -> serving.CallerLimits:
        """The current limits."""

    @property
    def is_closing(self) -> bool:
        """Whether callers are told to use another connection next."""

    def begin_body(
        self, head: "RequestHead", length: int | None, max_bytes: int
    ) -> incoming_body.IncomingBody:
        """Begins to read a body above `body_budget.UNCOUNTED_BYTES`.

        Args:
          head: The request's head.
          length: Bytes of the body; None if it comes in chunks.
          max_bytes: What a body may have.

        Raises:
          NoRoomError: There is no memory for it.
        """

    def reserve_head(self, head: "RequestHead") -> Callable[[], None]:
        """Reserves the memory of a head that is whole and large.

        Returns:
          What gives it back.

        Raises:
          NoRoomError: There is no memory for it.
        """

    def parse_request(
        self, head: "RequestHead", body: bytes | body_buffer.BodyBuffer
    ) -> serving.Request | None:
        """Returns the request; None if its headers are invalid."""

    def handle(
        self,
        request: serving.Request,
        response_writer: response_writer_lib.ResponseWriter,
    ) -> None:
        """Responds to a request through `response_writer`, now or later.

        From now on a body that has a buffer is the handler's.
        """

    def on_no_room(
        self, head: "RequestHead", error: incoming_body.NoRoomError
    ) -> list[serving.Header]:
        """Called when a body has no room; returns the refusal's headers."""

    def on_rejected(self, status: int, reason: str) -> None:
        """Called when a request is rejected before it reaches `handle`."""

    def on_shed(self) -> None:
        """Called when a new connection is closed unread."""

    def on_unfinished(
        self, connection: held_bytes.Connection, size: int
    ) -> None:
        """Called when requests that are not whole or not handled hold memory.

        Args:
          connection: May be aborted.
          size: Bytes; 0 if it is little.
        """

    def on_unread(self, connection: held_bytes.Connection, size: int) -> None:
        """Called when a caller has left bytes unread, or has caught up.

        Args:
          connection: May be aborted.
          size: Bytes; 0 if it has caught up or is closed.
        """


class RequestHead:
    """The head of a request; filled while it is read."""

    __slots__ = (
        "method",
        "target",
        "headers",
        "size",
        "keep_alive",
        "_give_back",
    )

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.headers: list[serving.Header] = []
        self.size = 0
        self.keep_alive = True
        self._give_back: Callable[[], None] | None = None

    @property
    def memory_bytes(self) -> int:
        """What it takes in memory."""
        return self.size + unfinished_requests.FIELD_BYTES * len(self.headers)

    def reserve(self, handler: RequestHandler) -> None:
        """Reserves its memory if it is large.

        Raises:
          NoRoomError: There is no memory for it.
        """
        if self.memory_bytes > body_budget.UNCOUNTED_BYTES:
            self._give_back = handler.reserve_head(self)

    def release(self) -> None:
        """Gives its memory back; does nothing the second time."""
        give_back, self._give_back = self._give_back, None
        if give_back is not None:
            give_back()
