"""Membership: which instances exist, which are alive, and each zone's hub.

Instances start and stop at any time, and the store lists all that ever
registered. Whether one is alive is judged by messages from it, directly or
through a hub. All members of a zone pick the same hub by rendezvous hashing,
without a vote: a wrong pick costs some datagrams and never a response.
"""

from collections.abc import Iterable
import math

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.utils import rendezvous

# An instance silent for this long is regarded as dead. Members send at
# least every HEARTBEAT_INTERVAL_S (0.4 s); three in a row may be lost.
LIVENESS_TIMEOUT_S = 1.6
HEARTBEAT_INTERVAL_S = 0.4
# An instance that is silent for so long does not serve on behind a cut.
GONE_AFTER_S = 60.0
# Registered instances that have sent no message may be a hub for this long
# after this instance's start: the instances of a deployment start at about the
# same time.
STARTUP_GRACE_S = 3.0
# What is kept is computed again this much early, so that it agrees with
# `is_alive` in spite of rounding.
ROUNDING_MARGIN_S = 1e-6

# Name, incarnation and availability zone.
_Identity = tuple[str, int, str]


class KnownMember(msgspec.Struct):
    """An instance, and when it was last known to be alive."""

    member: fm.Member
    last_heartbeat_s: float | None

    @property
    def identity(self) -> _Identity:
        """What decides, together with its being alive, whether it is a hub."""
        return (self.member.name, self.member.incarnation, self.member.zone)


class Roster:
    """This instance and all others that it knows.

    Which instances are alive, and the zones' hubs, are asked for many times a
    second and change when an instance starts or stops. They are kept until
    then, so that asking costs the same in a deployment of any size.

    Attributes:
      me: This instance.
      furthest_configuration, furthest_upstreams: The furthest read positions
        that any other instance ever reported.
    """

    __slots__ = (
        "me",
        "furthest_configuration",
        "furthest_upstreams",
        "_known",
        "_started_s",
        "_version",
        "_alive",
        "_alive_names",
        "_identities",
        "_valid_until_s",
        "_hub_candidates",
        "_hubs",
    )

    def __init__(self, me: fm.Member, now_s: float):
        self.me = me
        self.furthest_configuration = -1
        self.furthest_upstreams = -1
        self._known: dict[str, KnownMember] = {}
        self._started_s = now_s
        self._version = 0
        # The instances that are alive, sorted by name. Outdated from
        # `_valid_until_s` on, or earlier if heartbeats add or replace one.
        self._alive: list[KnownMember] = []
        self._alive_names: frozenset[str] = frozenset()
        self._identities: tuple[_Identity, ...] = ()
        self._valid_until_s = -math.inf
        # Those that may be a hub, and the hub of each zone asked for since they
        # changed.
        self._hub_candidates: tuple[_Identity, ...] = ()
        self._hubs: dict[str, str | None] = {}

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

    def on_heartbeats(self, members: Iterable[fm.Member], now_s: float) -> None:
        """Records a hub's report of many instances.

        A view lists all of the deployment several times a second, and nearly
        all of them only live on.
        """
        furthest_configuration = self.furthest_configuration
        furthest_upstreams = self.furthest_upstreams
        alive_names = self._alive_names
        for member in members:
            known = self._known.get(member.name)
            if (
                known is not None
                and member.name in alive_names
                and known.member.incarnation == member.incarnation
                and known.member.zone == member.zone
                and member.configuration <= furthest_configuration
                and member.upstreams <= furthest_upstreams
            ):
                known.member = member
                known.last_heartbeat_s = now_s
            else:
                self.on_heartbeat(member, now_s)

    def _update(
        self, member: fm.Member, last_heartbeat_s: float | None
    ) -> bool:
        if member.configuration > self.furthest_configuration:
            self.furthest_configuration = member.configuration
        if member.upstreams > self.furthest_upstreams:
            self.furthest_upstreams = member.upstreams
        known = self._known.get(member.name)
        if known is None:
            self._known[member.name] = KnownMember(member, last_heartbeat_s)
            self._invalidate()
            return True
        if member.incarnation < known.member.incarnation:
            return False
        if member.incarnation > known.member.incarnation:
            known.last_heartbeat_s = None
            self._invalidate()
        elif member.zone != known.member.zone:
            self._invalidate()
        known.member = member
        if last_heartbeat_s is not None:
            known.last_heartbeat_s = last_heartbeat_s
            if member.name not in self._alive_names:
                self._invalidate()
        return True

    def _invalidate(self) -> None:
        self._valid_until_s = -math.inf

    def _refresh(self, now_s: float) -> None:
        """Computes which instances are alive, unless that is known."""
        if now_s < self._valid_until_s:
            return
        is_early = now_s - self._started_s < STARTUP_GRACE_S
        self._alive = [
            known
            for name, known in sorted(self._known.items())
            if self.is_alive(name, now_s)
        ]
        self._alive_names = frozenset(
            known.member.name for known in self._alive
        )
        # Until then no instance falls silent, as later heartbeats only extend
        # the time.
        oldest_s = min(
            (known.last_heartbeat_s for known in self._alive), default=math.inf
        )
        self._valid_until_s = oldest_s + LIVENESS_TIMEOUT_S - ROUNDING_MARGIN_S
        if is_early:
            ends_s = self._started_s + STARTUP_GRACE_S - ROUNDING_MARGIN_S
            self._valid_until_s = min(self._valid_until_s, ends_s)
        candidates = tuple(
            known.identity
            for name, known in self._known.items()
            if name in self._alive_names
            or (is_early and known.last_heartbeat_s is None)
        )
        if candidates != self._hub_candidates:
            self._hub_candidates = candidates
            self._hubs.clear()
        identities = tuple(known.identity for known in self._alive)
        if identities != self._identities:
            self._identities = identities
            self._version += 1

    def version(self, now_s: float) -> int:
        """Returns a number that changes whenever the live instances do.

        For callers that keep what they derive from their names, incarnations
        and availability zones.
        """
        self._refresh(now_s)
        return self._version

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
        self._refresh(now_s)
        return [known.member for known in self._alive]

    def count_alive(self, now_s: float) -> int:
        """Returns how many other instances are alive."""
        self._refresh(now_s)
        return len(self._alive)

    def silent(self, now_s: float) -> list[fm.Member]:
        """Returns the other instances that are not alive, sorted by name."""
        self._refresh(now_s)
        return [
            known.member
            for name, known in sorted(self._known.items())
            if name not in self._alive_names
        ]

    def heard_share(self, now_s: float) -> float:
        """Returns which part of the instances is heard, this one included.

        Those that were silent for long are taken to be gone.
        """
        heard = 1 + self.count_alive(now_s)
        lost = sum(
            name not in self._alive_names
            and known.last_heartbeat_s is not None
            and now_s - known.last_heartbeat_s < GONE_AFTER_S
            for name, known in self._known.items()
        )
        return heard / (heard + lost)

    def hub_of(self, zone: str, now_s: float) -> str | None:
        """Returns the name of a zone's hub, or None if it has no members."""
        self._refresh(now_s)
        if zone not in self._hubs:
            names = [
                name
                for name, _, member_zone in self._hub_candidates
                if member_zone == zone
            ]
            if zone == self.me.zone:
                names.append(self.me.name)
            best = rendezvous.top(f"hub/{zone}", names, 1)
            self._hubs[zone] = best[0] if best else None
        return self._hubs[zone]

    def forget(self, name: str) -> None:
        """Removes an instance that announced that it is leaving."""
        if self._known.pop(name, None) is not None:
            self._invalidate()
