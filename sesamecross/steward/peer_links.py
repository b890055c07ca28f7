"""Streams to other stewards: heartbeats, gossip, claims and state transfer.

Peers exchange what does not belong on the log: liveness, upstream reports,
and the replayed state for an instance that starts while the log is down.
"""

import asyncio
from collections.abc import Coroutine
import contextlib
import dataclasses
import random
import uuid

from sesamecross.core import clock as clock_lib
from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.core import group_messages as gm
from sesamecross.core import messages
from sesamecross.ops import gossip
from sesamecross.ops import membership as membership_lib
from sesamecross.ops import overlay
from sesamecross.ops import replay
from sesamecross.ops import timeline
from sesamecross.ports import instances_http
from sesamecross.runtime import logs
from sesamecross.steward import claim_group_manager as claim_group_manager_lib
from sesamecross.steward import claim_router as claim_router_lib
from sesamecross.steward import contact_tracker as contact_tracker_lib
from sesamecross.steward import local_replica as local_replica_lib
from sesamecross.transport import streams

ITEMS_PER_MESSAGE = 200
VOTE_PREFIX = "vote/"
PEER_ROLE = "steward"
INSTANCE_LIST_INTERVAL_S = 2.0
STATE_TIMEOUT_S = 5.0
MAX_REMEMBERED_MEMBERS = 5000
# Entries that this instance's entry is told of.
MAX_ENTRY_PEERS = 8


@dataclasses.dataclass(slots=True)
class _PeerStream:
    """One stream to a peer, opened by either side."""

    stream: streams.Stream
    versions: gossip.PeerVersions


