"""Plans which models and adapters each engine should hold.

The plan is a pure function: the same inputs give the same moves with the same
reasons, so that an operator can ask what would be done and why, and tests can
compare it with a naive one. Hard rules come first: capacity by the ledger, and
no unload of the last replica of a model that must stay. Further replicas and
adapters go into the memory that is left.

Each zone's lease holder plans for the engines of its own zone. The assignment
of models that must stay is computed over all zones, from residency that every
holder hears of, so that holders agree without communicating. Where they
disagree, the cost is one replica too many and never a wrong order.
"""

from collections.abc import Mapping
import dataclasses

from sesamecross.core import data
from sesamecross.ops import assignment
from sesamecross.ops import ledger
from sesamecross.utils import rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """An order that the plan asks for, and its reason."""

    upstream: str
    action: data.OrderAction
    target: str
    version: str
    memory_mib: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """A declared requirement that can't be met now."""

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
    """Everything that a plan depends on.

    Attributes:
      zone: The zone whose engines may get moves.
      accounts: The ledger's account of each usable engine, of all zones.
      demand: Calls per second by model or adapter.
    """

    declarations: data.Declarations
    zone: str
    accounts: Mapping[str, ledger.Account]
    demand: Mapping[str, float]


class _PlanBuilder:
    """Free memory and contents of engines during planning."""

    __slots__ = ("inputs", "remaining_mib", "held", "moves", "shortfalls")

    def __init__(self, inputs: Inputs):
        self.inputs = inputs
        self.remaining_mib = {n: a.free_mib for n, a in inputs.accounts.items()}
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
        self.remaining_mib[upstream] -= record.memory_mib
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

    def unload(self, upstream: str, name: str, size_mib: int, why: str) -> None:
        """Adds an unload. Its memory is free only once it is confirmed."""
        self.held[upstream].discard(name)
        adapters = self.inputs.declarations.adapters
        action = data.OrderAction.UNLOAD_MODEL
        if name in adapters:
            action = data.OrderAction.UNLOAD_ADAPTER
        declared = self.inputs.declarations.upstreams[upstream]
        if declared.zone == self.inputs.zone:
            self.moves.append(Move(upstream, action, name, "", size_mib, why))


def plan(inputs: Inputs) -> Plan:
    """Returns the moves that the declarations require now."""
    builder = _PlanBuilder(inputs)
    _remove_undeclared(builder)
    _load_missing_models(builder)
    _add_replicas(builder)
    _add_adapters(builder)
    return Plan(tuple(builder.moves), tuple(builder.shortfalls))


def _remove_undeclared(builder: _PlanBuilder) -> None:
    declarations = builder.inputs.declarations
    for upstream in sorted(builder.held):
        for name in sorted(builder.held[upstream]):
            if name in declarations.models or name in declarations.adapters:
                continue
            builder.unload(upstream, name, 0, "is no longer declared")


def _by_size(models: list[data.Model]) -> list[data.Model]:
    return sorted(models, key=lambda model: (-model.memory_mib, model.name))


def _load_missing_models(builder: _PlanBuilder) -> None:
    """Gives each model that must stay its first replica, largest first.

    Models that fit on their assigned engine go first, so that a model whose
    engine is unavailable does not displace others from theirs.
    """
    models = builder.inputs.declarations.models.values()
    missing = [
        model
        for model in _by_size([m for m in models if m.must_stay])
        if not builder.holders(model.name)
    ]
    assigned_engines = assignment.assigned_engines(builder.inputs.declarations)
    displaced = []
    for model in missing:
        assigned_engine = next(iter(assigned_engines[model.name]), None)
        if builder.remaining_mib.get(assigned_engine, -1) >= model.memory_mib:
            _load_first_replica(builder, model, assigned_engine)
        else:
            displaced.append(model)
    for model in displaced:
        upstream = _choose_engine(builder, model)
        if upstream is not None:
            _load_first_replica(builder, model, upstream)
        else:
            _evict_for(builder, model)


def _load_first_replica(
    builder: _PlanBuilder, model: data.Model, upstream: str
) -> None:
    builder.load(
        upstream,
        data.OrderAction.LOAD_MODEL,
        model,
        "must stay and is resident nowhere",
    )


def _choose_engine(
    builder: _PlanBuilder,
    model: data.Model,
    excluded: frozenset[str] = frozenset(),
) -> str | None:
    """Returns an assigned engine with room, else the one with the most room."""
    engines_with_room = [
        name
        for name, remaining_mib in builder.remaining_mib.items()
        if remaining_mib >= model.memory_mib and name not in excluded
    ]
    if not engines_with_room:
        return None
    assigned_engines = assignment.assigned_engines(builder.inputs.declarations)
    for assigned_engine in assigned_engines.get(model.name, ()):
        if assigned_engine in engines_with_room:
            return assigned_engine
    return max(
        engines_with_room,
        key=lambda name: (
            builder.remaining_mib[name],
            rendezvous.weight(model.name, name),
        ),
    )


