"""The steward's application object, which owns its components."""

import asyncio
import os
import random
import uuid

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.core import messages
from sesamecross.core import records
from sesamecross.ops import gossip
from sesamecross.ops import membership as membership_lib
from sesamecross.ops import replay
from sesamecross.ops import timeline
from sesamecross.parser import settings as settings_lib
from sesamecross.ports import engine_http
from sesamecross.ports import instances_http
from sesamecross.ports import log_http
from sesamecross.runtime import http_server
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import supervisor
from sesamecross.steward import bootstrapper
from sesamecross.steward import claim_group_manager as claim_group_manager_lib
from sesamecross.steward import claim_router as claim_router_lib
from sesamecross.steward import contact_tracker as contact_tracker_lib
from sesamecross.steward import demand_tracker as demand_tracker_lib
from sesamecross.steward import engine_poller as engine_poller_lib
from sesamecross.steward import lease_manager
from sesamecross.steward import local_replica as local_replica_lib
from sesamecross.steward import log_reader
from sesamecross.steward import log_writer
from sesamecross.steward import peer_links as peer_links_lib
from sesamecross.steward import placement_controller as placement_controller_lib
from sesamecross.steward import server as server_lib
from sesamecross.steward import snapshotter as snapshotter_lib
from sesamecross.steward import view_sender as view_sender_lib

LEAVE_TIMEOUT_S = 3.0
HANDOVER_TIMEOUT_S = 5.0