class PeerLinks:
    """Component that maintains the overlay's streams."""

    def __init__(
        self,
        me: data.Member,
        shared_key: str,
        replica: local_replica_lib.LocalReplica,
        store: gossip.ItemStore,
        membership: membership_lib.Membership,
        instances: instances_http.HttpInstances,
        clock: clock_lib.Clock,
        recorder: timeline.Recorder,
        rng: random.Random,
        heartbeat_ms: int,
        contact_tracker: contact_tracker_lib.ContactTracker,
        claim_group_manager: claim_group_manager_lib.ClaimGroupManager,
        claim_router: claim_router_lib.ClaimRouter,
    ):
        self._contact_tracker = contact_tracker
        self._claim_group_manager = claim_group_manager
        self._claim_router = claim_router
        claim_group_manager.post = self.post
        claim_router.send_request = self.send_request
        self._reply_futures: dict[str, asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()
        # Members with their addresses, also after they left membership.
        self._last_known_members: dict[data.Incarnation, data.Member] = {}
        self._me = me
        self._shared_key = shared_key
        self._replica = replica
        self._store = store
        self._membership = membership
        self._instances = instances
        self._clock = clock
        self._recorder = recorder
        self._rng = rng
        self._heartbeat_interval_s = heartbeat_ms / 1000
        self._logger = logs.get_logger("links")
        self._peer_streams: dict[str, _PeerStream] = {}
        self._connecting: dict[str, asyncio.Task] = {}
        self._retry_at_s: dict[str, float] = {}
        self._state_futures: dict[str, asyncio.Future] = {}
        self._last_heartbeats: dict[str, messages.Heartbeat] = {}
        self._heartbeat_count = 0
        self.leaving = False
        # Where the entry on this instance accepts callers' connections.
        self.entry_address = ""
        self.reaches_engines = True
        self.log_reachable = False
        self.ready = False
        self.bytes_sent = 0
        replica.add_listener(self._on_event)

    @property
    def name(self) -> str:
        """The component's name in logs."""
        return "links"

    @property
    def heartbeats(self) -> dict[str, messages.Heartbeat]:
        """The newest heartbeat received from each peer, by instance."""
        return self._last_heartbeats

    def cut_off_peers(self) -> frozenset[str]:
        """Returns the linked peers that can't reach the engines they poll."""
        return frozenset(
            name
            for name, beat in self._last_heartbeats.items()
            if not beat.reaches_engines
        )

    def has_substitute(self) -> bool:
        """Whether only other stewards of the zone reach its engines."""
        cut_off = self.cut_off_peers()
        me = self._me.incarnation.instance
        return not self.reaches_engines and any(
            name != me and name not in cut_off
            for name in self._membership.alive_in_zone()
        )

    def entry_peers(self) -> tuple[data.EntryPeer, ...]:
        """Returns the entries of linked peers that are believed alive."""
        alive = self._membership.believed_alive()
        return tuple(
            data.EntryPeer(name, beat.member.zone, beat.entry_address)
            for name, beat in sorted(self._last_heartbeats.items())
            if name in alive and beat.entry_address and not beat.leaving
        )[:MAX_ENTRY_PEERS]

    async def run(self) -> None:
        """Sends heartbeats and gossip until cancelled."""
        list_task = asyncio.create_task(self._poll_instance_list())
        try:
            while True:
                await asyncio.sleep(self._heartbeat_interval_s)
                self._tick()
                self._connect_missing()
                await self._send_all()
        finally:
            list_task.cancel()

    async def stop(self) -> None:
        """Announces the departure to peers and closes all streams."""
        self.leaving = True
        await self._send_all()
        for task in self._connecting.values():
            task.cancel()
        for peer_stream in list(self._peer_streams.values()):
            peer_stream.stream.close()

    def _tick(self) -> None:
        for action in self._membership.tick(self._clock.monotonic_ms()):
            match action:
                case membership_lib.Vote(member=member, suspect=suspect):
                    self._publish_vote(member, suspect)
                case membership_lib.BeliefChanged(member=member, state=state):
                    name = member.incarnation.instance
                    self._logger.info(
                        "membership state changed", peer=name, state=state.value
                    )
                    self._recorder.add(
                        timeline.EventKind.MEMBER, f"{name} is {state.value}"
                    )

    def _publish_vote(self, member: data.Member, suspect: bool) -> None:
        me = self._me.incarnation.instance
        vote = messages.SuspicionVote(me, member.incarnation, suspect)
        stamp = self._recorder.now()
        self._store.put(
            gossip.Item(
                f"{VOTE_PREFIX}{member.incarnation.instance}/{me}",
                stamp.wall_ms,
                stamp.count,
                codec.to_plain(vote),
                self._me.zone,
                everywhere=True,
            )
        )

    def _connect_missing(self) -> None:
        members = self._membership.known()
        now = asyncio.get_running_loop().time()
        wanted = overlay.stream_peers(self._me.incarnation.instance, members)
        for name, member in (wanted | self._group_peers(members)).items():
            if name in self._peer_streams or name in self._connecting:
                continue
            if now < self._retry_at_s.get(name, 0.0):
                continue
            self._retry_at_s[name] = now + self._rng.uniform(0.5, 1.5)
            task = asyncio.create_task(self._connect(name, member))
            self._connecting[name] = task
            task.add_done_callback(
                lambda _, name=name: self._connecting.pop(name, None)
            )

    def _group_peers(
        self, members: dict[str, data.Member]
    ) -> dict[str, data.Member]:
        """Returns the peers that share a claim group with this steward."""
        me = self._me.incarnation
        peers = {}
        for group in self._replica.state.groups.zones.values():
            chain = group.chain
            if not any(me in c.participants for c in chain):
                continue
            for config in chain:
                for peer in config.participants:
                    member = members.get(peer.instance)
                    if member is None or member.incarnation != peer:
                        # Removed from membership, but its death must be proved.
                        member = self._last_known_members.get(peer)
                    is_dead = peer in self._contact_tracker.dead
                    if peer != me and member is not None and not is_dead:
                        peers[peer.instance] = member
        return peers

    async def _connect(self, name: str, member: data.Member) -> bool:
        try:
            stream = await streams.connect(
                member.address,
                self._shared_key,
                PEER_ROLE,
                self._me.incarnation.instance,
                self._recorder,
            )
        except streams.StreamRefusedError:
            # A steward listens for its whole lifetime, so a refused
            # connection proves that this incarnation is dead.
            if member.incarnation.started:
                self._claim_group_manager.on_peer_death(member.incarnation)
            return False
        except streams.StreamClosedError:
            return False
        self._spawn(self.serve(stream, name))
        return True

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- messages between members of claim groups ---------------------------

    def post(self, to: data.Incarnation, message: object) -> None:
        """Sends a message; it is dropped if the peer can't be reached."""
        self._spawn(self._post(to, message))

    async def _post(self, to: data.Incarnation, message: object) -> bool:
        peer_stream = await self._stream_to(to)
        if peer_stream is None:
            return False
        try:
            self.bytes_sent += await peer_stream.stream.send(message)
        except streams.StreamClosedError:
            return False
        return True

    async def _stream_to(self, to: data.Incarnation) -> _PeerStream | None:
        peer_stream = self._peer_streams.get(to.instance)
        if peer_stream is not None:
            return peer_stream
        member = self._membership.known().get(to.instance)
        if member is None or member.incarnation != to:
            return None
        if not await self._connect(to.instance, member):
            return None
        await asyncio.sleep(0)
        return self._peer_streams.get(to.instance)

    async def send_request(
        self,
        to: data.Incarnation,
        message: object,
        request_id: str,
        timeout_s: float,
    ) -> object | None:
        """Sends a request; returns the reply, or None if there is none."""
        future = asyncio.get_running_loop().create_future()
        self._reply_futures[request_id] = future
        try:
            async with asyncio.timeout(timeout_s):
                if not await self._post(to, message):
                    return None
                return await future
        except TimeoutError:
            return None
        finally:
            self._reply_futures.pop(request_id, None)

    def _on_reply(self, reply: messages.ClaimReply | messages.Done) -> None:
        future = self._reply_futures.pop(reply.request_id, None)
        if future is not None and not future.done():
            future.set_result(reply)
        elif isinstance(reply, messages.ClaimReply):
            verdict = reply.verdict
            if verdict is not None and verdict.state is data.ClaimState.WON:
                self._claim_router.cancel_claim(verdict.claim_id)

    async def _on_forward(
        self, peer_stream: _PeerStream, forward: messages.ClaimForward
    ) -> None:
        reply = await self._claim_router.on_forward(forward)
        with contextlib.suppress(streams.StreamClosedError):
            await peer_stream.stream.send(reply)

    async def serve(self, stream: streams.Stream, name: str) -> None:
        """Exchanges messages with one peer until the stream ends."""
        peer_stream = _PeerStream(stream, gossip.PeerVersions(name, ""))
        previous = self._peer_streams.get(name)
        self._peer_streams[name] = peer_stream
        if previous is not None:
            previous.stream.close()
        try:
            await self._send_heartbeat(peer_stream)
            while True:
                await self._receive(peer_stream, await stream.receive())
        except streams.StreamClosedError:
            pass
        finally:
            stream.close()
            if self._peer_streams.get(name) is peer_stream:
                del self._peer_streams[name]

    async def _receive(self, peer_stream: _PeerStream, message: object) -> None:
        match message:
            case messages.Heartbeat():
                self._on_heartbeat(peer_stream, message)
            case gossip.Items(items=items):
                for item in items:
                    self._on_item(peer_stream, item)
            case messages.StateRequest(request_id=request_id):
                snapshot = None
                if self.ready:
                    snapshot = replay.snapshot(self._replica.state)
                await peer_stream.stream.send(
                    messages.StateReply(request_id, snapshot)
                )
            case messages.ClaimForward():
                self._spawn(self._on_forward(peer_stream, message))
            case messages.OutcomeForward():
                await peer_stream.stream.send(
                    self._claim_router.on_outcome(message)
                )
            case messages.ClaimReply() | messages.Done():
                self._on_reply(message)
            case (
                gm.ClaimAsk()
                | gm.ClaimAck()
                | gm.GroupFence()
                | gm.GroupFenced()
                | gm.ClaimWithdrawn()
                | gm.ClaimTold()
            ):
                answer = self._claim_group_manager.on_message(message)
                if answer is not None:
                    await peer_stream.stream.send(answer)
            case messages.StateReply(request_id=request_id):
                future = self._state_futures.pop(request_id, None)
                if future is not None and not future.done():
                    future.set_result(message.snapshot)

    def _on_heartbeat(
        self, peer_stream: _PeerStream, heartbeat: messages.Heartbeat
    ) -> None:
        peer_stream.versions.zone = heartbeat.member.zone
        incarnation = heartbeat.member.incarnation
        instance = incarnation.instance
        previous = self._membership.known().get(instance)
        if (
            previous is not None
            and previous.incarnation.started
            and previous.incarnation != incarnation
        ):
            # Another incarnation answers at the instance's address.
            self._claim_group_manager.on_peer_death(previous.incarnation)
        self._last_heartbeats[instance] = heartbeat
        self._remember_member(heartbeat.member)
        self._contact_tracker.on_heartbeat(heartbeat)
        self._claim_group_manager.on_peer_heartbeat(incarnation)
        changes = self._membership.on_heartbeat(
            heartbeat.member, heartbeat.leaving, self._clock.monotonic_ms()
        )
        for change in changes:
            self._recorder.add(
                timeline.EventKind.MEMBER,
                f"{instance} is {change.state.value}",
            )

    def _on_item(self, peer_stream: _PeerStream, item: gossip.Item) -> None:
        peer_stream.versions.mark_known(item)
        if not self._store.put(item):
            return
        if not item.key.startswith(VOTE_PREFIX):
            return
        vote = codec.from_plain(item.value).value_or(None)
        if isinstance(vote, messages.SuspicionVote):
            self._membership.on_vote(
                vote.watcher, vote.incarnation, vote.suspect
            )

    async def _send_all(self) -> None:
        await asyncio.gather(
            *(
                self._send_to(peer_stream)
                for peer_stream in list(self._peer_streams.values())
            )
        )

    async def _send_to(self, peer_stream: _PeerStream) -> None:
        with contextlib.suppress(streams.StreamClosedError):
            await self._send_heartbeat(peer_stream)
            new_items = self._store.delta_for(
                peer_stream.versions, ITEMS_PER_MESSAGE
            )
            if new_items:
                message = gossip.Items(tuple(new_items))
                self.bytes_sent += await peer_stream.stream.send(message)

    async def _send_heartbeat(self, peer_stream: _PeerStream) -> None:
        self._heartbeat_count += 1
        instance = peer_stream.versions.peer
        self._contact_tracker.record_sent(instance, self._heartbeat_count)
        heartbeat = messages.Heartbeat(
            self._me,
            self._heartbeat_count,
            self._replica.state.next_offset,
            self._replica.state.config.state.version,
            self.log_reachable,
            self.leaving,
            self._contact_tracker.echo_for(instance),
            self._claim_group_manager.isolated_claim_count,
            self.entry_address,
            self.reaches_engines,
        )
        self.bytes_sent += await peer_stream.stream.send(heartbeat)

    async def fetch_state(self) -> bool:
        """Installs a newer state from a peer; tells whether one had it."""
        for peer_stream in list(self._peer_streams.values()):
            request_id = uuid.uuid4().hex
            future = asyncio.get_running_loop().create_future()
            self._state_futures[request_id] = future
            try:
                await peer_stream.stream.send(messages.StateRequest(request_id))
                snapshot = await asyncio.wait_for(future, STATE_TIMEOUT_S)
            except (streams.StreamClosedError, TimeoutError):
                self._state_futures.pop(request_id, None)
                continue
            if (
                snapshot is not None
                and self._replica.log_replica.install_snapshot(snapshot)
            ):
                self._logger.info(
                    "state snapshot installed from a peer",
                    peer=peer_stream.versions.peer,
                    offset=snapshot.upto,
                )
                self.add_replayed_members()
                return True
        return False

    def add_replayed_members(self) -> None:
        """Adds all members of the replayed state to the membership."""
        now_ms = self._clock.monotonic_ms()
        for member in self._replica.state.members.values():
            self._membership.add_member(member, now_ms)
            self._remember_member(member)

    def _remember_member(self, member: data.Member) -> None:
        self._last_known_members[member.incarnation] = member
        while len(self._last_known_members) > MAX_REMEMBERED_MEMBERS:
            self._last_known_members.pop(next(iter(self._last_known_members)))

    async def _poll_instance_list(self) -> None:
        while True:
            result = await asyncio.to_thread(self._instances.read)
            now_ms = self._clock.monotonic_ms()
            for listed in result.value_or([]):
                self._add_listed_instance(listed, now_ms)
            await asyncio.sleep(INSTANCE_LIST_INTERVAL_S)

    def _add_listed_instance(
        self, listed: instances_http.ListedInstance, now_ms: int
    ) -> None:
        # The list lags, so it only gives addresses to try. The peer's own
        # heartbeat tells its incarnation.
        if listed.instance in self._membership.known() or listed.leaving:
            return
        unknown = data.Incarnation(listed.instance, "")
        member = data.Member(unknown, listed.zone, "", listed.address)
        self._membership.add_member(member, now_ms)

    def _on_event(self, event: replay.AppliedRecord) -> None:
        record_name = type(event.record).__name__
        if record_name == "MemberJoined":
            self._remember_member(event.record.member)
            self._membership.add_member(
                event.record.member, self._clock.monotonic_ms()
            )
        elif record_name == "MemberLeft":
            self._membership.remove(event.record.incarnation)
