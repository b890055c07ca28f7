"""Runs a fake of a plain service."""

import sys

from sesamecross.runtime import signals


def main() -> int:
    """Returns the exit code."""
    return signals.run_with_deferred_signals(_run)


def _run(pending_signals: signals.PendingSignals) -> int:
    # Imported with signals deferred: see `signals.run_with_deferred_signals`.
    from sesamecross.fakes import base
    from sesamecross.fakes import service

    parser = base.parser(__doc__)
    parser.add_argument("--work-ms", type=int, default=20)
    flags = parser.parse_args()
    server = service.ServiceServer(flags.name, flags.listen, flags.work_ms)
    return base.run(flags, server, pending_signals)


if __name__ == "__main__":
    sys.exit(main())
