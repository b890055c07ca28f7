"""Runs a steward."""

import sys

from sesamecross.parser import settings
from sesamecross.runtime import launch
from sesamecross.steward import app


def main() -> int:
    """Returns the exit code."""
    return launch.launch(
        __doc__, settings.StewardSettings, app.StewardApp.from_settings
    )


if __name__ == "__main__":
    sys.exit(main())
