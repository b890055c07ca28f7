"""Reports the models that callers ask for and that no engine holds.

An operator sees from it which models are missed, for how long, and whether a
load of them is planned.
"""

import structlog

from sesamecross.ops.fleet import load_turns
from sesamecross.ops.fleet import placement_turns
from sesamecross.ops.fleet import placement_types
from sesamecross.runtime import metrics as metrics_lib

# How often missed models are logged, and how many of them at a time.
LOG_INTERVAL_S = 5.0
MAX_LOGGED = 10


class MissedModelReports:
    """Log lines and metrics of the models that are missed, and of turns."""

    __slots__ = ("_log", "_metrics", "_next_log_s")

    def __init__(
        self, log: structlog.stdlib.BoundLogger, metrics: metrics_lib.Metrics
    ):
        self._log = log
        self._metrics = metrics
        # When missed models are logged next, by service.
        self._next_log_s: dict[str, float] = {}

    def clear(self) -> None:
        """Ends the reports: another instance plans from now on."""
        for service in self._next_log_s:
            self._set_gauges(service, 0, 0.0)
        self._next_log_s.clear()

    def record_turn(self, service: str, turn: placement_turns.Turn) -> None:
        """Logs and counts a load that is planned by age."""
        self._metrics.count(
            "sesamecross_turn_loads_total",
            "Loads planned because a model's turn has come.",
            {"service": service},
        )
        self._log.info(
            "turn",
            service=service,
            model=turn.model,
            missed_ms=round(turn.missed_s * 1000),
            waiting=turn.waiting,
            upstream=turn.instance_id,
            takes_ms=round(turn.takes_s * 1000),
        )

    def report(
        self,
        service: str,
        inputs: placement_types.Inputs,
        target: placement_types.PlacementTarget,
    ) -> None:
        """Updates the metrics, and logs at intervals which models are missed.

        Args:
          service: The service of the models.
          inputs: What the plan was made from.
          target: The plan.
        """
        names = load_turns.line(inputs)
        longest_s = inputs.demand_for(names[0]).missed_s if names else 0.0
        self._set_gauges(service, len(names), longest_s)
        if inputs.now_s < self._next_log_s.get(service, 0.0):
            return
        self._next_log_s[service] = inputs.now_s + LOG_INTERVAL_S
        for place, name in enumerate(names[:MAX_LOGGED]):
            demand = inputs.demand_for(name)
            self._log.info(
                "model missed",
                service=service,
                model=name,
                missed_ms=round(demand.missed_s * 1000),
                place=place,
                line=len(names),
                waiting=demand.waiting,
                patient=demand.patient_waiting,
                planned=sorted(
                    engine for engine, held in target.items() if name in held
                ),
            )

    def _set_gauges(self, service: str, missed: int, longest_s: float) -> None:
        labels = {"service": service}
        self._metrics.set(
            "sesamecross_models_missed",
            "Models that requests wait for and that no engine holds.",
            labels,
            missed,
        )
        self._metrics.set(
            "sesamecross_model_longest_miss_seconds",
            "For how long callers have asked for one of them in vain at most.",
            labels,
            longest_s,
        )
