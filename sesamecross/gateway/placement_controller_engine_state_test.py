"""Tests of the controller against an engine whose calls are lost or late."""

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sesamecross.fakes import placement_simulation as simulation_lib
from sesamecross.ops.fleet import adapter_slots

DELIVERIES = list(simulation_lib.Delivery)
TARGETS = [*simulation_lib.MODELS, "m/a1", "m/a2", "m/a3", "n/a1", "n/a2"]
ADAPTERS = [target for target in TARGETS if "/" in target]
# Time to correct wrong tracked state and execute the pending order: two order
# answers, a report's lag, an unload and a load.
RECOVERY_S = 4.0


@pytest.fixture(name="simulation")
def fixture_simulation():
    simulation = simulation_lib.Simulation()
    yield simulation
    simulation.close()


def hold_adapters(simulation, *targets) -> None:
    """Lets requests wait for adapters until the engine holds them."""
    for target in targets:
        simulation.requested_targets = {target}
        simulation.run(1.0)
        assert simulation.engine.can_serve(target)
    simulation.requested_targets = set()


def unload_adapter_in_use(simulation, seconds: float) -> None:
    """Unloads an adapter while an unreported request uses it."""
    hold_adapters(simulation, "m/a1", "m/a2")
    simulation.run(2.0)
    simulation.begin_request("m/a1", is_reported=False)
    simulation.requested_targets = {"m/a3"}
    simulation.run(seconds)
    assert simulation.engine.unloading_adapters == {"m/a1"}


def test_an_adapter_in_use_keeps_its_place_until_its_requests_end(simulation):
    """Guards against a load into the slot of an adapter being unloaded."""
    unload_adapter_in_use(simulation, 1.0)
    assert not simulation.engine.was_overcommitted
    simulation.end_request("m/a1")
    simulation.run(RECOVERY_S)
    assert simulation.engine.can_serve("m/a3")


def test_an_unload_that_changed_nothing_is_not_counted(simulation):
    """Guards against a tracked count that stays ahead of the engine's."""
    unload_adapter_in_use(simulation, 2.0)
    simulation.change_holder()
    simulation.run(3.0)
    simulation.end_request("m/a1")
    for target in ("m/a3", "m/a4", "m/a1"):
        simulation.requested_targets = {target}
        simulation.run(RECOVERY_S)
        assert simulation.engine.can_serve(target)


def test_a_model_that_is_gone_already_is_not_counted_as_unloaded(simulation):
    """Guards against counting the unload of a model that is not held."""
    simulation.requested_targets = {"n"}
    simulation.run(6.0)
    assert simulation.engine.models == {"m", "n"}
    simulation.engine.models.discard("m")
    simulation.requested_targets = {"n", "o"}
    simulation.run(RECOVERY_S)
    assert simulation.engine.can_serve("o")
    simulation.requested_targets = {"n", "o", "o/a1"}
    simulation.run(RECOVERY_S)
    assert simulation.engine.can_serve("o/a1")


def test_an_adapter_is_swapped_without_a_wait_for_a_report(simulation):
    """Guards against waiting for a report before each adapter swap."""
    hold_adapters(simulation, "m/a1", "m/a2")
    simulation.run(2.0)
    simulation.requested_targets = {"m/a3"}
    simulation.run(0.3)
    assert simulation.engine.can_serve("m/a3")


def test_a_place_taken_from_an_adapter_in_use_is_never_overcommitted(
    simulation,
):
    """Guards against a load into the place of an adapter still in use.

    The withdrawn adapter is unused by all that the controller knows.
    """
    hold_adapters(simulation, "m/a1", "m/a2")
    for target in ("m/a1", "m/a2"):
        simulation.begin_request(target)
    simulation.requested_targets = {"m/a3"}
    simulation.run(RECOVERY_S)
    withdrawn = [
        target for target in ("m/a1", "m/a2") if not simulation.offers(target)
    ]
    assert len(withdrawn) == 1
    simulation.begin_request(withdrawn[0], is_reported=False)
    simulation.end_request(withdrawn[0])
    simulation.run(RECOVERY_S)
    assert not simulation.engine.was_overcommitted
    simulation.end_request(withdrawn[0])
    simulation.run(RECOVERY_S)
    assert simulation.engine.can_serve("m/a3")
    assert not simulation.engine.was_overcommitted


