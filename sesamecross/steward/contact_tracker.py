"""Tracks heartbeat acknowledgements and proofs of death of peers.

A claim group drops a member only on proof of its death: its address refuses
connections, or another incarnation answers there. The member's last
acknowledgement of a heartbeat tells whether it was in contact when it died.
"""

from collections import deque

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.core import messages

MAX_TRACKED_HEARTBEATS = 64


class ContactTracker:
    """Heartbeats sent to each instance and their acknowledgements.

    Attributes:
      dead: Incarnations proved dead; the value tells whether they died in
        contact.
    """

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
        """Records that a heartbeat is sent to an instance."""
        heartbeats = self._sent_heartbeats.setdefault(
            instance, deque(maxlen=MAX_TRACKED_HEARTBEATS)
        )
        heartbeats.append((count, self._clock.monotonic_ms()))

    def echo_for(self, instance: str) -> int:
        """Returns the count of the last heartbeat received from an instance."""
        return self._last_counts.get(instance, 0)

    def on_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Records a heartbeat; its echo acknowledges one of this steward."""
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
        """Records a proof of death.

        Args:
          incarnation: The dead incarnation.
          within_ms: Greatest age of the last acknowledged heartbeat, counted
            from when it was sent, for a death in contact.

        Returns:
          Whether it died in contact, or None if the death was known.
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
