"""Tests of the memory ledger: possible memory use is never undercounted."""

import pytest

from sesamecross.core import data
from sesamecross.ops import intents
from sesamecross.ops import ledger

SIZES = {"m1": 400, "m2": 300, "a1": 50}
LOAD = data.OrderAction.LOAD_MODEL
UNLOAD = data.OrderAction.UNLOAD_MODEL


def report(resident, used, epoch="ep", capacity=1000):
    return data.UpstreamReport(
        "e", epoch, 1, True, False, 0, 0, tuple(resident), used, capacity
    )


def intent(action, target, size, epoch="ep"):
    order = data.Order("o" + target, "e", epoch, action, target, "1", size)
    return intents.Intent(order, "z", 1, 1)


CASES = [
    # description, report, unresolved, counted, held, stable
    ("nothing under way", report(["m1"], 400), [], 400, {"m1"}, {"m1"}),
    ("P1 a load may have been lost or not", report([], 0),
     [intent(LOAD, "m1", 400)], 400, {"m1"}, set()),
    ("an unload frees nothing before it is confirmed", report(["m1"], 400),
     [intent(UNLOAD, "m1", 400)], 400, {"m1"}, set()),
    ("P3 two orders for one target are one copy", report([], 0),
     [intent(LOAD, "m1", 400), intent(LOAD, "m1", 450)], 450, {"m1"}, set()),
    ("a load that shows as resident counts once", report(["m1"], 400),
     [intent(LOAD, "m1", 400)], 400, {"m1"}, {"m1"}),
    ("P6 an engine of another epoch can't apply it", report([], 0, "new"),
     [intent(LOAD, "m1", 400)], 0, set(), set()),
    ("the engine says more than is declared", report(["m1"], 600), [], 600,
     {"m1"}, {"m1"}),
    ("the engine says less than is declared", report(["m1"], 0), [], 400,
     {"m1"}, {"m1"}),
]  # fmt: skip


@pytest.mark.parametrize(
    ("description", "reported", "unresolved", "counted", "held", "stable"),
    CASES,
)
def test_account(description, reported, unresolved, counted, held, stable):
    account = ledger.account(1000, reported, unresolved, SIZES)
    assert account.counted_mib == counted, description
    assert account.held == held
    assert account.stable == stable


@pytest.mark.parametrize(
    ("declared", "reported", "capacity"), [(1000, 800, 800), (700, 800, 700)]
)
def test_the_smaller_capacity_counts(declared, reported, capacity):
    account = ledger.account(
        declared, report([], 0, capacity=reported), [], SIZES
    )
    assert account.capacity_mib == capacity
