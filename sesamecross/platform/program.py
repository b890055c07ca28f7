"""Runs the gateway on the users' platform."""

import functools
import os
import sys

from returns.result import Failure

from sesamecross.gateway import app
from sesamecross.platform import catalog
from sesamecross.platform import http_codec
from sesamecross.platform import settings
from sesamecross.platform import store_codec
from sesamecross.runtime import application
from sesamecross.runtime import bounded_output
from sesamecross.runtime import initial_settings
from sesamecross.runtime import logs
from sesamecross.runtime import signals

# Also set in deploy/system.toml. Outside the range of ports that the platform
# assigns.
METRICS_PORT = 9464


def adapter() -> app.PlatformAdapter:
    """Returns the codecs and names of the platform."""
    return app.PlatformAdapter(
        store_codec.StoreCodec(),
        http_codec.PlatformHttpCodec(),
        store_codec.CONFIGURATION_TOPIC,
        store_codec.CONFIGURATION_KEY,
        store_codec.UPSTREAMS_TOPIC,
        store_codec.OWN_TOPIC_PREFIX,
        catalog.decode_configuration,
        catalog.decode_upstream,
        METRICS_PORT,
    )


def run(log_level: str, pending_signals: signals.PendingSignals) -> int:
    """Runs a gateway from the settings file that the platform names.

    Args:
      log_level: The lowest level that is logged.
      pending_signals: The process's signals.

    Returns:
      The exit code.
    """
    path = os.environ.get(settings.BOOT_VARIABLE, "")
    loaded = initial_settings.load_with_retry(
        functools.partial(settings.load, path),
        pending_signals,
        # Waiting for the file is useless if its path is not set.
        lambda _: bool(path),
    )
    if isinstance(loaded, Failure):
        print(loaded.failure(), file=sys.stderr)
        return application.exit_code_without_start(pending_signals)
    instance = loaded.unwrap()
    output = bounded_output.BoundedOutput.from_stream(sys.stdout)
    logs.configure(log_level, "json", output, instance=instance.name)
    gateway = app.GatewayApp.from_config(
        instance, adapter(), settings.SettingsFile(path)
    )
    return application.Application(gateway, pending_signals).run()
