"""Runs an entry."""

import sys

from sesamecross.entry import app
from sesamecross.parser import settings
from sesamecross.runtime import launch


def main() -> int:
    """Returns the exit code."""
    return launch.launch(
        __doc__, settings.EntrySettings, app.EntryApp.from_settings
    )


if __name__ == "__main__":
    sys.exit(main())
