"""Who is alive: heartbeats, suspicion by several, incarnations.

Why: a slow link between two stewards is not a dead steward, a flapping one
must not make all others plan anew each second, and an instance that comes
back with its old address is another process. Belief follows the votes of a
member's watchers, and nothing that safety rests on follows belief.
"""

import dataclasses
import enum

from sesamecross.core import data
from sesamecross.ops import overlay

# After each return from suspicion a member must be heard for longer before
# it counts as alive again, up to this many times the usual.
_MOST_DAMPING = 16
# A member heard without a break for this many times the suspicion time is
# forgiven its earlier flaps.
_FORGIVEN_AFTER = 20


class PeerState(enum.Enum):
    """What is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class BeliefChanged:
    """A belief changed."""

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
    heard_ms: int
    state: PeerState = PeerState.ALIVE
    own_vote: bool = False
    votes: dict[str, bool] = dataclasses.field(default_factory=dict)
    flaps: int = 0
    well_since_ms: int = 0


class Membership:
    """One steward's table of members. Deterministic; time is passed in."""

    __slots__ = ("_me", "_suspect_ms", "_peers", "_watchers")

    def __init__(self, me: data.Member, suspect_ms: int):
        self._me = me
        self._suspect_ms = suspect_ms
        self._peers: dict[str, _Peer] = {}
        # Who watches whom; worked out anew when members come or go.
        self._watchers: dict[str, list[str]] | None = None

    def known(self) -> dict[str, data.Member]:
        """Returns all members by instance, the own one included."""
        members = {name: peer.member for name, peer in self._peers.items()}
        members[self._me.incarnation.instance] = self._me
        return members

    def believed_alive(self) -> dict[str, data.Member]:
        """Returns members that are not suspected and not leaving."""
        members = {
            name: peer.member
            for name, peer in self._peers.items()
            if peer.state is PeerState.ALIVE
        }
        members[self._me.incarnation.instance] = self._me
        return members

    def alive_in_zone(self) -> list[str]:
        """Returns the own zone's believed-alive instances, sorted."""
        alive = self.believed_alive()
        return sorted(n for n, m in alive.items() if m.zone == self._me.zone)

    def state_of(self, instance: str) -> tuple[PeerState, int] | None:
        """Returns the belief and when the member was last heard, in ms."""
        peer = self._peers.get(instance)
        return (peer.state, peer.heard_ms) if peer else None

    def add_member(self, member: data.Member, now_ms: int) -> bool:
        """Takes in a member named by the log, a peer or the platform.

        Returns:
          Whether it was news: a new instance or a new incarnation.
        """
        name = member.incarnation.instance
        if name == self._me.incarnation.instance:
            return False
        peer = self._peers.get(name)
        if peer is not None and peer.member.incarnation == member.incarnation:
            return False
        self._peers[name] = _Peer(member, now_ms, well_since_ms=now_ms)
        self._watchers = None
        return True

    def remove(self, incarnation: data.Incarnation) -> None:
        """Forgets a member whose end is on the log."""
        peer = self._peers.get(incarnation.instance)
        if peer is not None and peer.member.incarnation == incarnation:
            del self._peers[incarnation.instance]
            self._watchers = None

    def on_heartbeat(
        self, member: data.Member, leaving: bool, now_ms: int
    ) -> list[BeliefChanged]:
        """Takes in a heartbeat that came straight from the member."""
        self.add_member(member, now_ms)
        peer = self._peers.get(member.incarnation.instance)
        if peer is None:
            return []
        if now_ms - peer.heard_ms > self._suspect_ms:
            peer.well_since_ms = now_ms
        peer.heard_ms = now_ms
        if leaving and peer.state is not PeerState.LEAVING:
            peer.state = PeerState.LEAVING
            return [BeliefChanged(peer.member, peer.state)]
        return []

    def on_vote(
        self, watcher: str, incarnation: data.Incarnation, suspect: bool
    ) -> None:
        """Takes in another watcher's vote on one incarnation."""
        peer = self._peers.get(incarnation.instance)
        if peer is not None and peer.member.incarnation == incarnation:
            peer.votes[watcher] = suspect

    def tick(self, now_ms: int) -> list[BeliefChanged | Vote]:
        """Looks at the time that passed; returns what changed."""
        actions: list[BeliefChanged | Vote] = []
        for name, watchers in self._who_watches().items():
            peer = self._peers[name]
            actions.extend(self._vote(peer, watchers, now_ms))
            actions.extend(self._believe(peer, watchers, now_ms))
        return actions

    def _who_watches(self) -> dict[str, list[str]]:
        """Returns the watchers of each peer, by the peer's name, sorted."""
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

    def _vote(
        self, peer: _Peer, watchers: list[str], now_ms: int
    ) -> list[Vote]:
        me = self._me.incarnation.instance
        if me not in watchers:
            return []
        silent = now_ms - peer.heard_ms > self._suspect_ms
        damping = min(2**peer.flaps, _MOST_DAMPING)
        settled = now_ms - peer.well_since_ms
        if peer.own_vote and not silent:
            # A flapping member: heard again, but not yet for long enough.
            silent = settled < self._suspect_ms * (damping - 1)
        if settled > self._suspect_ms * _FORGIVEN_AFTER and not silent:
            peer.flaps = 0
        if silent == peer.own_vote:
            return []
        if silent:
            peer.flaps += 1
        peer.own_vote = silent
        peer.votes[me] = silent
        return [Vote(peer.member, silent)]

    def _believe(
        self, peer: _Peer, watchers: list[str], now_ms: int
    ) -> list[BeliefChanged]:
        if peer.state is PeerState.LEAVING:
            return []
        # A watcher that is itself suspected has no voice: cut off, it would
        # suspect everybody.
        voices = [
            name
            for name in watchers
            if name not in self._peers
            or self._peers[name].state is PeerState.ALIVE
        ]
        against = sum(peer.votes.get(name, False) for name in voices)
        suspect = bool(voices) and against * 2 > len(voices)
        state = PeerState.SUSPECT if suspect else PeerState.ALIVE
        if state is peer.state:
            return []
        peer.state = state
        return [BeliefChanged(peer.member, state)]
