"""Records where streams began, and finds it for callers that resume one.

Which instances keep a stream's origin, and what follows if nobody knows it, is
decided in `sesamecross.ops.fleet`; this module sends and waits.
"""

import asyncio
from collections.abc import Collection
from collections.abc import Iterable
import contextlib
import dataclasses

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import stream_origins
from sesamecross.ops.fleet import version_history
from sesamecross.runtime import event_loop
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import ticker as ticker_lib

SWEEP_INTERVAL_S = 0.5
# A keeper is asked twice. Each time it may take the round trip plus this.
ASK_ATTEMPTS = 2
ASK_MARGIN_S = 0.04
# News of upstreams that were read this recently are complete.
CURRENT_S = 2.0
# Origins sent in one datagram when keepers change.
MAX_ORIGINS_IN_MESSAGE = 200
# The source of an origin that follows from the store's records, for the log.
FROM_STORE = "only version, by the store's records"


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """The result of a search for a stream's origin.

    Attributes:
      origin: None if it is unknown.
      source: Who knows it, or why nobody does, for the log.
      age_s: Since when the source knows it.
      is_early: Whether this instance has just started, and may know soon.
    """

    origin: stream_origins.StreamOrigin | None
    source: str
    age_s: float = 0.0
    is_early: bool = False


class _Query:
    """The answers to one question."""

    __slots__ = ("zones", "missing", "found", "replies", "_changed")

    def __init__(self, asked: Collection[fm.Member]):
        self.zones = frozenset(member.zone for member in asked)
        self.missing = {member.name for member in asked}
        self.found: fm.OriginReply | None = None
        self.replies: list[fm.OriginReply] = []
        self._changed = asyncio.Event()

    @property
    def is_done(self) -> bool:
        return self.found is not None or not self.missing

    def add(self, reply: fm.OriginReply) -> None:
        if reply.me.name not in self.missing:
            return
        self.missing.discard(reply.me.name)
        if reply.is_known:
            self.found = reply
        self.replies.append(reply)
        if self.is_done:
            self._changed.set()

    async def wait(self, timeout_s: float) -> None:
        if not self.is_done:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._changed.wait()


