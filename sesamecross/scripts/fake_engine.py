"""Runs a fake model engine."""

import sys

from sesamecross.runtime import signals


def main() -> int:
    """Returns the exit code."""
    return signals.run_with_deferred_signals(_run)


def _run(pending_signals: signals.PendingSignals) -> int:
    # Imported with signals deferred: see `signals.run_with_deferred_signals`.
    from sesamecross.fakes import base
    from sesamecross.fakes import engine

    parser = base.parser(__doc__)
    parser.add_argument("--memory-mib", type=int, required=True)
    parser.add_argument("--store-url", required=True)
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--threads", type=int, default=128)
    parser.add_argument("--batch", type=int, default=32)
    parser.add_argument("--step-ms", type=float, default=8.0)
    parser.add_argument("--per-call-ms", type=float, default=0.3)
    parser.add_argument("--prefill-ms-per-token", type=float, default=0.15)
    parser.add_argument("--prefix-blocks", type=int, default=4096)
    parser.add_argument("--report-lag-ms", type=int, default=500)
    flags = parser.parse_args()
    return base.run(flags, engine.EngineServer(flags), pending_signals)


if __name__ == "__main__":
    sys.exit(main())
