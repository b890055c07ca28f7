"""Tests of the giver of orders against an engine that does its worst."""

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sesamecross.fakes import placement_simulation as player_lib

FATES = list(player_lib.Delivery)
TARGETS = [*player_lib.MODELS, "m/a1", "m/a2", "m/a3", "n/a1", "n/a2"]
# Until books that are wrong are put right, and the order that waits is given:
# two answers to orders, a report's lag, an unload and a load.
RECOVERS_S = 4.0


@pytest.fixture(name="player")
def fixture_player():
    player = player_lib.Simulation()
    yield player
    player.close()


def hold_adapters(player, *targets) -> None:
    """Lets requests wait for adapters until the engine holds them."""
    for target in targets:
        player.wanted = {target}
        player.run(1.0)
        assert player.engine.answers(target)
    player.wanted = set()


def unload_one_in_use(player, seconds: float) -> None:
    """Lets an adapter make way while a request uses it that nobody told of."""
    hold_adapters(player, "m/a1", "m/a2")
    player.run(2.0)
    player.begin_use("m/a1", is_told=False)
    player.wanted = {"m/a3"}
    player.run(seconds)
    assert player.engine.departing == {"m/a1"}


def test_an_adapter_in_use_keeps_its_place_until_its_requests_end(player):
    """Guards against loads into the place of an adapter that still departs."""
    unload_one_in_use(player, 1.0)
    assert not player.engine.is_overloaded
    player.end_use("m/a1")
    player.run(RECOVERS_S)
    assert player.engine.answers("m/a3")


def test_an_unload_that_changed_nothing_is_not_counted(player):
    """Guards against books that run ahead of an engine for good."""
    unload_one_in_use(player, 2.0)
    player.change_holder()
    player.run(3.0)
    player.end_use("m/a1")
    for target in ("m/a3", "m/a4", "m/a1"):
        player.wanted = {target}
        player.run(RECOVERS_S)
        assert player.engine.answers(target)


def test_a_model_that_is_gone_already_is_not_counted_as_unloaded(player):
    """Guards against counting an unload of a model that is not held."""
    player.wanted = {"n"}
    player.run(6.0)
    assert player.engine.models == {"m", "n"}
    player.engine.models.discard("m")
    player.wanted = {"n", "o"}
    player.run(RECOVERS_S)
    assert player.engine.answers("o")
    player.wanted = {"n", "o", "o/a1"}
    player.run(RECOVERS_S)
    assert player.engine.answers("o/a1")


def test_an_adapter_is_swapped_without_a_wait_for_a_report(player):
    """Guards against a wait for each adapter that makes room for another."""
    hold_adapters(player, "m/a1", "m/a2")
    player.run(2.0)
    player.wanted = {"m/a3"}
    player.run(0.3)
    assert player.engine.answers("m/a3")


class OrdersGoOn(stateful.RuleBasedStateMachine):
    """Whatever is lost, late or doubled: never too full, and never stuck."""

    def __init__(self):
        super().__init__()
        self.player = player_lib.Simulation(("m", "n"))

    @stateful.rule(deliveries=st.lists(st.sampled_from(FATES), max_size=3))
    def calls_go_wrong(self, deliveries):
        """The next orders are lost, late, doubled or answered in vain."""
        self.player.deliveries.extend(deliveries)

    @stateful.rule(what=st.sets(st.sampled_from(TARGETS), max_size=3))
    def wait_for(self, what):
        """Requests wait for models and adapters, and no longer for others."""
        self.player.wanted = what

    @stateful.rule(data=st.data(), is_told=st.booleans())
    def begin_use(self, data, is_told):
        """A request begins to run; the giver of orders hears of it or not."""
        engine = self.player.engine
        held = sorted(engine.models | engine.adapters)
        if held:
            self.player.begin_use(data.draw(st.sampled_from(held)), is_told)

    @stateful.rule(data=st.data())
    def end_use(self, data):
        """A request ends."""
        used = sorted(self.player.engine.uses)
        if used:
            self.player.end_use(data.draw(st.sampled_from(used)))

    @stateful.rule()
    def arrives_late(self):
        """An order without an answer arrives after all."""
        self.player.arrives_late()

    @stateful.rule(age_s=st.sampled_from([0.0, 0.1, 0.2, 0.3]))
    def reports_lag(self, age_s):
        """What the engine says of itself is older or newer from now on."""
        self.player.report_age_s = age_s

    @stateful.rule(seconds=st.sampled_from([0.05, 0.1, 0.3, 1.0, 2.0]))
    def time_passes(self, seconds):
        """Orders are planned and given."""
        self.player.run(seconds)

    @stateful.rule()
    def restart(self):
        """The engine starts anew at its address."""
        self.player.restart()

    @stateful.rule()
    def change_holder(self):
        """Another instance takes the lease."""
        self.player.change_holder()

    @stateful.invariant()
    def never_overloaded(self):
        assert not self.player.engine.is_overloaded

    def teardown(self):
        """An engine that lives and answers takes an order again."""
        player = self.player
        try:
            player.late.clear()
            player.deliveries.clear()
            for target, count in list(player.engine.uses.items()):
                for _ in range(count):
                    player.end_use(target)
            player.wanted = {"m"}
            player.run(2 * RECOVERS_S)
            assert player.engine.answers("m")
            for target in ("m/a1", "m/a2", "m/a3"):
                player.wanted = {"m", target}
                player.run(RECOVERS_S)
                assert player.engine.answers(target)
            assert not player.engine.is_overloaded
        finally:
            player.close()


# Without shrinking: each step plays seconds of planning.
OrdersGoOn.TestCase.settings = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
)
TestOrdersGoOn = OrdersGoOn.TestCase
