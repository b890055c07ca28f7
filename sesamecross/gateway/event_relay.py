"""Forwards a stream's server-sent events to a caller, over several attempts.

An upstream can fail in the middle of an event. Only complete events are
forwarded, so that another attempt can resume after the last one; the caller
sees one response with the first upstream's head.
"""

from collections.abc import Callable
from collections.abc import Iterable

from sesamecross.core import serving
from sesamecross.gateway import response_writer as response_writer_lib
from sesamecross.ops.fleet import answer_bounds
from sesamecross.ops.fleet import directory
from sesamecross.runtime import event_loop

# An answer that has been written for so long did not end its engine by being
# begun.
UNDER_WAY_S = 0.5
_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class InvalidEvent(Exception):
    """The upstream sent an event, or more of them, than an answer may have."""


class EventRelay:
    """Forwards the events of one request.

    Attributes:
      event_count: Number of events forwarded.
      last_event_id: Id of the last event that had one, or empty.
      upstream: The engine that sends the events; None if the request is not
        for a model.
      upstream_version: Software version of the upstream that sends the events;
        None if it is unknown.
      versions: The software versions that sent events so far, in order.
      on_stream_begun: Called once, before the first event is forwarded.
      on_first_event: Called once, at the next event.
      on_under_way: Called once in each attempt, with the loop time of its first
        event, when events have come for `UNDER_WAY_S`.
      first_event_s: Loop time of the first event, or None.
      attempt_first_event_s: The same of the current attempt.
      max_gap_s: The longest pause between events so far.
      max_gap_at_s: Loop time at which that pause ended.
    """

    __slots__ = (
        "event_count",
        "last_event_id",
        "upstream",
        "upstream_version",
        "versions",
        "on_stream_begun",
        "on_first_event",
        "on_under_way",
        "first_event_s",
        "attempt_first_event_s",
        "max_gap_s",
        "max_gap_at_s",
        "_last_event_s",
        "_response_writer",
        "_head",
        "_partial_event",
        "_partial_since_s",
        "_max_events",
        "_separators",
        "_is_under_way",
    )

    def __init__(
        self,
        response_writer: response_writer_lib.ResponseWriter,
        output_tokens: int = 0,
    ):
        """Initializes the relay.

        Args:
          response_writer: Writes to the caller.
          output_tokens: The most tokens that the request asks for; 0 if it
            does not say.
        """
        self.event_count = 0
        self.last_event_id = ""
        self.first_event_s: float | None = None
        self.attempt_first_event_s: float | None = None
        self.max_gap_s = 0.0
        self.max_gap_at_s = 0.0
        self._last_event_s = 0.0
        self.upstream: directory.KnownUpstream | None = None
        self.upstream_version: str | None = None
        self.versions: list[str | None] = []
        self.on_stream_begun: Callable[[], None] | None = None
        self.on_first_event: Callable[[], None] | None = None
        self.on_under_way: Callable[[float], None] | None = None
        self._response_writer = response_writer
        self._head: tuple[int, list[serving.Header]] | None = None
        self._partial_event = b""
        self._partial_since_s = 0.0
        self._max_events = answer_bounds.max_events(output_tokens)
        self._separators = 0
        self._is_under_way = False

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether the data received so far ends with a complete event."""
        return not self._partial_event.strip()

    def begin_stream(
        self, status: int, headers: Iterable[serving.Header]
    ) -> None:
        """Starts a new attempt's stream, with its upstream's headers.

        The head that is forwarded is that of the first attempt with events.
        """
        self._partial_event = b""
        self.attempt_first_event_s = None
        self._is_under_way = False
        if not self.event_count:
            self._head = (status, list(headers))

    def feed(self, data: bytes) -> None:
        """Forwards the events completed by `data`.

        Raises:
          InvalidEvent: The stream passes a bound of `answer_bounds`.
        """
        was_partial = bool(self._partial_event)
        complete_events, separator, partial_event = (
            self._partial_event + data
        ).rpartition(_EVENT_END)
        self._partial_event = partial_event
        now_s = event_loop.running().time()
        if separator or not was_partial:
            self._partial_since_s = now_s
        if len(partial_event) > answer_bounds.MAX_EVENT_BYTES:
            raise InvalidEvent(answer_bounds.Excess.EVENT.value)
        if now_s - self._partial_since_s > answer_bounds.MAX_EVENT_S:
            raise InvalidEvent(answer_bounds.Excess.SLOW_EVENT.value)
        if not separator:
            return
        complete_events += separator
        self._separators += complete_events.count(_EVENT_END)
        if self._separators > self._max_events:
            raise InvalidEvent(answer_bounds.Excess.EVENTS.value)
        if self.upstream is not None:
            self.upstream.reachability.record_contact(now_s)
        self._check_under_way(now_s)
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            if now_s - self._last_event_s > self.max_gap_s:
                self.max_gap_s = now_s - self._last_event_s
                self.max_gap_at_s = now_s
        self._last_event_s = now_s
        if self.on_first_event is not None:
            self.on_first_event()
            self.on_first_event = None
        if self.versions[-1:] != [self.upstream_version]:
            self.versions.append(self.upstream_version)
        if not self.event_count and self.on_stream_begun is not None:
            self.on_stream_begun()
        self._record_event_ids(complete_events)
        if self._response_writer.is_started:
            self._response_writer.send_chunk(complete_events)
        else:
            status, headers = self._head
            self._response_writer.begin_chunked(
                status, headers, complete_events
            )

    def _check_under_way(self, now_s: float) -> None:
        if self.attempt_first_event_s is None:
            self.attempt_first_event_s = now_s
        written_s = now_s - self.attempt_first_event_s
        if not self._is_under_way and written_s >= UNDER_WAY_S:
            self._is_under_way = True
            if self.on_under_way is not None:
                self.on_under_way(self.attempt_first_event_s)

    def _record_event_ids(self, complete_events: bytes) -> None:
        for event in complete_events.split(_EVENT_END):
            if not event.strip():
                continue
            self.event_count += 1
            for line in event.split(b"\n"):
                if line.startswith(_ID_FIELD):
                    self.last_event_id = (
                        line[len(_ID_FIELD) :].strip().decode("latin-1")
                    )

    def finish(self) -> None:
        """Ends the caller's response as complete."""
        if self._response_writer.is_started:
            self._response_writer.end_chunked()
        else:
            status, headers = self._head
            self._response_writer.send_response(status, headers, b"")
