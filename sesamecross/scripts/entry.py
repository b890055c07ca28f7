"""Runs an entry."""

import sys

from sesamecross.runtime import signals


def main() -> int:
    """Returns the exit code."""
    return signals.held(_run)


def _run(inbox: signals.Inbox) -> int:
    # Deferred until signals are held: see `signals.held`.
    from sesamecross.entry import app
    from sesamecross.parser import settings
    from sesamecross.runtime import launch

    return launch.launch(
        __doc__, settings.EntrySettings, app.EntryApp.from_settings, inbox
    )


if __name__ == "__main__":
    sys.exit(main())
