"""A fake of what the platform does on one instance: settings and signals.

The platform writes a settings file, starts the gateway, polls its readiness and
sends signals. Tests do the same with a real process, and learn from its log
lines what it has noticed, so that they wait for events instead of a fixed time.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import types
from typing import Any

import tomli_w

from sesamecross.devtools import processes
from sesamecross.platform import program
from sesamecross.platform import settings

ZONE = "west-a"
# Only ends tests that hang: everything that is waited for comes at once, or
# within a few seconds that the gateway takes.
HANG_TIMEOUT_S = 30.0
# The most that a planned stop may take; longer than any test holds a request.
GRACE_S = 60.0
MEMORY_MB = 300
MAX_FDS = 4100
# Of the descriptors, those that the platform reserves for files.
FILE_FDS = 200
_FRONT_PORT = 8149
_READY_PORT = 8141
_INTERNAL_PORTS = [7380, 7395]
_POLL_INTERVAL_S = 0.01

_host_numbers = itertools.count()


class ProcessEnded(Exception):
    """The process ended before an expected event."""


def unused_loopback_host() -> str:
    """Returns a loopback address that no other instance uses.

    All instances use the same port for metrics, so each needs an address.
    Tests that run in parallel begin at different addresses, by process id.
    """
    while True:
        number = os.getpid() * 16 + next(_host_numbers)
        parts = (number >> 16) % 254 + 1, (number >> 8) % 256, number % 256
        host = "127.{}.{}.{}".format(*parts)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, program.METRICS_PORT))
            except OSError:
                continue
        return host


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Where an instance runs.

    Attributes:
      regions: The region of each availability zone of the platform.
    """

    zone: str = ZONE
    regions: Mapping[str, str] = dataclasses.field(
        default_factory=lambda: {ZONE: "west"}
    )


