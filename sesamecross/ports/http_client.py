"""What all HTTP adapters share: pools, timeouts and typed failures.

Why: a call that failed before it was sent may be tried elsewhere, and one
that failed later may not. Only the place where the request is written can
tell the two apart, so it is told here, once, for every adapter.
"""

import dataclasses

import urllib3


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the upstream."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request may have been acted on; the answer is not known."""

    reason: str


def pool(connections: int, connect_s: float, read_s: float):
    """Returns a pool manager that never retries or redirects by itself."""
    return urllib3.PoolManager(
        num_pools=256,
        maxsize=connections,
        block=False,
        retries=False,
        timeout=urllib3.Timeout(connect=connect_s, read=read_s),
    )


def classify(error: Exception) -> NotSent | Failed:
    """Tells whether a request that raised may have been acted on.

    Only a connection that was never established proves that nothing was
    sent. A reset on a reused connection looks like a stale keep-alive, yet
    the request may have been read before it: it counts as failed.
    """
    not_sent = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    if isinstance(error, not_sent):
        return NotSent(type(error).__name__)
    return Failed(type(error).__name__)
