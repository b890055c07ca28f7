"""Starts the gateway of one instance on the users' platform."""

import sys

from sesamecross.runtime import signals


def main() -> int:
    """Runs the gateway; returns the exit code."""
    return signals.run_with_deferred_signals(_run)


def _run(pending_signals: signals.PendingSignals) -> int:
    # Imported with signals deferred: see `signals.run_with_deferred_signals`.
    # The first one is for its effect: it notes when the process began.
    from sesamecross.runtime import process_start  # noqa: F401, I001
    import argparse
    import gc

    # What imports allocate lives as long as the process: collections while they
    # run would find nothing, and later ones need not look at it.
    gc.disable()
    from sesamecross.platform import program

    gc.freeze()
    gc.enable()

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--log-level",
        default="info",
        choices=("debug", "info", "warning", "error"),
        help="the lowest level that is logged",
    )
    try:
        return program.run(parser.parse_args().log_level, pending_signals)
    finally:
        # The interpreter finalizes at its end only what it may collect.
        gc.unfreeze()


if __name__ == "__main__":
    sys.exit(main())
