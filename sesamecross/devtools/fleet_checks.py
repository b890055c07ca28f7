"""What a fleet trial must keep: its floor, nobody starved, and its promises.

A mean hides the callers who are never served. The checks look at kinds,
windows, models, adapters, sessions and the largest requests by themselves.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from sesamecross.fakes import fleet_callers
from sesamecross.fakes import fleet_scenarios
from sesamecross.fakes import fleet_upstreams

WINDOW_S = 5.0
# Who is asked for so often, over so long, must be served once.
STARVED_MIN_ASKED = 4
STARVED_MIN_SPAN_S = 8.0
# As many are let pass as chance would give, times this.
CHANCE_RATIO = 3.0
KIND_MIN_RATIO = 0.25
LARGE_MIN_RATIO = 0.5
# Of fewer requests, chance alone may serve none.
LARGE_MIN_ASKED = 10
_MIN_WORTH_SHARE = 0.3
_MAX_WORTH_RATIO = 4.0

Asked = fleet_callers.Asked


@dataclasses.dataclass(slots=True)
class Findings:
    """The figures of a trial, and what it broke.

    Attributes:
      shares: Worth earned by worth owed, by what it is taken over.
      served: Requests served by requests asked for, by kind.
      starved: Never served, with how often each was asked for, by sort.
      broken: Broken checks and promises.
    """

    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    served: dict[str, float] = dataclasses.field(default_factory=dict)
    starved: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    broken: list[str] = dataclasses.field(default_factory=list)


def check(
    asked: list[Asked],
    ran: Iterable[fleet_upstreams.Ran],
    scenario: fleet_scenarios.Scenario,
    floor: float,
    outage: tuple[float, float] | None,
) -> Findings:
    """Returns the figures, and what is broken.

    Args:
      asked: What callers asked for.
      ran: What upstreams ran.
      scenario: Of the trial.
      floor: The least share of worth, over all and of each window and kind.
      outage: Windows that overlap with this time are reported only.
    """
    findings = Findings()
    _check_worth(findings, asked, scenario, floor, outage)
    _check_kinds(findings, asked)
    _check_starved(findings, asked)
    _check_promises(findings, asked, ran, scenario)
    return findings


def _group(
    asked: Iterable[Asked], key: Callable[[Asked], str]
) -> dict[str, list[Asked]]:
    groups: dict[str, list[Asked]] = collections.defaultdict(list)
    for one in asked:
        if name := key(one):
            groups[name].append(one)
    return groups


def _served_share(asked: list[Asked]) -> float:
    return sum(one.is_served for one in asked) / max(1, len(asked))


# -- SHORT ---------------------------------------------------------------


class _Worth:
    """Credits of requests, by kind and size."""

    def __init__(self, asked: list[Asked], scenario: fleet_scenarios.Scenario):
        self._kinds = {one.name: one for one in scenario.kinds}
        self._means = {
            name: sum(one.size for one in group) / len(group)
            for name, group in _group(asked, lambda one: one.kind).items()
        }

    def share(self, asked: Iterable[Asked]) -> float:
        """Returns worth earned by worth owed."""
        owed = earned = 0.0
        for one in asked:
            kind = self._kinds[one.kind]
            ratio = self._size_ratio(one)
            owed += kind.worth * ratio
            if one.is_on_time:
                earned += kind.worth * ratio
            elif one.is_served:
                earned += kind.late_worth * ratio
        return earned / owed if owed else 1.0

    def _size_ratio(self, one: Asked) -> float:
        mean = self._means[one.kind]
        if not mean:
            return 1.0
        ratio = _MIN_WORTH_SHARE + (1 - _MIN_WORTH_SHARE) * one.size / mean
        return min(_MAX_WORTH_RATIO, ratio)


def _check_worth(
    findings: Findings,
    asked: list[Asked],
    scenario: fleet_scenarios.Scenario,
    floor: float,
    outage: tuple[float, float] | None,
) -> None:
    worth = _Worth(asked, scenario)
    findings.shares["all"] = worth.share(asked)
    begins = sorted({int(one.at_s / WINDOW_S) * WINDOW_S for one in asked})
    for begin_s in begins:
        window = f"{begin_s:.0f} s"
        findings.shares[window] = worth.share(
            one for one in asked if begin_s <= one.at_s < begin_s + WINDOW_S
        )
    for name, group in sorted(_group(asked, lambda one: one.kind).items()):
        findings.shares[name] = worth.share(group)
    skipped = {f"{one:.0f} s" for one in begins if _overlaps(one, outage)}
    for name, share in findings.shares.items():
        if share < floor and name not in skipped:
            findings.broken.append(
                f"SHORT: {name} earns {share:.3f} of its worth, under {floor}"
            )


def _overlaps(begin_s: float, outage: tuple[float, float] | None) -> bool:
    if outage is None:
        return False
    return begin_s + WINDOW_S > outage[0] and begin_s < outage[1]


# -- STARVED -------------------------------------------------------------


def _check_kinds(findings: Findings, asked: list[Asked]) -> None:
    total = _served_share(asked)
    for name, group in sorted(_group(asked, lambda one: one.kind).items()):
        share = findings.served[name] = _served_share(group)
        if share < KIND_MIN_RATIO * total:
            findings.broken.append(
                f"STARVED: {name} is served {share:.3f}, all {total:.3f}"
            )
        group.sort(key=lambda one: -one.size)
        tenth = len(group) // 10
        parts = {
            "largest tenth": group[:tenth],
            "fifth below it": group[tenth : 3 * tenth],
        }
        for part, members in parts.items():
            if len(members) < LARGE_MIN_ASKED or not group[0].size:
                continue
            findings.served[f"{name}, {part}"] = _served_share(members)
            if _served_share(members) < LARGE_MIN_RATIO * share:
                findings.broken.append(
                    f"STARVED: the {part} of {name} is served"
                    f" {_served_share(members):.3f}, the kind {share:.3f}"
                )


def _adapter(one: Asked) -> str:
    return one.target if "/" in one.target else ""


# By sort: its key, how many may starve, and how many in each 100 of them.
_SORTS: dict[str, tuple[Callable[[Asked], str], int, float]] = {
    "models": (lambda one: one.target.partition("/")[0], 1, 0.10),
    "adapters": (_adapter, 1, 0.10),
    "sessions": (lambda one: one.session, 2, 0.04),
}


def _check_starved(findings: Findings, asked: list[Asked]) -> None:
    total = _served_share(asked)
    for sort, (key, fixed, share) in _SORTS.items():
        often = {
            name: group
            for name, group in _group(asked, key).items()
            if len(group) >= STARVED_MIN_ASKED
            and max(one.at_s for one in group) - min(one.at_s for one in group)
            >= STARVED_MIN_SPAN_S
        }
        never = {
            name: len(group)
            for name, group in sorted(often.items())
            if not any(one.is_served for one in group)
        }
        findings.starved[sort] = never
        chance = sum((1 - total) ** len(group) for group in often.values())
        allowed = fixed + share * len(often) + CHANCE_RATIO * chance
        if len(never) > allowed:
            findings.broken.append(
                f"STARVED: {len(never)} of {len(often)} {sort} are never"
                f" served, {allowed:.1f} allowed"
            )


# -- promises ------------------------------------------------------------


def _check_promises(
    findings: Findings,
    asked: list[Asked],
    ran: Iterable[fleet_upstreams.Ran],
    scenario: fleet_scenarios.Scenario,
) -> None:
    runs: dict[str, list[fleet_upstreams.Ran]] = {}
    for one in ran:
        runs.setdefault(one.request_id, []).append(one)
    kinds = {one.name: one for one in scenario.kinds}
    for one in asked:
        kind = kinds[one.kind]
        runs_once = not kind.is_resumable and kind.route_kind != "safe"
        for attempt in one.attempts:
            found = runs.get(attempt.request_id, [])
            what = _broken_promise(attempt, found, runs_once)
            if what:
                findings.broken.append(
                    f"{one.kind} {attempt.request_id}: {what}"
                )


def _broken_promise(
    attempt: fleet_callers.Attempt,
    runs: list[fleet_upstreams.Ran],
    runs_once: bool,
) -> str:
    if attempt.broken:
        return f"MIXED: {attempt.broken}"
    if runs_once and len(runs) > 1:
        return f"TWICE: ran {len(runs)} times"
    if runs_once and runs and attempt.status in fleet_callers.PROMISES_NOT_RUN:
        return f"REFUSED: answered {attempt.status}, and ran"
    signatures = [f"{run.instance_id}.{run.request_id}" for run in runs]
    if attempt.status == 200 and attempt.signature not in signatures:
        return f"MIXED: {attempt.signature!r} is no run of it"
    return ""
