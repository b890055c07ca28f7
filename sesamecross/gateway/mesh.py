"""Datagrams between instances: reports, summaries, views and placements.

The messages are small, quickly outdated and sent again, so a lost datagram does
no harm and a silent instance blocks no other. Datagrams carry a keyed digest:
the internal ports are open to anyone on the network, and a forged view could
steer all requests to one upstream.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import hmac

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import freshness
from sesamecross.ops.fleet import health
from sesamecross.ops.fleet import quota_ledger
from sesamecross.ops.fleet import reachability
from sesamecross.ops.fleet import report_totals
from sesamecross.ops.fleet import roster as roster_lib
from sesamecross.ops.fleet import store_polling
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import ticker as ticker_lib
from sesamecross.utils import rendezvous

DIGEST_BYTES = 12
# Below the largest UDP payload, with room for headers.
MAX_DATAGRAM_BYTES = 60_000
# How often changes are sent. Requests last seconds, so a view a few tenths of a
# second old is accurate to within a few percent.
ROUND_INTERVAL_S = 0.1
# Traffic between zones and regions is charged by volume, so their hubs exchange
# summaries less often.
SUMMARY_INTERVAL_S = 0.2
# To other regions. At half this interval, traffic between regions was a third
# of the daily traffic cost of 73 instances (31 MB in 50 s), although upstreams
# are rarely used from other regions.
REMOTE_SUMMARY_INTERVAL_S = 0.4
# The average rate at which a hub sends to its members, over a link that also
# carries answers to callers. Many or large views lengthen the interval between
# them.
VIEW_RATE_BYTES_PER_S = 100_000
MAX_VIEW_INTERVAL_S = 0.3
# How often a view includes the list of all instances. With many instances the
# list is the larger part of a view, and it rarely changes.
MEMBER_LIST_INTERVAL_S = 0.4
# How often a hub contacts members of its zone that are silent.
SILENT_CONTACT_INTERVAL_S = 0.5
# Own reports kept until a view says which of them its totals include.
MAX_UNCONFIRMED_REPORTS = 16
# Room for the numbers of one incarnation's messages.
NUMBER_BITS = 32
# The value of `left_s` that marks a released lease.
RELEASED_LEFT_S = -1.0

_NO_REPORTS = reachability.ReachabilityCounts()
_NO_OUTCOMES = health.Outcomes()

MessageListener = Callable[[fm.Message], None]
ReportSource = Callable[[], fm.Report]
ReportCompleter = Callable[[fm.Report], fm.Report]


def _subtract_outcomes(
    fleet: health.Outcomes | None, own: health.Outcomes | None
) -> health.Outcomes:
    """Returns the outcomes seen by all instances but this one."""
    if fleet is None:
        return _NO_OUTCOMES
    if own is None:
        return fleet
    return health.Outcomes(
        max(0.0, fleet.failed - own.failed),
        max(0.0, fleet.total - own.total),
        fleet.speed.minus(own.speed),
    )


def _subtract_reports(
    fleet: reachability.ReachabilityCounts | None,
    own: reachability.ReachabilityCounts | None,
) -> reachability.ReachabilityCounts:
    """Returns the counts over all instances but this one."""
    if fleet is None:
        return _NO_REPORTS
    if own is None:
        return fleet
    return reachability.ReachabilityCounts(
        max(0, fleet.hears - own.hears),
        max(0, fleet.silent - own.silent),
        max(0, fleet.refused - own.refused),
    )


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes received datagrams to the mesh."""

    def __init__(self, mesh: "Mesh"):
        self._mesh = mesh

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._mesh.transport = transport

    def datagram_received(self, data: bytes, address: tuple) -> None:
        self._mesh.on_datagram(data)

    def error_received(self, error: Exception) -> None:
        """Ignores the error: an unreachable peer is detected by its silence."""


