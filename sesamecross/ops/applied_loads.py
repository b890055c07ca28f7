"""Loads that engines have applied and that their reports do not show yet.

The log tells all zones at once that an order is resolved, while the report of
an engine in another zone arrives later, by gossip. In between, a report that
was taken during the load shows its memory in use but not its model, so the
model would seem to be held nowhere and be loaded a second time.
"""

import dataclasses

from sesamecross.core import data
from sesamecross.core import hlc
from sesamecross.core import records
from sesamecross.ops import intents
from sesamecross.ops import replay


@dataclasses.dataclass(frozen=True, slots=True)
class _AppliedLoad:
    """An applied load and when its outcome was logged."""

    intent: intents.Intent
    resolved: hlc.Timestamp


class AppliedLoads:
    """The last applied load of each engine and target, until it is reported."""

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        # By engine and target.
        self._loads: dict[str, dict[str, _AppliedLoad]] = {}

    def on_record(self, event: replay.AppliedRecord) -> None:
        """Notes the outcome of an order."""
        match event.record, event.result:
            case (
                records.IntentResolved(outcome=records.IntentOutcome.APPLIED),
                intents.Intent(order=order) as intent,
            ):
                loads = self._loads.setdefault(order.upstream, {})
                loads.pop(order.target, None)
                if order.action.loads:
                    loads[order.target] = _AppliedLoad(
                        intent, hlc.Timestamp(*event.stamp)
                    )

    def unreported(
        self, report: data.UpstreamReport, version: hlc.Timestamp
    ) -> list[intents.Intent]:
        """Returns the applied loads that an engine's report can't show yet.

        The others are forgotten.

        Args:
          report: The newest known report of the engine.
          version: When it was made. A report made after a load was resolved
            tells whether the model is still there.
        """
        loads = self._loads.get(report.upstream, {})
        for target, load in list(loads.items()):
            if target in report.resident or load.resolved < version:
                del loads[target]
        return [load.intent for load in loads.values()]
