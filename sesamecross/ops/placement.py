"""Which models and adapters go where: a pure plan of moves with reasons.

Why: the plan must be the same for the same inputs, so that an operator can
ask what would be done and why, and tests can compare it with a naive one.
Hard rules first: room by the ledger, and no unload of the last replica of a
model that must stay. Then replicas and adapters into the room that is left.

Each zone's lease holder plans for the engines of its own zone. What a model
that must stay is assigned to is worked out over all zones, from residency
that every holder hears of, so that holders agree without talking; where they
don't, the cost is one replica too many and never a wrong order.
"""

from collections.abc import Mapping
import dataclasses

from sesamecross.core import data
from sesamecross.ops import assignment
from sesamecross.ops import ledger
from sesamecross.utils import rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """One order that the plan asks for, and why."""

    upstream: str
    action: data.OrderAction
    target: str
    version: str
    memory_mib: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """Something declared that can't be satisfied now."""

    name: str
    reason: str
    remedy: str


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Moves in the order in which they should be made."""

    moves: tuple[Move, ...]
    shortfalls: tuple[Shortfall, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Inputs:
    """All that a plan is made from.

    Attributes:
      zone: The zone whose engines may get moves.
      accounts: The ledger's account of each usable engine, of all zones.
      demand: Calls a second by model or adapter.
    """

    declarations: data.Declarations
    zone: str
    accounts: Mapping[str, ledger.Account]
    demand: Mapping[str, float]


class _Draft:
    """Room and holdings while a plan is made up."""

    __slots__ = ("inputs", "free", "held", "moves", "shortfalls")

    def __init__(self, inputs: Inputs):
        self.inputs = inputs
        self.free = {n: a.free_mib for n, a in inputs.accounts.items()}
        self.held = {n: set(a.held) for n, a in inputs.accounts.items()}
        self.moves: list[Move] = []
        self.shortfalls: list[Shortfall] = []

    def holders(self, name: str) -> list[str]:
        """Returns engines that hold `name` or soon will, sorted."""
        return sorted(n for n, held in self.held.items() if name in held)

    def load(
        self,
        upstream: str,
        action: data.OrderAction,
        record: data.Model | data.Adapter,
        reason: str,
    ) -> None:
        """Adds a load; only the own zone's become moves."""
        self.free[upstream] -= record.memory_mib
        self.held[upstream].add(record.name)
        declared = self.inputs.declarations.upstreams[upstream]
        if declared.zone == self.inputs.zone:
            self.moves.append(
                Move(
                    upstream,
                    action,
                    record.name,
                    record.version,
                    record.memory_mib,
                    reason,
                )
            )

    def unload(self, upstream: str, name: str, size: int, why: str) -> None:
        """Adds an unload. Its room counts only once it is confirmed."""
        self.held[upstream].discard(name)
        adapters = self.inputs.declarations.adapters
        action = data.OrderAction.UNLOAD_MODEL
        if name in adapters:
            action = data.OrderAction.UNLOAD_ADAPTER
        declared = self.inputs.declarations.upstreams[upstream]
        if declared.zone == self.inputs.zone:
            self.moves.append(Move(upstream, action, name, "", size, why))


def plan(inputs: Inputs) -> Plan:
    """Returns the moves that the declarations ask for now."""
    draft = _Draft(inputs)
    _remove_undeclared(draft)
    _keep_reachable(draft)
    _add_replicas(draft)
    _add_adapters(draft)
    return Plan(tuple(draft.moves), tuple(draft.shortfalls))


def _remove_undeclared(draft: _Draft) -> None:
    declarations = draft.inputs.declarations
    for upstream in sorted(draft.held):
        for name in sorted(draft.held[upstream]):
            if name in declarations.models or name in declarations.adapters:
                continue
            draft.unload(upstream, name, 0, "is no longer declared")


def _by_size(models: list[data.Model]) -> list[data.Model]:
    return sorted(models, key=lambda model: (-model.memory_mib, model.name))


def _keep_reachable(draft: _Draft) -> None:
    """Gives each model that must stay its first replica, largest first.

    Models that can go where they belong go first, so that one whose engine
    is away does not push others out of theirs.
    """
    models = draft.inputs.declarations.models.values()
    missing = [
        model
        for model in _by_size([m for m in models if m.must_stay])
        if not draft.holders(model.name)
    ]
    homes = assignment.homes(draft.inputs.declarations)
    displaced = []
    for model in missing:
        home = next(iter(homes[model.name]), None)
        if draft.free.get(home, -1) >= model.memory_mib:
            _load_first(draft, model, home)
        else:
            displaced.append(model)
    for model in displaced:
        upstream = _place_for(draft, model)
        if upstream is not None:
            _load_first(draft, model, upstream)
        else:
            _make_room(draft, model)


def _load_first(draft: _Draft, model: data.Model, upstream: str) -> None:
    draft.load(
        upstream,
        data.OrderAction.LOAD_MODEL,
        model,
        "must stay and is resident nowhere",
    )


def _place_for(
    draft: _Draft, model: data.Model, without: frozenset[str] = frozenset()
) -> str | None:
    """Returns where a replica goes: where it belongs, or where is room."""
    fitting = [
        name
        for name, free in draft.free.items()
        if free >= model.memory_mib and name not in without
    ]
    if not fitting:
        return None
    homes = assignment.homes(draft.inputs.declarations)
    for home in homes.get(model.name, ()):
        if home in fitting:
            return home
    return max(
        fitting,
        key=lambda name: (
            draft.free[name],
            rendezvous.weight(model.name, name),
        ),
    )


