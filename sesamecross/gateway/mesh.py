"""Datagrams between instances: reports, summaries, views, placements, wants.

Why: what instances tell each other is small, soon outdated and sent again,
so a lost datagram is no loss, and one silent instance holds up nobody.
Datagrams carry a keyed digest: the internal ports are open to whoever reaches
the network, and a forged view could steer all requests to one upstream.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import hmac

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import health
from sesamecross.ops.fleet import reachability
from sesamecross.ops.fleet import report_totals
from sesamecross.ops.fleet import roster as roster_lib
from sesamecross.ops.fleet import store_polling
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib

DIGEST_BYTES = 12
# Below what a path carries in one packet, with room for headers.
MAX_DATAGRAM = 60_000
# How often changes are told. Requests last seconds, so a view some tenths of
# a second old is right within a few percent.
TELL_S = 0.1
# Zones and regions are priced by volume: their hubs speak less often.
SUMMARY_S = 0.2
# To other regions: twice as much between them was a third of what a day of 73
# instances cost in bytes (31 MB in 50 s), for upstreams that are rarely used
# from there.
FAR_SUMMARY_S = 0.4
# What a hub may send to its members on average, of a link that callers' answers
# need: views come less often where they are many or large.
VIEW_BYTES_PER_S = 100_000
VIEW_MOST_S = 0.3
# A view bears the list of all instances this often; it is the larger part of
# it where there are many, and says little that is new.
LIST_S = 0.4
# How often a hub speaks to members of its zone that it does not hear.
CALL_EVERY_S = 0.5
# Own reports that are kept until a view says which of them is in its sums.
REPORTS_KEPT = 16
# Says that a lease was given back.
RELEASED_S = -1.0

MessageListener = Callable[[fm.Message], None]
FiguresSource = Callable[[], fm.Report]


def _others(
    all_of: health.Outcomes | None, own: health.Outcomes | None
) -> health.Outcomes:
    """Returns outcomes of all instances less the own ones."""
    if all_of is None:
        return health.Outcomes()
    if own is None:
        return all_of
    return health.Outcomes(
        max(0.0, all_of.failed - own.failed),
        max(0.0, all_of.total - own.total),
    )


def _others_reports(
    all_of: reachability.ReachabilityCounts | None,
    own: reachability.ReachabilityCounts | None,
) -> reachability.ReachabilityCounts:
    """Returns the counts over all instances less the own ones."""
    if all_of is None:
        return reachability.ReachabilityCounts()
    if own is None:
        return all_of
    return reachability.ReachabilityCounts(
        max(0, all_of.hears - own.hears),
        max(0, all_of.silent - own.silent),
        max(0, all_of.refused - own.refused),
    )


class _Protocol(asyncio.DatagramProtocol):
    """Feeds datagrams to the mesh."""

    def __init__(self, mesh: "Mesh"):
        self._mesh = mesh

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._mesh.transport = transport

    def datagram_received(self, data: bytes, address: tuple) -> None:
        self._mesh.received(data)

    def error_received(self, error: Exception) -> None:
        """An unreachable peer shows by its silence."""


class Mesh:
    """Component that speaks with the other instances.

    Attributes:
      sums: Figures of all instances but this one, by the last view.
      lease: Who gives orders, by the newest word of it.
    """

    is_vital = False
    name = "mesh"

    def __init__(
        self,
        state: state_lib.State,
        report: FiguresSource,
        metrics: metrics_lib.Metrics,
    ):
        self._state = state
        self._report = report
        self._metrics = metrics
        self._log = logs.part("mesh")
        self.transport: asyncio.DatagramTransport | None = None
        self.roster: roster_lib.Roster | None = None
        self._secret = b""
        self._reports = report_totals.LatestMessages()
        self._summaries = report_totals.LatestMessages()
        self._number = 0
        self._sent: dict[int, fm.Report] = {}
        self._last_report: fm.Report | None = None
        self._reported_s = 0.0
        # When each zone's hub was told something last.
        self._summary_s: dict[str, float] = {}
        self._listed_s = 0.0
        # When members get their next view.
        self._view_s = 0.0
        self._viewed: dict[str, float] = {}
        self._hub = ""
        self._hub_reading = store_polling.HubProgress()
        self._called_s = 0.0
        self._placed = (-1, -1, -1)
        self._listeners: list[MessageListener] = []
        self.lease: fm.LeaseAnnouncement | None = None
        self.lease_heard_s = 0.0
        self.bytes_sent = 0

    def add_listener(self, listener: MessageListener) -> None:
        """Adds who hears placements, wants and their answers."""
        self._listeners.append(listener)

    def join(
        self, me: fm.Member, secret: bytes, others: tuple[fm.Member, ...]
    ) -> None:
        """Begins to take part, once this start is registered."""
        now_s = asyncio.get_running_loop().time()
        self._secret = secret
        self.roster = roster_lib.Roster(me, now_s)
        self.roster.registered(others)

    @property
    def secret(self) -> str:
        """What the instances share, as streams take it."""
        return self._secret.hex()

    @property
    def me(self) -> fm.Member:
        """This instance, with how far it has come."""
        me = self.roster.me
        return fm.Member(
            me.name,
            me.incarnation,
            me.zone,
            me.address,
            self._state.version,
            self._state.upstreams_offset,
        )

    async def run(self) -> None:
        """Speaks for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TELL_S)
            if self.roster is None or self.transport is None:
                continue
            now_s = loop.time()
            self._tell_hub(now_s)
            if self._is_hub(now_s):
                self._tell_hubs(now_s)
                self._tell_members(now_s)
            self._believe(now_s)

    async def open(self, ip: str, port: int) -> None:
        """Binds the port for datagrams."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: _Protocol(self), local_addr=(ip, port)
        )

    async def stop(self) -> None:
        """Closes the port."""
        if self.transport is not None:
            self.transport.close()

    # -- sending -------------------------------------------------------

    def send(self, message: fm.Message, to: fm.Member) -> None:
        """Sends a message to one instance."""
        self._send_bytes(self._seal(message), to)

    def _seal(self, message: fm.Message) -> bytes:
        payload = fm.encode(message)
        return self._digest(payload) + payload

    def _digest(self, payload: bytes) -> bytes:
        digest = hashlib.blake2b(
            payload, key=self._secret, digest_size=DIGEST_BYTES
        )
        return digest.digest()

    def _send_bytes(self, data: bytes, to: fm.Member) -> None:
        if len(data) > MAX_DATAGRAM:
            self._log.error("a message is too large", bytes=len(data))
            return
        if self.transport is None or self.transport.is_closing():
            # The port is closed: this process is on its way out.
            return
        host, _, port = to.address.rpartition(":")
        self.bytes_sent += len(data)
        self.transport.sendto(data, (host, int(port)))

    def next_number(self) -> int:
        """Returns a number larger than all before."""
        self._number += 1
        return self._number

    def broadcast(self, message: fm.Placement) -> None:
        """Sends a placement to all hubs, which pass it on."""
        if self.roster is None or self.transport is None:
            return
        now_s = asyncio.get_running_loop().time()
        data = self._seal(message)
        for zone in self._state.location.regions:
            hub = self.roster.hub_of(zone, now_s)
            if hub == self.roster.me.name:
                self._pass_on(data, message.me.name, now_s)
            elif hub is not None:
                self._send_bytes(data, self.roster.get(hub))

    def _pass_on(self, data: bytes, source: str, now_s: float) -> None:
        """A hub hands a placement to the members of its zone."""
        for member in self._members(now_s):
            if member.name != source:
                self._send_bytes(data, member)

    def _members(self, now_s: float) -> list[fm.Member]:
        zone = self.roster.me.zone
        return [
            member for member in self.roster.alive(now_s) if member.zone == zone
        ]

    def _unheard(self, now_s: float) -> list[fm.Member]:
        """Returns silent members of the zone, now and then.

        One that registered at the same moment may know of nobody, and take
        itself for the hub: it learns of the others when one speaks to it.
        """
        if now_s - self._called_s < CALL_EVERY_S:
            return []
        self._called_s = now_s
        zone = self.roster.me.zone
        return [one for one in self.roster.silent(now_s) if one.zone == zone]

    def _is_hub(self, now_s: float) -> bool:
        me = self.roster.me
        return self.roster.hub_of(me.zone, now_s) == me.name

    def should_read_store(self) -> bool:
        """Whether this instance reads the list of upstreams itself."""
        if self.roster is None:
            return True
        now_s = asyncio.get_running_loop().time()
        return self._is_hub(now_s) or self._hub_reading.is_stalled(now_s)

    def max_store_backoff_s(self) -> float:
        """Returns the longest pause between calls that the store refuses."""
        if self.roster is None:
            return store_polling.READER_MAX_BACKOFF_S
        now_s = asyncio.get_running_loop().time()
        hub = self.roster.hub_of(self.roster.me.zone, now_s)
        if hub == self.roster.me.name or not self.roster.is_alive(hub, now_s):
            return store_polling.READER_MAX_BACKOFF_S
        return store_polling.MEMBER_MAX_BACKOFF_S

    def _tell_hub(self, now_s: float) -> None:
        me = self.roster.me
        hub = self.roster.hub_of(me.zone, now_s)
        if hub != self._hub:
            self._log.info("hub", zone=me.zone, hub=hub, before=self._hub)
            self._hub = hub
            self._last_report = None
        report = self._report()
        is_due = now_s - self._reported_s >= roster_lib.HEARTBEAT_INTERVAL_S
        if not is_due and self._says_same(report):
            return
        self._number += 1
        report = fm.Report(
            self.me,
            self._number,
            report.loads,
            report.uses,
            report.demand,
            report.failing,
            report.lease,
        )
        self._last_report = report
        self._reported_s = now_s
        if hub == me.name:
            self._reports.take(report, now_s)
            return
        self._sent[self._number] = report
        while len(self._sent) > REPORTS_KEPT:
            del self._sent[next(iter(self._sent))]
        self.send(report, self.roster.get(hub))

    def _says_same(self, report: fm.Report) -> bool:
        last = self._last_report
        return last is not None and (
            last.loads == report.loads
            and last.uses == report.uses
            and last.me.configuration == self._state.version
        )

    def _tell_hubs(self, now_s: float) -> None:
        zones = self._zones_due(now_s)
        if not zones:
            return
        reports = self._reports.fresh(now_s)
        sums = report_totals.aggregate(reports)
        lease = self._lease_news(now_s)
        orders_from = self._zone_of_holder(lease)
        short = fm.Summary(
            self.me,
            self.next_number(),
            [report.me for report in reports],
            sums.loads(),
            [],
            [],
            sums.failures(),
            lease,
        )
        # Only the one who gives orders needs to know what is asked for, and
        # that is the larger part.
        whole = msgspec.structs.replace(
            short, uses=sums.uses(), demand=list(sums.demand.values())
        )
        for zone in zones:
            hub = self.roster.hub_of(zone, now_s)
            if hub is not None:
                plans = orders_from in (None, zone)
                self.send(whole if plans else short, self.roster.get(hub))

    def _zone_of_holder(self, lease: fm.LeaseAnnouncement | None) -> str | None:
        """Returns where orders come from, or None if that isn't known."""
        if lease is None:
            return None
        if lease.holder == self.roster.me.name:
            return self.roster.me.zone
        holder = self.roster.get(lease.holder)
        return holder.zone if holder is not None else None

    def _zones_due(self, now_s: float) -> list[str]:
        """Returns the zones whose hubs are told something now."""
        regions = self._state.location.regions
        own = self.roster.me.zone
        zones = []
        for zone in regions:
            is_near = regions[zone] == regions.get(own)
            every_s = SUMMARY_S if is_near else FAR_SUMMARY_S
            is_due = now_s - self._summary_s.get(zone, 0.0) >= every_s
            if zone != own and is_due:
                self._summary_s[zone] = now_s
                zones.append(zone)
        return zones

    def _tell_members(self, now_s: float) -> None:
        members = self._members(now_s) + self._unheard(now_s)
        if not members or now_s < self._view_s:
            return
        sources = self._reports.fresh(now_s) + self._summaries.fresh(now_s)
        sums = report_totals.aggregate(sources)
        listed = []
        if now_s - self._listed_s >= LIST_S:
            self._listed_s = now_s
            listed = self._listed(sources)
        lease = self._lease_news(now_s)
        view = fm.View(
            self.me,
            self.next_number(),
            {one.name: self._reports.last_number(one.name) for one in members},
            listed,
            sums.loads(),
            [],
            [],
            sums.failures(),
            lease,
        )
        data = self._seal(view)
        holder = lease.holder if lease else ""
        sent = 0
        for member in members:
            if member.name == holder:
                # Only the one who gives orders needs to know what is asked
                # for, and that is the larger part.
                whole = msgspec.structs.replace(
                    view, uses=sums.uses(), demand=list(sums.demand.values())
                )
                self.send(whole, member)
            else:
                self._send_bytes(data, member)
            sent += len(data)
        rest_s = min(VIEW_MOST_S, sent / VIEW_BYTES_PER_S)
        # A little less, as the loop's own pause is a little longer.
        self._view_s = now_s + rest_s - TELL_S / 2

    def _listed(self, sources: list[report_totals.Source]) -> list[fm.Member]:
        listed = {self.me.name: self.me}
        for source in sources:
            members = [source.me]
            if isinstance(source, fm.Summary):
                members = source.members
            for member in members:
                listed[member.name] = member
        return [listed[name] for name in sorted(listed)]

    def _lease_news(self, now_s: float) -> fm.LeaseAnnouncement | None:
        lease = self.lease
        if lease is None:
            return None
        left_s = max(0.0, lease.left_s - (now_s - self.lease_heard_s))
        if lease.left_s < 0:
            left_s = RELEASED_S
        return fm.LeaseAnnouncement(
            lease.holder, lease.incarnation, lease.fence, left_s
        )

    def known_lease(self, now_s: float) -> fm.LeaseAnnouncement | None:
        """Returns the lease as this instance knows it."""
        return self._lease_news(now_s)

    def tell_release(self, members: Iterable[fm.Member]) -> None:
        """The own lease was given back.

        Args:
          members: Who may take it next. They are told at once: this port is
            closed before the next report is due, and until they hear of it
            they rest, as the holder's last word was that it holds.
        """
        now_s = asyncio.get_running_loop().time()
        lease = self.lease
        if lease is None or lease.holder != self.roster.me.name:
            return
        released = fm.LeaseAnnouncement(
            lease.holder, lease.incarnation, lease.fence, RELEASED_S
        )
        self.note_lease(released, now_s)
        message = fm.LeaseRelease(self.me, self.next_number(), released)
        for member in members:
            self.send(message, member)

    def note_lease(self, lease: fm.LeaseAnnouncement, now_s: float) -> None:
        """Takes in news of the lease, if they are newer."""
        known = self.lease
        if known is not None and lease.fence <= known.fence:
            known_left_s = known.left_s - (now_s - self.lease_heard_s)
            is_release = lease.left_s < 0 <= known.left_s
            is_renewal = lease.left_s > known_left_s and known.left_s >= 0
            if lease.fence < known.fence or not (is_release or is_renewal):
                return
        self.lease = lease
        self.lease_heard_s = now_s

    # -- receiving -----------------------------------------------------

    def received(self, data: bytes) -> None:
        """Takes a datagram; one that is not authentic counts as none."""
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
        now_s = asyncio.get_running_loop().time()
        if message.me.name == self.roster.me.name:
            return
        if not self.roster.heard(message.me, now_s):
            self._count("earlier-life")
            return
        match message:
            case fm.Report():
                self._reports.take(message, now_s)
                self._hear_lease(message.lease, now_s)
            case fm.Summary():
                self._on_summary(message, now_s)
            case fm.View():
                self._on_view(message, now_s)
            case fm.Placement():
                # Hubs are believed in, not elected: where two instances both
                # take themselves for one, a placement that came back would
                # go round for ever.
                if not self._is_new_placement(message):
                    return
                if self._is_hub(now_s):
                    self._pass_on(data, message.me.name, now_s)
                self._tell_listeners(message)
            case fm.LeaseRelease(lease=lease):
                self._hear_lease(lease, now_s)
            case (
                fm.PlacementRequest()
                | fm.AdmissionRequest()
                | fm.AdmissionReply()
                | fm.AdmissionRelease()
            ):
                self._tell_listeners(message)

    def _is_new_placement(self, message: fm.Placement) -> bool:
        number = (message.fence, message.me.incarnation, message.number)
        if number <= self._placed:
            return False
        self._placed = number
        return True

    def _count(self, what: str) -> None:
        self._metrics.count(
            "sesamecross_datagrams_dropped_total",
            "Datagrams of instances that were dropped, by reason.",
            {"why": what},
        )

    def _tell_listeners(self, message: fm.Message) -> None:
        for listener in self._listeners:
            listener(message)

    def _hear_lease(
        self, lease: fm.LeaseAnnouncement | None, now_s: float
    ) -> None:
        if lease is not None:
            self.note_lease(lease, now_s)

    def _on_summary(self, message: fm.Summary, now_s: float) -> None:
        if self._summaries.take(message, now_s):
            for member in message.members:
                self.roster.heard(member, now_s)
            self._hear_lease(message.lease, now_s)

    def _on_view(self, message: fm.View, now_s: float) -> None:
        if message.me.zone == self.roster.me.zone:
            hub = message.me
            self._hub_reading.record_position(hub.name, hub.upstreams, now_s)
        for member in message.members:
            self.roster.heard(member, now_s)
        self._hear_lease(message.lease, now_s)
        number = message.taken.get(self.roster.me.name, 0)
        taken = self._sent.get(number)
        own = [taken] if taken is not None else []
        self._set_others(
            report_totals.aggregate([message]), report_totals.aggregate(own)
        )

    # -- beliefs -------------------------------------------------------

    def _believe(self, now_s: float) -> None:
        self._state.instance_count = 1 + len(self.roster.alive(now_s))
        if not self._is_hub(now_s):
            return
        sources = self._reports.fresh(now_s) + self._summaries.fresh(now_s)
        own = [self._last_report] if self._last_report is not None else []
        self._set_others(
            report_totals.aggregate(sources), report_totals.aggregate(own)
        )

    def _set_others(
        self, all_of: report_totals.Totals, own: report_totals.Totals
    ) -> None:
        """Sets what others do at upstreams: all there is but the own."""
        for known in self._state.directory:
            name = known.entry.instance_id
            running = all_of.running.get(name, 0) - own.running.get(name, 0)
            tokens = all_of.prompt_tokens.get(name, 0)
            tokens -= own.prompt_tokens.get(name, 0)
            known.others_running = max(0, running)
            known.engine.others_prompt_tokens = max(0, tokens)
            known.others_reachability = _others_reports(
                all_of.reports.get(name), own.reports.get(name)
            )
            known.others_outcomes = _others(
                all_of.failing.get(name), own.failing.get(name)
            )
        self._state.fleet_uses = all_of.in_use
        self._state.fleet_demand = all_of.demand
