"""Tests that no planned signal crashes a process or cuts off a request.

Each program runs alone and sends itself signals at given stages; see
`signal_sender.py`. No upstream, store or peer answers.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys

import pytest
import tomli_w

from sesamecross.runtime import application
from sesamecross.runtime import signals

SIGNAL_SENDER = pathlib.Path(__file__).with_name("signal_sender.py")
# A run that takes longer counts as hung; runs take 0.2 to 4 s.
RUN_TIMEOUT_S = 60.0
# A stop that takes longer counts as hung; stops take 0.1 to 4 s.
STOP_TIMEOUT_S = 15.0
STARTED = "application: started"
RELOAD = "application: reload requested"
STOP = "application: stop requested"
STOPPED = "application: stopped"

# Each process gets its own address: the metrics port of all gateways is the
# same, and other test runs may run at the same time.
_numbers = itertools.count(1)


def _unique_ip() -> str:
    high, low = divmod(os.getpid() % 30_000, 250)
    return f"127.{high + 1}.{low + 1}.{next(_numbers)}"


def _gateway_settings(ip: str) -> dict:
    return {
        "nodeName": "front-1",
        "ip": ip,
        "zone": "west-a",
        "region": "west",
        "internalPorts": [7380, 7395],
        "zones": {"west-a": "west"},
        "listen": {"front": f"{ip}:8149", "ready": f"{ip}:8141"},
        "platform": {"address": f"{ip}:8142"},
    }


def _gateway(ip: str, work: pathlib.Path) -> tuple[list[str], dict[str, str]]:
    path = work / "node.toml"
    path.write_text(tomli_w.dumps(_gateway_settings(ip)), encoding="utf-8")
    return [], {"SESAMECROSS_BOOT": str(path)}


def _entry(ip: str, _work: pathlib.Path) -> tuple[list[str], dict[str, str]]:
    flags = {"listen": f"{ip}:8001", "steward": f"{ip}:8002"}
    return _common_flags(flags | {"balancer_lag_ms": "0"}), {}


def _steward(ip: str, _work: pathlib.Path) -> tuple[list[str], dict[str, str]]:
    flags = {
        "listen": f"{ip}:8001",
        "metrics_listen": f"{ip}:8002",
        "log_url": f"http://{ip}:8003",
        "instances_url": f"http://{ip}:8004",
    }
    return _common_flags(flags), {}


def _common_flags(flags: dict[str, str]) -> list[str]:
    common = {"instance": "one", "zone": "a", "region": "r"}
    common["shared_key"] = "key-of-sixteen-and-more"
    return [
        text
        for name, value in (common | flags).items()
        for text in (f"--{name.replace('_', '-')}", value)
    ]


def _fake(*flags: str):
    def prepare(ip: str, _work: pathlib.Path):
        listen = f"{ip}:8001"
        return ["--listen", listen, "--log-level", "info", *flags], {}

    return prepare


PROGRAMS = {
    "gateway": _gateway,
    "entry": _entry,
    "steward": _steward,
    "fake_engine": _fake(
        "--memory-mib", "9", "--store-url", "http://127.0.0.1:1"
    ),
    "fake_service": _fake(),
    "fake_log": _fake(),
    "fake_store": _fake(),
    "fake_instances": _fake(),
    "fault_proxy": _fake(),
}


@dataclasses.dataclass(frozen=True, slots=True)
class _RunResult:
    """Exit code and output of a run."""

    code: int
    output: str

    @property
    def log(self) -> list[dict]:
        """The fields of all log lines."""
        lines = self.output.splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def lines(self, event: str) -> list[dict]:
        """Returns the log lines with this event."""
        return [fields for fields in self.log if fields["event"] == event]


def _run_program(
    program: str,
    work: pathlib.Path,
    plan: dict[str, list[str]],
    run_drain: bool = False,
    parent_setup: Callable[[], object] | None = None,
) -> _RunResult:
    """Runs a program that gets signals at given stages.

    Args:
      run_drain: Whether the program's own drain runs when it is asked to stop.
      parent_setup: Called in the new process before the program is executed.
    """
    flags, variables = PROGRAMS[program](_unique_ip(), work)
    run = subprocess.run(
        [
            sys.executable,
            str(SIGNAL_SENDER),
            json.dumps(plan),
            f"sesamecross.scripts.{program}",
            *flags,
        ],
        env=os.environ
        | variables
        | {"PLAYER_DRAINS": "1" if run_drain else "0"},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
        preexec_fn=parent_setup,
    )
    for stage, names in plan.items():
        for name in names:
            assert f"sent: {stage} {name}\n" in run.stdout, run.stdout
    return _RunResult(run.returncode, run.stdout)


@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT"])
@pytest.mark.parametrize("program", PROGRAMS)
def test_a_stop_during_the_start_is_an_orderly_end(program, name, tmp_path):
    """A process that was stopped during its start counted as failed.

    The platform asks a process to stop while it still imports its modules. The
    default action of the signal ended it with code -15 (-2 and a traceback for
    an interrupt) and without a log line.
    """
    result = _run_program(program, tmp_path, {"import": [name]})
    assert result.code == application.EXIT_OK, result.output
    assert result.lines(STOP)
    assert not result.lines(STARTED)


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_settings_change_during_the_start_ends_nothing(program, tmp_path):
    """A process ended when its settings changed during its start.

    The platform sends SIGHUP to a process that still imports its modules and
    has no handler yet; the default action of the signal ended it. The request
    must not be lost either: the old settings may have been read already.
    """
    plan = {"import": ["SIGHUP"], "running": ["SIGTERM"]}
    result = _run_program(program, tmp_path, plan)
    assert result.code == application.EXIT_OK, result.output
    assert result.lines(RELOAD)
    assert result.lines(STARTED)


@pytest.mark.parametrize("program", PROGRAMS)
def test_an_end_keeps_its_own_exit_code(program, tmp_path):
    """A process that had stopped cleanly was counted as failed.

    The event loop removed its signal handlers when it closed. Later signals,
    until the process ended, had their default action: exit code 129 for SIGHUP
    and 143 for a repeated SIGTERM.
    """
    late = ["SIGHUP", "SIGTERM", "SIGINT", "SIGTERM", "SIGINT"]
    plan = {"running": ["SIGTERM"], "atexit": late, "teardown": late}
    result = _run_program(program, tmp_path, plan)
    assert result.code == application.EXIT_OK, result.output
    assert result.lines(STOPPED)[0]["code"] == application.EXIT_OK


def _block_signals() -> None:
    signal.pthread_sigmask(signal.SIG_BLOCK, signals.HANDLED_SIGNALS)


def _ignore_signals() -> None:
    for number in signals.HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


@pytest.mark.parametrize("parent_setup", [_block_signals, _ignore_signals])
@pytest.mark.parametrize("program", PROGRAMS)
def test_signals_are_handled_whatever_the_parent_did(
    program, parent_setup, tmp_path
):
    """A process ignored SIGHUP and SIGTERM, and was killed.

    Its parent had blocked signals while it started the process, and a process
    inherits the signal mask. The handlers were installed but never called: the
    stop waited until the grace period was over, and the kill cut off open
    requests.
    """
    plan = {"import": ["SIGHUP"], "running": ["SIGTERM"]}
    result = _run_program(program, tmp_path, plan, parent_setup=parent_setup)
    assert result.code == application.EXIT_OK, result.output
    assert result.lines(RELOAD)
    assert result.lines(STOP)


@pytest.mark.parametrize("first", ["SIGTERM", "SIGINT"])
def test_a_gateway_drains_despite_further_stop_signals(first, tmp_path):
    """A second stop signal cut off the answers that a gateway relayed.

    The platform and an operator had both requested the same stop. The second
    signal ended the process with code 3 during its drain.
    """
    again = {"SIGTERM": ["SIGTERM", "SIGINT"], "SIGINT": ["SIGTERM"]}[first]
    plan = {"running": [first], "draining": again}
    result = _run_program("gateway", tmp_path, plan, run_drain=True)
    assert result.code == application.EXIT_OK, result.output
    assert result.lines("gateway: drained")


@pytest.mark.parametrize("program", PROGRAMS)
def test_signals_for_the_rotation_of_logs_end_nothing(program, tmp_path):
    """A log rotation tool ended the processes whose logs it rotated.

    It sends SIGUSR1 or SIGUSR2 so that a program reopens its log files. Ours
    write to an inherited descriptor and need no such signal, but its default
    action ends a process that has no handler.
    """
    names = ["SIGUSR1", "SIGUSR2"]
    plan = {
        "import": names,
        "running": [*names, "SIGTERM"],
        "draining": names,
        "atexit": names,
        "teardown": names,
    }
    result = _run_program(program, tmp_path, plan)
    assert result.code == application.EXIT_OK, result.output
    assert result.lines(STARTED)


def test_a_log_tells_each_signal_by_the_phase_in_which_it_came(tmp_path):
    """The log did not show what the signals to a process had done.

    A signal that came before the start, or that had no effect, was not logged,
    and the last line did not name what had requested the stop.
    """
    plan = {
        "import": ["SIGHUP", "SIGUSR1"],
        "running": ["SIGUSR2", "SIGTERM"],
        "draining": ["SIGTERM", "SIGINT"],
    }
    result = _run_program("entry", tmp_path, plan)
    signal_phases = [
        (fields["signal"], fields["phase"])
        for fields in result.log
        if "signal" in fields
    ]
    assert sorted(signal_phases) == [
        ("SIGHUP", "before the start"),
        ("SIGINT", "stopping"),
        ("SIGTERM", "running"),
        ("SIGTERM", "stopping"),
        ("SIGUSR1", "before the start"),
        ("SIGUSR2", "running"),
    ]
    (stopped,) = result.lines(STOPPED)
    assert stopped["asked_by"] == "SIGTERM"


def _close_reader(reader: int, _process: subprocess.Popen) -> None:
    os.close(reader)


def _fill_pipe(_reader: int, process: subprocess.Popen) -> None:
    # A separate open file description of the same pipe, so that the one of the
    # process stays blocking.
    flags = os.O_WRONLY | os.O_NONBLOCK
    writer = os.open(f"/proc/{process.pid}/fd/2", flags)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"\n")
    os.close(writer)


@pytest.mark.parametrize("stop_reading", [_close_reader, _fill_pipe])
@pytest.mark.parametrize("program", PROGRAMS)
def test_a_stop_does_not_depend_on_a_log_reader(
    program, stop_reading, tmp_path
):
    """A process whose log was not read did not stop, and was killed.

    The log collector had ended, or hung, before the stop. The signal is logged
    before the stop begins: the write failed, or blocked for ever, and the stop
    was never begun.
    """
    flags, variables = PROGRAMS[program](_unique_ip(), tmp_path)
    reader, writer = os.pipe()
    process = subprocess.Popen(
        [sys.executable, "-m", f"sesamecross.scripts.{program}", *flags],
        env=os.environ | variables,
        stdin=subprocess.DEVNULL,
        stdout=writer,
        stderr=writer,
    )
    os.close(writer)
    try:
        output = b""
        while STARTED.encode() not in output:
            piece = os.read(reader, 4096)
            assert piece, output
            output += piece
        stop_reading(reader, process)
        process.send_signal(signal.SIGTERM)
        assert process.wait(STOP_TIMEOUT_S) == application.EXIT_OK
    finally:
        process.kill()
        process.wait()
        with contextlib.suppress(OSError):
            os.close(reader)
