"""Records kept on the platform's log, and the envelope that groups them.

Why: order on the log is the only agreement there is. Every instance replays
these records by the same pure rules (`ops.replay`), so a record states what
somebody wants and on what it was based; whether it holds is decided at
replay and nowhere else.
"""

import dataclasses
import enum
from typing import Any

from sesamecross.core import codec
from sesamecross.core import data


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPublished:
    """A change of configuration, made from the version `base_version`.

    Attributes:
      change_id: Unique for each change; a repeated publish bears the same.
      patch: RFC 7396 merge patch against the base version's tree.
      digest: Digest of the whole tree after the patch.
      format: Format of declarations that the change needs.
    """

    change_id: str
    base_version: int
    author: str
    format: int
    patch: dict
    digest: str
    note: str = ""


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class MemberJoined:
    """A steward started."""

    member: data.Member


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class MemberLeft:
    """A steward stopped as planned, or another proved that it is dead.

    Attributes:
      dead: Its address refused connections, or another incarnation answered
        there. Whoever replays this has the proof too.
      in_contact: It died while in touch with the writer.
    """

    incarnation: data.Incarnation
    dead: bool = False
    in_contact: bool = False


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTaken:
    """Somebody takes a zone's placement lease.

    Attributes:
      supersedes: Offset of the lease that this one ends, 0 for none. The
        record only counts if that lease is still the current one, so of
        two racing challengers the first on the log wins.
    """

    zone: str
    holder: data.Incarnation
    supersedes: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The holder is alive; changes nothing but when others may challenge."""

    zone: str
    lease: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReleased:
    """The holder gives the lease back at a planned stop."""

    zone: str
    lease: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class IntentWritten:
    """An order that the holder of `lease` is about to send."""

    zone: str
    lease: int
    order: data.Order


class IntentOutcome(enum.Enum):
    """How an intent ended.

    APPLIED: the engine confirmed it. VOID: the engine refused it or
    restarted, and can never apply it any more.
    """

    APPLIED = "applied"
    VOID = "void"


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class IntentResolved:
    """What became of an order."""

    order_id: str
    outcome: IntentOutcome


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimMade:
    """A call that may not be repeated is claimed before it is dispatched.

    Attributes:
      call_digest: Digest of method, path and body, to tell a repeated call
        from another one under the same key.
      holder: The steward beside the entry that asks.
      zone: The caller's home zone, whose group decides.
      epoch: The group's epoch under which the claim is made.
      counted: The group has decided already and the record only keeps it.
        Otherwise the record counts only while `epoch` is current.
    """

    claim_id: str
    caller: str
    key: str
    service: str
    call_digest: str
    holder: data.Incarnation
    zone: str = ""
    epoch: int = 0
    counted: bool = False


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettled:
    """What became of a claimed call.

    Attributes:
      executed: False only when no byte of the call left the claimer; the
        key may then be claimed again.
      answer: The service's answer; None where it is not known or was
        larger than what is remembered.
    """

    claim_id: str
    executed: bool
    answer: data.Answer | None


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class GroupChanged:
    """A zone's claim group gets other members.

    Attributes:
      base_epoch: The epoch that this one follows; the record only counts if
        that is the current one. The new epoch is one more.
      members: Stewards that decide claims of the zone's callers.
      witnesses: Stewards of other zones that keep what is claimed while the
        log is away, and that fence members out.
    """

    zone: str
    base_epoch: int
    members: tuple[data.Incarnation, ...]
    witnesses: tuple[data.Incarnation, ...]


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class GroupSealed:
    """All claims of epochs before `epoch` are accounted for.

    Attributes:
      doubt: Claims may have been made that nobody alive knows of.
    """

    zone: str
    epoch: int
    doubt: bool


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class DoubtCleared:
    """An operator's word that no unknown claims of a zone matter."""

    zone: str
    author: str


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class HomeReleased:
    """A zone's group has stopped deciding for a caller that moved away.

    Attributes:
      epoch: The group's epoch; the record only counts while it is current,
        so that a leader that was replaced meanwhile can't release.
      forced: An operator's word that the earlier home is gone for good.
    """

    caller: str
    from_zone: str
    epoch: int
    forced: bool = False


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class DrainMarked:
    """An operator drains an upstream, or ends the drain."""

    upstream: str
    draining: bool
    author: str


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The whole replayed state after all records up to `upto`.

    Attributes:
      digest: SHA-256 of `data` before compression.
      data: Compressed state in the form of `ops.replay.SharedState.dump`.
    """

    upto: int
    digest: str
    data: bytes


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """What one append to the log carries.

    Attributes:
      append_id: Unique for each append. An append whose answer was lost is
        sent again under the same id, and replay counts only the first.
      entries: Records in the plain form of `codec.to_plain`.
      stamp: The writer's hybrid clock, for the time line only.
    """

    append_id: str
    writer: str
    entries: tuple[Any, ...]
    stamp: tuple[int, int] = (0, 0)
