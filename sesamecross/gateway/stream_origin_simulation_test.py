"""Simulation: streams that callers resume, in fleets that change all the time.

The registries, directories and version histories of all instances run on
virtual time. Engines of several versions come and go, instances are killed,
restarted and cut off, and news of engines arrives late. Each stream is resumed
after its engine or its instance has failed.
"""

import asyncio
import collections
import dataclasses
import enum
import itertools
import random

import msgspec
import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import origin_registry
from sesamecross.gateway import registrar
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import version_recorder
from sesamecross.ops.fleet import roster as roster_lib
from sesamecross.ops.fleet import stream_origins
from sesamecross.ops.fleet import version_records
from sesamecross.ports import store
from sesamecross.runtime import metrics as metrics_lib

SERVICE = "s"
HOST = "a.example"
ZONES = ("a1", "a2", "b1")
REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
END_S = 40.0
WINDOW_S = 8.0
LIFE_S = 30.0
MIN_STREAMS = 12
# The goal, and the users' bound.
MIN_GOES_ON = 0.9
USERS_MIN_GOES_ON = 0.5
HEARTBEAT_S = 0.4
CUT_ZONE = "a1"
# From one instance's end to the next one's, in a restart in turn.
ROLL_GAP_S = 1.2
NEWS_RETRY_S = 0.3
MAX_TRIES = 4
# Instances have found each other by then.
FIRST_STREAM_S = 1.0
# So many engines of its version have to serve for a stream to count.
MIN_ENGINES = 2
DATAGRAM_LOSS = 0.01
MAX_RECORD_BYTES = 160
STORE_ANSWERS_S = 0.005
CALLER_RETRY_S = 0.1


CONFIGURATION = serving.Configuration(
    1,
    (
        serving.Route(
            "r",
            HOST,
            "/a/",
            serving.RouteKind.STREAM,
            (serving.Target(SERVICE, 1),),
            0,
            2,
            LIFE_S / stream_origins.LIFE_TIMEOUTS,
            1.2,
            0.25,
            True,
            True,
        ),
    ),
    {SERVICE: serving.Service(SERVICE, "/", 10, None)},
    serving.CallerLimits(),
)


