"""Tests of an instance that has read less than its peers."""

import asyncio
import random
import types

import pytest

from sesamecross.core import codec
from sesamecross.core import fleet_messages as fm
from sesamecross.fakes import samples
from sesamecross.fakes import simulated_store
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import catalog as catalog_lib
from sesamecross.gateway import follower
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import store_client
from sesamecross.gateway import sync
from sesamecross.ops.fleet import roster as roster_lib
from sesamecross.ops.fleet import store_polling
from sesamecross.ports import store
from sesamecross.transport import streams

CALL_S = 0.01
# When a peer reads a record that this instance should have read as well.
PEER_READ_S = 6.0
END_S = 30.0
# What an instance may spend on control, and the upstreams of a deployment of
# 195 instances.
CONTROL_BYTES_PER_S = 11_000
UPSTREAMS = 84


def member(name: str, upstreams: int) -> fm.Member:
    return fm.Member(name, 1, "z1", "10.0.0.1:7380", -1, upstreams)


class _Mesh:
    """Knows one peer; this instance reads the store itself."""

    def __init__(self) -> None:
        self.roster = roster_lib.Roster(member("me", -1), 0.0)

    def should_read_store(self) -> bool:
        return True


def _read_times_s(
    silence: tuple[float, float], peer_read_s: float
) -> list[float]:
    """Returns when an instance began reads of the store."""
    loop = virtual_time_loop.VirtualTimeLoop()
    state, mesh, backend = (
        state_lib.State(samples.INSTANCE),
        _Mesh(),
        simulated_store.SimulatedStore(
            {"upstreams": []},
            (simulated_store.Silence(*silence),),
            CALL_S,
        ),
    )
    catalog = catalog_lib.Catalog(
        catalog_lib.ConfigurationSink(state, "config", lambda value: None),
        catalog_lib.UpstreamSink(state, lambda key, value: None),
    )
    upstreams, configurations = (
        follower.Follower(
            backend,
            topic,
            sink,
            random.Random(1),
            poll_s=lambda: store_polling.MEMBER_POLL_S,
        )
        for topic, sink in (
            ("upstreams", catalog.upstreams),
            ("configurations", catalog.configuration),
        )
    )
    puller = sync.SyncPuller(mesh, state, catalog, configurations, upstreams)

    async def answer(source: fm.Member, ask: sync.SyncAsk) -> sync.SyncAnswer:
        return sync.SyncAnswer((), -1, (), source.upstreams)

    puller._request = answer

    async def scenario() -> None:
        tasks = [
            loop.create_task(upstreams.run()),
            loop.create_task(puller.run()),
        ]
        while loop.time() < END_S:
            offset = 0 if loop.time() < peer_read_s else 1
            mesh.roster.on_heartbeat(member("peer", offset), loop.time())
            await asyncio.sleep(0.1)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0)

    loop.run_until_complete(scenario())
    return backend.read_times_s


@pytest.mark.parametrize("silence", [(0.05, 0.5), (0.05, 5.0)])
def test_a_read_that_missed_what_peers_have_read_is_replaced(silence):
    """Guards against a hub that learns of each leaving upstream a second late.

    It had been a member until its hub was gone, and its read, sent while the
    store was silent, was waited for 26 s.
    """
    _, again_s, *_ = _read_times_s(silence, PEER_READ_S)
    max_delay_s = store_polling.READER_FETCH_DELAY_S + 0.5
    assert PEER_READ_S < again_s < PEER_READ_S + max_delay_s


def test_a_read_is_left_alone_while_no_peer_has_read_more():
    times_s = _read_times_s((0.05, 0.5), END_S)
    timeout_s = store_polling.MEMBER_POLL_S + store_client.LONG_POLL_MARGIN_S
    assert times_s[1] - times_s[0] >= timeout_s


@pytest.mark.parametrize("missing", [0, 3])
def test_fetching_renewed_upstreams_takes_little_of_a_link(missing):
    """Guards against a hub whose link is filled by known entries.

    Upstreams renew their entries each second. Members got each entry whole.
    """
    state = state_lib.State(samples.INSTANCE)
    catalog = catalog_lib.Catalog(
        catalog_lib.ConfigurationSink(state, "config", lambda value: None),
        catalog_lib.UpstreamSink(state, lambda key, value: None),
    )
    server = sync.SyncServer(_Mesh(), state, catalog, None, "", None)
    for round_number in range(2):
        for number in range(UPSTREAMS):
            offset = round_number * UPSTREAMS + number
            key = f"i-{number * 2654435761 % 2**40:010x}"
            is_changed = round_number and number < missing
            value = (b"y" if is_changed else b"x") * 400
            catalog.upstreams.on_record(store.KeyedRecord(key, value, offset))
        catalog.upstreams.raw.advance_end((round_number + 1) * UPSTREAMS)
    answer = server._answer(sync.SyncAsk(-1, UPSTREAMS, True))
    assert len(answer.upstreams) == missing
    assert len(answer.renewals) == UPSTREAMS - missing
    bytes_per_s = len(codec.encode(answer)) / store_polling.READ_INTERVAL_S
    assert bytes_per_s < CONTROL_BYTES_PER_S / 2


