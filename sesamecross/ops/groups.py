"""Claim groups as replayed from the log: members, epochs, doubt, homes.

A caller's claims are decided in one place, the group of its home zone,
whether the log is reachable or not. The group's membership changes only by
records on the log, one epoch at a time, so that no two groups of one zone can
both decide.
"""

from collections.abc import Mapping
import dataclasses

from sesamecross.core import data
from sesamecross.core import records


@dataclasses.dataclass(frozen=True, slots=True)
class GroupConfig:
    """One epoch of a zone's group."""

    zone: str
    epoch: int
    members: tuple[data.Incarnation, ...]
    witnesses: tuple[data.Incarnation, ...]

    @property
    def participants(self) -> tuple[data.Incarnation, ...]:
        """Members and witnesses."""
        return self.members + self.witnesses


@dataclasses.dataclass(slots=True)
class ZoneGroup:
    """A zone's group.

    Attributes:
      chain: Epochs from the last sealed one to the current one.
      sealed: The newest epoch before which all claims are accounted for.
      doubt: Claims may have run that no live participant knows of.
    """

    chain: list[GroupConfig] = dataclasses.field(default_factory=list)
    sealed: int = 0
    doubt: bool = False

    @property
    def current(self) -> GroupConfig | None:
        """The current epoch, or None before the first."""
        return self.chain[-1] if self.chain else None


@dataclasses.dataclass(slots=True)
class GroupState:
    """All zones' groups, and the home zones in force.

    Attributes:
      homes: The zone that decides a caller's claims, by caller. It differs
        from the declared home until the earlier home releases the caller.
    """

    zones: dict[str, ZoneGroup] = dataclasses.field(default_factory=dict)
    homes: dict[str, str] = dataclasses.field(default_factory=dict)


def begin_epoch(
    state: GroupState, record: records.GroupChanged
) -> GroupConfig | None:
    """Begins a new epoch if the record follows the current one."""
    group = state.zones.setdefault(record.zone, ZoneGroup())
    current = group.current
    if record.base_epoch != (current.epoch if current else 0):
        return None
    if not record.members:
        return None
    config = GroupConfig(
        record.zone, record.base_epoch + 1, record.members, record.witnesses
    )
    group.chain.append(config)
    return config


def seal(state: GroupState, record: records.GroupSealed) -> bool:
    """Records that all claims before an epoch are accounted for."""
    group = state.zones.get(record.zone)
    if group is None or record.epoch <= group.sealed:
        return False
    current = group.current
    if current is None or record.epoch > current.epoch:
        return False
    group.sealed = record.epoch
    group.doubt = group.doubt or record.doubt
    group.chain = [c for c in group.chain if c.epoch >= record.epoch]
    return True


def clear_doubt(state: GroupState, record: records.DoubtCleared) -> bool:
    """Clears a zone's doubt by an operator's decision."""
    group = state.zones.get(record.zone)
    if group is None or not group.doubt:
        return False
    group.doubt = False
    return True


def claim_is_current(state: GroupState, record: records.ClaimMade) -> bool:
    """Tells whether a claim was made in the epoch current at its offset."""
    if record.counted:
        return True
    group = state.zones.get(record.zone)
    current = group.current if group else None
    return current is not None and current.epoch == record.epoch


def update_homes(state: GroupState, callers: Mapping[str, data.Caller]) -> None:
    """Adds new callers with their declared home and removes undeclared ones.

    A caller whose declared home changed keeps the earlier one: that group may
    be partitioned and still decide by the older configuration.
    """
    for name in list(state.homes):
        if name not in callers:
            del state.homes[name]
    for name, caller in callers.items():
        state.homes.setdefault(name, caller.home_zone)


def release_home(
    state: GroupState,
    callers: Mapping[str, data.Caller],
    record: records.HomeReleased,
) -> bool:
    """Puts a caller's declared home in force from here on."""
    declared = callers.get(record.caller)
    if declared is None or state.homes.get(record.caller) != record.from_zone:
        return False
    group = state.zones.get(record.from_zone)
    current = group.current if group else None
    epoch = current.epoch if current else 0
    if record.epoch != epoch and not record.forced:
        return False
    state.homes[record.caller] = declared.home_zone
    return True
