"""Runs a fake of the platform's log."""

import sys

from sesamecross.fakes import base
from sesamecross.fakes import log


def main() -> int:
    """Returns the exit code."""
    parser = base.parser(__doc__)
    parser.add_argument("--appends-per-second", type=int, default=400)
    flags = parser.parse_args()
    server = log.LogServer(flags.name, flags.listen, flags.appends_per_second)
    return base.run(flags, server)


if __name__ == "__main__":
    sys.exit(main())
