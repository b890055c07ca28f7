"""Runs a fake of the platform's log."""

import sys

from sesamecross.runtime import signals


def main() -> int:
    """Returns the exit code."""
    return signals.run_with_deferred_signals(_run)


def _run(pending_signals: signals.PendingSignals) -> int:
    # Imported with signals deferred: see `signals.run_with_deferred_signals`.
    from sesamecross.fakes import base
    from sesamecross.fakes import log

    parser = base.parser(__doc__)
    parser.add_argument("--appends-per-second", type=int, default=400)
    flags = parser.parse_args()
    server = log.LogServer(flags.name, flags.listen, flags.appends_per_second)
    return base.run(flags, server, pending_signals)


if __name__ == "__main__":
    sys.exit(main())
