"""Counts this instance's requests under way by engine, model and adapter.

Why: an adapter that a request uses must not be taken away, a model that makes
way is unloaded only once its requests have ended, and the one who gives
orders sees only the requests of its own instance.
"""

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving


class TargetUses:
    """Requests under way by engine and target."""

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: dict[tuple[str, str], int] = {}

    def begin(self, instance_id: str, call: serving.ModelCall) -> None:
        """A request goes to an engine."""
        key = (instance_id, call.target)
        self._running[key] = self._running.get(key, 0) + 1

    def end(self, instance_id: str, call: serving.ModelCall) -> None:
        """It ended there."""
        key = (instance_id, call.target)
        left = self._running.get(key, 0) - 1
        if left > 0:
            self._running[key] = left
        else:
            self._running.pop(key, None)

    def rows(self) -> list[fm.TargetLoad]:
        """Returns the counts as they are told."""
        return [
            fm.TargetLoad(instance_id, target, running)
            for (instance_id, target), running in sorted(self._running.items())
        ]
