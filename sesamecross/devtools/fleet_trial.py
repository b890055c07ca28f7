r"""A trial of a whole fleet: many real gateway processes on the real clock.

What shows only with real processes, real clocks and shared cores is missed by
simulations. Here dozens of gateways share a machine with strict callers, who
ask for many models in the proportions of a deployment, while all gateways are
killed and started again. The result judges the gateways only if the machine's
cores were not full: the report says so.

    python -m sesamecross.devtools.fleet_trial --gateways 67 --engines 45 \
        --rate 120 --seconds 40 --kill-all-at 15 --seed 1
"""

import argparse
import asyncio
import collections
import concurrent.futures
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

from sesamecross.devtools import fleet_balancer
from sesamecross.devtools import fleet_checks
from sesamecross.devtools import fleet_processes
from sesamecross.devtools import fleet_report
from sesamecross.fakes import fleet_callers
from sesamecross.fakes import fleet_scenarios
from sesamecross.fakes import fleet_store
from sesamecross.fakes import fleet_upstreams
from sesamecross.fakes import platform_instance
from sesamecross.fakes import platform_store

CONFIGURATION_VERSION = 7
# From the last gateway that is ready to the first caller.
SETTLE_S = 3.0
# From a kill to the start that follows it.
DOWN_S = 0.3
_CALLERS_START_S = 1.5
# Threads that start processes: one by one, the last would start late.
_STARTERS = 16
_LAG_TURN_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One trial.

    Attributes:
      rate: Requests a second, over all callers.
      kill_at_s: When gateways are killed; None for a calm trial.
      kill_share: The share of them that is killed, all at one moment.
      recovery_s: So long after the kill, windows have no floor.
      gateway_path: Another checkout whose gateways are run.
      engine_speed: Of engines' steps; below 1 fewer requests fill them, for a
        machine that does not bear the deployment's rate.
    """

    scenario: str = "grown"
    gateways: int = 3
    engines: int = 4
    rate: float = 20.0
    seconds: float = 10.0
    kill_at_s: float | None = None
    kill_share: float = 1.0
    recovery_s: float = 15.0
    floor: float = 0.4
    seed: int = 1
    upstream_processes: int = 1
    caller_processes: int = 1
    gateway_path: str = ""
    engine_speed: float = 1.0


class Trial:
    """The processes of one trial."""

    def __init__(self, plan: Plan, directory: pathlib.Path):
        self._plan = plan
        self._directory = directory
        self._scenario = fleet_scenarios.scenario(plan.scenario)
        self._zones = tuple(self._scenario.regions)
        self._helpers: dict[str, list[fleet_processes.Helper]] = {}
        self._gateways: list[platform_instance.PlatformInstance] = []
        self._begin_s = 0.0
        self._gateway_pids: list[int] = []
        # Of each process so far, also of those that have ended.
        self._spent_s: dict[int, float] = {}
        self._samples: list[fleet_report.Sample] = []
        self._events: list[str] = []

    def run(self) -> fleet_report.Report:
        """Runs the trial; returns its report."""
        try:
            self._start()
            asked = self._call()
            for one in self._gateways:
                if not one.is_running:
                    self._events.append(f"{one.name} ended by itself")
            return self._report(asked)
        finally:
            self._stop()

    # -- the fleet -------------------------------------------------------

    def _help(self, role: str, *arguments) -> fleet_processes.Helper:
        helper = fleet_processes.Helper(*arguments)
        self._helpers.setdefault(role, []).append(helper)
        return helper

    def _start(self) -> None:
        store = self._help("store", fleet_processes.store).receive()
        configuration = fleet_scenarios.configuration(
            CONFIGURATION_VERSION, self._scenario
        )
        asyncio.run(
            fleet_store.write(
                store,
                platform_store.OPERATORS_TOPIC,
                platform_store.CONFIGURATION_KEY,
                configuration,
            )
        )
        self._start_upstreams(store)
        for number in range(self._plan.gateways):
            self._gateways.append(self._gateway(number, store))
        begin_s = time.monotonic()
        self._start_all(self._gateways)
        took_s = time.monotonic() - begin_s
        self._events.append(f"all gateways ready after {took_s:.1f} s")
        time.sleep(SETTLE_S)

    def _start_upstreams(self, store: str) -> None:
        models = fleet_upstreams.initial_models(
            self._scenario, self._plan.engines
        )
        engines = [
            (f"i-engine-{number}", self._zone(number), names)
            for number, names in enumerate(models)
        ]
        desks = [
            (f"i-desk-{number}", self._zone(number))
            for number in range(self._scenario.desks)
        ]
        count = self._plan.upstream_processes
        for number in range(count):
            self._help(
                "upstreams",
                fleet_processes.upstreams,
                store,
                self._plan.scenario,
                engines[number::count],
                desks[number::count],
                self._plan.seed,
                self._plan.engine_speed,
            )

    def _zone(self, number: int) -> str:
        return self._zones[number % len(self._zones)]

    def _gateway(
        self, number: int, store: str
    ) -> platform_instance.PlatformInstance:
        zone = self._zone(number)
        name = f"front-{zone}-{number}"
        path = self._directory / name
        path.mkdir()
        variables = {}
        if self._plan.gateway_path:
            # Without the second one the working directory would come first.
            variables["PYTHONPATH"] = self._plan.gateway_path
            variables["PYTHONSAFEPATH"] = "1"
        return platform_instance.PlatformInstance(
            path,
            store,
            name,
            platform_instance.Location(zone, self._scenario.regions),
            self._scenario.bounds,
            variables,
        )

    def _start_all(
        self, gateways: list[platform_instance.PlatformInstance]
    ) -> None:
        self._start_at_once(gateways)
        for one in gateways:
            one.wait_ready()

    def _start_at_once(
        self, gateways: list[platform_instance.PlatformInstance]
    ) -> None:
        """Starts processes that have ended, or were never started."""

        def start(one: platform_instance.PlatformInstance) -> None:
            one.kill()
            one.start()
            self._gateway_pids.append(one.pid)

        with concurrent.futures.ThreadPoolExecutor(_STARTERS) as pool:
            list(pool.map(start, gateways))

    def _stop(self) -> None:
        for one in self._gateways:
            with contextlib.suppress(OSError):
                one.kill()
        for helpers in self._helpers.values():
            for helper in helpers:
                helper.kill()

    # -- the run ---------------------------------------------------------

    def _call(self) -> list[fleet_callers.Asked]:
        self._begin_s = time.monotonic() + _CALLERS_START_S
        instances = [
            fleet_balancer.Instance(
                one.zone, self._scenario.regions[one.zone], one.front, one.ready
            )
            for one in self._gateways
        ]
        count = self._plan.caller_processes
        callers = [
            self._help(
                "callers",
                fleet_processes.callers,
                fleet_processes.CallersPlan(
                    self._plan.scenario,
                    self._plan.seed,
                    number,
                    self._plan.rate / count,
                    self._begin_s,
                    self._plan.seconds,
                ),
                instances,
            )
            for number in range(count)
        ]
        sampling = threading.Thread(target=self._sample_each_second)
        sampling.start()
        if self._plan.kill_at_s is not None:
            self._sleep_until(self._plan.kill_at_s)
            self._kill()
        sampling.join()
        return [asked for one in callers for asked in one.receive()]

    def _sample_each_second(self) -> None:
        for second in range(int(self._plan.seconds) + 1):
            lag_s = self._longest_lag_s(self._begin_s + second)
            self._sample(lag_s)

    def _longest_lag_s(self, until_s: float) -> float:
        """Sleeps in short turns; returns how late the latest wake-up came."""
        longest_s = 0.0
        while (now_s := time.monotonic()) < until_s:
            turn_s = min(_LAG_TURN_S, until_s - now_s)
            time.sleep(turn_s)
            longest_s = max(longest_s, time.monotonic() - now_s - turn_s)
        return longest_s

    def _sleep_until(self, at_s: float) -> None:
        time.sleep(max(0.0, self._begin_s + at_s - time.monotonic()))

    def _sample(self, lag_s: float) -> None:
        pids = {
            role: [one.pid for one in helpers]
            for role, helpers in self._helpers.items()
        }
        pids["gateways"] = list(self._gateway_pids)
        for pid in (pid for some in pids.values() for pid in some):
            spent_s = fleet_processes.processor_s(pid)
            self._spent_s[pid] = max(self._spent_s.get(pid, 0.0), spent_s)
        spent_by_role = {
            role: sum(self._spent_s[pid] for pid in some)
            for role, some in pids.items()
        }
        at_s = time.monotonic() - self._begin_s
        self._samples.append(
            fleet_report.Sample(
                at_s, spent_by_role, *fleet_processes.machine_s(), lag_s
            )
        )

    def _kill(self) -> None:
        rng = random.Random(f"{self._plan.seed}/kill")
        count = round(self._plan.kill_share * len(self._gateways))
        killed = rng.sample(self._gateways, count)
        for one in killed:
            one.signal(signal.SIGKILL)
        at_s = time.monotonic() - self._begin_s
        self._events.append(f"{count} gateways killed at {at_s:.1f} s")
        time.sleep(DOWN_S)
        self._start_at_once(killed)
        took_s = time.monotonic() - self._begin_s - at_s
        self._events.append(f"all started again {took_s:.1f} s after it")
        for one in killed:
            one.wait_ready()
        took_s = time.monotonic() - self._begin_s - at_s
        self._events.append(f"all ready again {took_s:.1f} s after it")

    # -- the result ------------------------------------------------------

    def _report(self, asked: list[fleet_callers.Asked]) -> fleet_report.Report:
        results = [one.stop() for one in self._helpers["upstreams"]]
        ran = [ran for one in results for ran in one.ran]
        calls = self._helpers["store"][0].stop()
        begin_s = self._plan.kill_at_s
        outage = None
        if begin_s is not None:
            outage = begin_s, begin_s + self._plan.recovery_s
        findings = fleet_checks.check(
            asked, ran, self._scenario, self._plan.floor, outage
        )
        lines = collections.ChainMap(
            *(fleet_report.request_lines(one) for one in self._gateways)
        )
        return fleet_report.Report(
            dataclasses.asdict(self._plan),
            findings,
            fleet_report.seconds(asked, self._samples),
            fleet_report.causes(asked, lines),
            fleet_report.starved_causes(findings, asked, lines),
            calls,
            self._events,
            sum(one.lost_s for one in results),
        )


def run(plan: Plan, logs: str = "") -> fleet_report.Report:
    """Runs one trial; keeps the gateways' logs in `logs`, if it is set."""
    if logs:
        path = pathlib.Path(logs)
        path.mkdir(parents=True)
        return Trial(plan, path).run()
    with tempfile.TemporaryDirectory() as directory:
        return Trial(plan, pathlib.Path(directory)).run()