class WriteFault(enum.Enum):
    """What becomes of a write to the store.

    Attributes:
      REFUSED: It is not done.
      ANSWER_LOST: It is done, and its writer is not told.
      LATE: It is done later, if its condition still holds, and its writer is
        not told.
    """

    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    LATE = "late"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFault:
    """A while in which writes to the store fail."""

    at_s: float
    for_s: float
    what: WriteFault
    late_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """A version that serves for a while, and whose engines leave at once."""

    at_s: float
    for_s: float
    version: str
    engines: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A fleet and what happens to it.

    Attributes:
      engines: Engines at the start, all of the first version.
      streams_per_s: New streams.
      releases: When one engine after the other is replaced, and by which
        version.
      kills: When a share of the instances is killed.
      rolls_at: When the instances restart, one after the other.
      news_s: The longest delay of news of engines.
      names_attempt: Whether callers name the attempt that they resume.
      long_streams: Whether streams last until their engine or instance fails,
        for 15 s at most; else for 3 s.
      zone_cut: When a zone's instances are cut off from the store and from the
        other zones, and for how long; callers and engines reach them.
      store_fault: What the store does wrong for a while.
      compacted_s: When the store forgets the log of the list of engines.
      trials: Versions that serve for a while beside the others.
    """

    instances: int
    engines: int = 6
    streams_per_s: float = 12.0
    releases: tuple[tuple[float, str], ...] = ((6.0, "v2"),)
    kills: tuple[tuple[float, float], ...] = ()
    rolls_at: float | None = None
    news_s: float = 1.0
    names_attempt: bool = True
    zone_cut: tuple[float, float] | None = None
    long_streams: bool = False
    store_fault: "StoreFault | None" = None
    compacted_s: float | None = None
    trials: tuple["Trial", ...] = ()

    @property
    def min_goes_on(self) -> float:
        """The least share of streams that go on over that of new ones.

        Only the instances behind a cut know of streams that began there.
        """
        return USERS_MIN_GOES_ON if self.zone_cut else MIN_GOES_ON

    seed: int = 0


class Network:
    """Delivers datagrams between registries; counts them."""

    def __init__(self, fleet: "Fleet"):
        self._fleet = fleet
        self.sent: collections.Counter[str] = collections.Counter()
        self.largest: collections.Counter[str] = collections.Counter()

    def send(self, message, sender: "Instance", to: fm.Member) -> None:
        kind = type(message).__name__
        data = fm.encode(message)
        self.sent[kind] += 1
        self.largest[kind] = max(self.largest[kind], len(data))
        if self._fleet.rng.random() < DATAGRAM_LOSS:
            return
        if self._fleet.are_apart(sender.zone, to.zone):
            return
        way_s = 0.02 if REGIONS[sender.zone] != REGIONS[to.zone] else 0.0005
        asyncio.get_running_loop().call_later(way_s, self._deliver, data, to)

    def _deliver(self, data: bytes, to: fm.Member) -> None:
        there = self._fleet.instances[to.name]
        if there.is_alive and there.mesh.roster is not None:
            for listener in there.mesh.listeners:
                listener(fm.decode(data))


class Records:
    """The store's records of versions."""

    def __init__(self, fault: StoreFault | None) -> None:
        self._fault = fault
        self.by_key: dict[str, store.KeyedRecord] = {}
        self.end = 0

    async def list_records(self) -> registrar.TopicList:
        return registrar.TopicList(dict(self.by_key), self.end)

    async def append(self, write: version_records.Write) -> store.AppendOutcome:
        await asyncio.sleep(STORE_ANSWERS_S)
        loop, fault = asyncio.get_running_loop(), self._fault
        if fault is None or not (
            fault.at_s <= loop.time() < fault.at_s + fault.for_s
        ):
            return self._append(write)
        match fault.what:
            case WriteFault.REFUSED:
                return store.NotDone("refused")
            case WriteFault.ANSWER_LOST:
                self._append(write)
            case WriteFault.LATE:
                loop.call_later(fault.late_s, self._append, write)
        return store.Unknown("no answer")

    def _append(self, write: version_records.Write) -> store.AppendOutcome:
        if write.at != self.end:
            return store.Conflict(self.end)
        self.by_key.pop(write.key, None)
        if write.value is not None:
            self.by_key[write.key] = store.KeyedRecord(
                write.key, write.value, self.end
            )
        self.end += 1
        return store.Appended(self.end - 1)


class _Mesh:
    """What the registry uses of a mesh."""

    def __init__(self, instance: "Instance", now_s: float):
        self._instance = instance
        self.me = instance.member
        self.roster = roster_lib.Roster(self.me, now_s)
        self.transport = self
        self.listeners = []
        self._number = 0

    def add_listener(self, listener) -> None:
        self.listeners.append(listener)

    def next_number(self) -> int:
        self._number += 1
        return self._number

    def send(self, message, to: fm.Member) -> None:
        self._instance.fleet.network.send(message, self._instance, to)

    def send_to_all(self, message, members) -> None:
        for member in members:
            self.send(message, member)


