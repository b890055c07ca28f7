"""Tests of the lease, with a store that loses, delays and refuses writes."""

import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from sesamecross.ops.fleet import lease

GAP_S = 3.0
NAMES = ("a", "b", "c")


@dataclasses.dataclass
class _Written:
    """A write that is in flight or was executed."""

    name: str
    incarnation: int
    step: lease.WriteLease
    due_s: float


class LeaseStateMachine(stateful.RuleBasedStateMachine):
    """Three candidates; answers get lost, and writes arrive seconds late.

    Invariant: a whole gap lies between the orders of two instances.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.record: lease.Record | None = None
        self.end = 0
        self.late: list[_Written] = []
        self.lives = dict.fromkeys(NAMES, 0)
        self.machines = {name: self._start(name) for name in NAMES}
        self.last_order: tuple[str, float] | None = None

    def _start(self, name: str) -> lease.LeaseStateMachine:
        self.lives[name] += 1
        return lease.LeaseStateMachine(
            name, self.lives[name], GAP_S, self.now_s
        )

    def _apply(self, write: _Written) -> bool:
        if write.step.at != self.end:
            return False
        self.record = lease.Record(
            write.name, write.incarnation, self.end, write.step.fence, False
        )
        if write.step.fence == write.step.at:
            self.record = dataclasses.replace(self.record, fence=self.end)
        self.end += 1
        return True

    def _pass(self, seconds: float) -> None:
        """Lets time pass in small steps, as orders may be sent at any time."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s = min(until_s, self.now_s + 0.05)
            for write in [w for w in self.late if w.due_s <= self.now_s]:
                self.late.remove(write)
                self._apply(write)
            self._check()

    def _check(self) -> None:
        for name, machine in self.machines.items():
            if not machine.may_order(self.now_s):
                continue
            if self.last_order is not None and self.last_order[0] != name:
                assert self.now_s - self.last_order[1] >= GAP_S - 0.06
            self.last_order = (name, self.now_s)

    @stateful.rule(seconds=st.floats(0.05, 3.0))
    def pass_time(self, seconds):
        self._pass(seconds)

    @stateful.rule(
        name=st.sampled_from(NAMES),
        fate=st.sampled_from(("done", "lost", "late", "refused", "away")),
        heard=st.booleans(),
    )
    def step(self, name, fate, heard):
        machine = self.machines[name]
        rank = NAMES.index(name)
        match machine.next_action(self.now_s, rank, heard):
            case lease.ReadLease():
                if fate in ("done", "late"):
                    machine.read(self.record, self.end, self.now_s)
            case lease.WriteLease() as write:
                written = _Written(name, self.lives[name], write, self.now_s)
                if fate == "late":
                    written.due_s += 2.0
                    self.late.append(written)
                elif fate == "refused":
                    machine.not_written()
                elif fate != "away":
                    is_done = self._apply(written)
                    if fate == "done" and is_done:
                        machine.written(self.end - 1)
                    elif fate == "done":
                        machine.conflict()
        self._check()

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.machines[name] = self._start(name)

    @stateful.rule(of=st.sampled_from(NAMES), to=st.sampled_from(NAMES))
    def die_and_be_seen(self, of, to):
        """A process ends, and another instance sees its connection end."""
        if of == to:
            return
        life = self.lives[of]
        self.machines[of] = self._start(of)
        self.machines[to].holder_exited(of, life, self.now_s)


TestLease = LeaseStateMachine.TestCase
TestLease.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)


def test_a_holder_that_renews_keeps_the_lease_and_its_fence():
    machine = lease.LeaseStateMachine("a", 1, GAP_S, 0.0)
    assert isinstance(machine.next_action(0.0, 0, False), lease.ReadLease)
    machine.read(None, 0, 0.01)
    write = machine.next_action(0.5, 0, False)
    while isinstance(write, lease.ReadLease):
        machine.read(None, 0, 0.5)
        write = machine.next_action(0.6, 0, False)
    assert isinstance(write, lease.WriteLease)
    machine.written(write.at)
    fence = machine.fence
    now_s = 0.6
    for number in range(1, 5):
        now_s += lease.RENEW_INTERVAL_S + 0.01
        write = machine.next_action(now_s, 0, True)
        assert isinstance(write, lease.WriteLease)
        machine.written(write.at)
        assert machine.holds(now_s)
        assert machine.fence == fence, number


def test_a_holder_that_slept_orders_nothing_more():
    """Guards against orders from a holder that was frozen and replaced."""
    machine = lease.LeaseStateMachine("a", 1, GAP_S, 0.0)
    machine.read(None, 0, 0.0)
    write = machine.next_action(0.5, 0, False)
    if isinstance(write, lease.ReadLease):
        machine.read(None, 0, 0.5)
        write = machine.next_action(0.6, 0, False)
    machine.written(write.at)
    assert machine.holds(1.0)
    assert not machine.may_order(1.0 + lease.LEASE_DURATION_S)
