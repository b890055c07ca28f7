"""Connection pools, timeouts and typed failures of all HTTP adapters.

A call that failed before it was sent can be retried elsewhere; one that failed
later may have been executed. Only the code that sends the request can tell the
two apart, so all adapters classify failures here.
"""

import dataclasses

import urllib3

from sesamecross.ports import strict_http


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the upstream.

    Attributes:
      is_refused: Its port is closed.
    """

    reason: str
    is_refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request may have been executed; the answer is unknown."""

    reason: str


def pool(connections: int, connect_s: float, read_s: float):
    """Returns a pool manager that never retries or follows redirects."""
    return strict_http.StrictPoolManager(
        num_pools=256,
        maxsize=connections,
        block=False,
        retries=False,
        timeout=urllib3.Timeout(connect=connect_s, read=read_s),
    )


def classify(error: Exception) -> NotSent | Failed:
    """Classifies whether a request that raised may have been executed.

    Only a connection that was never established proves that nothing was sent.
    A reset on a reused connection looks like a stale keep-alive connection, but
    the server may have read the request before it, so it counts as `Failed`.
    """
    not_sent = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    if isinstance(error, not_sent):
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return NotSent(type(error).__name__, is_refused)
    return Failed(type(error).__name__)
