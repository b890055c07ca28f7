"""Rendezvous hashing: everybody picks the same few without talking.

Why: who polls an upstream, who watches whom and who speaks for a zone must
come out alike at instances with the same list, and change for few names when
the list changes by one.
"""

from collections.abc import Iterable

import xxhash


def weight(key: str, name: str) -> int:
    """Returns the weight of `name` for `key`, the same everywhere."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def top(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the `count` names of the largest weight, best first."""
    ranked = sorted(names, key=lambda name: (weight(key, name), name))
    return ranked[: -count - 1 : -1] if count else []
