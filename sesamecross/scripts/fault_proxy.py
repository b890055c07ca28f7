"""Runs a fault-injecting TCP proxy."""

import sys

from sesamecross.runtime import signals


def main() -> int:
    """Returns the exit code."""
    return signals.run_with_deferred_signals(_run)


def _run(pending_signals: signals.PendingSignals) -> int:
    # Imported with signals deferred: see `signals.run_with_deferred_signals`.
    from sesamecross.fakes import base
    from sesamecross.fakes import proxy

    parser = base.parser(__doc__)
    parser.add_argument(
        "--link",
        action="append",
        default=[],
        help="NAME=LISTEN>TARGET; repeat for each link",
    )
    flags = parser.parse_args()
    server = proxy.ProxyServer(flags.name, flags.listen, flags.link)
    return base.run(flags, server, pending_signals)


if __name__ == "__main__":
    sys.exit(main())
