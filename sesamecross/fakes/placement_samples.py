"""Small inputs of a plan, for tests of the placement of models."""

from sesamecross.core import serving
from sesamecross.ops.fleet import engine_inventory
from sesamecross.ops.fleet import placement_types as data

NAMES = ("busy", "rare", "other", "idle", "stays", "stays-too")
SIZES = dict.fromkeys(NAMES, 40.0)
ROOM_MB = 80.0
LOAD_S = 2.0


def spec(sizes=None) -> serving.EngineSpec:
    """Returns engines with room for two of the models."""
    models = {
        name: serving.ModelSpec(name, size, LOAD_S, 0.5, 0.3, 0, 1.0)
        for name, size in (sizes or SIZES).items()
    }
    return serving.EngineSpec(64, 100_000, ROOM_MB, 8, 2.0, 6, models)


def engine(name: str, *models: str) -> data.Engine:
    """Returns an engine that has held some models for long."""
    inventory = engine_inventory.EngineInventory(name, 1)
    inventory.models.update(models)
    inventory.is_fully_known = True
    inventory.loaded_s = dict.fromkeys(models, -100.0)
    return data.Engine(inventory, can_take_order=True, is_leaving=False)


def demand(rate: float, load: float = 0.1) -> data.ModelDemand:
    """Returns steady demand for a model."""
    return data.ModelDemand(rate, min(rate, 1.0), load, 0)


def inputs(engines, demands, target, in_use=None) -> data.Inputs:
    """Returns what a plan is made from."""
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
