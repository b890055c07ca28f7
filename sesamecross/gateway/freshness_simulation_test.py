"""Simulation: freshness in fleets, over the mesh's own messages.

The meshes of all instances run on virtual time. The store publishes a version
now and then; hubs, and whoever hears nothing, read it. Zones are cut off,
instances turned away by the store, frozen and started again; datagrams are late
and are lost.
"""

import asyncio
import dataclasses
import random

import msgspec
import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import ticker as ticker_lib

REVOKE_S = 5.0
END_S = 30.0
LOSS = 0.01
# How soon an instance has a version that a peer has.
PULL_S = 0.4
CHECK_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A fleet and what happens to it.

    Attributes:
      silent: When the store answers nobody, from and to.
      refused: The part of the instances that it turns away from 8 to 20 s.
      cut_zone: Whether a zone is cut off from the others and the store, from 8
        to 20 s.
      frozen: The part of the instances that freezes from 8 to 15 s.
      seed: Of all draws.
    """

    instances: int
    zones: int
    silent: tuple[float, float] = (0.0, 0.0)
    refused: float = 0.0
    cut_zone: bool = False
    frozen: float = 0.0
    seed: int = 0


class _Transport:
    """Sends an instance's datagrams."""

    def __init__(self, fleet: "Fleet", number: int):
        self._fleet = fleet
        self._number = number

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._fleet.send(self._number, address[1], data)