class Instance:
    """One start of an instance."""

    def __init__(self, number: int, incarnation: int, fleet: "Fleet"):
        now_s = asyncio.get_running_loop().time()
        self.fleet = fleet
        self.name = f"front-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.member = fm.Member(
            self.name, incarnation, self.zone, f"10.0.0.{number}:1", -1, -1
        )
        self.is_alive = True
        self.state = state_lib.State(
            msgspec.structs.replace(
                samples.INSTANCE, zone=self.zone, regions=REGIONS
            )
        )
        self.state.offer_configuration(CONFIGURATION)
        if incarnation == 1:
            self.state.versions.mark_complete()
        self.state.upstreams_read_s = now_s
        for engine in fleet.engines.values():
            self.state.directory.update_entry(engine)
        self.state.record_versions(now_s)
        self.mesh = _Mesh(self, now_s)
        self._read_offsets: set[int] = set()
        self.state.mark_upstreams_listed()
        recorded = version_records.read_records(
            fleet.records.by_key, registrar.wall_clock_ms()
        )
        self.state.upstreams_offset = len(fleet.log)
        if recorded.life_s > 0:
            since = fleet.log[max(0, recorded.upstreams) :]
            is_complete = recorded.upstreams >= fleet.log_first
            recorded = recorded.plus(
                [stream_origins.StreamOrigin(SERVICE, one) for one in since],
                is_complete,
            )
        self.state.restore_versions(recorded, now_s)
        self.registry = origin_registry.OriginRegistry(
            self.state, self.mesh, metrics_lib.Metrics()
        )
        recorder = version_recorder.VersionRecorder(
            self.state, fleet.records, self.registry, self._is_writer
        )
        self._running = [
            asyncio.create_task(one.run()) for one in (self.registry, recorder)
        ]

    def note_read(self, offset: int) -> None:
        """Takes note of an entry that was read, whose news may be early."""
        self._read_offsets.add(offset)
        while self.state.upstreams_offset in self._read_offsets:
            self.state.upstreams_offset += 1

    def _is_writer(self) -> bool:
        """Whether it is the first that is in touch with the store."""
        in_touch = [
            one.name
            for one in self.fleet.instances.values()
            if one.is_alive and not self.fleet.is_cut(one.zone)
        ]
        return self.name == min(in_touch, default="")

    def kill(self) -> None:
        self.is_alive = False
        for task in self._running:
            task.cancel()

    def choose(
        self, origin: stream_origins.StreamOrigin | None
    ) -> serving.Upstream | None:
        """Returns an engine that answers; the instance tries some in turn."""
        now_s = asyncio.get_running_loop().time()
        usable = [
            known
            for known in self.state.directory.usable(SERVICE, now_s)
            if origin is None or known.is_of(origin)
        ]
        self.fleet.rng.shuffle(usable)
        for known in usable[:MAX_TRIES]:
            if known.entry.instance_id in self.fleet.running:
                return known.entry
        return None


