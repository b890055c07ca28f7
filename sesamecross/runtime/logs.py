"""Structured logs: short messages with a fixed prefix for each component.

The prefix and the correlation id let an operator grep for one component or one
request over all processes. Lines are JSON by default, or text for a terminal.
Secrets are never passed to a logger: callers are logged by name, not by key.
"""

import logging
import sys
from typing import Any

import structlog

from sesamecross.runtime import bounded_output

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure(
    level: str, log_format: str, stream: Any = None, **fixed: str
) -> None:
    """Configures the process's logs.

    Args:
      level: One of debug, info, warning, error.
      log_format: "json" for lines of JSON, "text" for a terminal.
      stream: The output stream; if None, standard error without ever
        blocking on its reader.
      **fixed: Fields added to every line, such as the instance.
    """
    if stream is None:
        stream = bounded_output.BoundedOutput.from_stream(
            sys.stderr, is_shared=True
        )
    if log_format == "text":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    else:
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            _fixed_fields(fixed),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _prefix,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            _LEVELS.get(level, logging.INFO)
        ),
        logger_factory=structlog.WriteLoggerFactory(stream),
        cache_logger_on_first_use=True,
    )


def _fixed_fields(fixed):
    def add(_logger, _method, event):
        return {**fixed, **event}

    return add


def _prefix(_logger, _method, event):
    part = event.pop("part", None)
    if part:
        event["event"] = f"{part}: {event['event']}"
    return event


def get_logger(name: str) -> structlog.stdlib.BoundLogger:
    """Returns the logger of one component; its lines begin with `name`."""
    return structlog.get_logger(part=name)