class PlatformInstance:
    """One gateway process and its settings file.

    Attributes:
      store_address: Written into the settings at each start.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        store_address: str,
        name: str = "front-west-a-1",
        location: Location | None = None,
        bounds: Mapping[str, Any] = types.MappingProxyType({}),
        variables: Mapping[str, str] = types.MappingProxyType({}),
        memory_mb: int = MEMORY_MB,
        max_fds: int = MAX_FDS,
    ):
        """Creates the instance; `start` starts its process.

        Args:
          directory: For its settings file and its log.
          store_address: Where the platform's store listens.
          name: Its name at the platform.
          location: Where it runs; in the only zone by default.
          bounds: Bounds that differ from the usual ones.
          variables: Further environment variables of the process.
          memory_mb: What the platform allows the process, in 10**6 bytes.
          max_fds: Descriptors that the platform allows the process.
        """
        self.name = name
        self._location = location or Location()
        self._bounds = bounds
        self._variables = variables
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self._host = unused_loopback_host()
        self._path = directory / "node.toml"
        self.store_address = store_address
        self._log_path = directory / "gateway.log"
        self._process: processes.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """The address for callers."""
        return self._host, _FRONT_PORT

    @property
    def zone(self) -> str:
        """Its availability zone."""
        return self._location.zone

    @property
    def ready(self) -> tuple[str, int]:
        """The address at which the platform asks whether it is ready."""
        return self._host, _READY_PORT

    @property
    def metrics(self) -> tuple[str, int]:
        """The address of its metrics."""
        return self._host, program.METRICS_PORT

    @property
    def peers(self) -> tuple[str, int]:
        """The address for streams of other instances."""
        return self._host, _INTERNAL_PORTS[0]

    @property
    def pid(self) -> int | None:
        """The id of its newest process."""
        return None if self._process is None else self._process.pid

    # -- settings --------------------------------------------------------

    def settings_text(
        self, drain_ms: int = 2500, front_port: int = _FRONT_PORT
    ) -> str:
        """Returns the text of a settings file in the platform's format."""
        host = self._host
        return tomli_w.dumps(
            {
                "nodeName": self.name,
                "role": "gateway",
                "machineClass": "front",
                "serves": ["front"],
                "ip": host,
                "zone": self._location.zone,
                "region": self._location.regions[self._location.zone],
                "internalPorts": _INTERNAL_PORTS,
                "heartbeatMs": 1200,
                "zones": dict(self._location.regions),
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
                    **self._bounds,
                },
                "limits": {
                    "memoryMb": self.memory_mb,
                    "maxFds": self.max_fds,
                },
                "platform": {"address": self.store_address, "form": "log"},
            }
        )

    def write_settings(self, text: str) -> None:
        """Overwrites the file in place, so that a partial write is visible."""
        self._path.write_text(text, encoding="utf-8")

    def replace_settings(self, text: str) -> None:
        """Replaces the file atomically."""
        temporary = self._path.with_suffix(".new")
        temporary.write_text(text, encoding="utf-8")
        os.replace(temporary, self._path)

    # -- the process -----------------------------------------------------

    def start(self) -> None:
        """Starts the gateway."""
        self.write_settings(self.settings_text())
        self._process = processes.Process(
            "gateway",
            processes.command("gateway"),
            self._log_path,
            {settings.BOOT_VARIABLE: str(self._path), **self._variables},
        )

    def wait_ready(self) -> None:
        """Waits until it is ready for callers."""
        ready = f"http://{self._host}:{_READY_PORT}/v1/ready"
        processes.wait_http(ready, HANG_TIMEOUT_S)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        self._process.send_signal(number)

    def handles(self, number: int) -> bool:
        """Whether the process has a handler for a signal.

        Until the interpreter has started, a signal ends it without a word.
        """
        if not self.is_running:
            return False
        fields = self._status_fields()
        if fields is None:
            return False
        return bool(int(fields["SigCgt"], 16) >> (number - 1) & 1)

    def _status_fields(self) -> dict[str, str] | None:
        """Returns the system's status of the process; None if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return None
        return dict(line.partition(":")[::2] for line in status.splitlines())

    def memory_bytes(self) -> tuple[int, int]:
        """Returns its resident memory, now and at its peak; 0 if it ended."""
        fields = self._status_fields() or {}
        return tuple(
            int(fields.get(name, "0 kB").split()[0]) * 1024
            for name in ("VmRSS", "VmHWM")
        )

    def open_sockets(self) -> int:
        """Returns how many sockets the process has open."""
        return processes.open_sockets(self.pid)

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.is_running()

    def exit_code(self) -> int | None:
        """Returns the exit code: 128 plus the number for a signal.

        None if the process has not ended within `HANG_TIMEOUT_S`.
        """
        returncode = self._process.wait(HANG_TIMEOUT_S)
        return (
            128 - returncode
            if returncode is not None and returncode < 0
            else returncode
        )

    def kill(self) -> None:
        """Kills the process if it is running."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    # -- its log ---------------------------------------------------------

    def log_lines(
        self, prefix: str = "", **fields: Any
    ) -> list[dict[str, Any]]:
        """Returns the log lines with this event prefix and these fields."""
        found = []
        for text in self._log_path.read_text(errors="replace").splitlines():
            try:
                line = json.loads(text)
            except ValueError:
                # The line is not fully written yet.
                continue
            if str(line.get("event", "")).startswith(prefix) and all(
                line.get(name) == value for name, value in fields.items()
            ):
                found.append(line)
        return found

    def wait_log_line(self, prefix: str, count: int = 1, **fields: Any) -> None:
        """Waits until there are `count` such log lines.

        Raises:
          ProcessEnded: The process ended before them.
        """

        def is_there() -> bool:
            return len(self.log_lines(prefix, **fields)) >= count

        self._wait_for(is_there, f"{count} of {prefix!r} {fields}")

    def wait_new_log_line(
        self, prefix: str, act: Callable[[], None], **fields: Any
    ) -> None:
        """Calls `act`, and waits for one more such log line than before."""
        before = len(self.log_lines(prefix, **fields))
        act()
        self.wait_log_line(prefix, before + 1, **fields)

    def _wait_for(
        self, condition: Callable[[], bool], description: str
    ) -> None:
        def is_over() -> bool:
            return not self.is_running or condition()

        processes.wait_for(
            is_over, description, HANG_TIMEOUT_S, _POLL_INTERVAL_S
        )
        if not condition():
            raise ProcessEnded(
                f"exit code {self.exit_code()} before {description}"
            )
