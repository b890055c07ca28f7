"""Measures the overhead of relaying: latency, CPU time and memory.

The entry is in the path of every token. In one run the same calls alternate
between the engines directly and one entry, so that the difference is the cost
of the entry.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import statistics
import time

import urllib3

from sesamecross.devtools import demo
from sesamecross.devtools import deployment as deployment_lib
from sesamecross.devtools import runner as runner_lib
from sesamecross.devtools import usage

MODEL = "advice-fade"
MIN_HOLDERS = 2
ENGINE_FLAGS = (
    "--step-ms", "20", "--per-call-ms", "0", "--batch", "64",
    "--prefill-ms-per-token", "0", "--threads", "160",
)  # fmt: skip
EXTRA = {
    "store": {"loads_per_second": 100, "full_speed_loads": 20},
    "models": {MODEL: {"replicas": 6}},
    # This measures the relay, not admission control: no call may be queued.
    "upstreams": {
        f"advice-model-{number}": {"concurrency": 200} for number in range(1, 7)
    },
    "promises": {"advice": {"first_token_ms": 5000, "queue_ms": 20000}},
}


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Latencies of a call, in milliseconds, and its number of tokens."""

    first_token_ms: float
    between_tokens_ms: float
    tokens: int


def _stream_call(
    pool: urllib3.PoolManager, url: str, tokens: int, number: int
) -> Sample:
    began = time.perf_counter()
    response = pool.request(
        "POST",
        f"{url}/v1/chat/completions",
        json={
            "model": MODEL,
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": f"call {number}"}],
        },
        headers={
            "Authorization": f"Bearer {deployment_lib.CALLER_KEY}",
            "X-Request-Id": f"bench-{number}",
        },
        preload_content=False,
    )
    if response.status != 200:
        raise RuntimeError(f"HTTP {response.status}: {response.read()!r}")
    first = last = 0.0
    events = 0
    while chunk := response.read1(65536):
        last = time.perf_counter()
        first = first or last
        events += chunk.count(b"data: {")
    response.release_conn()
    between = (last - first) * 1000 / max(1, events - 1)
    return Sample((first - began) * 1000, between, events - 1)


def _run_calls(urls: list[str], streams: int, calls: int, tokens: int):
    pool = urllib3.PoolManager(
        num_pools=64, maxsize=streams, retries=False, timeout=60.0
    )
    with concurrent.futures.ThreadPoolExecutor(streams) as threads:
        return list(
            threads.map(
                lambda n: _stream_call(pool, urls[n % len(urls)], tokens, n),
                range(calls),
            )
        )


def _percentile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def run(
    runner: runner_lib.Runner, work_dir: pathlib.Path, streams: int, rounds: int
) -> dict:
    """Starts a deployment, measures it and returns the figures."""
    spec = deployment_lib.DeploymentSpec(
        demo.EXAMPLE,
        entries_per_zone=1,
        engine_flags=ENGINE_FLAGS,
        store_flags=("--loads-per-second", "100", "--load-s", "0.02"),
        extra=EXTRA,
        entry_settings={"threads": 256},
    )
    deployment = runner.deployment(spec, work_dir)
    deployment.start_fakes()
    deployment.start_instances()
    demo.OperatorCli(deployment).run("publish", str(deployment.config_dir))
    deployment.wait_ready()
    _wait_for_replicas(deployment)
    return _measure(deployment, streams, rounds)


def _holders(deployment: deployment_lib.Deployment) -> list[str]:
    return [
        url
        for url in deployment.engine_urls.values()
        if MODEL
        in deployment_lib.processes.get_json(f"{url}/fake/stats")["resident"]
    ]


def _wait_for_replicas(deployment: deployment_lib.Deployment) -> None:
    """Waits until the set of engines with the model is large and stable.

    Raises:
      RuntimeError: It was not within 30 s.
    """
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline:
        before = _holders(deployment)
        time.sleep(3.0)
        if len(before) >= MIN_HOLDERS and _holders(deployment) == before:
            return
    raise RuntimeError(f"{MODEL} is not stably resident on enough engines")


def _measure(
    deployment: deployment_lib.Deployment, streams: int, rounds: int
) -> dict:
    instance = deployment.instances[0]
    entry = deployment.processes[f"entry-{instance.name}"]
    steward = deployment.processes[f"steward-{instance.name}"]
    engines = _holders(deployment)
    results: dict = {"streams": streams, "rounds": rounds}
    for label, count in (("light", 4), ("loaded", streams)):
        direct: list[Sample] = []
        relayed: list[Sample] = []
        cpu_s = wall_s = 0.0
        for _ in range(rounds):
            direct += _run_calls(engines, count, count * 3, 50)
            before = usage.read_usage(entry.pid).cpu_s
            began = time.monotonic()
            relayed += _run_calls([instance.entry_url], count, count * 3, 50)
            wall_s += time.monotonic() - began
            cpu_s += usage.read_usage(entry.pid).cpu_s - before
        results[label] = _figures(direct, relayed, cpu_s, wall_s)
    for name, process in (("entry", entry), ("steward", steward)):
        used = usage.read_usage(process.pid)
        results[name] = {
            "resident_mib": round(used.resident_mib, 1),
            "private_mib": round(used.private_mib, 1),
        }
    before = usage.read_usage(steward.pid).cpu_s
    time.sleep(5)
    idle = (usage.read_usage(steward.pid).cpu_s - before) / 5
    results["steward"]["idle_core_percent"] = round(100 * idle, 2)
    return results


def _figures(
    direct: list[Sample],
    relayed: list[Sample],
    cpu_s: float,
    wall_s: float,
) -> dict:
    tokens = sum(sample.tokens for sample in relayed)
    first_direct = [sample.first_token_ms for sample in direct]
    first_relayed = [sample.first_token_ms for sample in relayed]
    return {
        "calls": len(relayed),
        "first_ms_direct_median": round(statistics.median(first_direct), 2),
        "first_ms_relayed_median": round(statistics.median(first_relayed), 2),
        "first_ms_direct_p99": round(_percentile(first_direct, 0.99), 2),
        "first_ms_relayed_p99": round(_percentile(first_relayed, 0.99), 2),
        "between_ms_direct": round(
            statistics.median(s.between_tokens_ms for s in direct), 2
        ),
        "between_ms_relayed": round(
            statistics.median(s.between_tokens_ms for s in relayed), 2
        ),
        "tokens_per_s": round(tokens / wall_s),
        "core_percent": round(100 * cpu_s / wall_s, 1),
        "cpu_us_per_token": round(cpu_s * 1e6 / max(1, tokens), 1),
    }


def main(work_dir: pathlib.Path, streams: int, rounds: int) -> int:
    """Prints the figures as JSON; returns the exit code."""

    def run_benchmark(runner: runner_lib.Runner) -> int:
        print(json.dumps(run(runner, work_dir, streams, rounds), indent=2))
        return 0

    return runner_lib.Runner().run(run_benchmark)
