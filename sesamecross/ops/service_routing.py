"""Chooses among the upstreams of a plain service, and judges its calls.

Why: whether a call may be repeated is declared, not guessed from luck; where
nothing is declared, HTTP's own definition of idempotent methods holds.
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
      path: The path behind `/services/NAME`.
    """
    for rule in service.calls:
        if method in rule.methods and path.startswith(rule.path):
            return rule.idempotent
    return method in _IDEMPOTENT_METHODS


class ServiceRouter:
    """One entry's choice of service upstreams. Deterministic."""

    __slots__ = ("_zone", "_rng", "_own", "_breakers")

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng
        self._own: dict[str, int] = {}
        self._breakers: dict[str, retry.Breaker] = {}

    def choose(
        self,
        service: data.Service,
        upstreams: Mapping[str, data.Upstream],
        draining: frozenset[str],
        excluded: frozenset[str],
        now_ms: int,
    ) -> data.Upstream | None:
        """Returns the upstream for one call, or None if there is none.

        A call may be older than the declarations, so a service may name
        upstreams that are not declared any more.
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
        least = min(self._own.get(name, 0) for name in pool)
        best = [n for n in pool if self._own.get(n, 0) == least]
        return upstreams[self._rng.choice(sorted(best))]

    def _breaker(self, name: str) -> retry.Breaker:
        return self._breakers.setdefault(name, retry.Breaker())

    def call_started(self, name: str) -> None:
        """Counts a call that is open at an upstream."""
        self._own[name] = self._own.get(name, 0) + 1

    def call_ended(self, name: str, ok: bool, now_ms: int) -> None:
        """Counts the end of a call."""
        self._own[name] = self._own.get(name, 0) - 1
        if ok:
            self._breaker(name).succeeded()
        else:
            self._breaker(name).failed(now_ms)
