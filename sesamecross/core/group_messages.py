"""Messages between the participants of a claim group."""

import dataclasses

from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.core import records


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicatedClaim:
    """A claim that a participant keeps beside the log.

    Attributes:
      settled: Its outcome, where that is known.
    """

    claim: records.ClaimMade
    settled: records.ClaimSettled | None = None


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAsk:
    """The leader asks a participant to keep a claim."""

    zone: str
    epoch: int
    members: tuple[data.Incarnation, ...]
    witnesses: tuple[data.Incarnation, ...]
    claim: records.ClaimMade


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAck:
    """A participant keeps a claim, or tells why not.

    Attributes:
      known: An earlier claim of the same name, where that is why not.
      dark: The sender has been out of touch with the log and all witnesses
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
    """A member of a new epoch asks a participant of earlier ones to stop.

    Whoever has answered keeps no claim under an epoch before `epoch`.
    """

    zone: str
    epoch: int


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class GroupFenced:
    """A participant has stopped, and hands over what it keeps.

    Attributes:
      next_offset: How far the sender has replayed the log. Claims on the
        log before this are not repeated here.
      active_epoch: The newest epoch in which the sender was active.
      in_contact: Members that died while in touch with the sender.
      doubt: The sender is in doubt and the log does not say so yet.
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
    """The leader gives up a claim that never counted."""

    zone: str
    claim_id: str


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTold:
    """A claim's outcome, for participants to keep."""

    zone: str
    settled: records.ClaimSettled
