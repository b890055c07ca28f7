"""Runs a fault-injecting TCP proxy."""

import sys

from sesamecross.fakes import base
from sesamecross.fakes import proxy


def main() -> int:
    """Returns the exit code."""
    parser = base.parser(__doc__)
    parser.add_argument(
        "--link",
        action="append",
        default=[],
        help="NAME=LISTEN>TARGET, once for each link",
    )
    flags = parser.parse_args()
    server = proxy.ProxyServer(flags.name, flags.listen, flags.link)
    return base.run(flags, server)


if __name__ == "__main__":
    sys.exit(main())
