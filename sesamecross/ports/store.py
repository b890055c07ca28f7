"""Interface of the platform's store: a log with the newest record of each key.

All shared or durable state goes through this store, and its users must not
depend on its wire format. This module defines the calls and their results; an
adapter converts them from and to HTTP.
"""

from typing import Protocol

import msgspec


class StoreCall(msgspec.Struct, frozen=True):
    """One HTTP call to the store, ready to be sent."""

    method: bytes
    target: bytes
    body: bytes = b""
    content_type: bytes = b"application/octet-stream"


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record of a keyed topic. `value` is None if the key is deleted."""

    key: str
    value: bytes | None
    offset: int


class NewestPage(msgspec.Struct, frozen=True):
    """One page of the newest records of a keyed topic.

    Attributes:
      end: The offset after the topic's last record. Pages are read one by one
        and are not a snapshot, so following continues from the first page's
        end.
    """

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: int


class Page(msgspec.Struct, frozen=True):
    """Records from an offset on. `next_offset` is where reading continues."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


class Expired(msgspec.Struct, frozen=True):
    """The requested records have expired; `first` is the oldest retained."""

    first: int


class Appended(msgspec.Struct, frozen=True):
    """The records are on the log, the first at `offset`."""

    offset: int


class Conflict(msgspec.Struct, frozen=True):
    """Nothing was appended: the log ends at `end` and not where expected."""

    end: int


class NotDone(msgspec.Struct, frozen=True):
    """Nothing was done: the store said so, or the connection failed."""

    reason: str


class Unknown(msgspec.Struct, frozen=True):
    """No answer: the call may have been executed, or may be later."""

    reason: str


ReadOutcome = Page | Expired | NotDone | Unknown
NewestOutcome = NewestPage | NotDone | Unknown
AppendOutcome = Appended | Conflict | NotDone | Unknown


class StoreCodec(Protocol):
    """Converts calls to HTTP requests, and responses to results."""

    def newest(self, topic: str, after: str) -> StoreCall:
        """Returns the call that lists the newest record of each key."""

    def newest_answer(self, status: int, body: bytes) -> NewestOutcome:
        """Decodes the response to `newest`."""

    def read(self, topic: str, offset: int, wait_s: float) -> StoreCall:
        """Returns the call that reads from an offset, waiting for a record."""

    def read_answer(self, status: int, body: bytes, offset: int) -> ReadOutcome:
        """Decodes the response to `read`."""

    def append(
        self, topic: str, key: str, value: bytes | None, at: int | None
    ) -> StoreCall:
        """Returns the call that appends one keyed record.

        Args:
          topic: One of the system's own topics.
          key: The record's key.
          value: None deletes the key.
          at: Append only if the topic ends at this offset; None appends
            unconditionally.
        """

    def append_answer(self, status: int, body: bytes) -> AppendOutcome:
        """Decodes the response to `append`."""
