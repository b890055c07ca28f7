"""Client of the platform's append-only log over HTTP.

Only this module knows the log's wire format; supporting another log takes
another module like this and no other change.

Wire format: `POST /streams/S/records` appends the body as one record and
returns `{"offset": n}`. `GET /streams/S/records?from=n&limit=l&wait_ms=w`
returns `{"first": f, "next": n, "records": [base64, ...]}`, waiting up to `w`
ms for a record. If `from` has expired, the status is 410 with the same members.
"""

import base64
import dataclasses
import json

from returns.result import Failure
from returns.result import Result
from returns.result import Success
import urllib3

from sesamecross.core import errors
from sesamecross.ports import http_client

READ_LIMIT = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Records read from an offset.

    Attributes:
      first: The oldest offset that the log still holds.
      start: Offset of the first of `payloads`; greater than the requested
        offset if records have expired.
      next_offset: The offset that the next append will get.
    """

    first: int
    start: int
    next_offset: int
    payloads: tuple[bytes, ...]


class HttpLog:
    """One stream of the platform's log. Thread-safe."""

    __slots__ = ("_url", "_pool")

    def __init__(self, url: str, stream: str = "sesamecross"):
        self._url = f"{url}/streams/{stream}/records"
        self._pool = http_client.pool(4, connect_s=1.0, read_s=5.0)

    def append(self, payload: bytes) -> Result[int, errors.Problem]:
        """Appends one record; returns its offset.

        After a failure the record may or may not be on the log, so a retry
        must use the same append id.
        """
        try:
            response = self._pool.request("POST", self._url, body=payload)
        except urllib3.exceptions.HTTPError as error:
            return Failure(self._unreachable(type(error).__name__))
        if response.status != 200:
            return Failure(self._unreachable(f"HTTP {response.status}"))
        try:
            return Success(int(json.loads(response.data)["offset"]))
        except (ValueError, KeyError, TypeError):
            return Failure(self._unreachable("answer is not understood"))

    def read(
        self, start: int, wait_ms: int, limit: int = READ_LIMIT
    ) -> Result[Page, errors.Problem]:
        """Reads records from `start` on, waiting up to `wait_ms` for one."""
        fields = {"from": start, "limit": limit, "wait_ms": wait_ms}
        timeout = urllib3.Timeout(connect=1.0, read=5.0 + wait_ms / 1000)
        try:
            response = self._pool.request(
                "GET", self._url, fields=fields, timeout=timeout
            )
        except urllib3.exceptions.HTTPError as error:
            return Failure(self._unreachable(type(error).__name__))
        if response.status not in (200, 410):
            return Failure(self._unreachable(f"HTTP {response.status}"))
        try:
            return Success(_parse_page(start, json.loads(response.data)))
        except (ValueError, KeyError, TypeError):
            return Failure(self._unreachable("answer is not understood"))

    def _unreachable(self, reason: str) -> errors.Problem:
        return errors.Problem(
            self._url,
            "",
            f"the log does not answer ({reason})",
            "check the platform's log; nothing is lost meanwhile",
            errors.Kind.UNREACHABLE,
        )


def _parse_page(start: int, body: dict) -> Page:
    payloads = tuple(
        base64.b64decode(text, validate=True) for text in body["records"]
    )
    first = int(body["first"])
    return Page(first, max(start, first), int(body["next"]), payloads)
