"""Makes the dispatcher usable from threads, one call per thread.

The dispatcher is a state machine without threads. Here a lock guards it, and
each call has a mailbox for its actions: the action for a queued call results
from the end of another call, which another thread handles.
"""

import queue
import random
import threading

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.ops import dispatch
from sesamecross.ops import estimates
from sesamecross.ops import routing

TICK_INTERVAL_S = 0.05


class ModelDispatcher:
    """Thread-safe wrapper of the dispatcher. Owns its lock and mailboxes."""

    __slots__ = ("_dispatcher", "_clock", "_lock", "_mailboxes", "_stopped")

    def __init__(
        self,
        location: routing.EntryLocation,
        policy: routing.Policy,
        clock: clock_lib.Clock,
        rng: random.Random,
    ):
        self._dispatcher = dispatch.Dispatcher(location, policy, rng)
        self._clock = clock
        self._lock = threading.Lock()
        self._mailboxes: dict[str, queue.SimpleQueue] = {}
        self._stopped = threading.Event()

    def start(self) -> None:
        """Starts the thread that ticks the dispatcher."""
        threading.Thread(target=self._tick, daemon=True).start()

    def shut_down(self) -> None:
        """Stops that thread."""
        self._stopped.set()

    def _tick(self) -> None:
        while not self._stopped.wait(TICK_INTERVAL_S):
            with self._lock:
                if len(self._dispatcher.queue):
                    now_ms = self._clock.monotonic_ms()
                    self._deliver(self._dispatcher.tick(now_ms))

    def _deliver(self, actions: list[dispatch.Action]) -> None:
        for action in actions:
            mailbox = self._mailboxes.get(action.call_id)
            if mailbox is not None:
                mailbox.put(action)

    def configure(
        self,
        declarations: data.Declarations,
        draining: frozenset[str],
        entries: int,
    ) -> None:
        """Applies accepted declarations and drain marks."""
        with self._lock:
            self._dispatcher.configure(declarations, entries)
            self._apply_draining(draining)

    def _apply_draining(self, draining: frozenset[str]) -> None:
        for name in self._dispatcher.upstreams:
            self._dispatcher.set_draining(name, name in draining)

    def update_reports(
        self, reports: tuple[data.UpstreamReport, ...], draining: frozenset[str]
    ) -> None:
        """Applies the upstream reports and drain marks of a view."""
        with self._lock:
            now_ms = self._clock.monotonic_ms()
            for report in reports:
                self._dispatcher.report(report, now_ms)
            self._apply_draining(draining)
            self._deliver(self._dispatcher.tick(now_ms))

    def submit(self, call: routing.Call) -> None:
        """Submits a new call; `next_action` returns its actions."""
        with self._lock:
            self._mailboxes[call.call_id] = queue.SimpleQueue()
            self._deliver(self._dispatcher.submit(call, self._now_ms()))

    def next_action(self, call_id: str) -> dispatch.Action:
        """Blocks until the call's next action and returns it."""
        return self._mailboxes[call_id].get()

    def finished(
        self, call_id: str, observation: estimates.Observation, complete: bool
    ) -> None:
        """Handles the end of a call."""
        with self._lock:
            self._mailboxes.pop(call_id, None)
            self._deliver(
                self._dispatcher.finished(
                    call_id, observation, complete, self._now_ms()
                )
            )

    def first_token(self, call_id: str, version: str) -> None:
        """Handles the arrival of a call's first token.

        Args:
          call_id: The call.
          version: The software version that sent it, by the answer.
        """
        with self._lock:
            self._dispatcher.first_token(call_id, version)

    def failed(self, call_id: str, failure: dispatch.FailureKind) -> None:
        """Handles a failed attempt; `next_action` returns what follows."""
        with self._lock:
            self._deliver(
                self._dispatcher.failed(call_id, failure, self._now_ms())
            )

    def abandoned(self, call_id: str) -> None:
        """Handles a call whose caller disconnected."""
        with self._lock:
            self._mailboxes.pop(call_id, None)
            self._deliver(self._dispatcher.abandoned(call_id, self._now_ms()))

    def discard_mailbox(self, call_id: str) -> None:
        """Discards the mailbox of a refused call."""
        with self._lock:
            self._mailboxes.pop(call_id, None)

    def _now_ms(self) -> int:
        return self._clock.monotonic_ms()
