"""Runs an entry."""

import sys

from sesamecross.runtime import signals


def main() -> int:
    """Returns the exit code."""
    return signals.run_with_deferred_signals(_run)


def _run(pending_signals: signals.PendingSignals) -> int:
    # Imported with signals deferred: see `signals.run_with_deferred_signals`.
    from sesamecross.entry import app
    from sesamecross.parser import settings
    from sesamecross.runtime import launch

    return launch.launch(
        __doc__,
        settings.EntrySettings,
        app.EntryApp.from_settings,
        pending_signals,
    )


if __name__ == "__main__":
    sys.exit(main())
