"""Measures how the cost of the control plane grows with its size.

The design size can't be run on one machine. So each mechanism is measured in
one process at several sizes, and docs/CAPACITY.md extrapolates to the design
size from the slopes.
"""

from collections.abc import Callable
import json
import random
import time
import tracemalloc

from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.core import messages
from sesamecross.core import records
from sesamecross.ops import dispatch
from sesamecross.ops import estimates
from sesamecross.ops import gossip
from sesamecross.ops import ledger
from sesamecross.ops import membership
from sesamecross.ops import overlay
from sesamecross.ops import placement
from sesamecross.ops import replay
from sesamecross.ops import routing
from sesamecross.parser import declarations
from sesamecross.utils import digest
from sesamecross.utils import merge_patch

ROUNDS = 3


def _fastest_ms(operation: Callable[[], object], rounds: int = ROUNDS) -> float:
    """Returns the fastest of `rounds` runs, in milliseconds."""
    best = float("inf")
    for _ in range(rounds):
        began = time.perf_counter()
        operation()
        best = min(best, time.perf_counter() - began)
    return round(best * 1000, 3)


def declarations_tree(workers: int, models: int) -> dict:
    """Returns declarations for so many engines and models, as a plain tree."""
    zones = max(1, min(11, workers // 3))
    return {
        "regions": {f"r{n}": {} for n in range(min(5, zones))},
        "zones": {
            f"z{n}": {"region": f"r{n % min(5, zones)}"} for n in range(zones)
        },
        "upstreams": {
            f"w{n}": {
                "kind": "engine",
                "zone": f"z{n % zones}",
                "url": f"http://10.{n // 65536}.{n // 256 % 256}.{n % 256}:9",
                "memory_mib": 640_000,
                "accelerators": 8,
                "checks_fencing": True,
            }
            for n in range(workers)
        },
        "promises": {"p": {}},
        "models": {
            f"m{n}": {
                "memory_mib": 60_000 + 1000 * (n % 50),
                "promise": "p",
                "replicas": max(1, workers * 5 // models),
            }
            for n in range(models)
        },
    }


def measure_configuration(workers: int, models: int) -> dict:
    """Measures a change of one model in a configuration of a given size."""
    old = declarations_tree(workers, models)
    new = merge_patch.apply(old, {"models": {"m0": {"replicas": 2}}})
    patch = merge_patch.diff(old, new)
    record = records.ConfigPublished("c", 1, "a", 1, patch, digest.of_tree(new))
    return {
        "workers": workers,
        "models": models,
        "tree_bytes": len(json.dumps(new)),
        "change_bytes": len(codec.encode(record)),
        "check_ms": _fastest_ms(lambda: declarations.parse(new)),
        "digest_ms": _fastest_ms(lambda: digest.of_tree(new)),
        "apply_ms": _fastest_ms(lambda: merge_patch.apply(old, patch)),
    }


def measure_planning(workers: int, models: int) -> dict:
    """Measures placement on empty engines and with all models resident."""
    declared = declarations.parse(
        declarations_tree(workers, models)
    ).declarations
    empty = {
        engine.name: ledger.Account(
            engine.memory_mib, 0, frozenset(), frozenset()
        )
        for engine in declared.engines()
    }
    zone = next(iter(declared.zones))
    empty_inputs = placement.Inputs(declared, zone, empty, {})
    sizes = ledger.sizes_of(declared)
    held_models: dict[str, set[str]] = {name: set() for name in empty}
    for name in declared.zones:
        moves = placement.plan(
            placement.Inputs(declared, name, empty, {})
        ).moves
        for move in moves:
            held_models[move.upstream].add(move.target)
    settled_accounts = {
        name: ledger.Account(
            640_000,
            sum(sizes[target] for target in names),
            frozenset(names),
            frozenset(names),
        )
        for name, names in held_models.items()
    }
    settled = placement.Inputs(declared, zone, settled_accounts, {})
    return {
        "workers": workers,
        "models": models,
        "cold_ms": _fastest_ms(lambda: placement.plan(empty_inputs), 1),
        "settled_ms": _fastest_ms(lambda: placement.plan(settled), 1),
    }


def _member(number: int, zone: str = "z") -> data.Member:
    return data.Member(
        data.Incarnation(f"{zone}-i{number}", "0123456789ab"),
        zone,
        "r",
        f"10.0.{number // 256}.{number % 256}:7000",
    )


def measure_members(count: int) -> dict:
    """Measures membership and the overlay in a zone of `count` instances."""
    table = membership.Membership(_member(0), 2500)
    known = {m.incarnation.instance: m for m in map(_member, range(count))}
    for member in known.values():
        table.add_member(member, 0)
    me = _member(0).incarnation.instance
    heartbeat = messages.Heartbeat(_member(0), 1, 10**6, 10**4, True, False)
    size = len(codec.encode(heartbeat)) + 32
    links = overlay.stream_peers(me, known)
    return {
        "members": count,
        "tick_ms": _fastest_ms(lambda: table.tick(1000)),
        "links_ms": _fastest_ms(lambda: overlay.stream_peers(me, known)),
        "streams_opened": len(links),
        "heartbeat_bytes": size,
    }


def measure_report(resident: int) -> dict:
    """Measures an upstream's report as gossip carries it."""
    report = data.UpstreamReport(
        "w1000", "0123456789ab", 10**6, True, False, 20, 3,
        tuple(f"m{n}" for n in range(resident)), 500_000, 640_000,
    )  # fmt: skip
    item = gossip.Item(
        "report/w1000", 1_700_000_000_000, 1, codec.to_plain(report), "z", True
    )
    blob = codec.encode(gossip.Items((item,)))
    return {
        "resident": resident,
        "bytes": len(blob),
        "decode_ms": _fastest_ms(lambda: codec.decode(blob)),
    }


def measure_replay(count: int) -> dict:
    """Measures the replay of `count` claims and the memory of the state."""
    payloads = []
    for number in range(count):
        claim = records.ClaimMade(
            f"{number:032x}", "caller", f"key-{number}", "orders", "d" * 32,
            data.Incarnation("i", "0123456789ab"), "z", 1, True,
        )  # fmt: skip
        answer = data.Answer(200, "application/json", b"x" * 200)
        settled = records.ClaimSettled(claim.claim_id, True, answer)
        envelope = records.Envelope(
            f"{number:032x}", "w", (codec.to_plain(claim),
                                    codec.to_plain(settled)),
        )  # fmt: skip
        payloads.append(codec.encode(envelope))
    tracemalloc.start()
    state = replay.SharedState()
    for offset, payload in enumerate(payloads):
        state.apply(offset, payload)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()

    def replay_all() -> None:
        replayed = replay.SharedState()
        for offset, payload in enumerate(payloads):
            replayed.apply(offset, payload)

    return {
        "claims": count,
        "us_per_claim": round(_fastest_ms(replay_all, 2) * 1000 / count, 1),
        "bytes_per_claim": round(state_bytes / count),
        "log_bytes_per_claim": len(payloads[0]),
        "snapshot_ms": _fastest_ms(lambda: replay.snapshot(state), 1),
        "snapshot_bytes": len(replay.snapshot(state).data),
    }


def measure_routing(upstreams: int) -> dict:
    """Measures the routing decisions of a call among `upstreams` candidates."""
    dispatcher = dispatch.Dispatcher(
        routing.EntryLocation("z0", "r0", {}),
        routing.LowestEstimatedCost(),
        random.Random(1),
    )
    declared = declarations.parse(
        declarations_tree(max(3, upstreams), 1)
    ).declarations
    dispatcher.configure(declared, 8)
    for name in list(dispatcher.upstreams)[:upstreams]:
        report = data.UpstreamReport(
            name, "e", 1, True, False, 0, 0, ("m0",), 0, 640_000
        )
        dispatcher.report(report, 0)
    promise = data.Promise("p")
    observation = estimates.Observation(0, 0, 50.0, 10.0, 500.0)

    def run_calls() -> None:
        for number in range(200):
            call = routing.Call(
                f"c{number}", "caller", "m0", promise, 100, (1, 2), 0, 10**6, 5
            )
            dispatcher.submit(call, 0)
            dispatcher.finished(call.call_id, observation, True, 0)

    return {
        "candidates": upstreams,
        "us_per_call": round(_fastest_ms(run_calls) * 5, 1),
    }


def measure_all() -> dict:
    """Returns all measurements."""
    return {
        "configuration": [
            measure_configuration(*size)
            for size in ((10, 20), (100, 100), (1000, 510), (10_000, 510))
        ],
        "planning": [
            measure_planning(*size)
            for size in ((6, 20), (90, 100), (300, 510), (900, 510))
        ],
        "members": [measure_members(count) for count in (8, 50, 273)],
        "reports": [measure_report(count) for count in (3, 10, 30)],
        "replaying": [measure_replay(count) for count in (1000, 10_000)],
        "routing": [measure_routing(count) for count in (2, 16, 100)],
    }


def main() -> int:
    """Prints the measurements as JSON; returns the exit code."""
    print(json.dumps(measure_all(), indent=2))
    return 0
