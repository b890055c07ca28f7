"""Records on the platform's log, and the envelope that groups them.

The order of records on the log is the system's only means of agreement. Every
instance replays them by the same pure rules (`ops.replay`). A record states a
request and the state that it was based on; whether it takes effect is decided
only at replay.
"""

import dataclasses
import enum
from typing import Any

from sesamecross.core import codec
from sesamecross.core import data


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPublished:
    """A change of configuration, based on the version `base_version`.

    Attributes:
      change_id: Unique for each change; a retried publish has the same.
      patch: RFC 7396 merge patch against the base version's tree.
      digest: Digest of the whole tree after the patch.
      format: Format version of declarations that the change requires.
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
    """A steward stopped as planned, or another one proved that it is dead.

    Attributes:
      dead: Its address refused connections, or another incarnation answered
        there. Readers of the log may rely on this as proof.
      in_contact: It died while connected to the writer.
    """

    incarnation: data.Incarnation
    dead: bool = False
    in_contact: bool = False


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTaken:
    """A steward takes a zone's placement lease.

    Attributes:
      supersedes: Offset of the lease that this one ends, 0 for none. The
        record takes effect only if that lease is still the current one, so
        the first of two racing challengers on the log wins.
    """

    zone: str
    holder: data.Incarnation
    supersedes: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The holder is alive; only delays when others may challenge the lease."""

    zone: str
    lease: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReleased:
    """The holder releases the lease at a planned stop."""

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
    """Outcome of an intent.

    APPLIED: the engine confirmed it. VOID: the engine refused it or
    restarted, and can no longer apply it.
    """

    APPLIED = "applied"
    VOID = "void"


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class IntentResolved:
    """The outcome of an order."""

    order_id: str
    outcome: IntentOutcome


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimMade:
    """A claim on a non-idempotent call, made before the call is dispatched.

    Attributes:
      call_digest: Digest of method, path and body, to distinguish a repeated
        call from a different call under the same key.
      holder: The steward beside the entry that asks.
      zone: The caller's home zone, whose group decides.
      epoch: The group's epoch under which the claim is made.
      counted: The group has already decided and the record only stores the
        claim. Otherwise the record counts only while `epoch` is current.
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
    """The outcome of a claimed call.

    Attributes:
      executed: False only if no byte of the call was sent; the key may then
        be claimed again.
      answer: The service's answer; None if it is unknown or was larger than
        the limit for stored answers.
    """

    claim_id: str
    executed: bool
    answer: data.Answer | None


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class GroupChanged:
    """The membership of a zone's claim group changes.

    Attributes:
      base_epoch: The epoch that this one follows; the record takes effect only
        if that is the current one. The new epoch is `base_epoch + 1`.
      members: Stewards that decide claims of the zone's callers.
      witnesses: Stewards of other zones that store claims while the log is
        unavailable, and that fence members out.
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
      doubt: Claims may have been made that no live participant knows of.
    """

    zone: str
    epoch: int
    doubt: bool


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class DoubtCleared:
    """An operator confirms that unknown claims of a zone can be ignored."""

    zone: str
    author: str


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class HomeReleased:
    """A zone's group has stopped deciding for a caller that moved away.

    Attributes:
      epoch: The group's epoch; the record takes effect only while it is
        current, so that a leader that has been replaced can't release.
      forced: An operator confirms that the previous home is gone for good.
    """

    caller: str
    from_zone: str
    epoch: int
    forced: bool = False


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class DrainMarked:
    """An operator starts or ends draining of an upstream."""

    upstream: str
    draining: bool
    author: str


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The whole replayed state after all records up to `upto`.

    Attributes:
      digest: SHA-256 of `data` before compression.
      data: Compressed state in the format of `ops.replay.SharedState.dump`.
    """

    upto: int
    digest: str
    data: bytes


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """The payload of one append to the log.

    Attributes:
      append_id: Unique for each append. An append whose answer was lost is
        sent again with the same id, and replay applies only the first.
      entries: Records in the form of `codec.to_plain`.
      stamp: The writer's HLC timestamp, for the time line only.
    """

    append_id: str
    writer: str
    entries: tuple[Any, ...]
    stamp: tuple[int, int] = (0, 0)
