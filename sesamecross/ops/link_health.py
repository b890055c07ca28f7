"""Tells whether an entry's own links to its upstreams have failed.

An upstream that can't be connected to is down, or only this entry is cut off
from it. An entry that reaches none of the upstreams that it tried is probably
cut off, and its calls are better served by way of another entry.
"""

# How long a connection that could not be opened says something.
FAILURE_TTL_MS = 10_000
# While calls go by way of another entry, one call in this time tries the own
# links first.
PROBE_INTERVAL_MS = 1_000


class LinkHealth:
    """When the last connections to upstreams succeeded or failed.

    Not thread-safe.
    """

    __slots__ = ("_failed_ms", "_reached_ms", "_probed_ms")

    def __init__(self) -> None:
        # By upstream.
        self._failed_ms: dict[str, int] = {}
        self._reached_ms = -FAILURE_TTL_MS
        self._probed_ms = -PROBE_INTERVAL_MS

    def record_failure(self, upstream: str, now_ms: int) -> None:
        """Records a connection that could not be opened."""
        if not self._failed_ms:
            self._probed_ms = now_ms
        self._failed_ms[upstream] = now_ms

    def record_contact(self, upstream: str, now_ms: int) -> None:
        """Records an upstream that accepted a connection."""
        self._failed_ms.pop(upstream, None)
        self._reached_ms = now_ms

    def has_failed(self, now_ms: int) -> bool:
        """Whether a connection to some upstream failed recently."""
        return any(
            now_ms - at_ms < FAILURE_TTL_MS
            for at_ms in self._failed_ms.values()
        )

    def is_cut_off(self, now_ms: int) -> bool:
        """Whether connections have failed, and none succeeded since."""
        if not self.has_failed(now_ms):
            return False
        return self._reached_ms < max(self._failed_ms.values())

    def take_probe(self, now_ms: int) -> bool:
        """Returns whether the own links should be tried again, and notes it."""
        if now_ms - self._probed_ms < PROBE_INTERVAL_MS:
            return False
        self._probed_ms = now_ms
        return True
