"""Measures what a start of a gateway costs, and when it can do what.

Instances start hundreds of times a day, and after an incident all at once on
few cores: the processor time of a start is then the length of the outage. Run
by hand, on an idle machine:

    python -m sesamecross.devtools.start_cost --starts 20

A process that finds no compiled modules compiles them at each start. By default
they are compiled before the first start that is measured; `--uncompiled` shows
the cost in a checkout that holds none and is not written to.
"""

import argparse
import datetime
import os
import pathlib
import socket
import statistics
import sys
import tempfile
import time

from sesamecross.devtools import usage
from sesamecross.fakes import platform_instance
from sesamecross.fakes import platform_site

_POLL_INTERVAL_S = 0.002
_HANG_TIMEOUT_S = 30.0
# Steps that the gateway logs, in the order of the table.
_LOGGED_STEPS = {
    "configuration": "configuration: in force",
    "upstreams": "follower: listed",
    "joined": "registrar: joined",
}


def main() -> int:
    """Prints the quartiles of each step of a start."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=20)
    parser.add_argument("--uncompiled", action="store_true")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as text:
        directory = pathlib.Path(text)
        _set_compilation(directory, arguments.uncompiled)
        site = platform_site.PlatformSite(directory)
        try:
            # Compiles the modules, unless that is left out.
            site.prepare()
            starts = [_measure(site) for _ in range(arguments.starts)]
        finally:
            site.stop()
    _print_table(starts)
    return 0


def _set_compilation(directory: pathlib.Path, is_left_out: bool) -> None:
    if is_left_out:
        os.environ["PYTHONDONTWRITEBYTECODE"] = "1"
        return
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    os.environ["PYTHONPYCACHEPREFIX"] = str(directory / "compiled")


def _measure(site: platform_site.PlatformSite) -> dict[str, float]:
    """Starts the gateway again; returns its steps, in ms."""
    gateway = site.gateway
    gateway.kill()
    lines_before = len(gateway.log_lines())
    begun_s, begun_wall_s = time.monotonic(), time.time()
    gateway.start()

    def elapsed_ms() -> float:
        return (time.monotonic() - begun_s) * 1000

    _wait_until_open(gateway.front)
    measured = {"listener open": elapsed_ms()}
    gateway.wait_ready()
    measured["ready"] = elapsed_ms()
    measured["processor time until ready"] = (
        usage.read_processor_time_s(gateway.pid) * 1000
    )
    call = site.call(platform_site.DESK)
    call.send()
    answer = call.finish()
    call.close()
    measured["first answer"] = elapsed_ms()
    if answer.status != 200 or answer.error:
        print(f"first answer: {answer.status} {answer.error}", file=sys.stderr)
    for step, event in _LOGGED_STEPS.items():
        _wait_for_event(gateway, event, lines_before)
        logged_s = max(
            datetime.datetime.fromisoformat(line["timestamp"]).timestamp()
            for line in gateway.log_lines()[lines_before:]
            if line["event"] == event
        )
        measured[step] = (logged_s - begun_wall_s) * 1000
    return measured


def _wait_until_open(address: tuple[str, int]) -> None:
    until_s = time.monotonic() + _HANG_TIMEOUT_S
    while time.monotonic() < until_s:
        with socket.socket() as probe:
            if probe.connect_ex(address) == 0:
                return
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f"{address} does not listen; read the gateway's log")


def _wait_for_event(
    gateway: platform_instance.PlatformInstance, event: str, lines_before: int
) -> None:
    until_s = time.monotonic() + _HANG_TIMEOUT_S
    while time.monotonic() < until_s:
        lines = gateway.log_lines()[lines_before:]
        if any(line["event"] == event for line in lines):
            return
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f"no line {event!r}; read the gateway's log")


def _print_table(starts: list[dict[str, float]]) -> None:
    print(f"{len(starts)} starts; ms     quartile   median quartile")
    for step in sorted(starts[0], key=lambda step: starts[0][step]):
        values = [start[step] for start in starts]
        low, middle, high = statistics.quantiles(values, n=4)
        print(f"{step:<28}{low:8.0f} {middle:8.0f} {high:8.0f}")


if __name__ == "__main__":
    sys.exit(main())
