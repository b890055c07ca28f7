"""Encodes typed records as `msgpack` bytes and decodes them.

Each message type is registered under its class name. Decoding validates every
field against the class, so errors that untyped maps would hide are found at
the boundary. Invalid input gives a `Problem` instead of an exception.
"""

from typing import Any

import msgpack
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sesamecross.core import errors

_TYPES: dict[str, type] = {}

# Largest array or map in a record. The transport bounds the frame size.
_MAX_ITEMS = 200_000


def register(cls: type) -> type:
    """Class decorator that registers a dataclass as a message type."""
    _TYPES[cls.__name__] = cls
    return cls


def to_plain(record: Any) -> list:
    """Returns a record as `[type name, fields]` of built-in types only."""
    fields = msgspec.to_builtins(record, builtin_types=(bytes,))
    return [type(record).__name__, fields]


def encode(record: Any) -> bytes:
    """Encodes a registered record."""
    return msgpack.packb(to_plain(record))


def from_plain(plain: Any) -> Result[Any, errors.Problem]:
    """Returns the record in `plain`, validated against its type."""
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
    """Returns the record in `data`, or the reason why it is invalid."""
    try:
        plain = msgpack.unpackb(
            data, max_array_len=_MAX_ITEMS, max_map_len=_MAX_ITEMS
        )
    # The library raises different exceptions for different malformed inputs.
    # None of them may end the process that reads a stream.
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
