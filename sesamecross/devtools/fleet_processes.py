"""Processes of a fleet trial beside its gateways: store, upstreams, callers.

Each takes its own share of the machine's processor time, which the trial
reports: a run that the machine itself limits says nothing of the gateways.
"""

import asyncio
import dataclasses
import multiprocessing
from multiprocessing import connection
import os
from typing import Any

from sesamecross.devtools import fleet_balancer
from sesamecross.devtools import fleet_demand
from sesamecross.fakes import fleet_callers
from sesamecross.fakes import fleet_scenarios
from sesamecross.fakes import fleet_store
from sesamecross.fakes import fleet_upstreams

_CONTEXT = multiprocessing.get_context("spawn")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
END_TIMEOUT_S = 60.0


class Helper:
    """A process that answers over a pipe."""

    def __init__(self, target: Any, *arguments: Any):
        self._pipe, theirs = _CONTEXT.Pipe()
        self._process = _CONTEXT.Process(
            target=target, args=(theirs, *arguments), daemon=True
        )
        self._process.start()
        theirs.close()

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    def receive(self) -> Any:
        """Returns what it sends next."""
        if not self._pipe.poll(END_TIMEOUT_S):
            raise TimeoutError(f"process {self.pid} does not answer")
        return self._pipe.recv()

    def stop(self) -> Any:
        """Tells it to stop; returns what it has to say."""
        self._pipe.send(None)
        result = self.receive()
        self._process.join(END_TIMEOUT_S)
        return result

    def kill(self) -> None:
        """Ends it if it is still there."""
        if self._process.is_alive():
            self._process.kill()
        self._process.join(END_TIMEOUT_S)


async def _stop_asked(pipe: connection.Connection) -> asyncio.Event:
    ends = asyncio.Event()
    asyncio.get_running_loop().add_reader(pipe.fileno(), ends.set)
    return ends


def store(pipe: connection.Connection) -> None:
    """Runs the store; sends its address."""

    async def work() -> dict[str, int]:
        ends = await _stop_asked(pipe)
        one = fleet_store.FleetStore()
        await one.server.start()
        pipe.send(one.server.address)
        await ends.wait()
        return dict(one.calls)

    pipe.send(asyncio.run(work()))


def upstreams(
    pipe: connection.Connection,
    store_address: str,
    scenario_name: str,
    engines: list[tuple[str, str, tuple[str, ...]]],
    desks: list[tuple[str, str]],
    seed: int,
    engine_speed: float,
) -> None:
    """Runs engines and desks; sends what they ran."""

    async def work() -> fleet_upstreams.Result:
        ends = await _stop_asked(pipe)
        scenario = fleet_scenarios.scenario(scenario_name).with_speed(
            engine_speed
        )
        return await fleet_upstreams.run(
            store_address, scenario, engines, desks, seed, ends
        )

    pipe.send(asyncio.run(work()))


@dataclasses.dataclass(frozen=True, slots=True)
class CallersPlan:
    """What one process of callers does.

    Attributes:
      number: Of this process among all callers' processes.
      begin_s: By the steady clock, which all processes share.
    """

    scenario: str
    seed: int
    number: int
    rate: float
    begin_s: float
    duration_s: float


def callers(
    pipe: connection.Connection,
    plan: CallersPlan,
    instances: list[fleet_balancer.Instance],
) -> None:
    """Runs callers to their end; sends what they saw."""
    scenario = fleet_scenarios.scenario(plan.scenario)
    pipe.send(
        asyncio.run(
            fleet_callers.run(
                fleet_balancer.Balancer(instances),
                fleet_demand.Demand(scenario, plan.seed, plan.number),
                tuple(scenario.regions),
                plan.rate,
                plan.begin_s,
                plan.duration_s,
                f"{plan.seed}/{plan.number}",
            )
        )
    )


def processor_s(pid: int) -> float:
    """Returns the processor time of a process; 0 if it has ended."""
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
            fields = file.read().rpartition(")")[2].split()
    except OSError:
        # It has ended.
        return 0.0
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def machine_s() -> tuple[float, float]:
    """Returns the busy and the whole processor time of the machine."""
    with open("/proc/stat", encoding="utf-8") as file:
        fields = [int(one) for one in file.readline().split()[1:9]]
    idle = fields[3] + fields[4]
    return (sum(fields) - idle) / _TICKS_PER_S, sum(fields) / _TICKS_PER_S
