"""Deployments of real processes for the integration tests."""

import pathlib

import pytest

from sesamecross.devtools import demo
from sesamecross.devtools import deployment as deployment_lib

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"

# The tests wait for residency, not for a slow store: limits that the store's
# fake and the declarations share.
FAST_STORE_FLAGS = ("--loads-per-second", "100", "--load-s", "0.02")
FAST_STORE_LIMITS = {"store": {"loads_per_second": 100, "full_speed_loads": 20}}


def start_deployment(small_spec, work_dir):
    """Starts a deployment on the published configuration."""
    one = deployment_lib.Deployment(small_spec, work_dir)
    try:
        one.start_fakes()
        one.start_instances()
        code, text = demo.OperatorCli(one).run("publish", str(one.config_dir))
        assert code == 0, text
        one.wait_ready()
        one.wait_resident(set(one.declared.models))
    except BaseException:
        one.stop()
        raise
    return one


def small_spec(**changes):
    """Returns the small shape that most tests use."""
    settings = {
        "example": EXAMPLES / "namib",
        "entries_per_zone": 1,
        "store_flags": FAST_STORE_FLAGS,
        "extra": FAST_STORE_LIMITS,
    }
    return deployment_lib.DeploymentSpec(**(settings | changes))


@pytest.fixture(scope="session")
def shared_deployment(tmp_path_factory):
    """A deployment that tests must leave as they found it."""
    one = start_deployment(small_spec(), tmp_path_factory.mktemp("shared"))
    yield one
    codes = one.stop()
    assert set(codes.values()) == {0}


@pytest.fixture
def new_deployment(tmp_path):
    """Returns a function that starts a deployment of a test's own."""
    started = []

    def begin(**changes):
        one = start_deployment(
            small_spec(**changes), tmp_path / f"d{len(started)}"
        )
        started.append(one)
        return one

    yield begin
    for one in started:
        one.stop()
