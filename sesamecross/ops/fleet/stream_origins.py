"""Where streams began that callers may resume, and which instances know it.

Events of two software versions of a service don't fit together, and upstreams
don't check it. So a stream goes on only at the version that began it. Its
caller resumes it through any instance, often because the one that began it is
gone. So an instance tells a few others, its keepers, where a stream began,
before it forwards the first event. All instances pick the same keepers from the
caller's id of the attempt, so the number of messages does not depend on the
number of instances.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
import math

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.utils import rendezvous

# How many other instances are told where a stream began.
KEEPERS = 4
# How many are asked: the instance that began the stream may be one of those
# picked, and then told the next one in its own place.
ASKED_KEEPERS = KEEPERS + 1
# Origins that an instance keeps at the most, some MB.
MAX_ORIGINS = 20_000
# A stream may be resumed for this many timeouts of its route. A caller's
# deadline covers all its tries, and is usually the timeout.
LIFE_TIMEOUTS = 2.0
# Limits the life that another instance states.
MAX_LIFE_S = 3600.0
_KEY_BYTES = 16


class StreamOrigin(msgspec.Struct, frozen=True):
    """The service and software version that began a stream.

    Attributes:
      version: None if the upstream's version was unknown. The stream can't be
        resumed then.
    """

    service: str
    version: str | None


class KnownOrigin(msgspec.Struct, frozen=True):
    """What an instance knows of a stream's origin.

    Attributes:
      origin: None if two origins were reported for the stream.
      learned_s: When this instance learned of it.
      expires_s: Until when the stream may be resumed.
    """

    origin: StreamOrigin | None
    learned_s: float
    expires_s: float


def life_s(route: serving.Route) -> float:
    """Returns for how long a stream of a route may be resumed."""
    return route.timeout_s * LIFE_TIMEOUTS


def bounded_life_s(life_s: float) -> float:
    """Returns a life that another process stated, within bounds."""
    if math.isnan(life_s):
        return 0.0
    return min(max(life_s, 0.0), MAX_LIFE_S)


def stream_key(host: str, attempt_id: str) -> bytes:
    """Returns the key of a stream, of the same size for ids of any length.

    Callers of another host name other streams by the same id.
    """
    return hashlib.blake2b(
        f"{host}\0{attempt_id}".encode(), digest_size=_KEY_BYTES
    ).digest()


class OriginTable:
    """The origins that one instance knows; bounded in number and time."""

    __slots__ = ("_known", "dropped")

    def __init__(self) -> None:
        self._known: dict[bytes, KnownOrigin] = {}
        # Origins that were dropped early, as there were too many.
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._known)

    def record(
        self, key: bytes, origin: StreamOrigin, now_s: float, life_s: float
    ) -> None:
        """Records where a stream began, or that it can still be resumed."""
        known = self.find(key, now_s)
        expires_s = now_s + life_s
        learned_s = now_s
        if known is not None:
            expires_s = max(expires_s, known.expires_s)
            learned_s = known.learned_s
            if known.origin != origin:
                # A caller used the id twice. Nobody can say which stream it
                # means.
                origin = None
        elif len(self._known) >= MAX_ORIGINS:
            del self._known[next(iter(self._known))]
            self.dropped += 1
        self._known[key] = KnownOrigin(origin, learned_s, expires_s)

    def find(self, key: bytes, now_s: float) -> KnownOrigin | None:
        """Returns what is known of a stream that may still be resumed."""
        known = self._known.get(key)
        if known is None or known.expires_s <= now_s:
            return None
        return known

    def live(self, now_s: float) -> Iterator[tuple[bytes, KnownOrigin]]:
        """Yields the streams that may be resumed; forgets the others."""
        for key, known in list(self._known.items()):
            if known.expires_s <= now_s:
                del self._known[key]
            elif known.origin is not None:
                yield key, known


class KeeperRing:
    """Picks the keepers of streams, in several availability zones.

    Consistent hashing: an instance that starts or stops changes the keepers of
    few streams. Finding them takes the same time in a deployment of any size.
    """

    __slots__ = ("_zones", "members")

    def __init__(self, members: Iterable[fm.Member]):
        # By zone, the hashes of its members' names in order, and the members.
        self._zones: dict[str, tuple[list[int], list[fm.Member]]] = {}
        self.members = {member.name: member for member in members}
        by_zone: dict[str, list[tuple[int, str]]] = {}
        for member in self.members.values():
            point = rendezvous.weight("keeper", member.name)
            by_zone.setdefault(member.zone, []).append((point, member.name))
        for zone, placed in by_zone.items():
            placed.sort()
            self._zones[zone] = (
                [point for point, _ in placed],
                [self.members[name] for _, name in placed],
            )

    def _ordered(self, key: bytes) -> Iterator[fm.Member]:
        """Yields all members, starting with one of each zone."""
        point = int.from_bytes(key[:8], "big")
        text = key.hex()
        zones = [
            self._zones[zone]
            for zone in rendezvous.top(text, self._zones, len(self._zones))
        ]
        starts = [bisect.bisect(points, point) for points, _ in zones]
        depths = max((len(members) for _, members in zones), default=0)
        for depth in range(depths):
            for start, (_, members) in zip(starts, zones, strict=True):
                if depth < len(members):
                    yield members[(start + depth) % len(members)]

    def keepers(
        self, key: bytes, me: str, count: int = KEEPERS
    ) -> list[fm.Member]:
        """Returns the first `count` keepers of a stream other than `me`."""
        found = []
        for member in self._ordered(key):
            if len(found) == count:
                break
            if member.name != me:
                found.append(member)
        return found
