"""Compares routing policies at equal load on equal accelerators.

The primary measure is the attainment for each accelerator: the share of calls
whose latency promise is kept. The same seeded schedules run with the product's
policy and with the baselines, each on a deployment of real processes on
loopback.
"""

import json
import pathlib
import statistics

import tomli_w

from sesamecross.devtools import demo
from sesamecross.devtools import deployment as deployment_lib
from sesamecross.devtools import load as load_lib
from sesamecross.devtools import runner as runner_lib

POLICIES = ("round-robin", "least-outstanding", "estimated")
MODELS = ("report-a", "report-b", "digest-a")
ENGINES = 4
ENGINE_FLAGS = (
    "--step-ms", "25", "--per-call-ms", "1.5", "--batch", "16",
    "--prefill-ms-per-token", "0.35", "--prefix-blocks", "700",
    "--threads", "300",
)  # fmt: skip
# Calls per second that the engines sustain with cached prefixes. The rates of
# the phases are multiples of it.
CAPACITY = 26.0

CALL_KINDS = (
    load_lib.CallKind("report", MODELS[:2], 0.85, 24, 500, 60, 40, 320.0, 55.0),
    load_lib.CallKind(
        "digest", MODELS[2:], 0.15, 4, 100, 300, 60, 5000.0, 200.0
    ),
)
SCENARIOS = {
    "burst": (1.0, ""),
    "overload": (3.0, ""),
    "engine-lost": (0.8, "engine"),
    "log-down": (0.8, "log"),
}


def _write_declarations(path: pathlib.Path) -> pathlib.Path:
    """Writes the declarations of the experiment; returns their folder."""
    path.mkdir(parents=True, exist_ok=True)
    tree = {
        "regions": {"west": {}},
        "zones": {f"west-{n}": {"region": "west"} for n in (1, 2)},
        "upstreams": {
            f"writer-{n}": {
                "kind": "engine",
                "zone": f"west-{n % 2 + 1}",
                "url": "http://127.0.0.1:1",
                "memory_mib": 81920,
                "concurrency": 16,
            }
            for n in range(ENGINES)
        },
        "promises": {
            "report": {"priority": 2, "queue_ms": 1500},
            "digest": {
                "first_token_ms": 5000,
                "between_tokens_ms": 200,
                "priority": 6,
                "queue_ms": 20000,
            },
        },
        "models": {
            name: {
                "memory_mib": 20000,
                "promise": name.partition("-")[0],
                "replicas": ENGINES,
            }
            for name in MODELS
        },
        "store": {"loads_per_second": 100, "full_speed_loads": 20},
    }
    (path / "10.toml").write_text(tomli_w.dumps(tree), encoding="utf-8")
    return path


def _start_deployment(
    runner: runner_lib.Runner, policy: str, work_dir: pathlib.Path
) -> deployment_lib.Deployment:
    spec = deployment_lib.DeploymentSpec(
        _write_declarations(work_dir / "folder"),
        entries_per_zone=2,
        engine_flags=ENGINE_FLAGS,
        store_flags=("--loads-per-second", "100", "--load-s", "0.02"),
        entry_settings={"policy": policy, "threads": 256},
    )
    deployment = runner.deployment(spec, work_dir / "run")
    deployment.start_fakes()
    deployment.start_instances()
    demo.OperatorCli(deployment).run("publish", str(deployment.config_dir))
    deployment.wait_ready()
    for url in deployment.engine_urls.values():
        _wait_models_resident(url)
    return deployment


def _wait_models_resident(url: str) -> None:
    deployment_lib.processes.wait_for(
        lambda: (
            set(MODELS)
            <= set(
                deployment_lib.processes.get_json(f"{url}/fake/stats")[
                    "resident"
                ]
            )
        ),
        "all models on every engine",
    )


def _fault_events(deployment: deployment_lib.Deployment, fault: str) -> tuple:
    """Returns the fault to inject, four seconds into the measured phase."""
    if fault == "engine":
        engine = deployment.processes["engine-writer-0"]
        return ((8.0, engine.kill),)
    if fault == "log":
        url = f"{deployment.log_url}/fake/faults"
        post = deployment_lib.processes.post_json
        return ((8.0, lambda: post(url, {"outage": True})),)
    return ()


def run(
    runner: runner_lib.Runner,
    scenario: str,
    policies: list[str],
    seeds: list[int],
    work_dir: pathlib.Path,
) -> dict:
    """Runs one scenario; returns the figures by policy."""
    factor, fault = SCENARIOS[scenario]
    phases = (
        load_lib.Phase(4.0, CAPACITY * 0.6, measured=False),
        load_lib.Phase(10.0, CAPACITY * factor),
    )
    figures: dict = {}
    for policy in policies:
        runs = []
        deployment = None
        for seed in seeds:
            if deployment is None:
                deployment = _start_deployment(
                    runner, policy, work_dir / policy
                )
            urls = [i.entry_url for i in deployment.instances]
            load = load_lib.LoadGenerator(urls, deployment_lib.CALLER_KEY)
            arrivals = load_lib.schedule(CALL_KINDS, phases, len(urls), seed)
            results = load.run(arrivals, _fault_events(deployment, fault))
            runs.append(load_lib.summary(results, phases[1].seconds))
            runs[-1]["engines"] = _engine_figures(deployment)
            if fault:
                deployment.stop()
                deployment = None
        if deployment is not None:
            deployment.stop()
        figures[policy] = _summarize_seeds(runs)
    return figures


def _engine_figures(deployment: deployment_lib.Deployment) -> list[dict]:
    """Returns the counters of each engine that still runs."""
    names = ("tokens_made", "prompt_tokens", "cached_tokens", "mean_batch")
    figures = []
    for name, url in deployment.engine_urls.items():
        if deployment.processes[f"engine-{name}"].is_running():
            stats = deployment_lib.processes.get_json(f"{url}/fake/stats")
            figures.append({key: stats[key] for key in names})
    return figures


def _summarize_seeds(runs: list[dict]) -> dict:
    attained_shares = [figures["all"]["attained"] for figures in runs]
    kept_rates = [figures["all"]["kept_per_s"] for figures in runs]
    return {
        "attained_median": statistics.median(attained_shares),
        "attained_each": attained_shares,
        "kept_per_s_median": statistics.median(kept_rates),
        "last": runs[-1],
    }


def main(
    scenario: str, policies: list[str], seeds: list[int], work_dir: pathlib.Path
) -> int:
    """Runs a scenario and prints its figures as JSON; returns the exit code."""

    def run_scenario(runner: runner_lib.Runner) -> int:
        figures = run(runner, scenario, policies, seeds, work_dir)
        print(json.dumps({scenario: figures}, indent=2))
        return 0

    return runner_lib.Runner().run(run_scenario)
