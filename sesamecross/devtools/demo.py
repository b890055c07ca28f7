"""`make demo` and `make up`: a deployment for people and for outside checks.

Why: a newcomer sees the whole path with one command, and outside tools get a
running deployment with its addresses in files.
"""

from collections.abc import Callable
import concurrent.futures
import io
import pathlib
import threading
import time

import urllib3

from sesamecross.devtools import deployment as deployment_lib
from sesamecross.devtools import runner as runner_lib
from sesamecross.operators import command_line

EXAMPLE = pathlib.Path("examples/namib")
WORK_DIR = pathlib.Path(".demo")
CHAT_MODEL = "advice-fade"
CHAT_ADAPTER = "advice-fade-a01"
ORDER_PATH = "/services/orders/orders"

Say = Callable[[str], None]


def demo_spec() -> deployment_lib.DeploymentSpec:
    """Returns the Namib-like deployment of the demo."""
    return deployment_lib.DeploymentSpec(EXAMPLE, entries_per_zone=2)


class OperatorCli:
    """Runs the operators' command as a person would."""

    def __init__(self, deployment: deployment_lib.Deployment):
        self._environment = {
            command_line.LOG_URL_VARIABLE: deployment.log_url,
            command_line.SHARED_KEY_VARIABLE: deployment_lib.SHARED_KEY,
        }

    def run(self, *arguments: str) -> tuple[int, str]:
        """Returns the exit code and what was printed."""
        out = io.StringIO()
        command = command_line.CommandLine(
            self._environment, io.StringIO(), out, out
        )
        code = command.run(arguments)
        return code, out.getvalue()


class Caller:
    """Calls entries over HTTP."""

    def __init__(self, key: str = deployment_lib.CALLER_KEY):
        self._http = urllib3.PoolManager(
            retries=False, timeout=30.0, maxsize=64
        )
        self._authorization = {"Authorization": f"Bearer {key}"}

    def chat(
        self, entry_url: str, model: str, prompt: str, tokens: int
    ) -> tuple[int, bytes, str]:
        """Streams a chat; returns status, body and correlation id."""
        response = self._http.request(
            "POST",
            f"{entry_url}/v1/chat/completions",
            json={
                "model": model,
                "stream": True,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": prompt}],
            },
            headers=self._authorization,
        )
        call_id = response.headers.get("X-Correlation-Id", "")
        return response.status, response.data, call_id

    def order(
        self, entry_url: str, key: str, path: str = ORDER_PATH
    ) -> tuple[int, bytes]:
        """Posts an order; returns status and body."""
        response = self._http.request(
            "POST",
            entry_url + path,
            json={"blades": 12},
            headers=self._authorization | {"Idempotency-Key": key},
        )
        return response.status, response.data


def run_demo(say: Say) -> int:
    """Runs the whole path once; returns the exit code."""
    return runner_lib.Runner().run(lambda runner: _demo(runner, say))


def _demo(runner: runner_lib.Runner, say: Say) -> int:
    began = time.monotonic()
    deployment = runner.deployment(demo_spec(), WORK_DIR)
    failures = _tell(deployment, say)
    for failure in failures:
        say(f"FAILED: {failure}")
    say("\nStopping everything, the callers' side first.")
    codes = deployment.stop()
    bad = {name: code for name, code in codes.items() if code != 0}
    if bad:
        say(f"FAILED: exit codes {bad}")
    else:
        say(f"All {len(codes)} processes have stopped with exit code 0.")
    say(f"The demo took {time.monotonic() - began:.1f} s.")
    return 1 if failures or bad else 0


def _tell(deployment: deployment_lib.Deployment, say: Say) -> list[str]:
    failures: list[str] = []
    operator = OperatorCli(deployment)
    say("A Namib-like deployment on loopback: three availability zones, two")
    say("entry instances each, six engines, three order services, and fakes")
    say("of the platform's log, weight store and instance list.\n")
    deployment.start_fakes()
    deployment.start_instances()
    _tell_publish(deployment, operator, say, failures)
    deployment.wait_ready()
    declared = deployment.declared
    wanted = set(declared.models) | {CHAT_ADAPTER}
    took_s = deployment.wait_resident(wanted)
    say(
        "\nPlacement wrote intents and sent orders; all"
        f" {len(declared.models)} models are resident after {took_s:.1f} s."
    )
    _tell_chat(deployment, operator, say, failures)
    _tell_order(deployment, say, failures)
    _, text = operator.run("status")
    say("\nsesamecross status\n" + text.rstrip())
    return failures


def _tell_publish(
    deployment: deployment_lib.Deployment,
    operator: OperatorCli,
    say: Say,
    failures: list[str],
) -> None:
    folder = str(deployment.config_dir)
    for arguments in (
        ("check", folder),
        ("explain", "models.advice-fade.memory_mib", "--folder", folder),
        ("explain", "upstreams.order-app-1.url", "--folder", folder),
        ("publish", folder, "--author", "demo"),
    ):
        code, text = operator.run(*arguments)
        shown = " ".join(a if a != folder else "FOLDER" for a in arguments)
        say(f"$ sesamecross {shown}\n{text.rstrip()}")
        if code != 0:
            failures.append(f"{shown} ended with {code}")


