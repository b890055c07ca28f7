"""Runs a fake of the platform's log."""

import sys

from sesamecross.runtime import signals


def main() -> int:
    """Returns the exit code."""
    return signals.held(_run)


def _run(inbox: signals.Inbox) -> int:
    # Deferred until signals are held: see `signals.held`.
    from sesamecross.fakes import base
    from sesamecross.fakes import log

    parser = base.parser(__doc__)
    parser.add_argument("--appends-per-second", type=int, default=400)
    flags = parser.parse_args()
    server = log.LogServer(flags.name, flags.listen, flags.appends_per_second)
    return base.run(flags, server, inbox)


if __name__ == "__main__":
    sys.exit(main())
