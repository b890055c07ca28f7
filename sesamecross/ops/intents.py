"""Orders to engines that were logged but are not resolved yet.

An order can be lost, delayed, duplicated, or sent by a holder that was paused
past its lease. The memory ledger counts each unresolved intent as possibly
applied, so an engine's true memory use never exceeds what is counted.
"""

import dataclasses

from sesamecross.core import data
from sesamecross.core import records
from sesamecross.ops import leases


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """An unresolved order and the lease under which it was logged.

    Attributes:
      fence: The fencing token: the intent's own position on the log. It grows
        with each order, over all holders, and engines that check fencing
        compare it.
    """

    order: data.Order
    zone: str
    lease: int
    fence: int


@dataclasses.dataclass(slots=True)
class IntentState:
    """Unresolved intents by order id, in log order."""

    unresolved: dict[str, Intent] = dataclasses.field(default_factory=dict)


def write(
    state: IntentState,
    lease_state: leases.LeaseState,
    fence: int,
    record: records.IntentWritten,
) -> Intent | None:
    """Adds the intent if its writer still holds the zone's lease.

    Returns:
      The intent, which its writer may now send; None if the writer's lease was
      superseded before this record, so that it must not send.
    """
    if not leases.is_current(lease_state, record.zone, record.lease):
        return None
    intent = Intent(record.order, record.zone, record.lease, fence)
    state.unresolved[record.order.order_id] = intent
    return intent


def resolve(
    state: IntentState, record: records.IntentResolved
) -> Intent | None:
    """Removes and returns the intent; None if it was resolved before."""
    return state.unresolved.pop(record.order_id, None)


def of_upstream(state: IntentState, upstream: str) -> list[Intent]:
    """Returns the unresolved intents of one upstream, oldest first."""
    return [
        i for i in state.unresolved.values() if i.order.upstream == upstream
    ]
