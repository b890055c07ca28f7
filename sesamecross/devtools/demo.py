"""`make demo` and `make up`: a deployment on loopback for people and tools.

`make demo` shows the path of a call through all processes with one command.
`make up` keeps a deployment running and writes its addresses to files, for
external tools.
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

PrintLine = Callable[[str], None]


def demo_spec() -> deployment_lib.DeploymentSpec:
    """Returns the spec of the demo, which is based on the `namib` example."""
    return deployment_lib.DeploymentSpec(EXAMPLE, entries_per_zone=2)


class OperatorCli:
    """Runs the operators' command line in this process."""

    def __init__(self, deployment: deployment_lib.Deployment):
        self._environment = {
            command_line.LOG_URL_VARIABLE: deployment.log_url,
            command_line.SHARED_KEY_VARIABLE: deployment_lib.SHARED_KEY,
        }

    def run(self, *arguments: str) -> tuple[int, str]:
        """Runs one command; returns its exit code and output."""
        out = io.StringIO()
        command = command_line.CommandLine(
            self._environment, io.StringIO(), out, out
        )
        code = command.run(arguments)
        return code, out.getvalue()


class Caller:
    """HTTP client of the entries."""

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


def run_demo(print_line: PrintLine) -> int:
    """Runs the demo; returns the exit code."""
    return runner_lib.Runner().run(lambda runner: _run_demo(runner, print_line))


def _run_demo(runner: runner_lib.Runner, print_line: PrintLine) -> int:
    began = time.monotonic()
    deployment = runner.deployment(demo_spec(), WORK_DIR)
    failures = _show_deployment(deployment, print_line)
    for failure in failures:
        print_line(f"FAILED: {failure}")
    print_line("\nStopping all processes, the entries first.")
    codes = deployment.stop()
    nonzero = {name: code for name, code in codes.items() if code != 0}
    if nonzero:
        print_line(f"FAILED: exit codes {nonzero}")
    else:
        print_line(f"All {len(codes)} processes have stopped with exit code 0.")
    print_line(f"The demo took {time.monotonic() - began:.1f} s.")
    return 1 if failures or nonzero else 0


def _show_deployment(
    deployment: deployment_lib.Deployment, print_line: PrintLine
) -> list[str]:
    failures: list[str] = []
    operator = OperatorCli(deployment)
    print_line(
        "A deployment on loopback like the Namib example: three availability"
    )
    print_line(
        "zones, two entry instances each, six engines, three order services,"
    )
    print_line(
        "and fakes of the platform's log, weight store and instance list.\n"
    )
    deployment.start_fakes()
    deployment.start_instances()
    _show_publish(deployment, operator, print_line, failures)
    deployment.wait_ready()
    declared = deployment.declared
    expected = set(declared.models) | {CHAT_ADAPTER}
    took_s = deployment.wait_resident(expected)
    print_line(
        "\nPlacement wrote intents and sent orders; all"
        f" {len(declared.models)} models are resident after {took_s:.1f} s."
    )
    _show_chat(deployment, operator, print_line, failures)
    _show_order(deployment, print_line, failures)
    _, text = operator.run("status")
    print_line("\nsesamecross status\n" + text.rstrip())
    return failures


def _show_publish(
    deployment: deployment_lib.Deployment,
    operator: OperatorCli,
    print_line: PrintLine,
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
        print_line(f"$ sesamecross {shown}\n{text.rstrip()}")
        if code != 0:
            failures.append(f"{shown} exited with code {code}")


def _show_chat(
    deployment: deployment_lib.Deployment,
    operator: OperatorCli,
    print_line: PrintLine,
    failures: list[str],
) -> None:
    caller = Caller()
    entry = deployment.instances[0]
    for model in (CHAT_MODEL, CHAT_ADAPTER):
        status, body, call_id = caller.chat(
            entry.entry_url, model, "Which blade for a skin fade?", 8
        )
        events = body.decode().strip().split("\n\n")
        print_line(
            f"\nA caller's chat with {model} at {entry.name}: HTTP {status},"
            f" {len(events)} events, the last one {events[-1]!r}."
        )
        if status != 200 or events[-1] != "data: [DONE]":
            failures.append(f"chat with {model}")
    print_line(
        "The call's events in all processes (sesamecross timeline --call):"
    )
    _, text = operator.run("timeline", "--call", call_id)
    print_line(text.rstrip())


def _show_order(
    deployment: deployment_lib.Deployment,
    print_line: PrintLine,
    failures: list[str],
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
    run_count = count_order_runs(deployment, "demo-1")
    print_line(
        f"\nThe same order posted concurrently to {first.name} and"
        f" {second.name}: statuses {[a[0] for a in answers]}, executed"
        f" {run_count} time(s) by the services."
    )
    if run_count != 1:
        failures.append(f"the order was executed {run_count} times")


def count_order_runs(deployment: deployment_lib.Deployment, key: str) -> int:
    """Returns how often the services executed a key, by their own counts."""
    total = 0
    for url in deployment.service_urls.values():
        stats = deployment_lib.processes.get_json(f"{url}/fake/stats")
        total += stats["runs"].get(key, 0)
    return total


def write_address_files(deployment: deployment_lib.Deployment) -> None:
    """Writes the addresses and process ids for external tools."""
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
    # Written last and renamed into place: a tool that waits for this file finds
    # a ready deployment and a complete file.
    (WORK_DIR / "env.new").write_text(text, encoding="utf-8")
    (WORK_DIR / "env.new").rename(WORK_DIR / "env")


def run_up(print_line: PrintLine) -> int:
    """Keeps a deployment running until a signal; returns the exit code."""
    return runner_lib.Runner().run(lambda runner: _run_up(runner, print_line))


def _run_up(runner: runner_lib.Runner, print_line: PrintLine) -> int:
    deployment = runner.deployment(demo_spec(), WORK_DIR)
    try:
        if not _start_deployment(deployment, print_line):
            return 1
        print_line(
            "Ready. Addresses are in .demo/env, processes in .demo/pids."
        )
        threading.Event().wait()
    except runner_lib.StopRequested:
        # Print nothing before the stop: the terminal may be closed.
        codes = deployment.stop()
    failed = {
        name: code
        for name, code in codes.items()
        if name.startswith(("entry", "steward")) and code not in (0, -9, -15)
    }
    if failed:
        print_line(f"Processes with an unexpected exit code: {failed}")
    return 1 if failed else 0


def _start_deployment(
    deployment: deployment_lib.Deployment, print_line: PrintLine
) -> bool:
    """Starts all processes and writes the addresses.

    Returns:
      False if the configuration was not published.
    """
    deployment.start_fakes()
    deployment.start_instances()
    code, text = OperatorCli(deployment).run(
        "publish", str(deployment.config_dir), "--author", "up"
    )
    print_line(text.rstrip())
    if code != 0:
        return False
    deployment.wait_ready()
    deployment.wait_resident(set(deployment.declared.models))
    write_address_files(deployment)
    return True
