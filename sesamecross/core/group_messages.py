"""Messages between the members and witnesses of a claim group."""

import dataclasses

from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.core import records


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicatedClaim:
    """A claim that a participant stores in addition to the log.

    Attributes:
      settled: Its outcome, if known.
    """

    claim: records.ClaimMade
    settled: records.ClaimSettled | None = None


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAsk:
    """The leader asks a participant to store a claim."""

    zone: str
    epoch: int
    members: tuple[data.Incarnation, ...]
    witnesses: tuple[data.Incarnation, ...]
    claim: records.ClaimMade


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAck:
    """A participant has stored a claim, or says why it has not.

    Attributes:
      known: The earlier claim of the same name, if that is the reason.
      dark: The sender has been disconnected from the log and all witnesses
        for long enough that claims may count without them.
    """

    zone: str
    epoch: int
    claim_id: str
    sender: data.Incarnation
    granted: bool
    known: ReplicatedClaim | None
    dark: bool


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class GroupFence:
    """A member of a new epoch fences out a participant of earlier epochs.

    A participant that has replied stores no claims of epochs before `epoch`.
    """

    zone: str
    epoch: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class GroupFenced:
    """A participant has stopped, and hands over its stored claims.

    Attributes:
      next_offset: How far the sender has replayed the log. Claims on the
        log before this offset are not included.
      active_epoch: The newest epoch in which the sender was active.
      in_contact: Members that died while connected to the sender.
      doubt: The sender is in doubt, which is not yet recorded on the log.
    """

    zone: str
    epoch: int
    sender: data.Incarnation
    next_offset: int
    active_epoch: int
    kept: tuple[ReplicatedClaim, ...]
    in_contact: tuple[data.Incarnation, ...]
    doubt: bool = False


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWithdrawn:
    """The leader abandons a claim that never counted."""

    zone: str
    claim_id: str


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTold:
    """A claim's outcome, for participants to store."""

    zone: str
    settled: records.ClaimSettled
