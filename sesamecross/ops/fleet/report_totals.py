"""Adds up the reports of instances.

A hub keeps the latest report of each member and the latest summary of each
other zone. Totals are computed from these, so a lost or duplicated datagram
does not distort them. A sender's reports expire if it does not renew them.
"""

from collections.abc import Iterable
import heapq

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.ops.fleet import health
from sesamecross.ops.fleet import quota_ledger
from sesamecross.ops.fleet import reachability
from sesamecross.ops.fleet import upstream_speed

# A report older than this no longer counts. Members send at least every 0.4 s;
# summaries cross regions and may be lost.
REPORT_TTL_S = 1.6

Source = fm.Report | fm.Summary


class Totals(msgspec.Struct):
    """Totals over the reports of several sources.

    Attributes:
      running: Requests in flight by upstream.
      prompt_tokens: Prompt tokens without an event yet, by upstream.
      reports: Reachability by upstream.
      in_use: Requests in flight by engine and target.
      demand: By service and target.
      failing: Outcomes by upstream.
      quotas: Use of quotas, by workspace.
    """

    running: dict[str, int]
    prompt_tokens: dict[str, int]
    reports: dict[str, reachability.ReachabilityCounts]
    in_use: dict[tuple[str, str], int]
    demand: dict[tuple[str, str], fm.TargetDemand]
    failing: dict[str, health.Outcomes]
    quotas: dict[str, quota_ledger.Usage]

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

    def add_quotas(self, rows: Iterable[fm.WorkspaceUse]) -> None:
        """Adds rows of the use of quotas."""
        for row in rows:
            used = self.quotas.get(row.workspace, quota_ledger.Usage())
            self.quotas[row.workspace] = quota_ledger.Usage(
                used.admitted + row.admitted, used.asked + row.asked
            )

    def quota_uses(self) -> list[fm.WorkspaceUse]:
        """Returns the use of quotas as message fields, the largest first."""
        most = heapq.nlargest(
            quota_ledger.MAX_ROWS,
            self.quotas.items(),
            key=lambda row: (row[1].admitted, row[0]),
        )
        return [
            fm.WorkspaceUse(name, usage.admitted, usage.asked)
            for name, usage in most
        ]

    def failures(self) -> list[fm.UpstreamOutcomes]:
        """Returns the outcomes as message fields."""
        return [
            fm.UpstreamOutcomes(
                upstream,
                round(entry.failed, 1),
                round(entry.total, 1),
                round(entry.speed.ratios, 1),
                round(entry.speed.count, 1),
            )
            for upstream, entry in self.failing.items()
        ]


def aggregate(sources: Iterable[Source | fm.View]) -> Totals:
    """Returns the totals over reports and summaries."""
    totals = Totals({}, {}, {}, {}, {}, {}, {})
    for source in sources:
        for load in source.loads:
            name = load.upstream
            totals.running[name] = totals.running.get(name, 0) + load.running
            tokens = totals.prompt_tokens.get(name, 0) + load.prompt_tokens
            totals.prompt_tokens[name] = tokens
            reported = reachability.ReachabilityCounts(
                load.hears, load.silent, load.refused
            )
            known = totals.reports.get(name)
            if known is not None:
                reported = known.combined_with(reported)
            totals.reports[name] = reported
        for use in source.uses:
            key = (use.upstream, use.target)
            totals.in_use[key] = totals.in_use.get(key, 0) + use.running
        for entry in source.demand:
            _add_demand(totals.demand, entry)
        for entry in source.failing:
            outcomes = health.Outcomes(
                entry.failed,
                entry.total,
                upstream_speed.SpeedTally(entry.ratios, entry.answers),
            )
            known = totals.failing.get(entry.upstream)
            if known is not None:
                outcomes = known.plus(outcomes)
            totals.failing[entry.upstream] = outcomes
        totals.add_quotas(source.quotas)
    return totals


def _add_demand(
    demand: dict[tuple[str, str], fm.TargetDemand], entry: fm.TargetDemand
) -> None:
    key = (entry.service, entry.target)
    known = demand.get(key)
    if known is None:
        demand[key] = entry
        return
    rate = known.rate + entry.rate
    late = 0.0
    if rate > 0:
        late = (known.rate * known.late + entry.rate * entry.late) / rate
    demand[key] = fm.TargetDemand(
        entry.service,
        entry.target,
        rate,
        known.waiting + entry.waiting,
        late,
        _weighted_mean(
            (known.rate, known.place_s), (entry.rate, entry.place_s)
        ),
        _weighted_mean((known.rate, known.read_s), (entry.rate, entry.read_s)),
    )


def _weighted_mean(*reported: tuple[float, float]) -> float:
    """Returns the mean of known times (above 0), weighted by rate."""
    known = [(rate, time_s) for rate, time_s in reported if time_s > 0]
    total = sum(rate for rate, _ in known)
    if total <= 0:
        return max((time_s for _, time_s in known), default=0.0)
    return sum(rate * time_s for rate, time_s in known) / total


class LatestMessages:
    """Keeps the latest message of each sender.

    What senders admitted of quotas is kept for a window after they are gone or
    have started again: the window that is limited still holds it.
    """

    __slots__ = ("_messages", "_gone")

    def __init__(self) -> None:
        self._messages: dict[str, tuple[Source, float]] = {}
        # By sender and incarnation, when it was last heard, and its rows.
        self._gone: dict[
            tuple[str, int], tuple[float, list[fm.WorkspaceUse]]
        ] = {}

    def take(self, message: Source, now_s: float) -> bool:
        """Stores a message unless a later one of its sender is known.

        Returns:
          Whether it was stored.
        """
        name = message.me.name
        known = self._messages.get(name)
        if known is not None:
            previous = known[0]
            before = (previous.me.incarnation, previous.number)
            if (message.me.incarnation, message.number) <= before:
                return False
            if message.me.incarnation != previous.me.incarnation:
                self._keep_gone(previous, known[1])
            else:
                self._gone.pop((name, message.me.incarnation), None)
        self._messages[name] = (message, now_s)
        return True

    def _keep_gone(self, message: Source, heard_s: float) -> None:
        if message.quotas:
            rows = [
                fm.WorkspaceUse(row.workspace, row.admitted, 0.0)
                for row in message.quotas
            ]
            key = (message.me.name, message.me.incarnation)
            self._gone[key] = (heard_s, rows)

    def gone_quotas(
        self, now_s: float, window_s: float
    ) -> list[fm.WorkspaceUse]:
        """Returns what senders that are gone admitted in the last window."""
        for message, heard_s in self._messages.values():
            if REPORT_TTL_S <= now_s - heard_s < window_s:
                self._keep_gone(message, heard_s)
        self._gone = {
            key: (heard_s, rows)
            for key, (heard_s, rows) in self._gone.items()
            if now_s - heard_s < window_s
        }
        return [row for _, rows in self._gone.values() for row in rows]

    def fresh(self, now_s: float) -> list[Source]:
        """Returns the messages that are recent enough to count."""
        return [
            message
            for message, at_s in self._messages.values()
            if now_s - at_s < REPORT_TTL_S
        ]

    def last_number(self, name: str) -> int:
        """Returns the number of a sender's latest message, or 0."""
        known = self._messages.get(name)
        return known[0].number if known else 0
