"""The platform's headers on requests and responses.

Parses them into the gateway's records, and creates them from those records.
Header names are in lower case.
"""

from collections.abc import Iterable
import math

from sesamecross.core import connection_headers
from sesamecross.core import retry_after
from sesamecross.core import serving
from sesamecross.ops.fleet import caller_keys
from sesamecross.ports import http_codec

_REQUEST_ID = b"request-id"
_DEADLINE_MS = b"deadline-ms"
# The prompt's tokens and the limit on the answer's tokens, not those used.
_TOKEN_USAGE = b"token-usage"
_MODEL = b"model"
_PROMPT_PREFIX = b"prompt-prefix"
_LAST_EVENT_ID = b"last-event-id"
# Names an attempt, not an event.
_RESUMES = b"resumes"
_SIGNATURE = b"response-signature"
_NOT_EXECUTED = b"not-executed"
_INSTANCE_ID = b"instance-id"
_REJECTION_LIMIT = b"server-brittle"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_AUTHORIZATION = b"authorization"
_KEY_SCHEME = b"bearer"
_TENANT = b"tenant"
_EXPECTED_INSTANCE = b"expected-instance"
_REQUEST_PRIORITY = b"request-priority"
_MISDIRECTED_STATUS = 421
# Only with these is Retry-After the upstream's wish, not a caller's hint.
_BACKOFF_STATUSES = (429, 503)

# Only the gateway may set these. With them, a caller could reserve engine
# memory or give its request a priority that operators did not grant.
_SYSTEM_HEADERS = frozenset(
    (
        _DEADLINE_MS,
        _EXPECTED_INSTANCE,
        _REQUEST_PRIORITY,
        _TENANT,
        b"expected-version",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
# A caller must not be able to remove the headers that identify its request and
# what it asks for.
_IDENTIFYING_HEADERS = frozenset(
    (
        b"host",
        _REQUEST_ID,
        _MODEL,
        _TOKEN_USAGE,
        _PROMPT_PREFIX,
        _LAST_EVENT_ID,
        _RESUMES,
    )
)


def parse_request_head(
    headers: Iterable[serving.Header],
) -> http_codec.RequestHead:
    """Parses a caller's request headers; names are in lower case."""
    headers = tuple(headers)
    by_name = dict(headers)
    return http_codec.RequestHead(
        by_name.get(_REQUEST_ID, b"").decode("latin-1"),
        _parse_deadline_s(by_name.get(_DEADLINE_MS)),
        by_name.get(_LAST_EVENT_ID, b"").decode("latin-1"),
        _parse_model_call(by_name),
        by_name.get(_RESUMES, b"").decode("latin-1"),
        _parse_key_digest(headers),
        _parse_tokens(by_name.get(_TOKEN_USAGE)),
    )


def _parse_key_digest(headers: Iterable[serving.Header]) -> bytes:
    values = [value for name, value in headers if name == _AUTHORIZATION]
    if len(values) != 1:
        return b""
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != _KEY_SCHEME or not key:
        return b""
    return caller_keys.digest(key)


def _parse_tokens(value: bytes | None) -> int | None:
    if value is None:
        return None
    prompt, _, output = value.partition(b",")
    if not prompt.strip().isdigit():
        return None
    return _parse_count(prompt) + _parse_count(output)


def _parse_deadline_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        deadline_s = float(value) * 0.001
    except ValueError:
        return None
    if not math.isfinite(deadline_s):
        return None
    return max(0.0, deadline_s)


def _parse_model_call(by_name: dict[bytes, bytes]) -> serving.ModelCall | None:
    name = by_name.get(_MODEL, b"").decode("latin-1")
    if not name:
        return None
    model, _, adapter = name.partition("/")
    prompt, _, output = by_name.get(_TOKEN_USAGE, b"").partition(b",")
    return serving.ModelCall(
        model,
        adapter,
        _parse_count(prompt),
        _parse_count(output),
        _parse_prompt_parts(by_name.get(_PROMPT_PREFIX, b"")),
    )


def _parse_count(value: bytes) -> int:
    text = value.strip()
    return int(text) if text.isdigit() else 0


def _parse_prompt_parts(value: bytes) -> tuple[serving.PromptPart, ...]:
    parts = []
    for item in value.split(b","):
        part_id, colon, tokens = item.strip().partition(b":")
        if colon:
            name = part_id.decode("latin-1")
            parts.append(serving.PromptPart(name, _parse_count(tokens)))
    return tuple(parts)


def upstream_request_headers(
    request: serving.Request, context: http_codec.ForwardContext
) -> list[serving.Header]:
    """Returns the headers for forwarding a request to an upstream."""
    headers = [
        header
        for header in connection_headers.without(
            request.headers, _IDENTIFYING_HEADERS
        )
        if header[0] not in _SYSTEM_HEADERS
    ]
    last_event_id = context.last_event_id
    if last_event_id and last_event_id != request.last_event_id:
        headers = [header for header in headers if header[0] != _LAST_EVENT_ID]
        headers.append((_LAST_EVENT_ID, last_event_id.encode("latin-1")))
    headers.append((_DEADLINE_MS, b"%d" % max(1, int(context.left_s * 1000))))
    headers.extend(expected_instance_header(context.instance_id))
    if context.takes_keys:
        headers = [one for one in headers if one[0] != _AUTHORIZATION]
    if request.workspace is not None:
        name = request.workspace.name.encode("latin-1", "replace")
        headers.append((_TENANT, name))
    if context.urgency is not None:
        headers.append(
            (_REQUEST_PRIORITY, b"%d" % min(9, max(0, context.urgency)))
        )
    return headers


def parse_response_head(
    status: int, headers: Iterable[serving.Header]
) -> http_codec.ResponseHead:
    """Parses the head of an upstream's response."""
    by_name = dict(headers)
    is_misdirected = status == _MISDIRECTED_STATUS
    content_type = by_name.get(b"content-type", b"")
    return http_codec.ResponseHead(
        by_name.get(_REQUEST_ID, b"").decode("latin-1"),
        bool(by_name.get(_SIGNATURE)),
        is_misdirected or _NOT_EXECUTED in by_name,
        is_misdirected,
        b"content-encoding" in by_name,
        content_type.startswith(b"text/event-stream"),
        by_name.get(_INSTANCE_ID, b"").decode("latin-1"),
        _parse_rejection_limit(by_name.get(_REJECTION_LIMIT)),
        _parse_backoff_s(status, by_name.get(_RETRY_AFTER)),
        by_name.get(_LEAVING, b"0").strip() not in (b"", b"0"),
    )


def _parse_backoff_s(status: int, value: bytes | None) -> float | None:
    if status not in _BACKOFF_STATUSES:
        return None
    return retry_after.parse_s(value)


def _parse_rejection_limit(value: bytes | None) -> int | None:
    if value is None:
        return None
    # A value that can't be read still says that there is a limit.
    return _parse_count(value)


def refusal(
    request_id: str, retry_after_s: float | None
) -> list[serving.Header]:
    """Returns the headers of a response that the gateway itself creates."""
    headers = []
    if request_id:
        headers.append((_REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%.2f" % retry_after_s))
    return headers


def expected_instance_header(instance_id: str) -> list[serving.Header]:
    """Returns the header that restricts a request to one `instance_id`."""
    return [(_EXPECTED_INSTANCE, instance_id.encode("latin-1"))]
