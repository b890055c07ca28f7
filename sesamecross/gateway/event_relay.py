"""Passes a stream's events on to a caller, over one or more runs.

Why: an upstream can stop in the middle of an event. Only whole events are
passed on, so that another run can go on behind the last one without a seam;
the caller sees one answer with the first upstream's head.
"""

import asyncio
from collections.abc import Callable

from sesamecross.core import serving
from sesamecross.gateway import response_writer as response_writer_lib
from sesamecross.ops.fleet import directory

_MAX_EVENT_BYTES = 1024 * 1024
_END = b"\n\n"
_ID = b"id:"


class InvalidEvent(Exception):
    """The upstream sent something that is not the next event."""


class EventRelay:
    """The events of one request.

    Attributes:
      events: How many events were passed on.
      last_id: Of the last event passed on, or empty.
      upstream: Which one the events come from, if that is known.
      on_first: Called at the next event.
      first_s: When the first event came, or None.
      gap_s: The longest pause between events so far.
    """

    __slots__ = (
        "events",
        "last_id",
        "upstream",
        "on_first",
        "first_s",
        "gap_s",
        "gap_at_s",
        "_last_s",
        "_response_writer",
        "_head",
        "_rest",
    )

    def __init__(self, response_writer: response_writer_lib.ResponseWriter):
        self.events = 0
        self.last_id = ""
        self.first_s: float | None = None
        self.gap_s = 0.0
        self.gap_at_s = 0.0
        self._last_s = 0.0
        self.upstream: directory.KnownUpstream | None = None
        self.on_first: Callable[[], None] | None = None
        self._response_writer = response_writer
        self._head: tuple[int, list[serving.Header]] | None = None
        self._rest = b""

    @property
    def is_between_events(self) -> bool:
        """Whether all that arrived was whole events."""
        return not self._rest.strip()

    def begin_run(
        self, status: int, headers: tuple[serving.Header, ...]
    ) -> None:
        """A run begins. The first run's head is the one passed on."""
        self._rest = b""
        if not self.events:
            self._head = (status, list(headers))

    def feed(self, data: bytes) -> None:
        """Passes on the events completed by `data`.

        Raises:
          WrongEvent: An event is not the next one, or has no end.
        """
        whole, end, rest = (self._rest + data).rpartition(_END)
        if len(rest) > _MAX_EVENT_BYTES:
            raise InvalidEvent("an event without end")
        self._rest = rest
        if not end:
            return
        whole += end
        now_s = asyncio.get_running_loop().time()
        if self.upstream is not None:
            self.upstream.reachability.record_contact(now_s)
        if self.first_s is None:
            self.first_s = now_s
        else:
            if now_s - self._last_s > self.gap_s:
                self.gap_s = now_s - self._last_s
                self.gap_at_s = now_s
        self._last_s = now_s
        if self.on_first is not None:
            self.on_first()
            self.on_first = None
        self._note_ids(whole)
        if self._response_writer.is_begun:
            self._response_writer.piece(whole)
        else:
            status, headers = self._head
            self._response_writer.begin(status, headers, whole)

    def _note_ids(self, whole: bytes) -> None:
        for event in whole.split(_END):
            if not event.strip():
                continue
            self.events += 1
            for line in event.split(b"\n"):
                if line.startswith(_ID):
                    self.last_id = line[len(_ID) :].strip().decode("latin-1")

    def finish(self) -> None:
        """Ends the caller's answer as complete."""
        if self._response_writer.is_begun:
            self._response_writer.end()
        else:
            status, headers = self._head
            self._response_writer.whole(status, headers, b"")
