"""Measures the relay's cost; see docs/CAPACITY.md."""

import argparse
import pathlib
import sys

from sesamecross.devtools import relay_bench


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--work", type=pathlib.Path, default=".demo/bench")
    parser.add_argument("--streams", type=int, default=100)
    parser.add_argument("--rounds", type=int, default=3)
    flags = parser.parse_args()
    return relay_bench.main(flags.work, flags.streams, flags.rounds)


if __name__ == "__main__":
    sys.exit(main())
