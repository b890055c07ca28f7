"""What an entry knows: declarations, callers, drains, and its own state.

Why: threads that serve calls read this without locks; each view replaces the
whole record at once, so a call never sees half of a change.
"""

import dataclasses
import threading

from sesamecross.core import data
from sesamecross.core import refusal
from sesamecross.ops import timeline
from sesamecross.parser import declarations as declarations_lib
from sesamecross.runtime import logs


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """One consistent state of what the steward told."""

    version: int
    declarations: data.Declarations
    callers: dict[str, data.Caller]
    draining: frozenset[str]
    log_reachable: bool


class EntryState:
    """The entry's current knowledge and its open calls."""

    __slots__ = (
        "_snapshot",
        "_lock",
        "_active_calls",
        "_active_calls_by_caller",
        "_demand",
        "_recorder",
        "_logger",
        "_is_admission_stopped",
        "stopping",
    )

    def __init__(self, recorder: timeline.Recorder):
        self._snapshot: Snapshot | None = None
        self._lock = threading.Lock()
        self._active_calls = 0
        self._active_calls_by_caller: dict[str, int] = {}
        self._demand: dict[str, int] = {}
        self._recorder = recorder
        self._logger = logs.get_logger("entry")
        self._is_admission_stopped = False
        self.stopping = False

    @property
    def snapshot(self) -> Snapshot | None:
        """What is known now; None before the first view."""
        return self._snapshot

    @property
    def active_calls(self) -> int:
        """Calls that are open at this entry."""
        return self._active_calls

    def apply_view(self, view: data.View) -> bool:
        """Takes in a view; tells whether declarations changed.

        A version lower than the one in force is never taken: a steward that
        starts anew may know less for a moment than this entry does.
        """
        snapshot = self._snapshot
        if snapshot is not None and view.version < snapshot.version:
            return False
        changed = view.tree is not None
        if changed:
            declarations = declarations_lib.parse(view.tree).declarations
            if declarations is None:
                self._logger.error("view does not parse", version=view.version)
                return False
            callers = {c.key_digest: c for c in declarations.callers.values()}
        elif snapshot is not None:
            declarations = snapshot.declarations
            callers = snapshot.callers
        else:
            return False
        self._snapshot = Snapshot(
            view.version,
            declarations,
            callers,
            frozenset(view.draining),
            view.log_reachable,
        )
        if changed and (snapshot is None or snapshot.version != view.version):
            self._recorder.add(
                timeline.EventKind.CONFIG,
                f"version {view.version} is in force here",
            )
        return changed

    def stop_admission(self) -> None:
        """From now on no call is counted in.

        It is one step with the counting: whoever sees no open call after it
        can rely on that.
        """
        with self._lock:
            self._is_admission_stopped = True

    def admit_call(self, caller: data.Caller) -> refusal.Refusal | None:
        """Counts a call in, or returns why it is refused."""
        with self._lock:
            if self._is_admission_stopped:
                return refusal.stopping()
            open_calls = self._active_calls_by_caller.get(caller.name, 0)
            if open_calls >= caller.concurrency:
                return refusal.overloaded(1)
            self._active_calls_by_caller[caller.name] = open_calls + 1
            self._active_calls += 1
            return None

    def release_call(self, caller: data.Caller) -> None:
        """Counts a call out."""
        with self._lock:
            self._active_calls -= 1
            remaining = self._active_calls_by_caller[caller.name] - 1
            if remaining:
                self._active_calls_by_caller[caller.name] = remaining
            else:
                del self._active_calls_by_caller[caller.name]

    def count_demand(self, target: str) -> None:
        """Counts a call towards the demand for a model or adapter."""
        with self._lock:
            self._demand[target] = self._demand.get(target, 0) + 1

    def take_demand(self) -> dict[str, int]:
        """Returns the counts since the last time and starts anew."""
        with self._lock:
            demand = self._demand
            self._demand = {}
            return demand
