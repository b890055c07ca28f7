"""Which software versions of a service can have begun a stream.

A stream whose origin nobody knows may go on if no other version can have begun
it. One version that serves now does not show that: the version that began the
stream may have left since, and an instance that has just started, or was cut
off from the store, has not seen what served before.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import msgspec

from sesamecross.core import serving
from sesamecross.ops.fleet import stream_origins

# An instance that reads no news of upstreams for longer may miss a version that
# came and left meanwhile.
MAX_UNREAD_S = 10.0


class SeenVersions(msgspec.Struct, frozen=True):
    """The versions of a service that an instance has seen in some time.

    Attributes:
      is_complete: Whether it would have seen any other.
    """

    versions: frozenset[str]
    is_complete: bool

    def plus(self, other: "SeenVersions") -> "SeenVersions":
        """Returns what two instances have seen together."""
        return SeenVersions(
            self.versions | other.versions,
            self.is_complete or other.is_complete,
        )


class VersionHistory:
    """The versions that one instance has seen, and since when."""

    __slots__ = (
        "_last_seen_s",
        "_complete_since_s",
        "_restored_s",
        "_recorded_s",
    )

    def __init__(self) -> None:
        # By service and version.
        self._last_seen_s: dict[tuple[str, str], float] = {}
        self._complete_since_s = math.inf
        # When the store's records were taken over.
        self._restored_s = -math.inf
        # When the known upstreams were last recorded.
        self._recorded_s = math.inf

    def record_upstream(self, entry: serving.Upstream, now_s: float) -> None:
        """Records one upstream, which may be gone at the next record of all."""
        self._last_seen_s[entry.service, entry.version] = now_s

    def record(
        self,
        upstreams: Iterable[serving.Upstream],
        read_s: float | None,
        now_s: float,
    ) -> None:
        """Records the known upstreams.

        Args:
          upstreams: Those that serve, or may still do.
          read_s: When the news of them was last read; None if never.
          now_s: Monotonic time.
        """
        for entry in upstreams:
            self.record_upstream(entry, now_s)
        # A process that was frozen has news again before it notices.
        is_frozen = now_s - self._recorded_s > MAX_UNREAD_S
        self._recorded_s = now_s
        if read_s is None or now_s - read_s > MAX_UNREAD_S:
            self._complete_since_s = math.inf
        elif is_frozen or self._complete_since_s == math.inf:
            self._complete_since_s = now_s

    def mark_complete(self) -> None:
        """Records that nothing served before: the deployment is new."""
        self._complete_since_s = -math.inf

    def is_complete(self, life_s: float, now_s: float) -> bool:
        """Whether it holds all versions that served in that time."""
        return now_s - self._complete_since_s >= life_s

    def adopt(
        self, seen: Mapping[str, SeenVersions], life_s: float, now_s: float
    ) -> None:
        """Takes over what another instance has seen, if that is complete.

        Args:
          seen: By service, for all services.
          life_s: The time that it covers.
          now_s: Monotonic time.
        """
        if not seen or not all(one.is_complete for one in seen.values()):
            return
        for service, one in seen.items():
            for version in one.versions:
                self._last_seen_s[service, version] = now_s
        self._complete_since_s = min(self._complete_since_s, now_s - life_s)

    def restore(
        self,
        origins: Iterable[stream_origins.StreamOrigin],
        life_s: float,
        now_s: float,
    ) -> None:
        """Takes over the store's records, for an instance that has started.

        Args:
          origins: The versions that are recorded.
          life_s: They are all that served for that time; 0 if it is unknown.
          now_s: Monotonic time.
        """
        self.record_origins(origins, now_s)
        if life_s > 0:
            self._restored_s = now_s
            self._complete_since_s = min(self._complete_since_s, now_s - life_s)

    def record_origins(
        self, origins: Iterable[stream_origins.StreamOrigin], now_s: float
    ) -> None:
        """Records versions that another instance has seen."""
        for origin in origins:
            self._last_seen_s[origin.service, origin.version] = now_s

    def is_restored(self, life_s: float, now_s: float) -> bool:
        """Whether the store's records tell of a part of that time."""
        return now_s - self._restored_s < life_s

    def seen_of_all(
        self, life_s: float, now_s: float
    ) -> frozenset[stream_origins.StreamOrigin]:
        """Returns the versions of all services seen in that time."""
        return frozenset(
            stream_origins.StreamOrigin(service, version)
            for (service, version), at_s in self._last_seen_s.items()
            if now_s - at_s <= life_s
        )

    def seen(
        self, service: str, life_s: float, now_s: float, is_current: bool
    ) -> SeenVersions:
        """Returns the versions that can have begun a stream.

        Args:
          service: The stream's service.
          life_s: For how long a stream may be resumed.
          now_s: Monotonic time.
          is_current: Whether this instance would know of a version that has
            just appeared.
        """
        versions = frozenset(
            version
            for (of_service, version), at_s in self._last_seen_s.items()
            if of_service == service and now_s - at_s <= life_s
        )
        return SeenVersions(
            versions, is_current and self.is_complete(life_s, now_s)
        )

    def forget(self, older_s: float) -> None:
        """Forgets versions that were last seen before that time."""
        self._last_seen_s = {
            key: at_s
            for key, at_s in self._last_seen_s.items()
            if at_s >= older_s
        }
