"""The gateway's application object: owns its parts, their start and end."""

import asyncio
from collections.abc import Callable
import dataclasses
import os
import random

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.gateway import catalog
from sesamecross.gateway import connection_pool as connection_pool_lib
from sesamecross.gateway import engine_client
from sesamecross.gateway import follower
from sesamecross.gateway import forwarder as forwarder_lib
from sesamecross.gateway import joiner
from sesamecross.gateway import lease_manager
from sesamecross.gateway import listener
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import pacing as pacing_lib
from sesamecross.gateway import placement_controller
from sesamecross.gateway import registrar
from sesamecross.gateway import reloader
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import status
from sesamecross.gateway import store_client
from sesamecross.gateway import store_proxy
from sesamecross.gateway import sweeper
from sesamecross.gateway import sync
from sesamecross.ops.fleet import reachability
from sesamecross.ops.fleet import stopping
from sesamecross.ops.fleet import store_polling
from sesamecross.ports import http_codec as http_codec_lib
from sesamecross.ports import store
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import supervisor

# The balancer needs two misses, a second apart, before it sends no new
# connections; callers that it sent meanwhile are served.
BALANCER_LAG_S = 2.6
# Off the grace, for the last bytes to leave before the kill; of a short grace
# no more than the sixth in which open requests may end with the process.
GRACE_MARGIN_S = 0.6
GRACE_MARGIN_SHARE = 1 / 6
# Of that, for callers' connections to come to their end: some round trips
# within a region.
END_S = 0.15
# Of what is left of the grace then, for each of the two parts that call the
# store as they stop. The rest is for the process's own end.
STORE_SHARE = 0.4
_POLL_S = 0.05
# Smaller shares of failures are not worth telling.
FAILING_LEAST = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """What a platform's adapter brings: forms and names, no decisions.

    Attributes:
      metrics_port: Where metrics are served, at the instance's own address.
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


class GatewayApp:
    """Everything that one gateway process owns."""

    def __init__(
        self,
        instance: serving.Instance,
        adapter: PlatformAdapter,
        source: reloader.SettingsSource,
    ):
        self._instance = instance
        self._adapter = adapter
        self._log = logs.part("gateway")
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
          adapter: The platform's forms and names.
          source: Where the settings are read anew.
        """
        return cls(instance, adapter, source)

    def reload(self) -> None:
        """Looks at the settings again."""
        self._reloader.reload()

    def components(self) -> list[supervisor.Component]:
        """Returns the parts in the order of their start."""
        instance, adapter = self._instance, self._adapter
        self.connection_pool = connection_pool_lib.ConnectionPool()
        self.forwarder = forwarder_lib.Forwarder(
            self.state,
            adapter.http_codec,
            self.connection_pool,
            self._rng,
            self.metrics,
        )
        self._ready = status.StatusHandler(self.state, None)
        metrics = status.StatusHandler(self.state, self.metrics)
        self.front = listener.Listener(
            "front", instance.front_address, self.forwarder
        )
        client = store_client.StoreClient(
            instance.store_address, adapter.store_codec, self.metrics
        )
        known = catalog.Catalog(
            catalog.ConfigurationSink(
                self.state,
                adapter.configuration_key,
                adapter.decode_configuration,
            ),
            catalog.UpstreamSink(self.state, adapter.decode_upstream),
        )
        self.mesh = mesh_lib.Mesh(self.state, self._figures, self.metrics)
        configurations = follower.Follower(
            client,
            adapter.configuration_topic,
            known.configuration,
            self._rng,
            max_backoff_s=self.mesh.max_store_backoff_s,
        )
        upstreams = follower.Follower(
            client,
            adapter.upstreams_topic,
            known.upstreams,
            self._rng,
            store_polling.READ_INTERVAL_S,
            self.mesh.should_read_store,
            self.mesh.max_store_backoff_s,
        )
        self.lease = lease_manager.LeaseManager(
            client,
            store_proxy.StoreProxy(client, self.mesh),
            f"{adapter.own_topic_prefix}lease",
            self.mesh,
            lambda: self.state.bounds.lease_s,
        )
        engines = engine_client.EngineClient(adapter.http_codec, self.metrics)
        orders = placement_controller.PlacementController(
            self.state, self.mesh, self.lease, engines, self.metrics
        )
        self.forwarder.engines.want = orders.want
        pacing = pacing_lib.Pacing(self.state, self.mesh)
        self.forwarder.engines.pacing = pacing
        address = f"{instance.ip}:{instance.ports[0]}"
        self._registrar = registrar.Registrar(
            client,
            f"{adapter.own_topic_prefix}instances",
            instance,
            address,
            self._rng,
        )
        self._joiner = joiner.Joiner(self._registrar, self.mesh, instance)
        return [
            self.front,
            listener.Listener("ready", instance.ready_address, self._ready),
            # Callers are served without it, also where its port is taken.
            listener.Listener(
                "metrics",
                f"{instance.ip}:{adapter.metrics_port}",
                metrics,
                is_vital=False,
            ),
            configurations,
            upstreams,
            sweeper.Sweeper(self.state, self.connection_pool),
            self._reloader,
            self._joiner,
            self.mesh,
            sync.SyncServer(
                self.mesh, self.state, known, client, adapter.own_topic_prefix
            ),
            sync.SyncPuller(self.mesh, self.state, known),
            self.lease,
            sync.HolderMonitor(
                self.mesh, self.lease.is_candidate, self.lease.on_holder_exit
            ),
            orders,
            pacing,
        ]

    def _figures(self) -> fm.Report:
        """Returns what this instance has to tell the others."""
        now_s = asyncio.get_running_loop().time()
        loads = []
        failing = []
        for known in self.state.directory:
            name = known.entry.instance_id
            state = known.reachability.state(now_s)
            if known.own_running or state is not reachability.State.UNKNOWN:
                told = reachability.ReachabilityCounts().plus(state)
                loads.append(
                    fm.UpstreamLoad(
                        name,
                        known.own_running,
                        known.engine.own_prompt_tokens,
                        told.hears,
                        told.silent,
                        told.refused,
                    )
                )
            outcomes = known.health.outcomes(now_s)
            if known.failing(now_s) >= FAILING_LEAST:
                failing.append(
                    fm.UpstreamOutcomes(
                        name,
                        round(outcomes.failed, 1),
                        round(outcomes.total, 1),
                    )
                )
        return fm.Report(
            self.mesh.me,
            0,
            loads,
            self.forwarder.uses.rows(),
            self.forwarder.engines.demand.rows(now_s),
            failing,
            self.mesh.known_lease(now_s),
        )

    @property
    def _is_busy(self) -> bool:
        """Whether the process's end would cut anything off.

        A request whose caller went away can still be open.
        """
        return self.forwarder.open_requests > 0 or self.front.is_busy

    async def drain(self) -> None:
        """Finishes what callers asked for, within the grace.

        Readiness fails at once, so that the balancer turns away; callers
        that it still sends are served if there is time, and each answer tells
        its caller to use another connection next.

        At the end the front door closes before any other part stops: these
        call the store, which can take a second, and what the front took
        meanwhile would be cut off by the process's end.
        """
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        self._ready.is_stopping = True
        self._log.info("draining", open=self.forwarder.open_requests)
        if not self.front.address and not self._is_busy:
            # The balancer has sent nobody to a door that never opened.
            self._log.info("drained", open=0, connections=0)
            return
        # The file may name another grace than when it was last looked at.
        self._reloader.reload()
        known_s = begun_s + BALANCER_LAG_S
        await self._wait_while(lambda: loop.time() < known_s, begun_s)
        # Once: callers come back by way of the balancer, which sends them to
        # an instance that stays. What connects from now on is about to ask.
        self.front.close_idle()
        await self._wait_while(lambda: self._is_busy, begun_s)
        given_up = self.forwarder.open_requests
        self.forwarder.end()
        await self.front.end(END_S)
        self._bound_store_calls(begun_s)
        # Connections that are left have unsent bytes, or callers that don't
        # close; the process's end closes them.
        self._log.info(
            "drained", open=given_up, connections=len(self.front.connections)
        )

    def _bound_store_calls(self, begun_s: float) -> None:
        """Leaves the parts that call the store no more than is left.

        A silent store would hold them for 1.5 s, beyond the grace of a drain
        that ended at its end, and the process would be killed.
        """
        now_s = asyncio.get_running_loop().time()
        left_s = max(0.0, begun_s + self.state.bounds.grace_s - now_s)
        share_s = left_s * STORE_SHARE
        self.lease.release_timeout_s = min(
            lease_manager.RELEASE_TIMEOUT_S, share_s
        )
        self._joiner.leave_timeout_s = min(joiner.LEAVE_TIMEOUT_S, share_s)

    def _stop(self, begun_s: float) -> stopping.Stop:
        """Returns the stop by the grace in force.

        The platform goes by the settings as they are, so that a drain by those
        of the start would be killed midway, or end early.
        """
        grace_s = self.state.bounds.grace_s
        margin_s = min(GRACE_MARGIN_S, grace_s * GRACE_MARGIN_SHARE)
        return stopping.Stop(begun_s, begun_s + grace_s - margin_s)

    async def _wait_while(
        self, condition: Callable[[], bool], begun_s: float
    ) -> None:
        """Waits while something holds, until the stop's time is over."""
        loop = asyncio.get_running_loop()
        while True:
            # Settings may change meanwhile.
            self.forwarder.stop = self._stop(begun_s)
            if loop.time() >= self.forwarder.stop.ends_s:
                return
            # Slept first, as requests may have arrived that are not read yet.
            await asyncio.sleep(_POLL_S)
            if not condition():
                return
