"""Claims for calls that run at most once: the first claim on the log wins.

A caller without an answer sends a pass log or an order again, perhaps to
another instance at the same moment. The claim is logged before the call is
dispatched, so a second arrival finds it, gets the first one's answer, and
never runs the call.
"""

import dataclasses

from sesamecross.core import data
from sesamecross.core import records


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claimed call.

    Attributes:
      executed: None while the outcome is unknown.
      answer: The stored answer, if there is one.
    """

    claim_id: str
    name: str
    call_digest: str
    holder: data.Incarnation
    executed: bool | None = None
    answer: data.Answer | None = None


@dataclasses.dataclass(slots=True)
class ClaimTable:
    """Claims by name, oldest first, and each claim id's name.

    `gone` lists holders that will never settle their open claims. The field
    names are part of the state dump.
    """

    by_name: dict[str, Claim] = dataclasses.field(default_factory=dict)
    name_of: dict[str, str] = dataclasses.field(default_factory=dict)
    gone: list[data.Incarnation] = dataclasses.field(default_factory=list)


MAX_GONE_HOLDERS = 5000


def name_of(caller: str, service: str, key: str) -> str:
    """Returns the name under which a call is claimed.

    Keys are scoped by caller: two callers may choose the same key.
    """
    return f"{len(caller)}:{caller}/{len(service)}:{service}/{key}"


def record_claim(
    table: ClaimTable, record: records.ClaimMade, remembered: int
) -> data.ClaimVerdict:
    """Decides a claim at its position on the log.

    Args:
      table: Changed in place.
      record: The claim.
      remembered: How many claims are kept; the oldest settled go first.

    Returns:
      The verdict for the claimant.
    """
    name = name_of(record.caller, record.service, record.key)
    existing = table.by_name.get(name)
    if existing is not None:
        if existing.claim_id == record.claim_id:
            return data.ClaimVerdict(data.ClaimState.WON, existing.claim_id)
        return verdict_of(table, existing, record.call_digest)
    claim = Claim(record.claim_id, name, record.call_digest, record.holder)
    table.by_name[name] = claim
    table.name_of[record.claim_id] = name
    _evict_oldest(table, remembered)
    return data.ClaimVerdict(data.ClaimState.WON, record.claim_id)


def verdict_of(
    table: ClaimTable, claim: Claim, call_digest: str
) -> data.ClaimVerdict:
    """Returns the verdict for a later claim of the same name."""
    holder = claim.holder.instance
    if claim.call_digest != call_digest:
        return data.ClaimVerdict(
            data.ClaimState.MISMATCH, claim.claim_id, holder
        )
    if claim.executed is None:
        # If the holder died before it recorded an outcome, the call may
        # have run: it is never run again and its outcome is unknown.
        is_holder_gone = claim.holder in table.gone
        state = (
            data.ClaimState.UNKNOWN
            if is_holder_gone
            else data.ClaimState.IN_PROGRESS
        )
        return data.ClaimVerdict(state, claim.claim_id, holder)
    if claim.answer is None:
        return data.ClaimVerdict(
            data.ClaimState.UNKNOWN, claim.claim_id, holder
        )
    return data.ClaimVerdict(
        data.ClaimState.SETTLED, claim.claim_id, holder, claim.answer
    )


def settle(table: ClaimTable, record: records.ClaimSettled) -> None:
    """Records an outcome; the first outcome of a claim is final.

    A claim whose call was not dispatched is removed, so that the caller may
    send the call again under the same key.
    """
    name = table.name_of.get(record.claim_id)
    if name is None:
        return
    claim = table.by_name[name]
    if claim.executed is not None:
        return
    if not record.executed:
        del table.by_name[name]
        del table.name_of[record.claim_id]
        return
    table.by_name[name] = dataclasses.replace(
        claim, executed=True, answer=record.answer
    )


def mark_holder_gone(table: ClaimTable, incarnation: data.Incarnation) -> None:
    """Records that a holder will never settle its open claims."""
    if incarnation not in table.gone:
        table.gone.append(incarnation)
        del table.gone[:-MAX_GONE_HOLDERS]


def _evict_oldest(table: ClaimTable, remembered: int) -> None:
    """Evicts the oldest settled claims; open claims are always kept."""
    for _ in range(len(table.by_name)):
        if len(table.by_name) <= remembered:
            return
        name = next(iter(table.by_name))
        claim = table.by_name.pop(name)
        if claim.executed is None:
            table.by_name[name] = claim
        else:
            table.name_of.pop(claim.claim_id, None)
