"""Versioned items that spread over the overlay's streams.

Why: upstreams' reports, demand and votes of suspicion must reach whoever
needs them within a second or two, at a bounded number of bytes. Each item is
passed on once per stream and version; a newer version replaces an older one
before it was sent, so a slow stream gets fewer updates and never a queue.
"""

from collections.abc import Iterator
import dataclasses
from typing import Any

from sesamecross.core import codec
from sesamecross.core import hlc

MAX_ITEMS = 50_000


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One versioned item.

    Attributes:
      key: Kind and name, such as "report/advice-1".
      wall_ms: First half of the version's stamp. count: second half.
      value: A record in plain form, or None to withdraw the item.
      zone: Where it was made. everywhere: whether it leaves that zone.
    """

    key: str
    wall_ms: int
    count: int
    value: Any
    zone: str
    everywhere: bool

    @property
    def version(self) -> hlc.Timestamp:
        """The stamp that orders this item's versions."""
        return hlc.Timestamp(self.wall_ms, self.count)


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class Items:
    """Items on a stream between stewards."""

    items: tuple[Item, ...]


class PeerVersions:
    """What one stream's other side is known to have."""

    __slots__ = ("peer", "zone", "_known")

    def __init__(self, peer: str, zone: str):
        self.peer = peer
        self.zone = zone
        self._known: dict[str, hlc.Timestamp] = {}

    def mark_known(self, item: Item) -> None:
        """The other side has this item."""
        known = self._known.get(item.key)
        if known is None or known < item.version:
            self._known[item.key] = item.version

    def lacks(self, item: Item) -> bool:
        """Tells whether the other side may need this item."""
        known = self._known.get(item.key)
        return known is None or known < item.version


class ItemStore:
    """The newest version of each item that this steward knows."""

    __slots__ = ("_zone", "_items", "_changed")

    def __init__(self, zone: str):
        self._zone = zone
        # In the order of change, so that a link finds news at the end.
        self._items: dict[str, Item] = {}
        self._changed = 0

    @property
    def change_count(self) -> int:
        """Counts the items taken in; grows with each."""
        return self._changed

    def put(self, item: Item) -> bool:
        """Takes an item in; tells whether it was news."""
        known = self._items.get(item.key)
        if known is not None and known.version >= item.version:
            return False
        self._items.pop(item.key, None)
        self._items[item.key] = item
        self._changed += 1
        while len(self._items) > MAX_ITEMS:
            self._items.pop(next(iter(self._items)))
        return True

    def get(self, key: str) -> Any:
        """Returns the value under `key`, or None."""
        item = self._items.get(key)
        return item.value if item else None

    def with_prefix(self, prefix: str) -> Iterator[Item]:
        """Yields items whose key begins with `prefix`."""
        for key, item in self._items.items():
            if key.startswith(prefix):
                yield item

    def delta_for(self, link: PeerVersions, limit: int) -> list[Item]:
        """Returns items that the link lacks, newest first, and marks them.

        Args:
          link: The stream's other side.
          limit: How many items one message may carry.
        """
        news = []
        for item in reversed(self._items.values()):
            crosses = link.zone != self._zone
            if crosses and not item.everywhere:
                continue
            if link.lacks(item):
                link.mark_known(item)
                news.append(item)
                if len(news) >= limit:
                    break
        return news
