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
    remaining = []
    options: set[bytes] = set()
    for header in headers:
        name = header[0].lower()
        if name == _CONNECTION:
            options.update(map(bytes.strip, header[1].lower().split(b",")))
        elif name not in _NAMES and not name.startswith(_PROXY_PREFIX):
            remaining.append(header)
    options -= kept
    return [header for header in remaining if header[0].lower() not in options]
