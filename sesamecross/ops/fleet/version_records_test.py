"""Tests of the store's records of versions, over histories of a deployment."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import pytest

from sesamecross.core import serving
from sesamecross.ops.fleet import stream_origins
from sesamecross.ops.fleet import version_history
from sesamecross.ops.fleet import version_records
from sesamecross.ports import store

LIFE_S = 30.0
CURRENT_S = 2.0
WALL_MS = 1_000_000_000
V1, V2 = (stream_origins.StreamOrigin("s", version) for version in ("1", "2"))


def entry(origin: stream_origins.StreamOrigin) -> serving.Upstream:
    return serving.Upstream(
        f"i-{origin.version}",
        origin.service,
        "10.0.0.1:80",
        "z1",
        8,
        False,
        1,
        version=origin.version,
    )


# Which writes the store keeps back.
HELD = (
    (),
    (),
    version_records.DropVersion,
    (version_records.WriteVersion, version_records.WriteComplete),
)
MAX_STEPS = 20


class Topic:
    """The topic in the store."""

    def __init__(self) -> None:
        self.end = 0
        self.records: dict[str, store.KeyedRecord] = {}

    def append(self, write: version_records.Write) -> bool:
        if write.at != self.end:
            return False
        self.records.pop(write.key, None)
        if write.value is not None:
            self.records[write.key] = store.KeyedRecord(
                write.key, write.value, self.end
            )
        self.end += 1
        return True

    def read(self, now_s: float) -> version_records.RecordedVersions:
        return version_records.read_records(
            self.records, WALL_MS + int(now_s * 1000)
        )


class Instance:
    """One start of an instance, which may believe that it is the writer."""

    def __init__(self, topic: Topic) -> None:
        self.topic = topic
        self.history = version_history.VersionHistory()
        self.read_s = 0.0
        self.writer: version_records.VersionWriter | None = None
        self.served: frozenset[stream_origins.StreamOrigin] = frozenset()

    def start(self, served, now_s: float) -> None:
        self.read_news(served, served, now_s)
        recorded = self.topic.read(now_s)
        self.history.restore(recorded.offsets, recorded.life_s, now_s)

    def read_news(self, appeared, served, now_s: float) -> None:
        for origin in appeared:
            self.history.record_upstream(entry(origin), now_s)
        self.served = frozenset(served)
        self.read_s = now_s
        self.note(now_s)

    def note(self, now_s: float) -> None:
        self.history.record(map(entry, self.served), self.read_s, now_s)

    def next_action(self, now_s: float):
        if self.writer is None:
            self.writer = version_records.VersionWriter()
        self.note(now_s)
        observed = version_records.Observed(
            self.served,
            self.history.seen_of_all(LIFE_S, now_s),
            LIFE_S,
            self.history.is_complete(LIFE_S, now_s)
            and now_s - self.read_s <= CURRENT_S,
        )
        wall_ms = WALL_MS + int(now_s * 1000)
        return self.writer.next_action(observed, now_s, wall_ms)

    def list_topic(self, now_s: float) -> None:
        new = self.writer.on_listed(self.topic.read(now_s), self.topic.end)
        self.history.record_origins(new, now_s)

    def step(self, now_s: float, late: list | None = None) -> bool:
        """Acts once; a write may be kept back by the store, in `late`."""
        action = self.next_action(now_s)
        match action:
            case None:
                return False
            case version_records.ReadTopic():
                self.list_topic(now_s)
            case _ if late is not None:
                late.append(action)
                self.writer.on_not_written()
            case _ if self.topic.append(action):
                self.writer.on_written(action, action.at, now_s)
            case _:
                self.writer.on_not_written()
        return True


class Deployment(stateful.RuleBasedStateMachine):
    """Versions come and go; both instances may write; writes arrive late.

    A version leaves only after something was written since it appeared, and
    with its record there: the bound that the design states.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.topic = Topic()
        # By version, the topic's end when it appeared.
        self.served: dict[stream_origins.StreamOrigin, int] = {V1: -1}
        self.last_served_s: dict[stream_origins.StreamOrigin, float] = {}
        self.late: list[version_records.Write] = []
        self.instances = [Instance(self.topic) for _ in range(2)]
        # What each has not read yet.
        self.unread = [set(), set()]
        for one in self.instances:
            one.read_news(self.served, self.served, 0.0)
            one.history.mark_complete()

    def _advance(self, seconds: float) -> None:
        self.now_s += seconds
        for origin in self.served:
            self.last_served_s[origin] = self.now_s

    @stateful.rule(
        seconds=st.sampled_from([0.1, 1.0, 12.0, 31.0]),
        reads=st.sampled_from(
            [(True, True), (True, True), (True, False), (False, True)]
        ),
    )
    def time_passes(self, seconds, reads):
        # Those that read do so every second.
        while seconds > 0:
            self._advance(min(seconds, 1.0))
            seconds -= 1.0
            for number, is_reading in enumerate(reads):
                if is_reading:
                    self._read(number)

    def _read(self, number: int) -> None:
        one = self.instances[number]
        one.read_news(self.unread[number], self.served, self.now_s)
        self.unread[number] = set()

    @stateful.rule(origin=st.sampled_from([V1, V2, V2, V2]))
    def a_version_comes_or_goes(self, origin):
        if origin not in self.served:
            self.served[origin] = self.topic.end
            for unread in self.unread:
                unread.add(origin)
            self._advance(0.0)
            return
        is_recorded = version_records.version_key(origin) in self.topic.records
        if is_recorded and self.topic.end > self.served[origin]:
            self._advance(0.0)
            del self.served[origin]

    @stateful.rule(number=st.integers(0, 1), held=st.sampled_from(HELD))
    def an_instance_writes(self, number, held):
        one = self.instances[number]
        for _ in range(MAX_STEPS):
            action = one.next_action(self.now_s)
            late = self.late if isinstance(action, held) else None
            if not one.step(self.now_s, late) or late is not None:
                break

    @stateful.rule(
        number=st.integers(0, 1), is_restart=st.sampled_from([False, True])
    )
    def a_term_ends(self, number, is_restart):
        self.instances[number].writer = None
        if is_restart:
            one = self.instances[number] = Instance(self.topic)
            one.start(self.served, self.now_s)
            self.unread[number] = set()

    @stateful.rule()
    def a_late_write_arrives(self):
        if self.late:
            self.topic.append(self.late.pop(0))

    @stateful.invariant()
    def one_that_starts_knows_all_that_served(self):
        recorded = self.topic.read(self.now_s)
        known = {*recorded.offsets, *self.served}
        for origin, at_s in self.last_served_s.items():
            if self.now_s - at_s < recorded.life_s:
                assert origin in known


