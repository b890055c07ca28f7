"""Messages on the streams between the system's own processes.

Every message is a typed record, so that input from another version or from a
hostile peer is rejected by the decoder and never partly processed. A message
with `request_id` is answered by one with the same `request_id`.
"""

import dataclasses
from typing import Any

from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.core import records


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A steward tells a peer that it is alive, and its replication progress.

    Attributes:
      next_offset: How far the sender has replayed the log.
      version: Configuration version in force at the sender.
      echo: The last `count` that the sender received from the receiver.
      kept_in_dark: Number of claims stored by the sender that were made while
        it was disconnected from the log and all witnesses.
      entry_address: Where the entry beside the sender accepts callers'
        connections; empty if there is none.
      reaches_engines: Whether the sender is not cut off from the engines that
        it polls.
    """

    member: data.Member
    count: int
    next_offset: int
    version: int
    log_reachable: bool
    leaving: bool
    echo: int = 0
    kept_in_dark: int = 0
    entry_address: str = ""
    reaches_engines: bool = True


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class StateRequest:
    """A starting steward asks a peer for the replayed state."""

    request_id: str


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class StateReply:
    """A peer's state; None if the peer has not replayed any yet."""

    request_id: str
    snapshot: records.StateSnapshot | None


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionVote:
    """A watcher's vote on whether a member is alive, spread by gossip."""

    watcher: str
    incarnation: data.Incarnation
    suspect: bool


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ViewUpdate:
    """A steward sends a view to its entry."""

    view: data.View


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ViewTaken:
    """An entry reports the configuration version that it has in force."""

    version: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class DemandReport:
    """An entry reports the demand that it saw to its steward.

    Attributes:
      calls: Number of calls by model or adapter since the last report.
      interval_ms: The time that the counts cover.
      address: Where the entry accepts callers' connections.
    """

    calls: dict[str, int]
    interval_ms: int
    address: str = ""


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """An entry asks for the right to run a call once."""

    request_id: str
    claim: records.ClaimMade


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """The decision on a claim; None if none can be made now.

    With None the call must not run. No claim that could win was confirmed, so
    the entry reports the call as not run.
    """

    request_id: str
    verdict: data.ClaimVerdict | None


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLookup:
    """An entry asks whether an earlier claim has been settled since."""

    request_id: str
    claim: records.ClaimMade


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimForward:
    """A steward forwards a claim to the leader of the deciding group."""

    request_id: str
    zone: str
    claim: records.ClaimMade
    only_look: bool = False


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeForward:
    """A steward forwards an outcome to the leader of the deciding group."""

    request_id: str
    zone: str
    settled: records.ClaimSettled


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """An entry reports the outcome of a claim that it won."""

    request_id: str
    settled: records.ClaimSettled


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Tells whether a requested operation has taken effect."""

    request_id: str
    ok: bool


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class EventsRequest:
    """An operator or a steward asks for events of the time line."""

    request_id: str
    limit: int
    call_id: str = ""


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class EventsReply:
    """Events of one or more processes, as the maps of `ops.timeline`."""

    request_id: str
    events: tuple[Any, ...]
    missing: tuple[str, ...] = ()


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """An operator asks for a steward's status."""

    request_id: str


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """The status of one peer, as known to a steward."""

    instance: str
    zone: str
    state: str
    version: int
    next_offset: int
    log_reachable: bool
    silent_ms: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class StatusReply:
    """A steward's view of the deployment.

    Attributes:
      entry_version: Configuration version in force at the entry, or -1.
      leases: Holder's instance by zone.
      unresolved: Unresolved orders as `(order id, upstream, action,
        target)`.
      unplaced: Why placement can't satisfy the declarations, one clause
        for each shortfall.
    """

    request_id: str
    instance: str
    zone: str
    version: int
    next_offset: int
    log_reachable: bool
    entry_connected: bool
    entry_version: int
    peers: tuple[PeerStatus, ...]
    reports: tuple[data.UpstreamReport, ...]
    leases: dict[str, str]
    unresolved: tuple[tuple[str, str, str, str], ...]
    draining: tuple[str, ...]
    unplaced: tuple[str, ...]
    open_claims: int
    moves: int