def _make_room(draft: _Draft, model: data.Model) -> None:
    """Asks for unloads where they make room for a model that must stay.

    Adapters and replicas beyond the first are given up, the least asked for
    first. The load itself follows in a later plan, once the engine has
    confirmed the unloads: memory is never promised twice.
    """
    best: tuple[int, str, list[str]] | None = None
    for upstream in sorted(draft.free):
        freed, names = _evictable(draft, upstream, model.memory_mib)
        if draft.free[upstream] + freed < model.memory_mib:
            continue
        if best is None or len(names) < best[0]:
            best = (len(names), upstream, names)
    if best is None:
        draft.shortfalls.append(
            Shortfall(
                model.name,
                f"needs {model.memory_mib} MiB and no engine can make room",
                "declare more memory, or set must_stay = false on a model",
            )
        )
        return
    sizes = ledger.sizes_of(draft.inputs.declarations)
    for name in best[2]:
        reason = f"makes room for {model.name}, which must stay"
        draft.unload(best[1], name, sizes.get(name, 0), reason)
    # Its room is spoken for: nothing else of this plan may take it.
    draft.free[best[1]] = 0


def _evictable(
    draft: _Draft, upstream: str, needed: int
) -> tuple[int, list[str]]:
    declarations = draft.inputs.declarations
    sizes = ledger.sizes_of(declarations)
    firm = draft.inputs.accounts[upstream].firm & draft.held[upstream]
    candidates = [
        name for name in firm if _may_leave(draft, upstream, name, sizes)
    ]
    demand = draft.inputs.demand
    candidates.sort(key=lambda name: (demand.get(name, 0.0), name))
    chosen: list[str] = []
    freed = 0
    for name in candidates:
        if draft.free[upstream] + freed >= needed:
            break
        chosen.append(name)
        freed += sizes.get(name, 0)
    return freed, chosen


def _may_leave(
    draft: _Draft, upstream: str, name: str, sizes: Mapping[str, int]
) -> bool:
    if name in draft.inputs.declarations.adapters:
        return True
    model = draft.inputs.declarations.models.get(name)
    if model is None or name not in sizes:
        return False
    if not model.must_stay:
        return True
    # Another replica must be firm: resident and with no order under way
    # that could remove it.
    return any(
        other != upstream and name in account.firm and name in draft.held[other]
        for other, account in draft.inputs.accounts.items()
    )


def _add_replicas(draft: _Draft) -> None:
    models = draft.inputs.declarations.models.values()
    demand = draft.inputs.demand
    by_demand = sorted(
        models, key=lambda model: (-demand.get(model.name, 0.0), model.name)
    )
    for model in by_demand:
        wanted = model.replicas
        if not model.must_stay and not demand.get(model.name):
            wanted = 0
        holders = draft.holders(model.name)
        for _ in range(wanted - len(holders)):
            upstream = _place_for(draft, model, frozenset(holders))
            if upstream is None:
                _clear_surplus(draft, model, frozenset(holders))
                break
            holders.append(upstream)
            draft.load(
                upstream,
                data.OrderAction.LOAD_MODEL,
                model,
                f"replica {len(holders)} of {wanted} declared",
            )


def _clear_surplus(
    draft: _Draft, model: data.Model, without: frozenset[str]
) -> None:
    """Asks for unloads of what nobody declared, to make room for a replica.

    Replicas beyond the wanted number come about when holders of two zones
    load the same model at once. Adapters give way too: a replica answers
    calls that nothing else can, an adapter beside another replica may.
    """
    sizes = ledger.sizes_of(draft.inputs.declarations)
    for upstream in sorted(draft.free):
        if upstream in without:
            continue
        surplus = [
            name
            for name in sorted(draft.held[upstream])
            if _is_surplus(draft, upstream, name)
        ]
        freed = sum(sizes.get(name, 0) for name in surplus)
        if draft.free[upstream] + freed < model.memory_mib:
            continue
        for name in surplus:
            if draft.free[upstream] >= model.memory_mib:
                break
            size = sizes.get(name, 0)
            reason = f"makes room for a declared replica of {model.name}"
            draft.unload(upstream, name, size, reason)
        draft.free[upstream] = 0
        return


def _is_surplus(draft: _Draft, upstream: str, name: str) -> bool:
    if name not in draft.inputs.accounts[upstream].firm:
        return False
    declarations = draft.inputs.declarations
    if name in declarations.adapters:
        return True
    model = declarations.models.get(name)
    if model is None or len(draft.holders(name)) <= model.replicas:
        return False
    sizes = ledger.sizes_of(declarations)
    return _may_leave(draft, upstream, name, sizes)


def _add_adapters(draft: _Draft) -> None:
    """Puts adapters beside their models, the most asked for first."""
    demand = draft.inputs.demand
    adapters = sorted(
        draft.inputs.declarations.adapters.values(),
        key=lambda adapter: (-demand.get(adapter.name, 0.0), adapter.name),
    )
    for adapter in adapters:
        for upstream in sorted(draft.inputs.accounts):
            # Only beside a model that is there already: an adapter whose
            # model is still loading would be refused.
            if adapter.model not in draft.inputs.accounts[upstream].firm:
                continue
            if adapter.name in draft.held[upstream]:
                continue
            if draft.free[upstream] < adapter.memory_mib:
                continue
            draft.load(
                upstream,
                data.OrderAction.LOAD_ADAPTER,
                adapter,
                f"goes beside its model {adapter.model}",
            )
