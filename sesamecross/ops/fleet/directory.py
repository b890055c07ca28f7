"""Which upstreams there are, and which of them may get new requests.

Why: what is known of upstreams comes from several sides at different times:
their own entries in the store, entries that lapse, answers that say another
one has the address, attempts that fail. New requests must stop going to an
upstream that leaves within the drain bound, and must not stop going to all
of them because the store had an outage.
"""

from collections.abc import Iterable
import dataclasses

from sesamecross.core import serving
from sesamecross.ops.fleet import engine_state
from sesamecross.ops.fleet import health as health_lib
from sesamecross.ops.fleet import reachability as reach_lib

# An entry that lapsed is used for this part of the drain bound, as a last
# choice: entries also lapse while the store is away, and are back within two
# seconds of its return if their upstreams live.
LAPSED_USE_SHARE = 0.75
# Part of the drain bound for which an upstream that leaves still gets what no
# other one can serve. The rest is for hearing of it (up to 1 s by way of a hub)
# and for the way there.
LEAVING_USE_SHARE = 0.3
# An upstream that leaves serves on for the drain bound and a little longer.
LINGER_S = 1.0
# Weight of the newest request in what is learned of an upstream's speed.
WORK_LEARN = 0.1
# From this share of failures on nothing new is sent, if anything else can do.
DOWN_SHARE = 0.75


@dataclasses.dataclass(slots=True)
class KnownUpstream:
    """One life of an upstream and what this instance believes of it.

    Attributes:
      entry: What it last said of itself.
      lapsed_s: When its entry was dropped from the store, or None.
      leaving_s: When it said that it leaves, or None. Never taken back for
        one life: an older entry that arrives late must not bring new
        requests there.
      is_replaced: Another upstream answered at its address.
      own_running, others_running: Requests there, of this instance and of
        the others by their last word.
      reach, others_reports: Whether this instance reaches it, and how many
        others do.
      others_outcomes: What became of the others' requests there.
      engine: What it holds, if it is an engine.
      work_s: How long a request takes there, smoothed; 0 if none did yet.
    """

    entry: serving.Upstream
    lapsed_s: float | None = None
    leaving_s: float | None = None
    is_replaced: bool = False
    health: health_lib.Health = dataclasses.field(
        default_factory=health_lib.Health
    )
    own_running: int = 0
    others_running: float = 0.0
    others_outcomes: health_lib.Outcomes = health_lib.Outcomes()
    reachability: reach_lib.Reachability = dataclasses.field(
        default_factory=reach_lib.Reachability
    )
    others_reachability: reach_lib.ReachabilityCounts = (
        reach_lib.ReachabilityCounts()
    )
    work_s: float = 0.0
    engine: engine_state.EngineState = dataclasses.field(
        default_factory=engine_state.EngineState
    )

    @property
    def is_leaving(self) -> bool:
        """Whether it said that it leaves."""
        return self.leaving_s is not None

    @property
    def running(self) -> float:
        """Requests there, this instance's and the others'."""
        return self.own_running + self.others_running

    def failing(self, now_s: float) -> float:
        """The recent share of failures, over all instances."""
        return self.health.outcomes(now_s).plus(self.others_outcomes).share

    def seems_down(self, now_s: float) -> bool:
        """Whether this instance should send nothing new there."""
        own = self.reachability.state(now_s)
        if own in (reach_lib.State.SILENT, reach_lib.State.REFUSED):
            return True
        return self.is_down(now_s)

    def is_down(self, now_s: float) -> bool:
        """Whether it is down for all instances, or nearly everything fails."""
        if self.failing(now_s) >= DOWN_SHARE:
            return True
        return self.others_reachability.plus(
            self.reachability.state(now_s)
        ).is_down

    def record_duration(self, took_s: float) -> None:
        """Learns how long a request takes there."""
        if not self.work_s:
            self.work_s = took_s
        self.work_s += (took_s - self.work_s) * WORK_LEARN


