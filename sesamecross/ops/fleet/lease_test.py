"""Tests of the lease, with a store that loses, delays and refuses writes."""

import dataclasses
import math

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import pytest

from sesamecross.ops.fleet import lease

GAP_S = 3.0
NAMES = ("a", "b", "c")


@dataclasses.dataclass
class _Write:
    """A write that is in flight or was executed."""

    name: str
    incarnation: int
    action: lease.WriteLease
    due_s: float
    is_release: bool = False


class LeaseStateMachine(stateful.RuleBasedStateMachine):
    """Three candidates; answers get lost, and writes arrive seconds late.

    Invariant: a whole gap lies between the orders of two instances.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.record: lease.Record | None = None
        self.end = 0
        self.late: list[_Write] = []
        self.incarnations = dict.fromkeys(NAMES, 0)
        self.machines = {name: self._start(name) for name in NAMES}
        self.last_order: tuple[str, float] | None = None

    def _start(self, name: str) -> lease.LeaseStateMachine:
        self.incarnations[name] += 1
        return lease.LeaseStateMachine(
            name, self.incarnations[name], GAP_S, self.now_s
        )

    def _apply(self, write: _Write) -> bool:
        if write.action.at != self.end:
            return False
        self.record = lease.Record(
            write.name,
            write.incarnation,
            self.end,
            write.action.fence,
            write.is_release,
        )
        if write.action.fence == write.action.at:
            self.record = msgspec.structs.replace(self.record, fence=self.end)
        self.end += 1
        return True

    def _advance(self, seconds: float) -> None:
        """Lets time pass in small steps, as orders may be sent at any time."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s = min(until_s, self.now_s + 0.05)
            for write in [w for w in self.late if w.due_s <= self.now_s]:
                self.late.remove(write)
                self._apply(write)
            self._check_gap()

    def _check_gap(self) -> None:
        for name, machine in self.machines.items():
            if not machine.may_order(self.now_s):
                continue
            if self.last_order is not None and self.last_order[0] != name:
                assert self.now_s - self.last_order[1] >= GAP_S - 0.06
            self.last_order = (name, self.now_s)

    @stateful.rule(seconds=st.floats(0.05, 3.0))
    def pass_time(self, seconds):
        self._advance(seconds)

    @stateful.rule(
        name=st.sampled_from(NAMES),
        outcome=st.sampled_from(("done", "lost", "late", "refused", "away")),
        is_holder_live=st.booleans(),
    )
    def action(self, name, outcome, is_holder_live):
        machine = self.machines[name]
        rank = NAMES.index(name)
        match machine.next_action(self.now_s, rank, is_holder_live):
            case lease.ReadLease():
                if outcome in ("done", "late"):
                    machine.read(self.record, self.end, self.now_s)
            case lease.WriteLease() as write:
                written = _Write(
                    name, self.incarnations[name], write, self.now_s
                )
                if outcome == "late":
                    written.due_s += 2.0
                    self.late.append(written)
                elif outcome == "refused":
                    machine.not_written()
                elif outcome != "away":
                    is_done = self._apply(written)
                    if outcome == "done" and is_done:
                        machine.written(self.end - 1)
                    elif outcome == "done":
                        machine.conflict()
        self._check_gap()

    @stateful.rule(
        name=st.sampled_from(NAMES),
        outcome=st.sampled_from(("done", "lost", "late")),
    )
    def resign(self, name, outcome):
        """A holder that can't reach the engines gives up the lease."""
        machine = self.machines[name]
        if not machine.holds(self.now_s):
            return
        write = lease.WriteLease(machine.resign(), -1)
        release = _Write(name, self.incarnations[name], write, self.now_s, True)
        if outcome == "late":
            release.due_s += 2.0
            self.late.append(release)
        elif outcome == "done":
            self._apply(release)
        assert not machine.holds(self.now_s)

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.machines[name] = self._start(name)

    @stateful.rule(
        exited=st.sampled_from(NAMES), observer=st.sampled_from(NAMES)
    )
    def exit_and_be_noticed(self, exited, observer):
        """A process ends, and another instance sees its connection end."""
        if exited == observer:
            return
        exited_incarnation = self.incarnations[exited]
        self.machines[exited] = self._start(exited)
        self.machines[observer].holder_exited(
            exited, exited_incarnation, self.now_s
        )


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


def test_a_suspended_holder_sends_no_more_orders():
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


# When the record of the other holder was read, or its end was noticed.
_CHANGE_S = 10.0
_OTHER = lease.Record("a", 1, 4, 4, False)


def _takeover(
    record: lease.Record | None, is_exit_noticed: bool
) -> tuple[float, float]:
    """Returns when an instance takes the lease, and when it may give orders."""
    machine = lease.LeaseStateMachine("b", 1, GAP_S, _CHANGE_S)
    end = 5
    machine.read(record, end, _CHANGE_S)
    if is_exit_noticed:
        machine.holder_exited("a", 1, _CHANGE_S)
    taken_s = math.inf
    for step in range(1000):
        now_s = _CHANGE_S + step * 0.05
        match machine.next_action(now_s, 0, False):
            case lease.ReadLease():
                machine.read(record, end, now_s)
            case lease.WriteLease(at=at):
                taken_s = min(taken_s, now_s)
                machine.written(at)
                end = at + 1
        if machine.may_order(now_s):
            return taken_s, now_s
    raise AssertionError("never acquired the lease")


@pytest.mark.parametrize(
    ("record", "is_exit_noticed", "taken_after_s", "orders_after_s"),
    [
        (None, False, 0.0, 0.0),
        (
            msgspec.structs.replace(_OTHER, holder="b", incarnation=0),
            False,
            0,
            0,
        ),
        (msgspec.structs.replace(_OTHER, is_released=True), False, 0.0, GAP_S),
        (_OTHER, True, lease.RESTART_TIMEOUT_S, GAP_S),
        (
            _OTHER,
            False,
            lease.LEASE_DURATION_S,
            lease.LEASE_DURATION_S + GAP_S,
        ),
    ],
    ids=["never held", "own earlier life", "released", "exited", "silent"],
)
def test_a_new_holder_waits_for_the_orders_of_the_one_before(
    record, is_exit_noticed, taken_after_s, orders_after_s
):
    """Guards against orders of two holders within the gap, and longer pauses.

    Counted from when this instance learned of the change.
    """
    taken_s, first_order_s = _takeover(record, is_exit_noticed)
    reading_s = lease.READ_SPACING_S / 4 + 0.11
    after_s = max(taken_after_s, orders_after_s)
    assert taken_after_s <= taken_s - _CHANGE_S <= taken_after_s + reading_s
    assert after_s <= first_order_s - _CHANGE_S <= after_s + reading_s
