"""What follows an attempt at an upstream: deliver, try again, or refuse.

Why: a request that may not be repeated runs at most once, and a refusal that
says it has not run must be true. Both follow from what is known of the
attempt and from the route alone, so the rule stands here, without network.

A status 503 promises that the request has not run and never will; 502 and
504 promise nothing. So 503 is only said where no byte of the request was
sent, or the upstream itself said that it did not run it.
"""

import dataclasses
import enum

from sesamecross.core import serving


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request can have reached the upstream."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream's own word that it did not run the request.

    Attributes:
      is_absent: It does not hold the model or adapter.
      is_other: Another upstream has the address now.
    """

    status: int
    is_absent: bool = False
    is_other: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent and its answer is not whole; it may have run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FailedThere:
    """A whole answer by which the upstream says that it failed."""

    status: int


Failure = NotSent | NotRun | Lost | FailedThere


class NextAction(enum.Enum):
    """What to do now.

    Attributes:
      RETRY: Choose an upstream again.
      REFUSE: Say that the request has not run, and when to come back.
      FAIL: Say that its fate is not known.
      DELIVER: Hand over the upstream's own failure.
    """

    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"
    DELIVER = "deliver"


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """How far one request has come.

    Attributes:
      ran_at: Upstreams that may have run it.
      tries: How often an upstream was chosen for it.
      sends: How often it was sent to any upstream.
      has_output: Whether some of an answer went to the caller.
    """

    possibly_ran_at: set[str] = dataclasses.field(default_factory=set)
    tries: int = 0
    sends: int = 0
    has_output: bool = False


# A request is not sent more often than this, whatever came back: an upstream
# that keeps refusing is full, and each refused send draws on the budget that
# all instances share.
SENDS_MOST = 4
# Connections that are refused or not accepted count here only.
TRIES_MOST = 8


def decide_after_failure(
    route: serving.Route,
    failure: Failure,
    progress: AttemptHistory,
    may_spend: bool,
) -> NextAction:
    """Decides what follows a failed attempt.

    Args:
      route: The request's route.
      failure: How the attempt ended.
      progress: The request's, with this attempt counted.
      may_spend: Whether the retry budget allows one more send.
    """
    if not _may_send_again(route, failure, progress):
        return _final(failure, progress)
    if progress.tries >= TRIES_MOST:
        return _final(failure, progress)
    if progress.sends == 0:
        # Nothing arrived anywhere yet, so nothing is sent again.
        return NextAction.RETRY
    if progress.sends >= SENDS_MOST or not may_spend:
        return _final(failure, progress)
    return NextAction.RETRY


def _may_send_again(
    route: serving.Route, failure: Failure, progress: AttemptHistory
) -> bool:
    match failure:
        case NotSent() | NotRun():
            return route.is_retry_safe or not progress.possibly_ran_at
        case Lost() | FailedThere():
            return (
                route.is_retry_safe
                and len(progress.possibly_ran_at) < route.max_upstreams
            )
    return False


def _final(failure: Failure, progress: AttemptHistory) -> NextAction:
    match failure:
        case FailedThere():
            return NextAction.DELIVER
        case NotSent() | NotRun() if not progress.possibly_ran_at:
            return NextAction.REFUSE
    return NextAction.FAIL