def _evict_for(builder: _PlanBuilder, model: data.Model) -> None:
    """Adds the unloads that make room for a model that must stay.

    Adapters and replicas beyond the first are evicted, those with the least
    demand first. The load itself follows in a later plan, once the engine has
    confirmed the unloads: memory is never promised twice.
    """
    best: tuple[int, str, list[str]] | None = None
    for upstream in sorted(builder.remaining_mib):
        freed_mib, names = _eviction_candidates(
            builder, upstream, model.memory_mib
        )
        if builder.remaining_mib[upstream] + freed_mib < model.memory_mib:
            continue
        if best is None or len(names) < best[0]:
            best = (len(names), upstream, names)
    if best is None:
        builder.shortfalls.append(
            Shortfall(
                model.name,
                f"needs {model.memory_mib} MiB and no engine can make room",
                "declare more memory, or set must_stay = false on a model",
            )
        )
        return
    sizes = ledger.sizes_of(builder.inputs.declarations)
    for name in best[2]:
        reason = f"makes room for {model.name}, which must stay"
        builder.unload(best[1], name, sizes.get(name, 0), reason)
    # The freed memory is reserved: nothing else in this plan may use it.
    builder.remaining_mib[best[1]] = 0


def _eviction_candidates(
    builder: _PlanBuilder, upstream: str, needed_mib: int
) -> tuple[int, list[str]]:
    declarations = builder.inputs.declarations
    sizes = ledger.sizes_of(declarations)
    stable = builder.inputs.accounts[upstream].stable & builder.held[upstream]
    candidates = [
        name for name in stable if _may_unload(builder, upstream, name, sizes)
    ]
    demand = builder.inputs.demand
    candidates.sort(key=lambda name: (demand.get(name, 0.0), name))
    chosen: list[str] = []
    freed_mib = 0
    for name in candidates:
        if builder.remaining_mib[upstream] + freed_mib >= needed_mib:
            break
        chosen.append(name)
        freed_mib += sizes.get(name, 0)
    return freed_mib, chosen


def _may_unload(
    builder: _PlanBuilder, upstream: str, name: str, sizes: Mapping[str, int]
) -> bool:
    if name in builder.inputs.declarations.adapters:
        return True
    model = builder.inputs.declarations.models.get(name)
    if model is None or name not in sizes:
        return False
    if not model.must_stay:
        return True
    # Another replica must be stable: resident, with no order under way that
    # could remove it.
    return any(
        other != upstream
        and name in account.stable
        and name in builder.held[other]
        for other, account in builder.inputs.accounts.items()
    )


def _add_replicas(builder: _PlanBuilder) -> None:
    models = builder.inputs.declarations.models.values()
    demand = builder.inputs.demand
    by_demand = sorted(
        models, key=lambda model: (-demand.get(model.name, 0.0), model.name)
    )
    for model in by_demand:
        wanted_replicas = model.replicas
        if not model.must_stay and not demand.get(model.name):
            wanted_replicas = 0
        holders = builder.holders(model.name)
        for _ in range(wanted_replicas - len(holders)):
            upstream = _choose_engine(builder, model, frozenset(holders))
            if upstream is None:
                _unload_surplus(builder, model, frozenset(holders))
                break
            holders.append(upstream)
            builder.load(
                upstream,
                data.OrderAction.LOAD_MODEL,
                model,
                f"replica {len(holders)} of {wanted_replicas} declared",
            )


def _unload_surplus(
    builder: _PlanBuilder, model: data.Model, excluded: frozenset[str]
) -> None:
    """Unloads surplus replicas and adapters to make room for a replica.

    Replicas beyond the declared number arise when holders of two zones load
    the same model at once. Adapters give way too: a replica answers calls that
    nothing else can, an adapter may also be held beside another replica.
    """
    sizes = ledger.sizes_of(builder.inputs.declarations)
    for upstream in sorted(builder.remaining_mib):
        if upstream in excluded:
            continue
        surplus = [
            name
            for name in sorted(builder.held[upstream])
            if _is_surplus(builder, upstream, name)
        ]
        freed_mib = sum(sizes.get(name, 0) for name in surplus)
        if builder.remaining_mib[upstream] + freed_mib < model.memory_mib:
            continue
        for name in surplus:
            if builder.remaining_mib[upstream] >= model.memory_mib:
                break
            size_mib = sizes.get(name, 0)
            reason = f"makes room for a declared replica of {model.name}"
            builder.unload(upstream, name, size_mib, reason)
        builder.remaining_mib[upstream] = 0
        return


def _is_surplus(builder: _PlanBuilder, upstream: str, name: str) -> bool:
    if name not in builder.inputs.accounts[upstream].stable:
        return False
    declarations = builder.inputs.declarations
    if name in declarations.adapters:
        return True
    model = declarations.models.get(name)
    if model is None or len(builder.holders(name)) <= model.replicas:
        return False
    sizes = ledger.sizes_of(declarations)
    return _may_unload(builder, upstream, name, sizes)


def _add_adapters(builder: _PlanBuilder) -> None:
    """Loads adapters beside their models, those with the most demand first."""
    demand = builder.inputs.demand
    adapters = sorted(
        builder.inputs.declarations.adapters.values(),
        key=lambda adapter: (-demand.get(adapter.name, 0.0), adapter.name),
    )
    for adapter in adapters:
        for upstream in sorted(builder.inputs.accounts):
            # Only beside a resident model: an adapter whose model is still
            # loading would be refused.
            if adapter.model not in builder.inputs.accounts[upstream].stable:
                continue
            if adapter.name in builder.held[upstream]:
                continue
            if builder.remaining_mib[upstream] < adapter.memory_mib:
                continue
            builder.load(
                upstream,
                data.OrderAction.LOAD_ADAPTER,
                adapter,
                f"goes beside its model {adapter.model}",
            )
