"""Starts and stops the processes of a deployment on loopback.

For the demo, `make up` and integration tests, which stand in for the platform:
no program of the product starts another.
"""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import urllib3

STOP_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 25.0


# Below the ports that Linux hands out to connections by default.
_FIRST_PORT, _END_PORT = 12_000, 32_000
_PORTS_OF_PROCESS = 128
_port_numbers = itertools.count()


class NotReadyError(Exception):
    """A process did not become ready in time."""


def free_ports(count: int) -> list[int]:
    """Returns loopback ports that were free just now; they are not reserved.

    The kernel hands out none of them: connections of other processes would
    take them before the caller binds them. Processes that run side by side
    begin at different ports, by process id.
    """
    ports: list[int] = []
    while len(ports) < count:
        number = os.getpid() * _PORTS_OF_PROCESS + next(_port_numbers)
        port = _FIRST_PORT + number % (_END_PORT - _FIRST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


class Process:
    """One process of a deployment."""

    __slots__ = ("name", "popen", "log_path", "command")

    def __init__(
        self,
        name: str,
        command: list[str],
        log_path: pathlib.Path,
        variables: Mapping[str, str] | None = None,
    ):
        """Starts the process.

        Args:
          name: Its name in tests and logs.
          command: The program and its arguments.
          log_path: File to which its output is appended.
          variables: Environment variables, added to those of this process.
        """
        self.name = name
        self.command = command
        self.log_path = log_path
        with log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **(variables or {})},
                # A terminal's interrupt reaches the runner only, which then
                # stops all processes in order.
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self.popen.pid

    def is_running(self) -> bool:
        """Returns whether the process has not ended."""
        return self.popen.poll() is None

    def terminate(self) -> None:
        """Requests a graceful stop, unless the process has ended."""
        if self.is_running():
            self.popen.terminate()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process, unless it has ended."""
        if self.is_running():
            self.popen.kill()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Returns the exit code, or None if the process did not end in time."""
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def log_text(self) -> str:
        """Returns the output of the process so far."""
        return self.log_path.read_text(errors="replace")


def command(module: str, *flags: str) -> list[str]:
    """Returns the command that runs a module of `sesamecross.scripts`."""
    return [sys.executable, "-m", f"sesamecross.scripts.{module}", *flags]


_http = urllib3.PoolManager(
    retries=False, timeout=urllib3.Timeout(connect=0.5, read=5.0), maxsize=32
)


def open_sockets(pid: int) -> int:
    """Returns how many sockets a process has open."""
    count = 0
    for path in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        # A descriptor may be closed meanwhile.
        with contextlib.suppress(OSError):
            count += os.readlink(path).startswith("socket:")
    return count


def peak_memory_bytes(pid: int) -> int:
    """Returns the largest resident memory that a process has had."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.partition(":")[::2] for line in text.splitlines())
    return int(fields["VmHWM"].split()[0]) * 1024


def get_json(url: str) -> object:
    """Returns the JSON document at `url`."""
    return _http.request("GET", url).json()


def post_json(url: str, body: object) -> object:
    """Posts a JSON document; returns the JSON document of the answer."""
    return _http.request("POST", url, json=body).json()


def wait_for(
    condition: Callable[[], bool],
    description: str,
    timeout_s: float = READY_TIMEOUT_S,
    pause_s: float = 0.1,
) -> None:
    """Polls until `condition` is true, `pause_s` apart.

    Raises:
      NotReadyError: It was not true within `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise NotReadyError(f"{description}: not within {timeout_s} s")
        time.sleep(pause_s)


def wait_http(url: str, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Waits until `url` answers 200.

    Raises:
      NotReadyError: It did not within `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            if _http.request("GET", url).status == 200:
                return
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.05)
    raise NotReadyError(f"{url} did not answer 200 within {timeout_s} s")
