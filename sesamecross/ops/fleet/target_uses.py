"""Counts this instance's requests in flight by engine, model and adapter.

An adapter in use must not be unloaded, an evicted model is unloaded only after
its requests have ended, and the lease holder sees only its own instance's
requests.
"""

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving


class TargetUses:
    """Requests in flight by engine and target."""

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: dict[tuple[str, str], int] = {}

    def begin(self, instance_id: str, call: serving.ModelCall) -> None:
        """Counts a request that is sent to an engine."""
        key = (instance_id, call.target)
        self._running[key] = self._running.get(key, 0) + 1

    def end(self, instance_id: str, call: serving.ModelCall) -> None:
        """Removes a request that has ended there."""
        key = (instance_id, call.target)
        left = self._running.get(key, 0) - 1
        if left > 0:
            self._running[key] = left
        else:
            self._running.pop(key, None)

    def rows(self) -> list[fm.TargetLoad]:
        """Returns the counts as message fields."""
        return [
            fm.TargetLoad(instance_id, target, running)
            for (instance_id, target), running in sorted(self._running.items())
        ]
