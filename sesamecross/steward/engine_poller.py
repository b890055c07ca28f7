"""Polls engines and gossips their reports.

Every entry needs residency and load of the upstreams. Upstreams run no code of
this project, so they have to be polled. One steward of the upstream's zone,
chosen by rendezvous hashing, polls it; the report spreads by gossip.
"""

import asyncio
import dataclasses

from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.ops import gossip
from sesamecross.ops import membership as membership_lib
from sesamecross.ops import timeline
from sesamecross.ports import engine_http
from sesamecross.runtime import logs
from sesamecross.steward import local_replica as local_replica_lib
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
    ):
        self._me = me
        self._replica = replica
        self._store = store
        self._membership = membership
        self._engines = engines
        self._recorder = recorder
        self._poll_interval_s = report_ms / 1000
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
            await asyncio.sleep(self._poll_interval_s)

    async def stop(self) -> None:
        """Does nothing: no work is open between polls."""

    def _assigned_upstreams(self) -> list[data.Upstream]:
        alive = self._membership.alive_in_zone()
        me = self._me.incarnation.instance
        return [
            upstream
            for upstream in self._replica.state.config.declarations.engines()
            if upstream.zone == self._me.zone
            and rendezvous.top(f"poll/{upstream.name}", alive, 1) == [me]
        ]

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
        if failures == UNREACHABLE_AFTER_FAILURES:
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
        if before == without_sequence and now_s - at_s < refresh_s:
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
