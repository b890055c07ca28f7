"""What an engine's memory may hold at most, whatever became of its orders.

Why: memory must never be overcommitted, including during a change. An order
that was sent may be applied now, later, or never; the ledger counts what the
engine last said and, beside it, each load that is not resolved. An unload
frees nothing before the engine has confirmed it.
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
      firm: Names that are resident and that no unresolved order may remove.
    """

    capacity_mib: int
    counted_mib: int
    held: frozenset[str]
    firm: frozenset[str]

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
    """Returns how an engine's memory must be counted.

    Args:
      declared_mib: Capacity by configuration. The engine's own word counts
        where it is smaller.
      report: What the engine said, asked after each order that is not among
        `unresolved` had been resolved.
      unresolved: Orders to this engine that may still be applied. Those of
        an earlier epoch can't be: the engine has restarted since.
      sizes: MiB by name, of what is declared now.
    """
    capacity = declared_mib
    if report.capacity_mib:
        capacity = min(capacity, report.capacity_mib)
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
            # Two orders for one target are one copy; the larger counts, as
            # the declared size may have changed between them.
            size = max(order.memory_mib, loads.get(order.target, 0))
            loads[order.target] = size
    declared_resident = sum(sizes.get(name, 0) for name in resident)
    counted = max(report.used_mib, declared_resident) + sum(loads.values())
    return Account(
        capacity,
        counted,
        resident | frozenset(loads),
        resident - frozenset(unloads),
    )
