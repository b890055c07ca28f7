"""Replays log records into the state that all instances share.

Instances store nothing, so each rebuilds the state from the log (or takes it
from a peer or a snapshot, in the same form) and reaches the same verdicts.
`SharedState.apply` reads only the record and its offset: no clock, no random
number, nothing of the instance that runs it.
"""

import dataclasses
import hashlib
from typing import Any

import msgpack
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import zstandard

from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.core import errors
from sesamecross.core import records
from sesamecross.ops import claims
from sesamecross.ops import config_log
from sesamecross.ops import groups
from sesamecross.ops import intents
from sesamecross.ops import leases

# Appends whose answer was lost are sent again within seconds; at several
# hundred appends per second these many ids cover more than a minute.
MAX_APPEND_IDS = 20_000
MAX_STATE_BYTES = 256 * 1024 * 1024
MAX_MEMBERS = 20_000


@dataclasses.dataclass(slots=True)
class StateDump:
    """The whole state in plain form, as snapshots and peers carry it.

    Written under field names: renaming one makes stored snapshots unreadable.
    """

    next_offset: int
    append_ids: list[str]
    config: config_log.ConfigState
    leases: leases.LeaseState
    intents: intents.IntentState
    claims: claims.ClaimTable
    members: dict[str, data.Member]
    draining: list[str]
    groups: groups.GroupState


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedRecord:
    """The effect of one replayed record, for those who wait for it.

    Attributes:
      result: Verdict, Lease, Intent or ClaimVerdict; None if the record did
        not count or has no result.
      stamp: The writer's hybrid clock, for the timeline.
    """

    offset: int
    record: Any
    result: Any
    stamp: tuple[int, int] = (0, 0)


