"""Who was in touch with this steward, and who is proved dead.

Why: a claim group lets go of a member only on proof: its address refuses
connections, or another incarnation answers there. Whether the member died
while in touch is told by its last answer to a heartbeat of this steward.
"""

from collections import deque

from sesamecross.core import clock as clock_lib
from sesamecross.core import data
from sesamecross.core import messages

BEATS_KEPT = 64


class ContactTracker:
    """Beats sent to each instance and what was heard of them."""

    __slots__ = ("_clock", "_sent", "_touched", "_heard_count", "dead")

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._sent: dict[str, deque[tuple[int, int]]] = {}
        self._touched: dict[data.Incarnation, tuple[int, bool]] = {}
        self._heard_count: dict[str, int] = {}
        self.dead: dict[data.Incarnation, bool] = {}

    def record_sent(self, instance: str, count: int) -> None:
        """A heartbeat leaves for an instance."""
        beats = self._sent.setdefault(instance, deque(maxlen=BEATS_KEPT))
        beats.append((count, self._clock.monotonic_ms()))

    def echo_for(self, instance: str) -> int:
        """Returns the last count heard from an instance."""
        return self._heard_count.get(instance, 0)

    def on_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """A heartbeat came; it tells which of ours had arrived before."""
        incarnation = heartbeat.member.incarnation
        self._heard_count[incarnation.instance] = heartbeat.count
        clean = heartbeat.kept_in_dark == 0
        for count, at_ms in self._sent.get(incarnation.instance, ()):
            if count == heartbeat.echo:
                self._touched[incarnation] = (at_ms, clean)

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
        at_ms, clean = self._touched.get(incarnation, (None, False))
        in_contact = (
            at_ms is not None
            and clean
            and self._clock.monotonic_ms() - at_ms < within_ms
        )
        self.dead[incarnation] = in_contact
        return in_contact
