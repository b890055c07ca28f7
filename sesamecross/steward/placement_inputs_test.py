"""Tests of what a steward plans with, when its news differ in age."""

import types

import pytest

from sesamecross.core import clock as clock_lib
from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.core import records
from sesamecross.ops import gossip
from sesamecross.ops import intents
from sesamecross.ops import placement
from sesamecross.ops import replay
from sesamecross.ops import timeline
from sesamecross.steward import engine_poller
from sesamecross.steward import placement_controller

ORDER = data.Order("o1", "e1", "ep", data.OrderAction.LOAD_MODEL, "m", "1", 60)
RESOLVED_MS = 1000


def declarations():
    """Returns two zones with an engine each, and a model that must stay."""
    return data.Declarations(
        {"r": data.Region("r")},
        {zone: data.Zone(zone, "r") for zone in ("z1", "z2")},
        {
            name: data.Upstream(
                name, data.UpstreamKind.ENGINE, zone, "http://1.1.1.1:1", 100
            )
            for name, zone in (("e1", "z1"), ("e2", "z2"))
        },
        {"p": data.Promise("p")},
        {"m": data.Model("m", 60, "p", "1", True, 1)},
        {},
        {},
        {},
    )


class Steward:
    """The planning part of the steward of a zone."""

    def __init__(self, zone):
        me = data.Member(data.Incarnation("s", "x"), zone, "r", "127.0.0.1:1")
        self.store = gossip.ItemStore(zone)
        state = types.SimpleNamespace(
            config=types.SimpleNamespace(declarations=declarations()),
            intents=intents.IntentState(),
            draining=(),
        )
        self._listeners = []
        clock = clock_lib.SystemClock()
        recorder = timeline.Recorder("s", zone, clock)
        replica = types.SimpleNamespace(
            state=state, add_listener=self._listeners.append
        )
        self.controller = placement_controller.PlacementController(
            me,
            replica,
            None,
            None,
            None,
            engine_poller.EnginePoller(
                me, replica, self.store, None, None, recorder, 1000, None
            ),
            None,
            types.SimpleNamespace(rates=dict),
            clock,
            recorder,
            500,
        )

    def report(self, upstream, made_ms, resident=(), used_mib=0):
        report = data.UpstreamReport(
            upstream, "ep", 1, True, False, 0, 0, resident, used_mib, 100
        )
        key = engine_poller.REPORT_PREFIX + upstream
        plain = codec.to_plain(report)
        self.store.put(gossip.Item(key, made_ms, 0, plain, "z1", True))

    def resolve(self, outcome):
        """Applies the outcome of the order, as read from the log."""
        intent = intents.Intent(ORDER, "z1", 1, 1)
        record = records.IntentResolved(ORDER.order_id, outcome)
        event = replay.AppliedRecord(2, record, intent, (RESOLVED_MS, 0))
        for listener in self._listeners:
            listener(event)

    def planned(self):
        moves = placement.plan(self.controller.plan_inputs()).moves
        return [(move.action, move.target, move.upstream) for move in moves]


APPLIED = records.IntentOutcome.APPLIED
LOAD_AT_E2 = [(data.OrderAction.LOAD_MODEL, "m", "e2")]


@pytest.mark.parametrize(
    ("outcome", "report", "planned"),
    [
        pytest.param(
            APPLIED,
            {"made_ms": RESOLVED_MS - 1, "used_mib": 60},
            [],
            id="report-taken-during-the-load",
        ),
        pytest.param(
            APPLIED,
            {"made_ms": RESOLVED_MS - 1, "resident": ("m",), "used_mib": 60},
            [],
            id="report-shows-the-model",
        ),
        pytest.param(
            APPLIED,
            {"made_ms": RESOLVED_MS + 1, "used_mib": 60},
            LOAD_AT_E2,
            id="later-report-lacks-the-model",
        ),
        pytest.param(
            records.IntentOutcome.VOID,
            {"made_ms": RESOLVED_MS - 1, "used_mib": 60},
            LOAD_AT_E2,
            id="order-was-refused",
        ),
    ],
)
def test_a_model_is_not_loaded_twice_while_its_report_is_under_way(
    outcome, report, planned
):
    """Guards against a replica too many, in the room of another model."""
    steward = Steward("z2")
    steward.report("e1", **report)
    steward.report("e2", RESOLVED_MS)
    steward.resolve(outcome)
    assert steward.planned() == planned