@pytest.mark.parametrize(
    ("plain", "message"),
    [
        (
            ["SyncAsk", {"configuration": 1, "upstreams_end": 2}],
            sync.SyncAsk(1, 2, False),
        ),
        (
            [
                "SyncAnswer",
                {
                    "configuration": [],
                    "configuration_end": 1,
                    "upstreams": [],
                    "upstreams_end": 2,
                },
            ],
            sync.SyncAnswer((), 1, (), 2),
        ),
        (
            ["SyncAsk", {"configuration": 1, "upstreams_end": 2, "later": 3}],
            sync.SyncAsk(1, 2),
        ),
    ],
    ids=["older ask", "older answer", "later ask"],
)
def test_builds_with_fewer_and_more_fields_understand_each_other(
    plain, message
):
    """Guards against instances that fetch nothing while builds are mixed."""
    assert codec.from_plain(plain).unwrap() == message


def test_a_source_that_refuses_is_not_asked_again_while_another_is_ahead():
    """Guards against a leave that is learned late from a hub that is dead."""
    loop = virtual_time_loop.VirtualTimeLoop()
    state = state_lib.State(samples.INSTANCE)
    state.upstreams_offset = 10
    mesh = _Mesh()
    near = fm.Member("hub", 1, "z1", "10.0.0.2:7380", -1, 20)
    far = fm.Member("other", 1, "z2", "10.0.0.3:7380", -1, 20)
    for one in (near, far):
        mesh.roster.on_heartbeat(one, 0.0)
    unused = types.SimpleNamespace(replace_read=lambda: None)
    puller = sync.SyncPuller(mesh, state, None, unused, unused)
    asked = []

    async def refuse(source: fm.Member, _ask: sync.SyncAsk) -> sync.SyncAnswer:
        asked.append(source.name)
        raise streams.StreamRefusedError("refused")

    puller._request = refuse
    for _ in range(2):
        loop.run_until_complete(puller._pull(puller._best_source(loop.time())))
    loop.close()
    assert asked == ["hub", "other"]


def test_only_sources_that_failed_just_now_are_remembered():
    """Guards against names that are kept for the process's life."""
    loop = virtual_time_loop.VirtualTimeLoop()
    mesh = _Mesh()
    unused = types.SimpleNamespace(replace_read=lambda: None)
    state = state_lib.State(samples.INSTANCE)
    puller = sync.SyncPuller(mesh, state, None, unused, unused)

    async def refuse(*_: object) -> sync.SyncAnswer:
        raise streams.StreamRefusedError("refused")

    async def scenario() -> None:
        for number in range(100):
            await puller._pull(member(f"front-{number}", 20))
            await asyncio.sleep(sync.AVOID_S / 4)

    puller._request = refuse
    loop.run_until_complete(scenario())
    loop.close()
    assert len(puller._avoided_until_s) <= 5


def test_an_upstream_that_left_is_learned_from_a_peer_that_has_just_started():
    """Guards against an entry that is kept as its deletion was never listed."""
    loop = virtual_time_loop.VirtualTimeLoop()

    async def scenario() -> set[str]:
        catalogs = []
        for _ in range(2):
            state = state_lib.State(samples.INSTANCE)
            catalogs.append(
                catalog_lib.Catalog(
                    catalog_lib.ConfigurationSink(state, "config", lambda _: 0),
                    catalog_lib.UpstreamSink(state, lambda *_: None),
                )
            )
        behind, started = catalogs
        for key, offset in (("left", 0), ("stays", 1)):
            behind.upstreams.on_record(store.KeyedRecord(key, b"x", offset))
        behind.upstreams.on_progress(2)
        # `left` was deleted at offset 2; a list has no deleted keys.
        started.upstreams.on_record(store.KeyedRecord("stays", b"x", 1))
        started.upstreams.on_listed({"stays"}, 3)
        started.upstreams.on_progress(3)
        state = state_lib.State(samples.INSTANCE)
        server = sync.SyncServer(_Mesh(), state, started, None, "", None)
        unused = types.SimpleNamespace(replace_read=lambda: None)
        puller = sync.SyncPuller(_Mesh(), state, behind, unused, unused)
        answer = server._answer(sync.SyncAsk(-1, 2, True))
        puller._apply(answer, puller._received_upstreams(answer))
        assert behind.upstreams.raw.end == 3
        return behind.upstreams.raw.keys()

    assert loop.run_until_complete(scenario()) == {"stays"}
    loop.close()
