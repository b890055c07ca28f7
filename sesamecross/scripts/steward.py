"""Runs a steward."""

import argparse
import os
import sys

from returns.result import Failure

from sesamecross.parser import settings as settings_lib
from sesamecross.runtime import application
from sesamecross.runtime import logs
from sesamecross.steward import app


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    settings_lib.add_flags(parser, settings_lib.StewardSettings)
    flags = parser.parse_args()
    loaded = settings_lib.load(settings_lib.StewardSettings, flags, os.environ)
    if isinstance(loaded, Failure):
        for problem in loaded.failure():
            print(problem, file=sys.stderr)
        return application.EXIT_FAILED
    settings = loaded.unwrap()
    logs.configure(
        settings.log_level, settings.log_format, instance=settings.instance
    )
    steward = app.StewardApp.from_settings(settings)
    return application.Application(steward).run()


if __name__ == "__main__":
    sys.exit(main())
