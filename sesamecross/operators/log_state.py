"""Reads the shared state by replaying the log, as any instance does.

Replay decides which changes are accepted; the operators' command replays the
log itself instead of relying on the state of one process.
"""

import time
import uuid

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sesamecross.core import codec
from sesamecross.core import errors
from sesamecross.core import records
from sesamecross.ops import catchup
from sesamecross.ops import replay
from sesamecross.ports import log_http

APPEND_ATTEMPTS = 5
APPEND_RETRY_S = 0.2


class LogState:
    """A replica of the shared state that is refreshed on request."""

    def __init__(self, url: str):
        self._log = log_http.HttpLog(url)
        self._replica = catchup.Replica(lambda _events: None)
        self._url = url

    @classmethod
    def read(cls, url: str) -> "LogState":
        """Returns a replica that has read the log to its end.

        Raises:
          ProblemError: The log can't be read to its end.
        """
        log = cls(url)
        result = log.refresh()
        if isinstance(result, Failure):
            raise errors.ProblemError(result.failure())
        return log

    @property
    def state(self) -> replay.SharedState:
        """The state as of the last `refresh`."""
        return self._replica.state

    def refresh(self) -> Result[None, errors.Problem]:
        """Reads the log to its end."""
        while True:
            start = self._replica.read_offset
            result = self._log.read(start, wait_ms=0)
            if isinstance(result, Failure):
                return result
            page = result.unwrap()
            self._replica.feed(page.start, page.payloads)
            if page.start + len(page.payloads) < page.next_offset:
                continue
            if self._replica.progress is catchup.CatchupState.FOLLOWING:
                return Success(None)
            return Failure(
                errors.Problem(
                    self._url,
                    "",
                    "the log's records begin behind a gap without a snapshot",
                    "ask a running steward with `status`; it holds the state",
                    errors.Kind.EXPIRED,
                )
            )

    def append(self, record: object) -> Result[int, errors.Problem]:
        """Appends one record, retrying with the same append id."""
        envelope = records.Envelope(
            uuid.uuid4().hex, "operator", (codec.to_plain(record),)
        )
        payload = codec.encode(envelope)
        result: Result[int, errors.Problem] = self._log.append(payload)
        for _ in range(APPEND_ATTEMPTS - 1):
            if isinstance(result, Success):
                break
            time.sleep(APPEND_RETRY_S)
            result = self._log.append(payload)
        return result
