"""Runs a fake of a plain service."""

import sys

from sesamecross.fakes import base
from sesamecross.fakes import service


def main() -> int:
    """Returns the exit code."""
    parser = base.parser(__doc__)
    parser.add_argument("--work-ms", type=int, default=20)
    flags = parser.parse_args()
    server = service.ServiceServer(flags.name, flags.listen, flags.work_ms)
    return base.run(flags, server)


if __name__ == "__main__":
    sys.exit(main())
