"""HTTP headers that apply to one connection only (RFC 9110, section 7.6.1).

A message that is passed on from one connection to another gets the framing of
the new one. With that of the old one beside it, its receiver could not tell
where it ends. Header names are compared in lower case.
"""

from collections.abc import Iterable

from sesamecross.core import serving

_CONNECTION = b"connection"
_NAMES = frozenset(
    (
        _CONNECTION,
        b"content-length",
        b"expect",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_PROXY_PREFIX = b"proxy-"


def without(
    headers: Iterable[serving.Header],
    kept: frozenset[bytes] = frozenset(),
) -> list[serving.Header]:
    """Returns the headers that apply to the message itself.

    Args:
      headers: Those received.
      kept: Names that the sender can't remove by its `Connection` header.
    """
    headers = list(headers)
    dropped = _NAMES | (_connection_options(headers) - kept)
    return [header for header in headers if not _is_dropped(header[0], dropped)]


def _is_dropped(name: bytes, dropped: frozenset[bytes]) -> bool:
    name = name.lower()
    return name in dropped or name.startswith(_PROXY_PREFIX)


def _connection_options(headers: list[serving.Header]) -> frozenset[bytes]:
    names: set[bytes] = set()
    for name, value in headers:
        if name.lower() == _CONNECTION:
            names.update(option.strip().lower() for option in value.split(b","))
    return frozenset(names)
