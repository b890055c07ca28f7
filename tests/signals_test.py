"""Tests of planned signals: none ends a process or cuts a request.

Each program runs by itself and sends itself signals at a given age; see
`signal_player.py`. No upstream, store or peer answers.
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

PLAYER = pathlib.Path(__file__).with_name("signal_player.py")
# The longest that a run may take before it counts as hung; they take 0.2 to
# 4 s.
HUNG_S = 60.0
# The longest that a stop may take before it counts as hung; they take 0.1 to
# 4 s.
STOPS_S = 15.0
STARTED = "application: started"
RELOAD = "application: reload requested"
STOP = "application: stop requested"
STOPPED = "application: stopped"

# An address of its own for each process: a gateway's port for metrics is the
# same everywhere, and other test runs may be under way beside this one.
_numbers = itertools.count(1)


def _own_ip() -> str:
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
    return _own_flags(flags | {"balancer_lag_ms": "0"}), {}


def _steward(ip: str, _work: pathlib.Path) -> tuple[list[str], dict[str, str]]:
    flags = {
        "listen": f"{ip}:8001",
        "metrics_listen": f"{ip}:8002",
        "log_url": f"http://{ip}:8003",
        "instances_url": f"http://{ip}:8004",
    }
    return _own_flags(flags), {}


def _own_flags(flags: dict[str, str]) -> list[str]:
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
class _Played:
    """How a run ended and what it wrote."""

    code: int
    output: str

    @property
    def log(self) -> list[dict]:
        """The fields of each log line."""
        lines = self.output.splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def lines(self, event: str) -> list[dict]:
        """Returns the log lines with this event."""
        return [fields for fields in self.log if fields["event"] == event]


def _play(
    program: str,
    work: pathlib.Path,
    plan: dict[str, list[str]],
    drains: bool = False,
    before: Callable[[], object] | None = None,
) -> _Played:
    """Runs a program with signals at given ages.

    Args:
      drains: Whether the program's own drain runs when it is asked to stop.
      before: What whoever starts the program does to its process first.
    """
    flags, variables = PROGRAMS[program](_own_ip(), work)
    run = subprocess.run(
        [
            sys.executable,
            str(PLAYER),
            json.dumps(plan),
            f"sesamecross.scripts.{program}",
            *flags,
        ],
        env=os.environ | variables | {"PLAYER_DRAINS": "1" if drains else "0"},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=HUNG_S,
        check=False,
        preexec_fn=before,
    )
    for age, names in plan.items():
        for name in names:
            assert f"played: {age} {name}\n" in run.stdout, run.stdout
    return _Played(run.returncode, run.stdout)


@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT"])
@pytest.mark.parametrize("program", PROGRAMS)
def test_a_stop_during_the_start_is_an_orderly_end(program, name, tmp_path):
    """An instance that was stopped while it started counted as failed.

    The platform asks a process to stop while it still imports its modules.
    The signal's default action ended it with code -15 (-2 and a traceback
    for an interrupt) and without a line in the log.
    """
    played = _play(program, tmp_path, {"import": [name]})
    assert played.code == application.EXIT_OK, played.output
    assert played.lines(STOP)
    assert not played.lines(STARTED)


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_settings_change_during_the_start_ends_nothing(program, tmp_path):
    """A process ended when its settings changed while it started.

    The platform sends SIGHUP to a process that still imports its modules and
    has no handler yet; the signal's default action ended it. The request must
    be remembered too: the settings may have been read before they changed.
    """
    plan = {"import": ["SIGHUP"], "running": ["SIGTERM"]}
    played = _play(program, tmp_path, plan)
    assert played.code == application.EXIT_OK, played.output
    assert played.lines(RELOAD)
    assert played.lines(STARTED)


@pytest.mark.parametrize("program", PROGRAMS)
def test_an_end_keeps_its_own_exit_code(program, tmp_path):
    """A process that had stopped in good order was counted as failed.

    Its loop took the handlers away as it closed. Signals that came after it,
    before the process was gone, met the default action: code 129 for new
    settings, 143 for the stop being asked for once more.
    """
    late = ["SIGHUP", "SIGTERM", "SIGINT", "SIGTERM", "SIGINT"]
    plan = {"running": ["SIGTERM"], "atexit": late, "teardown": late}
    played = _play(program, tmp_path, plan)
    assert played.code == application.EXIT_OK, played.output
    assert played.lines(STOPPED)[0]["code"] == application.EXIT_OK


def _block_signals() -> None:
    signal.pthread_sigmask(signal.SIG_BLOCK, signals.HANDLED_SIGNALS)


def _ignore_signals() -> None:
    for number in signals.HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


@pytest.mark.parametrize("before", [_block_signals, _ignore_signals])
@pytest.mark.parametrize("program", PROGRAMS)
def test_signals_are_heard_whatever_the_parent_did(program, before, tmp_path):
    """A process heard neither new settings nor its stop, and was killed.

    Whoever had started it kept signals from itself meanwhile, and a process
    inherits which signals are blocked. Its handlers were set, but the system
    never called them: the stop waited until the grace was over, and the kill
    cut off what was open.
    """
    plan = {"import": ["SIGHUP"], "running": ["SIGTERM"]}
    played = _play(program, tmp_path, plan, before=before)
    assert played.code == application.EXIT_OK, played.output
    assert played.lines(RELOAD)
    assert played.lines(STOP)


@pytest.mark.parametrize("first", ["SIGTERM", "SIGINT"])
def test_a_gateway_drains_whoever_asks_again(first, tmp_path):
    """A second request to stop cut off the answers that a gateway relayed.

    The platform and an operator had each asked for the same stop. The second
    signal ended the process with code 3 in the middle of its drain.
    """
    again = {"SIGTERM": ["SIGTERM", "SIGINT"], "SIGINT": ["SIGTERM"]}[first]
    plan = {"running": [first], "draining": again}
    played = _play("gateway", tmp_path, plan, drains=True)
    assert played.code == application.EXIT_OK, played.output
    assert played.lines("gateway: drained")


@pytest.mark.parametrize("program", PROGRAMS)
def test_signals_for_the_rotation_of_logs_end_nothing(program, tmp_path):
    """A tool that rotates logs ended the processes whose logs it rotates.

    It sends SIGUSR1 or SIGUSR2 so that a program opens its logs anew. Ours
    write to a descriptor that they are given and have no use for it, but the
    signal's default action ends a process that has no handler.
    """
    names = ["SIGUSR1", "SIGUSR2"]
    plan = {
        "import": names,
        "running": [*names, "SIGTERM"],
        "draining": names,
        "atexit": names,
        "teardown": names,
    }
    played = _play(program, tmp_path, plan)
    assert played.code == application.EXIT_OK, played.output
    assert played.lines(STARTED)


def test_a_log_tells_each_signal_by_the_phase_in_which_it_came(tmp_path):
    """Nobody could tell from a process's lines what its signals had done.

    A signal that came before the start, or that changed nothing, left no
    line; the last one did not say what had asked for the end.
    """
    plan = {
        "import": ["SIGHUP", "SIGUSR1"],
        "running": ["SIGUSR2", "SIGTERM"],
        "draining": ["SIGTERM", "SIGINT"],
    }
    played = _play("entry", tmp_path, plan)
    told = [
        (fields["signal"], fields["phase"])
        for fields in played.log
        if "signal" in fields
    ]
    assert sorted(told) == [
        ("SIGHUP", "before the start"),
        ("SIGINT", "stopping"),
        ("SIGTERM", "running"),
        ("SIGTERM", "stopping"),
        ("SIGUSR1", "before the start"),
        ("SIGUSR2", "running"),
    ]
    (stopped,) = played.lines(STOPPED)
    assert stopped["asked_by"] == "SIGTERM"


def _is_gone(reader: int, _process: subprocess.Popen) -> None:
    os.close(reader)


def _stands_still(_reader: int, process: subprocess.Popen) -> None:
    # A description of its own of the same pipe: the process's stays as it is.
    flags = os.O_WRONLY | os.O_NONBLOCK
    writer = os.open(f"/proc/{process.pid}/fd/2", flags)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"\n")
    os.close(writer)


@pytest.mark.parametrize("reader_ends", [_is_gone, _stands_still])
@pytest.mark.parametrize("program", PROGRAMS)
def test_a_stop_needs_nobody_who_reads_the_log(program, reader_ends, tmp_path):
    """A process whose log nobody read did not stop, and was killed.

    What collected the lines had ended, or stood still, before the stop. The
    line that tells of the signal is written before the stop is begun: the
    write failed, or never returned, and the stop was lost with it.
    """
    flags, variables = PROGRAMS[program](_own_ip(), tmp_path)
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
        told = b""
        while STARTED.encode() not in told:
            piece = os.read(reader, 4096)
            assert piece, told
            told += piece
        reader_ends(reader, process)
        process.send_signal(signal.SIGTERM)
        assert process.wait(STOPS_S) == application.EXIT_OK
    finally:
        process.kill()
        process.wait()
        with contextlib.suppress(OSError):
            os.close(reader)
