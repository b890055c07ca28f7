"""The engines' own calls: reports and orders.

Why: the one place that knows how an engine is asked for its state and told
to load or unload. Which order is given, when and by whom is decided in
`sesamecross.ops`.
"""

import msgspec

from sesamecross.core import serving
from sesamecross.platform import catalog
from sesamecross.platform import untrusted

REPORT_PATH = b"/v1/report"
ORDER_PATH = b"/v1/order"
JSON_TYPE = b"application/json"


class _WireReport(msgspec.Struct, frozen=True, rename="camel"):
    born: untrusted.Number = 0
    models: list[catalog.WireResidentModel] = []
    busy: bool = False
    # Orders accepted since the engine's start.
    sequence: untrusted.Number = 0
    # MODEL/ADAPTER@VERSION of adapters in transit.
    pending: list[str] = []
    available: catalog.WireCopies = catalog.WireCopies()
    queued: untrusted.Number = 0
    in_flight: untrusted.Number = 0
    kv_used: untrusted.Number = 0
    kv_total: untrusted.Number = 0


_report_decoder = msgspec.json.Decoder(_WireReport)


def report(body: bytes) -> serving.EngineReport | None:
    """Returns an engine's report, or None where the body holds none."""
    try:
        wire = untrusted.decode(_report_decoder, body)
    except untrusted.NotUnderstood:
        return None
    return serving.EngineReport(
        wire.born,
        wire.sequence,
        wire.busy,
        catalog.held_models(wire.models),
        frozenset(name.partition("@")[0] for name in wire.pending),
        catalog.copies(wire.available),
        wire.queued,
        wire.in_flight,
        wire.kv_used,
        wire.kv_total,
    )


def order_body(order: serving.EngineOrder) -> bytes:
    """Returns the body of an order."""
    fields: dict[str, object] = {
        "operation": "load" if order.loads else "unload",
        "model": order.model,
        "precondition": order.expected_order_count,
        "holder": order.holder,
        "fencingToken": order.fence,
    }
    if order.adapter:
        fields["adapter"] = order.adapter
    return msgspec.json.encode(fields)


_ANSWERS = {
    202: serving.OrderAnswer.ACCEPTED,
    200: serving.OrderAnswer.ALREADY_DONE,
    409: serving.OrderAnswer.CONFLICT,
    412: serving.OrderAnswer.FENCED,
    421: serving.OrderAnswer.OTHER_INCARNATION,
}


def parse_order_answer(status: int) -> serving.OrderAnswer:
    """Returns what an engine's status says of an order."""
    return _ANSWERS.get(status, serving.OrderAnswer.REFUSED)
