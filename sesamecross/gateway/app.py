"""Application object of the gateway: owns its components and its drain."""

import asyncio
from collections.abc import Callable
import os
import random

import msgspec

from sesamecross.core import connection_limiter
from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.gateway import catalog
from sesamecross.gateway import connection_pool as connection_pool_lib
from sesamecross.gateway import crash_guard
from sesamecross.gateway import end_verifier
from sesamecross.gateway import engine_client
from sesamecross.gateway import follower
from sesamecross.gateway import forwarder as forwarder_lib
from sesamecross.gateway import freshness_keeper
from sesamecross.gateway import joiner
from sesamecross.gateway import lease_manager
from sesamecross.gateway import listener
from sesamecross.gateway import load_monitor
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import origin_registry
from sesamecross.gateway import pacing as pacing_lib
from sesamecross.gateway import placement_controller
from sesamecross.gateway import reachability_monitor
from sesamecross.gateway import registrar
from sesamecross.gateway import relay_client
from sesamecross.gateway import relay_server
from sesamecross.gateway import reloader
from sesamecross.gateway import request_guard as request_guard_lib
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import status
from sesamecross.gateway import store_client
from sesamecross.gateway import store_proxy
from sesamecross.gateway import sweeper
from sesamecross.gateway import sync
from sesamecross.gateway import upstream_connector
from sesamecross.gateway import upstream_history
from sesamecross.gateway import upstream_words
from sesamecross.gateway import version_recorder
from sesamecross.gateway import withheld_recorder
from sesamecross.ops.fleet import connection_shedder
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import reachability
from sesamecross.ops.fleet import stopping
from sesamecross.ops.fleet import store_polling
from sesamecross.ops.fleet import withheld_records
from sesamecross.ports import http_codec as http_codec_lib
from sesamecross.ports import store
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import process_limits
from sesamecross.runtime import supervisor
from sesamecross.runtime import ticker as ticker_lib

# The load balancer stops sending new connections after two failed readiness
# probes, a second apart; callers that it sends until then are served.
BALANCER_LAG_S = 2.6
# Reserved at the end of the grace period for the last bytes to be sent before
# the kill. At most the last sixth of the grace period, in which requests in
# progress may end with the process.
GRACE_MARGIN_S = 0.6
GRACE_MARGIN_SHARE = 1 / 6
# Of the margin, for callers' connections to close: some round trips within a
# region.
CONNECTION_CLOSE_S = 0.15
# Share of the grace period left after that, for each of the two components
# that call the store while they stop. The rest is for the process's exit.
STORE_GRACE_SHARE = 0.4
_POLL_INTERVAL_S = 0.05


class PlatformAdapter(msgspec.Struct, frozen=True):
    """Codecs and names of a platform; makes no decisions.

    Attributes:
      metrics_port: Port of the metrics endpoint, at the instance's address.
    """

    store_codec: store.StoreCodec
    http_codec: http_codec_lib.HttpCodec
    configuration_topic: str
    configuration_key: str
    upstreams_topic: str
    own_topic_prefix: str
    decode_configuration: catalog.ConfigurationDecoder
    decode_upstream: catalog.UpstreamDecoder
    metrics_port: int


def _upstream_load(
    known: directory_lib.KnownUpstream, state: reachability.State
) -> fm.UpstreamLoad:
    counts = reachability.ReachabilityCounts().plus(state)
    return fm.UpstreamLoad(
        known.entry.instance_id,
        known.own_running,
        known.engine.own_prompt_tokens,
        counts.hears,
        counts.silent,
        counts.refused,
    )


