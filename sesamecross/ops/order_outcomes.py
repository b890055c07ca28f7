"""What an engine's status proves about an order that was written down.

Why: an order's answer can be lost, so only the engine's own later word
settles it, and the absence of a word settles nothing by itself.
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
    """Returns what became of the order, or None while that is open.

    An order that the engine does not know was lost or is late. Only an
    engine that checks fencing and has seen a higher number will refuse it
    when it comes; from any other engine it stays possible.
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
