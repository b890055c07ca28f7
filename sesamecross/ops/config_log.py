"""Optimistic concurrency control of published configurations.

Two operators publish from the same base, an operator retries an append whose
answer was lost, or an older program reads a newer format. All instances must
reach the same verdict, so the rule reads nothing but the records.
"""

import dataclasses
import enum

from sesamecross.core import data
from sesamecross.core import records
from sesamecross.parser import declarations
from sesamecross.utils import digest
from sesamecross.utils import merge_patch

MAX_VERDICTS = 1000
MAX_HISTORY_ENTRIES = 50


class Outcome(enum.Enum):
    """The verdict on a published change."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    INVALID = "invalid"
    FORMAT = "format"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a published change.

    Attributes:
      version: The version in force after the verdict.
      by: For a superseded change, author and id of the change that won.
    """

    change_id: str
    outcome: Outcome
    version: int
    by: str = ""
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """An accepted version and the patch that restores its predecessor."""

    version: int
    change_id: str
    author: str
    note: str
    undo: dict


@dataclasses.dataclass(slots=True)
class ConfigState:
    """The replayed configuration. `version` never decreases."""

    version: int = 0
    offset: int = -1
    tree: dict = dataclasses.field(default_factory=dict)
    verdicts: dict[str, Verdict] = dataclasses.field(default_factory=dict)
    history: list[HistoryEntry] = dataclasses.field(default_factory=list)


class ConfigLog:
    """Replays published changes. The state is plain data and can be dumped."""

    __slots__ = ("state", "_declarations")

    def __init__(self, state: ConfigState | None = None):
        self.state = state or ConfigState()
        parsed = declarations.parse(self.state.tree)
        self._declarations = parsed.declarations or data.empty_declarations()

    @property
    def declarations(self) -> data.Declarations:
        """The declarations in force."""
        return self._declarations

    def apply(self, offset: int, change: records.ConfigPublished) -> Verdict:
        """Evaluates a change and puts it in force if it is accepted."""
        earlier_verdict = self.state.verdicts.get(change.change_id)
        if earlier_verdict is not None:
            # The append took effect, its answer was lost and the operator
            # published again: one change, which keeps its first verdict.
            return earlier_verdict
        verdict = self._evaluate(offset, change)
        self.state.verdicts[change.change_id] = verdict
        while len(self.state.verdicts) > MAX_VERDICTS:
            self.state.verdicts.pop(next(iter(self.state.verdicts)))
        return verdict

    def _evaluate(
        self, offset: int, change: records.ConfigPublished
    ) -> Verdict:
        state = self.state
        if change.format > declarations.FORMAT_MAX:
            return self._reject(
                change, Outcome.FORMAT, f"needs format {change.format}"
            )
        if change.base_version != state.version:
            return self._reject(change, Outcome.SUPERSEDED, "")
        tree = merge_patch.apply(state.tree, change.patch)
        if digest.of_tree(tree) != change.digest:
            return self._reject(
                change, Outcome.INVALID, "digest does not match the patch"
            )
        parsed = declarations.parse(tree)
        if parsed.declarations is None:
            first = parsed.errors[0]
            return self._reject(
                change,
                Outcome.INVALID,
                f"{'.'.join(first.path)} {first.reason}",
            )
        self._put_in_force(offset, change, tree, parsed.declarations)
        return Verdict(change.change_id, Outcome.ACCEPTED, state.version)

    def _put_in_force(
        self,
        offset: int,
        change: records.ConfigPublished,
        tree: dict,
        parsed: data.Declarations,
    ) -> None:
        state = self.state
        undo = merge_patch.diff(tree, state.tree)
        state.version += 1
        state.offset = offset
        state.tree = tree
        self._declarations = parsed
        state.history.append(
            HistoryEntry(
                state.version,
                change.change_id,
                change.author,
                change.note,
                undo,
            )
        )
        del state.history[:-MAX_HISTORY_ENTRIES]

    def _reject(
        self, change: records.ConfigPublished, outcome: Outcome, reason: str
    ) -> Verdict:
        by = ""
        if self.state.history:
            last = self.state.history[-1]
            by = f"{last.author} ({last.change_id})"
        return Verdict(
            change.change_id, outcome, self.state.version, by, reason
        )

    def tree_at(self, version: int) -> dict | None:
        """Returns the tree of an older version, or None if not kept."""
        tree = self.state.tree
        current = self.state.version
        for entry in reversed(self.state.history):
            if current == version:
                return tree
            tree = merge_patch.apply(tree, entry.undo)
            current = entry.version - 1
        return tree if current == version else None
