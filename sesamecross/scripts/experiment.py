"""Compares routing policies at equal load; see docs/design/0005."""

import argparse
import pathlib
import sys

from sesamecross.devtools import experiment


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scene", choices=sorted(experiment.SCENARIOS))
    parser.add_argument("--policy", action="append")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument(
        "--work", type=pathlib.Path, default=pathlib.Path(".demo/experiment")
    )
    flags = parser.parse_args()
    return experiment.main(
        flags.scene,
        flags.policy or list(experiment.POLICIES),
        list(range(1, flags.seeds + 1)),
        flags.work,
    )


if __name__ == "__main__":
    sys.exit(main())
