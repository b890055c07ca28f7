"""Keeps the known upstreams and decides which may receive new requests.

Information on upstreams arrives from several sources at different times: their
own entries in the store, entries that lapse, responses saying that another
upstream has the address, and failed attempts. An upstream that is leaving must
stop receiving new requests within the drain bound. That is counted from its
announcement, and an instance does not know how old that is when it reads it; so
the upstream gets no new request from then on. A store outage must not stop
requests to all upstreams.
"""

from collections.abc import Iterable
from collections.abc import Sized
import enum
import heapq
import math
import statistics

import msgspec

from sesamecross.core import retry_after
from sesamecross.core import serving
from sesamecross.ops.fleet import engine_state
from sesamecross.ops.fleet import health as health_lib
from sesamecross.ops.fleet import reachability as reachability_lib
from sesamecross.ops.fleet import stream_origins
from sesamecross.ops.fleet import upstream_speed

# A lapsed entry is used as a last resort for this share of the drain bound:
# entries also lapse during a store outage, and return within two seconds of its
# end if their upstreams are alive.
LAPSED_USE_SHARE = 0.75
# Weight of the newest request in the average duration.
DURATION_WEIGHT = 0.1
# The same after the average was replaced by an assumption: one slow answer
# shows that an upstream is still slow.
RELAXED_DURATION_WEIGHT = 0.5
# From this share of failures on, no new requests are sent if another upstream
# can serve them.
DOWN_FAILURE_SHARE = 0.75
# Smaller shares of failures are not reported.
MIN_REPORTED_FAILURE_SHARE = 0.05
# Bounds the rows of slow upstreams in a report; the slowest are reported.
MAX_SLOW_ROWS = 16
# A tally that has decayed below this is not reported.
MIN_REPORTED_ANSWERS = 0.05
# An instance is isolated if it reaches none of at least this many upstreams.
# Fewer may have crashed at the same moment.
ISOLATION_MIN_UPSTREAMS = 2
# How long the isolation is kept before it is determined again; all upstreams
# are looked at for that.
ISOLATION_TTL_S = 0.1


class Access(enum.IntEnum):
    """How this instance can send an upstream a new request, best first.

    Attributes:
      DIRECT: By a connection of its own.
      VIA_PEER: Through another instance, as own connections fail.
      UNCERTAIN: Only to find out: some instance can't reach it, and nobody is
        known to hear it.
      NONE: It is down for all instances, or nearly all its requests fail.
    """

    DIRECT = 0
    VIA_PEER = 1
    UNCERTAIN = 2
    NONE = 3


