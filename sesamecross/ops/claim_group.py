"""One participant's part in deciding a zone's claims.

Pass logs and orders must go on while the log is unreachable and while a zone
is partitioned, and still no call may run twice. A key is therefore always
decided in one place: by the group of its caller's home zone. A claim is
committed (`counted` in the record) when

1. every member of the epoch that is not proved dead keeps it, and
2. it is kept outside the zone as well: on the log, or by a witness in another
   zone; or, if neither can be reached, all members are isolated and there
   are at least two of them. No participant ever decides alone.

A new epoch becomes active at a member only when all participants of the
epochs since the last sealed one, but at most one, have stopped or are proved
dead. The one that is left can't decide alone, so it can't decide at all.
Claims kept by those that stopped are taken over. If all members of an epoch
are lost, claims made in isolation may be lost with them, and the zone is in
doubt unless at most one of its members could have been isolated.

Deterministic: typed inputs and a time go in, typed actions come out. The
caller supplies proofs of death: a refused connection or a newer incarnation
at the address, never silence alone.
"""

import dataclasses

from sesamecross.core import data
from sesamecross.core import group_messages as gm
from sesamecross.core import records
from sesamecross.ops import claims
from sesamecross.ops import groups

# A member that received nothing from the log or any witness for this long
# is isolated (`dark` in messages). A witness proves that a member died in
# contact only within half of it. Only here does elapsed time count (a rate,
# never the time of day), and it can only clear a doubt.
ISOLATION_TIMEOUT_MS = 4000
IN_CONTACT_MS = ISOLATION_TIMEOUT_MS // 2
RESEND_INTERVAL_MS = 250
WITNESS_DELAY_MS = 150
DECISION_TIMEOUT_MS = 2500
DOUBT_DELAY_MS = 3000
REAPPEND_INTERVAL_MS = 5000
MAX_REAPPENDED_CLAIMS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A message for another participant."""

    to: data.Incarnation
    message: object


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Records for the log, in one append."""

    records: tuple[object, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The answer to a claim; None if none can be given."""

    claim_id: str
    verdict: data.ClaimVerdict | None


@dataclasses.dataclass(frozen=True, slots=True)
class Activated:
    """This member may now decide in its epoch."""

    epoch: int
    doubt: bool


Action = Send | Append | Verdict | Activated


@dataclasses.dataclass(slots=True)
class _LocalClaim:
    """A claim kept here that is not known to be on the log.

    Attributes:
      counted: Whether it is known to be committed.
      kept_while_isolated: Whether this participant was isolated then.
    """

    claim: records.ClaimMade
    counted: bool = False
    settled: records.ClaimSettled | None = None
    kept_while_isolated: bool = False


@dataclasses.dataclass(slots=True)
class _PendingClaim:
    """A claim that this leader is deciding."""

    claim: records.ClaimMade
    started_ms: int
    last_asked_ms: int
    is_logged: bool = False
    witnesses_asked: bool = False
    isolated_acks: set[data.Incarnation] = dataclasses.field(
        default_factory=set
    )
    acks: set[data.Incarnation] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _EpochTransition:
    """Progress towards being active in an epoch."""

    epoch: int
    started_ms: int
    last_asked_ms: int
    replies: dict[data.Incarnation, gm.GroupFenced] = dataclasses.field(
        default_factory=dict
    )


class ClaimGroup:
    """One zone's claim group as seen by one participant."""

    def __init__(
        self,
        me: data.Incarnation,
        zone: str,
        group_state: groups.GroupState,
        table: claims.ClaimTable,
        now_ms: int,
    ):
        self._me = me
        self._zone = zone
        self._groups = group_state
        self._table = table
        self._next_offset = 0
        self._active_epoch = 0
        self._past_active_epochs: set[int] = set()
        self._fenced_epoch = 0
        self._local_claims: dict[str, _LocalClaim] = {}
        self._name_by_claim_id: dict[str, str] = {}
        self._pending: dict[str, _PendingClaim] = {}
        self._transition: _EpochTransition | None = None
        self._dead_peers: set[data.Incarnation] = set()
        self._died_in_contact: set[data.Incarnation] = set()
        # True while this member is in doubt and its seal, which tells all
        # others of the doubt, is not on the log yet.
        self._has_unsealed_doubt = False
        self._is_log_reachable = True
        self._last_contact_ms = now_ms
        self._last_reappend_ms = now_ms

    # -- state -------------------------------------------------------------

    @property
    def config(self) -> groups.GroupConfig | None:
        """The current epoch, or None before the first."""
        group = self._groups.zones.get(self._zone)
        return group.current if group else None

    @property
    def is_member(self) -> bool:
        """Whether this participant is a member of the current epoch."""
        config = self.config
        return config is not None and self._me in config.members

    @property
    def is_active(self) -> bool:
        """Whether this member may decide and keep claims now."""
        config = self.config
        return config is not None and self._active_epoch == config.epoch

    @property
    def leader(self) -> data.Incarnation | None:
        """The deciding member: the first one that is not proved dead."""
        config = self.config
        if config is None:
            return None
        for member in config.members:
            if member not in self._dead_peers:
                return member
        return None

    @property
    def kept(self) -> int:
        """Number of claims kept here and not known to be on the log."""
        return len(self._local_claims)

    @property
    def isolated_claim_count(self) -> int:
        """Number of claims kept in isolation that are not on the log yet.

        While this is not 0, dying in contact proves nothing.
        """
        return sum(
            local.kept_while_isolated for local in self._local_claims.values()
        )

    def is_isolated(self, now_ms: int) -> bool:
        """Tells whether log and witnesses have long been out of reach."""
        return (
            not self._is_log_reachable
            and now_ms - self._last_contact_ms >= ISOLATION_TIMEOUT_MS
        )

    def replace_state(
        self, group_state: groups.GroupState, table: claims.ClaimTable
    ) -> None:
        """Uses a replayed state that was installed from elsewhere."""
        self._groups = group_state
        self._table = table

    # -- inputs: log and peers ----------------------------------------------

    def set_log_reachable(self, reachable: bool, now_ms: int) -> None:
        """Records whether the log answers."""
        self._is_log_reachable = reachable
        if reachable:
            self._last_contact_ms = now_ms

    def on_peer_heartbeat(self, peer: data.Incarnation, now_ms: int) -> None:
        """Handles a heartbeat from a peer."""
        config = self.config
        if config is not None and peer in config.witnesses:
            self._last_contact_ms = now_ms

    def on_peer_death(
        self, peer: data.Incarnation, in_contact: bool, now_ms: int
    ) -> list[Action]:
        """Handles a proof that a peer is dead.

        Args:
          peer: The dead incarnation.
          in_contact: Whether it answered a heartbeat of this participant
            sent within `IN_CONTACT_MS` before the proof.
          now_ms: Monotonic time.
        """
        self._dead_peers.add(peer)
        if in_contact:
            self._died_in_contact.add(peer)
        return self._advance(now_ms)

    def on_replayed(self, next_offset: int, now_ms: int) -> list[Action]:
        """Handles that the log was replayed to an offset."""
        self._next_offset = max(self._next_offset, next_offset)
        self._drop_logged_claims()
        return self._advance(now_ms)

    def _drop_logged_claims(self) -> None:
        """Drops claims that the log holds with all that is known of them."""
        for local in list(self._local_claims.values()):
            claim_id = local.claim.claim_id
            if claim_id in self._pending:
                continue
            in_log = self._table.by_name.get(_claim_name(local.claim))
            if in_log is None or in_log.claim_id != claim_id:
                continue
            if local.settled is None or in_log.executed is not None:
                self._drop_claim(claim_id)

    def on_claim_record(
        self,
        record: records.ClaimMade,
        verdict: data.ClaimVerdict | None,
        now_ms: int,
    ) -> list[Action]:
        """Handles a claim of this zone on the log."""
        pending = self._pending.get(record.claim_id)
        won = verdict is not None and verdict.state is data.ClaimState.WON
        if pending is not None and won:
            pending.is_logged = True
        return self._advance(now_ms)

    def on_settled_record(self, record: records.ClaimSettled) -> None:
        """Drops a claim whose outcome is on the log."""
        self._drop_claim(record.claim_id)

    # -- inputs: claims ------------------------------------------------------

    def claim(self, record: records.ClaimMade, now_ms: int) -> list[Action]:
        """Starts to decide a claim at the leader."""
        config = self.config
        if not self.is_active or self.leader != self._me:
            return [Verdict(record.claim_id, None)]
        if record.claim_id in self._pending:
            return []
        record = dataclasses.replace(
            record, zone=self._zone, epoch=config.epoch, counted=False
        )
        known = self._existing_verdict(record)
        if known is not None:
            return [Verdict(record.claim_id, known)]
        if self._in_doubt():
            # No live participant knows whether this key has run.
            unknown = data.ClaimVerdict(data.ClaimState.UNKNOWN, "")
            return [Verdict(record.claim_id, unknown)]
        self._keep_claim(record, now_ms)
        pending = _PendingClaim(record, now_ms, now_ms)
        self._pending[record.claim_id] = pending
        actions: list[Action] = []
        if self._is_log_reachable:
            actions.append(Append((record,)))
        actions += self._send_asks(pending, now_ms)
        return actions + self._try_commit(pending, now_ms)

    def _in_doubt(self) -> bool:
        group = self._groups.zones[self._zone]
        if self._has_unsealed_doubt and group.sealed >= max(
            self._past_active_epochs, default=0
        ):
            self._has_unsealed_doubt = False
        return self._has_unsealed_doubt or group.doubt

    def look_up(self, record: records.ClaimMade) -> data.ClaimVerdict | None:
        """Returns the verdict of the claim that holds a name, if any."""
        return self._existing_verdict(record)

    def settle(self, settled: records.ClaimSettled) -> list[Action]:
        """Handles an outcome from the instance that dispatched the call."""
        local = self._local_claim(settled.claim_id)
        if local is not None and local.settled is None:
            local.settled = settled
        config = self.config
        kept: tuple[object, ...] = ()
        if local is not None and settled.executed:
            # A claim that reached the log after its outcome would lose it,
            # so both go in one append.
            kept = (dataclasses.replace(local.claim, counted=True),)
        actions: list[Action] = [Append((*kept, settled))]
        if config is not None:
            outcome_message = gm.ClaimTold(self._zone, settled)
            actions += [
                Send(peer, outcome_message)
                for peer in config.participants
                if peer != self._me and peer not in self._dead_peers
            ]
        return actions

    def _existing_verdict(
        self, record: records.ClaimMade
    ) -> data.ClaimVerdict | None:
        """Returns the verdict of an earlier claim of the same name."""
        name = _claim_name(record)
        in_log = self._table.by_name.get(name)
        if in_log is not None and in_log.claim_id != record.claim_id:
            return claims.verdict_of(self._table, in_log, record.call_digest)
        local = self._local_claims.get(name)
        if local is None or local.claim.claim_id == record.claim_id:
            return None
        return self._verdict_of_local(local, record)

    def _verdict_of_local(
        self, local: _LocalClaim, record: records.ClaimMade
    ) -> data.ClaimVerdict:
        claim = claims.Claim(
            local.claim.claim_id,
            _claim_name(local.claim),
            local.claim.call_digest,
            local.claim.holder,
            True if local.settled else None,
            local.settled.answer if local.settled else None,
        )
        verdict = claims.verdict_of(self._table, claim, record.call_digest)
        is_holder_dead = claim.holder in self._dead_peers
        if verdict.state is data.ClaimState.IN_PROGRESS and is_holder_dead:
            return dataclasses.replace(verdict, state=data.ClaimState.UNKNOWN)
        return verdict

    # -- deciding ------------------------------------------------------------

    def _send_asks(self, pending: _PendingClaim, now_ms: int) -> list[Action]:
        """Asks the members, and the witnesses if the log is down or slow."""
        config = self.config
        pending.last_asked_ms = now_ms
        recipients = list(config.members)
        waited_ms = now_ms - pending.started_ms
        if not self._is_log_reachable or waited_ms >= WITNESS_DELAY_MS:
            pending.witnesses_asked = True
            recipients += config.witnesses
        ask = gm.ClaimAsk(
            self._zone,
            config.epoch,
            config.members,
            config.witnesses,
            pending.claim,
        )
        return [
            Send(peer, ask)
            for peer in recipients
            if peer not in (self._me, *pending.acks)
            and peer not in self._dead_peers
        ]

    def on_ask(self, ask: gm.ClaimAsk, now_ms: int) -> gm.ClaimAck:
        """Keeps a claim for the leader of its epoch, if that is allowed."""
        granted = self._may_grant(ask)
        known = None
        if granted:
            known = self._conflicting_claim(ask.claim)
            granted = known is None
        if granted:
            self._keep_claim(ask.claim, now_ms)
        return gm.ClaimAck(
            self._zone,
            ask.epoch,
            ask.claim.claim_id,
            self._me,
            granted,
            known,
            self.is_isolated(now_ms),
        )

    def _may_grant(self, ask: gm.ClaimAsk) -> bool:
        if ask.epoch < self._fenced_epoch:
            return False
        if self._me in ask.members:
            # A member keeps claims only while it is active in the epoch,
            # because only then does it know all earlier claims.
            return self._active_epoch == ask.epoch
        if self._me in ask.witnesses:
            self._fenced_epoch = max(self._fenced_epoch, ask.epoch)
            return True
        return False

    def _conflicting_claim(
        self, claim: records.ClaimMade
    ) -> gm.ReplicatedClaim | None:
        name = _claim_name(claim)
        local = self._local_claims.get(name)
        if local is not None and local.claim.claim_id != claim.claim_id:
            return gm.ReplicatedClaim(local.claim, local.settled)
        in_log = self._table.by_name.get(name)
        if in_log is None or in_log.claim_id == claim.claim_id:
            return None
        kept = dataclasses.replace(
            claim,
            claim_id=in_log.claim_id,
            call_digest=in_log.call_digest,
            holder=in_log.holder,
        )
        settled = None
        if in_log.executed is not None:
            settled = records.ClaimSettled(
                in_log.claim_id, in_log.executed, in_log.answer
            )
        return gm.ReplicatedClaim(kept, settled)

    def on_ack(self, ack: gm.ClaimAck, now_ms: int) -> list[Action]:
        """Handles a participant's answer."""
        pending = self._pending.get(ack.claim_id)
        config = self.config
        if pending is None or config is None or ack.epoch != config.epoch:
            return []
        if ack.granted:
            pending.acks.add(ack.sender)
            if ack.dark:
                pending.isolated_acks.add(ack.sender)
            return self._try_commit(pending, now_ms)
        if ack.known is None:
            return []
        # This leader did not know the claim. It may have been committed under
        # an earlier leader, so it holds the name.
        verdict = self._verdict_of_local(
            _LocalClaim(ack.known.claim, True, ack.known.settled), pending.claim
        )
        return self._withdraw(pending, verdict)

    def _try_commit(self, pending: _PendingClaim, now_ms: int) -> list[Action]:
        config = self.config
        if not self.is_active or pending.claim.epoch != config.epoch:
            return []
        others = {
            member
            for member in config.members
            if member != self._me and member not in self._dead_peers
        }
        if not others <= pending.acks:
            return []
        is_kept_outside_zone = pending.is_logged or any(
            witness in pending.acks for witness in config.witnesses
        )
        if not is_kept_outside_zone:
            all_isolated = (
                self.is_isolated(now_ms) and others <= pending.isolated_acks
            )
            if not (all_isolated and others):
                return []
        return self._commit(pending)

    def _commit(self, pending: _PendingClaim) -> list[Action]:
        claim = pending.claim
        del self._pending[claim.claim_id]
        won = data.ClaimVerdict(data.ClaimState.WON, claim.claim_id)
        actions: list[Action] = [Verdict(claim.claim_id, won)]
        if pending.is_logged:
            self._drop_claim(claim.claim_id)
            return actions
        local = self._local_claim(claim.claim_id)
        local.counted = True
        local.claim = dataclasses.replace(claim, counted=True)
        actions.append(Append((local.claim,)))
        return actions

    def _withdraw(
        self, pending: _PendingClaim, verdict: data.ClaimVerdict | None
    ) -> list[Action]:
        """Withdraws a claim that was not committed; its call never ran."""
        claim_id = pending.claim.claim_id
        del self._pending[claim_id]
        self._drop_claim(claim_id)
        config = self.config
        withdrawn = gm.ClaimWithdrawn(self._zone, claim_id)
        actions: list[Action] = [Verdict(claim_id, verdict)]
        actions.append(Append((records.ClaimSettled(claim_id, False, None),)))
        if config is not None:
            actions += [
                Send(peer, withdrawn)
                for peer in config.participants
                if peer != self._me and peer not in self._dead_peers
            ]
        return actions

    def on_withdrawn(self, message: gm.ClaimWithdrawn) -> None:
        """Drops a claim that the leader withdrew."""
        self._drop_claim(message.claim_id)

    def on_told(self, message: gm.ClaimTold) -> None:
        """Keeps an outcome until it is on the log."""
        settled = message.settled
        if not settled.executed:
            self._drop_claim(settled.claim_id)
            return
        local = self._local_claim(settled.claim_id)
        if local is not None and local.settled is None:
            local.settled = settled

    # -- epochs --------------------------------------------------------------

    def on_fence(self, fence: gm.GroupFence) -> gm.GroupFenced:
        """Stops keeping claims of earlier epochs and hands over those kept."""
        self._fenced_epoch = max(self._fenced_epoch, fence.epoch)
        if self._active_epoch and self._active_epoch < fence.epoch:
            self._active_epoch = 0
        kept = tuple(
            gm.ReplicatedClaim(local.claim, local.settled)
            for local in self._local_claims.values()
        )
        return gm.GroupFenced(
            self._zone,
            fence.epoch,
            self._me,
            self._next_offset,
            max(self._past_active_epochs, default=0),
            kept,
            tuple(sorted(self._died_in_contact)),
            self._zone in self._groups.zones and self._in_doubt(),
        )

    def on_fenced(self, reply: gm.GroupFenced, now_ms: int) -> list[Action]:
        """Handles that a participant of earlier epochs has stopped."""
        if (
            self._transition is not None
            and self._transition.epoch == reply.epoch
        ):
            self._transition.replies[reply.sender] = reply
        return self._advance(now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Resends, appends again and times out what is due."""
        actions = self._advance(now_ms)
        actions += self._reappend(now_ms)
        for pending in list(self._pending.values()):
            if now_ms - pending.started_ms >= DECISION_TIMEOUT_MS:
                actions += self._withdraw(
                    pending, _not_claimed_verdict(pending)
                )
                continue
            due_ms = RESEND_INTERVAL_MS
            if not pending.witnesses_asked:
                due_ms = WITNESS_DELAY_MS
            if now_ms - pending.last_asked_ms >= due_ms and self.is_active:
                actions += self._send_asks(pending, now_ms)
        return actions

    def _reappend(self, now_ms: int) -> list[Action]:
        """Appends committed claims that the log still lacks.

        The first append may be lost with the steward that queued it.
        """
        is_due = now_ms - self._last_reappend_ms >= REAPPEND_INTERVAL_MS
        is_leader = self.is_active and self.leader == self._me
        if not (
            is_due
            and is_leader
            and self._is_log_reachable
            and self._local_claims
        ):
            return []
        self._last_reappend_ms = now_ms
        missing_records: list[object] = []
        for local in list(self._local_claims.values())[:MAX_REAPPENDED_CLAIMS]:
            if not local.counted:
                continue
            missing_records.append(
                dataclasses.replace(local.claim, counted=True)
            )
            if local.settled is not None:
                missing_records.append(local.settled)
        return [Append(tuple(missing_records))] if missing_records else []

    def _advance(self, now_ms: int) -> list[Action]:
        """Does whatever the latest input made possible."""
        config = self.config
        if config is None:
            return []
        actions: list[Action] = []
        if self._active_epoch and self._active_epoch < config.epoch:
            # Pending claims can't be committed under the old epoch any more.
            self._active_epoch = 0
            for pending in list(self._pending.values()):
                actions += self._withdraw(
                    pending, _not_claimed_verdict(pending)
                )
        if self._me in config.members and self._active_epoch != config.epoch:
            actions += self._try_activate(config, now_ms)
        for pending in list(self._pending.values()):
            actions += self._try_commit(pending, now_ms)
        return actions

    def _try_activate(
        self, config: groups.GroupConfig, now_ms: int
    ) -> list[Action]:
        self._fenced_epoch = max(self._fenced_epoch, config.epoch)
        if self._transition is None or self._transition.epoch != config.epoch:
            self._transition = _EpochTransition(
                config.epoch, now_ms, now_ms - RESEND_INTERVAL_MS
            )
        transition = self._transition
        earlier_configs = [
            c
            for c in self._groups.zones[self._zone].chain
            if c.epoch < config.epoch
        ]
        if self._are_earlier_epochs_stopped(earlier_configs, transition):
            doubt = any(
                self._may_have_lost_claims(c, earlier_configs, transition)
                for c in earlier_configs
            )
            # A participant that has not answered yet may resolve the doubt.
            if not doubt or now_ms - transition.started_ms >= DOUBT_DELAY_MS:
                return self._activate(config, transition, doubt)
        if now_ms - transition.last_asked_ms < RESEND_INTERVAL_MS:
            return []
        transition.last_asked_ms = now_ms
        fence = gm.GroupFence(self._zone, config.epoch)
        missing = {
            peer
            for c in earlier_configs
            for peer in c.participants
            if peer != self._me
            and peer not in self._dead_peers
            and peer not in transition.replies
        }
        return [Send(peer, fence) for peer in sorted(missing)]

    def _are_earlier_epochs_stopped(
        self,
        earlier_configs: list[groups.GroupConfig],
        transition: _EpochTransition,
    ) -> bool:
        """Tells whether no earlier epoch can decide anything any more."""
        for config in earlier_configs:
            unstopped = [
                peer
                for peer in config.participants
                if peer != self._me
                and peer not in self._dead_peers
                and peer not in transition.replies
            ]
            if len(unstopped) > 1:
                return False
        offsets = [reply.next_offset for reply in transition.replies.values()]
        return self._next_offset >= max(offsets, default=0)

    def _activate(
        self,
        config: groups.GroupConfig,
        transition: _EpochTransition,
        doubt: bool,
    ) -> list[Action]:
        for reply in transition.replies.values():
            for kept in reply.kept:
                self._take_over_claim(kept)
        local_records: list[object] = []
        for local in self._local_claims.values():
            # Whether it was committed is unknown now, so it counts as such.
            local.counted = True
            local.claim = dataclasses.replace(local.claim, counted=True)
            local_records.append(local.claim)
            if local.settled is not None:
                local_records.append(local.settled)
        self._transition = None
        self._active_epoch = config.epoch
        self._past_active_epochs.add(config.epoch)
        self._has_unsealed_doubt = doubt
        seal = records.GroupSealed(self._zone, config.epoch, doubt)
        # In one append: a seal on the log promises that all earlier claims are
        # there too, those taken over and those kept here.
        return [
            Append((*local_records, seal)),
            Activated(config.epoch, doubt),
        ]

    def _may_have_lost_claims(
        self,
        config: groups.GroupConfig,
        earlier_configs: list[groups.GroupConfig],
        transition: _EpochTransition,
    ) -> bool:
        """Tells whether claims of an epoch may be lost with its members.

        A member that was active in it or later knows all its claims. With no
        such member left, claims on the log and at witnesses are known; those
        made in isolation took at least two isolated members.
        """
        examined_epoch = config.epoch
        if self._has_unsealed_doubt or any(
            r.doubt for r in transition.replies.values()
        ):
            return True
        if any(epoch >= examined_epoch for epoch in self._past_active_epochs):
            return False
        for reply in transition.replies.values():
            is_member = any(
                reply.sender in c.members
                for c in earlier_configs
                if c.epoch >= examined_epoch
            )
            if is_member and reply.active_epoch >= examined_epoch:
                return False
        died_in_contact = set(self._died_in_contact)
        for reply in transition.replies.values():
            died_in_contact.update(reply.in_contact)
        alive = {self._me, *transition.replies}
        possibly_isolated = [
            member
            for member in config.members
            if member not in died_in_contact and member not in alive
        ]
        is_witness_lost = any(
            witness not in transition.replies and witness != self._me
            for witness in config.witnesses
        )
        return len(possibly_isolated) > 1 or is_witness_lost

    def _take_over_claim(self, kept: gm.ReplicatedClaim) -> None:
        """Keeps a claim that another participant handed over."""
        name = _claim_name(kept.claim)
        local = self._local_claims.get(name)
        if local is not None and (local.settled or not kept.settled):
            return
        self._local_claims[name] = _LocalClaim(kept.claim, True, kept.settled)
        self._name_by_claim_id[kept.claim.claim_id] = name

    # -- kept claims ---------------------------------------------------------

    def _keep_claim(self, claim: records.ClaimMade, now_ms: int) -> None:
        name = _claim_name(claim)
        if name not in self._local_claims:
            self._local_claims[name] = _LocalClaim(
                claim, kept_while_isolated=self.is_isolated(now_ms)
            )
            self._name_by_claim_id[claim.claim_id] = name

    def _local_claim(self, claim_id: str) -> _LocalClaim | None:
        name = self._name_by_claim_id.get(claim_id)
        local = self._local_claims.get(name) if name else None
        if local is not None and local.claim.claim_id == claim_id:
            return local
        return None

    def _drop_claim(self, claim_id: str) -> None:
        local = self._local_claim(claim_id)
        name = self._name_by_claim_id.pop(claim_id, None)
        if local is not None:
            del self._local_claims[name]


def _not_claimed_verdict(pending: _PendingClaim) -> data.ClaimVerdict:
    # The active leader knew no earlier claim of the name, and this one will
    # not be committed: the call has not run.
    return data.ClaimVerdict(
        data.ClaimState.NOT_CLAIMED, pending.claim.claim_id
    )


def _claim_name(claim: records.ClaimMade) -> str:
    return claims.name_of(claim.caller, claim.service, claim.key)
