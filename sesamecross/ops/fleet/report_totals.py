"""Adds up the reports of instances.

A hub keeps the latest report of each member and the latest summary of each
other zone. Totals are computed from these, so a lost or duplicated datagram
does not distort them. A sender's figures expire if it does not renew them.
"""

from collections.abc import Iterable
import dataclasses

from sesamecross.core import fleet_messages as fm
from sesamecross.ops.fleet import health
from sesamecross.ops.fleet import reachability

# A report older than this no longer counts. Members send at least every 0.4 s;
# summaries cross regions and may be lost.
KEEP_S = 1.6

Source = fm.Report | fm.Summary


@dataclasses.dataclass(slots=True)
class Totals:
    """Totals over the reports of several sources.

    Attributes:
      running: Requests in flight by upstream.
      prompt_tokens: Prompt tokens without an event yet, by upstream.
      reports: Reachability by upstream.
      in_use: Requests in flight by engine and target.
      demand: By service and target.
      failing: Outcomes by upstream.
    """

    running: dict[str, int]
    prompt_tokens: dict[str, int]
    reports: dict[str, reachability.ReachabilityCounts]
    in_use: dict[tuple[str, str], int]
    demand: dict[tuple[str, str], fm.TargetDemand]
    failing: dict[str, health.Outcomes]

    def loads(self) -> list[fm.UpstreamLoad]:
        """Returns the loads as message fields."""
        return [
            fm.UpstreamLoad(
                upstream,
                running,
                self.prompt_tokens[upstream],
                self.reports[upstream].hears,
                self.reports[upstream].silent,
                self.reports[upstream].refused,
            )
            for upstream, running in self.running.items()
        ]

    def uses(self) -> list[fm.TargetLoad]:
        """Returns the use of models and adapters as message fields."""
        return [
            fm.TargetLoad(upstream, target, running)
            for (upstream, target), running in self.in_use.items()
        ]

    def failures(self) -> list[fm.UpstreamOutcomes]:
        """Returns the outcomes as message fields."""
        return [
            fm.UpstreamOutcomes(
                upstream, round(one.failed, 1), round(one.total, 1)
            )
            for upstream, one in self.failing.items()
        ]


def aggregate(sources: Iterable[Source | fm.View]) -> Totals:
    """Returns the totals over reports and summaries."""
    sums = Totals({}, {}, {}, {}, {}, {})
    for source in sources:
        for load in source.loads:
            name = load.upstream
            sums.running[name] = sums.running.get(name, 0) + load.running
            tokens = sums.prompt_tokens.get(name, 0) + load.prompt_tokens
            sums.prompt_tokens[name] = tokens
            known = sums.reports.get(name, reachability.ReachabilityCounts())
            told = reachability.ReachabilityCounts(
                load.hears, load.silent, load.refused
            )
            sums.reports[name] = known.with_all(told)
        for use in source.uses:
            key = (use.upstream, use.target)
            sums.in_use[key] = sums.in_use.get(key, 0) + use.running
        for one in source.demand:
            _add_demand(sums.demand, one)
        for one in source.failing:
            known = sums.failing.get(one.upstream, health.Outcomes())
            outcomes = health.Outcomes(one.failed, one.total)
            sums.failing[one.upstream] = known.plus(outcomes)
    return sums


def _add_demand(
    demand: dict[tuple[str, str], fm.TargetDemand], one: fm.TargetDemand
) -> None:
    key = (one.service, one.target)
    known = demand.get(key)
    if known is None:
        demand[key] = one
        return
    rate = known.rate + one.rate
    late = 0.0
    if rate > 0:
        late = (known.rate * known.late + one.rate * one.late) / rate
    demand[key] = fm.TargetDemand(
        one.service,
        one.target,
        rate,
        known.waiting + one.waiting,
        late,
        _mean_known((known.rate, known.place_s), (one.rate, one.place_s)),
        _mean_known((known.rate, known.read_s), (one.rate, one.read_s)),
    )


def _mean_known(*told: tuple[float, float]) -> float:
    """Returns the mean of known times (above 0), weighted by rate."""
    known = [(rate, time_s) for rate, time_s in told if time_s > 0]
    total = sum(rate for rate, _ in known)
    if total <= 0:
        return max((time_s for _, time_s in known), default=0.0)
    return sum(rate * time_s for rate, time_s in known) / total


class LatestMessages:
    """Keeps the latest message of each sender."""

    __slots__ = ("_messages",)

    def __init__(self) -> None:
        self._messages: dict[str, tuple[Source, float]] = {}

    def take(self, message: Source, now_s: float) -> bool:
        """Stores a message unless a later one of its sender is known.

        Returns:
          Whether it was stored.
        """
        name = message.me.name
        known = self._messages.get(name)
        if known is not None:
            earlier = known[0]
            before = (earlier.me.incarnation, earlier.number)
            if (message.me.incarnation, message.number) <= before:
                return False
        self._messages[name] = (message, now_s)
        return True

    def fresh(self, now_s: float) -> list[Source]:
        """Returns the messages that are recent enough to count."""
        return [
            message
            for message, at_s in self._messages.values()
            if now_s - at_s < KEEP_S
        ]

    def last_number(self, name: str) -> int:
        """Returns the number of a sender's latest message, or 0."""
        known = self._messages.get(name)
        return known[0].number if known else 0
