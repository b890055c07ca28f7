"""Typed records to and from `msgpack` bytes.

Why: bare maps between processes hide mistakes until they matter. Each
message type is registered under its class name; decoding checks every field
against the class and gives a `Problem` instead of an exception, so hostile
bytes can't reach a decision.
"""

from typing import Any

import msgpack
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sesamecross.core import errors

_TYPES: dict[str, type] = {}

# The bounds of what one record may hold; a frame's own size is bounded by
# the transport.
_MAX_ITEMS = 200_000


def register(cls: type) -> type:
    """Registers a dataclass as a message; use as a decorator."""
    _TYPES[cls.__name__] = cls
    return cls


def to_plain(record: Any) -> list:
    """Returns `[type name, fields]` with only built-in types."""
    fields = msgspec.to_builtins(record, builtin_types=(bytes,))
    return [type(record).__name__, fields]


def encode(record: Any) -> bytes:
    """Returns a registered record as bytes."""
    return msgpack.packb(to_plain(record))


def from_plain(plain: Any) -> Result[Any, errors.Problem]:
    """Returns the record in `plain`, checked against its type."""
    match plain:
        case [str(name), dict(fields)] if name in _TYPES:
            try:
                return Success(msgspec.convert(fields, _TYPES[name]))
            except msgspec.ValidationError as error:
                return Failure(_problem(name, str(error)))
        case [str(name), _]:
            return Failure(_problem(name, "is not a known message"))
    return Failure(_problem("", "is not a message"))


def decode(data: bytes) -> Result[Any, errors.Problem]:
    """Returns the record in `data`, or why there is none."""
    try:
        plain = msgpack.unpackb(
            data, max_array_len=_MAX_ITEMS, max_map_len=_MAX_ITEMS
        )
    # Each malformed input has its own exception type in the library; none
    # of them may end the process that reads a stream.
    except (ValueError, TypeError, RecursionError) as error:
        return Failure(_problem("", f"is not msgpack ({error})"))
    return from_plain(plain)


def _problem(name: str, reason: str) -> errors.Problem:
    return errors.Problem(
        "message",
        name,
        reason,
        "check that both sides run compatible versions",
        errors.Kind.PROTOCOL,
    )