class OriginRegistry:
    """Component that keeps origins of streams, together with its peers."""

    is_vital = False
    name = "origins"

    def __init__(
        self,
        state: state_lib.State,
        mesh: mesh_lib.Mesh,
        metrics: metrics_lib.Metrics,
        ticker: ticker_lib.Ticker | None = None,
    ):
        self._state = state
        self._mesh = mesh
        self._metrics = metrics
        self._ticker = ticker or ticker_lib.Ticker()
        self._table = stream_origins.OriginTable()
        self._queries: dict[int, _Query] = {}
        self._ring = stream_origins.KeeperRing(())
        # The ring by which keepers were told of the streams known here.
        self._told_ring = self._ring
        self._roster_version: int | None = None
        mesh.add_listener(self._on_message)

    async def run(self) -> None:
        """Forgets old streams, and tells new keepers of the others."""
        while True:
            await self._ticker.wait(SWEEP_INTERVAL_S)
            now_s = event_loop.now_s()
            self._state.record_versions(now_s)
            self._state.versions.forget(now_s - self._state.longest_life_s)
            live = list(self._table.live(now_s))
            self._metrics.set(
                "sesamecross_stream_origins",
                "Streams of which this instance knows where they began.",
                {},
                len(self._table),
            )
            self._update_ring(now_s)
            if self._ring is not self._told_ring:
                before, self._told_ring = self._told_ring, self._ring
                self._tell_new_keepers(before, live, now_s)
            await self._adopt_history(now_s)

    async def stop(self) -> None:
        """Does nothing: others know the streams that began here."""

    async def _adopt_history(self, now_s: float) -> None:
        """Learns from peers what served before this instance started."""
        life_s = self._state.longest_life_s
        versions = self._state.versions
        configuration = self._state.configuration
        if (
            configuration is None
            or not self._is_joined
            or versions.is_complete(life_s, now_s)
        ):
            return
        services = tuple(configuration.services)
        own_name = self._mesh.roster.me.name
        key = stream_origins.stream_key("", own_name)
        query = await self._ask(key, services, life_s)
        for reply in query.replies:
            if not reply.is_known:
                seen = _seen_by_service(reply)
                versions.adopt(seen, life_s, event_loop.now_s())

    # -- recording -----------------------------------------------------

    def record(
        self,
        host: str,
        attempt_id: str,
        origin: stream_origins.StreamOrigin,
        life_s: float,
    ) -> None:
        """Records where a stream began, here and at its keepers.

        Args:
          host: The host that the caller asked.
          attempt_id: The caller's attempt that brought the first event.
          origin: Where it began.
          life_s: For how long the stream may be resumed.
        """
        if not attempt_id or origin.version is None:
            return
        now_s = event_loop.now_s()
        key = stream_origins.stream_key(host, attempt_id)
        self._table.record(key, origin, now_s, life_s)
        if not self._is_joined:
            return
        self._update_ring(now_s)
        self._mesh.send_to_all(
            fm.OriginRecord(
                self._mesh.me,
                self._mesh.next_number(),
                [fm.Origin(key, origin.service, origin.version, life_s)],
            ),
            self._ring.keepers(key, self._mesh.roster.me.name),
        )

    @property
    def _is_joined(self) -> bool:
        return (
            self._mesh.roster is not None and self._mesh.transport is not None
        )

    def _update_ring(self, now_s: float) -> None:
        """Follows the live instances."""
        if not self._is_joined:
            return
        roster = self._mesh.roster
        version = roster.version(now_s)
        if version == self._roster_version:
            return
        self._roster_version = version
        self._ring = stream_origins.KeeperRing(
            [*roster.alive(now_s), roster.me]
        )

    def _tell_new_keepers(
        self,
        before: stream_origins.KeeperRing,
        live: list[tuple[bytes, stream_origins.KnownOrigin]],
        now_s: float,
    ) -> None:
        """Tells instances of the streams whose keepers they have become."""
        me = self._mesh.roster.me.name
        news: dict[str, list[fm.Origin]] = {}
        for key, known in live:
            had = {
                (member.name, member.incarnation)
                for member in before.keepers(key, me)
            }
            for member in self._ring.keepers(key, me):
                if (member.name, member.incarnation) not in had:
                    news.setdefault(member.name, []).append(
                        fm.Origin(
                            key,
                            known.origin.service,
                            known.origin.version,
                            known.expires_s - now_s,
                        )
                    )
        for name, origins in news.items():
            for start in range(0, len(origins), MAX_ORIGINS_IN_MESSAGE):
                part = origins[start : start + MAX_ORIGINS_IN_MESSAGE]
                self._mesh.send(
                    fm.OriginRecord(
                        self._mesh.me, self._mesh.next_number(), part
                    ),
                    self._ring.members[name],
                )

    # -- finding -------------------------------------------------------

    async def find(
        self,
        request: serving.Request,
        services: tuple[str, ...],
        life_s: float,
    ) -> Lookup:
        """Finds where the stream began that a request resumes.

        Args:
          request: The request.
          services: The services that its route forwards to.
          life_s: For how long a stream may be resumed.
        """
        loop = event_loop.running()
        started_s = loop.time()
        attempt_id = request.first_attempt_id
        key = stream_origins.stream_key(
            request.host, attempt_id or request.request_id
        )
        if attempt_id:
            known = self._table.find(key, started_s)
            if known is not None:
                return self._own_lookup(known, started_s)
        query = await self._ask(key, services, life_s)
        if attempt_id and query.found is not None:
            return self._found(query.found)
        now_s = loop.time()
        if not self._is_in_touch(query, now_s):
            return self._unknown(
                Lookup(None, "unknown, no peer of another zone answers")
            )
        seen = self._own_seen(services, life_s, now_s)
        for reply in query.replies:
            for service, theirs in _seen_by_service(reply).items():
                if service in seen:
                    seen[service] = seen[service].plus(theirs)
        return self._only_version(seen, life_s, loop.time())

    def _only_version(
        self,
        seen: dict[str, version_history.SeenVersions],
        life_s: float,
        now_s: float,
    ) -> Lookup:
        """Returns the only version that can have begun it, if there is one."""
        lookup = _only_version(seen)
        if lookup.origin is None:
            return self._unknown(lookup)
        if self._state.versions.is_restored(life_s, now_s):
            return dataclasses.replace(lookup, source=FROM_STORE)
        return lookup

    def _unknown(self, lookup: Lookup) -> Lookup:
        """Says of an unknown origin whether it may be known soon."""
        is_early = not (self._is_joined and self._state.has_read_versions)
        return dataclasses.replace(lookup, is_early=is_early)

    def _own_lookup(
        self, known: stream_origins.KnownOrigin, now_s: float
    ) -> Lookup:
        if known.origin is None:
            return Lookup(None, "two streams have this id")
        return Lookup(known.origin, "own", now_s - known.learned_s)

    def _found(self, reply: fm.OriginReply) -> Lookup:
        if not reply.service:
            return Lookup(None, "two streams have this id", reply.age_s)
        return Lookup(
            stream_origins.StreamOrigin(reply.service, reply.version),
            reply.me.name,
            reply.age_s,
        )

    def _is_in_touch(self, query: _Query, now_s: float) -> bool:
        """Whether a peer of another zone answered, if one was asked.

        News of upstreams that were current when this instance, or its zone, was
        cut off or suspended still seem so for some seconds.
        """
        own_zone = self._mesh.me.zone
        others = query.zones - {own_zone}
        if others:
            return any(reply.me.zone in others for reply in query.replies)
        if query.zones:
            return bool(query.replies)
        roster = self._mesh.roster
        return roster is None or not roster.silent(now_s)

    def _own_seen(
        self, services: Iterable[str], life_s: float, now_s: float
    ) -> dict[str, version_history.SeenVersions]:
        is_current = self.is_current(now_s)
        return {
            service: self._state.versions.seen(
                service, life_s, now_s, is_current
            )
            for service in services
        }

    def is_current(self, now_s: float) -> bool:
        """Whether no peer can know an upstream that this instance does not.

        An instance that is cut off, alone or with its zone, does not see new
        versions. If nobody can read the store, nobody sees them.
        """
        read_s = self._state.upstreams_read_s
        if read_s is None:
            return False
        if now_s - read_s <= CURRENT_S:
            return True
        roster = self._mesh.roster
        return (
            roster is not None
            and not roster.silent(now_s)
            and all(
                member.upstreams <= self._state.upstreams_offset
                for member in roster.alive(now_s)
            )
        )

    async def _ask(
        self, key: bytes, services: tuple[str, ...], life_s: float
    ) -> _Query:
        """Asks the keepers of a stream; returns what they answered."""
        if not self._is_joined:
            return _Query(())
        now_s = event_loop.now_s()
        self._update_ring(now_s)
        keepers = self._ring.keepers(
            key, self._mesh.roster.me.name, stream_origins.ASKED_KEEPERS
        )
        query = _Query(keepers)
        number = self._mesh.next_number()
        self._queries[number] = query
        message = fm.OriginQuery(
            self._mesh.me, number, key, list(services), life_s
        )
        round_trip_s = max(
            (
                self._state.location.round_trip_s(member.zone)
                for member in keepers
            ),
            default=0.0,
        )
        try:
            for _ in range(ASK_ATTEMPTS):
                self._mesh.send_to_all(
                    message,
                    [one for one in keepers if one.name in query.missing],
                )
                await query.wait(round_trip_s + ASK_MARGIN_S)
                if query.is_done:
                    break
        finally:
            del self._queries[number]
        return query

    # -- messages ------------------------------------------------------

    def _on_message(self, message: fm.Message) -> None:
        match message:
            case fm.OriginRecord(origins=origins):
                now_s = event_loop.now_s()
                for one in origins:
                    self._table.record(
                        one.key,
                        stream_origins.StreamOrigin(one.service, one.version),
                        now_s,
                        stream_origins.bounded_life_s(one.life_s),
                    )
            case fm.OriginQuery():
                self._mesh.send(self._reply(message), message.me)
            case fm.OriginReply(number=number):
                query = self._queries.get(number)
                if query is not None:
                    query.add(message)

    def _reply(self, query: fm.OriginQuery) -> fm.OriginReply:
        now_s = event_loop.now_s()
        known = self._table.find(query.key, now_s)
        if known is not None:
            origin = known.origin or stream_origins.StreamOrigin("", "")
            return fm.OriginReply(
                self._mesh.me,
                query.number,
                True,
                origin.service,
                origin.version,
                round(now_s - known.learned_s, 3),
            )
        seen = self._own_seen(query.services, query.life_s, now_s)
        return fm.OriginReply(
            self._mesh.me,
            query.number,
            False,
            seen=[
                fm.SeenVersions(service, sorted(one.versions), one.is_complete)
                for service, one in seen.items()
            ],
        )


def _seen_by_service(
    reply: fm.OriginReply,
) -> dict[str, version_history.SeenVersions]:
    return {
        row.service: version_history.SeenVersions(
            frozenset(row.versions), row.is_complete
        )
        for row in reply.seen
    }


def _only_version(
    seen: dict[str, version_history.SeenVersions],
) -> Lookup:
    """Returns the only version that can have begun a stream, if there is."""
    possible = [
        stream_origins.StreamOrigin(service, version)
        for service, one in seen.items()
        for version in one.versions
    ]
    if len(possible) != 1:
        return Lookup(None, f"unknown, {len(possible)} versions seen")
    if not all(one.is_complete for one in seen.values()):
        return Lookup(None, "unknown, others may have served")
    return Lookup(possible[0], "only version")
