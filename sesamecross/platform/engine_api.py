"""Wire format of the engines' control API: reports and orders.

Which orders are given, when and by whom is decided in `sesamecross.ops`.
"""

import msgspec

from sesamecross.core import serving
from sesamecross.platform import catalog
from sesamecross.platform import untrusted

REPORT_PATH = b"/v1/report"
ORDER_PATH = b"/v1/order"
JSON_CONTENT_TYPE = b"application/json"


class _WireReport(msgspec.Struct, frozen=True, rename="camel"):
    born: untrusted.Number = 0
    models: list[catalog.WireResidentModel] = []
    busy: bool = False
    # Number of orders accepted since the engine's start.
    sequence: untrusted.Number = 0
    # MODEL/ADAPTER@VERSION of adapters being loaded.
    pending: list[str] = []
    available: catalog.WireCopies = catalog.WireCopies()
    queued: untrusted.Number = 0
    in_flight: untrusted.Number = 0
    kv_used: untrusted.Number = 0
    kv_total: untrusted.Number = 0


_report_decoder = msgspec.json.Decoder(_WireReport)


def report(body: bytes) -> serving.EngineReport | None:
    """Decodes an engine's report; returns None if it is invalid."""
    try:
        wire = untrusted.decode(_report_decoder, body)
    except untrusted.DecodeError:
        return None
    return serving.EngineReport(
        wire.born,
        wire.sequence,
        wire.busy,
        catalog.resident_models(wire.models),
        frozenset(name.partition("@")[0] for name in wire.pending),
        catalog.weight_copies(wire.available),
        wire.queued,
        wire.in_flight,
        wire.kv_used,
        wire.kv_total,
    )


def encode_order(order: serving.EngineOrder) -> bytes:
    """Returns the request body of an order."""
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


_ANSWER_BY_STATUS = {
    202: serving.OrderAnswer.ACCEPTED,
    200: serving.OrderAnswer.ALREADY_DONE,
    409: serving.OrderAnswer.CONFLICT,
    412: serving.OrderAnswer.FENCED,
    421: serving.OrderAnswer.OTHER_INCARNATION,
}


def parse_order_answer(status: int) -> serving.OrderAnswer:
    """Maps the status of an engine's response to an order answer."""
    return _ANSWER_BY_STATUS.get(status, serving.OrderAnswer.REFUSED)
