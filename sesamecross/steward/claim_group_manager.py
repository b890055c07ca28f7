"""Drives this steward's state machines of the claim groups.

`ClaimGroup` is a deterministic state machine. This component feeds it log
events, heartbeats and time, carries out its actions as messages and appends,
and proposes a zone's next epoch when it is this steward's turn.
"""

import asyncio
from collections.abc import Callable
import contextlib

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.core import group_messages as gm
from sesamecross.core import records
from sesamecross.ops import claim_group
from sesamecross.ops import group_planner
from sesamecross.ops import groups
from sesamecross.ops import membership as membership_lib
from sesamecross.ops import replay
from sesamecross.ops import timeline
from sesamecross.runtime import logs
from sesamecross.steward import contact_tracker as contact_tracker_lib
from sesamecross.steward import local_replica as local_replica_lib
from sesamecross.steward import log_reader
from sesamecross.steward import log_writer

TICK_S = 0.05
PROPOSAL_INTERVAL_MS = 500
# A proposal without a result at replay is evaluated again after this time.
PROPOSAL_TIMEOUT_MS = 3000
STABILIZATION_DELAY_MS = 1500

Post = Callable[[data.Incarnation, object], None]


class ClaimGroupManager:
    """Component that owns the claim groups of all zones."""

    def __init__(
        self,
        me: data.Member,
        replica: local_replica_lib.LocalReplica,
        reader: log_reader.LogReader,
        writer: log_writer.LogWriter,
        membership: membership_lib.Membership,
        contact_tracker: contact_tracker_lib.ContactTracker,
        clock: clock_lib.Clock,
        recorder: timeline.Recorder,
    ):
        self._me = me
        self._replica = replica
        self._reader = reader
        self._writer = writer
        self._membership = membership
        self._contact_tracker = contact_tracker
        self._clock = clock
        self._recorder = recorder
        self._logger = logs.get_logger("claim-group")
        self._groups: dict[str, claim_group.ClaimGroup] = {}
        self._state: replay.SharedState | None = None
        self._verdict_futures: dict[str, asyncio.Future] = {}
        self._ready_ms: int | None = None
        self._proposed_ms = -PROPOSAL_TIMEOUT_MS
        self._releasing: dict[str, tuple[str, int]] = {}
        self.post: Post | None = None
        self.leaving = False
        self.is_ready = False
        replica.add_listener(self._on_event)

    @property
    def name(self) -> str:
        """The component's name in logs."""
        return "claim-group"

    @property
    def isolated_claim_count(self) -> int:
        """Claims of all groups kept while isolated and not yet on the log."""
        return sum(
            group.isolated_claim_count for group in self._groups.values()
        )

    async def run(self) -> None:
        """Ticks the groups until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self.is_ready:
                self._tick(self._clock.monotonic_ms())

    async def stop(self) -> None:
        """Does nothing: no work is open between ticks."""

    async def wait_until_handed_over(self, timeout_s: float) -> bool:
        """Waits until no group needs this steward; tells whether none does."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self._is_needed():
                    await asyncio.sleep(TICK_S)
        return not self._is_needed()

    def _is_needed(self) -> bool:
        """Tells whether a group still needs this steward and can replace it."""
        me = self._me.incarnation
        cluster = self._cluster_view()
        successors = cluster.alive.keys() - cluster.leaving
        if not successors:
            # The whole deployment is stopping; the log keeps the claims.
            return False
        for group in self._replica.state.groups.zones.values():
            current = group.current
            if current is None or me not in current.participants:
                # The next epoch may ask this steward until it is sealed.
                if any(me in c.participants for c in group.chain):
                    return True
                continue
            if len(current.members) > 1 or me not in current.members:
                return True
        return False

    # -- time, log state and membership ---

    def _tick(self, now_ms: int) -> None:
        if self._ready_ms is None:
            self._ready_ms = now_ms
        self._sync_groups(now_ms)
        reachable = self._reader.reachable and self._writer.reachable
        for group in self._groups.values():
            group.set_log_reachable(reachable, now_ms)
            self._execute_actions(
                group.on_replayed(self._replica.state.next_offset, now_ms)
            )
            self._execute_actions(group.tick(now_ms))
        if reachable and now_ms - self._ready_ms >= STABILIZATION_DELAY_MS:
            self._release_homes()
            if now_ms - self._proposed_ms >= PROPOSAL_INTERVAL_MS:
                self._propose(now_ms)

    def _sync_groups(self, now_ms: int) -> None:
        """Creates a state machine for each new zone and updates their state."""
        state = self._replica.state
        if state is not self._state:
            self._state = state
            for group in self._groups.values():
                group.replace_state(state.groups, state.claims)
        for zone in state.groups.zones:
            if zone not in self._groups:
                group = claim_group.ClaimGroup(
                    self._me.incarnation,
                    zone,
                    state.groups,
                    state.claims,
                    now_ms,
                )
                self._groups[zone] = group
                for peer, in_contact in self._contact_tracker.dead.items():
                    self._execute_actions(
                        group.on_peer_death(peer, in_contact, now_ms)
                    )

    def on_peer_death(self, peer: data.Incarnation) -> None:
        """Handles a proof of a peer's death.

        The proof is a refused connection or another incarnation at the
        peer's address.
        """
        in_contact = self._contact_tracker.record_death(
            peer, claim_group.IN_CONTACT_MS
        )
        if in_contact is None:
            return
        # Suspicion needs votes of the peer's watchers, who are dead too if
        # the whole zone is. A proof needs no vote.
        self._membership.remove(peer)
        if self._writer.reachable:
            self._submit((records.MemberLeft(peer, True, in_contact),))
        self._handle_death(peer, in_contact)

    def _on_death_record(
        self, record: records.MemberLeft, peer: data.Incarnation
    ) -> None:
        """Handles a proof of death that another steward has logged."""
        if peer == self._me.incarnation:
            return
        known = self._contact_tracker.dead.get(peer)
        if known is None or (record.in_contact and not known):
            self._contact_tracker.dead[peer] = record.in_contact
            self._handle_death(peer, record.in_contact)

    def _handle_death(self, peer: data.Incarnation, in_contact: bool) -> None:
        self._logger.info(
            "peer is dead", peer=peer.instance, in_contact=in_contact
        )
        self._recorder.add(
            timeline.EventKind.MEMBER,
            f"{peer.instance} is dead"
            + (", it died in contact" if in_contact else ""),
        )
        now_ms = self._clock.monotonic_ms()
        for group in self._groups.values():
            self._execute_actions(group.on_peer_death(peer, in_contact, now_ms))

    def on_peer_heartbeat(self, peer: data.Incarnation) -> None:
        """Passes a peer's heartbeat to the groups."""
        now_ms = self._clock.monotonic_ms()
        for group in self._groups.values():
            group.on_peer_heartbeat(peer, now_ms)

    # -- epochs ---

    def _propose(self, now_ms: int) -> None:
        state = self._replica.state
        cluster = self._cluster_view()
        zones = {caller.home_zone for caller in self._callers().values()}
        for zone in sorted(zones | state.groups.zones.keys()):
            change = group_planner.propose_group(
                zone, self._me, state.groups.zones.get(zone), cluster
            )
            if change is None:
                continue
            self._proposed_ms = (
                now_ms + PROPOSAL_TIMEOUT_MS - PROPOSAL_INTERVAL_MS
            )
            self._submit((change,))
            self._logger.info(
                "epoch proposed",
                zone=zone,
                epoch=change.base_epoch + 1,
                members=[m.instance for m in change.members],
            )

    def _cluster_view(self) -> group_planner.ClusterView:
        alive = self._membership.believed_alive()
        leaving = {
            name
            for name, member in self._membership.known().items()
            if (peer_state := self._membership.state_of(name)) is not None
            and peer_state[0] is membership_lib.PeerState.LEAVING
        }
        if self.leaving:
            leaving.add(self._me.incarnation.instance)
        # Excludes members known only from the platform's instance list,
        # whose incarnation is not known.
        known = {n: m for n, m in alive.items() if m.incarnation.started}
        return group_planner.ClusterView(
            known, frozenset(self._contact_tracker.dead), frozenset(leaving)
        )

    def _callers(self) -> dict[str, data.Caller]:
        return self._replica.state.config.declarations.callers

    def _release_homes(self) -> None:
        """Releases callers whose declared home zone has changed."""
        state = self._replica.state
        for caller, zone in state.groups.homes.items():
            declared = self._callers().get(caller)
            if declared is None or declared.home_zone == zone:
                self._releasing.pop(caller, None)
                continue
            group = self._groups.get(zone)
            if group is None or not group.is_active:
                continue
            if group.leader != self._me.incarnation:
                continue
            epoch = group.config.epoch
            if self._releasing.get(caller) == (zone, epoch):
                continue
            # Once it is queued this leader refuses the caller's claims.
            if self._submit((records.HomeReleased(caller, zone, epoch),)):
                self._releasing[caller] = (zone, epoch)

    # -- events and messages ---

    def _on_event(self, event: replay.AppliedRecord) -> None:
        now_ms = self._clock.monotonic_ms()
        match event.record:
            case records.ClaimMade(zone=zone) if zone in self._groups:
                self._execute_actions(
                    self._groups[zone].on_claim_record(
                        event.record, event.result, now_ms
                    )
                )
            case records.MemberLeft(incarnation=peer, dead=True):
                self._on_death_record(event.record, peer)
            case records.ClaimSettled():
                for group in self._groups.values():
                    group.on_settled_record(event.record)
            case records.GroupChanged(zone=zone) if event.result is not None:
                config: groups.GroupConfig = event.result
                self._recorder.add(
                    timeline.EventKind.CLAIM,
                    f"epoch {config.epoch} of {zone}: members "
                    + " ".join(m.instance for m in config.members),
                )

    def on_message(self, message: object) -> object | None:
        """Handles a group message; returns the reply to its sender, if any."""
        group = self._groups.get(message.zone)
        now_ms = self._clock.monotonic_ms()
        if group is None:
            # The zone is not known here yet; the sender retries until it is.
            return None
        match message:
            case gm.ClaimAsk():
                return group.on_ask(message, now_ms)
            case gm.ClaimAck():
                self._execute_actions(group.on_ack(message, now_ms))
            case gm.GroupFence():
                return group.on_fence(message)
            case gm.GroupFenced():
                self._execute_actions(group.on_fenced(message, now_ms))
            case gm.ClaimWithdrawn():
                group.on_withdrawn(message)
            case gm.ClaimTold():
                group.on_told(message)
        return None

    # -- claims ---

    def leader_of(self, zone: str) -> data.Incarnation | None:
        """Returns the current leader of a zone's group, or None if unknown."""
        group = self._groups.get(zone)
        return group.leader if group else None

    def claim(self, zone: str, record: records.ClaimMade) -> asyncio.Future:
        """Starts to decide a claim here.

        Returns:
          A future of the verdict. It is None if the zone has no group here
          or the caller is being released to another zone.
        """
        future = self._verdict_futures.get(record.claim_id)
        if future is not None:
            return future
        future = asyncio.get_running_loop().create_future()
        group = self._groups.get(zone)
        releasing = self._releasing.get(record.caller, ("", 0))[0] == zone
        if group is None or releasing:
            future.set_result(None)
            return future
        self._verdict_futures[record.claim_id] = future
        self._execute_actions(group.claim(record, self._clock.monotonic_ms()))
        return future

    def look_up(
        self, zone: str, record: records.ClaimMade
    ) -> data.ClaimVerdict | None:
        """Returns what is known of the claim under the record's name."""
        group = self._groups.get(zone)
        return group.look_up(record) if group else None

    def settle(self, zone: str, settled: records.ClaimSettled) -> bool:
        """Records a claim's outcome; tells whether it could be kept."""
        group = self._groups.get(zone)
        if group is None:
            return self._submit((settled,))
        self._execute_actions(group.settle(settled))
        return True

    # -- actions ---

    def _execute_actions(self, actions: list[claim_group.Action]) -> None:
        for action in actions:
            match action:
                case claim_group.Send(to=to, message=message):
                    if self.post is not None:
                        self.post(to, message)
                case claim_group.Append(records=entries):
                    self._submit(entries)
                case claim_group.Verdict(claim_id=claim_id, verdict=verdict):
                    self._resolve_claim(claim_id, verdict)
                case claim_group.Activated(epoch=epoch, doubt=doubt):
                    self._handle_activation(epoch, doubt)

    def _resolve_claim(
        self, claim_id: str, verdict: data.ClaimVerdict | None
    ) -> None:
        future = self._verdict_futures.pop(claim_id, None)
        if future is not None and not future.done():
            future.set_result(verdict)

    def _handle_activation(self, epoch: int, doubt: bool) -> None:
        what = f"active in epoch {epoch}"
        if doubt:
            what += ", in doubt about claims made in the dark"
            self._logger.error(
                "claims may be lost with their group",
                epoch=epoch,
                remedy="look the zone's records up at the services, then run"
                " `sesamecross claims clear-doubt ZONE`",
            )
        self._recorder.add(timeline.EventKind.CLAIM, what)
        self._logger.info("epoch activated", epoch=epoch, doubt=doubt)

    def _submit(self, entries: tuple[object, ...]) -> bool:
        try:
            self._writer.submit_atomically(entries)
        except log_writer.QueueFullError:
            # The group's members retain their claims. Claims made while
            # isolated are appended again with the next epoch.
            self._logger.error("log append queue is full")
            return False
        return True
