"""Knows in which services more models are declared than engines hold at once.

There, a model is on few engines, and all its requests meet at these. What is
decided differently for that reason is in effect in such services only.
"""

from sesamecross.core import serving
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import patient_demand

# How often the answer is determined anew: engines come and go.
CHECK_INTERVAL_S = 1.0


class ScarceModels:
    """Answers by service, kept for a short time."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        # Until when the answer is used, and the answer, by service.
        self._known: dict[str, tuple[float, serving.EngineSpec | None]] = {}

    def spec(
        self, state: state_lib.State, service: str, now_s: float
    ) -> serving.EngineSpec | None:
        """Returns what a service's engines can load; None if all models fit.

        It is also None while the engines or the configuration are unknown.
        """
        until_s, spec = self._known.get(service, (0.0, None))
        if now_s < until_s:
            return spec
        spec = _engine_spec(state, service)
        if spec is not None and not _is_scarce(state, service, spec):
            spec = None
        self._known[service] = (now_s + CHECK_INTERVAL_S, spec)
        return spec

    def is_possible(
        self, state: state_lib.State, service: str, now_s: float
    ) -> bool:
        """Whether models of a service are scarce, or that is unknown."""
        if _engine_spec(state, service) is None:
            return True
        return self.spec(state, service, now_s) is not None


def _engine_spec(
    state: state_lib.State, service: str
) -> serving.EngineSpec | None:
    configuration = state.configuration
    declared = configuration.services.get(service) if configuration else None
    return declared.engine if declared is not None else None


def _is_scarce(
    state: state_lib.State, service: str, spec: serving.EngineSpec
) -> bool:
    engines = sum(
        known.entry.service == service and not known.is_replaced
        for known in state.directory
    )
    return patient_demand.is_in_effect(spec, engines)
