"""Starts the gateway of one instance on the users' platform."""

import argparse
import sys

from sesamecross.platform import program


def main() -> int:
    """Runs the gateway; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--log-level",
        default="info",
        choices=("debug", "info", "warning", "error"),
        help="the least that is logged",
    )
    return program.run(parser.parse_args().log_level)


if __name__ == "__main__":
    sys.exit(main())
