"""Who was in touch with this steward, and who is proved dead.

Why: a claim group lets go of a member only on proof: its address refuses
connections, or another incarnation answers there. Whether the member died
while in touch is told by its last answer to a heartbeat of this steward.
"""

from collections import deque

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.core import messages

MAX_TRACKED_HEARTBEATS = 64


class ContactTracker:
    """Beats sent to each instance and what was heard of them."""

    __slots__ = (
        "_clock",
        "_sent_heartbeats",
        "_last_acks",
        "_last_counts",
        "dead",
    )

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._sent_heartbeats: dict[str, deque[tuple[int, int]]] = {}
        self._last_acks: dict[data.Incarnation, tuple[int, bool]] = {}
        self._last_counts: dict[str, int] = {}
        self.dead: dict[data.Incarnation, bool] = {}

    def record_sent(self, instance: str, count: int) -> None:
        """A heartbeat leaves for an instance."""
        heartbeats = self._sent_heartbeats.setdefault(
            instance, deque(maxlen=MAX_TRACKED_HEARTBEATS)
        )
        heartbeats.append((count, self._clock.monotonic_ms()))

    def echo_for(self, instance: str) -> int:
        """Returns the last count heard from an instance."""
        return self._last_counts.get(instance, 0)

    def on_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """A heartbeat came; it tells which of ours had arrived before."""
        incarnation = heartbeat.member.incarnation
        self._last_counts[incarnation.instance] = heartbeat.count
        is_clean = heartbeat.kept_in_dark == 0
        for count, sent_ms in self._sent_heartbeats.get(
            incarnation.instance, ()
        ):
            if count == heartbeat.echo:
                self._last_acks[incarnation] = (sent_ms, is_clean)

    def record_death(
        self, incarnation: data.Incarnation, within_ms: int
    ) -> bool | None:
        """Notes a proof of death.

        Args:
          incarnation: Who is dead.
          within_ms: How recent the last touch must be.

        Returns:
          Whether it died in contact, or None if the proof is not news.
        """
        if incarnation in self.dead:
            return None
        sent_ms, is_clean = self._last_acks.get(incarnation, (None, False))
        in_contact = (
            sent_ms is not None
            and is_clean
            and self._clock.monotonic_ms() - sent_ms < within_ms
        )
        self.dead[incarnation] = in_contact
        return in_contact
