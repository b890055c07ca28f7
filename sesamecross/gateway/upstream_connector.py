"""Opens connections to upstreams: directly, or by way of a peer.

A request must not wait for a connection attempt that is known to fail. So as
long as the own path to an upstream fails, requests go by way of a peer, and
probes in the background find out when it works again.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from typing import Any

from sesamecross.core import serving
from sesamecross.gateway import client_connection
from sesamecross.gateway import connection_pool as connection_pool_lib
from sesamecross.gateway import relay_client as relay_client_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import connection_subset
from sesamecross.ops.fleet import directory
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.utils import rendezvous

AskEngine = Callable[[serving.Upstream], Awaitable[serving.EngineReport | None]]
# How many instances probe an upstream at first that others find unreachable.
# Those picked may be cut off from it themselves, so more do at each further
# check, up to a limit for upstreams that are gone.
VERIFIERS = 4
VERIFIERS_GROWTH = 4
MAX_VERIFIERS = 64
# How long it is kept which zones have unreachable upstreams; all upstreams are
# looked at for that.
SUSPECT_ZONES_TTL_S = 0.1


class UpstreamConnector:
    """Connects requests to the upstreams chosen for them."""

    __slots__ = (
        "_state",
        "_connection_pool",
        "_relay_client",
        "_ask_engine",
        "_log",
        "_probes",
        "_checks",
        "_uses",
        "_suspect_zones",
        "_suspect_zones_s",
    )

    def __init__(
        self,
        state: state_lib.State,
        connection_pool: connection_pool_lib.ConnectionPool,
        relay_client: relay_client_lib.RelayClient,
        ask_engine: AskEngine,
    ):
        """Initializes the connector.

        Args:
          state: The known upstreams.
          connection_pool: Idle connections to them.
          relay_client: Connects by way of peers.
          ask_engine: Requests an engine's report; None without an answer.
        """
        self._state = state
        self._connection_pool = connection_pool
        self._relay_client = relay_client
        self._ask_engine = ask_engine
        self._log = logs.get_logger("connector")
        self._probes: set[asyncio.Task] = set()
        # By the instance id of a suspected upstream, the checks so far.
        self._checks: dict[str, int] = {}
        # By service.
        self._uses: dict[str, connection_subset.ServiceUse] = {}
        self._suspect_zones: frozenset[str] = frozenset()
        self._suspect_zones_s = -SUSPECT_ZONES_TTL_S

    async def connect(
        self,
        upstream: directory.KnownUpstream,
        timeout_s: float,
        requires_new: bool = False,
        is_repeatable: bool = False,
    ) -> client_connection.ClientConnection:
        """Returns a connection for one request.

        Args:
          upstream: Where to.
          timeout_s: How long it may take.
          requires_new: No idle connection may be used.
          is_repeatable: The request may be sent again if it is lost, so that
            it may use a connection that has been idle for longer.

        Raises:
          OSError: No connection could be opened in time, neither directly nor
            by way of a peer. Nothing was sent.
        """
        loop = event_loop.running()
        started_s = loop.time()
        self._record_use(upstream, started_s)
        access = self._access(upstream, started_s)
        if self._must_relay(upstream, access, started_s):
            self._probe_if_due(upstream, started_s)
        else:
            if access is directory.Access.UNCERTAIN:
                # An open connection may be dead; a new one shows whether the
                # upstream lives before the request is sent.
                self._connection_pool.close_idle(upstream.entry.address)
            try:
                return await self._connect_directly(
                    upstream,
                    timeout_s,
                    requires_new,
                    is_repeatable and self._may_reuse_long_idle(upstream),
                )
            except OSError:
                now_s = loop.time()
                access = self._access(upstream, now_s)
                if not self._must_relay(upstream, access, now_s):
                    raise
        left_s = timeout_s - (loop.time() - started_s)
        return await self._relay_client.connect(upstream.entry, left_s)

    def _record_use(
        self, upstream: directory.KnownUpstream, now_s: float
    ) -> None:
        """Finds out whether connections to the upstream are scarce."""
        entry = upstream.entry
        use = self._uses.get(entry.service)
        if use is None:
            use = connection_subset.ServiceUse(now_s)
            self._uses[entry.service] = use
        use.record_request(now_s)
        if use.is_due(now_s):
            self._decide_scarcity(use, entry, now_s)
        idle = self._connection_pool.configure(
            entry.address, entry.born_ms, use.is_scarce
        )
        upstream.idle_connections = idle if use.is_scarce else ()

    def _decide_scarcity(
        self,
        use: connection_subset.ServiceUse,
        entry: serving.Upstream,
        now_s: float,
    ) -> None:
        was_scarce = use.is_scarce
        instances = self._state.instance_count or 1
        upstreams = sum(
            known.entry.service == entry.service
            for known in self._state.directory
        )
        if use.decide(instances, upstreams, entry.slots, now_s) != was_scarce:
            self._log.info(
                "connections are scarce"
                if use.is_scarce
                else "connections are not scarce",
                service=entry.service,
                instances=instances,
                upstreams=upstreams,
                slots=entry.slots,
                rate=round(use.rate(now_s), 2),
            )

    def _may_reuse_long_idle(self, upstream: directory.KnownUpstream) -> bool:
        """Whether an old connection is likely to work.

        If a zone is cut off, its idle connections fail only after seconds,
        while a new one shows at once that the request has to go another way.
        """
        if not self._uses[upstream.entry.service].is_scarce:
            return False
        now_s = event_loop.running().time()
        if now_s - self._suspect_zones_s >= SUSPECT_ZONES_TTL_S:
            self._suspect_zones_s = now_s
            self._suspect_zones = frozenset(
                known.entry.zone
                for known in self._state.directory
                if known.reachability.has_failed_recently(now_s)
            )
        return upstream.entry.zone not in self._suspect_zones

    def _access(
        self, upstream: directory.KnownUpstream, now_s: float
    ) -> directory.Access:
        return upstream.access(now_s, self._state.directory.is_isolated(now_s))

    def _must_relay(
        self,
        upstream: directory.KnownUpstream,
        access: directory.Access,
        now_s: float,
    ) -> bool:
        match access:
            case directory.Access.VIA_PEER:
                return True
            case directory.Access.UNCERTAIN:
                return upstream.reachability.is_path_failing(now_s)
        return False

    async def _connect_directly(
        self,
        upstream: directory.KnownUpstream,
        timeout_s: float,
        requires_new: bool = False,
        is_repeatable: bool = False,
    ) -> client_connection.ClientConnection:
        loop = event_loop.running()
        address = upstream.entry.address
        began_s = loop.time()
        try:
            if requires_new:
                connection = await self._connection_pool.open(
                    address, timeout_s
                )
            else:
                connection = await self._connection_pool.acquire(
                    address, began_s, timeout_s, is_repeatable
                )
        except OSError as error:
            upstream.reachability.record_connect_error(
                error, began_s, loop.time()
            )
            self._connection_pool.close_idle(address)
            raise
        if not connection.request_count:
            upstream.reachability.record_connected(loop.time())
        return connection

    async def has_ended(
        self, upstream: directory.KnownUpstream, born_ms: int
    ) -> bool | None:
        """Finds out whether an incarnation of an upstream has ended.

        An engine must answer: one that stands still accepts connections too.

        Args:
          upstream: The upstream.
          born_ms: The incarnation's start, in wall-clock ms.

        Returns:
          Whether it has; None if that can't be told now.
        """
        if upstream.entry.born_ms > born_ms:
            return True
        if self._is_address_taken(upstream, born_ms):
            return True
        is_engine = self._is_engine(upstream)
        report = await self._ask_engine(upstream.entry) if is_engine else None
        if report is not None:
            upstream.reachability.record_contact(event_loop.running().time())
            return report.born_ms > born_ms
        try:
            connection = await self._connect_directly(
                upstream,
                connection_pool_lib.CONNECT_TIMEOUT_S,
                requires_new=True,
            )
        except ConnectionRefusedError:
            now_s = event_loop.running().time()
            # A port that only this instance finds closed is behind a cut.
            is_reached = upstream.others_reachability.hears > 0
            if is_reached or self._state.directory.is_isolated(now_s):
                return None
            return True
        except OSError:
            return None
        if is_engine:
            connection.close()
            return None
        # A later request may use it.
        self._connection_pool.release(upstream.entry.address, connection)
        return False

    def _is_address_taken(
        self, upstream: directory.KnownUpstream, born_ms: int
    ) -> bool:
        """Whether a later upstream has registered with the address."""
        return any(
            known.entry.address == upstream.entry.address
            and known.entry.born_ms > born_ms
            for known in self._state.directory
        )

    def verify_suspected(self, instances: Sequence[str], me: str) -> None:
        """Probes upstreams that only other instances find unreachable.

        Those may be cut off themselves, while nobody happens to use the
        upstream. A few instances find out for all.

        Args:
          instances: Names of the live instances that reach their upstreams.
          me: This instance's name.
        """
        now_s = event_loop.running().time()
        checks, self._checks = self._checks, {}
        for known in self._state.directory:
            instance_id = known.entry.instance_id
            is_suspected = (
                not known.is_retired
                and known.lapsed_s is None
                and self._access(known, now_s) is directory.Access.UNCERTAIN
                and not known.reachability.is_path_failing(now_s)
            )
            if not is_suspected:
                continue
            done = checks.get(instance_id, 0)
            self._checks[instance_id] = done + 1
            if me in rendezvous.top(
                f"verify/{instance_id}", instances, _verifiers(done)
            ):
                self._verify_if_due(known, now_s)

    def _verify_if_due(
        self, upstream: directory.KnownUpstream, now_s: float
    ) -> None:
        if upstream.reachability.take_probe(now_s):
            self._spawn(self._verify(upstream))

    async def _verify(self, upstream: directory.KnownUpstream) -> None:
        """Records a contact if the upstream turns out to be alive.

        An engine must answer: one that stands still accepts connections too.
        """
        if self._is_engine(upstream):
            is_alive = await self._ask_engine(upstream.entry) is not None
        else:
            is_alive = await self._probe(upstream)
        if is_alive:
            now_s = event_loop.running().time()
            upstream.reachability.record_contact(now_s)

    def _is_engine(self, upstream: directory.KnownUpstream) -> bool:
        configuration = self._state.configuration
        if configuration is None:
            return False
        service = configuration.services.get(upstream.entry.service)
        return service is not None and service.engine is not None

    def _probe_if_due(
        self, upstream: directory.KnownUpstream, now_s: float
    ) -> None:
        if upstream.reachability.take_probe(now_s):
            # Idle connections may be dead, and would look like a success.
            self._connection_pool.close_idle(upstream.entry.address)
            self._spawn(self._probe(upstream))

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        probe = asyncio.create_task(work)
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _probe(self, upstream: directory.KnownUpstream) -> bool:
        """Tries a connection, which serves a later request if it succeeds.

        Returns:
          Whether it was accepted.
        """
        try:
            connection = await self._connect_directly(
                upstream, connection_pool_lib.CONNECT_TIMEOUT_S
            )
        except OSError as error:
            self._log.info(
                "path still failing",
                upstream=upstream.entry.instance_id,
                why=str(error) or type(error).__name__,
            )
            return False
        self._connection_pool.release(upstream.entry.address, connection)
        self._log.info("path works", upstream=upstream.entry.instance_id)
        return True


def _verifiers(checks: int) -> int:
    """Returns how many instances probe after some checks without a result."""
    return min(MAX_VERIFIERS, VERIFIERS * VERIFIERS_GROWTH**checks)
