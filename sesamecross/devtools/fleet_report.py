"""The report of a fleet trial: by second, by cause, and who starved why.

A share that falls short names no cause. The gateways' logs say what each
request came to, by its id, so the report joins them with what callers saw.
"""

import collections
from collections.abc import Mapping
import dataclasses
import itertools
from typing import Any

from sesamecross.devtools import fleet_checks
from sesamecross.fakes import fleet_callers
from sesamecross.fakes import platform_instance

# Above this the figures judge the machine.
MAX_BUSY_SHARE = 0.85
# Of the time of all engines.
MAX_LOST_SHARE = 0.01
_MAX_LISTED = 12
_ANSWERED = ("request: status 200", "request: streamed")
_OUTCOMES = ("on time", "late", "refused", "failed", "broken")

Asked = fleet_callers.Asked
Lines = Mapping[str, dict[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Processor time so far, by role and of the whole machine.

    Attributes:
      lag_s: How late the machine woke a sleeping thread since the last sample,
        at most.
    """

    at_s: float
    processor_s: dict[str, float]
    busy_s: float
    whole_s: float
    lag_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Second:
    """One second of a trial.

    Attributes:
      asked: Requests first sent in it.
      outcomes: What these came to in the end.
      cores: Processor time by role.
      busy: The busy share of all the machine's cores.
      lag_s: How late the machine woke a sleeping thread, at most.
    """

    at_s: int
    asked: int
    outcomes: dict[str, int]
    cores: dict[str, float]
    busy: float = 0.0
    lag_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a trial has shown.

    Attributes:
      engines_lost_s: Time that engines lost as their processes were starved.
    """

    plan: dict[str, Any]
    findings: fleet_checks.Findings
    seconds: list[Second]
    causes: dict[str, int]
    starved: dict[str, dict[str, int]]
    store_calls: dict[str, int]
    events: list[str]
    engines_lost_s: float

    @property
    def busy_seconds(self) -> int:
        """Seconds in which the machine's cores were full."""
        return sum(one.busy > MAX_BUSY_SHARE for one in self.seconds)

    def text(self) -> str:
        """Returns the report as tables."""
        lines = [*self.events, "", *self._second_lines(), ""]
        for title, table in (
            ("share of worth", self.findings.shares),
            ("served", self.findings.served),
            ("causes by gateways' logs, or by callers", self.causes),
            ("calls of the store", self.store_calls),
        ):
            lines += [title, *_table(table), ""]
        for sort, names in self.findings.starved.items():
            lines.append(f"{sort} never served: {len(names)}")
            for name, count in list(names.items())[:_MAX_LISTED]:
                why = dict(self.starved.get(name, {}))
                lines.append(f"  {name} asked {count} times: {why}")
        if self.busy_seconds:
            lines.append(
                f"WARNING: cores over {MAX_BUSY_SHARE:.0%} busy in"
                f" {self.busy_seconds} of {len(self.seconds)} seconds:"
                " the figures judge the machine"
            )
        whole_s = len(self.seconds) * self.plan["engines"]
        if self.engines_lost_s > MAX_LOST_SHARE * whole_s:
            lines.append(
                f"WARNING: engines lost {self.engines_lost_s:.1f} s: give"
                " them more processes (--upstream-processes)"
            )
        lines.append(f"broken: {len(self.findings.broken)}")
        lines += self.findings.broken[:_MAX_LISTED]
        return "\n".join(lines)

    def _second_lines(self) -> list[str]:
        roles = sorted({role for one in self.seconds for role in one.cores})
        head = ["s", "asked", *_OUTCOMES, *roles, "busy", "lag ms"]
        lines = ["  ".join(f"{one:>9}" for one in head)]
        for one in self.seconds:
            cells = [
                one.at_s,
                one.asked,
                *(one.outcomes.get(name, 0) for name in _OUTCOMES),
                *(f"{one.cores.get(role, 0.0):.2f}" for role in roles),
                f"{one.busy:.0%}",
                f"{one.lag_s * 1000:.0f}",
            ]
            lines.append("  ".join(f"{cell:>9}" for cell in cells))
        return lines


def _table(table: Mapping[str, float]) -> list[str]:
    return [
        f"  {name:<40} {value:.3f}"
        if isinstance(value, float)
        else f"  {name:<40} {value}"
        for name, value in table.items()
    ]


def seconds(asked: list[Asked], samples: list[Sample]) -> list[Second]:
    """Returns the table by second."""
    outcomes: dict[int, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for one in asked:
        outcomes[int(one.at_s)][one.outcome] += 1
    used: dict[int, tuple[dict[str, float], float, float]] = {}
    for before, after in itertools.pairwise(samples):
        elapsed_s = after.at_s - before.at_s
        cores = {
            role: (spent_s - before.processor_s.get(role, 0.0)) / elapsed_s
            for role, spent_s in after.processor_s.items()
        }
        whole_s = max(0.01, after.whole_s - before.whole_s)
        busy = (after.busy_s - before.busy_s) / whole_s
        # One sample stands for several seconds if the sampler came late.
        for at_s in range(round(before.at_s), round(after.at_s)):
            used[at_s] = cores, busy, after.lag_s
    return [
        Second(at_s, counts.total(), dict(counts), *used.get(at_s, ({},)))
        for at_s, counts in sorted(outcomes.items())
    ]


def request_lines(
    gateway: platform_instance.PlatformInstance,
) -> dict[str, dict[str, Any]]:
    """Returns the log lines of a gateway's requests, by id."""
    return {
        line["id"]: line
        for line in gateway.log_lines("request: ")
        if line.get("id")
    }


def _cause(attempt: fleet_callers.Attempt, lines: Lines) -> str:
    """Returns why an attempt brought no answer."""
    line = lines.get(attempt.request_id)
    if attempt.broken:
        return f"caller: {attempt.broken}"
    if line is None or line["event"] in _ANSWERED:
        return f"caller: {attempt.failure}"
    parts = [line["event"].removeprefix("request: "), line.get("note", "")]
    if line.get("full"):
        parts.append("full")
    if line.get("paced_ms"):
        parts.append("paced")
    if line.get("sends"):
        parts.append("sent")
    if line.get("expected_in_s") is not None:
        parts.append("model expected")
    return ", ".join(one for one in parts if one)[:120]


def causes(asked: list[Asked], lines: Lines) -> dict[str, int]:
    """Counts why requests were not served, by their last attempt."""
    counts = collections.Counter(
        f"{one.kind}: {_cause(one.attempts[-1], lines)}"
        for one in asked
        if not one.is_served
    )
    return dict(counts.most_common())


def starved_causes(
    findings: fleet_checks.Findings, asked: list[Asked], lines: Lines
) -> dict[str, dict[str, int]]:
    """Counts why attempts failed, for each that was never served."""
    names = {name for one in findings.starved.values() for name in one}
    result: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for one in asked:
        model = one.target.partition("/")[0]
        for name in names & {one.target, model, one.session}:
            result[name].update(_cause(two, lines) for two in one.attempts)
    return {name: dict(counts) for name, counts in result.items()}
