"""Tests of what an instance believes of streams that nobody can place."""

import asyncio

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import origin_registry
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import roster as roster_lib
from sesamecross.runtime import metrics as metrics_lib

SERVICE = "s"
LIFE_S = 30.0
OWN = fm.Member("front-0", 1, "a1", "10.0.0.1:1", -1, -1)
PEERS = [
    fm.Member(f"front-{number}", 1, zone, f"10.0.0.{number + 1}:1", -1, -1)
    for number, zone in enumerate(("a2", "b1", "a1", "a2", "b1"), start=1)
]


class _Mesh:
    """A mesh of which some peers answer that they have seen one version."""

    def __init__(self, now_s: float, answering: tuple[str, ...]):
        self.me = OWN
        self.roster = roster_lib.Roster(OWN, now_s)
        self.roster.on_heartbeats(PEERS, now_s)
        self.transport = self
        self._answering = answering
        self._listener = None

    def add_listener(self, listener) -> None:
        self._listener = listener

    def next_number(self) -> int:
        return 1

    def send_to_all(self, message, members) -> None:
        for member in members:
            if member.name in self._answering:
                reply = fm.OriginReply(
                    member,
                    message.number,
                    False,
                    seen=[fm.SeenVersions(SERVICE, ["v1"], True)],
                )
                asyncio.get_running_loop().call_soon(self._listener, reply)


async def _find(
    answering: tuple[str, ...], alone: bool
) -> origin_registry.Lookup:
    now_s = asyncio.get_running_loop().time()
    state = state_lib.State(samples.INSTANCE)
    state.versions.mark_complete()
    state.upstreams_read_s = now_s
    engine = serving.Upstream(
        "e1", SERVICE, "10.1.0.1:1", "a1", 8, False, 1, version="v1"
    )
    state.versions.record_upstream(engine, now_s)
    mesh = _Mesh(now_s, answering)
    if alone:
        mesh.roster = roster_lib.Roster(OWN, now_s)
    registry = origin_registry.OriginRegistry(
        state, mesh, metrics_lib.Metrics()
    )
    request = serving.Request(
        b"POST", b"/a/", "a.example", (), b"", "r1", None, "5", None, "r0"
    )
    return await registry.find(request, (SERVICE,), LIFE_S)


@pytest.mark.parametrize(
    ("answering", "alone", "expected"),
    [
        pytest.param((), False, None, id="cut off or just woken"),
        pytest.param(("front-3",), False, None, id="cut off with its zone"),
        pytest.param(("front-2",), False, "v1", id="in touch"),
        pytest.param((), True, "v1", id="the only instance"),
    ],
)
def test_an_instance_out_of_touch_takes_no_version_for_the_only_one(
    answering, alone, expected
):
    """Guards against a stream that goes on at another version.

    Its news of upstreams are read within the last seconds, and upstreams of
    another version have joined since.
    """
    with asyncio.Runner(
        loop_factory=virtual_time_loop.VirtualTimeLoop
    ) as runner:
        lookup = runner.run(_find(answering, alone))
    version = lookup.origin.version if lookup.origin else None
    assert version == expected
