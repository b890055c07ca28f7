"""Decides whether a workspace's quota admits a request, over all instances.

Each instance admits by itself and tells the others what it has admitted in the
last window, and what was asked for of late. Such sums add up whatever the
moment at which each was taken, and nobody has to be asked first.

As the limit comes near, each request is admitted with the probability that
makes all instances together admit what is still free within a short time.
Admitting up to a threshold instead lets each instance fill the room that all of
them see, before they hear of each other.

What others do is heard late. They are expected to have admitted what their
demand and the limit let them, and their demand to have grown as that at this
instance has. An instance that no longer hears some of the others uses only its
part of the quota, as those may serve on.
"""

import collections
from collections.abc import Mapping
import math
import random

import msgspec

from sesamecross.core import serving

# The parts of the tolerance that the limit uses; the rest is for what is not
# known yet. That of the slack shrinks as the quota outgrows it, as what is not
# known grows with the quota.
OVERAGE_SHARE = 0.1
SLACK_SHARE = 1.5
# The time within which what is free may be admitted.
CONTROL_S = 0.8
# How old the others' sums are on average: a report, a summary and a view.
NEWS_DELAY_S = 0.5
# The time constant of what is asked for, to notice a change early.
ASKED_TIME_S = 0.5
# The time over which demand here is compared with that before.
GROWTH_TIME_S = 0.25
MAX_GROWTH = 12.0
# Own requests whose growth proves nothing.
GROWTH_PRIOR_REQUESTS = 1.0
# What is assumed to be in use until the others tell, as a part of the limit.
START_SHARE = 0.3
MIN_RETRY_AFTER_S = 0.1
# So much later, at most, do callers return, so that they don't at one moment.
RETRY_SPREAD = 0.25
# Largest number of workspaces in one report; those that are asked for most
# count.
MAX_ROWS = 1000


class Tolerance(msgspec.Struct, frozen=True):
    """What a workspace may use in a window beyond its rate and burst."""

    window_s: float
    overage: float
    slack: float


def limit_of(quota: serving.Quota, tolerance: Tolerance) -> float:
    """Returns what may be used in any window."""
    owed = quota.rate_per_s * tolerance.window_s + quota.burst
    slack = 0.0
    if tolerance.slack > 0:
        slack = SLACK_SHARE * tolerance.slack / (tolerance.slack + owed)
        slack = tolerance.slack * min(0.5, slack)
    return owed + OVERAGE_SHARE * owed * tolerance.overage + slack


class Usage(msgspec.Struct, frozen=True):
    """What some instances do with a workspace's quota.

    Attributes:
      admitted: What they admitted in the last window.
      asked: Sum of what they were asked for, decaying in `ASKED_TIME_S`.
    """

    admitted: float = 0.0
    asked: float = 0.0

    def minus(self, part: "Usage") -> "Usage":
        """Returns what is left without a part of the instances."""
        return Usage(
            max(0.0, self.admitted - part.admitted),
            max(0.0, self.asked - part.asked),
        )


_NOTHING = Usage()


class _Use:
    """What is known of the use of one workspace's quota."""

    __slots__ = (
        "admitted",
        "asked",
        "cost",
        "told",
        "_window_s",
        "_recent",
        "_events",
        "_at_s",
    )

    def __init__(self, window_s: float, assumed: float, now_s: float):
        # By this instance, in the last window.
        self.admitted = 0.0
        self.asked = 0.0
        # The mean cost of own requests.
        self.cost = 0.0
        # What the others do, as they told last.
        self.told = Usage(assumed)
        self._window_s = window_s
        # What was asked for over a shorter time.
        self._recent = 0.0
        self._events: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._at_s = now_s

    def advance(self, now_s: float) -> None:
        """Lets what was used pass out of the window."""
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = max(self._at_s, now_s)
        while self._events and self._events[0][0] <= now_s - self._window_s:
            self.admitted -= self._events.popleft()[1]
        if not self._events:
            self.admitted = 0.0
        self.asked *= math.exp(-elapsed_s / ASKED_TIME_S)
        self._recent *= math.exp(-elapsed_s / GROWTH_TIME_S)

    def ask(self, cost: float) -> None:
        """Adds what a request asks for."""
        self.asked += cost
        self._recent += cost
        self.cost = cost if not self.cost else 0.9 * self.cost + 0.1 * cost

    def admit(self, cost: float) -> None:
        """Adds an admitted request."""
        self.admitted += cost
        self._events.append((self._at_s, cost))

    def give_back(self, cost: float, admitted_s: float) -> None:
        """Takes an admitted request out again, if the window still has it."""
        try:
            self._events.remove((admitted_s, cost))
        except ValueError:
            return
        self.admitted -= cost

    def others_demand(self) -> float:
        """Returns what others are asked for in a second, as expected."""
        prior = GROWTH_PRIOR_REQUESTS * self.cost
        before = self.asked * GROWTH_TIME_S / ASKED_TIME_S
        growth = 1.0
        if prior:
            growth = (self._recent + prior) / (before + prior)
        growth = min(MAX_GROWTH, max(1.0, growth))
        return growth * self.told.asked / ASKED_TIME_S

    def own_demand(self) -> float:
        """Returns what this instance is asked for in a second."""
        return self.asked / ASKED_TIME_S

    def in_use(self, limit: float) -> float:
        """Returns what all admitted in the last window, as expected."""
        known = self.admitted + self.told.admitted
        admitting = min(
            self.others_demand(), max(0.0, limit - known) / CONTROL_S
        )
        leaving = self.told.admitted / self._window_s
        return known + NEWS_DELAY_S * max(0.0, admitting - leaving)


