"""The steward's listening port for its entry, peers and operators.

All internal streams share one authenticated port. The role in the handshake
decides which messages are accepted.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import uuid

from sesamecross.core import connection_limiter
from sesamecross.core import data
from sesamecross.core import messages
from sesamecross.ops import timeline
from sesamecross.runtime import logs
from sesamecross.steward import claim_router as claim_router_lib
from sesamecross.steward import peer_links as peer_links_lib
from sesamecross.transport import streams

EVENTS_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 500
# Streams whose client has not shown yet that it knows the key.
MAX_HANDSHAKES = 100


class EntrySession:
    """The stream to the entry on the same instance."""

    __slots__ = (
        "stream",
        "acknowledged_version",
        "unsettled_claims",
        "_event_futures",
    )

    def __init__(self, stream: streams.Stream):
        self.stream = stream
        self.acknowledged_version = -1
        # Ids of claims requested by this entry whose outcome it has not
        # reported.
        self.unsettled_claims: set[str] = set()
        self._event_futures: dict[str, asyncio.Future] = {}

    async def events(self, limit: int, call_id: str) -> list | None:
        """Returns the entry's events, or None if it does not respond."""
        request_id = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        self._event_futures[request_id] = future
        try:
            await self.stream.send(
                messages.EventsRequest(request_id, limit, call_id)
            )
            return list(await asyncio.wait_for(future, EVENTS_TIMEOUT_S))
        except (streams.StreamClosedError, TimeoutError):
            return None
        finally:
            self._event_futures.pop(request_id, None)

    def on_events(self, reply: messages.EventsReply) -> None:
        """Completes the pending request for events."""
        future = self._event_futures.get(reply.request_id)
        if future is not None and not future.done():
            future.set_result(reply.events)


class Server:
    """Component that accepts and serves streams."""

    def __init__(
        self,
        listen: str,
        shared_key: str,
        recorder: timeline.Recorder,
        claim_router: claim_router_lib.ClaimRouter,
        peer_links: peer_links_lib.PeerLinks,
        on_demand: Callable[[messages.DemandReport], None],
        status: Callable[[str], messages.StatusReply],
    ):
        self._listen = listen
        self._shared_key = shared_key
        self._recorder = recorder
        self._claim_router = claim_router
        self._peer_links = peer_links
        self._on_demand = on_demand
        self._status = status
        self._logger = logs.get_logger("streams")
        self._connections = 0
        self._handshakes = connection_limiter.ConnectionLimiter(MAX_HANDSHAKES)
        self._tasks: set[asyncio.Task] = set()
        self.entry: EntrySession | None = None
        self.on_entry_connected: (
            Callable[[EntrySession], Awaitable[None]] | None
        ) = None

    # Peers take a refused connection as proof that this process is dead, so it
    # must not keep running without listening.
    is_vital = True

    @property
    def name(self) -> str:
        """The component's name in logs."""
        return "streams"

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        host, _, port = self._listen.rpartition(":")
        server = await asyncio.start_server(
            self._on_connect, host, int(port), limit=2**20
        )
        async with server:
            await server.serve_forever()

    async def stop(self) -> None:
        """Closes all streams; the entry keeps serving with its last view."""
        if self.entry is not None:
            self.entry.stream.close()
        for task in list(self._tasks):
            task.cancel()

    async def _on_connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            stream = await streams.accept(
                reader,
                writer,
                self._shared_key,
                self._recorder,
                self._handshakes,
            )
            await self._serve_if_room(stream)
        except streams.StreamClosedError as error:
            self._logger.debug("stream ended", reason=str(error))
        except asyncio.CancelledError:
            # Only `stop` cancels. asyncio's server must not report it as an
            # error of the connection.
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_if_room(self, stream: streams.Stream) -> None:
        if self._connections >= MAX_CONNECTIONS:
            stream.close()
            return
        self._connections += 1
        try:
            await self._serve(stream)
        finally:
            self._connections -= 1

    async def _serve(self, stream: streams.Stream) -> None:
        match stream.hello.role:
            case "entry":
                await self._serve_entry(stream)
            case "steward":
                await self._peer_links.serve(stream, stream.hello.name)
            case "operator":
                await self._serve_operator(stream)

    async def _serve_entry(self, stream: streams.Stream) -> None:
        session = EntrySession(stream)
        self.entry = session
        self._logger.info("entry connected", entry=stream.hello.name)
        try:
            if self.on_entry_connected is not None:
                await self.on_entry_connected(session)
            while True:
                message = await stream.receive()
                self._spawn(self._on_entry_message(session, message))
        finally:
            if self.entry is session:
                self.entry = None
            self._claim_router.settle_abandoned(session.unsettled_claims)
            self._logger.info("entry disconnected", entry=stream.hello.name)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _on_entry_message(
        self, session: EntrySession, message: object
    ) -> None:
        with contextlib.suppress(streams.StreamClosedError):
            match message:
                case messages.ClaimRequest(request_id=request_id):
                    session.unsettled_claims.add(message.claim.claim_id)
                    verdict = await self._claim_router.claim(message.claim)
                    is_won = (
                        verdict is not None
                        and verdict.state is data.ClaimState.WON
                    )
                    if not is_won:
                        # Its call is not run, so it has no outcome.
                        session.unsettled_claims.discard(message.claim.claim_id)
                    await session.stream.send(
                        messages.ClaimReply(request_id, verdict)
                    )
                case messages.ClaimLookup(request_id=request_id):
                    verdict = await self._claim_router.look_up(message.claim)
                    await session.stream.send(
                        messages.ClaimReply(request_id, verdict)
                    )
                case messages.ClaimOutcome(request_id=request_id):
                    session.unsettled_claims.discard(message.settled.claim_id)
                    ok = await self._claim_router.settle(message.settled)
                    await session.stream.send(messages.Done(request_id, ok))
                case messages.ViewTaken(version=version):
                    session.acknowledged_version = version
                case messages.DemandReport():
                    self._on_demand(message)
                case messages.EventsReply():
                    session.on_events(message)

    async def _serve_operator(self, stream: streams.Stream) -> None:
        while True:
            match await stream.receive():
                case messages.StatusRequest(request_id=request_id):
                    await stream.send(self._status(request_id))
                case messages.EventsRequest() as request:
                    await stream.send(await self._collect_events(request))

    async def _collect_events(
        self, request: messages.EventsRequest
    ) -> messages.EventsReply:
        own_events = self._recorder.events(request.limit, request.call_id)
        events: list = list(own_events)
        missing: tuple[str, ...] = ()
        entry_events = None
        if self.entry is not None:
            entry_events = await self.entry.events(
                request.limit, request.call_id
            )
        if entry_events is None:
            missing = (f"entry beside {self._recorder.process}",)
        plain = [timeline.to_plain(event) for event in events]
        return messages.EventsReply(
            request.request_id, tuple(plain + (entry_events or [])), missing
        )