class Mesh:
    """Component that exchanges datagrams with the other instances.

    Attributes:
      lease: The newest known state of the lease.
    """

    is_vital = False
    name = "mesh"

    def __init__(
        self,
        state: state_lib.State,
        report_source: ReportSource,
        metrics: metrics_lib.Metrics,
        ticker: ticker_lib.Ticker | None = None,
        complete_report: ReportCompleter = lambda report: report,
    ):
        """Initializes the component.

        Args:
          state: The instance's state.
          report_source: Builds the part of a report whose changes are sent at
            once; called in each round.
          metrics: Counts datagrams.
          ticker: The process's ticker.
          complete_report: Adds the rest; called for a report that is sent.
        """
        self._state = state
        self._report_source = report_source
        self._complete_report = complete_report
        self._metrics = metrics
        self._ticker = ticker or ticker_lib.Ticker()
        self._log = logs.get_logger("mesh")
        self.transport: asyncio.DatagramTransport | None = None
        self.roster: roster_lib.Roster | None = None
        self._secret = b""
        self._reports = report_totals.LatestMessages()
        self._summaries = report_totals.LatestMessages()
        self._number = 0
        self._unreachable_count = 0
        self._unconfirmed_reports: dict[int, fm.Report] = {}
        self._last_report: fm.Report | None = None
        self._last_report_s = 0.0
        # When the hub of each zone was last sent a summary.
        self._last_summary_s: dict[str, float] = {}
        self._last_list_s = 0.0
        # When this instance, as the hub, adds up reports next.
        self._next_view_s = 0.0
        self._hub = ""
        self._hub_progress = store_polling.HubProgress()
        self._last_contact_s = 0.0
        self._last_placement = (-1, -1, -1)
        # By sender, the incarnation and number of its last news of crashes.
        self._last_news: dict[str, tuple[int, int]] = {}
        # By hub, the number of its last view or summary.
        self._heard: dict[str, int] = {}
        self._listeners: list[MessageListener] = []
        self.lease: fm.LeaseAnnouncement | None = None
        self.lease_received_s = 0.0

    def add_listener(self, listener: MessageListener) -> None:
        """Adds a listener for placements and for requests and their replies."""
        self._listeners.append(listener)

    def join(
        self, me: fm.Member, secret: bytes, others: tuple[fm.Member, ...]
    ) -> None:
        """Joins the mesh once this start is registered."""
        now_s = event_loop.now_s()
        self._secret = secret
        # No number of an earlier incarnation is used again, as peers repeat
        # the last one that they know.
        self._number = max(0, me.incarnation) << NUMBER_BITS
        self.roster = roster_lib.Roster(me, now_s)
        self.roster.registered(others)

    @property
    def secret(self) -> str:
        """The shared key as streams take it, in hexadecimal."""
        return self._secret.hex()

    @property
    def me(self) -> fm.Member:
        """This instance, with its current read positions."""
        me = self.roster.me
        return fm.Member(
            me.name,
            me.incarnation,
            me.zone,
            me.address,
            self._state.version,
            self._state.upstreams_offset,
            self._unreachable_count,
        )

    async def run(self) -> None:
        """Sends reports, summaries and views periodically."""
        loop = event_loop.running()
        while True:
            await self._ticker.wait(ROUND_INTERVAL_S)
            if self.roster is None or self.transport is None:
                continue
            now_s = loop.time()
            self._unreachable_count = self._state.directory.unreachable_count(
                now_s
            )
            self._report_to_hub(now_s)
            if self._is_hub(now_s):
                self._send_summaries(now_s)
                self._update_zone(now_s)
            self._state.instance_count = 1 + self.roster.count_alive(now_s)

    async def open(self, ip: str, port: int) -> None:
        """Binds the datagram port."""
        loop = event_loop.running()
        await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self), local_addr=(ip, port)
        )

    async def stop(self) -> None:
        """Closes the port."""
        if self.transport is not None:
            self.transport.close()

    # -- sending -------------------------------------------------------

    def send(self, message: fm.Message, to: fm.Member) -> None:
        """Sends a message to one instance."""
        self._send_bytes(self._encode(message), to)

    def send_to_all(
        self, message: fm.Message, members: Iterable[fm.Member]
    ) -> None:
        """Sends a message to several instances."""
        data = self._encode(message)
        for member in members:
            self._send_bytes(data, member)

    def _encode(self, message: fm.Message) -> bytes:
        payload = fm.encode(message)
        return self._digest(payload) + payload

    def _digest(self, payload: bytes) -> bytes:
        digest = hashlib.blake2b(
            payload, key=self._secret, digest_size=DIGEST_BYTES
        )
        return digest.digest()

    def _send_bytes(self, data: bytes, to: fm.Member) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log.error("message too large", bytes=len(data))
            return
        if self.transport is None or self.transport.is_closing():
            # The port is closed: this process is stopping.
            return
        host, _, port = to.address.rpartition(":")
        self.transport.sendto(data, (host, int(port)))
        self._metrics.count(
            "sesamecross_datagram_bytes_sent_total",
            "Bytes of datagrams sent to other instances.",
            {},
            len(data),
        )

    def next_number(self) -> int:
        """Returns the next message number, larger than all before."""
        self._number += 1
        return self._number

    def broadcast(
        self, message: fm.Placement | fm.CrashNews | fm.RequestNews
    ) -> None:
        """Sends a message to all hubs, which relay it to their zones."""
        if self.roster is None or self.transport is None:
            return
        now_s = event_loop.now_s()
        data = self._encode(message)
        for zone in self._state.location.regions:
            hub = self.roster.hub_of(zone, now_s)
            if hub == self.roster.me.name:
                self._relay(data, message.me.name, now_s)
            elif hub is not None:
                self._send_bytes(data, self.roster.get(hub))

    def _relay(self, data: bytes, source: str, now_s: float) -> None:
        """Relays a message to the members of this hub's zone."""
        for member in self._members(now_s):
            if member.name != source:
                self._send_bytes(data, member)

    def _members(self, now_s: float) -> list[fm.Member]:
        zone = self.roster.me.zone
        return [
            member for member in self.roster.alive(now_s) if member.zone == zone
        ]

    def _silent_members(self, now_s: float) -> list[fm.Member]:
        """Returns silent members of the zone, at limited intervals.

        A member that registered at the same moment may know of no other and
        consider itself the hub; it learns of the others when one contacts it.
        """
        if now_s - self._last_contact_s < SILENT_CONTACT_INTERVAL_S:
            return []
        self._last_contact_s = now_s
        zone = self.roster.me.zone
        return [
            member
            for member in self.roster.silent(now_s)
            if member.zone == zone
        ]

    def _is_hub(self, now_s: float) -> bool:
        me = self.roster.me
        return self.roster.hub_of(me.zone, now_s) == me.name

    def should_read_store(self) -> bool:
        """Returns whether this instance reads the list of upstreams itself."""
        now_s = event_loop.now_s()
        if self.roster is not None and self._is_hub(now_s):
            return True
        return self._hub_progress.is_stalled(now_s)

    def asks_for_freshness(self) -> bool:
        """Whether this instance finds out itself if there is a newer version.

        That is a hub, always, and another once its hub tells nothing: one
        after the other, so that not all ask.
        """
        state = self._state
        if state.keys is None or self.roster is None:
            return False
        now_s = event_loop.now_s()
        if self._is_hub(now_s):
            return True
        bound_s = state.bounds.revoke_s
        age_s = state.freshness.age_s()
        if age_s < freshness.ask_after_s(bound_s, 0):
            return False
        me = self.roster.me
        names = [me.name, *(one.name for one in self._members(now_s))]
        ranked = rendezvous.top(f"fresh/{me.zone}", names, len(names))
        rank = ranked.index(me.name)
        return age_s >= freshness.ask_after_s(bound_s, rank)

    def max_store_backoff_s(self) -> float:
        """Returns the longest backoff between calls that the store refuses."""
        if self.roster is None or self.asks_for_freshness():
            return store_polling.READER_MAX_BACKOFF_S
        now_s = event_loop.now_s()
        hub = self.roster.hub_of(self.roster.me.zone, now_s)
        if hub == self.roster.me.name or not self.roster.is_alive(hub, now_s):
            return store_polling.READER_MAX_BACKOFF_S
        return store_polling.MEMBER_MAX_BACKOFF_S

    def store_poll_s(self) -> float:
        """Returns how long a read of the store waits for a record."""
        now_s = event_loop.now_s()
        if self.roster is None or self._is_hub(now_s):
            return store_polling.READER_POLL_S
        return store_polling.MEMBER_POLL_S

    def configuration_poll_s(self) -> float:
        """Returns how long a read of the configuration waits for a record."""
        if self.asks_for_freshness():
            read_s = freshness.READ_SHARE * self._state.bounds.revoke_s
            return min(store_polling.READER_POLL_S, read_s)
        return self.store_poll_s()

    def _report_to_hub(self, now_s: float) -> None:
        me = self.roster.me
        hub = self.roster.hub_of(me.zone, now_s)
        if hub != self._hub:
            self._log.info("hub", zone=me.zone, hub=hub, before=self._hub)
            self._hub = hub
            self._last_report = None
        report = self._report_source()
        is_due = now_s - self._last_report_s >= roster_lib.HEARTBEAT_INTERVAL_S
        if not is_due and self._is_unchanged(report):
            return
        report = self._complete_report(report)
        number = self.next_number()
        report = fm.Report(
            self.me,
            number,
            report.loads,
            report.uses,
            report.demand,
            report.failing,
            report.lease,
            self._state.freshness.told_age_s(),
            {hub: self._heard.get(hub, 0)},
            report.quotas,
        )
        self._last_report = report
        self._last_report_s = now_s
        if hub == me.name:
            self._reports.take(report, now_s)
            return
        self._state.freshness.record_sent(number)
        self._unconfirmed_reports[number] = report
        while len(self._unconfirmed_reports) > MAX_UNCONFIRMED_REPORTS:
            del self._unconfirmed_reports[next(iter(self._unconfirmed_reports))]
        self.send(report, self.roster.get(hub))

    def _is_unchanged(self, report: fm.Report) -> bool:
        last = self._last_report
        return last is not None and (
            last.loads == report.loads
            and last.uses == report.uses
            and last.me.configuration == self._state.version
        )

    def _send_summaries(self, now_s: float) -> None:
        zones = self._zones_due(now_s)
        if not zones:
            return
        reports = self._reports.fresh(now_s)
        totals = report_totals.aggregate(reports)
        window_s = self._state.bounds.quota_window_s
        totals.add_quotas(self._reports.gone_quotas(now_s, window_s))
        lease = self._lease_announcement(now_s)
        holder_zone = self._holder_zone(lease)
        without_demand = fm.Summary(
            self.me,
            self.next_number(),
            [report.me for report in reports],
            totals.loads(),
            [],
            [],
            totals.failures(),
            lease,
            self._state.freshness.told_age_s(),
            {
                hub: self._heard[hub]
                for zone in zones
                if (hub := self.roster.hub_of(zone, now_s)) in self._heard
            },
            totals.quota_uses(),
        )
        self._state.freshness.record_sent(without_demand.number)
        data = b""
        for zone in zones:
            hub = self.roster.hub_of(zone, now_s)
            if hub is None:
                continue
            to = self.roster.get(hub)
            if holder_zone in (None, zone):
                # Only the lease's holder needs the demand, which is the larger
                # part of the message.
                with_demand = msgspec.structs.replace(
                    without_demand,
                    uses=totals.uses(),
                    demand=list(totals.demand.values()),
                )
                self.send(with_demand, to)
            else:
                data = data or self._encode(without_demand)
                self._send_bytes(data, to)

    def _holder_zone(self, lease: fm.LeaseAnnouncement | None) -> str | None:
        """Returns the zone of the lease's holder, or None if it is unknown."""
        if lease is None:
            return None
        if lease.holder == self.roster.me.name:
            return self.roster.me.zone
        holder = self.roster.get(lease.holder)
        return holder.zone if holder is not None else None

    def _zones_due(self, now_s: float) -> list[str]:
        """Returns the zones whose hubs are due for a summary."""
        regions = self._state.location.regions
        own = self.roster.me.zone
        zones = []
        for zone in regions:
            is_near = regions[zone] == regions.get(own)
            every_s = (
                SUMMARY_INTERVAL_S if is_near else REMOTE_SUMMARY_INTERVAL_S
            )
            is_due = now_s - self._last_summary_s.get(zone, 0.0) >= every_s
            if zone != own and is_due:
                self._last_summary_s[zone] = now_s
                zones.append(zone)
        return zones

    def _update_zone(self, now_s: float) -> None:
        """Adds up what all instances report, for this one and its members."""
        if now_s < self._next_view_s:
            return
        sources = self._reports.fresh(now_s) + self._summaries.fresh(now_s)
        totals = report_totals.aggregate(sources)
        window_s = self._state.bounds.quota_window_s
        for messages in (self._reports, self._summaries):
            totals.add_quotas(messages.gone_quotas(now_s, window_s))
        self._send_views(sources, totals, now_s)
        own = [self._last_report] if self._last_report is not None else []
        self._set_peer_totals(totals, report_totals.aggregate(own))

    def _send_views(
        self,
        sources: list[report_totals.Source],
        totals: report_totals.Totals,
        now_s: float,
    ) -> None:
        members = self._members(now_s) + self._silent_members(now_s)
        if not members:
            return
        listed = []
        if now_s - self._last_list_s >= MEMBER_LIST_INTERVAL_S:
            self._last_list_s = now_s
            listed = self._collect_members(sources)
        lease = self._lease_announcement(now_s)
        view = fm.View(
            self.me,
            self.next_number(),
            {
                member.name: self._reports.last_number(member.name)
                for member in members
            },
            listed,
            totals.loads(),
            [],
            [],
            totals.failures(),
            lease,
            self._state.freshness.told_age_s(),
            totals.quota_uses(),
        )
        self._state.freshness.record_sent(view.number)
        data = self._encode(view)
        holder = lease.holder if lease else ""
        sent = 0
        for member in members:
            if member.name == holder:
                # Only the lease's holder needs the demand, which is the larger
                # part of the message.
                with_demand = msgspec.structs.replace(
                    view,
                    uses=totals.uses(),
                    demand=list(totals.demand.values()),
                )
                self.send(with_demand, member)
            else:
                self._send_bytes(data, member)
            sent += len(data)
        pause_s = min(MAX_VIEW_INTERVAL_S, sent / VIEW_RATE_BYTES_PER_S)
        # Half a round less, as rounds last slightly longer than their sleep.
        self._next_view_s = now_s + pause_s - ROUND_INTERVAL_S / 2

    def _collect_members(
        self, sources: list[report_totals.Source]
    ) -> list[fm.Member]:
        listed = {self.me.name: self.me}
        for source in sources:
            members = [source.me]
            if isinstance(source, fm.Summary):
                members = source.members
            for member in members:
                listed[member.name] = member
        return [listed[name] for name in sorted(listed)]

    def _lease_announcement(self, now_s: float) -> fm.LeaseAnnouncement | None:
        lease = self.lease
        if lease is None:
            return None
        left_s = max(0.0, lease.left_s - (now_s - self.lease_received_s))
        if lease.left_s < 0:
            left_s = RELEASED_LEFT_S
        return fm.LeaseAnnouncement(
            lease.holder, lease.incarnation, lease.fence, left_s
        )

    def known_lease(self, now_s: float) -> fm.LeaseAnnouncement | None:
        """Returns the lease as this instance knows it."""
        return self._lease_announcement(now_s)

    def announce_release(self, members: Iterable[fm.Member]) -> None:
        """Announces that this instance has released the lease.

        Args:
          members: The candidates for the lease. They are told at once: this
            port is closed before the next report is due, and until they learn
            of the release they wait, as the last news says that the lease is
            held.
        """
        now_s = event_loop.now_s()
        lease = self.lease
        if lease is None or lease.holder != self.roster.me.name:
            return
        released = fm.LeaseAnnouncement(
            lease.holder, lease.incarnation, lease.fence, RELEASED_LEFT_S
        )
        self.update_lease(released, now_s)
        message = fm.LeaseRelease(self.me, self.next_number(), released)
        self.send_to_all(message, members)

    def update_lease(self, lease: fm.LeaseAnnouncement, now_s: float) -> None:
        """Updates the known state of the lease if the news is newer."""
        known = self.lease
        if known is not None and lease.fence <= known.fence:
            known_left_s = known.left_s - (now_s - self.lease_received_s)
            is_release = lease.left_s < 0 <= known.left_s
            is_renewal = lease.left_s > known_left_s and known.left_s >= 0
            if lease.fence < known.fence or not (is_release or is_renewal):
                return
        self.lease = lease
        self.lease_received_s = now_s

    # -- receiving -----------------------------------------------------

    def on_datagram(self, data: bytes) -> None:
        """Handles a datagram; one that is not authentic is dropped."""
        if self.roster is None:
            return
        digest, payload = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(payload)):
            self._count("not-authentic")
            return
        message = fm.decode(payload)
        if message is None:
            self._count("unreadable")
            return
        self._metrics.count(
            "sesamecross_datagrams_received_total",
            "Datagrams received from other instances, by kind of message.",
            {"kind": type(message).__name__},
        )
        now_s = event_loop.now_s()
        if message.me.name == self.roster.me.name:
            return
        if not self.roster.on_heartbeat(message.me, now_s):
            self._count("earlier-life")
            return
        match message:
            case fm.Report():
                self._reports.take(message, now_s)
                self._on_lease(message.lease, now_s)
                self._learn_freshness(
                    message.me,
                    message.heard.get(self.roster.me.name, 0),
                    message.configuration_age_s,
                )
            case fm.Summary():
                self._on_summary(message, now_s)
            case fm.View():
                self._on_view(message, now_s)
            case fm.Placement():
                # Hubs are inferred, not elected: if two instances both consider
                # themselves the hub, a message that came back would circulate
                # for ever.
                if not self._is_new_placement(message):
                    return
                if self._is_hub(now_s):
                    self._relay(data, message.me.name, now_s)
                self._notify_listeners(message)
            case fm.CrashNews() | fm.RequestNews():
                if not self._is_new_news(message):
                    return
                if self._is_hub(now_s):
                    self._relay(data, message.me.name, now_s)
                self._notify_listeners(message)
            case fm.LeaseRelease(lease=lease):
                self._on_lease(lease, now_s)
            case (
                fm.PlacementRequest()
                | fm.AdmissionRequest()
                | fm.AdmissionReply()
                | fm.AdmissionRelease()
                | fm.OriginRecord()
                | fm.OriginQuery()
                | fm.OriginReply()
                | fm.RequestQuestion()
                | fm.UpstreamWord()
            ):
                self._notify_listeners(message)

    def _learn_freshness(
        self, sender: fm.Member, number: int, age_s: float | None
    ) -> None:
        """Learns how old the configuration is, from one that has no newer.

        Args:
          sender: The instance that tells its age.
          number: The last message of this instance that it had received.
          age_s: The age when it told it.
        """
        if sender.configuration <= self._state.version:
            self._state.freshness.learn_from_peer(number, age_s)

    def _is_new_placement(self, message: fm.Placement) -> bool:
        number = (message.fence, message.me.incarnation, message.number)
        if number <= self._last_placement:
            return False
        self._last_placement = number
        return True

    def _is_new_news(self, message: fm.CrashNews | fm.RequestNews) -> bool:
        number = (message.me.incarnation, message.number)
        if number <= self._last_news.get(message.me.name, (-1, -1)):
            return False
        self._last_news[message.me.name] = number
        return True

    def _count(self, reason: str) -> None:
        self._metrics.count(
            "sesamecross_datagrams_dropped_total",
            "Datagrams of instances that were dropped, by reason.",
            {"why": reason},
        )

    def _notify_listeners(self, message: fm.Message) -> None:
        for listener in self._listeners:
            listener(message)

    def _on_lease(
        self, lease: fm.LeaseAnnouncement | None, now_s: float
    ) -> None:
        if lease is not None:
            self.update_lease(lease, now_s)

    def _on_summary(self, message: fm.Summary, now_s: float) -> None:
        if self._summaries.take(message, now_s):
            self._heard[message.me.name] = message.number
            self._learn_freshness(
                message.me,
                message.heard.get(self.roster.me.name, 0),
                message.configuration_age_s,
            )
            self.roster.on_heartbeats(message.members, now_s)
            self._on_lease(message.lease, now_s)

    def _on_view(self, message: fm.View, now_s: float) -> None:
        if message.me.zone == self.roster.me.zone:
            hub = message.me
            self._hub_progress.record_position(hub.name, hub.upstreams, now_s)
        self.roster.on_heartbeats(message.members, now_s)
        self._on_lease(message.lease, now_s)
        self._heard[message.me.name] = message.number
        number = message.taken.get(self.roster.me.name, 0)
        self._learn_freshness(message.me, number, message.configuration_age_s)
        taken = self._unconfirmed_reports.get(number)
        own = [taken] if taken is not None else []
        self._set_peer_totals(
            report_totals.aggregate([message]), report_totals.aggregate(own)
        )

    # -- state ---------------------------------------------------------

    def _set_peer_totals(
        self, fleet: report_totals.Totals, own: report_totals.Totals
    ) -> None:
        """Sets the other instances' totals at each upstream.

        These are the fleet's totals less this instance's own part.
        """
        running, tokens = fleet.running, fleet.prompt_tokens
        reports, failing = fleet.reports, fleet.failing
        for known in self._state.directory:
            name = known.entry.instance_id
            if name in own.running or name in own.failing:
                self._set_others(known, fleet, own)
                continue
            # Most upstreams are not in use by this instance: nothing has to be
            # subtracted.
            known.others_running = max(0, running.get(name, 0))
            known.engine.others_prompt_tokens = max(0, tokens.get(name, 0))
            known.others_reachability = reports.get(name, _NO_REPORTS)
            known.others_outcomes = failing.get(name, _NO_OUTCOMES)
        if self._state.keys is not None:
            self._set_peer_quotas(fleet, own)
        self._state.fleet_totals = fleet

    def _set_others(
        self,
        known: directory.KnownUpstream,
        fleet: report_totals.Totals,
        own: report_totals.Totals,
    ) -> None:
        name = known.entry.instance_id
        running = fleet.running.get(name, 0) - own.running.get(name, 0)
        tokens = fleet.prompt_tokens.get(name, 0)
        tokens -= own.prompt_tokens.get(name, 0)
        known.others_running = max(0, running)
        known.engine.others_prompt_tokens = max(0, tokens)
        known.others_reachability = _subtract_reports(
            fleet.reports.get(name), own.reports.get(name)
        )
        known.others_outcomes = _subtract_outcomes(
            fleet.failing.get(name), own.failing.get(name)
        )

    def _set_peer_quotas(
        self, fleet: report_totals.Totals, own: report_totals.Totals
    ) -> None:
        """Sets what the other instances use of quotas."""
        nothing = quota_ledger.Usage()
        now_s = event_loop.now_s()
        self._state.quotas.record_others(
            {
                name: used.minus(own.quotas.get(name, nothing))
                for name, used in fleet.quotas.items()
            },
            now_s,
        )
        self._state.quotas.set_share(self.roster.heard_share(now_s))
