"""The time line: a bounded ring of typed events in each process.

Why: whoever is on call must see what the system did over all processes, in
the order of cause and effect though clocks differ. Stamps come from a hybrid
logical clock that every message between processes carries on.
"""

from collections import deque
from collections.abc import Iterable
import dataclasses
import enum
import threading

from sesamecross.core import clock as clock_lib
from sesamecross.core import codec
from sesamecross.core import hlc

RING_EVENTS = 4096


class EventKind(enum.Enum):
    """What happened."""

    PROCESS = "process"
    CONFIG = "config"
    LEASE = "lease"
    INTENT = "intent"
    ORDER = "order"
    CLAIM = "claim"
    CALL = "call"
    ROUTE = "route"
    RETRY = "retry"
    REFUSAL = "refusal"
    DRAIN = "drain"
    MEMBER = "member"
    LOG = "log"
    PLAN = "plan"


@codec.register
@dataclasses.dataclass(frozen=True, slots=True)
class TimelineEvent:
    """One event. Fields that don't apply are empty.

    Attributes:
      wall_ms: First half of the stamp. count: second half.
      what: A short sentence.
    """

    wall_ms: int
    count: int
    process: str
    zone: str
    kind: EventKind
    what: str
    call_id: str = ""
    model: str = ""
    upstream: str = ""

    def order(self) -> tuple:
        """Returns the key by which events of all processes are sorted."""
        return (self.wall_ms, self.count, self.process)


class Recorder:
    """A process's ring and hybrid clock. Safe for threads."""

    __slots__ = ("process", "zone", "_clock", "_ring", "_lock")

    def __init__(
        self,
        process: str,
        zone: str,
        clock: clock_lib.Clock,
        size: int = RING_EVENTS,
    ):
        self.process = process
        self.zone = zone
        self._clock = hlc.HybridClock(clock)
        self._ring: deque[TimelineEvent] = deque(maxlen=size)
        self._lock = threading.Lock()

    def add(
        self,
        kind: EventKind,
        what: str,
        call_id: str = "",
        model: str = "",
        upstream: str = "",
    ) -> None:
        """Adds an event; the oldest goes when the ring is full."""
        with self._lock:
            stamp = self._clock.now()
            event = TimelineEvent(
                stamp.wall_ms,
                stamp.count,
                self.process,
                self.zone,
                kind,
                what,
                call_id,
                model,
                upstream,
            )
            self._ring.append(event)

    def now(self) -> hlc.Timestamp:
        """Returns a stamp for a message that leaves this process."""
        with self._lock:
            return self._clock.now()

    def receive(self, stamp: hlc.Timestamp) -> None:
        """Takes in the stamp of a message that arrived."""
        with self._lock:
            self._clock.receive(stamp)

    def events(self, limit: int, call_id: str = "") -> list[TimelineEvent]:
        """Returns the newest events, oldest first."""
        with self._lock:
            ring = list(self._ring)
        if call_id:
            ring = [event for event in ring if event.call_id == call_id]
        return ring[-limit:]


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Which events to show; an empty field admits all."""

    call_id: str = ""
    model: str = ""
    upstream: str = ""
    zone: str = ""
    kind: str = ""
    since_ms: int = 0

    def admits(self, event: TimelineEvent) -> bool:
        """Tells whether the event passes."""
        wanted = (
            (self.call_id, event.call_id),
            (self.model, event.model),
            (self.upstream, event.upstream),
            (self.zone, event.zone),
            (self.kind, event.kind.value),
        )
        if event.wall_ms < self.since_ms:
            return False
        return all(not want or want == has for want, has in wanted)


def merge(
    rings: Iterable[Iterable[TimelineEvent]], chosen: Filter
) -> list[TimelineEvent]:
    """Returns the admitted events of all rings in order, each once."""
    seen = {event for ring in rings for event in ring if chosen.admits(event)}
    return sorted(seen, key=TimelineEvent.order)


def to_plain(event: TimelineEvent) -> list:
    """Returns the event as messages carry it."""
    return codec.to_plain(event)


def from_plain(plain: object) -> TimelineEvent | None:
    """Returns the event in a message, or None where it is none."""
    record = codec.from_plain(plain).value_or(None)
    return record if isinstance(record, TimelineEvent) else None
