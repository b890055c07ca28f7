"""Starts a program: parses flags, loads settings, configures logs, runs it.

Every program handles flags, settings errors, logs and exit codes the same way.
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
    make_hooks: Callable[[Any], application.Hooks],
    pending_signals: signals.PendingSignals,
) -> int:
    """Runs a program until it exits.

    Args:
      description: The description in the program's help.
      settings_class: The dataclass of its settings.
      make_hooks: Creates the process's hooks from valid settings.
      pending_signals: The process's signals.

    Returns:
      The exit code.
    """
    parser = argparse.ArgumentParser(description=description)
    settings_lib.add_flags(parser, settings_class)
    flags = parser.parse_args()
    loaded = initial_settings.load_with_retry(
        functools.partial(settings_lib.load, settings_class, flags, os.environ),
        pending_signals,
        functools.partial(_concerns_file, flags.settings),
    )
    if isinstance(loaded, Failure):
        for problem in loaded.failure():
            print(problem, file=sys.stderr)
        return application.exit_code_without_start(pending_signals)
    settings = loaded.unwrap()
    logs.configure(
        settings.log_level, settings.log_format, instance=settings.instance
    )
    return application.Application(make_hooks(settings), pending_signals).run()


def _concerns_file(path: str | None, problems: list[errors.Problem]) -> bool:
    """Whether a problem is in the file, which may still be being written."""
    if not path:
        return False
    name = pathlib.Path(path).name
    return any(pathlib.Path(problem.file).name == name for problem in problems)
