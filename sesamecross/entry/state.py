"""An entry's state: declarations, callers, drain marks and open calls.

Threads that serve calls read the snapshot without a lock. Each view replaces it
as a whole, so that no call sees a partial change.
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
    """A consistent state received from the steward.

    Attributes:
      callers: The callers by the digest of their key.
      draining: Names of the upstreams with a drain mark.
      peers: Other entries, by way of which calls can be served.
    """

    version: int
    declarations: data.Declarations
    callers: dict[str, data.Caller]
    draining: frozenset[str]
    log_reachable: bool
    peers: tuple[data.EntryPeer, ...] = ()


class EntryState:
    """The current snapshot, admission of calls, and demand counts."""

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
        """The current snapshot; None before the first view."""
        return self._snapshot

    @property
    def active_calls(self) -> int:
        """Number of open calls at this entry."""
        return self._active_calls

    def apply_view(self, view: data.View) -> bool:
        """Applies a view; returns whether declarations changed.

        A version lower than the one in force is ignored: a restarted steward
        may be behind this entry until it has caught up.
        """
        snapshot = self._snapshot
        if snapshot is not None and view.version < snapshot.version:
            return False
        changed = view.tree is not None
        if changed:
            declarations = declarations_lib.parse(view.tree).declarations
            if declarations is None:
                self._logger.error(
                    "declarations of a view are invalid", version=view.version
                )
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
            view.peers,
        )
        if changed and (snapshot is None or snapshot.version != view.version):
            self._recorder.add(
                timeline.EventKind.CONFIG,
                f"version {view.version} is in force here",
            )
        return changed

    def stop_admission(self) -> None:
        """Refuses all calls from now on.

        Takes the same lock as `admit_call`: once no call is open after this,
        none can be admitted any more.
        """
        with self._lock:
            self._is_admission_stopped = True

    def admit_call(self, caller: data.Caller) -> refusal.Refusal | None:
        """Admits a call, or returns why it is refused."""
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
        """Removes an admitted call from the open calls."""
        with self._lock:
            self._active_calls -= 1
            remaining = self._active_calls_by_caller[caller.name] - 1
            if remaining:
                self._active_calls_by_caller[caller.name] = remaining
            else:
                del self._active_calls_by_caller[caller.name]

    def count_demand(self, target: str) -> None:
        """Counts a call as demand for a model or adapter."""
        with self._lock:
            self._demand[target] = self._demand.get(target, 0) + 1

    def take_demand(self) -> dict[str, int]:
        """Returns the demand since the last call and resets it."""
        with self._lock:
            demand = self._demand
            self._demand = {}
            return demand
