"""Decides for how long idle connections to upstreams are kept and reused.

Where many instances share few upstreams, an instance sends an upstream a
request only every ten seconds or more, and connections that are closed sooner
are opened anew for nearly every request. A connection that is kept longer may
be closed by the upstream at the moment at which a request is sent on it. That
request is lost, so only one that may be repeated is sent there. TCP keepalive
closes a connection whose peer is gone within four seconds, however long it has
been idle.
"""

import math

# Idle connections are reused for this long by any request, or less if the
# upstream's keep-alive header says less.
MAX_IDLE_S = 4.0
# The same for requests that may be repeated. An instance of 80 sends a request
# to one of 45 engines every 20 s; longer times bring little more reuse.
MAX_REPEATABLE_IDLE_S = 30.0
# Subtracted from the upstream's keep-alive time for the network latency.
KEEP_ALIVE_MARGIN_S = 0.5
# Connections to one upstream that are kept beyond `MAX_IDLE_S`. All instances
# together share the upstream's limit of open connections.
MAX_LONG_IDLE = 2
# How long a close of an idle connection counts. An upstream that restarts
# closes its connections too, and that says nothing of the time it keeps them.
CLOSE_TTL_S = 60.0


class IdleLimits:
    """What upstreams announce or show of how long they keep connections."""

    __slots__ = ("_closed",)

    def __init__(self) -> None:
        # By address, the shortest idle time at which the upstream closed a
        # connection, and when.
        self._closed: dict[str, tuple[float, float]] = {}

    def limit_s(
        self,
        address: str,
        announced_s: float | None,
        is_repeatable: bool,
        now_s: float,
    ) -> float:
        """Returns the idle time up to which a connection may be reused.

        Args:
          address: The upstream's.
          announced_s: The keep-alive time that the upstream stated, or None.
          is_repeatable: Whether the request may be sent again if it is lost.
          now_s: Monotonic time.
        """
        limit_s = MAX_REPEATABLE_IDLE_S if is_repeatable else MAX_IDLE_S
        if announced_s is not None:
            return min(limit_s, announced_s - KEEP_ALIVE_MARGIN_S)
        closed_s = self._closed_s(address, now_s) - KEEP_ALIVE_MARGIN_S
        return min(limit_s, max(MAX_IDLE_S, closed_s))

    def record_closed(self, address: str, idle_s: float, now_s: float) -> None:
        """Records that an upstream closed a connection that was idle."""
        shortest_s = min(idle_s, self._closed_s(address, now_s))
        self._closed[address] = (shortest_s, now_s)

    def remove_expired(self, now_s: float) -> None:
        """Removes closes that no longer count."""
        for address, (_, at_s) in list(self._closed.items()):
            if now_s - at_s >= CLOSE_TTL_S:
                del self._closed[address]

    def _closed_s(self, address: str, now_s: float) -> float:
        idle_s, at_s = self._closed.get(address, (math.inf, -math.inf))
        return idle_s if now_s - at_s < CLOSE_TTL_S else math.inf
