"""Membership: which instances exist, which are alive, and each zone's hub.

Instances start and stop at any time, and the store lists all that ever
registered. Whether one is alive is judged by messages from it, directly or
through a hub. All members of a zone pick the same hub by rendezvous hashing,
without a vote: a wrong pick costs some datagrams and never a response.
"""

from collections.abc import Iterable
import dataclasses

from sesamecross.core import fleet_messages as fm
from sesamecross.utils import rendezvous

# An instance silent for this long is regarded as dead. Members send at
# least every HEARTBEAT_INTERVAL_S (0.4 s); three in a row may be lost.
LIVENESS_TIMEOUT_S = 1.6
HEARTBEAT_INTERVAL_S = 0.4
# Registered instances that have sent no message may be a hub for this long
# after this instance's start: the instances of a deployment start at about the
# same time.
STARTUP_GRACE_S = 3.0


@dataclasses.dataclass(slots=True)
class KnownMember:
    """An instance, and when it was last known to be alive."""

    member: fm.Member
    last_heartbeat_s: float | None


class Roster:
    """This instance and all others that it knows."""

    __slots__ = ("me", "_known", "_started_s")

    def __init__(self, me: fm.Member, now_s: float):
        self.me = me
        self._known: dict[str, KnownMember] = {}
        self._started_s = now_s

    def registered(self, members: Iterable[fm.Member]) -> None:
        """Adds instances from the store's list."""
        for member in members:
            if member.name != self.me.name:
                self._update(member, None)

    def on_heartbeat(self, member: fm.Member, now_s: float) -> bool:
        """Records a message from an instance, or a hub's report of it.

        Returns:
          False if it is an earlier incarnation of an instance, or this one.
        """
        if member.name == self.me.name:
            return False
        return self._update(member, now_s)

    def _update(
        self, member: fm.Member, last_heartbeat_s: float | None
    ) -> bool:
        known = self._known.get(member.name)
        if known is None:
            self._known[member.name] = KnownMember(member, last_heartbeat_s)
            return True
        if member.incarnation < known.member.incarnation:
            return False
        if member.incarnation > known.member.incarnation:
            known.last_heartbeat_s = None
        known.member = member
        if last_heartbeat_s is not None:
            known.last_heartbeat_s = last_heartbeat_s
        return True

    def get(self, name: str) -> fm.Member | None:
        """Returns an instance by its name, or None."""
        known = self._known.get(name)
        return known.member if known else None

    def is_alive(self, name: str, now_s: float) -> bool:
        """Whether a message or report of an instance arrived recently."""
        if name == self.me.name:
            return True
        known = self._known.get(name)
        return (
            known is not None
            and known.last_heartbeat_s is not None
            and now_s - known.last_heartbeat_s < LIVENESS_TIMEOUT_S
        )

    def alive(self, now_s: float) -> list[fm.Member]:
        """Returns the other instances that are alive, sorted by name."""
        return [
            known.member
            for name, known in sorted(self._known.items())
            if self.is_alive(name, now_s)
        ]

    def silent(self, now_s: float) -> list[fm.Member]:
        """Returns the other instances that are not alive, sorted by name."""
        return [
            known.member
            for name, known in sorted(self._known.items())
            if not self.is_alive(name, now_s)
        ]

    def hub_of(self, zone: str, now_s: float) -> str | None:
        """Returns the name of a zone's hub, or None if it has no members."""
        is_early = now_s - self._started_s < STARTUP_GRACE_S
        names = [
            name
            for name, known in self._known.items()
            if known.member.zone == zone
            and (
                self.is_alive(name, now_s)
                or (is_early and known.last_heartbeat_s is None)
            )
        ]
        if zone == self.me.zone:
            names.append(self.me.name)
        best = rendezvous.top(f"hub/{zone}", names, 1)
        return best[0] if best else None

    def forget(self, name: str) -> None:
        """Removes an instance that announced that it is leaving."""
        self._known.pop(name, None)
