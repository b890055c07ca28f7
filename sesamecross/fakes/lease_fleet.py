"""A simulated fleet that shares a lease, under faults drawn from a seed.

Processes are killed, frozen, cut off by a cut that refuses connections, and
replaced by machines of the same name while they still live. The store loses,
delays, repeats and reorders writes of the lease and of registrations. Observers
see different parts of this. Time is virtual.
"""

from collections.abc import Callable
import dataclasses
import random

import msgspec

from sesamecross.gateway import registrar
from sesamecross.ops.fleet import lease
from sesamecross.ports import store

GAP_S = 3.0
STEP_S = 0.1
HISTORY_S = 60.0
# How long an instance counts as live after it was last heard.
LIVENESS_S = 1.6
# Two steps, as times are rounded to steps.
_ROUNDING_S = 2 * STEP_S


@dataclasses.dataclass(slots=True)
class _Process:
    """One process of an instance on one machine."""

    name: str
    address: str
    incarnation: int
    machine: lease.LeaseStateMachine
    is_alive: bool = True
    frozen_until_s: float = 0.0
    cut_off_until_s: float = 0.0
    # Whether connections through the cut are refused.
    is_refused: bool = False
    # What it knows of others: address and incarnation by name.
    starts: dict[str, tuple[str, int]] = dataclasses.field(default_factory=dict)
    # Incarnations of holders whose port has refused it.
    refusing: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    # By process, when it was last heard.
    heard_s: dict[tuple[str, str, int], float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def identity(self) -> tuple[str, str, int]:
        """Name, address and incarnation."""
        return self.name, self.address, self.incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class _LateWrite:
    due_s: float
    apply: Callable[[], object]


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    """The last order that any process gave."""

    address: str
    at_s: float
    fence: int


class LeaseFleet:
    """One history of a fleet.

    Attributes:
      broken: What broke the promise of one holder at a time.
      holders: How many processes held the lease, one after the other.
    """

    def __init__(
        self,
        seed: int,
        instances: int,
        on_refused: Callable[
            [lease.LeaseStateMachine, lease.Record, float], None
        ]
        | None = None,
    ):
        """Starts all instances.

        Args:
          seed: Of all that is drawn.
          instances: How many there are.
          on_refused: Called with an observer's state machine, the lease and
            the time when the holder's port refuses; `recheck` by default.
        """
        self.rng = random.Random(f"{seed}/{instances}")
        self.now_s = 100.0
        self.broken: list[str] = []
        self.holders = 0
        self._on_refused = on_refused or _recheck
        self._record: lease.Record | None = None
        self._end_of_lease = 0
        self._registrations: dict[str, store.KeyedRecord] = {}
        self._registrations_end = 1
        self._late: list[_LateWrite] = []
        self._last_order: _Order | None = None
        self._addresses = 0
        self.processes: list[_Process] = []
        for number in range(instances):
            self.start(f"i{number}", self._new_address())

    def _new_address(self) -> str:
        self._addresses += 1
        return f"10.0.0.{self._addresses}:1"

    # -- registrations ---------------------------------------------------

    def start(self, name: str, address: str) -> _Process:
        """Starts a process, which registers and reads who the others are."""
        incarnation = self._registrations_end
        self._register(name, address, incarnation)
        if self.rng.random() < 0.4:
            # An attempt without an answer, which the store does later.
            self._do_late(
                lambda: self._register(name, address, incarnation),
                self.rng.uniform(0.5, 12.0),
            )
        joined = registrar.decode(self._registrations[name]).incarnation
        process = _Process(
            name,
            address,
            joined,
            lease.LeaseStateMachine(name, joined, GAP_S, self.now_s, address),
        )
        self.processes.append(process)
        self._list_registrations(process)
        return process

    def _register(self, name: str, address: str, incarnation: int) -> None:
        registration = registrar.Registration("z1", address, "", 0, incarnation)
        self._registrations[name] = store.KeyedRecord(
            name,
            msgspec.msgpack.encode(registration),
            self._registrations_end,
        )
        self._registrations_end += 1

    def _list_registrations(self, process: _Process) -> None:
        for name, record in self._registrations.items():
            known = registrar.decode(record)
            self._learn(process, name, known.address, known.incarnation)

    def _learn(
        self, process: _Process, name: str, address: str, incarnation: int
    ) -> None:
        known = process.starts.get(name)
        if name != process.name and (known is None or known[1] <= incarnation):
            process.starts[name] = (address, incarnation)

    def _do_late(self, apply: Callable[[], object], delay_s: float) -> None:
        self._late.append(_LateWrite(self.now_s + delay_s, apply))

    # -- faults ----------------------------------------------------------

    def _living(self) -> list[_Process]:
        return [one for one in self.processes if one.is_alive]

    def _holder(self) -> _Process | None:
        for one in self._living():
            if one.machine.holds(self.now_s):
                return one
        return None

    def _victim(self) -> _Process:
        """The holder, half of the time."""
        holder = self._holder()
        if holder is not None and self.rng.random() < 0.5:
            return holder
        return self.rng.choice(self._living())

    def _restart(self, process: _Process) -> None:
        """Ends a process; another one starts on its machine."""
        self._end(process)
        self._do_late(
            lambda: self.start(process.name, process.address),
            self.rng.uniform(0.2, 4.0),
        )

    def _inject_fault(self) -> None:
        process = self._victim()
        duration_s = self.rng.uniform(0.5, 9.0)
        match self.rng.randrange(7):
            case 0:
                self._restart(process)
            case 1:
                process.frozen_until_s = self.now_s + duration_s
            case 2 | 3:
                process.cut_off_until_s = self.now_s + duration_s
                process.is_refused = self.rng.random() < 0.7
            case 4:
                # Another machine takes its place; it lives on behind a cut.
                process.cut_off_until_s = self.now_s + HISTORY_S
                self._do_late(lambda: self._end(process), duration_s)
                self.start(process.name, self._new_address())
            case 5:
                # Another instance gets the address of one that has ended.
                ended = [one for one in self.processes if not one.is_alive]
                used = {one.address for one in self._living()}
                free = [one for one in ended if one.address not in used]
                if free:
                    name = f"n{len(self.processes)}"
                    self.start(name, self.rng.choice(free).address)
            case 6:
                for one in self._living():
                    if self.rng.random() < 0.5:
                        self._list_registrations(one)

    def _end(self, process: _Process) -> None:
        process.is_alive = False

    # -- time ------------------------------------------------------------

    def run(self) -> list[str]:
        """Plays a history; returns what broke."""
        until_s = self.now_s + HISTORY_S
        next_fault_s = self.now_s + 8.0
        while self.now_s < until_s and not self.broken:
            self.step()
            if self.now_s >= next_fault_s and self._living():
                self._inject_fault()
                next_fault_s = self.now_s + self.rng.uniform(0.1, 5.0)
        return self.broken

    def step(self) -> None:
        """Lets a tenth of a second pass."""
        self.now_s += STEP_S
        for write in [one for one in self._late if one.due_s <= self.now_s]:
            self._late.remove(write)
            write.apply()
        awake = [
            one for one in self._living() if one.frozen_until_s <= self.now_s
        ]
        for process in awake:
            self._hear(process, awake)
        # Those that rank first are asked first.
        for rank, process in enumerate(awake):
            self._act(process, min(rank, 2))
        for process in awake:
            self._give_order(process)

    def _is_cut_off(self, process: _Process) -> bool:
        return process.cut_off_until_s > self.now_s

    def _hear(self, process: _Process, others: list[_Process]) -> None:
        if self._is_cut_off(process):
            return
        for other in others:
            if other is not process and not self._is_cut_off(other):
                self._learn(process, *other.identity)
                process.heard_s[other.identity] = self.now_s

    def _act(self, process: _Process, rank: int) -> None:
        machine, record = process.machine, process.machine.record
        is_live = False
        if record is not None and record.holder:
            identity = (record.holder, record.address, record.incarnation)
            heard_s = process.heard_s.get(identity, -LIVENESS_S)
            is_live = self.now_s - heard_s < LIVENESS_S
            self._look_for_exit(process, record)
        match machine.next_action(self.now_s, rank, is_live):
            case lease.ReadLease():
                if self.rng.random() < 0.9:
                    machine.read(self._record, self._end_of_lease, self.now_s)
            case lease.WriteLease() as write:
                self._write(process, write)

    def _look_for_exit(self, process: _Process, record: lease.Record) -> None:
        known = process.starts.get(record.holder)
        if known is not None and lease.proves_exit(record, *known):
            process.machine.holder_exited(
                record.holder, record.incarnation, self.now_s
            )
        identity = (record.holder, record.incarnation)
        if identity not in process.refusing and self._refuses(process, record):
            process.refusing.add(identity)
            self._on_refused(process.machine, record, self.now_s)

    def _refuses(self, process: _Process, record: lease.Record) -> bool:
        """Whether the holder's port refuses an observer."""
        holder = next(
            (one for one in self._living() if one.address == record.address),
            None,
        )
        if holder is None:
            return True
        return any(
            self._is_cut_off(one) and one.is_refused
            for one in (holder, process)
        )

    def _write(self, process: _Process, write: lease.WriteLease) -> None:
        machine = process.machine

        def apply() -> bool:
            if write.at != self._end_of_lease:
                return False
            self._record = lease.Record(
                process.name,
                process.incarnation,
                self._end_of_lease,
                write.fence,
                False,
                process.address,
            )
            self._end_of_lease += 1
            return True

        drawn = self.rng.random()
        if drawn < 0.8:
            if apply():
                machine.written(self._end_of_lease - 1)
            else:
                machine.conflict()
        elif drawn < 0.9:
            self._do_late(apply, self.rng.uniform(0.1, 6.0))
        elif drawn < 0.95:
            machine.not_written()
        else:
            apply()

    def _give_order(self, process: _Process) -> None:
        if not process.machine.may_order(self.now_s):
            return
        last = self._last_order
        fence = process.machine.fence
        if last is None or last.address != process.address:
            self.holders += 1
        if last is not None:
            apart_s = self.now_s - last.at_s
            if last.address != process.address and apart_s < (
                GAP_S - _ROUNDING_S
            ):
                self.broken.append(
                    f"{last.address} and {process.address} order"
                    f" {apart_s:.1f} s apart"
                )
            if fence < last.fence:
                self.broken.append(f"fence {fence} after {last.fence}")
        self._last_order = _Order(process.address, self.now_s, fence)


def _recheck(
    machine: lease.LeaseStateMachine, _record: lease.Record, _now_s: float
) -> None:
    machine.recheck()