class Fleet:
    """The meshes of all instances, and the store."""

    def __init__(self, case: Case):
        self.case = case
        self.rng = random.Random(case.seed)
        self.published: list[float] = []
        # Checks of instances that the store may reach, and those in which keys
        # were served.
        self.checks = 0
        self.served = 0
        self.reads = 0
        # Keys served by a version that was replaced longer ago than allowed.
        self.too_old: list[tuple[float, int, float]] = []
        settings = msgspec.structs.replace(
            samples.INSTANCE,
            bounds=serving.Bounds(is_revocation_strict=True, revoke_s=REVOKE_S),
            regions={f"z{zone}": f"r{zone}" for zone in range(case.zones)},
        )
        members = [
            fm.Member(
                f"front-{number}",
                1000 + number,
                f"z{number % case.zones}",
                f"10.0.0.1:{number}",
                -1,
                -1,
            )
            for number in range(case.instances)
        ]
        self.meshes = []
        self.states = []
        loop = asyncio.get_running_loop()
        for number, me in enumerate(members):
            state = state_lib.State(
                msgspec.structs.replace(settings, name=me.name, zone=me.zone),
                loop.time,
            )
            mesh = mesh_lib.Mesh(
                state,
                lambda: fm.Report(members[0], 0),
                metrics_lib.Metrics(),
                ticker_lib.Ticker(self.rng.random()),
            )
            mesh.transport = _Transport(self, number)
            mesh.join(me, b"secret", tuple(members))
            self.meshes.append(mesh)
            self.states.append(state)

    # -- what happens ------------------------------------------------------

    def _is_frozen(self, number: int, now_s: float) -> bool:
        return 8.0 <= now_s < 15.0 and (
            number < self.case.frozen * self.case.instances
        )

    def _is_cut(self, number: int, now_s: float) -> bool:
        return (
            self.case.cut_zone
            and 8.0 <= now_s < 20.0
            and number % self.case.zones == 0
        )

    def _answers(self, number: int, now_s: float) -> bool:
        """Whether the store answers an instance."""
        first_s, last_s = self.case.silent
        is_refused = 8.0 <= now_s < 20.0 and (
            number < self.case.refused * self.case.instances
        )
        return not (
            first_s <= now_s < last_s
            or is_refused
            or self._is_cut(number, now_s)
        )

    def send(self, sender: int, receiver: int, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        if self._is_frozen(sender, now_s) or self.rng.random() < LOSS:
            return
        if self._is_cut(sender, now_s) != self._is_cut(receiver, now_s):
            return
        way_s = self.rng.uniform(0.001, 0.05)
        if self._is_frozen(receiver, now_s + way_s):
            # It is read after the freeze.
            way_s = 15.0 - now_s
        loop.call_later(way_s, self.meshes[receiver].on_datagram, data)

    def _version(self, at_s: float) -> int:
        """Returns the store's version at a moment."""
        return sum(published_s <= at_s for published_s in self.published)

    def _take(self, number: int, version: int) -> None:
        self.states[number].offer_configuration(
            serving.Configuration(version, (), {}, serving.CallerLimits(), ())
        )

    async def _thaw(self, number: int) -> None:
        while self._is_frozen(number, asyncio.get_running_loop().time()):
            await asyncio.sleep(0.01)

    async def _read(self, number: int) -> None:
        """Reads the store as the follower of the configuration does."""
        loop = asyncio.get_running_loop()
        mesh, state = self.meshes[number], self.states[number]
        first = True
        while True:
            await self._thaw(number)
            if not (first or mesh.asks_for_freshness()):
                await asyncio.sleep(0.1)
                continue
            sent_s = loop.time()
            self.reads += 1
            poll_s = 0.0 if first else mesh.configuration_poll_s()
            await asyncio.sleep(poll_s + self.rng.uniform(0.004, 0.05))
            if self._answers(number, loop.time()):
                # What the store had when it read, not later.
                self._take(number, self._version(sent_s + poll_s))
                await self._thaw(number)
                state.freshness.learn(sent_s)
                first = False
            else:
                await asyncio.sleep(self.rng.uniform(0.3, 0.8))

    async def _pull(self, number: int) -> None:
        """Fetches versions that peers have."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PULL_S)
            await self._thaw(number)
            alive = self.meshes[number].roster.alive(loop.time())
            newest = max((one.configuration for one in alive), default=-1)
            self._take(number, newest)

    async def _publish(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.published.append(loop.time())
            await asyncio.sleep(self.rng.uniform(0.2, 4.0))

    async def play(self) -> None:
        loop = asyncio.get_running_loop()
        numbers = range(self.case.instances)
        tasks = [asyncio.create_task(self._publish())]
        for number in numbers:
            tasks += [
                asyncio.create_task(self.meshes[number].run()),
                asyncio.create_task(self._read(number)),
                asyncio.create_task(self._pull(number)),
            ]
        while loop.time() < END_S:
            await asyncio.sleep(CHECK_S)
            now_s = loop.time()
            for number, state in enumerate(self.states):
                if self._is_frozen(number, now_s):
                    continue
                is_served = state.keys is not None and state.is_fresh
                if is_served and state.version < self._version(
                    now_s - REVOKE_S
                ):
                    self.too_old.append((now_s, number, state.version))
                if now_s > 5.0 and not self._is_cut(number, now_s):
                    self.checks += 1
                    self.served += is_served
        for task in tasks:
            task.cancel()


def play(case: Case) -> Fleet:
    async def scenario() -> Fleet:
        fleet = Fleet(case)
        await fleet.play()
        return fleet

    with asyncio.Runner(
        loop_factory=virtual_time_loop.VirtualTimeLoop
    ) as runner:
        return runner.run(scenario())


SIZES = [(8, 3), (48, 6)]
TROUBLES = {
    "none": ({}, 0.99),
    "store silent for 2.9 s": ({"silent": (8.0, 10.9)}, 0.99),
    "store silent for 9 s": ({"silent": (8.0, 17.0)}, 0.0),
    "half of the instances turned away": ({"refused": 0.5}, 0.99),
    "a zone cut off": ({"cut_zone": True}, 0.95),
    "instances frozen": ({"frozen": 0.4}, 0.95),
}


@pytest.mark.parametrize("name", TROUBLES)
@pytest.mark.parametrize("instances, zones", SIZES)
def test_keys_are_served_while_the_configuration_is_fresh(
    instances, zones, name
):
    """Guards against revoked keys (CONFIG), and refusals of sound ones."""
    changes, least = TROUBLES[name]
    for seed in range(2):
        fleet = play(Case(instances, zones, seed=seed, **changes))
        assert not fleet.too_old
        assert fleet.served >= least * fleet.checks
