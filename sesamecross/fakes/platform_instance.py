"""A stand-in for the platform's part of one instance: settings and signals.

Why: the platform writes a settings file, starts the gateway, asks whether it
is ready, and sends signals. Tests do the same to a real process, and learn
from its log lines what it has taken notice of, so that they wait for events
and never for a time.
"""

from collections.abc import Callable
import itertools
import json
import os
import pathlib
import signal
import socket
from typing import Any

import tomli_w

from sesamecross.devtools import processes
from sesamecross.platform import program
from sesamecross.platform import settings

ZONE = "west-a"
# Only a guard against hanging: all that is waited for comes at once, or
# within the gateway's own few seconds.
HANG_S = 30.0
# A planned stop may take this long. Longer than any test holds a request.
GRACE_S = 60.0
_FRONT_PORT = 8149
_READY_PORT = 8141
_INTERNAL_PORTS = [7380, 7395]
_PAUSE_S = 0.01

_hosts = itertools.count()


class ProcessEnded(Exception):
    """The process ended while something was expected of it."""


def own_host() -> str:
    """Returns a loopback address of an instance's own.

    The port of the metrics is the same on all instances, so each needs an
    address; those of tests that run beside this one begin elsewhere.
    """
    while True:
        number = os.getpid() * 16 + next(_hosts)
        parts = (number >> 16) % 254 + 1, (number >> 8) % 256, number % 256
        host = "127.{}.{}.{}".format(*parts)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, program.METRICS_PORT))
            except OSError:
                continue
        return host


class PlatformInstance:
    """One gateway process and its settings file."""

    def __init__(self, work: pathlib.Path, store_address: str):
        self._host = own_host()
        self._path = work / "node.toml"
        self._store_address = store_address
        self._log_path = work / "gateway.log"
        self._process: processes.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Where callers reach it."""
        return self._host, _FRONT_PORT

    # -- settings --------------------------------------------------------

    def settings_text(
        self, drain_ms: int = 2500, front_port: int = _FRONT_PORT
    ) -> str:
        """Returns a settings file, in the platform's words."""
        host = self._host
        return tomli_w.dumps(
            {
                "nodeName": "front-west-a-1",
                "role": "gateway",
                "machineClass": "front",
                "serves": ["front"],
                "ip": host,
                "zone": ZONE,
                "region": "west",
                "internalPorts": _INTERNAL_PORTS,
                "heartbeatMs": 1200,
                "zones": {ZONE: "west"},
                "listen": {
                    "front": f"{host}:{front_port}",
                    "ready": f"{host}:{_READY_PORT}",
                },
                "bounds": {
                    "drainMs": drain_ms,
                    "graceS": GRACE_S,
                    "configApplyMs": 2500,
                    "retryBudgetRatio": 0.2,
                    "budgetWindowS": 10,
                    "budgetExtra": 54,
                    "leaseMs": 3000,
                    "reuseAfterS": 2,
                },
                "platform": {"address": self._store_address, "form": "log"},
            }
        )

    def write_settings(self, text: str) -> None:
        """Writes the file in place, as who is interrupted midway does."""
        self._path.write_text(text, encoding="utf-8")

    def replace_settings(self, text: str) -> None:
        """Puts a whole new file in the old one's place."""
        beside = self._path.with_suffix(".new")
        beside.write_text(text, encoding="utf-8")
        os.replace(beside, self._path)

    # -- the process -----------------------------------------------------

    def start(self) -> None:
        """Starts the gateway."""
        self.write_settings(self.settings_text())
        self._process = processes.Process(
            "gateway",
            processes.command("gateway"),
            self._log_path,
            {settings.BOOT_VARIABLE: str(self._path)},
        )

    def wait_ready(self) -> None:
        """Waits until it takes callers."""
        ready = f"http://{self._host}:{_READY_PORT}/v1/ready"
        processes.wait_http(ready, HANG_S)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Tells whether the process has not ended."""
        return self._process is not None and self._process.is_running()

    def exit_code(self) -> int | None:
        """Returns the exit code; a signal's is 128 and its number.

        None where the process has not ended in time.
        """
        code = self._process.wait(HANG_S)
        return 128 - code if code is not None and code < 0 else code

    def kill(self) -> None:
        """Ends what is still running."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    # -- its log ---------------------------------------------------------

    def lines(self, beginning: str = "", **fields: Any) -> list[dict[str, Any]]:
        """Returns the log lines whose event begins so and bears the fields."""
        found = []
        for text in self._log_path.read_text(errors="replace").splitlines():
            try:
                line = json.loads(text)
            except ValueError:
                # The line's end is still to be written.
                continue
            if str(line.get("event", "")).startswith(beginning) and all(
                line.get(name) == value for name, value in fields.items()
            ):
                found.append(line)
        return found

    def wait_log_line(
        self, beginning: str, count: int = 1, **fields: Any
    ) -> None:
        """Waits until that many log lines are there.

        Raises:
          Ended: The process ended without them.
        """

        def is_there() -> bool:
            return len(self.lines(beginning, **fields)) >= count

        self._wait(is_there, f"{count} of {beginning!r} {fields}")

    def wait_new_log_line(
        self, beginning: str, act: Callable[[], None], **fields: Any
    ) -> None:
        """Acts, and waits for one log line more than there was before."""
        before = len(self.lines(beginning, **fields))
        act()
        self.wait_log_line(beginning, before + 1, **fields)

    def _wait(self, holds: Callable[[], bool], what: str) -> None:
        def is_over() -> bool:
            return not self.is_running or holds()

        processes.wait_for(is_over, what, HANG_S, _PAUSE_S)
        if not holds():
            raise ProcessEnded(f"exit code {self.exit_code()} before {what}")
