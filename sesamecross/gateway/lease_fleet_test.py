"""Tests of the lease over drawn histories of a fleet, and of wrong proofs."""

import msgspec
import pytest

from sesamecross.fakes import lease_fleet
from sesamecross.gateway import registrar
from sesamecross.ops.fleet import lease

# By hand 2,000 histories at each size.
HISTORIES = {3: 120, 8: 60, 24: 20}
MUTANT_HISTORIES = 150


def histories(instances: int, count: int, **options):
    """Plays histories one after the other."""
    for seed in range(count):
        fleet = lease_fleet.LeaseFleet(seed, instances, **options)
        fleet.run()
        yield fleet


@pytest.mark.parametrize("instances", HISTORIES)
def test_one_instance_at_a_time_gives_orders(instances):
    """Guards against two instances that give orders in turns."""
    changes = 0
    for seed, fleet in enumerate(histories(instances, HISTORIES[instances])):
        assert fleet.broken == [], seed
        changes += fleet.holders - 1
    assert changes > HISTORIES[instances] / 2


def _take_for_proof(machine, record, now_s) -> None:
    machine.holder_exited(record.holder, record.incarnation, now_s)


_decode = registrar.decode


def _decode_by_offset(record) -> registrar.Registration:
    return msgspec.structs.replace(_decode(record), incarnation=record.offset)


@pytest.mark.parametrize("mutant", ["refusal", "offset", "name"])
def test_what_proves_nothing_would_break_the_promise(monkeypatch, mutant):
    """Guards against histories that would not show a wrong proof."""
    options = {}
    match mutant:
        case "refusal":
            options["on_refused"] = _take_for_proof
        case "offset":
            monkeypatch.setattr(registrar, "decode", _decode_by_offset)
        case "name":
            monkeypatch.setattr(
                lease.LeaseStateMachine,
                "_is_own_machine",
                lambda self: self._record.holder == self._name,
            )
    assert any(
        fleet.broken for fleet in histories(8, MUTANT_HISTORIES, **options)
    )
