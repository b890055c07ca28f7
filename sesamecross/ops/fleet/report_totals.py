"""Adds up the reports of instances.

A hub keeps the latest report of each member and the latest summary of each
other zone. Totals are computed from these, so a lost or duplicated datagram
does not distort them. A sender's reports expire if it does not renew them.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import heapq

from sesamecross.core import fleet_messages as fm
from sesamecross.ops.fleet import health
from sesamecross.ops.fleet import patient_demand
from sesamecross.ops.fleet import quota_ledger
from sesamecross.ops.fleet import reachability
from sesamecross.ops.fleet import upstream_speed

# A report older than this no longer counts. Members send at least every 0.4 s;
# summaries cross regions and may be lost.
REPORT_TTL_S = 1.6

Source = fm.Report | fm.Summary


class Totals:
    """Totals over the reports of several sources.

    Demand and uses are added up once somebody asks: only the lease's holder and
    the hub of its zone do, and they are most of the work.

    Attributes:
      running: Requests in flight by upstream.
      prompt_tokens: Prompt tokens without an event yet, by upstream.
      reports: Reachability by upstream.
      failing: Outcomes by upstream.
      quotas: Use of quotas, by workspace.
    """

    __slots__ = (
        "running",
        "prompt_tokens",
        "reports",
        "failing",
        "quotas",
        "_sources",
        "_in_use",
        "_demand",
    )

    def __init__(self, sources: Sequence[Source | fm.View]):
        self.running: dict[str, int] = {}
        self.prompt_tokens: dict[str, int] = {}
        self.reports: dict[str, reachability.ReachabilityCounts] = {}
        self.failing: dict[str, health.Outcomes] = {}
        self.quotas: dict[str, quota_ledger.Usage] = {}
        self._sources = sources
        self._in_use: dict[tuple[str, str], int] | None = None
        self._demand: dict[tuple[str, str], fm.TargetDemand] | None = None
        self._add_loads()
        for source in sources:
            for entry in source.failing:
                self._add_outcomes(entry)
            self.add_quotas(source.quotas)

    def _add_loads(self) -> None:
        """Adds up the loads, in plain numbers: a hub has hundreds of rows."""
        sums: dict[str, list[int]] = {}
        for source in self._sources:
            for load in source.loads:
                row = sums.get(load.upstream)
                if row is None:
                    sums[load.upstream] = [
                        load.running,
                        load.prompt_tokens,
                        load.hears,
                        load.silent,
                        load.refused,
                    ]
                    continue
                row[0] += load.running
                row[1] += load.prompt_tokens
                row[2] += load.hears
                row[3] += load.silent
                row[4] += load.refused
        counts = reachability.ReachabilityCounts
        for name, (running, tokens, hears, silent, refused) in sums.items():
            self.running[name] = running
            self.prompt_tokens[name] = tokens
            self.reports[name] = counts(hears, silent, refused)

    def _add_outcomes(self, entry: fm.UpstreamOutcomes) -> None:
        outcomes = health.Outcomes(
            entry.failed,
            entry.total,
            upstream_speed.SpeedTally(entry.ratios, entry.answers),
        )
        known = self.failing.get(entry.upstream)
        if known is not None:
            outcomes = known.plus(outcomes)
        self.failing[entry.upstream] = outcomes

    @property
    def in_use(self) -> dict[tuple[str, str], int]:
        """Requests in flight by engine and target."""
        if self._in_use is None:
            self._in_use = in_use = {}
            for source in self._sources:
                for use in source.uses:
                    key = (use.upstream, use.target)
                    in_use[key] = in_use.get(key, 0) + use.running
        return self._in_use

    @property
    def demand(self) -> dict[tuple[str, str], fm.TargetDemand]:
        """Demand by service and target."""
        if self._demand is None:
            self._demand = {}
            for source in self._sources:
                for entry in source.demand:
                    _add_demand(self._demand, entry)
        return self._demand

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
    return Totals(tuple(sources))


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
        known.patient_waiting + entry.patient_waiting,
        _least_left_ms(known, entry),
        known.patient_millirate + entry.patient_millirate,
        known.returning + entry.returning,
        max(known.missed_ms, entry.missed_ms),
    )


def _least_left_ms(*rows: fm.TargetDemand) -> int:
    """Returns how long the most urgent patient request can still wait."""
    return round(
        patient_demand.least_left_s(
            row.patient_left_ms for row in rows if row.patient_waiting
        )
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