def _tell_chat(
    deployment: deployment_lib.Deployment,
    operator: OperatorCli,
    say: Say,
    failures: list[str],
) -> None:
    caller = Caller()
    entry = deployment.instances[0]
    for model in (CHAT_MODEL, CHAT_ADAPTER):
        status, body, call_id = caller.chat(
            entry.entry_url, model, "Which blade for a skin fade?", 8
        )
        events = body.decode().strip().split("\n\n")
        say(
            f"\nA caller's chat with {model} at {entry.name}: HTTP {status},"
            f" {len(events)} events, the last one {events[-1]!r}."
        )
        if status != 200 or events[-1] != "data: [DONE]":
            failures.append(f"chat with {model}")
    say("The call's story over all processes (sesamecross timeline --call):")
    _, text = operator.run("timeline", "--call", call_id)
    say(text.rstrip())


def _tell_order(
    deployment: deployment_lib.Deployment, say: Say, failures: list[str]
) -> None:
    caller = Caller()
    first, second = deployment.instances[0], deployment.instances[-1]
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        answers = list(
            pool.map(
                lambda instance: caller.order(instance.entry_url, "demo-1"),
                (first, second),
            )
        )
    runs = count_order_runs(deployment, "demo-1")
    say(
        f"\nOne order posted at the same moment to {first.name} and"
        f" {second.name}: answers {[a[0] for a in answers]}, the services ran"
        f" it {runs} time."
    )
    if runs != 1:
        failures.append(f"the order ran {runs} times")


def count_order_runs(deployment: deployment_lib.Deployment, key: str) -> int:
    """Returns how often the services ran a key, by their own records."""
    total = 0
    for url in deployment.service_urls.values():
        stats = deployment_lib.processes.get_json(f"{url}/fake/stats")
        total += stats["runs"].get(key, 0)
    return total


def write_files(deployment: deployment_lib.Deployment) -> None:
    """Writes the addresses and process ids for outside tools."""
    entries = " ".join(i.entry_url for i in deployment.instances)
    engines = " ".join(deployment.engine_urls.values())
    services = " ".join(deployment.service_urls.values())
    lines = {
        "ENTRY_URLS": entries,
        "SESAMECROSS_LOG": deployment.log_url,
        "SESAMECROSS_SHARED_KEY": deployment_lib.SHARED_KEY,
        "CONFIG_DIR": str(deployment.config_dir.resolve()),
        "CALLER_KEY": deployment_lib.CALLER_KEY,
        "CHAT_MODEL": CHAT_MODEL,
        "ORDER_PATH": ORDER_PATH,
        "FAKE_ENGINE_URLS": engines,
        "FAKE_SERVICE_URLS": services,
        "FAKE_LOG_URL": deployment.log_url,
        "FAKE_STORE_URL": deployment.store_url,
        "FAKE_INSTANCES_URL": deployment.instances_url,
    }
    pids = "".join(
        f"{name} {process.pid}\n"
        for name, process in deployment.processes.items()
    )
    (WORK_DIR / "pids").write_text(pids, encoding="utf-8")
    text = "".join(f"{key}='{value}'\n" for key, value in lines.items())
    # Written last and moved into place: whoever waits for this file finds a
    # deployment that is ready.
    (WORK_DIR / "env.new").write_text(text, encoding="utf-8")
    (WORK_DIR / "env.new").rename(WORK_DIR / "env")


def run_up(say: Say) -> int:
    """Keeps a deployment running until a signal; returns the exit code."""
    return runner_lib.Runner().run(lambda runner: _up(runner, say))


def _up(runner: runner_lib.Runner, say: Say) -> int:
    deployment = runner.deployment(demo_spec(), WORK_DIR)
    try:
        if not _start(deployment, say):
            return 1
        say("Ready. Addresses are in .demo/env, processes in .demo/pids.")
        threading.Event().wait()
    except runner_lib.StopRequested:
        # Nothing is said before the stop: the terminal may be gone.
        codes = deployment.stop()
    failed = {
        name: code
        for name, code in codes.items()
        if name.startswith(("entry", "steward")) and code not in (0, -9, -15)
    }
    if failed:
        say(f"Some processes did not stop cleanly: {failed}")
    return 1 if failed else 0


def _start(deployment: deployment_lib.Deployment, say: Say) -> bool:
    """Starts all and writes the addresses; tells whether it could."""
    deployment.start_fakes()
    deployment.start_instances()
    code, text = OperatorCli(deployment).run(
        "publish", str(deployment.config_dir), "--author", "up"
    )
    say(text.rstrip())
    if code != 0:
        return False
    deployment.wait_ready()
    deployment.wait_resident(set(deployment.declared.models))
    write_files(deployment)
    return True
