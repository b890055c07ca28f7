"""Streams to other stewards: heartbeats, gossip, and state for joiners.

Why: peers carry what the log should not: who is alive, what upstreams said,
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
INSTANCES_S = 2.0
STATE_WAIT_S = 5.0
ADDRESSES_KEPT = 5000


@dataclasses.dataclass(slots=True)
class _Open:
    """One stream to a peer, whoever opened it."""

    stream: streams.Stream
    link: gossip.PeerVersions


class PeerLinks:
    """Component that keeps the overlay's streams."""

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
        self._replies: dict[str, asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()
        # Where members were, also after they left membership.
        self._addresses: dict[data.Incarnation, data.Member] = {}
        self._me = me
        self._shared_key = shared_key
        self._replica = replica
        self._store = store
        self._membership = membership
        self._instances = instances
        self._clock = clock
        self._recorder = recorder
        self._rng = rng
        self._heartbeat_s = heartbeat_ms / 1000
        self._logger = logs.get_logger("links")
        self._open: dict[str, _Open] = {}
        self._connecting: dict[str, asyncio.Task] = {}
        self._retry_at: dict[str, float] = {}
        self._states: dict[str, asyncio.Future] = {}
        self._heard: dict[str, messages.Heartbeat] = {}
        self._count = 0
        self.leaving = False
        self.log_reachable = False
        self.ready = False
        self.bytes_sent = 0
        replica.listen(self._on_event)

    @property
    def name(self) -> str:
        """The prefix of its logs."""
        return "links"

    @property
    def heartbeats(self) -> dict[str, messages.Heartbeat]:
        """The newest heartbeat of each peer that was heard."""
        return self._heard

    async def run(self) -> None:
        """Sends heartbeats and gossip until cancelled."""
        listing = asyncio.create_task(self._follow_list())
        try:
            while True:
                await asyncio.sleep(self._heartbeat_s)
                self._tick()
                self._connect_missing()
                await self._send_all()
        finally:
            listing.cancel()

    async def stop(self) -> None:
        """Tells peers of the leave and closes all streams."""
        self.leaving = True
        await self._send_all()
        for task in self._connecting.values():
            task.cancel()
        for one in list(self._open.values()):
            one.stream.close()

    def _tick(self) -> None:
        for action in self._membership.tick(self._clock.monotonic_ms()):
            match action:
                case membership_lib.Vote(member=member, suspect=suspect):
                    self._spread_vote(member, suspect)
                case membership_lib.BeliefChanged(member=member, state=state):
                    name = member.incarnation.instance
                    self._logger.info(
                        "belief changed", peer=name, state=state.value
                    )
                    self._recorder.add(
                        timeline.EventKind.MEMBER, f"{name} is {state.value}"
                    )

    def _spread_vote(self, member: data.Member, suspect: bool) -> None:
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
            if name in self._open or name in self._connecting:
                continue
            if now < self._retry_at.get(name, 0.0):
                continue
            self._retry_at[name] = now + self._rng.uniform(0.5, 1.5)
            task = asyncio.create_task(self._connect(name, member))
            self._connecting[name] = task
            task.add_done_callback(
                lambda _, name=name: self._connecting.pop(name, None)
            )

    def _group_peers(
        self, members: dict[str, data.Member]
    ) -> dict[str, data.Member]:
        """Returns those with whom this steward has a part in a group."""
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
                        # Gone from membership, but its end must be proved.
                        member = self._addresses.get(peer)
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
            # Nobody listens there, and a steward listens for as long as it
            # lives: this incarnation is dead.
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
        """Sends a message if the peer can be reached; else it is lost."""
        self._spawn(self._post(to, message))

    async def _post(self, to: data.Incarnation, message: object) -> bool:
        one = await self._stream_to(to)
        if one is None:
            return False
        try:
            self.bytes_sent += await one.stream.send(message)
        except streams.StreamClosedError:
            return False
        return True

    async def _stream_to(self, to: data.Incarnation) -> _Open | None:
        one = self._open.get(to.instance)
        if one is not None:
            return one
        member = self._membership.known().get(to.instance)
        if member is None or member.incarnation != to:
            return None
        if not await self._connect(to.instance, member):
            return None
        await asyncio.sleep(0)
        return self._open.get(to.instance)

    async def send_request(
        self,
        to: data.Incarnation,
        message: object,
        request_id: str,
        wait_s: float,
    ) -> object | None:
        """Sends a request to a peer; returns its reply, or None."""
        future = asyncio.get_running_loop().create_future()
        self._replies[request_id] = future
        try:
            async with asyncio.timeout(wait_s):
                if not await self._post(to, message):
                    return None
                return await future
        except TimeoutError:
            return None
        finally:
            self._replies.pop(request_id, None)

    def _on_reply(self, reply: messages.ClaimReply | messages.Done) -> None:
        future = self._replies.pop(reply.request_id, None)
        if future is not None and not future.done():
            future.set_result(reply)
        elif isinstance(reply, messages.ClaimReply):
            verdict = reply.verdict
            if verdict is not None and verdict.state is data.ClaimState.WON:
                self._claim_router.cancel_claim(verdict.claim_id)

    async def _on_forward(
        self, one: _Open, forward: messages.ClaimForward
    ) -> None:
        reply = await self._claim_router.on_forward(forward)
        with contextlib.suppress(streams.StreamClosedError):
            await one.stream.send(reply)

    async def serve(self, stream: streams.Stream, name: str) -> None:
        """Talks with one peer until the stream ends."""
        one = _Open(stream, gossip.PeerVersions(name, ""))
        earlier = self._open.get(name)
        self._open[name] = one
        if earlier is not None:
            earlier.stream.close()
        try:
            await self._send_heartbeat(one)
            while True:
                await self._receive(one, await stream.receive())
        except streams.StreamClosedError:
            pass
        finally:
            stream.close()
            if self._open.get(name) is one:
                del self._open[name]

    async def _receive(self, one: _Open, message: object) -> None:
        match message:
            case messages.Heartbeat():
                self._on_heartbeat(one, message)
            case gossip.Items(items=items):
                for item in items:
                    self._on_item(one, item)
            case messages.StateRequest(request_id=request_id):
                snapshot = None
                if self.ready:
                    snapshot = replay.snapshot(self._replica.state)
                await one.stream.send(messages.StateReply(request_id, snapshot))
            case messages.ClaimForward():
                self._spawn(self._on_forward(one, message))
            case messages.OutcomeForward():
                await one.stream.send(self._claim_router.on_outcome(message))
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
                    await one.stream.send(answer)
            case messages.StateReply(request_id=request_id):
                future = self._states.pop(request_id, None)
                if future is not None and not future.done():
                    future.set_result(message.snapshot)

    def _on_heartbeat(self, one: _Open, heartbeat: messages.Heartbeat) -> None:
        one.link.zone = heartbeat.member.zone
        incarnation = heartbeat.member.incarnation
        instance = incarnation.instance
        earlier = self._membership.known().get(instance)
        if (
            earlier is not None
            and earlier.incarnation.started
            and earlier.incarnation != incarnation
        ):
            # Another process answers at the instance's address.
            self._claim_group_manager.on_peer_death(earlier.incarnation)
        self._heard[instance] = heartbeat
        self._remember(heartbeat.member)
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

    def _on_item(self, one: _Open, item: gossip.Item) -> None:
        one.link.mark_known(item)
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
            *(self._send_one(one) for one in list(self._open.values()))
        )

    async def _send_one(self, one: _Open) -> None:
        with contextlib.suppress(streams.StreamClosedError):
            await self._send_heartbeat(one)
            news = self._store.delta_for(one.link, ITEMS_PER_MESSAGE)
            if news:
                message = gossip.Items(tuple(news))
                self.bytes_sent += await one.stream.send(message)

    async def _send_heartbeat(self, one: _Open) -> None:
        self._count += 1
        instance = one.link.peer
        self._contact_tracker.record_sent(instance, self._count)
        heartbeat = messages.Heartbeat(
            self._me,
            self._count,
            self._replica.state.next_offset,
            self._replica.state.config.state.version,
            self.log_reachable,
            self.leaving,
            self._contact_tracker.echo_for(instance),
            self._claim_group_manager.isolated_claim_count,
        )
        self.bytes_sent += await one.stream.send(heartbeat)

    async def fetch_state(self) -> bool:
        """Asks peers for the replayed state; tells whether one helped."""
        for one in list(self._open.values()):
            request_id = uuid.uuid4().hex
            future = asyncio.get_running_loop().create_future()
            self._states[request_id] = future
            try:
                await one.stream.send(messages.StateRequest(request_id))
                snapshot = await asyncio.wait_for(future, STATE_WAIT_S)
            except (streams.StreamClosedError, TimeoutError):
                self._states.pop(request_id, None)
                continue
            if (
                snapshot is not None
                and self._replica.log_replica.install_snapshot(snapshot)
            ):
                self._logger.info(
                    "state is taken from a peer",
                    peer=one.link.peer,
                    offset=snapshot.upto,
                )
                self.add_replayed_members()
                return True
        return False

    def add_replayed_members(self) -> None:
        """Takes in all members that the replayed state names."""
        now_ms = self._clock.monotonic_ms()
        for member in self._replica.state.members.values():
            self._membership.add_member(member, now_ms)
            self._remember(member)

    def _remember(self, member: data.Member) -> None:
        self._addresses[member.incarnation] = member
        while len(self._addresses) > ADDRESSES_KEPT:
            self._addresses.pop(next(iter(self._addresses)))

    async def _follow_list(self) -> None:
        while True:
            result = await asyncio.to_thread(self._instances.read)
            now_ms = self._clock.monotonic_ms()
            for line in result.value_or([]):
                self._introduce_listed(line, now_ms)
            await asyncio.sleep(INSTANCES_S)

    def _introduce_listed(
        self, line: instances_http.ListedInstance, now_ms: int
    ) -> None:
        # The list lags, so it only names addresses to try. The incarnation
        # is learnt from the peer itself.
        if line.instance in self._membership.known() or line.leaving:
            return
        unknown = data.Incarnation(line.instance, "")
        member = data.Member(unknown, line.zone, "", line.address)
        self._membership.add_member(member, now_ms)

    def _on_event(self, event: replay.AppliedRecord) -> None:
        record_name = type(event.record).__name__
        if record_name == "MemberJoined":
            self._remember(event.record.member)
            self._membership.add_member(
                event.record.member, self._clock.monotonic_ms()
            )
        elif record_name == "MemberLeft":
            self._membership.remove(event.record.incarnation)
