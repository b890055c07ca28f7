"""Tests of records that come into force, and of those that must not."""

import asyncio
import json
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
import structlog

from sesamecross.fakes import samples
from sesamecross.gateway import catalog
from sesamecross.gateway import follower
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import service_choice
from sesamecross.platform import catalog as decoders
from sesamecross.platform import catalog_test as damage
from sesamecross.ports import store

POISON = b"poison"


def record(key, value, offset) -> store.KeyedRecord:
    return store.KeyedRecord(key, value, offset)


def encoded(sound, **changes) -> bytes:
    return json.dumps(sound | changes).encode()


def sinks(state, wrap=lambda decode: decode) -> catalog.Catalog:
    return catalog.Catalog(
        catalog.ConfigurationSink(
            state, "config", wrap(decoders.configuration)
        ),
        catalog.UpstreamSink(state, wrap(decoders.upstream)),
    )


def failing(decode):
    """Returns a decoder that fails on one value in a way nobody expects."""

    def fails(*arguments):
        if arguments[-1] == POISON:
            raise ZeroDivisionError("nobody thought of this")
        return decode(*arguments)

    return fails


class _Store:
    """A topic that is read once, and then brings nothing."""

    def __init__(self, records):
        self.records = records
        self.reads = 0
        self.done = asyncio.Event()

    async def newest(self, topic, after):
        return store.NewestPage((), False, 0)

    async def read(self, topic, offset, wait_s):
        self.reads += 1
        if offset >= len(self.records):
            self.done.set()
            await asyncio.Event().wait()
        return store.Page(tuple(self.records[offset:]), len(self.records))


