"""Measures the cost slopes that docs/CAPACITY.md uses."""

import argparse
import sys

from sesamecross.devtools import capacity


def main() -> int:
    """Returns the exit code."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    return capacity.main()


if __name__ == "__main__":
    sys.exit(main())
