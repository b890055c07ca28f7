"""Client of other entries: sends a caller's call by way of one of them.

The other entry authenticates the caller and answers as if it had called there,
so all that is promised to callers holds on this way too.
"""

from collections.abc import Iterator
import dataclasses

import urllib3

from sesamecross.ports import http_client

# Marks a call that comes from another entry, which must not pass it on again.
RELAYED_HEADER = "X-Sesamecross-Relayed"
# Marks the refusal of an entry that can't reach the upstreams either.
UNREACHABLE_HEADER = "X-Sesamecross-Unreachable"
_CONNECT_S = 0.5
_READ_BYTES = 65_536
_PASSED_HEADERS = ("Content-Type", "Retry-After", "Cache-Control")


class BrokenError(Exception):
    """The answer broke off; the call may have been executed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedCall:
    """A caller's call, as it is sent to another entry."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    read_s: float


class RelayedAnswer:
    """Another entry's answer. The owner must close it."""

    __slots__ = ("status", "headers", "is_cut_off", "_response")

    def __init__(self, response: urllib3.BaseHTTPResponse):
        self.status = response.status
        self.headers = tuple(
            (name, response.headers[name])
            for name in _PASSED_HEADERS
            if name in response.headers
        )
        # Whether the other entry could not reach the upstreams either.
        self.is_cut_off = UNREACHABLE_HEADER in response.headers
        self._response = response

    def chunks(self) -> Iterator[bytes]:
        """Yields the body as it arrives.

        Raises:
          BrokenError: It ended early.
        """
        try:
            yield from self._response.stream(_READ_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise BrokenError(type(error).__name__) from error

    def close(self) -> None:
        """Closes the connection."""
        self._response.close()


def send(
    address: str, call: RelayedCall
) -> RelayedAnswer | http_client.NotSent | http_client.Failed:
    """Sends a call on a connection of its own and waits for the head.

    On a kept connection that the other entry is just closing it would be
    unknown whether the call ran.
    """
    pool = http_client.pool(1, _CONNECT_S, call.read_s)
    headers = dict(call.headers) | {RELAYED_HEADER: "1", "Connection": "close"}
    try:
        return RelayedAnswer(
            pool.request(
                call.method,
                f"http://{address}{call.path}",
                body=call.body or None,
                headers=headers,
                preload_content=False,
            )
        )
    except urllib3.exceptions.HTTPError as error:
        return http_client.classify(error)
