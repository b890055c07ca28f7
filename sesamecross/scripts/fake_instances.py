"""Runs a fake of the platform's list of instances."""

import sys

from sesamecross.fakes import base
from sesamecross.fakes import instances


def main() -> int:
    """Returns the exit code."""
    parser = base.parser(__doc__)
    parser.add_argument("--lag-ms", type=int, default=2000)
    flags = parser.parse_args()
    server = instances.InstancesServer(flags.name, flags.listen, flags.lag_ms)
    return base.run(flags, server)


if __name__ == "__main__":
    sys.exit(main())
