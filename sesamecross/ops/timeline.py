"""The timeline: a bounded ring buffer of typed events in each process.

An operator must see what the system did over all processes, in causal order
even though clocks differ. Timestamps come from a hybrid logical clock that
every message between processes advances.
"""

from collections import deque
from collections.abc import Iterable
import dataclasses
import enum
import threading

from sesamecross.core import clock as clock_lib
from sesamecross.core import codec
from sesamecross.core import hlc

RING_CAPACITY = 4096


class EventKind(enum.Enum):
    """The kind of an event."""

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
    """An event. Fields that don't apply are empty.

    Attributes:
      wall_ms: Wall-clock part of the timestamp, in ms.
      count: Counter part of the timestamp.
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

    def sort_key(self) -> tuple:
        """Returns the key that orders events of all processes."""
        return (self.wall_ms, self.count, self.process)


class Recorder:
    """A process's event ring and hybrid logical clock. Thread-safe."""

    __slots__ = ("process", "zone", "_clock", "_ring", "_lock")

    def __init__(
        self,
        process: str,
        zone: str,
        clock: clock_lib.Clock,
        size: int = RING_CAPACITY,
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
        """Adds an event; when the ring is full, the oldest is dropped."""
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
        """Returns a timestamp for an outgoing message."""
        with self._lock:
            return self._clock.now()

    def receive(self, stamp: hlc.Timestamp) -> None:
        """Advances the clock by an incoming message's timestamp."""
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
    """Selects events; an empty field matches all."""

    call_id: str = ""
    model: str = ""
    upstream: str = ""
    zone: str = ""
    kind: str = ""
    since_ms: int = 0

    def admits(self, event: TimelineEvent) -> bool:
        """Tells whether the event matches."""
        criteria = (
            (self.call_id, event.call_id),
            (self.model, event.model),
            (self.upstream, event.upstream),
            (self.zone, event.zone),
            (self.kind, event.kind.value),
        )
        if event.wall_ms < self.since_ms:
            return False
        return all(
            not expected or expected == actual for expected, actual in criteria
        )


def merge(
    rings: Iterable[Iterable[TimelineEvent]], selection: Filter
) -> list[TimelineEvent]:
    """Returns the matching events of all rings in order, each once."""
    seen = {
        event for ring in rings for event in ring if selection.admits(event)
    }
    return sorted(seen, key=TimelineEvent.sort_key)


def to_plain(event: TimelineEvent) -> list:
    """Returns the event in the plain form that messages carry."""
    return codec.to_plain(event)


def from_plain(plain: object) -> TimelineEvent | None:
    """Returns the event in a message, or None if it holds none."""
    record = codec.from_plain(plain).value_or(None)
    return record if isinstance(record, TimelineEvent) else None
