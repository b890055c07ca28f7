"""Reads what other programs wrote, without failing on any of it.

Why: records, answers and addresses come from writers that this system does
not know. A decoder that fails in a way that nobody expected takes down the
component that calls it, and at last the process, as the same record is read
again at each start.
"""

import ipaddress
from typing import Annotated
from typing import TypeVar

import msgspec

LAST_PORT = 65_535
# Numbers go on to other instances in 64 bits.
_LARGEST = 2**63 - 1

Number = Annotated[int, msgspec.Meta(ge=-_LARGEST, le=_LARGEST)]
NonNegative = Annotated[int, msgspec.Meta(ge=0, le=_LARGEST)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=_LARGEST)]

_Wire = TypeVar("_Wire")


class NotUnderstood(Exception):
    """The bytes do not hold what they should."""


def decode(decoder: "msgspec.json.Decoder[_Wire]", data: bytes) -> _Wire:
    """Returns what the bytes hold.

    Raises:
      NotUnderstood: They hold something else. There is no other error: also
        nesting so deep that the decoder gives up is told so.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise NotUnderstood(str(error)) from error


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
    # Other digits than these count as digits too, but make no port.
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return False
    return is_ip(host) and 1 <= int(port) <= LAST_PORT
