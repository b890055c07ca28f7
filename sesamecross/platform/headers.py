"""The platform's headers on requests and answers.

Why: callers and upstreams speak in headers whose names are the platform's.
They are read once into the project's records here, and written from them.
Names are compared in lower case.
"""

from collections.abc import Iterable

from sesamecross.core import serving
from sesamecross.ports import http_codec

_REQUEST_ID = b"request-id"
_DEADLINE = b"deadline-ms"
# The prompt's tokens and the most tokens of the answer, not what was used.
_TOKENS = b"token-usage"
_MODEL = b"model"
_PARTS = b"prompt-prefix"
_LAST_EVENT_ID = b"last-event-id"
_SIGNATURE = b"response-signature"
_NOT_EXECUTED = b"not-executed"
_INSTANCE_ID = b"instance-id"
_EXPECTED_INSTANCE = b"expected-instance"
_URGENCY = b"request-priority"
_MISDIRECTED = 421

# Concern one connection only (RFC 9110) and are never passed on.
_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Set by this system alone. A caller who sent one could reserve memory or
# give its request a rank that operators did not.
_SYSTEM_HEADERS = frozenset(
    (
        _DEADLINE,
        _EXPECTED_INSTANCE,
        _URGENCY,
        b"expected-version",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
_NOT_FORWARDED = _CONNECTION_HEADERS | _SYSTEM_HEADERS


def parse_request_head(
    headers: Iterable[serving.Header],
) -> http_codec.RequestHead:
    """Reads a caller's headers; names are in lower case."""
    known = dict(headers)
    return http_codec.RequestHead(
        known.get(_REQUEST_ID, b"").decode("latin-1"),
        _seconds(known.get(_DEADLINE)),
        known.get(_LAST_EVENT_ID, b"").decode("latin-1"),
        _call(known),
    )


def _seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return max(0.0, float(value) * 0.001)
    except ValueError:
        return None


def _call(known: dict[bytes, bytes]) -> serving.ModelCall | None:
    name = known.get(_MODEL, b"").decode("latin-1")
    if not name:
        return None
    model, _, adapter = name.partition("/")
    prompt, _, output = known.get(_TOKENS, b"").partition(b",")
    return serving.ModelCall(
        model,
        adapter,
        _whole(prompt),
        _whole(output),
        _parts(known.get(_PARTS, b"")),
    )


def _whole(value: bytes) -> int:
    text = value.strip()
    return int(text) if text.isdigit() else 0


def _parts(value: bytes) -> tuple[serving.PromptPart, ...]:
    parts = []
    for item in value.split(b","):
        part_id, colon, tokens = item.strip().partition(b":")
        if colon:
            name = part_id.decode("latin-1")
            parts.append(serving.PromptPart(name, _whole(tokens)))
    return tuple(parts)


def upstream_request_headers(
    request: serving.Request, passing: http_codec.ForwardContext
) -> list[serving.Header]:
    """Returns the headers under which a request is passed on."""
    dropped = _NOT_FORWARDED | _listed_in_connection(request.headers)
    out = [one for one in request.headers if one[0] not in dropped]
    last_event_id = passing.last_event_id
    if last_event_id and last_event_id != request.last_event_id:
        out = [one for one in out if one[0] != _LAST_EVENT_ID]
        out.append((_LAST_EVENT_ID, last_event_id.encode("latin-1")))
    out.append((_DEADLINE, b"%d" % max(1, int(passing.left_s * 1000))))
    out.extend(expecting(passing.instance_id))
    if passing.urgency is not None:
        out.append((_URGENCY, b"%d" % min(9, max(0, passing.urgency))))
    return out


def _listed_in_connection(
    headers: Iterable[serving.Header],
) -> frozenset[bytes]:
    names: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            names.update(one.strip().lower() for one in value.split(b","))
    # What a caller lists here must not take away what tells its request
    # from others.
    return frozenset(names - {_REQUEST_ID, b"host", _MODEL, _TOKENS, _PARTS})


def caller_response_headers(
    headers: Iterable[serving.Header],
) -> list[serving.Header]:
    """Returns the headers of an upstream's answer that are passed on."""
    return [one for one in headers if one[0] not in _CONNECTION_HEADERS]


def parse_response_head(
    status: int, headers: Iterable[serving.Header]
) -> http_codec.ResponseHead:
    """Reads the head of an upstream's answer."""
    known = dict(headers)
    is_misdirected = status == _MISDIRECTED
    content_type = known.get(b"content-type", b"")
    return http_codec.ResponseHead(
        known.get(_REQUEST_ID, b"").decode("latin-1"),
        bool(known.get(_SIGNATURE)),
        is_misdirected or _NOT_EXECUTED in known,
        is_misdirected,
        b"content-encoding" in known,
        content_type.startswith(b"text/event-stream"),
        known.get(_INSTANCE_ID, b"").decode("latin-1"),
    )


def refusal(
    request_id: str, retry_after_s: float | None
) -> list[serving.Header]:
    """Returns the headers of an answer of the system's own."""
    headers = []
    if request_id:
        headers.append((_REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%.2f" % retry_after_s))
    return headers


def expecting(instance_id: str) -> list[serving.Header]:
    """Returns the header by which only one life of an upstream answers."""
    return [(_EXPECTED_INSTANCE, instance_id.encode("latin-1"))]