TestDeployment = Deployment.TestCase
TestDeployment.settings = settings(
    max_examples=150,
    stateful_step_count=100,
    deadline=None,
    derandomize=True,
)


def run_writer(instance: Instance, now_s: float) -> None:
    while instance.step(now_s):
        pass


def new_instance(topic: Topic, *served) -> Instance:
    """Returns the first instance of a new deployment."""
    instance = Instance(topic)
    instance.read_news(served, served, 0.0)
    instance.history.mark_complete()
    return instance


def test_all_versions_are_recorded_with_one_write_each():
    """Guards against writes that grow with time instead of versions."""
    topic = Topic()
    instance = new_instance(topic, V1, V2)
    for step in range(100):
        instance.read_news((), (V1, V2), step * 0.1)
        run_writer(instance, step * 0.1)
    assert topic.read(10.0) == version_records.RecordedVersions(
        {V1: 0, V2: 1}, LIFE_S
    )
    renewals = int(9.9 / version_records.RENEWAL_INTERVAL_S)
    assert topic.end == 3 + renewals


def test_a_version_is_dropped_once_none_of_its_streams_can_live():
    """Guards against refusals because of a version that left long ago."""
    topic = Topic()
    instance = new_instance(topic, V1, V2)
    known = {}
    for second in range(80):
        served = (V1, V2) if second < 10 else (V2,)
        instance.read_news((), served, float(second))
        run_writer(instance, float(second))
        known[second] = set(topic.read(float(second)).offsets)
    assert known[39] == {V1, V2}
    assert known[45] == {V2}


