"""Fixtures that start deployments of real processes."""

import pathlib

import pytest

from sesamecross.devtools import demo
from sesamecross.devtools import deployment as deployment_lib

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"

# A fast store, so that models soon become resident. The fake store and the
# declarations must have the same limits.
FAST_STORE_FLAGS = ("--loads-per-second", "100", "--load-s", "0.02")
FAST_STORE_LIMITS = {"store": {"loads_per_second": 100, "full_speed_loads": 20}}


def start_deployment(spec, work_dir):
    """Starts a deployment and publishes its configuration."""
    deployment = deployment_lib.Deployment(spec, work_dir)
    try:
        deployment.start_fakes()
        deployment.start_instances()
        code, text = demo.OperatorCli(deployment).run(
            "publish", str(deployment.config_dir)
        )
        assert code == 0, text
        deployment.wait_ready()
        deployment.wait_resident(set(deployment.declared.models))
    except BaseException:
        deployment.stop()
        raise
    return deployment


def small_spec(**changes):
    """Returns the spec that most tests use: one entry in each zone."""
    settings = {
        "example": EXAMPLES / "namib",
        "entries_per_zone": 1,
        "store_flags": FAST_STORE_FLAGS,
        "extra": FAST_STORE_LIMITS,
    }
    return deployment_lib.DeploymentSpec(**(settings | changes))


@pytest.fixture(scope="session")
def shared_deployment(tmp_path_factory):
    """A deployment for all tests, which must leave it unchanged."""
    deployment = start_deployment(
        small_spec(), tmp_path_factory.mktemp("shared")
    )
    yield deployment
    codes = deployment.stop()
    assert set(codes.values()) == {0}


@pytest.fixture
def new_deployment(tmp_path):
    """Returns a function that starts a deployment for one test."""
    started = []

    def start_one(**changes):
        deployment = start_deployment(
            small_spec(**changes), tmp_path / f"d{len(started)}"
        )
        started.append(deployment)
        return deployment

    yield start_one
    for deployment in started:
        deployment.stop()