class OrderFaultMachine(stateful.RuleBasedStateMachine):
    """Checks that no fault overloads an engine or stops its orders for good."""

    def __init__(self):
        super().__init__()
        self.simulation = simulation_lib.Simulation(("m", "n"))

    @stateful.rule(deliveries=st.lists(st.sampled_from(DELIVERIES), max_size=3))
    def inject_faults(self, deliveries):
        """The next orders are lost, late, duplicated or answered in vain."""
        self.simulation.deliveries.extend(deliveries)

    @stateful.rule(
        requested_targets=st.sets(st.sampled_from(TARGETS), max_size=3)
    )
    def request_targets(self, requested_targets):
        """Changes which models and adapters requests wait for."""
        self.simulation.requested_targets = requested_targets

    @stateful.rule(data=st.data(), is_reported=st.booleans())
    def begin_request(self, data, is_reported):
        """A request starts; the controller learns of it or not."""
        engine = self.simulation.engine
        held = sorted(engine.models | engine.adapters)
        if held:
            self.simulation.begin_request(
                data.draw(st.sampled_from(held)), is_reported
            )

    @stateful.rule(data=st.data())
    def end_request(self, data):
        """A request ends."""
        used = sorted(self.simulation.engine.running_requests)
        if used:
            self.simulation.end_request(data.draw(st.sampled_from(used)))

    @stateful.rule()
    def arrives_late(self):
        """A delayed order without an answer arrives after all."""
        self.simulation.arrives_late()

    @stateful.rule(age_s=st.sampled_from([0.0, 0.1, 0.2, 0.3]))
    def set_report_age(self, age_s):
        """Changes the age of the engine's reports."""
        self.simulation.report_age_s = age_s

    @stateful.rule(seconds=st.sampled_from([0.05, 0.1, 0.3, 1.0, 2.0]))
    def advance_time(self, seconds):
        """The controller plans and gives orders."""
        self.simulation.run(seconds)

    @stateful.rule(wanted=st.sampled_from(ADAPTERS))
    def take_a_place(self, wanted):
        """All adapters are in steady use when a further one is waited for."""
        simulation = self.simulation
        for held in sorted(simulation.engine.adapters):
            simulation.begin_request(held)
        simulation.requested_targets = {wanted}
        simulation.run(adapter_slots.MIN_STAY_S)

    @stateful.rule()
    def restart(self):
        """The engine restarts at the same address."""
        self.simulation.restart()

    @stateful.rule()
    def change_holder(self):
        """Another instance acquires the lease."""
        self.simulation.change_holder()

    @stateful.invariant()
    def never_overloaded(self):
        assert not self.simulation.engine.was_overcommitted

    def teardown(self):
        """Once its calls succeed, the engine executes orders again."""
        simulation = self.simulation
        try:
            simulation.delayed_orders.clear()
            simulation.deliveries.clear()
            for target, count in list(
                simulation.engine.running_requests.items()
            ):
                for _ in range(count):
                    simulation.end_request(target)
            simulation.requested_targets = {"m"}
            simulation.run(2 * RECOVERY_S)
            assert simulation.engine.can_serve("m")
            for target in ("m/a1", "m/a2", "m/a3"):
                simulation.requested_targets = {"m", target}
                simulation.run(RECOVERY_S)
                assert simulation.engine.can_serve(target)
            assert not simulation.engine.was_overcommitted
        finally:
            simulation.close()


# No shrinking: each step simulates seconds of planning.
OrderFaultMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
)
TestOrderFaults = OrderFaultMachine.TestCase