class KnownUpstream(msgspec.Struct):
    """One incarnation of an upstream, as this instance knows it.

    Attributes:
      entry: Its latest entry in the store.
      lapsed_s: When its entry was dropped from the store, or None.
      is_leaving: Whether it announced that it is leaving. Never reset within
        one incarnation: an older entry that arrives late must not send new
        requests there.
      is_replaced: Another upstream answered at its address.
      backoff_until_s: Until when it wants no requests from this instance.
      health: Outcomes of this instance's requests there.
      own_running, others_running: Requests in flight there, from this instance
        and, by their latest reports, from the others.
      reachability, others_reachability: Whether this instance can reach it,
        and how many other instances can.
      others_outcomes: Outcomes of the other instances' requests there.
      engine: What it holds, if it is an engine.
      mean_duration_s: Smoothed duration of a request there; 0 before the first
        one has ended.
      is_duration_relaxed: Whether that is assumed, for want of use.
      usual_ratio: What is usual in its service; 0 if that is unknown.
      idle_connections: Idle connections to it, where new ones are scarce;
        otherwise empty.
    """

    entry: serving.Upstream
    lapsed_s: float | None = None
    is_leaving: bool = False
    is_replaced: bool = False
    backoff_until_s: float = -math.inf
    health: health_lib.Health = msgspec.field(default_factory=health_lib.Health)
    own_running: int = 0
    others_running: float = 0.0
    others_outcomes: health_lib.Outcomes = health_lib.Outcomes()
    reachability: reachability_lib.Reachability = msgspec.field(
        default_factory=reachability_lib.Reachability
    )
    others_reachability: reachability_lib.ReachabilityCounts = (
        reachability_lib.ReachabilityCounts()
    )
    mean_duration_s: float = 0.0
    is_duration_relaxed: bool = False
    engine: engine_state.EngineState = msgspec.field(
        default_factory=engine_state.EngineState
    )
    usual_ratio: float = 0.0
    idle_connections: Sized = ()

    @property
    def has_idle_connection(self) -> bool:
        """Whether an idle connection is open, where new ones are scarce."""
        return len(self.idle_connections) > 0

    @property
    def is_retired(self) -> bool:
        """Whether it gets no new request any more, whatever else is known."""
        return self.is_replaced or self.is_leaving

    def wants_backoff(self, now_s: float) -> bool:
        """Whether it wants no requests from this instance now."""
        return now_s < self.backoff_until_s

    @property
    def version(self) -> str | None:
        """Its software version; None if it has started again unseen.

        The lease holder may learn of a start before the new entry arrives, and
        that may be another version under the same id.
        """
        placement = self.engine.placement
        if placement is not None and placement.born_ms > self.entry.born_ms:
            return None
        return self.entry.version

    def is_of(self, origin: stream_origins.StreamOrigin) -> bool:
        """Whether a stream that began there may go on here."""
        return (
            origin.version is not None
            and self.entry.service == origin.service
            and self.version == origin.version
        )

    @property
    def running(self) -> float:
        """Requests in flight there, from all instances."""
        return self.own_running + self.others_running

    def failure_share(self, now_s: float) -> float:
        """Returns the recent share of failures over all instances."""
        return self.health.outcomes(now_s).plus(self.others_outcomes).share

    def slowness(self, now_s: float) -> float:
        """Returns how many times slower than usual it is, from 1."""
        # Each choice asks this of each engine; most have nothing to add up.
        if self.usual_ratio <= 0:
            return 1.0
        tally = self.engine.speed_record.recent(now_s)
        if self.others_outcomes.speed.count:
            tally = tally.plus(self.others_outcomes.speed)
        return tally.slowness(self.usual_ratio)

    def access(self, now_s: float, is_isolated: bool) -> Access:
        """Returns how this instance can send a new request there.

        Args:
          now_s: Monotonic time.
          is_isolated: Whether this instance is; see `Directory.is_isolated`.
        """
        if self.failure_share(now_s) >= DOWN_FAILURE_SHARE:
            return Access.NONE
        own, others = self.reachability, self.others_reachability
        is_path_failing = own.is_path_failing(now_s)
        if is_isolated and not own.was_reached(now_s):
            is_path_failing = True
        if is_path_failing and (others.hears or is_isolated):
            return Access.VIA_PEER
        if not is_path_failing or not own.has_failed_recently(now_s):
            return Access.UNCERTAIN if self.is_down(now_s) else Access.DIRECT
        if others.refused or others.silent:
            return Access.NONE
        return Access.UNCERTAIN

    def is_down(self, now_s: float) -> bool:
        """Whether it is down for all instances, or nearly all requests fail."""
        if self.failure_share(now_s) >= DOWN_FAILURE_SHARE:
            return True
        return self.others_reachability.plus(
            self.reachability.state(now_s)
        ).is_down

    def is_refusing(self, now_s: float) -> bool:
        """Whether some instance finds its port closed, and none hears it."""
        counts = self.others_reachability.plus(self.reachability.state(now_s))
        return counts.refused > 0 and not counts.hears

    def record_duration(self, duration_s: float) -> None:
        """Updates the average duration of requests there."""
        if not self.mean_duration_s:
            self.mean_duration_s = duration_s
        weight = (
            RELAXED_DURATION_WEIGHT
            if self.is_duration_relaxed
            else DURATION_WEIGHT
        )
        self.is_duration_relaxed = False
        self.mean_duration_s += (duration_s - self.mean_duration_s) * weight

    def relax_duration(self, duration_s: float) -> None:
        """Replaces an average that has not been confirmed by use."""
        self.mean_duration_s = duration_s
        self.is_duration_relaxed = True


