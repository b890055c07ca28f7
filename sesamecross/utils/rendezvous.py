"""Rendezvous hashing: all instances select the same names independently.

Which instance polls an upstream, watches another one or is the delegate of a
zone must be the same at all instances with the same list, and change for few
names when one is added to or removed from the list.
"""

from collections.abc import Iterable

import xxhash


def weight(key: str, name: str) -> int:
    """Returns the weight of `name` for `key`, the same on every instance."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def top(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the `count` names with the largest weights, largest first."""
    ranked = sorted(names, key=lambda name: (weight(key, name), name))
    return ranked[: -count - 1 : -1] if count else []