def test_a_version_is_recorded_though_writes_are_refused_at_first():
    """Guards against a version that a refused write has left out."""
    topic = Topic()
    instance = new_instance(topic, V1)
    refused = []
    for _ in range(4):
        instance.step(0.0, refused)
    assert refused
    assert topic.end == 0
    run_writer(instance, 0.1)
    assert set(topic.read(0.1).offsets) == {V1}


def test_an_instance_without_a_complete_history_claims_none():
    """Guards against a claim by an instance that has just started.

    Earlier software kept no records: what served before is not known.
    """
    topic = Topic()
    instance = Instance(topic)
    instance.start((V1,), 0.0)
    lives = {}
    for second in range(40):
        instance.read_news((), (V1,), float(second))
        run_writer(instance, float(second))
        lives[second] = topic.read(float(second)).life_s
    assert lives[29] == 0.0
    assert lives[31] == LIFE_S


def test_a_late_drop_does_not_remove_a_version_that_is_back():
    """Guards against an old write that arrives after the version's return."""
    topic = Topic()
    instance = new_instance(topic, V1, V2)
    run_writer(instance, 0.0)
    drops = []
    for second in range(50):
        now_s = float(second)
        instance.read_news((), (V1,), now_s)
        while not drops and (action := instance.next_action(now_s)):
            is_drop = isinstance(action, version_records.DropVersion)
            instance.step(now_s, drops if is_drop else None)
    assert [one.origin for one in drops] == [V2]
    instance.read_news((V2,), (V1, V2), 50.0)
    run_writer(instance, 50.0)
    assert not topic.append(drops.pop())
    assert V2 in topic.read(50.0).offsets


def complete(**changes) -> bytes:
    return msgspec.msgpack.encode(
        {"life_s": LIFE_S, "written_ms": WALL_MS} | changes
    )


VERSION = version_records.WriteVersion(V1, 0)


@pytest.mark.parametrize(
    ("record", "life_s"),
    [
        pytest.param(complete(), LIFE_S, id="complete"),
        pytest.param(None, 0.0, id="software that keeps none"),
        pytest.param(b"\xc1", 0.0, id="unreadable"),
        pytest.param(complete(life_s=float("nan")), 0.0, id="nan"),
        pytest.param(complete(life_s=-1.0), 0.0, id="negative"),
        pytest.param(
            complete(life_s=1e9), stream_origins.MAX_LIFE_S, id="too long"
        ),
        pytest.param(
            complete(written_ms=WALL_MS - 60_000), LIFE_S, id="a minute old"
        ),
        pytest.param(
            complete(written_ms=WALL_MS - 120_000), 0.0, id="not renewed"
        ),
        pytest.param(
            complete(written_ms=WALL_MS + 5_000), LIFE_S, id="clocks differ"
        ),
    ],
)
def test_records_count_as_complete_only_if_they_say_so(record, life_s):
    """Guards against a claim that is damaged, or that nobody has kept up."""
    records = {VERSION.key: VERSION.value}
    if record is not None:
        records[version_records.COMPLETE_KEY] = record
    read = version_records.read_records(
        {
            key: store.KeyedRecord(key, value, offset)
            for offset, (key, value) in enumerate(records.items())
        },
        WALL_MS,
    )
    assert read == version_records.RecordedVersions({V1: 0}, life_s)


def test_a_version_that_can_not_be_read_makes_the_records_incomplete():
    """Guards against a damaged record that hides a version."""
    records = {
        version_records.COMPLETE_KEY: complete(),
        f"{version_records.VERSION_PREFIX}x": b"\xc1",
    }
    read = version_records.read_records(
        {key: store.KeyedRecord(key, v, 0) for key, v in records.items()},
        WALL_MS,
    )
    assert read.life_s == 0.0


def test_completeness_is_listed_before_the_versions():
    """Guards against a claim that is younger than the versions read with it.

    Pages of a list are no snapshot, and are in the order of the keys.
    """
    assert version_records.COMPLETE_KEY < version_records.VERSION_PREFIX
    long_name = msgspec.structs.replace(V1, service="x" * 1000)
    assert len(version_records.version_key(long_name)) < 255
