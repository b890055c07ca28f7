"""Starts the gateway of one instance on the users' platform."""

import sys

from sesamecross.runtime import signals


def main() -> int:
    """Runs the gateway; returns the exit code."""
    return signals.held(_run)


def _run(inbox: signals.Inbox) -> int:
    # Deferred until signals are held: see `signals.held`.
    import argparse

    from sesamecross.platform import program

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--log-level",
        default="info",
        choices=("debug", "info", "warning", "error"),
        help="the least that is logged",
    )
    return program.run(parser.parse_args().log_level, inbox)


if __name__ == "__main__":
    sys.exit(main())
