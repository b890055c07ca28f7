"""Small inputs of the placement planner, for its tests."""

from sesamecross.core import serving
from sesamecross.ops.fleet import engine_inventory
from sesamecross.ops.fleet import placement_types as data

MODEL_NAMES = ("busy", "rare", "other", "idle", "stays", "stays-too")
MODEL_SIZES_MB = dict.fromkeys(MODEL_NAMES, 40.0)
WEIGHTS_MB = 80.0
LOAD_S = 2.0


def spec(sizes=None) -> serving.EngineSpec:
    """Returns a spec of engines that have memory for two of the models."""
    models = {
        name: serving.ModelSpec(name, size, LOAD_S, 0.5, 0.3, 0, 1.0)
        for name, size in (sizes or MODEL_SIZES_MB).items()
    }
    return serving.EngineSpec(64, 100_000, WEIGHTS_MB, 8, 2.0, 6, models)


def engine(name: str, *models: str) -> data.Engine:
    """Returns an engine that has held the given models for a long time."""
    inventory = engine_inventory.EngineInventory(name, 1)
    inventory.models.update(models)
    inventory.is_fully_known = True
    inventory.loaded_s = dict.fromkeys(models, -100.0)
    return data.Engine(inventory, can_take_order=True, is_leaving=False)


def demand(rate: float, load: float = 0.1) -> data.ModelDemand:
    """Returns steady demand for a model."""
    return data.ModelDemand(rate, min(rate, 1.0), load, 0)


def inputs(engines, demands, target, in_use=None) -> data.Inputs:
    """Returns the inputs of a plan."""
    return data.Inputs(
        spec(),
        tuple(engines),
        demands,
        in_use or {},
        {},
        {name: frozenset(models) for name, models in target.items()},
        (),
        2,
        True,
        True,
        0.0,
    )
