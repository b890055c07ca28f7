"""Runs a fake of the weight store."""

import sys

from sesamecross.runtime import signals


def main() -> int:
    """Returns the exit code."""
    return signals.run_with_deferred_signals(_run)


def _run(pending_signals: signals.PendingSignals) -> int:
    # Imported with signals deferred: see `signals.run_with_deferred_signals`.
    from sesamecross.fakes import base
    from sesamecross.fakes import store

    parser = base.parser(__doc__)
    parser.add_argument("--loads-per-second", type=float, default=2.5)
    parser.add_argument("--full-speed-loads", type=int, default=6)
    parser.add_argument("--adapters-in-transit", type=int, default=50)
    parser.add_argument("--load-s", type=float, default=0.3)
    flags = parser.parse_args()
    server = store.StoreServer(flags.name, flags.listen, flags)
    return base.run(flags, server, pending_signals)


if __name__ == "__main__":
    sys.exit(main())
