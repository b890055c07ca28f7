"""The store of a platform that keeps a log and the newest record of each key.

Why: what has to be agreed or kept goes through the platform's store, and the
parts that use it must not know its wire form. This file holds the records
that calls and answers are made of; an adapter turns them into HTTP.
"""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCall:
    """One HTTP call to the store, ready to be sent."""

    method: bytes
    target: bytes
    body: bytes = b""
    content_type: bytes = b"application/octet-stream"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic. `value` is None where the key is dropped."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NewestPage:
    """One page of the newest records of a keyed topic.

    Attributes:
      end: The offset behind the topic's last record. Pages are read one by
        one and are no snapshot: following goes on from the first page's end.
    """

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Records from an offset on. `next_offset` is where to read on."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The records asked for are gone; what is kept begins at `first`."""

    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The records are on the log, the first at `offset`."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was appended: the log ends at `end` and not where expected."""

    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotDone:
    """The store's own word, or a failed connection: nothing was done."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """No answer: the call may have been carried out, or may be later."""

    reason: str


ReadOutcome = Page | Expired | NotDone | Unknown
NewestOutcome = NewestPage | NotDone | Unknown
AppendOutcome = Appended | Conflict | NotDone | Unknown


class StoreCodec(Protocol):
    """Turns calls into HTTP and answers into records."""

    def newest(self, topic: str, after: str) -> StoreCall:
        """Returns the call that lists the newest record of each key."""

    def newest_answer(self, status: int, body: bytes) -> NewestOutcome:
        """Reads its answer."""

    def read(self, topic: str, offset: int, wait_s: float) -> StoreCall:
        """Returns the call that reads on, waiting for a record to come."""

    def read_answer(self, status: int, body: bytes, offset: int) -> ReadOutcome:
        """Reads its answer."""

    def append(
        self, topic: str, key: str, value: bytes | None, at: int | None
    ) -> StoreCall:
        """Returns the call that appends one keyed record.

        Args:
          topic: A topic of the system's own.
          key: The record's key.
          value: None drops the key.
          at: Append only if the topic ends there; None appends in any case.
        """

    def append_answer(self, status: int, body: bytes) -> AppendOutcome:
        """Reads its answer."""
