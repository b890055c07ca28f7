"""Routes calls to plain services and tells which may be repeated.

Whether a call is idempotent is declared. Where nothing is declared, HTTP's own
definition of idempotent methods applies.
"""

from collections.abc import Mapping
import random

from sesamecross.core import data
from sesamecross.ops import retry

_IDEMPOTENT_METHODS = frozenset(
    {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}
)


def is_idempotent(service: data.Service, method: str, path: str) -> bool:
    """Tells whether a call may be repeated.

    Args:
      service: The declared service.
      method: The HTTP method.
      path: The path after `/services/NAME`.
    """
    for rule in service.calls:
        if method in rule.methods and path.startswith(rule.path):
            return rule.idempotent
    return method in _IDEMPOTENT_METHODS


class ServiceRouter:
    """One entry's choice of service upstreams. Deterministic."""

    __slots__ = ("_zone", "_rng", "_open_calls", "_breakers")

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng
        self._open_calls: dict[str, int] = {}
        self._breakers: dict[str, retry.CircuitBreaker] = {}

    def choose(
        self,
        service: data.Service,
        upstreams: Mapping[str, data.Upstream],
        draining: frozenset[str],
        excluded: frozenset[str],
        now_ms: int,
    ) -> data.Upstream | None:
        """Returns the upstream for a call, or None if there is none.

        A call may have begun under older declarations, so its service may name
        upstreams that are no longer declared.
        """
        names = [
            name
            for name in service.upstreams
            if name in upstreams
            and name not in draining
            and name not in excluded
            and self._breaker(name).allows(now_ms)
        ]
        if not names:
            return None
        local = [n for n in names if upstreams[n].zone == self._zone]
        pool = local or names
        fewest_calls = min(self._open_calls.get(name, 0) for name in pool)
        least_loaded = [
            n for n in pool if self._open_calls.get(n, 0) == fewest_calls
        ]
        return upstreams[self._rng.choice(sorted(least_loaded))]

    def _breaker(self, name: str) -> retry.CircuitBreaker:
        return self._breakers.setdefault(name, retry.CircuitBreaker())

    def call_started(self, name: str) -> None:
        """Counts a call that was opened at an upstream."""
        self._open_calls[name] = self._open_calls.get(name, 0) + 1

    def call_ended(self, name: str, ok: bool, now_ms: int) -> None:
        """Counts the end of a call and its result."""
        self._open_calls[name] = self._open_calls.get(name, 0) - 1
        if ok:
            self._breaker(name).succeeded()
        else:
            self._breaker(name).failed(now_ms)
