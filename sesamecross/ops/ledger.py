"""Upper bound of an engine's memory use, whatever became of its orders.

Memory must never be overcommitted, not even during a change. An order that was
sent may be applied now, later, or never, so the ledger counts what the engine
last reported and, in addition, each unresolved load. An unload frees nothing
until the engine has confirmed it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from sesamecross.core import data
from sesamecross.ops import intents


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """One engine's memory as it must be counted.

    Attributes:
      counted_mib: The most that may be in use.
      held: Names that are resident or may become so.
      stable: Names that are resident and that no unresolved order may remove.
    """

    capacity_mib: int
    counted_mib: int
    held: frozenset[str]
    stable: frozenset[str]

    @property
    def free_mib(self) -> int:
        """Room for further loads, never negative."""
        return max(0, self.capacity_mib - self.counted_mib)


def sizes_of(declarations: data.Declarations) -> dict[str, int]:
    """Returns the MiB of each declared model and adapter."""
    sizes = {m.name: m.memory_mib for m in declarations.models.values()}
    sizes |= {a.name: a.memory_mib for a in declarations.adapters.values()}
    return sizes


def account(
    declared_mib: int,
    report: data.UpstreamReport,
    unresolved: Iterable[intents.Intent],
    sizes: Mapping[str, int],
) -> Account:
    """Returns one engine's memory account.

    Args:
      declared_mib: Capacity by configuration. The engine's own value is used
        where it is smaller.
      report: The engine's report, requested after each order that is not among
        `unresolved` had been resolved.
      unresolved: Orders to this engine that may still be applied, or whose
        effect the report can't show yet. Those of an earlier epoch can't be:
        the engine has restarted since.
      sizes: Size in MiB by name of what is declared now.
    """
    capacity_mib = declared_mib
    if report.capacity_mib:
        capacity_mib = min(capacity_mib, report.capacity_mib)
    resident = frozenset(report.resident)
    loads: dict[str, int] = {}
    unloads: set[str] = set()
    for intent in unresolved:
        order = intent.order
        if order.epoch != report.epoch:
            continue
        if not order.action.loads:
            unloads.add(order.target)
        elif order.target not in resident:
            # Two orders for one target give one copy. The larger size counts,
            # as the declared size may have changed between them.
            size_mib = max(order.memory_mib, loads.get(order.target, 0))
            loads[order.target] = size_mib
    declared_resident = sum(sizes.get(name, 0) for name in resident)
    counted_mib = max(report.used_mib, declared_resident) + sum(loads.values())
    return Account(
        capacity_mib,
        counted_mib,
        resident | frozenset(loads),
        resident - frozenset(unloads),
    )
