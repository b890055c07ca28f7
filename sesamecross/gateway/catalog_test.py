"""Tests of which configuration and upstream records are applied."""

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
from sesamecross.platform import catalog_test as wire_samples
from sesamecross.ports import store

POISON = b"poison"


def record(key, value, offset) -> store.KeyedRecord:
    return store.KeyedRecord(key, value, offset)


def encode(valid, **changes) -> bytes:
    return json.dumps(valid | changes).encode()


def make_sinks(state, wrap=lambda decode: decode) -> catalog.Catalog:
    return catalog.Catalog(
        catalog.ConfigurationSink(
            state, "config", wrap(decoders.decode_configuration)
        ),
        catalog.UpstreamSink(state, wrap(decoders.decode_upstream)),
    )


def raising_decoder(decode):
    """Returns a decoder that raises an unexpected exception on one value."""

    def raises(*arguments):
        if arguments[-1] == POISON:
            raise ZeroDivisionError("unexpected")
        return decode(*arguments)

    return raises


class _Store:
    """A topic that returns its records once, and then blocks."""

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


def run_follower(sink, records) -> _Store:
    """Lets a follower pass the records on; the follower must not fail."""

    async def scenario():
        backend = _Store(records)
        topic_follower = follower.Follower(
            backend, "topic", sink, random.Random(1)
        )
        task = asyncio.create_task(topic_follower.run())
        done = asyncio.create_task(backend.done.wait())
        await asyncio.wait([task, done], return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            task.result()
        task.cancel()
        return backend

    return asyncio.run(scenario())


def test_failing_configuration_keeps_the_one_in_force():
    """Guards against records on which a follower fails.

    Each such record failed the follower once. Records after it in the same page
    waited for a restart with growing backoff, and more than ten failures in
    half a minute ended the process with all of its callers' streams. A sink is
    the one place that knows which record failed, so it has to handle the
    exception.
    """
    state = state_lib.State(samples.INSTANCE)
    sink = make_sinks(state, raising_decoder).configuration
    records = [
        record("config", encode(wire_samples.CONFIGURATION, version=3), 0),
        record("config", POISON, 1),
        record("other", POISON, 2),
        record("config", None, 3),
    ]
    with structlog.testing.capture_logs() as lines:
        backend = run_follower(sink, records)
        assert state.version == 3
        assert state.routes.find("h.example", "/a/b") is not None
        # Applied again, as after a restart of the component.
        asyncio.run(_apply_records(sink, records))
    assert sink.end == len(records)
    assert backend.reads == 2
    logged = [line for line in lines if line.get("offset") == 1]
    assert len(logged) == 1
    assert logged[0]["exc_info"]
    later = encode(wire_samples.CONFIGURATION, version=4)
    asyncio.run(_apply_records(sink, [record("config", later, 4)]))
    assert state.version == 4


async def _apply_records(sink, records):
    for each in records:
        sink.on_record(each)


def test_failing_entry_affects_no_other_record():
    """Guards against an upstream entry that delays the entries after it.

    The follower failed on the entry and was restarted after a backoff.
    """
    state = state_lib.State(samples.INSTANCE)
    sink = make_sinks(state, raising_decoder).upstreams
    records = [
        record("u1", encode(wire_samples.UPSTREAM), 0),
        record("u1", POISON, 1),
        record("u2", POISON, 2),
        record("u3", encode(wire_samples.UPSTREAM), 3),
    ]
    with structlog.testing.capture_logs() as lines:
        run_follower(sink, records)
        asyncio.run(_apply_records(sink, records))
    usable = state.directory.usable("s", 0.0)
    assert [known.entry.instance_id for known in usable] == ["u1", "u3"]
    assert (state.has_upstream_list, state.upstreams_offset) == (True, 4)
    logged = [line["offset"] for line in lines if line.get("exc_info")]
    assert logged == [1, 2]


@pytest.mark.parametrize(
    "routes",
    [
        pytest.param([], id="none"),
        pytest.param([wire_samples.ROUTE, wire_samples.ROUTE], id="twice"),
        pytest.param([wire_samples.ROUTE | {"pathPrefix": ""}], id="no prefix"),
        pytest.param([wire_samples.ROUTE | {"pathPrefix": "a"}], id="no slash"),
        pytest.param([wire_samples.ROUTE | {"hostname": ""}], id="no host"),
        pytest.param([wire_samples.ROUTE | {"service": None}], id="no target"),
        pytest.param(
            [
                wire_samples.ROUTE
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
                wire_samples.ROUTE
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
def test_unusable_routes_fail_no_lookup(routes):
    """Guards against unusable routes that fail requests for other routes."""
    state = state_lib.State(samples.INSTANCE)
    sink = make_sinks(state).configuration
    value = encode(wire_samples.CONFIGURATION, routes=routes)
    asyncio.run(_apply_records(sink, [record("config", value, 1)]))
    assert state.version == 3
    for path in ("", "/", "/a/", "/a/b/c", "a", "/a/?x=/y/"):
        for host in ("", "h.example", "H.example:80", ":", "x:y"):
            route = state.routes.find(host, path)
            if route is not None:
                state.retry_budget(route).spend(1.0, None)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    configurations=st.lists(
        wire_samples.records(wire_samples.CONFIGURATION), max_size=6
    ),
    entries=st.lists(
        st.tuples(
            st.sampled_from(("u1", "u2", "")),
            st.one_of(st.none(), wire_samples.records(wire_samples.UPSTREAM)),
        ),
        max_size=8,
    ),
)
def test_no_record_stops_the_followers(configurations, entries):
    """Checks that the known state is served whatever the store holds."""
    state = state_lib.State(samples.INSTANCE)
    known = make_sinks(state)
    valid = encode(wire_samples.CONFIGURATION, version=1)
    values = [valid, *configurations]
    run_follower(
        known.configuration,
        [record("config", value, at) for at, value in enumerate(values)],
    )
    assert state.version >= 1
    assert known.configuration.end == len(values)
    state.routes.find("h.example", "/a/b")
    run_follower(
        known.upstreams,
        [record(key, value, at) for at, (key, value) in enumerate(entries)],
    )
    assert known.upstreams.end == len(entries)
    usable = state.directory.usable("s", 1e9)
    rng = random.Random(1)
    service_choice.choose(usable, state.location, 1e9, rng)
    for known in state.directory:
        state.directory.may_receive(known, 1e9)
    state.directory.remove_lapsed(1e9)


def test_failing_route_table_keeps_the_configuration_in_force(
    monkeypatch,
):
    """Guards against a version that counts as in force without its routes."""
    state = state_lib.State(samples.INSTANCE)
    sink = make_sinks(state).configuration
    valid = encode(wire_samples.CONFIGURATION, version=1)
    asyncio.run(_apply_records(sink, [record("config", valid, 0)]))

    def raises(routes):
        raise ZeroDivisionError("unexpected")

    with monkeypatch.context() as patched:
        patched.setattr(state_lib.route_table, "RouteTable", raises)
        later = encode(wire_samples.CONFIGURATION, version=2)
        asyncio.run(_apply_records(sink, [record("config", later, 1)]))
    assert state.version == 1
    assert state.routes.find("h.example", "/a/b") is not None
