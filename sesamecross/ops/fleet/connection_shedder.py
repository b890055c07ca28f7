"""Decides which new connections an overloaded instance closes unread.

A load balancer may hand most new connections of a zone to one instance. If its
processor can't keep up, all requests there are read late, and their callers
leave. A connection that is closed before its request is read costs a caller one
round trip: the next try meets another instance.

So a limited number of new connections wait to be read. The limit follows how
late the event loop is, which is late at each turn if the processor is busy.
"""

# Connections that may wait to be read. Reading a request takes some
# milliseconds, so callers wait for half a second at most.
MAX_UNREAD = 128
# A connection that brings nothing for so long is idle, and does not wait.
IDLE_AFTER_S = 2.0
# The same in recorded turns: between two of them, the event loop has read all
# that has arrived, so it is silent and not merely unread.
IDLE_AFTER_TURNS = 2
# An instance that is ready always takes connections.
MIN_UNREAD = 8
# Lateness of a turn of the event loop from which the limit is halved, and below
# which it grows.
BUSY_LATENESS_S = 0.25
FREE_LATENESS_S = 0.1
# By how much it grows at each turn.
GROWTH = 8


class ConnectionShedder:
    """Limits the new connections that wait to be read."""

    __slots__ = ("_unread", "_numbers", "_admitted", "_limit", "_turns")

    def __init__(self) -> None:
        # When and in which turn each of them came, by its number, the oldest
        # first.
        self._unread: dict[int, tuple[float, int]] = {}
        self._turns = 0
        self._numbers = 0
        # Since the last turn of the event loop.
        self._admitted = 0
        self._limit = MAX_UNREAD

    @property
    def limit(self) -> int:
        """How many may wait now."""
        return self._limit

    def admit(self, now_s: float) -> int | None:
        """Admits a new connection.

        Returns:
          Its number; None if it is to be closed unread.
        """
        while self._unread:
            oldest, (came_s, turn) = next(iter(self._unread.items()))
            if (
                now_s - came_s < IDLE_AFTER_S
                and self._turns - turn <= IDLE_AFTER_TURNS
            ):
                break
            del self._unread[oldest]
        if len(self._unread) >= self._limit:
            return None
        self._numbers += 1
        self._unread[self._numbers] = now_s, self._turns
        self._admitted += 1
        return self._numbers

    def end_wait(self, number: int) -> None:
        """Records that a connection is read, or was closed before."""
        self._unread.pop(number, None)

    def record_turn(self, lateness_s: float) -> None:
        """Records how late a turn of the event loop was."""
        # A process that was suspended is late without any work.
        self._turns += 1
        is_loaded = self._admitted >= self._limit // 2
        self._admitted = 0
        if lateness_s >= BUSY_LATENESS_S and is_loaded:
            self._limit = max(MIN_UNREAD, self._limit // 2)
        elif lateness_s <= FREE_LATENESS_S:
            self._limit = min(MAX_UNREAD, self._limit + GROWTH)
