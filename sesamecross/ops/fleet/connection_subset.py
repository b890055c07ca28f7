"""Prefers upstreams to which an instance has an idle connection.

Each pair of an instance and an upstream has connections of its own. With many
instances and few requests each, most of them are idle for longer than they are
kept. If an instance sends its requests to a part of equally good upstreams,
fewer connections serve the same requests.

A model is held by few engines, and any instance may be asked for it, so no
upstream is excluded. The preference decides only among candidates that the
choice regards as equally good: a loaded, slow or distant one is left as before.
"""

from collections.abc import Sequence
import math
import random

from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import idle_limits

# Half-life of the count of requests.
_HALF_LIFE_S = 10.0
# Connections stay scarce until requests come this many times as often.
_HYSTERESIS = 1.5
# How long the result is kept: upstreams are counted for it.
_RESULT_TTL_S = 1.0


def choose(
    close: Sequence[directory.KnownUpstream], rng: random.Random
) -> directory.KnownUpstream:
    """Returns one of the candidates that are equally good, at least one."""
    connected = [known for known in close if known.has_idle_connection]
    return rng.choice(connected or close)


class ServiceUse:
    """Decides whether connections to a service's upstreams are scarce.

    They are if an instance sends each of them a request less often than idle
    connections are kept, and if each has fewer slots than there are instances:
    then most instances have no request there at any moment.
    """

    __slots__ = ("_requests", "_began_s", "_at_s", "_decided_s", "_is_scarce")

    def __init__(self, now_s: float):
        self._requests = 0.0
        self._began_s = self._at_s = now_s
        self._decided_s = now_s - _RESULT_TTL_S
        self._is_scarce = False

    def record_request(self, now_s: float) -> None:
        """Counts a request of this instance to the service."""
        self._requests = self._decayed(now_s) + 1.0
        self._at_s = now_s

    def is_due(self, now_s: float) -> bool:
        """Whether the decision is so old that it has to be made again."""
        return now_s - self._decided_s >= _RESULT_TTL_S

    def decide(
        self, instances: int, upstreams: int, slots: int, now_s: float
    ) -> bool:
        """Decides whether connections are scarce.

        Args:
          instances: How many instances send requests.
          upstreams: How many upstreams the service has.
          slots: The slots of one of them.
          now_s: Monotonic time.
        """
        self._decided_s = now_s
        kept = self.rate(now_s) * idle_limits.MAX_IDLE_S
        if self._is_scarce:
            kept /= _HYSTERESIS
        self._is_scarce = instances > slots and upstreams > kept
        return self._is_scarce

    def rate(self, now_s: float) -> float:
        """Returns the requests per second, smoothed."""
        elapsed_s = now_s - self._began_s
        # The time that the decayed count stands for.
        counted_s = (1 - 0.5 ** (elapsed_s / _HALF_LIFE_S)) * (
            _HALF_LIFE_S / math.log(2)
        )
        return self._decayed(now_s) / max(idle_limits.MAX_IDLE_S, counted_s)

    @property
    def is_scarce(self) -> bool:
        """The latest decision."""
        return self._is_scarce

    def _decayed(self, now_s: float) -> float:
        return self._requests * 0.5 ** (
            max(0.0, now_s - self._at_s) / _HALF_LIFE_S
        )