class Directory:
    """All upstreams that this instance knows.

    Attributes:
      drain_s: Time within which new requests to a leaving upstream must stop.
    """

    __slots__ = (
        "_known",
        "drain_s",
        "_is_isolated",
        "_unreachable_count",
        "_last_reached_s",
        "_reached_since_s",
        "_isolation_from_s",
        "_backoffs_end_s",
    )

    def __init__(self, drain_s: float):
        self._known: dict[str, KnownUpstream] = {}
        self.drain_s = drain_s
        # When the last upstream wants requests again.
        self._backoffs_end_s = -math.inf
        self._is_isolated = False
        self._unreachable_count = 0
        # When any upstream was last reached, and since when that has happened
        # again and again.
        self._last_reached_s = -math.inf
        self._reached_since_s = -math.inf
        # When the isolation was last determined.
        self._isolation_from_s = -ISOLATION_TTL_S

    def __iter__(self) -> Iterable[KnownUpstream]:
        return iter(self._known.values())

    def __len__(self) -> int:
        return len(self._known)

    def get(self, instance_id: str) -> KnownUpstream | None:
        """Returns an upstream by its instance id, or None."""
        return self._known.get(instance_id)

    def update_entry(self, entry: serving.Upstream) -> bool:
        """Applies an upstream's entry; returns whether anything changed."""
        known = self._known.get(entry.instance_id)
        if known is None or known.entry.born_ms < entry.born_ms:
            # A new upstream, or one restarted under the same id, which keeps no
            # state from its previous incarnation.
            self._known[entry.instance_id] = KnownUpstream(
                entry, is_leaving=entry.is_leaving
            )
            return True
        if entry.born_ms < known.entry.born_ms:
            # A late entry of an earlier incarnation.
            return False
        changed = known.entry != entry or known.lapsed_s is not None
        known.lapsed_s = None
        known.is_leaving = known.is_leaving or entry.is_leaving
        known.entry = entry
        return changed

    def lapsed(self, instance_id: str, now_s: float) -> None:
        """Records that an entry was dropped from the store."""
        known = self._known.get(instance_id)
        if known is not None and known.lapsed_s is None:
            known.lapsed_s = now_s

    def replaced(self, instance_id: str) -> None:
        """Records that another upstream answers at the address."""
        known = self._known.get(instance_id)
        if known is not None:
            known.is_replaced = True

    def lapse_unlisted(self, instance_ids: Iterable[str], now_s: float) -> None:
        """Marks every upstream that is not in a complete list as lapsed."""
        listed = set(instance_ids)
        for instance_id in self._known:
            if instance_id not in listed:
                self.lapsed(instance_id, now_s)

    def remove_lapsed(self, now_s: float) -> list[KnownUpstream]:
        """Removes upstreams that lapsed a drain bound ago; returns them."""
        expired = [
            known
            for known in self._known.values()
            if known.lapsed_s is not None
            and now_s - known.lapsed_s >= self.drain_s
            and not known.own_running
        ]
        for known in expired:
            del self._known[known.entry.instance_id]
        return expired

    def usable(self, service: str, now_s: float) -> list[KnownUpstream]:
        """Returns the upstreams of a service that may receive new requests.

        Those that want no requests for some time are left out.
        Upstreams with lapsed entries are returned only if there are no others,
        and only for a share of the drain bound.
        """
        active = []
        lapsed = []
        for known in self._known.values():
            if known.entry.service != service:
                continue
            if known.is_retired or known.wants_backoff(now_s):
                continue
            if known.lapsed_s is None:
                active.append(known)
            elif now_s - known.lapsed_s < self.drain_s * LAPSED_USE_SHARE:
                lapsed.append(known)
        return active or lapsed

    def record_backoff(
        self, known: KnownUpstream, backoff_s: float, now_s: float
    ) -> None:
        """Records that an upstream wants no requests for some seconds.

        An earlier wish that lasts longer holds on.
        """
        until_s = now_s + min(retry_after.MAX_S, backoff_s)
        known.backoff_until_s = max(known.backoff_until_s, until_s)
        self._backoffs_end_s = max(self._backoffs_end_s, until_s)

    def backing_off(self, service: str, now_s: float) -> list[KnownUpstream]:
        """Returns the upstreams of a service that want no requests for now."""
        if now_s >= self._backoffs_end_s:
            return []
        return [
            known
            for known in self._known.values()
            if known.entry.service == service
            and known.wants_backoff(now_s)
            and not known.is_retired
            and known.lapsed_s is None
        ]

    def reported_outcomes(
        self, now_s: float
    ) -> list[tuple[str, health_lib.Outcomes]]:
        """Returns the outcomes at upstreams that fail or are slow.

        Those that are neither are left out: most upstreams are sound.
        """
        slow = {
            known.entry.instance_id: slowness
            for known in self._known.values()
            if known.usual_ratio > 0
            and (slowness := known.slowness(now_s))
            >= upstream_speed.MIN_REPORTED_SLOWNESS
        }
        slow_names = set(heapq.nlargest(MAX_SLOW_ROWS, slow, key=slow.get))
        reported = []
        for name, known in self._known.items():
            outcomes = known.health.outcomes(now_s)
            # Computed only for upstreams that fail anywhere, which are few.
            has_failures = (
                outcomes.total > 0
                and (outcomes.failed > 0 or known.others_outcomes.failed > 0)
                and known.failure_share(now_s) >= MIN_REPORTED_FAILURE_SHARE
            )
            if not has_failures:
                outcomes = health_lib.Outcomes()
            if name in slow_names:
                outcomes = health_lib.Outcomes(
                    outcomes.failed,
                    outcomes.total,
                    known.engine.speed_record.recent(now_s),
                )
            if has_failures or outcomes.speed.count >= MIN_REPORTED_ANSWERS:
                reported.append((name, outcomes))
        return reported

    def update_usual_speeds(self, instances: int, now_s: float) -> None:
        """Sets what is usual in each service: the median of its upstreams.

        It is known only where there are more instances than an upstream has
        slots. With fewer, each sees enough answers of its own.

        Args:
          instances: How many there are.
          now_s: Monotonic time.
        """
        ratios: dict[str, list[float]] = {}
        for known in self._known.values():
            ratio = known.engine.speed_record.usual_ratio(now_s)
            if ratio > 0 and instances > known.entry.slots:
                ratios.setdefault(known.entry.service, []).append(ratio)
        for known in self._known.values():
            found = ratios.get(known.entry.service)
            known.usual_ratio = statistics.median_low(found) if found else 0.0

    def is_isolated(self, now_s: float) -> bool:
        """Whether this instance is cut off from the upstreams.

        It then can't reach several of them and has reached none recently. That
        says nothing about the upstreams.
        """
        self._update_isolation(now_s)
        return self._is_isolated

    def reported_state(
        self, known: KnownUpstream, now_s: float
    ) -> reachability_lib.State:
        """Returns what this instance reports of an upstream to the others.

        It reports a failure only if it reached other upstreams both before and
        after it: otherwise its own links may have been cut.
        """
        state = known.reachability.state(now_s)
        if state in (
            reachability_lib.State.SILENT,
            reachability_lib.State.REFUSED,
        ):
            self._update_isolation(now_s)
            began_s, ended_s = known.reachability.failure_span_s(now_s)
            if (
                began_s < self._reached_since_s
                or ended_s > self._last_reached_s
            ):
                return reachability_lib.State.UNKNOWN
        return state

    def unreachable_count(self, now_s: float) -> int:
        """Returns how many upstreams only other instances can reach."""
        self._update_isolation(now_s)
        return self._unreachable_count

    def is_mostly_unreachable(self, now_s: float) -> bool:
        """Whether only other instances can reach most of the upstreams."""
        return 2 * self.unreachable_count(now_s) > len(self._known)

    def _update_isolation(self, now_s: float) -> None:
        if now_s - self._isolation_from_s < ISOLATION_TTL_S:
            return
        self._isolation_from_s = now_s
        failing = [
            known
            for known in self._known.values()
            if known.lapsed_s is None
            and known.reachability.is_path_failing(now_s)
        ]
        last_reached_s = max(
            (one.reachability.last_reached_s for one in self._known.values()),
            default=-math.inf,
        )
        gap_s = last_reached_s - self._last_reached_s
        if gap_s > reachability_lib.CONTACT_TTL_S:
            self._reached_since_s = last_reached_s
        self._last_reached_s = last_reached_s
        self._is_isolated = (
            len(failing) >= ISOLATION_MIN_UPSTREAMS
            and now_s - last_reached_s >= reachability_lib.CONTACT_TTL_S
        )
        if self._is_isolated:
            self._unreachable_count = len(self._known)
        else:
            # A path that no request has wanted since may work again.
            self._unreachable_count = sum(
                known.others_reachability.hears > 0
                and known.reachability.has_failed_recently(now_s)
                for known in failing
            )

    def best_access(
        self, candidates: Iterable[KnownUpstream], now_s: float
    ) -> list[KnownUpstream]:
        """Returns the candidates that new requests should be sent to.

        Those known to be reachable, directly or not; else those for which it is
        uncertain.
        """
        is_isolated = self.is_isolated(now_s)
        reachable = []
        uncertain = []
        for known in candidates:
            match known.access(now_s, is_isolated):
                case Access.DIRECT | Access.VIA_PEER:
                    reachable.append(known)
                case Access.UNCERTAIN:
                    uncertain.append(known)
        return reachable or uncertain

    def may_receive(self, known: KnownUpstream, now_s: float) -> bool:
        """Whether an upstream chosen earlier may still get a request."""
        if known.wants_backoff(now_s):
            return False
        if known.lapsed_s is None:
            return not known.is_retired
        usable = self.usable(known.entry.service, now_s)
        return any(known is one for one in usable)
