"""Derives the outcome of a logged order from an engine's status.

An order's answer can be lost, so only a later status of the engine settles
it. That a status does not mention the order proves nothing by itself.
"""

from sesamecross.core import records
from sesamecross.ops import intents
from sesamecross.ports import engine_http

_Outcome = records.IntentOutcome


def outcome_of(
    intent: intents.Intent,
    status: engine_http.EngineStatus,
    checks_fencing: bool,
) -> records.IntentOutcome | None:
    """Returns the outcome of the order, or None while it is open.

    An order that the engine does not know was lost or is late. Only an engine
    that checks fencing tokens and has seen a higher one will refuse it on
    arrival; at any other engine it may still be applied.
    """
    if status.report.epoch != intent.order.epoch:
        return _Outcome.VOID
    match status.orders.get(intent.order.order_id):
        case engine_http.OrderState.APPLIED:
            return _Outcome.APPLIED
        case engine_http.OrderState.REFUSED:
            return _Outcome.VOID
        case engine_http.OrderState.LOADING:
            return None
    if checks_fencing and status.fence > intent.fence:
        return _Outcome.VOID
    return None
