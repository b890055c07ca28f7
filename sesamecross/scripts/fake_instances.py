"""Runs a fake of the platform's list of instances."""

import sys

from sesamecross.runtime import signals


def main() -> int:
    """Returns the exit code."""
    return signals.held(_run)


def _run(inbox: signals.Inbox) -> int:
    # Deferred until signals are held: see `signals.held`.
    from sesamecross.fakes import base
    from sesamecross.fakes import instances

    parser = base.parser(__doc__)
    parser.add_argument("--lag-ms", type=int, default=2000)
    flags = parser.parse_args()
    server = instances.InstancesServer(flags.name, flags.listen, flags.lag_ms)
    return base.run(flags, server, inbox)


if __name__ == "__main__":
    sys.exit(main())