class Fleet:
    """All instances, engines and streams."""

    def __init__(self, case: Case):
        self.case = case
        self.rng = random.Random(case.seed)
        self.network = Network(self)
        self.records = Records(case.store_fault)
        self.engines: dict[str, serving.Upstream] = {}
        # The versions of all entries of the list of engines, by offset, and the
        # first offset that the store has kept.
        self.log: list[str] = []
        self.log_first = 0
        # Those that answer; an entry may outlive its engine.
        self.running: set[str] = set()
        self.instances: dict[str, Instance] = {}
        self.mixed = 0
        # By window and whether it is resumed, whether a stream was served.
        self.served: dict[tuple[int, bool], list[bool]] = {}
        self.why: collections.Counter[str] = collections.Counter()

    def is_cut(self, zone: str) -> bool:
        """Whether a zone is cut off from the store and the other zones."""
        if self.case.zone_cut is None or zone != CUT_ZONE:
            return False
        at_s, for_s = self.case.zone_cut
        return at_s <= asyncio.get_running_loop().time() < at_s + for_s

    def are_apart(self, zone: str, other_zone: str) -> bool:
        """Whether two zones can't exchange messages."""
        return zone != other_zone and (
            self.is_cut(zone) or self.is_cut(other_zone)
        )

    # -- engines -------------------------------------------------------

    def add_engine(self, version: str) -> str:
        name = (
            f"i-{len(self.engines) + 1000 * len(version)}-{self.rng.random()}"
        )
        self.engines[name] = serving.Upstream(
            name,
            SERVICE,
            "10.1.0.1:80",
            self.rng.choice(ZONES),
            64,
            False,
            1,
            version=version,
        )
        self.running.add(name)
        self._tell(self.engines[name])
        return name

    def _tell(self, entry: serving.Upstream) -> None:
        """Tells all instances of an entry, each after a time of its own."""
        loop = asyncio.get_running_loop()
        offset = len(self.log)
        self.log.append(entry.version)
        for name in self.instances:
            loop.call_later(
                self.rng.uniform(0, self.case.news_s),
                self._learn,
                name,
                entry,
                offset,
            )

    def _learn(self, name: str, entry: serving.Upstream, offset: int) -> None:
        instance = self.instances[name]
        if self.is_cut(instance.zone):
            asyncio.get_running_loop().call_later(
                NEWS_RETRY_S, self._learn, name, entry, offset
            )
            return
        instance.note_read(offset)
        state = instance.state
        now_s = asyncio.get_running_loop().time()
        state.upstreams_read_s = now_s
        if entry.instance_id in self.engines:
            state.directory.update_entry(entry)
        else:
            state.directory.lapsed(entry.instance_id, now_s)
        state.record_versions(now_s)

    def crash(self, name: str) -> None:
        self.running.discard(name)
        entry = self.engines.pop(name)
        asyncio.get_running_loop().call_later(1.5, self._tell, entry)

    async def replace_engines(self, at_s: float, version: str) -> None:
        """Replaces one engine after the other; most leave by crashing."""
        await asyncio.sleep(at_s)
        for name in sorted(self.engines)[: self.case.engines * 2 // 3]:
            if name not in self.running:
                continue
            self.add_engine(version)
            await asyncio.sleep(0.8)
            self.crash(name)
            await asyncio.sleep(1.2)

    async def try_version(self, trial: Trial) -> None:
        """Lets a version serve for a while; its entries go with it."""
        await asyncio.sleep(trial.at_s)
        names = [self.add_engine(trial.version) for _ in range(trial.engines)]
        await asyncio.sleep(trial.for_s)
        for name in names:
            if name in self.running:
                self.running.discard(name)
                self._tell(self.engines.pop(name))

    async def compact(self, at_s: float) -> None:
        """Forgets the log of the list of engines."""
        await asyncio.sleep(at_s)
        self.log_first = len(self.log)

    async def crash_engines(self) -> None:
        """Lets an engine crash now and then; another one starts for it."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / 3.0))
            name = self.rng.choice(sorted(self.running))
            version = self.engines[name].version
            self.crash(name)
            await asyncio.sleep(1.0)
            self.add_engine(version)

    # -- instances -----------------------------------------------------

    def start_instance(self, number: int, incarnation: int) -> None:
        instance = Instance(number, incarnation, self)
        self.instances[instance.name] = instance

    async def heartbeats(self) -> None:
        while True:
            now_s = asyncio.get_running_loop().time()
            living = [one for one in self.instances.values() if one.is_alive]
            for one in living:
                for other in living:
                    if not self.are_apart(one.zone, other.zone):
                        one.mesh.roster.on_heartbeat(other.member, now_s)
                if not self.is_cut(one.zone):
                    one.state.upstreams_read_s = now_s
            await asyncio.sleep(HEARTBEAT_S)

    async def kill_instances(self, at_s: float, share: float) -> None:
        """Kills instances at once; they start again a second later."""
        await asyncio.sleep(at_s)
        count = round(share * len(self.instances))
        chosen = self.rng.sample(sorted(self.instances), count)
        for name in chosen:
            self.instances[name].kill()
        await asyncio.sleep(1.0)
        for name in chosen:
            self.start_instance(
                int(name.rpartition("-")[2]),
                self.instances[name].member.incarnation + 1,
            )

    async def restart_in_turn(self, at_s: float) -> None:
        """Restarts all instances, each once the one before is back."""
        await asyncio.sleep(at_s)
        for name in sorted(self.instances):
            instance = self.instances[name]
            instance.kill()
            await asyncio.sleep(ROLL_GAP_S / 2)
            self.start_instance(
                int(name.rpartition("-")[2]), instance.member.incarnation + 1
            )
            await asyncio.sleep(ROLL_GAP_S / 2)

    async def _living(self) -> Instance:
        """Returns a live instance; waits for one if all are killed."""
        while True:
            living = [one for one in self.instances.values() if one.is_alive]
            if living:
                return self.rng.choice(living)
            await asyncio.sleep(CALLER_RETRY_S)

    # -- streams -------------------------------------------------------

    async def streams(self) -> None:
        number = 0
        await asyncio.sleep(FIRST_STREAM_S)
        while asyncio.get_running_loop().time() < END_S - LIFE_S / 5:
            await asyncio.sleep(self.rng.expovariate(self.case.streams_per_s))
            number += 1
            asyncio.create_task(self.stream(f"{self.case.seed}-{number}"))

    def _record(self, is_resumed: bool, is_served: bool) -> None:
        window = int(asyncio.get_running_loop().time() / WINDOW_S)
        self.served.setdefault((window, is_resumed), []).append(is_served)

    async def stream(self, attempt_id: str) -> None:
        """Serves one stream, with up to two resumptions by its caller."""
        instance = await self._living()
        engine = instance.choose(None)
        self._record(False, engine is not None)
        if engine is None:
            return
        origin = stream_origins.StreamOrigin(SERVICE, engine.version)
        instance.registry.record(HOST, attempt_id, origin, LIFE_S)
        versions = {engine.version}
        for tries in range(2):
            await self._until_broken(instance, engine)
            await asyncio.sleep(self.rng.uniform(0.02, 0.5))
            instance = await self._living()
            request = serving.Request(
                b"POST",
                b"/a/",
                HOST,
                (),
                b"",
                f"{attempt_id}-{tries}",
                None,
                "5",
                None,
                attempt_id if self.case.names_attempt else "",
            )
            lookup = await instance.registry.find(request, (SERVICE,), LIFE_S)
            if not instance.is_alive:
                return
            engine = None
            if lookup.origin is not None:
                engine = instance.choose(lookup.origin)
            if engine is not None:
                versions.add(engine.version)
                self.mixed += len(versions) > 1
            engines = sum(
                self.engines[name].version == origin.version
                for name in self.running
            )
            if engines < MIN_ENGINES:
                return
            source = lookup.source.partition("-")[0]
            self.why[source if engine is None else "goes on"] += 1
            self._record(True, engine is not None)
            if engine is None:
                return
            instance.registry.record(HOST, attempt_id, lookup.origin, LIFE_S)

    async def _until_broken(
        self, instance: Instance, engine: serving.Upstream
    ) -> None:
        """Waits until the stream's engine or instance fails, or for its end."""
        for _ in range(150 if self.case.long_streams else 30):
            await asyncio.sleep(0.1)
            if not instance.is_alive or engine.instance_id not in self.running:
                return

    # -- the whole -----------------------------------------------------

    async def run(self) -> None:
        for _ in range(self.case.engines):
            self.add_engine("v1")
        for number in range(self.case.instances):
            self.start_instance(number, 1)
        tasks = [
            self.heartbeats(),
            self.crash_engines(),
            self.streams(),
            *(self.replace_engines(*one) for one in self.case.releases),
            *(self.kill_instances(*one) for one in self.case.kills),
            *(self.try_version(one) for one in self.case.trials),
        ]
        if self.case.compacted_s is not None:
            tasks.append(self.compact(self.case.compacted_s))
        if self.case.rolls_at is not None:
            tasks.append(self.restart_in_turn(self.case.rolls_at))
        running = [asyncio.create_task(one) for one in tasks]
        await asyncio.sleep(END_S)
        for task in running:
            task.cancel()


def play(case: Case) -> Fleet:
    async def scenario() -> Fleet:
        fleet = Fleet(case)
        await fleet.run()
        return fleet

    with asyncio.Runner(
        loop_factory=virtual_time_loop.VirtualTimeLoop
    ) as runner:
        return runner.run(scenario())


def lowest_ratio(fleet: Fleet) -> float:
    """Returns the least share of streams that go on over that of new ones."""
    ratios = [1.0]
    for (window, is_resumed), resumed in fleet.served.items():
        began = fleet.served.get((window, False), [])
        if is_resumed and len(resumed) >= MIN_STREAMS and began:
            share = sum(began) / len(began)
            ratios.append(sum(resumed) / len(resumed) / max(share, 0.01))
    return min(ratios)


BACK = ((5.0, "v2"), (9.0, "v3"), (20.0, "v1"))
CASES = [
    Case(8),
    Case(8, releases=BACK, kills=((12.0, 0.25), (14.0, 0.25))),
    Case(8, releases=BACK, kills=((18.0, 0.5),), news_s=2.3, seed=3),
    Case(8, releases=BACK, rolls_at=10.0, long_streams=True, seed=4),
    Case(8, releases=((8.0, "v2"),), zone_cut=(7.0, 9.0), seed=2),
    Case(195, 40, 25.0, BACK, ((12.0, 0.3), (22.0, 0.3)), seed=1),
]


@pytest.mark.parametrize("case", CASES, ids=str)
def test_streams_go_on_at_their_version_while_the_fleet_changes(case):
    """Guards against streams of two versions, and refusals of known ones."""
    fleet = play(case)
    assert fleet.mixed == 0
    assert fleet.why
    assert lowest_ratio(fleet) >= case.min_goes_on


@pytest.mark.parametrize(
    ("releases", "goes_on"), [((), True), (((6.0, "v2"),), False)]
)
def test_streams_without_a_named_attempt(releases, goes_on):
    """Guards against a guess among two versions, and against none for one."""
    kills = ((9.0, 0.5), (12.0, 0.5), (15.0, 0.5))
    fleet = play(Case(8, releases=releases, kills=kills, names_attempt=False))
    assert fleet.mixed == 0
    assert (lowest_ratio(fleet) >= MIN_GOES_ON) is goes_on


ALL_KILLED = [
    Case(8, releases=(), kills=((14.0, 1.0),), long_streams=True),
    Case(8, releases=(), kills=((12.0, 1.0), (15.0, 1.0), (22.0, 1.0)), seed=1),
    Case(8, releases=(), kills=((12.0, 1.0),), names_attempt=False, seed=2),
    Case(87, 20, 25.0, (), ((14.0, 1.0),), seed=3),
]


@pytest.mark.parametrize("case", ALL_KILLED, ids=str)
def test_streams_of_the_only_version_outlive_all_instances(case):
    """Guards against streams that nobody can place after a common kill."""
    fleet = play(case)
    assert fleet.mixed == 0
    assert lowest_ratio(fleet) >= MIN_GOES_ON


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    "releases", [((6.0, "v2"),), ((12.5, "v2"),), BACK], ids=str
)
def test_no_stream_of_two_versions_after_all_instances_were_killed(
    releases, seed
):
    """Guards against the version that is left, taken for the only one."""
    kills = ((13.0, 1.0), (21.0, 1.0), (23.0, 1.0))
    fleet = play(Case(8, releases=releases, kills=kills, seed=seed))
    assert fleet.mixed == 0
    assert fleet.why


