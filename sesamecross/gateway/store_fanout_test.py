"""Tests of how soon all instances know what the store holds.

Each instance has a real follower, mesh and puller. The store, the network and
the time are simulated.
"""

import asyncio
import random

import msgspec
import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.fakes import simulated_store
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import catalog as catalog_lib
from sesamecross.gateway import follower
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import sync
from sesamecross.ops.fleet import store_polling
from sesamecross.ports import store
from sesamecross.runtime import metrics as metrics_lib

ZONES = ("z1", "z1", "z1", "z2", "z2", "z2", "z3", "z3")
REGIONS = {"z1": "r1", "z2": "r2", "z3": "r3"}
ONE_WAY_S = 0.02
STORE_CALL_S = 0.05
# A handshake and an exchange between regions.
PULL_S = 0.12
# How long the store has to be stable before the bound holds.
STABLE_S = 4.0
# From the choice of an upstream until the request reaches it: admission, a new
# connection and the way, all to another region.
UNTIL_THERE_S = 0.2
CONFIGURATIONS, UPSTREAMS = "configurations", "upstreams"
CONFIGURATION_KEY = "config"
UPSTREAM = serving.Upstream("u1", "s", "10.0.0.9:80", "z1", 8, False, 1)


class _Transport:
    """Delivers datagrams to the other instances after the way there."""

    def __init__(self, instances: dict[str, "_Instance"]):
        self._instances = instances

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        receiver = self._instances[f"{address[0]}:{address[1]}"]
        loop = asyncio.get_running_loop()
        loop.call_later(ONE_WAY_S, receiver.mesh.on_datagram, data)


class _Instance:
    """What an instance has to learn of upstreams."""

    def __init__(self, number: int, backend: simulated_store.SimulatedStore):
        self.zone = ZONES[number]
        self.me = fm.Member(
            f"front-{number}", 1, self.zone, f"10.0.0.{number}:7380", -1, -1
        )
        self.state = state_lib.State(
            msgspec.structs.replace(
                samples.INSTANCE, zone=self.zone, regions=REGIONS
            )
        )
        self.catalog = catalog_lib.Catalog(
            catalog_lib.ConfigurationSink(
                self.state, CONFIGURATION_KEY, _decode_configuration
            ),
            catalog_lib.UpstreamSink(self.state, _decode_upstream),
        )
        self.mesh = mesh_lib.Mesh(
            self.state, lambda: fm.Report(self.me, 0, []), metrics_lib.Metrics()
        )
        rng = random.Random(number)
        configurations = follower.Follower(
            backend,
            CONFIGURATIONS,
            self.catalog.configuration,
            rng,
            max_backoff_s=self.mesh.max_store_backoff_s,
            poll_s=self.mesh.store_poll_s,
        )
        upstreams = follower.Follower(
            backend,
            UPSTREAMS,
            self.catalog.upstreams,
            rng,
            store_polling.READ_INTERVAL_S,
            self.mesh.should_read_store,
            self.mesh.max_store_backoff_s,
            self.mesh.store_poll_s,
        )
        puller = sync.SyncPuller(
            self.mesh, self.state, self.catalog, configurations, upstreams
        )
        self._puller = puller
        self.components = (self.mesh, configurations, upstreams, puller)
        self._server = sync.SyncServer(
            self.mesh, self.state, self.catalog, None, "", None
        )

    def join(self, instances: dict[str, "_Instance"]) -> None:
        """Connects it to the others."""
        self.mesh.transport = _Transport(instances)
        others = tuple(one.me for one in instances.values())
        self.mesh.join(self.me, b"secret", others)

        async def request(
            source: fm.Member, ask: sync.SyncAsk
        ) -> sync.SyncAnswer:
            await asyncio.sleep(PULL_S)
            return instances[source.address]._server._answer(ask)

        self._puller._request = request

    def knows(self, topic: str) -> bool:
        """Whether it knows of the leave, or of the second configuration."""
        if topic == CONFIGURATIONS:
            return self.state.version == 2
        known = self.state.directory.get(UPSTREAM.instance_id)
        return known is not None and known.is_leaving


def _decode_upstream(key: str, value: bytes) -> serving.Upstream:
    return msgspec.structs.replace(
        UPSTREAM, instance_id=key, is_leaving=value == b"leaving"
    )


