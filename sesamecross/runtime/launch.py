"""Starts a process from its settings: the same for every program.

Why: flags, settings, their errors, logs and the exit code must not differ
from program to program.
"""

import argparse
from collections.abc import Callable
import functools
import os
import pathlib
import sys
from typing import Any

from returns.result import Failure

from sesamecross.core import errors
from sesamecross.parser import settings as settings_lib
from sesamecross.runtime import application
from sesamecross.runtime import initial_settings
from sesamecross.runtime import logs
from sesamecross.runtime import signals


def launch(
    description: str,
    settings_class: type,
    make: Callable[[Any], application.Hooks],
    pending_signals: signals.PendingSignals,
) -> int:
    """Runs a program to its end.

    Args:
      description: What the program is, for its help.
      settings_class: The record of its settings.
      make: Makes the application object from checked settings.
      inbox: Gets the process's signals.

    Returns:
      The exit code.
    """
    parser = argparse.ArgumentParser(description=description)
    settings_lib.add_flags(parser, settings_class)
    flags = parser.parse_args()
    loaded = initial_settings.load_with_retry(
        functools.partial(settings_lib.load, settings_class, flags, os.environ),
        pending_signals,
        functools.partial(_is_of_file, flags.settings),
    )
    if isinstance(loaded, Failure):
        for problem in loaded.failure():
            print(problem, file=sys.stderr)
        return application.exit_code_without_start(pending_signals)
    settings = loaded.unwrap()
    logs.configure(
        settings.log_level, settings.log_format, instance=settings.instance
    )
    return application.Application(make(settings), pending_signals).run()


def _is_of_file(path: str | None, problems: list[errors.Problem]) -> bool:
    """Whether a problem is the file's, which may still be being written."""
    if not path:
        return False
    name = pathlib.Path(path).name
    return any(pathlib.Path(one.file).name == name for one in problems)