class Directory:
    """All upstreams that this instance has heard of.

    Attributes:
      drain_s: The bound on new requests to one that leaves.
    """

    __slots__ = ("_known", "drain_s")

    def __init__(self, drain_s: float):
        self._known: dict[str, KnownUpstream] = {}
        self.drain_s = drain_s

    def __iter__(self) -> Iterable[KnownUpstream]:
        return iter(self._known.values())

    def __len__(self) -> int:
        return len(self._known)

    def get(self, instance_id: str) -> KnownUpstream | None:
        """Returns one upstream by its id."""
        return self._known.get(instance_id)

    def update_entry(self, entry: serving.Upstream, now_s: float) -> bool:
        """Takes in an upstream's entry; returns whether anything changed."""
        known = self._known.get(entry.instance_id)
        if known is None or known.entry.born_ms < entry.born_ms:
            # The first one, or a restart under the same id: it holds and
            # knows nothing of before.
            known = KnownUpstream(entry)
            self._known[entry.instance_id] = known
            known.leaving_s = now_s if entry.is_leaving else None
            return True
        if entry.born_ms < known.entry.born_ms:
            # A late entry of an earlier life.
            return False
        changed = known.entry != entry or known.lapsed_s is not None
        known.lapsed_s = None
        if entry.is_leaving and known.leaving_s is None:
            known.leaving_s = now_s
        known.entry = entry
        return changed

    def lapsed(self, instance_id: str, now_s: float) -> None:
        """Takes in that an entry was dropped from the store."""
        known = self._known.get(instance_id)
        if known is not None and known.lapsed_s is None:
            known.lapsed_s = now_s

    def replaced(self, instance_id: str) -> None:
        """Takes in that another upstream answers at the address."""
        known = self._known.get(instance_id)
        if known is not None:
            known.is_replaced = True

    def lapse_unlisted(self, instance_ids: Iterable[str], now_s: float) -> None:
        """Takes in a whole list: what isn't on it has lapsed."""
        listed = set(instance_ids)
        for instance_id in self._known:
            if instance_id not in listed:
                self.lapsed(instance_id, now_s)

    def remove_lapsed(self, now_s: float) -> list[KnownUpstream]:
        """Drops what lapsed long ago; returns what was dropped."""
        gone = [
            known
            for known in self._known.values()
            if known.lapsed_s is not None
            and now_s - known.lapsed_s >= self.drain_s
            and not known.own_running
        ]
        for known in gone:
            del self._known[known.entry.instance_id]
        return gone

    def usable(self, service: str, now_s: float) -> list[KnownUpstream]:
        """Returns the upstreams of a service that may get new requests.

        Those whose entries lapsed are among them only where no other is
        left, and for a part of the drain bound only.
        """
        found = []
        lapsed = []
        for known in self._known.values():
            if known.entry.service != service:
                continue
            if known.is_replaced:
                continue
            if known.leaving_s is not None:
                continue
            if known.lapsed_s is None:
                found.append(known)
            elif now_s - known.lapsed_s < self.drain_s * LAPSED_USE_SHARE:
                lapsed.append(known)
        return found or lapsed

    def usable_while_leaving(
        self, service: str, lasts_s: float, now_s: float
    ) -> list[KnownUpstream]:
        """Returns upstreams that leave and may still get a request.

        They are a last choice, for what no other upstream holds: it takes
        seconds to load a model elsewhere, and so long this one serves on.

        Args:
          service: Whose upstreams.
          lasts_s: How long the request goes on there.
          now_s: Monotonic time.
        """
        return [
            known
            for known in self._known.values()
            if known.entry.service == service
            and not known.is_replaced
            and known.lapsed_s is None
            and known.leaving_s is not None
            and self._serves_on(known, lasts_s, now_s)
        ]

    def may_receive(
        self, known: KnownUpstream, lasts_s: float, now_s: float
    ) -> bool:
        """Whether an upstream that was chosen a moment ago may get a request.

        Args:
          known: The upstream.
          lasts_s: How long the request goes on there.
          now_s: Monotonic time.
        """
        if known.is_replaced:
            return False
        if known.leaving_s is not None:
            return self._serves_on(known, lasts_s, now_s)
        return True

    def _serves_on(
        self, known: KnownUpstream, lasts_s: float, now_s: float
    ) -> bool:
        gone_s = now_s - known.leaving_s
        if gone_s >= self.drain_s * LEAVING_USE_SHARE:
            return False
        stays_s = known.entry.remaining_s
        if stays_s is None:
            stays_s = self.drain_s + LINGER_S
        return gone_s + lasts_s < stays_s
