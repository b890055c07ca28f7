"""Orders to engines that were written down and are not resolved yet.

Why: an order can be lost, late, doubled, or sent by a holder that was paused
past its lease. The memory ledger counts each unresolved intent as possibly
applied, so the true memory of an engine never exceeds what is counted.
"""

import dataclasses

from sesamecross.core import data
from sesamecross.core import records
from sesamecross.ops import leases


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """An unresolved order and the lease under which it was written.

    Attributes:
      fence: The intent's own place on the log; grows with each order, over
        all holders, and is what engines that check fencing compare.
    """

    order: data.Order
    zone: str
    lease: int
    fence: int


@dataclasses.dataclass(slots=True)
class IntentState:
    """Unresolved intents by order id, in the order of the log."""

    unresolved: dict[str, Intent] = dataclasses.field(default_factory=dict)


def write(
    state: IntentState,
    lease_state: leases.LeaseState,
    fence: int,
    record: records.IntentWritten,
) -> Intent | None:
    """Adds the intent if its writer still holds the zone's lease.

    Returns:
      The intent, which its writer may now send; None for a writer whose
      lease was superseded before this record: it must not send.
    """
    if not leases.is_current(lease_state, record.zone, record.lease):
        return None
    intent = Intent(record.order, record.zone, record.lease, fence)
    state.unresolved[record.order.order_id] = intent
    return intent


def resolve(
    state: IntentState, record: records.IntentResolved
) -> Intent | None:
    """Removes the intent; returns it, or None if it was resolved before."""
    return state.unresolved.pop(record.order_id, None)


def of_upstream(state: IntentState, upstream: str) -> list[Intent]:
    """Returns the unresolved intents of one upstream, oldest first."""
    return [
        i for i in state.unresolved.values() if i.order.upstream == upstream
    ]
