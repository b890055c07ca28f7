"""Polls engines and gossips their reports.

Every entry needs residency and load of the upstreams. Upstreams run no code of
this project, so they have to be polled. One steward of the upstream's zone,
chosen by rendezvous hashing, polls it; the report spreads by gossip.
"""

import asyncio
import dataclasses

from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.core import hlc
from sesamecross.ops import gossip
from sesamecross.ops import membership as membership_lib
from sesamecross.ops import timeline
from sesamecross.ports import engine_http
from sesamecross.runtime import logs
from sesamecross.steward import local_replica as local_replica_lib
from sesamecross.steward import peer_links as peer_links_lib
from sesamecross.utils import rendezvous

REPORT_PREFIX = "report/"
# Consecutive failed polls after which an upstream is reported unreachable.
UNREACHABLE_AFTER_FAILURES = 3
# An unchanged report is published again after this interval. Entries discount
# the load in old reports, so reports of busy upstreams are refreshed sooner.
BUSY_REFRESH_S = 1.0
IDLE_REFRESH_S = 5.0


class EnginePoller:
    """Component that polls the engines assigned to this steward."""

    __slots__ = (
        "_me",
        "_replica",
        "_store",
        "_membership",
        "_engines",
        "_recorder",
        "_poll_interval_s",
        "_peer_links",
        "_failures",
        "_published",
        "_logger",
    )

    def __init__(
        self,
        me: data.Member,
        replica: local_replica_lib.LocalReplica,
        store: gossip.ItemStore,
        membership: membership_lib.Membership,
        engines: engine_http.HttpEngine,
        recorder: timeline.Recorder,
        report_ms: int,
        peer_links: peer_links_lib.PeerLinks,
    ):
        self._me = me
        self._replica = replica
        self._store = store
        self._membership = membership
        self._engines = engines
        self._recorder = recorder
        self._poll_interval_s = report_ms / 1000
        self._peer_links = peer_links
        self._failures: dict[str, int] = {}
        self._published: dict[str, tuple[data.UpstreamReport, float]] = {}
        self._logger = logs.get_logger("reporter")

    @property
    def name(self) -> str:
        """The component's name in logs."""
        return "reporter"

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            upstreams = self._assigned_upstreams()
            await asyncio.gather(
                *(self.poll(upstream) for upstream in upstreams)
            )
            self._update_reach(upstreams)
            await asyncio.sleep(self._poll_interval_s)

    async def stop(self) -> None:
        """Does nothing: no work is open between polls."""

    def _assigned_upstreams(self) -> list[data.Upstream]:
        me = self._me.incarnation.instance
        upstreams = [
            upstream
            for upstream in self._replica.state.config.declarations.engines()
            if upstream.zone == self._me.zone
        ]
        # More than one polls in the place of those that are cut off, as the
        # next one may be cut off too.
        count = 1 + len(self._peer_links.cut_off_peers())
        assigned = [
            upstream
            for upstream in upstreams
            if me in self._pollers(upstream)[:count]
        ]
        if not assigned and not self._peer_links.reaches_engines:
            # Shows when the own links work again.
            return upstreams[:1]
        return assigned

    def _pollers(self, upstream: data.Upstream) -> list[str]:
        """Returns the stewards that may poll an engine, in order."""
        cut_off = self._peer_links.cut_off_peers()
        names = [
            name
            for name in self._membership.alive_in_zone()
            if name not in cut_off
        ]
        return rendezvous.top(f"poll/{upstream.name}", names, len(names))

    def _update_reach(self, polled: list[data.Upstream]) -> None:
        """Notes whether this steward is probably cut off from the engines.

        The others then poll them in its place: what one steward can't reach is
        not down for all.
        """
        failures = [self._failures.get(one.name, 0) for one in polled]
        reaches = self._peer_links.reaches_engines
        if not failures or 0 in failures:
            reaches = True
        elif max(failures) >= UNREACHABLE_AFTER_FAILURES:
            reaches = False
        if reaches != self._peer_links.reaches_engines:
            self._peer_links.reaches_engines = reaches
            self._logger.warning(
                "reach of engines changed", reaches=reaches, polled=len(polled)
            )

    async def poll(
        self, upstream: data.Upstream
    ) -> engine_http.EngineStatus | None:
        """Polls one engine now; returns its status, or None if that failed."""
        result = await asyncio.to_thread(
            self._engines.status, upstream.name, upstream.url
        )
        status = result.value_or(None)
        if status is not None:
            self._failures.pop(upstream.name, None)
            self._publish(status.report)
            return status
        failures = self._failures.get(upstream.name, 0) + 1
        self._failures[upstream.name] = failures
        me = self._me.incarnation.instance
        if (
            failures == UNREACHABLE_AFTER_FAILURES
            and self._pollers(upstream)[:1] == [me]
            and not self._peer_links.has_substitute()
        ):
            self._publish_unreachable(upstream)
        return None

    @property
    def change_count(self) -> int:
        """Grows with each gossip item, local or received."""
        return self._store.change_count

    def report_of(self, upstream: str) -> data.UpstreamReport | None:
        """Returns the newest known report of an upstream, or None."""
        plain = self._store.get(REPORT_PREFIX + upstream)
        if plain is None:
            return None
        return codec.from_plain(plain).value_or(None)

    def report_version(self, upstream: str) -> hlc.Timestamp | None:
        """Returns when the newest known report was made, or None."""
        return self._store.version_of(REPORT_PREFIX + upstream)

    def reports(self) -> list[data.UpstreamReport]:
        """Returns the newest reports of all upstreams, sorted by upstream."""
        plains = [i.value for i in self._store.with_prefix(REPORT_PREFIX)]
        found = [codec.from_plain(plain).value_or(None) for plain in plains]
        return sorted(
            (report for report in found if report is not None),
            key=lambda report: report.upstream,
        )

    def _publish(self, report: data.UpstreamReport) -> None:
        """Publishes a report that has changed or whose last copy is old."""
        without_sequence = dataclasses.replace(report, sequence=0)
        before, at_s = self._published.get(report.upstream, (None, 0.0))
        now_s = asyncio.get_running_loop().time()
        busy = report.running or report.waiting
        refresh_s = BUSY_REFRESH_S if busy else IDLE_REFRESH_S
        known = self.report_of(report.upstream)
        # Another steward may have said otherwise since.
        is_undisputed = known is None or known.reachable == report.reachable
        is_recent = now_s - at_s < refresh_s
        if before == without_sequence and is_recent and is_undisputed:
            return
        self._published[report.upstream] = (without_sequence, now_s)
        stamp = self._recorder.now()
        item = gossip.Item(
            REPORT_PREFIX + report.upstream,
            stamp.wall_ms,
            stamp.count,
            codec.to_plain(report),
            self._me.zone,
            everywhere=True,
        )
        self._store.put(item)

    def _publish_unreachable(self, upstream: data.Upstream) -> None:
        self._logger.warning("upstream does not answer", upstream=upstream.name)
        self._recorder.add(
            timeline.EventKind.MEMBER,
            "does not answer",
            upstream=upstream.name,
        )
        known = self.report_of(upstream.name)
        if known is None:
            known = data.UpstreamReport(upstream.name, "", 0, False, False)
        self._publish(dataclasses.replace(known, reachable=False))


codec.register(data.UpstreamReport)
