"""Tests of the configuration log: failures C1, C2, C7 and C8."""

import pytest

from sesamecross.core import records
from sesamecross.ops import config_log
from sesamecross.utils import digest
from sesamecross.utils import merge_patch

REGION = {"regions": {"west": {}}}
ZONE = {"regions": {"west": {}}, "zones": {"z": {"region": "west"}}}


def change(change_id, base, old, new, author="ann", form=1):
    return records.ConfigPublished(
        change_id,
        base,
        author,
        form,
        merge_patch.diff(old, new),
        digest.of_tree(new),
    )


def test_of_two_changes_from_one_base_one_is_accepted():
    # C1: two operators publish from the same version at the same moment.
    # Exactly one change is accepted; the other verdict names the winner.
    log = config_log.ConfigLog()
    first = log.apply(0, change("a", 0, {}, REGION, "ann"))
    second = log.apply(1, change("b", 0, {}, ZONE, "bob"))
    assert first.outcome is config_log.Outcome.ACCEPTED
    assert second.outcome is config_log.Outcome.SUPERSEDED
    assert "ann" in second.by
    assert (log.state.version, log.state.tree) == (1, REGION)


def test_a_change_published_twice_counts_once():
    # C2: the append took effect but its answer was lost. The operator
    # publishes again under the same id after another change was accepted.
    log = config_log.ConfigLog()
    one = change("a", 0, {}, REGION)
    first = log.apply(0, one)
    log.apply(1, change("b", 1, REGION, ZONE))
    assert log.apply(2, one) == first
    assert log.state.version == 2


BAD = [
    (
        change("x", 0, {}, {"models": {"m": {"memory_mib": 0}}}),
        config_log.Outcome.INVALID,
    ),
    (
        records.ConfigPublished("x", 0, "ann", 1, REGION, "wrong"),
        config_log.Outcome.INVALID,
    ),
    (change("x", 0, {}, REGION, form=99), config_log.Outcome.FORMAT),
    (change("x", 7, {}, REGION), config_log.Outcome.SUPERSEDED),
]


@pytest.mark.parametrize(("bad", "outcome"), BAD)
def test_what_is_not_accepted_changes_nothing(bad, outcome):
    log = config_log.ConfigLog()
    log.apply(0, change("a", 0, {}, {}))
    log.state.version = 0
    verdict = log.apply(1, bad)
    assert verdict.outcome is outcome
    assert (log.state.version, log.state.tree) == (0, {})


def test_older_versions_can_be_restored():
    log = config_log.ConfigLog()
    trees = [{}]
    for number in range(1, 5):
        tree = {"regions": {f"r{i}": {} for i in range(number)}}
        log.apply(number, change(str(number), number - 1, trees[-1], tree))
        trees.append(tree)
    assert [log.tree_at(version) for version in range(5)] == trees
    assert log.tree_at(9) is None
