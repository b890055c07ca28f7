"""One participant's part in deciding a zone's claims.

Why: pass logs and orders must go on while the log is away and while a zone is
cut off, and still no call runs twice. A key is therefore decided in one place
in both weathers: by the group of its caller's home zone. A claim counts when

1. every member of the epoch that is not proved dead keeps it, and
2. it is kept outside the zone as well: on the log, or by a witness in another
   zone; or, where neither can be reached, all members are in the dark and
   there are at least two of them. Nobody ever decides alone.

A new epoch is active at a member only when all participants of the epochs
since the last sealed one, but at most one, have stopped or are proved dead.
The one that is left can't decide alone, so it can't decide at all. What those
who stopped keep is taken over; where all members of an epoch are lost, claims
made in the dark may be lost with them, and the zone is in doubt unless at
most one of its members could have been in the dark.

Deterministic: typed inputs and a time go in, typed actions come out. A proof
of death is given by the shell: a refused connection or a newer incarnation
at the address, never mere silence.
"""

import dataclasses

from sesamecross.core import data
from sesamecross.core import group_messages as gm
from sesamecross.core import records
from sesamecross.ops import claims
from sesamecross.ops import groups

# A member that heard nothing from the log and from any witness for this long
# is in the dark. A witness proves that a member died in contact only within
# half of it; this is the one place where elapsed time (a rate, never the time
# of day) counts, and it can only clear a doubt.
DARK_MS = 4000
IN_CONTACT_MS = DARK_MS // 2
RESEND_MS = 250
ASK_WITNESSES_AFTER_MS = 150
GIVE_UP_MS = 2500
DOUBT_AFTER_MS = 3000
APPEND_AGAIN_MS = 5000
APPEND_AGAIN_MOST = 500


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
    """The answer to a claim; None where none can be had."""

    claim_id: str
    verdict: data.ClaimVerdict | None


@dataclasses.dataclass(frozen=True, slots=True)
class Activated:
    """This member may decide in its epoch now."""

    epoch: int
    doubt: bool


Action = Send | Append | Verdict | Activated


@dataclasses.dataclass(slots=True)
class _Local:
    """A claim kept here that the log is not known to hold.

    Attributes:
      counted: Whether it is known to have counted.
      dark: Whether it was kept while this participant was in the dark.
    """

    claim: records.ClaimMade
    counted: bool = False
    settled: records.ClaimSettled | None = None
    dark: bool = False


@dataclasses.dataclass(slots=True)
class _Pending:
    """A claim that this leader is deciding."""

    claim: records.ClaimMade
    began_ms: int
    asked_ms: int
    logged: bool = False
    witnesses_asked: bool = False
    dark_acks: set[data.Incarnation] = dataclasses.field(default_factory=set)
    acks: set[data.Incarnation] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _Collect:
    """The way to being active in an epoch."""

    epoch: int
    began_ms: int
    asked_ms: int
    replies: dict[data.Incarnation, gm.GroupFenced] = dataclasses.field(
        default_factory=dict
    )


