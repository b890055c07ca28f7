"""Runs the operators' command."""

import os
import sys

from sesamecross.operators import command_line


def main() -> int:
    """Returns the exit code."""
    return command_line.main(os.environ)


if __name__ == "__main__":
    sys.exit(main())
