"""Sends calls by way of another entry while this one's own links fail.

All entries have the same upstreams, so a call that this entry can't bring to
any of them can probably be served by another one. Thread-safe.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import random
import threading

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.core import refusal
from sesamecross.entry import state as state_lib
from sesamecross.ops import link_health
from sesamecross.ops import timeline
from sesamecross.ports import entry_http
from sesamecross.ports import http_client

# Entries tried until one accepts a connection.
MAX_PEERS_TRIED = 3


class PeerRelay:
    """Knows when the own links fail, and sends calls by way of peers."""

    def __init__(
        self,
        zone: str,
        state: state_lib.EntryState,
        clock: clock_lib.Clock,
        recorder: timeline.Recorder,
        rng: random.Random,
    ):
        self._zone = zone
        self._state = state
        self._clock = clock
        self._recorder = recorder
        self._rng = rng
        self._health = link_health.LinkHealth()
        self._lock = threading.Lock()

    def record_failure(self, upstream: str) -> None:
        """Records an upstream that could not be connected to."""
        with self._lock:
            self._health.record_failure(upstream, self._clock.monotonic_ms())

    def record_contact(self, upstream: str) -> None:
        """Records an upstream that accepted a connection."""
        with self._lock:
            self._health.record_contact(upstream, self._clock.monotonic_ms())

    def must_relay(self) -> bool:
        """Whether a new call should not even try the own links."""
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            return (
                bool(self._peers())
                and self._health.is_cut_off(now_ms)
                and not self._health.take_probe(now_ms)
            )

    def may_relay(self, problem: refusal.Refusal) -> bool:
        """Whether a refused call may be served by way of a peer."""
        with self._lock:
            has_failed = self._health.has_failed(self._clock.monotonic_ms())
        return (
            has_failed
            and problem.executed is refusal.Executed.NO
            and problem.status >= 500
        )

    def _peers(self) -> tuple[data.EntryPeer, ...]:
        snapshot = self._state.snapshot
        return snapshot.peers if snapshot is not None else ()

    def _candidates(self) -> Iterable[data.EntryPeer]:
        peers = list(self._peers())
        self._rng.shuffle(peers)
        peers.sort(key=lambda peer: peer.zone != self._zone)
        return peers[:MAX_PEERS_TRIED]

    def send(
        self, call_id: str, call: entry_http.RelayedCall
    ) -> entry_http.RelayedAnswer | refusal.Refusal | None:
        """Sends a call by way of a peer.

        Returns:
          The answer; a refusal if the call may have been executed without one;
          None if nothing was run, as no peer reaches the upstreams.
        """
        for peer in self._candidates():
            answer = entry_http.send(peer.address, call)
            match answer:
                case entry_http.RelayedAnswer(is_cut_off=True):
                    answer.close()
                    self._record(call_id, f"{peer.instance}: is cut off too")
                case entry_http.RelayedAnswer():
                    self._record(call_id, f"relayed by {peer.instance}")
                    return answer
                case http_client.NotSent(reason=reason):
                    self._record(call_id, f"{peer.instance}: {reason}")
                case http_client.Failed(reason=reason):
                    self._record(call_id, f"{peer.instance}: {reason}")
                    return refusal.upstream_failed(
                        refusal.Executed.UNKNOWN,
                        "Look the result up before sending the call again",
                    )
        return None

    def _record(self, call_id: str, what: str) -> None:
        self._recorder.add(timeline.EventKind.ROUTE, what, call_id=call_id)


def body_of(
    answer: entry_http.RelayedAnswer, on_broken: bytes
) -> Iterator[bytes]:
    """Yields a relayed body; one that breaks off never looks complete.

    Args:
      answer: The answer, which is closed at the end.
      on_broken: Sent if it breaks off.
    """
    try:
        yield from answer.chunks()
    except entry_http.BrokenError:
        yield on_broken
    finally:
        answer.close()
