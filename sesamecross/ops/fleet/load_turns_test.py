"""Tests that each model that callers ask for is loaded in its turn."""

import msgspec
import pytest

from sesamecross.fakes import placement_fleet

# Of the models that are asked for throughout a run, this many and this share
# may be served to nobody.
MAX_NEVER_SERVED = 1
MAX_NEVER_SERVED_SHARE = 0.1

SLOW_LOADS = placement_fleet.Deployment(
    engines=12, models=206, store_loads_per_s=4.0
)
QUICK_LOADS = msgspec.structs.replace(
    SLOW_LOADS, store_load_s=3.0, disk_load_s=0.6, memory_load_s=0.5
)
# A few busy models that change every 6 s, beside a patient kind that is spread
# over more models than there is room for.
FEW_BUSY = placement_fleet.Load(
    urgent_rate=55.0,
    patient_rate=5.0,
    urgent_models=(6, 9),
    patient_models=45,
)
SHORT_OBJECTIVE = msgspec.structs.replace(
    FEW_BUSY,
    patient_kind=placement_fleet.Kind(
        placement_fleet.route(6.007, 15.018), 1.2
    ),
)
RUN_S = 37.0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("deployment", "load"),
    [
        pytest.param(SLOW_LOADS, FEW_BUSY, id="loads-beyond-the-objective"),
        pytest.param(QUICK_LOADS, SHORT_OBJECTIVE, id="loads-within-it"),
        pytest.param(
            SLOW_LOADS,
            msgspec.structs.replace(FEW_BUSY, lost=(3.0, 4.0, 8.0)),
            id="engines-lost",
        ),
        pytest.param(
            SLOW_LOADS,
            msgspec.structs.replace(FEW_BUSY, holder_changes=(4.0, 14.0)),
            id="holder-changed",
        ),
        pytest.param(
            SLOW_LOADS,
            msgspec.structs.replace(FEW_BUSY, urgent_rate=75.0),
            id="more-urgent-requests",
        ),
    ],
)
def test_no_model_is_left_out_while_others_are_loaded(deployment, load, seed):
    """Guards against callers of one model who always lose to other models."""
    simulation = placement_fleet.FleetSimulation(deployment, load, seed, True)
    result = simulation.run(RUN_S)
    print(result)
    asked = len(result.asked_throughout)
    assert asked > 0
    assert len(result.never_served) <= (
        MAX_NEVER_SERVED + MAX_NEVER_SERVED_SHARE * asked
    )
