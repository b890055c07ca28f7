"""Versioned items that spread by gossip over the overlay's streams.

Upstream reports, demand and suspicion votes must reach every steward that
needs them within a second or two, at a bounded number of bytes. Each version
is sent once per stream; a newer version replaces an unsent one, so a slow
stream gets fewer updates and never builds up a queue.
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
    """A versioned item.

    Attributes:
      key: Kind and name, such as "report/advice-1".
      wall_ms: First part of the version's timestamp.
      count: Second part of it.
      value: A record in plain form, or None to withdraw the item.
      zone: Where it was made.
      everywhere: Whether it leaves that zone.
    """

    key: str
    wall_ms: int
    count: int
    value: Any
    zone: str
    everywhere: bool

    @property
    def version(self) -> hlc.Timestamp:
        """The timestamp that orders this item's versions."""
        return hlc.Timestamp(self.wall_ms, self.count)


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class Items:
    """A message of items between stewards."""

    items: tuple[Item, ...]


class PeerVersions:
    """The item versions that a stream's peer is known to have."""

    __slots__ = ("peer", "zone", "_known")

    def __init__(self, peer: str, zone: str):
        self.peer = peer
        self.zone = zone
        self._known: dict[str, hlc.Timestamp] = {}

    def mark_known(self, item: Item) -> None:
        """Records that the peer has this version."""
        known = self._known.get(item.key)
        if known is None or known < item.version:
            self._known[item.key] = item.version

    def lacks(self, item: Item) -> bool:
        """Tells whether the peer may need this version."""
        known = self._known.get(item.key)
        return known is None or known < item.version


class ItemStore:
    """The newest version of each item that this steward knows."""

    __slots__ = ("_zone", "_items", "_change_count")

    def __init__(self, zone: str):
        self._zone = zone
        # In the order of change, so that new versions are found at the end.
        self._items: dict[str, Item] = {}
        self._change_count = 0

    @property
    def change_count(self) -> int:
        """Number of versions stored so far; it only grows."""
        return self._change_count

    def put(self, item: Item) -> bool:
        """Stores an item; tells whether it was newer."""
        known = self._items.get(item.key)
        if known is not None and known.version >= item.version:
            return False
        self._items.pop(item.key, None)
        self._items[item.key] = item
        self._change_count += 1
        while len(self._items) > MAX_ITEMS:
            self._items.pop(next(iter(self._items)))
        return True

    def get(self, key: str) -> Any:
        """Returns the value under `key`, or None."""
        item = self._items.get(key)
        return item.value if item else None

    def version_of(self, key: str) -> hlc.Timestamp | None:
        """Returns the version of the item under `key`, or None."""
        item = self._items.get(key)
        return item.version if item else None

    def with_prefix(self, prefix: str) -> Iterator[Item]:
        """Yields items whose key starts with `prefix`."""
        for key, item in self._items.items():
            if key.startswith(prefix):
                yield item

    def delta_for(self, peer_versions: PeerVersions, limit: int) -> list[Item]:
        """Returns items that the peer lacks, newest first; marks them known.

        Args:
          peer_versions: The stream's peer.
          limit: How many items one message may carry.
        """
        delta = []
        for item in reversed(self._items.values()):
            crosses_zones = peer_versions.zone != self._zone
            if crosses_zones and not item.everywhere:
                continue
            if peer_versions.lacks(item):
                peer_versions.mark_known(item)
                delta.append(item)
                if len(delta) >= limit:
                    break
        return delta
