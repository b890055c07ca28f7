"""Collects the body of a request while it is read, within the memory for it."""

from sesamecross.core import body_buffer
from sesamecross.ops.fleet import body_budget


class NoRoomError(Exception):
    """There is no memory for a body; its request has not run.

    Attributes:
      size: Bytes that were asked for.
      retry_after_s: When there will probably be room; None if never.
    """

    def __init__(self, size: int, retry_after_s: float | None):
        super().__init__(f"no memory for a body of {size} bytes")
        self.size = size
        self.retry_after_s = retry_after_s


def reserve(
    budget: body_budget.BodyBudget, owner: str, size: int
) -> body_budget.Reservation:
    """Reserves room in the memory for requests.

    Args:
      budget: The memory for all of them.
      owner: The caller's workspace; empty if callers bear no keys.
      size: Bytes.

    Raises:
      NoRoomError: There is no room.
    """
    reservation = budget.reserve(size, owner)
    if reservation is None:
        raise _no_room(budget, size)
    return reservation


def _no_room(budget: body_budget.BodyBudget, size: int) -> NoRoomError:
    if size > budget.largest_body_bytes:
        return NoRoomError(size, None)
    return NoRoomError(size, budget.retry_after_s(size))


class IncomingBody:
    """A body that needs room, while it is read.

    The room for a body in chunks, whose length is not announced, is that of the
    largest allowed one as soon as it is no small one any more; it is cut down
    to what the body needs at its end.
    """

    __slots__ = ("_budget", "_buffer", "_reservation")

    def __init__(
        self,
        budget: body_budget.BodyBudget,
        owner: str,
        length: int | None,
        max_bytes: int,
    ):
        """Reserves the room.

        Args:
          budget: The memory for all bodies.
          owner: The caller's workspace; empty if callers bear no keys.
          length: Bytes of the body; None if it comes in chunks.
          max_bytes: What a body may have.

        Raises:
          NoRoomError: There is no room.
        """
        if length is None:
            size = min(max_bytes, body_budget.SMALL_BODY_BYTES)
            capacity = min(max_bytes, budget.largest_body_bytes)
        else:
            size = capacity = length
        self._budget = budget
        self._reservation = reserve(budget, owner, size)
        try:
            self._buffer = body_buffer.BodyBuffer(capacity)
        except OSError as error:
            budget.release(self._reservation)
            raise _no_room(budget, size) from error

    def append(self, data: bytes) -> None:
        """Adds bytes; there are at most as many as the body may have.

        Raises:
          NoRoomError: A body in chunks has become too large for the room left.
        """
        size = len(self._buffer) + len(data)
        if size > self._reservation.size:
            capacity = self._buffer.capacity
            if size > capacity:
                raise _no_room(self._budget, size)
            if not self._budget.resize(self._reservation, capacity):
                raise _no_room(self._budget, capacity)
        self._buffer.append(data)
        self._budget.record_received(self._reservation, len(data))

    def finish(self) -> body_buffer.BodyBuffer:
        """Returns the whole body, which gives the room back when closed."""
        budget, reservation = self._budget, self._reservation
        budget.resize(reservation, len(self._buffer))
        self._buffer.on_closed = lambda: budget.release(reservation)
        return self._buffer

    def discard(self) -> None:
        """Gives up the body and its room."""
        self._buffer.close()
        self._budget.release(self._reservation)