def main() -> int:
    """Runs a trial; returns 1 if a check or promise is broken."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    defaults = {one.name: one.default for one in dataclasses.fields(Plan)}
    for name in ("gateways", "engines", "seed"):
        parser.add_argument(f"--{name}", type=int, default=defaults[name])
    for name in ("rate", "seconds", "floor", "engine-speed"):
        parser.add_argument(
            f"--{name}", type=float, default=defaults[name.replace("-", "_")]
        )
    parser.add_argument("--scenario", default=defaults["scenario"])
    parser.add_argument("--kill-all-at", dest="kill_at_s", type=float)
    parser.add_argument("--kill-share", type=float, default=1.0)
    parser.add_argument("--recovery", dest="recovery_s", type=float, default=15)
    parser.add_argument("--upstream-processes", type=int, default=1)
    parser.add_argument("--caller-processes", type=int, default=1)
    parser.add_argument("--gateway-path", default="")
    parser.add_argument("--logs", default="", help="keeps the logs there")
    parser.add_argument("--json", action="store_true")
    flags = vars(parser.parse_args())
    as_json, logs = flags.pop("json"), flags.pop("logs")
    report = run(Plan(**flags), logs)
    if as_json:
        print(json.dumps(dataclasses.asdict(report)))
    else:
        print(report.text())
    return 1 if report.findings.broken else 0


if __name__ == "__main__":
    sys.exit(main())