def followed(sink, records) -> _Store:
    """Lets a follower hand the records over; it must not fail."""

    async def play():
        backend = _Store(records)
        one = follower.Follower(backend, "topic", sink, random.Random(1))
        task = asyncio.create_task(one.run())
        done = asyncio.create_task(backend.done.wait())
        await asyncio.wait([task, done], return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            task.result()
        task.cancel()
        return backend

    return asyncio.run(play())


def test_a_poison_configuration_leaves_the_one_in_force():
    """A dozen records that no code was made for ended an instance.

    Each failed the follower once. What came behind it in the same page waited
    for a restart with growing pauses, and more than ten of them in half a
    minute took the process down, with all streams of its callers. A sink is
    the one place that knows which record it is, so it has to stand it.
    """
    state = state_lib.State(samples.INSTANCE)
    sink = sinks(state, failing).configuration
    records = [
        record("config", encoded(damage.CONFIGURATION, version=3), 0),
        record("config", POISON, 1),
        record("other", POISON, 2),
        record("config", None, 3),
    ]
    with structlog.testing.capture_logs() as lines:
        backend = followed(sink, records)
        assert state.version == 3
        assert state.routes.find("h.example", "/a/b") is not None
        # Read again, as after a restart of the component.
        asyncio.run(_take_again(sink, records))
    assert sink.end == len(records)
    assert backend.reads == 2
    told = [line for line in lines if line.get("offset") == 1]
    assert len(told) == 1
    assert told[0]["exc_info"]
    later = encoded(damage.CONFIGURATION, version=4)
    asyncio.run(_take_again(sink, [record("config", later, 4)]))
    assert state.version == 4


async def _take_again(sink, records):
    for one in records:
        sink.on_record(one)


def test_a_poison_entry_leaves_the_other_upstreams_and_its_own_entry():
    """Upstreams behind one odd entry were not heard of for a while.

    The follower failed on the entry and was started again after a pause.
    """
    state = state_lib.State(samples.INSTANCE)
    sink = sinks(state, failing).upstreams
    records = [
        record("u1", encoded(damage.UPSTREAM), 0),
        record("u1", POISON, 1),
        record("u2", POISON, 2),
        record("u3", encoded(damage.UPSTREAM), 3),
    ]
    with structlog.testing.capture_logs() as lines:
        followed(sink, records)
        asyncio.run(_take_again(sink, records))
    usable = state.directory.usable("s", 0.0)
    assert [one.entry.instance_id for one in usable] == ["u1", "u3"]
    assert (state.has_upstream_list, state.upstreams_offset) == (True, 4)
    told = [line["offset"] for line in lines if line.get("exc_info")]
    assert told == [1, 2]


@pytest.mark.parametrize(
    "routes",
    [
        pytest.param([], id="none"),
        pytest.param([damage.ROUTE, damage.ROUTE], id="twice"),
        pytest.param([damage.ROUTE | {"pathPrefix": ""}], id="no prefix"),
        pytest.param([damage.ROUTE | {"pathPrefix": "a"}], id="no slash"),
        pytest.param([damage.ROUTE | {"hostname": ""}], id="no host"),
        pytest.param([damage.ROUTE | {"service": None}], id="no target"),
        pytest.param(
            [
                damage.ROUTE
                | {
                    "service": None,
                    "trafficSplit": [
                        {"service": "s", "weight": 0},
                        {"service": "t", "weight": -1},
                    ],
                }
            ],
            id="weights of zero",
        ),
        pytest.param(
            [
                damage.ROUTE
                | {
                    "trafficSplit": [
                        {"service": "s", "weight": 1e308},
                        {"service": "t", "weight": 1e308},
                    ]
                }
            ],
            id="weights that add up to no number",
        ),
    ],
)
def test_odd_routes_fail_no_lookup(routes):
    """A route that can't be used must not fail the requests of others."""
    state = state_lib.State(samples.INSTANCE)
    sink = sinks(state).configuration
    value = encoded(damage.CONFIGURATION, routes=routes)
    asyncio.run(_take_again(sink, [record("config", value, 1)]))
    assert state.version == 3
    for path in ("", "/", "/a/", "/a/b/c", "a", "/a/?x=/y/"):
        for host in ("", "h.example", "H.example:80", ":", "x:y"):
            route = state.routes.find(host, path)
            if route is not None:
                state.retry_budget(route).spend(1.0, None)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    configurations=st.lists(damage.records(damage.CONFIGURATION), max_size=6),
    entries=st.lists(
        st.tuples(
            st.sampled_from(("u1", "u2", "")),
            st.one_of(st.none(), damage.records(damage.UPSTREAM)),
        ),
        max_size=8,
    ),
)
def test_no_record_stops_the_followers(configurations, entries):
    """Whatever stands in the store, instances serve what they knew."""
    state = state_lib.State(samples.INSTANCE)
    known = sinks(state)
    sound = encoded(damage.CONFIGURATION, version=1)
    values = [sound, *configurations]
    followed(
        known.configuration,
        [record("config", one, at) for at, one in enumerate(values)],
    )
    assert state.version >= 1
    assert known.configuration.end == len(values)
    state.routes.find("h.example", "/a/b")
    followed(
        known.upstreams,
        [record(key, value, at) for at, (key, value) in enumerate(entries)],
    )
    assert known.upstreams.end == len(entries)
    usable = state.directory.usable("s", 1e9)
    rng = random.Random(1)
    service_choice.choose(usable, state.location, 1e9, rng)
    state.directory.usable_while_leaving("s", 1.0, 1e9)
    state.directory.remove_lapsed(1e9)


def test_a_table_of_routes_that_fails_leaves_the_configuration_in_force(
    monkeypatch,
):
    """A version counted as in force whose routes were not."""
    state = state_lib.State(samples.INSTANCE)
    sink = sinks(state).configuration
    sound = encoded(damage.CONFIGURATION, version=1)
    asyncio.run(_take_again(sink, [record("config", sound, 0)]))

    def fails(routes):
        raise ZeroDivisionError("nobody thought of this")

    with monkeypatch.context() as patched:
        patched.setattr(state_lib.route_table, "RouteTable", fails)
        later = encoded(damage.CONFIGURATION, version=2)
        asyncio.run(_take_again(sink, [record("config", later, 1)]))
    assert state.version == 1
    assert state.routes.find("h.example", "/a/b") is not None
