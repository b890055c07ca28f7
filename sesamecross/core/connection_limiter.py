"""Decides which connection makes room when descriptors run out.

Whoever reaches a port can open connections and say nothing. Their number is
bounded by the descriptors that the process may have, of which callers get a
part: the others are for upstreams, the store and peers. At the bound the
connection goes that is of the least use and has been so for longest, never the
newcomer, which may bring a request, and never one whose request is under way.
"""

import enum
from typing import Protocol

import msgspec

# Of the sockets that the process may have, shares by port: open connections,
# and those that the kernel has accepted and the process has not.
_CALLERS_SHARE, _CALLERS_BACKLOG_SHARE = 0.5, 0.2
_PEERS_SHARE = 0.05
_STATUS_SHARE = 0.01
# When another instance stops, the load balancer moves all its callers at once.
_MAX_CALLERS_BACKLOG = 1024
_MIN_CONNECTIONS = 8
# A connection beyond the backlog is tried again only after a second.
_MIN_BACKLOG = 32
# What the kernel receives of a connection that is not read. It counts as memory
# of the process, and grows to megabytes without a limit.
RECEIVE_BUFFER_BYTES = 128 * 1024


class PortLimits(msgspec.Struct, frozen=True):
    """What one port takes.

    Attributes:
      connections: Open at most.
      backlog: Waiting to be accepted at most.
    """

    connections: int
    backlog: int


# For ports that only tests open.
UNLIMITED = PortLimits(1_000_000, 1024)


class DescriptorLimits(msgspec.Struct, frozen=True):
    """How the sockets of a process are divided.

    Attributes:
      callers: The port for callers.
      peers: The port for other instances: streams whose peer has not shown yet
        that it knows the key.
      status: Readiness and metrics, each.
    """

    callers: PortLimits
    peers: PortLimits
    status: PortLimits

    @classmethod
    def from_sockets(cls, sockets: int) -> "DescriptorLimits":
        """Returns the limits of a process that may have `sockets` open."""

        def share_of(share: float) -> int:
            return max(_MIN_CONNECTIONS, int(sockets * share))

        backlog = min(_MAX_CALLERS_BACKLOG, share_of(_CALLERS_BACKLOG_SHARE))
        peers, status = share_of(_PEERS_SHARE), share_of(_STATUS_SHARE)
        return cls(
            PortLimits(share_of(_CALLERS_SHARE), max(_MIN_BACKLOG, backlog)),
            PortLimits(peers, max(_MIN_BACKLOG, peers)),
            PortLimits(status, max(_MIN_BACKLOG, status)),
        )


class Use(enum.IntEnum):
    """What a connection is of use for; the least useful first.

    Attributes:
      LINGERING: Its last response was sent.
      UNFINISHED: No whole request has come yet, or not the whole next one.
      IDLE: It waits for the next request.
      BUSY: A request is under way.
    """

    LINGERING = 0
    UNFINISHED = 1
    IDLE = 2
    BUSY = 3


class Connection(Protocol):
    """A connection."""

    def abort(self) -> None:
        """Closes the connection at once."""


class ConnectionLimiter:
    """The connections of one port. Deterministic.

    Attributes:
      evicted: Connections closed so far to make room.
    """

    __slots__ = ("evicted", "_limit", "_uses", "_by_use")

    def __init__(self, limit: int):
        """Initializes the limiter.

        Args:
          limit: Connections that may be open.
        """
        self.evicted = 0
        self._limit = limit
        self._uses: dict[Connection, Use] = {}
        # Those of each use, in the order in which they came to it.
        self._by_use: dict[Use, dict[Connection, None]] = {
            use: {} for use in Use
        }

    @property
    def count(self) -> int:
        """How many are open."""
        return len(self._uses)

    def __contains__(self, connection: Connection) -> bool:
        """Whether a connection is counted."""
        return connection in self._uses

    def admit(self, connection: Connection) -> bool:
        """Adds a new connection; returns False if there is no room for it.

        May abort another one.
        """
        if len(self._uses) >= self._limit and not self._evict():
            return False
        self._uses[connection] = Use.UNFINISHED
        self._by_use[Use.UNFINISHED][connection] = None
        return True

    def set_use(self, connection: Connection, use: Use) -> None:
        """Records what an open connection is of use for now."""
        before = self._uses.get(connection)
        if before is None or before is use:
            return
        del self._by_use[before][connection]
        self._uses[connection] = use
        self._by_use[use][connection] = None

    def remove(self, connection: Connection) -> None:
        """Forgets a connection that is closed."""
        use = self._uses.pop(connection, None)
        if use is not None:
            del self._by_use[use][connection]

    def _evict(self) -> bool:
        for use in (Use.LINGERING, Use.UNFINISHED, Use.IDLE):
            longest = next(iter(self._by_use[use]), None)
            if longest is not None:
                self.remove(longest)
                self.evicted += 1
                longest.abort()
                return True
        return False