# All instances are killed at 13 s. A version that has left the list of engines
# when they are back is known by its record and by the list's log only.
ENDED_TRIALS = {
    "just before": Trial(12.0, 0.95, "v2"),
    "for long": Trial(6.0, 7.5, "v2"),
    "while all are dead": Trial(11.5, 2.0, "v2"),
    "from the last moment": Trial(12.9, 0.7, "v2"),
    "and another one stays": Trial(12.0, 1.5, "v3"),
}
STORE_FAULTS = {
    "none": None,
    **{one.value: StoreFault(11.0, 2.5, one) for one in WriteFault},
    "late by more than the restart": StoreFault(
        11.0, 2.5, WriteFault.LATE, 6.0
    ),
}


@pytest.mark.parametrize(
    ("trial", "fault", "compacted_s"),
    [
        *itertools.product(ENDED_TRIALS, STORE_FAULTS, (None,)),
        *itertools.product(ENDED_TRIALS, ("refused",), (13.5,)),
    ],
)
def test_no_stream_of_a_version_that_left_goes_on_at_another(
    trial, fault, compacted_s
):
    """Guards against streams joined from two versions after a common kill."""
    releases = ((8.0, "v2"),) if "another" in trial else ()
    fleet = play(
        Case(
            8,
            releases=releases,
            kills=((13.0, 1.0),),
            trials=(ENDED_TRIALS[trial],),
            store_fault=STORE_FAULTS[fault],
            compacted_s=compacted_s,
            long_streams=True,
            seed=int(10 * (compacted_s or 0)),
        )
    )
    assert fleet.mixed == 0
    assert fleet.why