class ClaimGroup:
    """One zone's group as seen by one participant."""

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
        self._active = 0
        self._was_active: set[int] = set()
        self._fenced = 0
        self._local: dict[str, _Local] = {}
        self._name_of: dict[str, str] = {}
        self._pending: dict[str, _Pending] = {}
        self._collect: _Collect | None = None
        self._dead: set[data.Incarnation] = set()
        self._in_contact: set[data.Incarnation] = set()
        # Set while this member is in doubt and its seal, which says so to
        # all, is not on the log yet.
        self._doubt = False
        self._log_ok = True
        self._touch_ms = now_ms
        self._appended_ms = now_ms

    # -- what is known ----------------------------------------------------

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
        return config is not None and self._active == config.epoch

    @property
    def leader(self) -> data.Incarnation | None:
        """Who decides: the first member that is not proved dead."""
        config = self.config
        if config is None:
            return None
        for member in config.members:
            if member not in self._dead:
                return member
        return None

    @property
    def kept(self) -> int:
        """Claims kept here that are not known to be on the log."""
        return len(self._local)

    @property
    def isolated_claim_count(self) -> int:
        """Claims kept in the dark that are still not on the log.

        While this is not 0, dying in contact proves nothing.
        """
        return sum(local.dark for local in self._local.values())

    def is_dark(self, now_ms: int) -> bool:
        """Tells whether log and witnesses have been away for long."""
        return not self._log_ok and now_ms - self._touch_ms >= DARK_MS

    def replace_state(
        self, group_state: groups.GroupState, table: claims.ClaimTable
    ) -> None:
        """Takes in a replayed state that was adopted from elsewhere."""
        self._groups = group_state
        self._table = table

    # -- inputs: the world ---------------------------------------------------

    def set_log_reachable(self, reachable: bool, now_ms: int) -> None:
        """The log answers, or does not."""
        self._log_ok = reachable
        if reachable:
            self._touch_ms = now_ms

    def on_peer_heartbeat(self, peer: data.Incarnation, now_ms: int) -> None:
        """A heartbeat came from a peer."""
        config = self.config
        if config is not None and peer in config.witnesses:
            self._touch_ms = now_ms

    def on_peer_death(
        self, peer: data.Incarnation, in_contact: bool, now_ms: int
    ) -> list[Action]:
        """A peer is dead.

        Args:
          peer: Who.
          in_contact: Whether it answered a heartbeat of this participant
            that was sent within `IN_CONTACT_MS` before the proof.
          now_ms: Monotonic time.
        """
        self._dead.add(peer)
        if in_contact:
            self._in_contact.add(peer)
        return self._progress(now_ms)

    def on_replayed(self, next_offset: int, now_ms: int) -> list[Action]:
        """The log was replayed up to an offset."""
        self._next_offset = max(self._next_offset, next_offset)
        self._drop_logged()
        return self._progress(now_ms)

    def _drop_logged(self) -> None:
        """Stops keeping what the log is seen to hold as far as known."""
        for local in list(self._local.values()):
            claim_id = local.claim.claim_id
            if claim_id in self._pending:
                continue
            in_log = self._table.by_name.get(_name(local.claim))
            if in_log is None or in_log.claim_id != claim_id:
                continue
            if local.settled is None or in_log.executed is not None:
                self._drop(claim_id)

    def on_claim_record(
        self,
        record: records.ClaimMade,
        verdict: data.ClaimVerdict | None,
        now_ms: int,
    ) -> list[Action]:
        """A claim of this zone stands on the log."""
        pending = self._pending.get(record.claim_id)
        won = verdict is not None and verdict.state is data.ClaimState.WON
        if pending is not None and won:
            pending.logged = True
        return self._progress(now_ms)

    def on_settled_record(self, record: records.ClaimSettled) -> None:
        """An outcome stands on the log; nothing need be kept of it."""
        self._drop(record.claim_id)

    # -- inputs: claims ------------------------------------------------------

    def claim(self, record: records.ClaimMade, now_ms: int) -> list[Action]:
        """Begins to decide a claim at the leader."""
        config = self.config
        if not self.is_active or self.leader != self._me:
            return [Verdict(record.claim_id, None)]
        if record.claim_id in self._pending:
            return []
        record = dataclasses.replace(
            record, zone=self._zone, epoch=config.epoch, counted=False
        )
        known = self._known(record)
        if known is not None:
            return [Verdict(record.claim_id, known)]
        if self._in_doubt():
            # Nobody alive can tell whether this key has run.
            unknown = data.ClaimVerdict(data.ClaimState.UNKNOWN, "")
            return [Verdict(record.claim_id, unknown)]
        self._keep(record, now_ms)
        pending = _Pending(record, now_ms, now_ms)
        self._pending[record.claim_id] = pending
        actions: list[Action] = []
        if self._log_ok:
            actions.append(Append((record,)))
        actions += self._ask_all(pending, now_ms)
        return actions + self._try_count(pending, now_ms)

    def _in_doubt(self) -> bool:
        group = self._groups.zones[self._zone]
        if self._doubt and group.sealed >= max(self._was_active, default=0):
            self._doubt = False
        return self._doubt or group.doubt

    def look_up(self, record: records.ClaimMade) -> data.ClaimVerdict | None:
        """Returns what is known of the claim that holds a name."""
        return self._known(record)

    def settle(self, settled: records.ClaimSettled) -> list[Action]:
        """Takes in an outcome from whoever dispatched the call."""
        local = self._local_of(settled.claim_id)
        if local is not None and local.settled is None:
            local.settled = settled
        config = self.config
        kept: tuple[object, ...] = ()
        if local is not None and settled.executed:
            # The claim may reach the log behind its outcome, which would
            # then be lost: both go in one append.
            kept = (dataclasses.replace(local.claim, counted=True),)
        actions: list[Action] = [Append((*kept, settled))]
        if config is not None:
            told = gm.ClaimTold(self._zone, settled)
            actions += [
                Send(peer, told)
                for peer in config.participants
                if peer != self._me and peer not in self._dead
            ]
        return actions

    def _known(self, record: records.ClaimMade) -> data.ClaimVerdict | None:
        """Returns the verdict of an earlier claim of the same name."""
        name = _name(record)
        in_log = self._table.by_name.get(name)
        if in_log is not None and in_log.claim_id != record.claim_id:
            return claims.verdict_of(self._table, in_log, record.call_digest)
        local = self._local.get(name)
        if local is None or local.claim.claim_id == record.claim_id:
            return None
        return self._verdict_of_local(local, record)

    def _verdict_of_local(
        self, local: _Local, record: records.ClaimMade
    ) -> data.ClaimVerdict:
        claim = claims.Claim(
            local.claim.claim_id,
            _name(local.claim),
            local.claim.call_digest,
            local.claim.holder,
            True if local.settled else None,
            local.settled.answer if local.settled else None,
        )
        verdict = claims.verdict_of(self._table, claim, record.call_digest)
        gone = claim.holder in self._dead
        if verdict.state is data.ClaimState.IN_PROGRESS and gone:
            return dataclasses.replace(verdict, state=data.ClaimState.UNKNOWN)
        return verdict

    # -- deciding ------------------------------------------------------------

    def _ask_all(self, pending: _Pending, now_ms: int) -> list[Action]:
        """Asks the members, and the witnesses where the log won't do."""
        config = self.config
        pending.asked_ms = now_ms
        asked = list(config.members)
        waited_ms = now_ms - pending.began_ms
        if not self._log_ok or waited_ms >= ASK_WITNESSES_AFTER_MS:
            pending.witnesses_asked = True
            asked += config.witnesses
        ask = gm.ClaimAsk(
            self._zone,
            config.epoch,
            config.members,
            config.witnesses,
            pending.claim,
        )
        return [
            Send(peer, ask)
            for peer in asked
            if peer not in (self._me, *pending.acks) and peer not in self._dead
        ]

    def on_ask(self, ask: gm.ClaimAsk, now_ms: int) -> gm.ClaimAck:
        """Keeps a claim for the leader of its epoch, if that is allowed."""
        granted = self._may_keep(ask)
        known = None
        if granted:
            known = self._conflict(ask.claim)
            granted = known is None
        if granted:
            self._keep(ask.claim, now_ms)
        return gm.ClaimAck(
            self._zone,
            ask.epoch,
            ask.claim.claim_id,
            self._me,
            granted,
            known,
            self.is_dark(now_ms),
        )

    def _may_keep(self, ask: gm.ClaimAsk) -> bool:
        if ask.epoch < self._fenced:
            return False
        if self._me in ask.members:
            # A member keeps claims only once it is active in the epoch, so
            # that it knows all earlier claims.
            return self._active == ask.epoch
        if self._me in ask.witnesses:
            self._fenced = max(self._fenced, ask.epoch)
            return True
        return False

    def _conflict(self, claim: records.ClaimMade) -> gm.ReplicatedClaim | None:
        name = _name(claim)
        local = self._local.get(name)
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
        """Takes in a participant's answer."""
        pending = self._pending.get(ack.claim_id)
        config = self.config
        if pending is None or config is None or ack.epoch != config.epoch:
            return []
        if ack.granted:
            pending.acks.add(ack.sender)
            if ack.dark:
                pending.dark_acks.add(ack.sender)
            return self._try_count(pending, now_ms)
        if ack.known is None:
            return []
        # A claim that this leader did not know: it may have counted under an
        # earlier leader, so it holds the name.
        verdict = self._verdict_of_local(
            _Local(ack.known.claim, True, ack.known.settled), pending.claim
        )
        return self._withdraw(pending, verdict)

    def _try_count(self, pending: _Pending, now_ms: int) -> list[Action]:
        config = self.config
        if not self.is_active or pending.claim.epoch != config.epoch:
            return []
        others = {
            member
            for member in config.members
            if member != self._me and member not in self._dead
        }
        if not others <= pending.acks:
            return []
        outside = pending.logged or any(
            witness in pending.acks for witness in config.witnesses
        )
        if not outside:
            all_dark = self.is_dark(now_ms) and others <= pending.dark_acks
            if not (all_dark and others):
                return []
        return self._count(pending)

    def _count(self, pending: _Pending) -> list[Action]:
        claim = pending.claim
        del self._pending[claim.claim_id]
        won = data.ClaimVerdict(data.ClaimState.WON, claim.claim_id)
        actions: list[Action] = [Verdict(claim.claim_id, won)]
        if pending.logged:
            self._drop(claim.claim_id)
            return actions
        local = self._local_of(claim.claim_id)
        local.counted = True
        local.claim = dataclasses.replace(claim, counted=True)
        actions.append(Append((local.claim,)))
        return actions

    def _withdraw(
        self, pending: _Pending, verdict: data.ClaimVerdict | None
    ) -> list[Action]:
        """Gives up a claim that did not count; its call never ran."""
        claim_id = pending.claim.claim_id
        del self._pending[claim_id]
        self._drop(claim_id)
        config = self.config
        withdrawn = gm.ClaimWithdrawn(self._zone, claim_id)
        actions: list[Action] = [Verdict(claim_id, verdict)]
        actions.append(Append((records.ClaimSettled(claim_id, False, None),)))
        if config is not None:
            actions += [
                Send(peer, withdrawn)
                for peer in config.participants
                if peer != self._me and peer not in self._dead
            ]
        return actions

    def on_withdrawn(self, message: gm.ClaimWithdrawn) -> None:
        """The leader gave a claim up before it counted."""
        self._drop(message.claim_id)

    def on_told(self, message: gm.ClaimTold) -> None:
        """Keeps an outcome until the log has it."""
        settled = message.settled
        if not settled.executed:
            self._drop(settled.claim_id)
            return
        local = self._local_of(settled.claim_id)
        if local is not None and local.settled is None:
            local.settled = settled

    # -- epochs --------------------------------------------------------------

    def on_fence(self, fence: gm.GroupFence) -> gm.GroupFenced:
        """Stops keeping claims of earlier epochs; hands over what is kept."""
        self._fenced = max(self._fenced, fence.epoch)
        if self._active and self._active < fence.epoch:
            self._active = 0
        kept = tuple(
            gm.ReplicatedClaim(local.claim, local.settled)
            for local in self._local.values()
        )
        return gm.GroupFenced(
            self._zone,
            fence.epoch,
            self._me,
            self._next_offset,
            max(self._was_active, default=0),
            kept,
            tuple(sorted(self._in_contact)),
            self._zone in self._groups.zones and self._in_doubt(),
        )

    def on_fenced(self, reply: gm.GroupFenced, now_ms: int) -> list[Action]:
        """Takes in that a participant of earlier epochs has stopped."""
        if self._collect is not None and self._collect.epoch == reply.epoch:
            self._collect.replies[reply.sender] = reply
        return self._progress(now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Lets time pass: asks again, gives up."""
        actions = self._progress(now_ms)
        actions += self._append_again(now_ms)
        for pending in list(self._pending.values()):
            if now_ms - pending.began_ms >= GIVE_UP_MS:
                actions += self._withdraw(pending, _not_claimed(pending))
                continue
            due_ms = RESEND_MS
            if not pending.witnesses_asked:
                due_ms = ASK_WITNESSES_AFTER_MS
            if now_ms - pending.asked_ms >= due_ms and self.is_active:
                actions += self._ask_all(pending, now_ms)
        return actions

    def _append_again(self, now_ms: int) -> list[Action]:
        """Appends what the log still lacks.

        The first append may be lost with the steward that queued it.
        """
        due = now_ms - self._appended_ms >= APPEND_AGAIN_MS
        leads = self.is_active and self.leader == self._me
        if not (due and leads and self._log_ok and self._local):
            return []
        self._appended_ms = now_ms
        lacking: list[object] = []
        for local in list(self._local.values())[:APPEND_AGAIN_MOST]:
            if not local.counted:
                continue
            lacking.append(dataclasses.replace(local.claim, counted=True))
            if local.settled is not None:
                lacking.append(local.settled)
        return [Append(tuple(lacking))] if lacking else []

    def _progress(self, now_ms: int) -> list[Action]:
        """Does whatever the latest input made possible."""
        config = self.config
        if config is None:
            return []
        actions: list[Action] = []
        if self._active and self._active < config.epoch:
            # What was pending can't count any more under the old epoch.
            self._active = 0
            for pending in list(self._pending.values()):
                actions += self._withdraw(pending, _not_claimed(pending))
        if self._me in config.members and self._active != config.epoch:
            actions += self._seek_activity(config, now_ms)
        for pending in list(self._pending.values()):
            actions += self._try_count(pending, now_ms)
        return actions

    def _seek_activity(
        self, config: groups.GroupConfig, now_ms: int
    ) -> list[Action]:
        self._fenced = max(self._fenced, config.epoch)
        if self._collect is None or self._collect.epoch != config.epoch:
            self._collect = _Collect(config.epoch, now_ms, now_ms - RESEND_MS)
        collect = self._collect
        earlier = [
            c
            for c in self._groups.zones[self._zone].chain
            if c.epoch < config.epoch
        ]
        if self._is_complete(earlier, collect):
            doubt = any(self._is_doubtful(c, earlier, collect) for c in earlier)
            # Whoever has not answered yet may know what is in doubt.
            if not doubt or now_ms - collect.began_ms >= DOUBT_AFTER_MS:
                return self._activate(config, collect, doubt)
        if now_ms - collect.asked_ms < RESEND_MS:
            return []
        collect.asked_ms = now_ms
        fence = gm.GroupFence(self._zone, config.epoch)
        missing = {
            peer
            for c in earlier
            for peer in c.participants
            if peer != self._me
            and peer not in self._dead
            and peer not in collect.replies
        }
        return [Send(peer, fence) for peer in sorted(missing)]

    def _is_complete(
        self, earlier: list[groups.GroupConfig], collect: _Collect
    ) -> bool:
        """Tells whether no earlier epoch can decide anything any more."""
        for config in earlier:
            unfenced = [
                peer
                for peer in config.participants
                if peer != self._me
                and peer not in self._dead
                and peer not in collect.replies
            ]
            if len(unfenced) > 1:
                return False
        offsets = [reply.next_offset for reply in collect.replies.values()]
        return self._next_offset >= max(offsets, default=0)

    def _activate(
        self, config: groups.GroupConfig, collect: _Collect, doubt: bool
    ) -> list[Action]:
        for reply in collect.replies.values():
            for kept in reply.kept:
                self._import(kept)
        kept_here: list[object] = []
        for local in self._local.values():
            # Whether it counted is not known any more, so it did.
            local.counted = True
            local.claim = dataclasses.replace(local.claim, counted=True)
            kept_here.append(local.claim)
            if local.settled is not None:
                kept_here.append(local.settled)
        self._collect = None
        self._active = config.epoch
        self._was_active.add(config.epoch)
        self._doubt = doubt
        seal = records.GroupSealed(self._zone, config.epoch, doubt)
        # In one append: a seal on the log says that all earlier claims are
        # there too, those taken over and those kept here.
        return [
            Append((*kept_here, seal)),
            Activated(config.epoch, doubt),
        ]

    def _is_doubtful(
        self,
        config: groups.GroupConfig,
        earlier: list[groups.GroupConfig],
        collect: _Collect,
    ) -> bool:
        """Tells whether claims of an epoch may be lost with its members.

        A member that was active in it or later knows all its claims. With
        no such member left, claims on the log and at witnesses are known;
        those made in the dark took at least two members in the dark.
        """
        newest = config.epoch
        if self._doubt or any(r.doubt for r in collect.replies.values()):
            return True
        if any(epoch >= newest for epoch in self._was_active):
            return False
        for reply in collect.replies.values():
            is_member = any(
                reply.sender in c.members for c in earlier if c.epoch >= newest
            )
            if is_member and reply.active_epoch >= newest:
                return False
        proved = set(self._in_contact)
        for reply in collect.replies.values():
            proved.update(reply.in_contact)
        alive = {self._me, *collect.replies}
        maybe_dark = [
            member
            for member in config.members
            if member not in proved and member not in alive
        ]
        lost_witness = any(
            witness not in collect.replies and witness != self._me
            for witness in config.witnesses
        )
        return len(maybe_dark) > 1 or lost_witness

    def _import(self, kept: gm.ReplicatedClaim) -> None:
        """Keeps a claim that another participant handed over."""
        name = _name(kept.claim)
        local = self._local.get(name)
        if local is not None and (local.settled or not kept.settled):
            return
        self._local[name] = _Local(kept.claim, True, kept.settled)
        self._name_of[kept.claim.claim_id] = name

    # -- what is kept ----------------------------------------------------------

    def _keep(self, claim: records.ClaimMade, now_ms: int) -> None:
        name = _name(claim)
        if name not in self._local:
            self._local[name] = _Local(claim, dark=self.is_dark(now_ms))
            self._name_of[claim.claim_id] = name

    def _local_of(self, claim_id: str) -> _Local | None:
        name = self._name_of.get(claim_id)
        local = self._local.get(name) if name else None
        if local is not None and local.claim.claim_id == claim_id:
            return local
        return None

    def _drop(self, claim_id: str) -> None:
        local = self._local_of(claim_id)
        name = self._name_of.pop(claim_id, None)
        if local is not None:
            del self._local[name]


def _not_claimed(pending: _Pending) -> data.ClaimVerdict:
    # No earlier claim of the name was known to the active leader, and this
    # one will not count: the call has not run.
    return data.ClaimVerdict(
        data.ClaimState.NOT_CLAIMED, pending.claim.claim_id
    )


def _name(claim: records.ClaimMade) -> str:
    return claims.name_of(claim.caller, claim.service, claim.key)