class StewardApp:
    """Owns all components of one steward process."""

    def __init__(
        self, settings: settings_lib.StewardSettings, clock: clock_lib.Clock
    ):
        self._settings = settings
        self._clock = clock
        self._logger = logs.get_logger("steward")
        started = f"{uuid.uuid4().hex[:12]}"
        self.me = data.Member(
            data.Incarnation(settings.instance, started),
            settings.zone,
            settings.region,
            settings.advertise or settings.listen,
        )
        self.recorder = timeline.Recorder(
            f"steward/{settings.instance}", settings.zone, clock
        )
        self.metrics = metrics_lib.Metrics()
        self._rng = random.Random(os.urandom(8))
        self.replica = local_replica_lib.LocalReplica(self.recorder)
        self.replica.add_listener(self._on_event)

    @classmethod
    def from_settings(
        cls, settings: settings_lib.StewardSettings
    ) -> "StewardApp":
        """Returns an application that uses the system clock."""
        return cls(settings, clock_lib.SystemClock())

    def components(self) -> list[supervisor.Component]:
        """Returns the components in start order."""
        settings = self._settings
        self._log = log_http.HttpLog(settings.log_url)
        self._store = gossip.ItemStore(settings.zone)
        self._membership = membership_lib.Membership(
            self.me, settings.suspect_ms
        )
        self._engines = engine_http.HttpEngine()
        self.writer = log_writer.LogWriter(
            self._log, settings.instance, self.recorder, self._rng
        )
        self._bootstrapper = bootstrapper.Bootstrapper()
        self.reader = log_reader.LogReader(
            self._log,
            self.replica,
            self.recorder,
            self._rng,
            self._bootstrapper.on_gap,
        )
        contact_tracker = contact_tracker_lib.ContactTracker(self._clock)
        self.claim_group_manager = claim_group_manager_lib.ClaimGroupManager(
            self.me,
            self.replica,
            self.reader,
            self.writer,
            self._membership,
            contact_tracker,
            self._clock,
            self.recorder,
        )
        claim_router = claim_router_lib.ClaimRouter(
            self.me.incarnation,
            self.replica,
            self.claim_group_manager,
            self.recorder,
        )
        self.peer_links = peer_links_lib.PeerLinks(
            self.me,
            settings.shared_key,
            self.replica,
            self._store,
            self._membership,
            instances_http.HttpInstances(settings.instances_url),
            self._clock,
            self.recorder,
            self._rng,
            settings.heartbeat_ms,
            contact_tracker,
            self.claim_group_manager,
            claim_router,
        )
        self.engine_poller = engine_poller_lib.EnginePoller(
            self.me,
            self.replica,
            self._store,
            self._membership,
            self._engines,
            self.recorder,
            settings.report_ms,
            self.peer_links,
        )
        self.demand_tracker = demand_tracker_lib.DemandTracker(
            self.me, self._store, self.recorder
        )
        self.lease = lease_manager.LeaseManager(
            self.me,
            settings,
            self.replica,
            self.reader,
            self.writer,
            self._membership,
            self._clock,
            self.recorder,
            self.peer_links,
        )
        self.placement_controller = (
            placement_controller_lib.PlacementController(
                self.me,
                self.replica,
                self.lease,
                self.reader,
                self.writer,
                self.engine_poller,
                self._engines,
                self.demand_tracker,
                self._clock,
                self.recorder,
                settings.plan_ms,
            )
        )
        self.server = server_lib.Server(
            settings.listen,
            settings.shared_key,
            self.recorder,
            claim_router,
            self.peer_links,
            self._on_demand,
            self.status,
        )
        self.view_sender = view_sender_lib.ViewSender(
            self.replica,
            self.engine_poller,
            self.reader,
            self.server,
            self._membership,
            self.peer_links,
        )
        self._bootstrapper.bind(self)
        snapshotter = snapshotter_lib.Snapshotter(
            self.me,
            self.replica,
            self.reader,
            self.writer,
            self._membership,
            settings.snapshot_records,
        )
        http = http_server.HttpServer(
            "http",
            settings.metrics_listen,
            self._http,
            http_server.Limits(threads=2, max_connections=50),
        )
        return [
            self.writer,
            self.reader,
            self.peer_links,
            self.server,
            self._bootstrapper,
            self.claim_group_manager,
            self.engine_poller,
            self.lease,
            self.placement_controller,
            self.view_sender,
            snapshotter,
            http,
        ]

    async def drain(self) -> None:
        """Shuts down as planned.

        Releases the lease, waits until the claim groups can do without this
        steward, and appends MemberLeft to the log.
        """
        self.peer_links.leaving = True
        self.claim_group_manager.leaving = True
        await self.placement_controller.stop()
        await self.lease.stop()
        if self.reader.reachable:
            handed_over = await self.claim_group_manager.wait_until_handed_over(
                HANDOVER_TIMEOUT_S
            )
            self._logger.info("claim groups are handed over", done=handed_over)
        try:
            if self.writer.reachable:
                self.writer.submit(records.MemberLeft(self.me.incarnation))
            await asyncio.wait_for(
                self.writer.wait_until_flushed(), LEAVE_TIMEOUT_S
            )
        except (TimeoutError, log_writer.QueueFullError):
            self._logger.warning(
                "log is unreachable, leaving without a MemberLeft record"
            )

    def status(self, request_id: str) -> messages.StatusReply:
        """Returns this steward's status for operators."""
        state = self.replica.state
        unresolved = tuple(
            (
                intent.order.order_id,
                intent.order.upstream,
                intent.order.action.value,
                intent.order.target,
            )
            for intent in state.intents.unresolved.values()
        )
        open_claims = sum(
            1
            for claim in state.claims.by_name.values()
            if claim.executed is None
        )
        return messages.StatusReply(
            request_id,
            self.me.incarnation.instance,
            self.me.zone,
            state.config.state.version,
            state.next_offset,
            self.reader.reachable,
            self.server.entry is not None,
            self.server.entry.acknowledged_version if self.server.entry else -1,
            tuple(self._peer_statuses()),
            tuple(self.engine_poller.reports()),
            {
                zone: lease.holder.instance
                for zone, lease in sorted(state.leases.leases.items())
            },
            unresolved,
            tuple(sorted(state.draining)),
            tuple(
                f"{s.name} {s.reason}; {s.remedy}"
                for s in self.placement_controller.shortfalls
            ),
            open_claims,
            self.placement_controller.applied_order_count,
        )

    def _peer_statuses(self) -> list[messages.PeerStatus]:
        now_ms = self._clock.monotonic_ms()
        statuses = []
        for name, member in sorted(self._membership.known().items()):
            peer_state = self._membership.state_of(name)
            if peer_state is None:
                continue
            heartbeat = self.peer_links.heartbeats.get(name)
            statuses.append(
                messages.PeerStatus(
                    name,
                    member.zone,
                    peer_state[0].value,
                    heartbeat.version if heartbeat else -1,
                    heartbeat.next_offset if heartbeat else -1,
                    heartbeat.log_reachable if heartbeat else False,
                    now_ms - peer_state[1],
                )
            )
        return statuses

    def _on_demand(self, report: messages.DemandReport) -> None:
        self.peer_links.entry_address = report.address
        self.demand_tracker.record_counts(report.calls, report.interval_ms)

    def _on_event(self, event: replay.AppliedRecord) -> None:
        match event.record:
            case records.ConfigPublished(change_id=change_id, author=author):
                verdict = event.result
                self.recorder.add(
                    timeline.EventKind.CONFIG,
                    f"change {change_id} by {author} is"
                    f" {verdict.outcome.value}, version {verdict.version}",
                )
                self._logger.info(
                    "configuration change is decided",
                    change_id=change_id,
                    outcome=verdict.outcome.value,
                    version=verdict.version,
                )
            case records.DrainMarked(upstream=upstream, draining=draining):
                what = "drain is asked for" if draining else "drain is ended"
                self.recorder.add(
                    timeline.EventKind.DRAIN, what, upstream=upstream
                )

    def _http(self, environ, start_response):
        path = environ.get("PATH_INFO", "/")
        if path == "/metrics":
            self._refresh_metrics()
            body, content_type = self.metrics.render()
            return http_server.send_response(
                start_response, "200 OK", body, content_type
            )
        if path == "/healthz":
            return http_server.send_json(start_response, {"ok": True})
        if path == "/readyz":
            ready = self.view_sender.is_ready
            status = "200 OK" if ready else "503 Service Unavailable"
            return http_server.send_json(
                start_response, {"ready": ready}, status
            )
        return http_server.send_json(
            start_response, {"error": "no such path"}, "404 Not Found"
        )

    def _refresh_metrics(self) -> None:
        state = self.replica.state
        gauges = {
            "sesamecross_config_version": (
                "Configuration version in force.",
                state.config.state.version,
            ),
            "sesamecross_log_next_offset": (
                "Offset up to which the log is replayed.",
                state.next_offset,
            ),
            "sesamecross_log_reachable": (
                "1 while reads of the log are answered.",
                int(self.reader.reachable),
            ),
            "sesamecross_lease_held": (
                "1 while this steward holds its zone's lease.",
                int(self.lease.held_lease() is not None),
            ),
            "sesamecross_intents_unresolved": (
                "Orders whose outcome is not proved.",
                len(state.intents.unresolved),
            ),
            "sesamecross_claims": (
                "Claims remembered.",
                len(state.claims.by_name),
            ),
            "sesamecross_log_appends": (
                "Appends made by this steward.",
                self.writer.appends,
            ),
            "sesamecross_log_append_bytes": (
                "Bytes appended by this steward.",
                self.writer.append_bytes,
            ),
            "sesamecross_peer_bytes": (
                "Bytes sent to other stewards.",
                self.peer_links.bytes_sent,
            ),
            "sesamecross_moves": (
                "Orders applied under this steward's lease.",
                self.placement_controller.applied_order_count,
            ),
        }
        for name, (doc, value) in gauges.items():
            self.metrics.set(name, doc, {}, value)