class Refusal(msgspec.Struct, frozen=True):
    """The quota is used up.

    Attributes:
      after_s: When a request of this size will be admitted, in seconds.
    """

    after_s: float


class QuotaLedger:
    """What all workspaces use of their quotas. Deterministic but for `rng`."""

    __slots__ = ("_rng", "_uses", "_told", "_has_heard", "_share", "_tolerance")

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._uses: dict[str, _Use] = {}
        self._told: Mapping[str, Usage] = {}
        self._has_heard = False
        # The part of the quotas that this instance's side may use.
        self._share = 1.0
        self._tolerance = Tolerance(8.0, 0.0, 0.0)

    def set_tolerance(self, tolerance: Tolerance) -> None:
        """Sets what may be used beyond quotas."""
        self._tolerance = tolerance

    def set_share(self, share: float) -> None:
        """Sets the part of the instances that this one hears, itself included.

        Args:
          share: Above 0 and at most 1.
        """
        self._share = min(1.0, max(0.0, share))

    def admit(
        self, workspace: serving.Workspace, cost: float, now_s: float
    ) -> Refusal | None:
        """Admits a request, or says when to come again.

        Args:
          workspace: Whose it is; its quota is the current one.
          cost: What it counts, in the quota's unit.
          now_s: Monotonic time.
        """
        if workspace.quota is None:
            return None
        use = self._use(workspace, now_s)
        limit = self._share * limit_of(workspace.quota, self._tolerance)
        free = limit - use.in_use(limit)
        allowed = max(0.0, free) / CONTROL_S
        demand = use.others_demand() + use.own_demand()
        use.ask(cost)
        if free >= cost and (
            allowed >= demand or self._rng.random() * demand < allowed
        ):
            use.admit(cost)
            return None
        # A window passes at the quota's rate.
        rate = max(1.0, self._share * workspace.quota.rate_per_s)
        after_s = max(0.0, cost - free) / rate
        after_s += CONTROL_S * max(0.0, 1.0 - allowed / max(1.0, demand))
        after_s *= 1.0 + RETRY_SPREAD * self._rng.random()
        window_s = self._tolerance.window_s
        return Refusal(min(window_s, max(MIN_RETRY_AFTER_S, after_s)))

    def charge(
        self, workspace: serving.Workspace, cost: float, now_s: float
    ) -> None:
        """Counts another send of an admitted request."""
        if workspace.quota is not None:
            self._use(workspace, now_s).admit(cost)

    def give_back(
        self,
        workspace: serving.Workspace,
        cost: float,
        admitted_s: float,
        now_s: float,
    ) -> None:
        """Gives back what an admitted request counts that has not run."""
        if workspace.quota is None:
            return
        self._use(workspace, now_s).give_back(cost, admitted_s)

    def _use(self, workspace: serving.Workspace, now_s: float) -> _Use:
        use = self._uses.get(workspace.name)
        if use is None:
            limit = limit_of(workspace.quota, self._tolerance)
            use = _Use(self._tolerance.window_s, START_SHARE * limit, now_s)
            if self._has_heard:
                use.told = self._told.get(workspace.name, _NOTHING)
            self._uses[workspace.name] = use
        use.advance(now_s)
        return use

    def rows(self, now_s: float) -> dict[str, Usage]:
        """Returns what this instance has admitted, for the others."""
        rows = {}
        for name, use in self._uses.items():
            use.advance(now_s)
            if use.admitted >= 1.0 or use.asked >= 1.0:
                rows[name] = Usage(round(use.admitted), round(use.asked))
        if len(rows) > MAX_ROWS:
            most = sorted(rows.items(), key=lambda row: -row[1].asked)
            rows = dict(most[:MAX_ROWS])
        return rows

    def record_others(self, used: Mapping[str, Usage], now_s: float) -> None:
        """Notes what all other instances do.

        Args:
          used: By workspace; those that are missing have used nothing.
          now_s: Monotonic time.
        """
        self._told = used
        self._has_heard = True
        for name, use in self._uses.items():
            use.advance(now_s)
            use.told = used.get(name, _NOTHING)

    def keep_only(self, names: frozenset[str]) -> None:
        """Forgets workspaces that are no longer declared."""
        self._uses = {
            name: use for name, use in self._uses.items() if name in names
        }
