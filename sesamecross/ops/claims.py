"""Calls that run at most once: the first claim on the log wins.

Why: a caller that got no answer sends a pass log or an order again, perhaps
to another instance at the same moment. The claim is written before the call
is dispatched, so whoever comes second finds it, gets the first's answer, and
never runs the call.
"""

import dataclasses

from sesamecross.core import data
from sesamecross.core import records


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claimed call.

    Attributes:
      executed: None while the outcome is open.
      answer: The remembered answer, where there is one.
    """

    claim_id: str
    name: str
    call_digest: str
    holder: data.Incarnation
    executed: bool | None = None
    answer: data.Answer | None = None


@dataclasses.dataclass(slots=True)
class ClaimTable:
    """Claims by name, oldest first, and the name of each claim id."""

    by_name: dict[str, Claim] = dataclasses.field(default_factory=dict)
    name_of: dict[str, str] = dataclasses.field(default_factory=dict)
    gone: list[data.Incarnation] = dataclasses.field(default_factory=list)


GONE_KEPT = 5000


def name_of(caller: str, service: str, key: str) -> str:
    """Returns the name under which a call is claimed.

    A key belongs to its caller: two callers may choose the same one.
    """
    return f"{len(caller)}:{caller}/{len(service)}:{service}/{key}"


def make(
    table: ClaimTable, record: records.ClaimMade, remembered: int
) -> data.ClaimVerdict:
    """Judges a claim at its place on the log.

    Args:
      table: Changed in place.
      record: The claim.
      remembered: How many claims are kept; the oldest settled go first.

    Returns:
      The verdict for the claimer.
    """
    name = name_of(record.caller, record.service, record.key)
    known = table.by_name.get(name)
    if known is not None:
        if known.claim_id == record.claim_id:
            return data.ClaimVerdict(data.ClaimState.WON, known.claim_id)
        return verdict_of(table, known, record.call_digest)
    claim = Claim(record.claim_id, name, record.call_digest, record.holder)
    table.by_name[name] = claim
    table.name_of[record.claim_id] = name
    _forget_oldest(table, remembered)
    return data.ClaimVerdict(data.ClaimState.WON, record.claim_id)


def verdict_of(
    table: ClaimTable, claim: Claim, call_digest: str
) -> data.ClaimVerdict:
    """Returns what a second arrival is told of a claim."""
    holder = claim.holder.instance
    if claim.call_digest != call_digest:
        return data.ClaimVerdict(
            data.ClaimState.MISMATCH, claim.claim_id, holder
        )
    if claim.executed is None:
        # The claimer died between claim and outcome: the call may or may
        # not have run, so it is never run again and said to be unknown.
        is_gone = claim.holder in table.gone
        state = (
            data.ClaimState.UNKNOWN if is_gone else data.ClaimState.IN_PROGRESS
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
    """Records an outcome; the first outcome of a claim stands.

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


def holder_gone(table: ClaimTable, incarnation: data.Incarnation) -> None:
    """Notes that a claimer will never settle its open claims."""
    if incarnation not in table.gone:
        table.gone.append(incarnation)
        del table.gone[:-GONE_KEPT]


def _forget_oldest(table: ClaimTable, remembered: int) -> None:
    """Forgets the oldest settled claims; an open one is never forgotten."""
    for _ in range(len(table.by_name)):
        if len(table.by_name) <= remembered:
            return
        name = next(iter(table.by_name))
        claim = table.by_name.pop(name)
        if claim.executed is None:
            table.by_name[name] = claim
        else:
            table.name_of.pop(claim.claim_id, None)