class GatewayApp:
    """The components and state of one gateway process."""

    def __init__(
        self,
        instance: serving.Instance,
        adapter: PlatformAdapter,
        source: reloader.SettingsSource,
    ):
        self._instance = instance
        self._adapter = adapter
        self._log = logs.get_logger("gateway")
        self._rng = random.Random(os.urandom(8))
        self.metrics = metrics_lib.Metrics()
        self.state = state_lib.State(instance)
        self._reloader = reloader.Reloader(self.state, source)

    @classmethod
    def from_config(
        cls,
        instance: serving.Instance,
        adapter: PlatformAdapter,
        source: reloader.SettingsSource,
    ) -> "GatewayApp":
        """Returns the application of one instance.

        Args:
          instance: Its settings.
          adapter: The platform's codecs and names.
          source: Where the settings are reloaded from.
        """
        return cls(instance, adapter, source)

    def reload(self) -> None:
        """Reloads the settings if they changed."""
        self._reloader.reload()

    def components(self) -> list[supervisor.Component]:
        """Creates the components; returns them in the order of their start."""
        instance, adapter = self._instance, self._adapter
        ticker = ticker_lib.Ticker(self._rng.random())
        self.connection_pool = connection_pool_lib.ConnectionPool()
        self.forwarder = forwarder_lib.Forwarder(
            self.state,
            adapter.http_codec,
            self.connection_pool,
            self._rng,
            self.metrics,
        )
        self._readiness = status.StatusHandler(self.state, None)
        metrics = status.StatusHandler(
            self.state, self.metrics, self.forwarder.body_budget
        )
        shedder = connection_shedder.ConnectionShedder()
        ports = connection_limiter.DescriptorLimits.from_sockets(
            process_limits.max_sockets(instance.max_sockets)
        )
        self.front = listener.Listener(
            "front",
            instance.front_address,
            self.forwarder,
            shedder=shedder,
            limits=ports.callers,
        )
        client = store_client.StoreClient(
            instance.store_address, adapter.store_codec, self.metrics
        )
        platform_catalog = catalog.Catalog(
            catalog.ConfigurationSink(
                self.state,
                adapter.configuration_key,
                adapter.decode_configuration,
            ),
            catalog.UpstreamSink(self.state, adapter.decode_upstream),
        )
        self.mesh = mesh_lib.Mesh(
            self.state,
            self._build_loads,
            self.metrics,
            ticker,
            self._complete_report,
        )
        engines = engine_client.EngineClient(adapter.http_codec, self.metrics)
        self.forwarder.connector = upstream_connector.UpstreamConnector(
            self.state,
            self.connection_pool,
            relay_client.RelayClient(
                self.mesh, self.state, self._rng, self.metrics
            ),
            engines.report,
        )
        words = upstream_words.UpstreamWords(self.state, self.mesh)
        self.forwarder.words = words
        engines.on_head = words.record_control
        self.relay_server = relay_server.RelayServer(self.state, self.metrics)
        configurations = follower.Follower(
            client,
            adapter.configuration_topic,
            platform_catalog.configuration,
            self._rng,
            max_backoff_s=self.mesh.max_store_backoff_s,
            poll_s=self.mesh.configuration_poll_s,
            ticker=ticker,
            confirm=platform_catalog.configuration.confirm,
            clock=self.state.freshness.now_s,
        )
        upstreams = follower.Follower(
            client,
            adapter.upstreams_topic,
            platform_catalog.upstreams,
            self._rng,
            store_polling.READ_INTERVAL_S,
            self.mesh.should_read_store,
            self.mesh.max_store_backoff_s,
            self.mesh.store_poll_s,
            ticker,
        )
        self.lease = lease_manager.LeaseManager(
            client,
            store_proxy.StoreProxy(client, self.mesh),
            f"{adapter.own_topic_prefix}lease",
            self.mesh,
            lambda: self.state.bounds.lease_s,
            ticker,
            lambda: self.state.directory.is_mostly_unreachable(
                event_loop.now_s()
            ),
        )
        controller = placement_controller.PlacementController(
            self.state, self.mesh, self.lease, engines, self.metrics, ticker
        )
        self.forwarder.search_context.request_placement = (
            controller.request_placement
        )
        origins = origin_registry.OriginRegistry(
            self.state, self.mesh, self.metrics, ticker
        )
        self.forwarder.origins = origins
        pacing = pacing_lib.Pacing(self.state, self.mesh, ticker, self.metrics)
        self.forwarder.search_context.pacing = pacing
        address = f"{instance.ip}:{instance.ports[0]}"
        instances_topic = f"{adapter.own_topic_prefix}instances"
        self._registrar = registrar.Registrar(
            client,
            instances_topic,
            instance,
            address,
            self._rng,
        )
        verifier = end_verifier.EndVerifier(self.forwarder.connector)
        request_guard = request_guard_lib.RequestGuard(
            self.state,
            self.mesh,
            verifier,
            lambda: self.lease.holds,
            self._rng,
            self.metrics,
            ticker,
        )
        self.forwarder.request_guard = request_guard
        guard = crash_guard.CrashGuard(
            self.state,
            self.mesh,
            verifier,
            lambda: self.lease.holds,
            self._rng,
            self.metrics,
            ticker,
        )
        self.forwarder.search_context.crash_guard = guard
        proxy = store_proxy.StoreProxy(client, self.mesh)
        records = version_recorder.RecordStore(
            self._registrar, client, proxy, instances_topic
        )
        recorder = version_recorder.VersionRecorder(
            self.state,
            records,
            origins,
            lambda: self.lease.holds,
            ticker,
        )
        self._joiner = joiner.Joiner(
            self._registrar,
            self.mesh,
            instance,
            self.state,
            guard,
            request_guard,
            upstream_history.UpstreamHistory(
                client, adapter.upstreams_topic, adapter.decode_upstream
            ),
        )
        return [
            self.front,
            listener.Listener(
                "ready",
                instance.ready_address,
                self._readiness,
                limits=ports.status,
            ),
            # Not vital: callers are served even if its port is taken.
            listener.Listener(
                "metrics",
                f"{instance.ip}:{adapter.metrics_port}",
                metrics,
                is_vital=False,
                limits=ports.status,
            ),
            configurations,
            upstreams,
            sweeper.Sweeper(
                self.state, self.connection_pool, ticker, self.metrics
            ),
            reachability_monitor.ReachabilityMonitor(
                self.state, self.mesh, self.forwarder.connector, ticker
            ),
            load_monitor.LoadMonitor(shedder, self.metrics, ticker),
            freshness_keeper.FreshnessKeeper(
                self.state, self.mesh, configurations, ticker
            ),
            self._reloader,
            self._joiner,
            self.mesh,
            sync.SyncServer(
                self.mesh,
                self.state,
                platform_catalog,
                client,
                adapter.own_topic_prefix,
                self.relay_server,
                ports.peers,
            ),
            sync.SyncPuller(
                self.mesh,
                self.state,
                platform_catalog,
                configurations,
                upstreams,
                ticker,
            ),
            self.lease,
            sync.HolderMonitor(
                self.mesh,
                self.lease.is_candidate,
                self.lease.on_holder_refuses,
                ticker,
            ),
            controller,
            pacing,
            origins,
            recorder,
            guard,
            request_guard,
            *(
                withheld_recorder.WithheldRecorder(
                    one, key_prefix, records, lambda: self.lease.holds, ticker
                )
                for one, key_prefix in (
                    (guard, withheld_records.KEY_PREFIX),
                    (request_guard, withheld_records.REQUEST_KEY_PREFIX),
                )
            ),
        ]

    def _build_report(self) -> fm.Report:
        """Builds the report of this instance for the others."""
        return self._complete_report(self._build_loads())

    def _build_loads(self) -> fm.Report:
        """Builds the part of a report whose changes are sent at once."""
        now_s = event_loop.now_s()
        loads = []
        directory = self.state.directory
        unknown = reachability.State.UNKNOWN
        # Called in each round for all upstreams, most of which this instance
        # has not used lately: nothing is computed for these.
        for known in directory:
            state = known.reachability.state(now_s)
            if state is not unknown:
                state = directory.reported_state(known, now_s)
            if known.own_running or state is not unknown:
                loads.append(_upstream_load(known, state))
        return fm.Report(self.mesh.me, 0, loads, self.forwarder.uses.rows())

    def _complete_report(self, report: fm.Report) -> fm.Report:
        """Adds the part of a report whose changes alone cause none."""
        now_s = event_loop.now_s()
        return msgspec.structs.replace(
            report,
            demand=self.forwarder.search_context.demand.rows(now_s),
            failing=self._reported_outcomes(now_s),
            lease=self.mesh.known_lease(now_s),
            quotas=[
                fm.WorkspaceUse(name, used.admitted, used.asked)
                for name, used in self.state.quotas.rows(now_s).items()
            ],
        )

    def _reported_outcomes(self, now_s: float) -> list[fm.UpstreamOutcomes]:
        return [
            fm.UpstreamOutcomes(
                name,
                round(outcomes.failed, 1),
                round(outcomes.total, 1),
                round(outcomes.speed.ratios, 1),
                round(outcomes.speed.count, 1),
            )
            for name, outcomes in self.state.directory.reported_outcomes(now_s)
        ]

    @property
    def _is_busy(self) -> bool:
        """Whether the process's exit would cut off a request or response.

        A request whose caller disconnected can still be in progress, and so
        can those that are relayed for other instances.
        """
        return (
            self.forwarder.open_requests > 0
            or self.front.is_busy
            or self.relay_server.open_connections > 0
        )

    async def drain(self) -> None:
        """Drains callers' requests within the grace period.

        Readiness fails at once, so that the load balancer stops sending
        callers. Those that it still sends are served if there is time, and
        each response tells its caller to use another connection next.

        At the end the listener closes before any other component stops: some
        of these call the store, which can take a second, and requests
        accepted meanwhile would be cut off by the process's exit.
        """
        loop = event_loop.running()
        started_s = loop.time()
        self._readiness.is_stopping = True
        self.relay_server.is_stopping = True
        self._log.info("draining", open=self.forwarder.open_requests)
        if not self.front.address and not self._is_busy:
            # The load balancer sends no callers to a listener that never
            # opened.
            self._log.info("drained", open=0, connections=0)
            return
        # The grace period in the settings file may have changed.
        self._reloader.reload()
        balancer_done_s = started_s + BALANCER_LAG_S
        await self._wait_while(lambda: loop.time() < balancer_done_s, started_s)
        # Once only: these callers reconnect through the load balancer, to
        # another instance. Later connections are about to send a request.
        self.front.close_idle()
        await self._wait_while(lambda: self._is_busy, started_s)
        abandoned = self.forwarder.open_requests
        self.forwarder.shut_down()
        await self.front.shut_down(CONNECTION_CLOSE_S)
        self._limit_store_calls(started_s)
        # The remaining connections have unsent bytes, or callers that don't
        # close; the process's exit closes them.
        self._log.info(
            "drained", open=abandoned, connections=len(self.front.connections)
        )

    def _limit_store_calls(self, started_s: float) -> None:
        """Limits the store calls of the stop to the grace period left.

        An unresponsive store would delay them for 1.5 s. After a drain that
        used its whole time that exceeds the grace period, and the process
        would be killed.
        """
        now_s = event_loop.now_s()
        left_s = max(0.0, started_s + self.state.bounds.grace_s - now_s)
        share_s = left_s * STORE_GRACE_SHARE
        self.lease.release_timeout_s = min(
            lease_manager.RELEASE_TIMEOUT_S, share_s
        )
        self._joiner.leave_timeout_s = min(joiner.LEAVE_TIMEOUT_S, share_s)

    def _current_stop(self, started_s: float) -> stopping.Stop:
        """Returns the stop's times by the current grace period.

        The platform applies the current settings; a drain by those of the
        start would be killed midway, or end early.
        """
        grace_s = self.state.bounds.grace_s
        margin_s = min(GRACE_MARGIN_S, grace_s * GRACE_MARGIN_SHARE)
        return stopping.Stop(started_s, started_s + grace_s - margin_s)

    async def _wait_while(
        self, condition: Callable[[], bool], started_s: float
    ) -> None:
        """Waits while the condition holds, until the stop's end."""
        loop = event_loop.running()
        while True:
            # Settings may change during the drain.
            self.forwarder.stop = self._current_stop(started_s)
            if loop.time() >= self.forwarder.stop.ends_s:
                return
            # Sleeps first, as requests may have arrived that are not read yet.
            await asyncio.sleep(_POLL_INTERVAL_S)
            if not condition():
                return