def _decode_configuration(value: bytes) -> serving.Configuration:
    return serving.Configuration(int(value), (), {}, serving.CallerLimits())


def max_delay_s(
    topic: str,
    silences: tuple[simulated_store.Silence, ...],
    announced_s: float,
    busy_until_s: float,
) -> float:
    """Returns after how long the last instance knew of a new record.

    Args:
      topic: Whether an upstream leaves, or there is a new configuration.
      silences: When the store does not answer.
      announced_s: When the store accepted the record.
      busy_until_s: Until when other records were written, so that instances
        send new reads all the time.
    """
    loop = virtual_time_loop.VirtualTimeLoop()
    logs: dict[str, list[store.KeyedRecord]] = {
        CONFIGURATIONS: [],
        UPSTREAMS: [],
    }

    def write(topic: str, key: str, value: bytes) -> None:
        log = logs[topic]
        log.append(store.KeyedRecord(key, value, len(log)))

    async def scenario() -> float:
        write(CONFIGURATIONS, CONFIGURATION_KEY, b"1")
        write(UPSTREAMS, UPSTREAM.instance_id, b"ready")
        instances = {}
        for number, zone in enumerate(ZONES):
            one = _Instance(
                number,
                simulated_store.SimulatedStore(
                    logs, silences, STORE_CALL_S, zone
                ),
            )
            instances[one.me.address] = one
        tasks = []
        for one in instances.values():
            one.join(instances)
            for component in one.components:
                tasks.append(loop.create_task(component.run()))
        while loop.time() < announced_s:
            await asyncio.sleep(0.23)
            is_down = any(
                one.begin_s <= loop.time() < one.end_s for one in silences
            )
            if loop.time() < busy_until_s and not is_down:
                write(UPSTREAMS, "u2", b"ready")
                write(CONFIGURATIONS, "other", b"")
        if topic == CONFIGURATIONS:
            write(topic, CONFIGURATION_KEY, b"2")
        else:
            write(topic, UPSTREAM.instance_id, b"leaving")
        written_s = loop.time()
        while not all(one.knows(topic) for one in instances.values()):
            await asyncio.sleep(0.02)
        delay_s = loop.time() - written_s
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0)
        return delay_s

    return loop.run_until_complete(scenario())


MAX_DELAYS_S = {
    CONFIGURATIONS: serving.Bounds().config_apply_s,
    UPSTREAMS: serving.Bounds().drain_s - UNTIL_THERE_S,
}


@pytest.mark.parametrize(
    "silences",
    [
        (),
        (simulated_store.Silence(5.0, 9.0),),
        (
            simulated_store.Silence(5.0, 7.9),
            simulated_store.Silence(16.0, 20.9),
        ),
        # One zone is not answered any more, and the others have to tell it.
        (simulated_store.Silence(5.0, 60.0, frozenset(("z1",))),),
        (simulated_store.Silence(5.0, 60.0, frozenset(("z1", "z2"))),),
        # The same after silences for all, in which reads stay open.
        (
            simulated_store.Silence(7.5, 12.8),
            simulated_store.Silence(5.5, 60.0, frozenset(("z1",))),
        ),
        (
            simulated_store.Silence(5.7, 13.0),
            simulated_store.Silence(17.9, 25.0),
            simulated_store.Silence(7.1, 60.0, frozenset(("z1", "z2"))),
        ),
    ],
)
@pytest.mark.parametrize("is_busy", [True, False])
@pytest.mark.parametrize("topic", [UPSTREAMS, CONFIGURATIONS])
def test_all_instances_learn_of_a_new_record_within_its_bound(
    topic, silences, is_busy
):
    """Guards against requests to an upstream long after it said it leaves."""
    ends_s = [one.end_s for one in silences if one.end_s < 60.0]
    for later_s in (0.0, 0.8, 1.95):
        announced_s = max(ends_s, default=9.0) + STABLE_S + later_s
        busy_until_s = announced_s if is_busy else 0.0
        delay_s = max_delay_s(topic, silences, announced_s, busy_until_s)
        assert delay_s <= MAX_DELAYS_S[topic], (announced_s, delay_s)