@pytest.mark.parametrize("instances", [8, 87, 195])
def test_messages_of_a_stream_do_not_grow_with_the_fleet(instances):
    """Guards against records and questions that all instances get."""
    fleet = play(Case(instances, instances // 4, releases=()))
    streams = sum(
        len(served)
        for (_, is_resumed), served in fleet.served.items()
        if not is_resumed
    )
    resumed = sum(
        len(served)
        for (_, is_resumed), served in fleet.served.items()
        if is_resumed
    )
    sent = fleet.network.sent
    records = stream_origins.KEEPERS * (streams + resumed)
    assert sent["OriginRecord"] <= records
    assert sent["OriginQuery"] <= (
        origin_registry.ASK_ATTEMPTS * stream_origins.ASKED_KEEPERS * resumed
    )
    assert sent["OriginReply"] <= sent["OriginQuery"]
    assert fleet.network.largest["OriginRecord"] <= MAX_RECORD_BYTES


@pytest.mark.parametrize(
    ("life_s", "is_known"),
    [(LIFE_S, True), (float("nan"), False), (-1.0, False), (1e300, False)],
)
def test_an_origin_lives_no_longer_than_any_stream(life_s, is_known):
    """Guards against a peer whose origins stay until they are evicted."""

    async def scenario() -> int:
        fleet = Fleet(Case(2))
        for number in range(2):
            fleet.start_instance(number, 1)
        here, there = fleet.instances.values()
        key = stream_origins.stream_key(HOST, "1")
        origin = fm.Origin(key, SERVICE, "v1", life_s)
        message = fm.OriginRecord(there.member, 1, [origin])
        for listener in here.mesh.listeners:
            listener(fm.decode(fm.encode(message)))
        table = here.registry._table
        now_s = asyncio.get_running_loop().time()
        if is_known:
            return len(list(table.live(now_s)))
        return len(list(table.live(now_s + stream_origins.MAX_LIFE_S)))

    with asyncio.Runner(
        loop_factory=virtual_time_loop.VirtualTimeLoop
    ) as runner:
        assert runner.run(scenario()) == is_known


@pytest.mark.parametrize("records_meanwhile", [False, True])
def test_an_instance_that_restarts_is_told_of_the_streams_it_keeps(
    records_meanwhile,
):
    """Guards against keepers that are lost one after the other."""

    async def scenario() -> list[bool]:
        fleet = Fleet(Case(4))
        fleet.add_engine("v1")
        for number in range(4):
            fleet.start_instance(number, 1)
        beats = asyncio.create_task(fleet.heartbeats())
        await asyncio.sleep(FIRST_STREAM_S)
        first = fleet.instances["front-0"]
        origin = stream_origins.StreamOrigin(SERVICE, "v1")
        for number in range(50):
            first.registry.record(HOST, f"{number}", origin, LIFE_S)
        await asyncio.sleep(0.1)
        fleet.instances["front-1"].kill()
        fleet.start_instance(1, 2)
        for step in range(20):
            await asyncio.sleep(0.1)
            for one in fleet.instances.values() if records_meanwhile else ():
                key = f"{one.name}-{step}"
                one.registry.record(HOST, key, origin, LIFE_S)
        beats.cancel()
        table = fleet.instances["front-1"].registry._table
        now_s = asyncio.get_running_loop().time()
        return [
            table.find(stream_origins.stream_key(HOST, f"{n}"), now_s)
            is not None
            for n in range(50)
        ]

    with asyncio.Runner(
        loop_factory=virtual_time_loop.VirtualTimeLoop
    ) as runner:
        known = runner.run(scenario())
    # Of four instances the three others are all keepers; datagrams get lost.
    assert sum(known) > 45
