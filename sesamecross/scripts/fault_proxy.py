"""Runs a fault-injecting TCP proxy."""

import sys

from sesamecross.runtime import signals


def main() -> int:
    """Returns the exit code."""
    return signals.held(_run)


def _run(inbox: signals.Inbox) -> int:
    # Deferred until signals are held: see `signals.held`.
    from sesamecross.fakes import base
    from sesamecross.fakes import proxy

    parser = base.parser(__doc__)
    parser.add_argument(
        "--link",
        action="append",
        default=[],
        help="NAME=LISTEN>TARGET, once for each link",
    )
    flags = parser.parse_args()
    server = proxy.ProxyServer(flags.name, flags.listen, flags.link)
    return base.run(flags, server, inbox)


if __name__ == "__main__":
    sys.exit(main())