class SharedState:
    """The replayed state after all records before `next_offset`."""

    __slots__ = (
        "next_offset",
        "config",
        "leases",
        "intents",
        "claims",
        "members",
        "draining",
        "groups",
        "_append_ids",
    )

    def __init__(self) -> None:
        self.next_offset = 0
        self.config = config_log.ConfigLog()
        self.leases = leases.LeaseState()
        self.intents = intents.IntentState()
        self.claims = claims.ClaimTable()
        self.members: dict[str, data.Member] = {}
        self.draining: set[str] = set()
        self.groups = groups.GroupState()
        self._append_ids: dict[str, None] = {}

    def apply(self, offset: int, payload: bytes) -> list[AppliedRecord]:
        """Applies one log record; an offset seen before changes nothing.

        Args:
          offset: The record's position on the log. Must not skip records that
            could still be read; the log client ensures that.
          payload: The record's bytes. Bytes that are no envelope change
            nothing but the offset, at every instance alike.

        Returns:
          One result for each entry of the envelope, in order.
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        envelope = codec.decode(payload).value_or(None)
        if not isinstance(envelope, records.Envelope):
            return []
        if envelope.append_id in self._append_ids:
            return []
        self._remember_append_id(envelope.append_id)
        applied_records = []
        for plain in envelope.entries:
            record = codec.from_plain(plain).value_or(None)
            result = self._apply_record(offset, record)
            applied_records.append(
                AppliedRecord(offset, record, result, envelope.stamp)
            )
        return applied_records

    def _remember_append_id(self, append_id: str) -> None:
        self._append_ids[append_id] = None
        while len(self._append_ids) > MAX_APPEND_IDS:
            self._append_ids.pop(next(iter(self._append_ids)))

    def _apply_record(self, offset: int, record: Any) -> Any:
        match record:
            case records.ConfigPublished():
                return self._configure(offset, record)
            case records.MemberJoined(member=member):
                return self._join(member)
            case records.MemberLeft(incarnation=incarnation):
                return self._leave(incarnation)
            case records.LeaseTaken():
                # In `supersedes`, 0 means that there is no lease.
                return leases.take(self.leases, offset + 1, record)
            case records.LeaseReleased():
                return leases.release(self.leases, record)
            case records.LeaseRenewed(zone=zone, lease=lease):
                return leases.is_current(self.leases, zone, lease)
            case records.IntentWritten():
                return intents.write(
                    self.intents, self.leases, offset + 1, record
                )
            case records.IntentResolved():
                return intents.resolve(self.intents, record)
            case records.ClaimMade():
                return self._claim(record)
            case records.ClaimSettled():
                return claims.settle(self.claims, record)
            case records.GroupChanged():
                return groups.begin_epoch(self.groups, record)
            case records.GroupSealed():
                return groups.seal(self.groups, record)
            case records.DoubtCleared():
                return groups.clear_doubt(self.groups, record)
            case records.HomeReleased():
                callers = self.config.declarations.callers
                return groups.release_home(self.groups, callers, record)
            case records.DrainMarked(upstream=upstream, draining=True):
                self.draining.add(upstream)
            case records.DrainMarked(upstream=upstream):
                self.draining.discard(upstream)
        return None

    def _configure(
        self, offset: int, record: records.ConfigPublished
    ) -> config_log.Verdict:
        verdict = self.config.apply(offset, record)
        callers = self.config.declarations.callers
        groups.update_homes(self.groups, callers)
        return verdict

    def _claim(self, record: records.ClaimMade) -> data.ClaimVerdict | None:
        if not groups.claim_is_current(self.groups, record):
            return None
        remembered = self.config.declarations.claims.remembered
        return claims.record_claim(self.claims, record, remembered)

    def _join(self, member: data.Member) -> None:
        instance = member.incarnation.instance
        earlier = self.members.get(instance)
        if earlier is not None and earlier.incarnation != member.incarnation:
            claims.mark_holder_gone(self.claims, earlier.incarnation)
        self.members[instance] = member
        while len(self.members) > MAX_MEMBERS:
            self.members.pop(next(iter(self.members)))

    def _leave(self, incarnation: data.Incarnation) -> None:
        claims.mark_holder_gone(self.claims, incarnation)
        current = self.members.get(incarnation.instance)
        if current is not None and current.incarnation == incarnation:
            del self.members[incarnation.instance]

    def dump(self) -> bytes:
        """Returns the state as bytes, equal for equal states."""
        dumped = StateDump(
            self.next_offset,
            list(self._append_ids),
            self.config.state,
            self.leases,
            self.intents,
            self.claims,
            self.members,
            sorted(self.draining),
            self.groups,
        )
        return msgpack.packb(
            msgspec.to_builtins(dumped, builtin_types=(bytes,))
        )


def load(dump: bytes) -> Result[SharedState, errors.Problem]:
    """Returns the state that `SharedState.dump` wrote."""
    try:
        dumped = msgspec.convert(msgpack.unpackb(dump), StateDump)
    except (ValueError, TypeError, msgspec.ValidationError) as error:
        return Failure(_bad_dump(str(error)))
    state = SharedState()
    state.next_offset = dumped.next_offset
    state.config = config_log.ConfigLog(dumped.config)
    state.leases = dumped.leases
    state.intents = dumped.intents
    state.claims = dumped.claims
    state.members = dumped.members
    state.draining = set(dumped.draining)
    state.groups = dumped.groups
    state._append_ids = dict.fromkeys(dumped.append_ids)
    return Success(state)


def snapshot(state: SharedState) -> records.StateSnapshot:
    """Returns the state as a record that can be appended or sent."""
    dump = state.dump()
    return records.StateSnapshot(
        state.next_offset - 1,
        hashlib.sha256(dump).hexdigest(),
        zstandard.ZstdCompressor(level=3).compress(dump),
    )


def restore(
    record: records.StateSnapshot,
) -> Result[SharedState, errors.Problem]:
    """Returns the state in a snapshot, or why it can't be used."""
    try:
        dump = zstandard.ZstdDecompressor().decompress(
            record.data, max_output_size=MAX_STATE_BYTES
        )
    except zstandard.ZstdError as error:
        return Failure(_bad_dump(str(error)))
    if hashlib.sha256(dump).hexdigest() != record.digest:
        return Failure(_bad_dump("digest does not match"))
    loaded = load(dump)
    state = loaded.value_or(None)
    if state is not None and state.next_offset != record.upto + 1:
        return Failure(_bad_dump("offset does not match its content"))
    return loaded


def _bad_dump(reason: str) -> errors.Problem:
    return errors.Problem(
        "snapshot",
        "",
        f"can't be read ({reason})",
        "use another snapshot, a peer, or replay the log",
        errors.Kind.PROTOCOL,
    )
