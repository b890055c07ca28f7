"""Messages on the streams between the system's own processes.

Why: every message is a typed record, so that a program of another version or
a hostile peer gets a decoding error and never a half-understood order. A
message with `request_id` is answered by one that bears the same.
"""

import dataclasses
from typing import Any

from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.core import records


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A steward tells a peer that it is alive, and what it knows.

    Attributes:
      next_offset: How far the sender has replayed the log.
      version: Configuration version in force at the sender.
      echo: The last `count` that the sender heard from the receiver.
      kept_in_dark: Claims that the sender keeps and made out of touch.
    """

    member: data.Member
    count: int
    next_offset: int
    version: int
    log_reachable: bool
    leaving: bool
    echo: int = 0
    kept_in_dark: int = 0


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class StateRequest:
    """A starting steward asks a peer for the replayed state."""

    request_id: str


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class StateReply:
    """A peer's state; None where the peer has none of its own yet."""

    request_id: str
    snapshot: records.StateSnapshot | None


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionVote:
    """A watcher's vote on a member, spread by gossip."""

    watcher: str
    incarnation: data.Incarnation
    suspect: bool


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ViewUpdate:
    """A steward hands a view to its entry."""

    view: data.View


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ViewTaken:
    """An entry tells which configuration version is in force there."""

    version: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class DemandReport:
    """An entry tells its steward what was asked of it.

    Attributes:
      calls: Calls by model or adapter since the last report.
      interval_ms: The time that the counts cover.
    """

    calls: dict[str, int]
    interval_ms: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """An entry asks for the right to run a call once."""

    request_id: str
    claim: records.ClaimMade


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """The verdict; None where no verdict can be had now.

    With None the call must not run, and as no claim that could win was
    confirmed, the entry reports it as not run.
    """

    request_id: str
    verdict: data.ClaimVerdict | None


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLookup:
    """An entry asks whether an earlier claim has settled meanwhile."""

    request_id: str
    claim: records.ClaimMade


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimForward:
    """A steward passes a claim on to the leader of the deciding group."""

    request_id: str
    zone: str
    claim: records.ClaimMade
    only_look: bool = False


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeForward:
    """A steward passes an outcome on to the leader of the group."""

    request_id: str
    zone: str
    settled: records.ClaimSettled


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """An entry tells what became of a claim that it won."""

    request_id: str
    settled: records.ClaimSettled


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Something asked for has taken effect, or not."""

    request_id: str
    ok: bool


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class EventsRequest:
    """An operator or a steward collects the time line."""

    request_id: str
    limit: int
    call_id: str = ""


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class EventsReply:
    """Events of one or more processes, as plain maps of `ops.timeline`."""

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
    """What a steward knows of one peer."""

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
