"""Decoding of untrusted input with a single kind of error.

Records, responses and addresses come from writers that this system does not
control. An unexpected exception of a decoder would stop the component that
calls it and finally the process, as the same record is read again at each
start.
"""

import ipaddress
from typing import Annotated
from typing import TypeVar

import msgspec

MAX_PORT = 65_535
# Numbers are passed on to other instances as 64-bit integers.
_MAX_INT64 = 2**63 - 1

Number = Annotated[int, msgspec.Meta(ge=-_MAX_INT64, le=_MAX_INT64)]
NonNegative = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=_MAX_INT64)]

_Wire = TypeVar("_Wire")


class DecodeError(Exception):
    """The input is not a valid value of the expected type."""


def decode(decoder: "msgspec.json.Decoder[_Wire]", data: bytes) -> _Wire:
    """Decodes `data`.

    Raises:
      DecodeError: The input is invalid. No other exception is raised, not even
        for nesting that is too deep for the decoder.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise DecodeError(str(error)) from error


def is_ip(text: str) -> bool:
    """Whether a text is an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def is_address(text: str) -> bool:
    """Whether a text is an IPv4 address and a port."""
    host, _, port = text.rpartition(":")
    # str.isdigit also accepts non-ASCII digits, which are invalid in a port.
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return False
    return is_ip(host) and 1 <= int(port) <= MAX_PORT
