"""Failure detection: heartbeats, suspicion by vote, incarnations.

A slow link between two stewards does not mean that one is dead, a flapping
member must not make all others replan each second, and an instance that comes
back at its old address is another process. A member's state follows the votes
of its watchers, and no safety property depends on it.
"""

import dataclasses
import enum

from sesamecross.core import data
from sesamecross.ops import overlay

# After each return from suspicion a member must send heartbeats for longer
# before it counts as alive again; the factor doubles up to this.
_MAX_FLAP_DAMPING = 16
# A member whose heartbeats arrived without a break for this many suspicion
# times has its flap count reset.
_FLAP_RESET_FACTOR = 20


class PeerState(enum.Enum):
    """What is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class BeliefChanged:
    """The believed state of a member changed."""

    member: data.Member
    state: PeerState


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """This steward, as a watcher, changed its vote on a member."""

    member: data.Member
    suspect: bool


@dataclasses.dataclass(slots=True)
class _Peer:
    member: data.Member
    last_heartbeat_ms: int
    state: PeerState = PeerState.ALIVE
    own_vote: bool = False
    votes: dict[str, bool] = dataclasses.field(default_factory=dict)
    flaps: int = 0
    continuous_since_ms: int = 0


class Membership:
    """One steward's membership table. Deterministic; time is passed in."""

    __slots__ = ("_me", "_suspect_ms", "_peers", "_watchers")

    def __init__(self, me: data.Member, suspect_ms: int):
        self._me = me
        self._suspect_ms = suspect_ms
        self._peers: dict[str, _Peer] = {}
        # Watchers by member; recomputed when members come or go.
        self._watchers: dict[str, list[str]] | None = None

    def known(self) -> dict[str, data.Member]:
        """Returns all known members by instance, including this steward."""
        members = {name: peer.member for name, peer in self._peers.items()}
        members[self._me.incarnation.instance] = self._me
        return members

    def believed_alive(self) -> dict[str, data.Member]:
        """Returns members that are neither suspected nor leaving."""
        members = {
            name: peer.member
            for name, peer in self._peers.items()
            if peer.state is PeerState.ALIVE
        }
        members[self._me.incarnation.instance] = self._me
        return members

    def alive_in_zone(self) -> list[str]:
        """Returns this zone's instances that are believed alive, sorted."""
        alive = self.believed_alive()
        return sorted(n for n, m in alive.items() if m.zone == self._me.zone)

    def state_of(self, instance: str) -> tuple[PeerState, int] | None:
        """Returns a member's state and the time of its last heartbeat in ms."""
        peer = self._peers.get(instance)
        return (peer.state, peer.last_heartbeat_ms) if peer else None

    def add_member(self, member: data.Member, now_ms: int) -> bool:
        """Adds a member named by the log, a peer or the platform.

        Returns:
          Whether it was new: a new instance or a new incarnation.
        """
        name = member.incarnation.instance
        if name == self._me.incarnation.instance:
            return False
        peer = self._peers.get(name)
        if peer is not None and peer.member.incarnation == member.incarnation:
            return False
        self._peers[name] = _Peer(member, now_ms, continuous_since_ms=now_ms)
        self._watchers = None
        return True

    def remove(self, incarnation: data.Incarnation) -> None:
        """Removes a member whose end is on the log."""
        peer = self._peers.get(incarnation.instance)
        if peer is not None and peer.member.incarnation == incarnation:
            del self._peers[incarnation.instance]
            self._watchers = None

    def on_heartbeat(
        self, member: data.Member, leaving: bool, now_ms: int
    ) -> list[BeliefChanged]:
        """Handles a heartbeat received directly from the member."""
        self.add_member(member, now_ms)
        peer = self._peers.get(member.incarnation.instance)
        if peer is None:
            return []
        if now_ms - peer.last_heartbeat_ms > self._suspect_ms:
            peer.continuous_since_ms = now_ms
        peer.last_heartbeat_ms = now_ms
        if leaving and peer.state is not PeerState.LEAVING:
            peer.state = PeerState.LEAVING
            return [BeliefChanged(peer.member, peer.state)]
        return []

    def on_vote(
        self, watcher: str, incarnation: data.Incarnation, suspect: bool
    ) -> None:
        """Handles another watcher's vote on one incarnation."""
        peer = self._peers.get(incarnation.instance)
        if peer is not None and peer.member.incarnation == incarnation:
            peer.votes[watcher] = suspect

    def tick(self, now_ms: int) -> list[BeliefChanged | Vote]:
        """Updates votes and states to the given time; returns the changes."""
        actions: list[BeliefChanged | Vote] = []
        for name, watchers in self._watchers_by_peer().items():
            peer = self._peers[name]
            actions.extend(self._update_vote(peer, watchers, now_ms))
            actions.extend(self._update_belief(peer, watchers, now_ms))
        return actions

    def _watchers_by_peer(self) -> dict[str, list[str]]:
        """Returns the sorted watchers of each peer, by the peer's name."""
        if self._watchers is None:
            in_zone: dict[str, list[str]] = {}
            for name, member in sorted(self.known().items()):
                in_zone.setdefault(member.zone, []).append(name)
            self._watchers = {
                name: overlay.watchers(
                    name, in_zone[self._peers[name].member.zone]
                )
                for name in sorted(self._peers)
            }
        return self._watchers

    def _update_vote(
        self, peer: _Peer, watchers: list[str], now_ms: int
    ) -> list[Vote]:
        me = self._me.incarnation.instance
        if me not in watchers:
            return []
        is_silent = now_ms - peer.last_heartbeat_ms > self._suspect_ms
        damping = min(2**peer.flaps, _MAX_FLAP_DAMPING)
        continuous_ms = now_ms - peer.continuous_since_ms
        if peer.own_vote and not is_silent:
            # A flapping member: heartbeats are back, but not for long enough.
            is_silent = continuous_ms < self._suspect_ms * (damping - 1)
        if (
            continuous_ms > self._suspect_ms * _FLAP_RESET_FACTOR
            and not is_silent
        ):
            peer.flaps = 0
        if is_silent == peer.own_vote:
            return []
        if is_silent:
            peer.flaps += 1
        peer.own_vote = is_silent
        peer.votes[me] = is_silent
        return [Vote(peer.member, is_silent)]

    def _update_belief(
        self, peer: _Peer, watchers: list[str], now_ms: int
    ) -> list[BeliefChanged]:
        if peer.state is PeerState.LEAVING:
            return []
        # A suspected watcher has no vote: if it is partitioned, it suspects
        # every member.
        voters = [
            name
            for name in watchers
            if name not in self._peers
            or self._peers[name].state is PeerState.ALIVE
        ]
        suspect_votes = sum(peer.votes.get(name, False) for name in voters)
        suspect = bool(voters) and suspect_votes * 2 > len(voters)
        state = PeerState.SUSPECT if suspect else PeerState.ALIVE
        if state is peer.state:
            return []
        peer.state = state
        return [BeliefChanged(peer.member, state)]
